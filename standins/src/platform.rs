//! The platform: an append-only log with offsets, a host list that lags, and a weight store.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{HeaderValue, Method, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http::{BufferedRequest, Handler, ResponseBody, json, print_run, serve, status};
use crate::keyed::{Restore, wall_ms};
use crate::weights::WeightStore;

/// Faults that a test can set.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Knobs {
    /// Every log request fails without effect.
    pub outage: bool,
    /// Number of appends whose responses are dropped, after they took effect.
    pub drop_replies: u32,
    /// Delay added to every request.
    pub delay_ms: u64,
    /// Age at which records are deleted; 0 keeps all.
    pub retention_ms: u64,
    /// Time until a change of the host list becomes visible.
    pub host_lag_ms: u64,
    /// Appends per second above which the log answers 503; 0 sets no limit.
    pub appends_per_s: u32,
    /// Fetches per second above which the weight store answers 429; 0 sets no limit.
    pub weights_per_s: u32,
    /// Replace every stream now by a copy of this age, which begins a new era; 0 does nothing.
    pub restore_age_ms: u64,
}

/// Header of every response to a log request: the number of restores so far.
const ERA_HEADER: &str = "log-era";

/// One entry of the host list.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// "router" or "upstream"; for an upstream, only `name` and `leaving` are used.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// Data centre that it runs in.
    pub data_center: String,
    /// Address for callers.
    pub caller_addr: String,
    /// Address for other routers.
    pub peer_addr: String,
    /// Whether the host is being removed.
    #[serde(default)]
    pub leaving: bool,
}

#[derive(Serialize)]
struct StoredRecord {
    offset: u64,
    text: String,
    #[serde(skip)]
    at: Instant,
}

#[derive(Default)]
struct Stream {
    next: u64,
    records: VecDeque<StoredRecord>,
}

impl Stream {
    /// Returns to the state as of `then`; the offsets after it will be given out again.
    fn restore(&mut self, then: Instant) {
        while self.records.back().is_some_and(|r| r.at > then) {
            self.records.pop_back();
            self.next -= 1;
        }
    }
}

#[derive(Deserialize)]
struct Append {
    records: Vec<String>,
}

#[derive(Serialize)]
struct AppendResponse {
    offset: u64,
}

#[derive(Serialize)]
struct Page<'a> {
    first: u64,
    next: u64,
    records: Vec<&'a StoredRecord>,
}

#[derive(Default)]
struct State {
    knobs: Knobs,
    streams: BTreeMap<String, Stream>,
    hosts: Vec<(Instant, Host)>,
    appends: VecDeque<Instant>,
    append_count: u64,
    weights: WeightStore,
    era: u64,
}

/// A running platform.
pub struct Platform {
    /// Address that it listens on.
    pub addr: SocketAddr,
    server: Rc<Server>,
}

#[derive(Default)]
struct Server {
    state: RefCell<State>,
}

impl Platform {
    /// Starts the platform on the current runtime.
    ///
    /// # Errors
    /// Fails if `addr` can't be listened on.
    pub async fn bind(addr: SocketAddr) -> io::Result<Self> {
        let server = Rc::new(Server::default());
        let addr = serve(addr, server.clone()).await?;
        Ok(Self { addr, server })
    }

    /// Adds a host to the host list, without an HTTP request.
    pub fn add_host(&self, host: Host) {
        self.server.state.borrow_mut().put_host(host);
    }
}

impl Handler for Server {
    async fn handle(self: Rc<Self>, request: BufferedRequest) -> Option<Response<ResponseBody>> {
        let delay_ms = self.state.borrow().knobs.delay_ms;
        if delay_ms > 0 {
            compio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        let mut state = self.state.borrow_mut();
        let stream = request.path.strip_prefix("/log/").map(str::to_owned);
        if let Some(name) = request.path.strip_prefix("/weights/") {
            let per_s = state.knobs.weights_per_s;
            return Some(state.weights.fetch(name, per_s));
        }
        match (&request.method, request.path.as_str(), stream) {
            (&Method::POST, "/knobs", _) => Some(state.set_knobs(&request)),
            (&Method::GET, "/hosts", _) => Some(state.list_hosts()),
            (&Method::PUT, "/hosts", _) => Some(state.handle_put_host(&request)),
            (&Method::GET, "/counts", _) => Some(json(&state.append_count)),
            (&Method::GET, "/weights", _) => Some(json(&state.weights.fetched)),
            (_, _, Some(_)) if state.knobs.outage => Some(status(StatusCode::SERVICE_UNAVAILABLE)),
            (&Method::POST, _, Some(stream)) => {
                let response = state.append(&stream, &request)?;
                Some(state.with_era(response))
            }
            (&Method::GET, _, Some(stream)) => {
                let response = state.read(&stream, &request);
                Some(state.with_era(response))
            }
            _ => Some(status(StatusCode::NOT_FOUND)),
        }
    }
}

impl State {
    fn set_knobs(&mut self, request: &BufferedRequest) -> Response<ResponseBody> {
        let Ok(knobs) = serde_json::from_slice::<Knobs>(&request.body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        if knobs.restore_age_ms > 0 {
            self.restore(knobs.restore_age_ms);
        }
        self.knobs = knobs;
        status(StatusCode::OK)
    }

    /// Replaces every stream by a copy of age `age_ms`.
    fn restore(&mut self, age_ms: u64) {
        let now = Instant::now();
        let then = now.checked_sub(Duration::from_millis(age_ms));
        for stream in self.streams.values_mut() {
            stream.restore(then.unwrap_or(now));
        }
        self.era += 1;
        print_run(&Restore {
            era: self.era,
            age_ms,
            restored_ms: wall_ms(),
        });
    }

    fn with_era(&self, mut response: Response<ResponseBody>) -> Response<ResponseBody> {
        let era = HeaderValue::from(self.era);
        response.headers_mut().insert(ERA_HEADER, era);
        response
    }

    fn put_host(&mut self, host: Host) {
        self.hosts.push((Instant::now(), host));
    }

    fn handle_put_host(&mut self, request: &BufferedRequest) -> Response<ResponseBody> {
        match serde_json::from_slice(&request.body) {
            Ok(host) => {
                self.put_host(host);
                status(StatusCode::OK)
            }
            Err(_) => status(StatusCode::BAD_REQUEST),
        }
    }

    /// Returns the last entry of each host that is older than the lag.
    fn list_hosts(&self) -> Response<ResponseBody> {
        let lag = Duration::from_millis(self.knobs.host_lag_ms);
        let visible = self.hosts.iter().filter(|(at, _)| at.elapsed() >= lag);
        let latest: BTreeMap<&str, &Host> = visible.map(|(_, h)| (h.name.as_str(), h)).collect();
        json(&latest.values().collect::<Vec<_>>())
    }

    fn append(&mut self, name: &str, request: &BufferedRequest) -> Option<Response<ResponseBody>> {
        let Ok(append) = serde_json::from_slice::<Append>(&request.body) else {
            return Some(status(StatusCode::BAD_REQUEST));
        };
        if self.over_rate() {
            return Some(status(StatusCode::SERVICE_UNAVAILABLE));
        }
        let stream = self.streams.entry(name.to_owned()).or_default();
        let offset = stream.next;
        for text in append.records {
            let at = Instant::now();
            let offset = stream.next;
            stream.records.push_back(StoredRecord { offset, text, at });
            stream.next += 1;
        }
        self.append_count += 1;
        if self.knobs.drop_replies > 0 {
            self.knobs.drop_replies -= 1;
            return None;
        }
        Some(json(&AppendResponse { offset }))
    }

    fn over_rate(&mut self) -> bool {
        let limit = self.knobs.appends_per_s as usize;
        let window = Duration::from_secs(1);
        while self.appends.front().is_some_and(|at| at.elapsed() > window) {
            self.appends.pop_front();
        }
        self.appends.push_back(Instant::now());
        limit > 0 && self.appends.len() > limit
    }

    fn read(&mut self, name: &str, request: &BufferedRequest) -> Response<ResponseBody> {
        let from: u64 = request.query("from").unwrap_or(0);
        let max: usize = request.query("max").unwrap_or(256);
        let retention = Duration::from_millis(self.knobs.retention_ms);
        let stream = self.streams.entry(name.to_owned()).or_default();
        let expired = |r: &StoredRecord| !retention.is_zero() && r.at.elapsed() > retention;
        while stream.records.front().is_some_and(expired) {
            stream.records.pop_front();
        }
        let first = stream.records.front().map_or(stream.next, |r| r.offset);
        let newer = stream.records.iter().filter(|r| r.offset >= from);
        json(&Page {
            first,
            next: stream.next,
            records: newer.take(max).collect(),
        })
    }
}
