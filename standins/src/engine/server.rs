//! The engine's HTTP endpoints and the generation of answers.

mod orders;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{HeaderValue, Method, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::cache::{Cache, CacheEvent};
use super::prompt::{self, Prompt};
use super::stream::{Stream, chunk, last_chunk};
use super::{Knobs, Load, Run, token};
use crate::http::{BufferedRequest, Handler, ResponseBody, json, post, print_run, status};

const MAX_REPORTS: usize = 4_096;
const STREAM_RETENTION: Duration = Duration::from_secs(10);
const KV_TOKENS_PER_MS: u64 = 80;
const PRIORITIES: [&str; 3] = ["urgent", "normal", "batch"];

#[derive(Serialize)]
struct Report {
    load: Load,
    events: Vec<CacheEvent>,
}

#[derive(Deserialize)]
struct KvExport {
    key: u64,
    to: String,
}

#[derive(Deserialize, Serialize)]
struct KvImport {
    key: u64,
    tokens: u32,
}

#[derive(Default)]
struct State {
    knobs: Knobs,
    runs: Vec<Run>,
    load: Load,
    waiting: [usize; PRIORITIES.len()],
    reports: Vec<(Instant, Load)>,
    cache: Cache,
    streams: HashMap<String, Rc<Stream>>,
    fencing: u64,
    loaded: HashMap<String, String>,
    requests: u64,
}

pub(super) struct Server {
    state: RefCell<State>,
}

impl Handler for Server {
    async fn handle(self: Rc<Self>, request: BufferedRequest) -> Option<Response<ResponseBody>> {
        let stream = request.path.strip_prefix("/v1/streams/");
        match (&request.method, request.path.as_str(), stream) {
            (&Method::POST, "/v1/chat/completions", _) => Some(self.chat(&request)),
            (&Method::GET, _, Some(id)) => Some(self.resume(id, &request)),
            (&Method::DELETE, _, Some(id)) => Some(self.cancel(id)),
            (&Method::POST, "/knobs", _) => Some(self.set_knobs(&request)),
            (&Method::GET, "/runs", _) => Some(json(&self.state.borrow().runs)),
            (&Method::GET, "/load", _) => Some(json(&self.lagged_load())),
            (&Method::GET, "/report", _) => Some(self.report(&request)),
            (&Method::GET, "/cache/digest", _) => Some(self.cache_digest(&request)),
            (&Method::POST, "/kv/export", _) => Some(self.export(&request).await),
            (&Method::POST, "/kv/import", _) => Some(self.import(&request)),
            (&Method::POST, "/orders", _) => Some(self.order(&request).await),
            (&Method::GET, "/loaded", _) => Some(self.loaded()),
            _ => Some(status(StatusCode::NOT_FOUND)),
        }
    }
}

impl Server {
    pub(super) fn new(knobs: Knobs) -> Self {
        let state = State {
            knobs,
            ..State::default()
        };
        Self {
            state: RefCell::new(state),
        }
    }

    fn set_knobs(&self, request: &BufferedRequest) -> Response<ResponseBody> {
        match serde_json::from_slice(&request.body) {
            Ok(knobs) => {
                self.state.borrow_mut().knobs = knobs;
                status(StatusCode::OK)
            }
            Err(_) => status(StatusCode::BAD_REQUEST),
        }
    }

    fn chat(self: Rc<Self>, request: &BufferedRequest) -> Response<ResponseBody> {
        let Some(prompt) = prompt::parse(&request.body, request.header("x-cache-key")) else {
            return status(StatusCode::BAD_REQUEST);
        };
        if self.take_failure() {
            return self.with_request_id(status(StatusCode::INTERNAL_SERVER_ERROR), request);
        }
        let marker = self.state.borrow().knobs.crash_marker.clone();
        let run = self.record_run(request, &prompt);
        if !marker.is_empty() && prompt.text.contains(&marker) {
            std::process::abort();
        }
        let id = self.answer_id(request);
        let stream = Stream::new();
        let request_id = request.header("x-request-id").to_owned();
        let mut state = self.state.borrow_mut();
        state.streams.insert(request_id.clone(), stream.clone());
        drop(state);
        let rx = stream.read(0, self.take_stream_cut());
        let class = class(request.header("x-priority"));
        let job = Job {
            run,
            class,
            prompt,
            id: id.clone(),
            request_id,
            stream,
        };
        compio::runtime::spawn(self.generate(job)).detach();
        event_stream(rx, &id)
    }

    /// Adds the request's id to a response.
    fn with_request_id(
        &self,
        mut response: Response<ResponseBody>,
        request: &BufferedRequest,
    ) -> Response<ResponseBody> {
        if let Ok(id) = HeaderValue::from_str(request.header("x-request-id")) {
            response.headers_mut().insert("x-request-id", id);
        }
        response
    }

    /// Returns the id to answer with: the request's own, unless the `cross_answers` knob is set.
    fn answer_id(&self, request: &BufferedRequest) -> String {
        let mut state = self.state.borrow_mut();
        if state.knobs.cross_answers > 0 {
            state.knobs.cross_answers -= 1;
            return "another-request".to_owned();
        }
        request.header("x-request-id").to_owned()
    }

    fn resume(&self, id: &str, request: &BufferedRequest) -> Response<ResponseBody> {
        let Some(stream) = self.state.borrow().streams.get(id).cloned() else {
            return status(StatusCode::NOT_FOUND);
        };
        if stream.is_abandoned(Duration::MAX) {
            return status(StatusCode::NOT_FOUND);
        }
        let offset = request.query("offset").unwrap_or(0);
        event_stream(stream.read(offset, self.take_stream_cut()), id)
    }

    fn cancel(&self, id: &str) -> Response<ResponseBody> {
        if let Some(stream) = self.state.borrow().streams.get(id) {
            stream.cancel();
        }
        status(StatusCode::OK)
    }

    /// Records the run; returns its index in `State::runs`.
    fn record_run(&self, request: &BufferedRequest, prompt: &Prompt) -> usize {
        let mut state = self.state.borrow_mut();
        let cached_tokens = state.cache.tokens(prompt.key).min(prompt.tokens);
        let run = Run {
            request_id: request.header("x-request-id").to_owned(),
            attempt: request.header("x-attempt").to_owned(),
            idempotency_key: request.header("idempotency-key").to_owned(),
            prompt_tokens: prompt.tokens,
            cached_tokens,
            sent_tokens: prompt.first_token,
            whole: false,
        };
        print_run(&run);
        state.runs.push(run);
        state.runs.len() - 1
    }

    async fn generate(self: Rc<Self>, job: Job) {
        if self.wait_for_slot(&job).await {
            self.run(&job).await;
            let mut state = self.state.borrow_mut();
            state.load.running -= 1;
            state.report();
        }
        job.stream.end();
        compio::time::sleep(STREAM_RETENTION).await;
        let mut state = self.state.borrow_mut();
        let stored = state.streams.get(&job.request_id);
        if stored.is_some_and(|stored| Rc::ptr_eq(stored, &job.stream)) {
            state.streams.remove(&job.request_id);
        }
    }

    /// Waits for a free slot, after all requests of a more urgent class; returns false if the
    /// request was abandoned.
    async fn wait_for_slot(&self, job: &Job) -> bool {
        self.state.borrow_mut().waiting[job.class] += 1;
        loop {
            {
                let mut state = self.state.borrow_mut();
                let grace = Duration::from_millis(state.knobs.resume_grace_ms);
                let abandoned = job.stream.is_abandoned(grace);
                let is_next = state.waiting[..job.class].iter().all(|n| *n == 0);
                let free = state.load.running < state.knobs.slots;
                if abandoned || (is_next && free) {
                    state.waiting[job.class] -= 1;
                    state.load.waiting = state.waiting.iter().sum();
                    state.load.running += usize::from(!abandoned);
                    state.report();
                    return !abandoned;
                }
                state.load.waiting = state.waiting.iter().sum();
            }
            compio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    async fn run(&self, job: &Job) {
        let prompt = &job.prompt;
        let (cached, knobs) = {
            let state = self.state.borrow();
            (state.runs[job.run].cached_tokens, state.knobs.clone())
        };
        let uncached = u64::from(prompt.tokens - cached);
        let prefill = Duration::from_millis(uncached * knobs.prefill_ms_per_1000 / 1_000);
        compio::time::sleep(prefill).await;
        let grace = Duration::from_millis(knobs.resume_grace_ms);
        for index in prompt.first_token..prompt.max_tokens {
            if knobs.step_ms > 0 {
                compio::time::sleep(Duration::from_millis(knobs.step_ms)).await;
            }
            if job.stream.is_abandoned(grace) {
                return;
            }
            let content = token(&prompt.text, index);
            job.stream
                .push(chunk(&job.id, &prompt.model, index, &content));
            self.state.borrow_mut().runs[job.run].sent_tokens = index + 1;
        }
        job.stream.push(last_chunk(&job.id, prompt, cached));
        let mut state = self.state.borrow_mut();
        state.runs[job.run].whole = true;
        state.cache_chat(prompt.key, prompt.tokens + prompt.max_tokens);
    }

    fn take_stream_cut(&self) -> bool {
        let mut state = self.state.borrow_mut();
        let cut = state.knobs.cut_streams > 0;
        state.knobs.cut_streams = state.knobs.cut_streams.saturating_sub(1);
        cut
    }

    /// Returns whether the next request fails; failures are spread evenly over the requests.
    fn take_failure(&self) -> bool {
        let mut state = self.state.borrow_mut();
        let percent = state.knobs.fail_percent;
        state.requests += 1;
        let n = state.requests;
        n * percent / 100 != (n - 1) * percent / 100
    }

    fn lagged_load(&self) -> Load {
        let state = self.state.borrow();
        let lag = Duration::from_millis(state.knobs.report_lag_ms);
        let mut reports = state.reports.iter().rev();
        let old = reports.find(|(at, _)| at.elapsed() >= lag);
        Load {
            leaving: state.knobs.leaving,
            ..old.map(|(_, load)| *load).unwrap_or_default()
        }
    }

    /// Returns load and cache events in one response, to limit the polling traffic of routers.
    fn report(&self, request: &BufferedRequest) -> Response<ResponseBody> {
        let from = request.query("from").unwrap_or(0);
        let load = self.lagged_load();
        let events = self.state.borrow().cache.events(from);
        json(&Report { load, events })
    }

    fn cache_digest(&self, request: &BufferedRequest) -> Response<ResponseBody> {
        let max = request.query("max").unwrap_or(1_000);
        json(&self.state.borrow().cache.digest(max))
    }

    /// Sends the cache of a chat to another engine, delayed by the transfer time.
    async fn export(&self, request: &BufferedRequest) -> Response<ResponseBody> {
        let Ok(export) = serde_json::from_slice::<KvExport>(&request.body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let key = export.key;
        let tokens = self.state.borrow().cache.tokens(key);
        if tokens == 0 {
            return status(StatusCode::NOT_FOUND);
        }
        compio::time::sleep(Duration::from_millis(u64::from(tokens) / KV_TOKENS_PER_MS)).await;
        let body = serde_json::to_string(&KvImport { key, tokens }).unwrap_or_default();
        let url = format!("http://{}/kv/import", export.to);
        match post(&url, body).await {
            Ok(()) => json(&tokens),
            Err(_) => status(StatusCode::BAD_GATEWAY),
        }
    }

    fn import(&self, request: &BufferedRequest) -> Response<ResponseBody> {
        let Ok(import) = serde_json::from_slice::<KvImport>(&request.body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let mut state = self.state.borrow_mut();
        state.cache_chat(import.key, import.tokens);
        status(StatusCode::OK)
    }
}

/// A request that waits or runs.
struct Job {
    run: usize,
    class: usize,
    prompt: Prompt,
    id: String,
    request_id: String,
    stream: Rc<Stream>,
}

impl State {
    fn report(&mut self) {
        let load = self.load;
        self.reports.push((Instant::now(), load));
        if self.reports.len() > MAX_REPORTS {
            self.reports.drain(..MAX_REPORTS / 2);
        }
    }

    fn cache_chat(&mut self, key: u64, tokens: u32) {
        let limit = self.knobs.cache_tokens;
        self.cache.insert(key, tokens, limit, self.knobs.event_gap);
    }
}

fn class(priority: &str) -> usize {
    let known = PRIORITIES.iter().position(|p| *p == priority);
    known.unwrap_or(1)
}

fn event_stream(
    rx: tokio::sync::mpsc::Receiver<std::io::Result<bytes::Bytes>>,
    id: &str,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Stream(rx));
    if let Ok(id) = HeaderValue::from_str(id) {
        response.headers_mut().insert("x-request-id", id);
    }
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert("content-type", kind);
    response
}
