//! Callers of the fleet and the outcomes of their requests.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use serde_json::{Value, json};
use tokio::sync::oneshot;

use super::ACCOUNT_KEY;

/// Upper limit that ends a hanging test.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Polls a condition until it is true; panics after [`WAIT_LIMIT`].
pub(crate) async fn wait_until<F, Fut>(what: &str, condition: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    assert!(poll_until(condition).await, "timed out waiting for {what}");
}

/// Polls a condition until it is true; returns `false` after [`WAIT_LIMIT`].
pub(crate) async fn poll_until<F, Fut>(mut condition: F) -> bool
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let start = Instant::now();
    while !condition().await {
        if start.elapsed() >= WAIT_LIMIT {
            return false;
        }
        compio::time::sleep(Duration::from_millis(20)).await;
    }
    true
}

/// The body of a successful GET.
pub(crate) async fn get(addr: SocketAddr, path: &str) -> Option<String> {
    let client = cyper::Client::new().unwrap();
    let url = format!("http://{addr}{path}");
    let response = client.get(url).unwrap().send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    response.text().await.ok()
}

pub(crate) async fn put(addr: SocketAddr, path: &str, body: &str) {
    let client = cyper::Client::new().unwrap();
    let url = format!("http://{addr}{path}");
    let request = client.put(url).unwrap().body(body.to_owned());
    assert!(request.send().await.unwrap().status().is_success());
}

/// Sends a POST and returns whether it succeeded.
pub(crate) async fn post(addr: SocketAddr, path: &str, body: &str) -> bool {
    let client = cyper::Client::new().unwrap();
    let url = format!("http://{addr}{path}");
    let request = client.post(url).unwrap().body(body.to_owned());
    let response = request.send().await;
    response.is_ok_and(|r| r.status().is_success())
}

pub(crate) async fn set_knobs(addr: SocketAddr, knobs: &Value) {
    assert!(post(addr, "/knobs", &knobs.to_string()).await);
}

/// What a caller received.
#[derive(Clone, Debug, Default)]
pub(crate) struct Received {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: String,
    /// Whether the response ended as the protocol requires.
    pub(crate) complete: bool,
    /// Longest time without a byte of the body, from the request to the end of the response.
    pub(crate) longest_gap: Duration,
}

/// The outcome that a caller can conclude from a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum CallOutcome {
    /// A complete answer.
    Served,
    /// A refusal with its cause, run state and retry time.
    Refused {
        cause: String,
        run_state: String,
        retry_after_ms: u64,
    },
    /// The connection broke: whether the request ran is unknown.
    Cut,
}

impl Received {
    pub(crate) fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(k, _)| k == name);
        found.map_or("", |(_, v)| v)
    }

    /// The data of each server-sent event.
    pub(crate) fn data(&self) -> Vec<&str> {
        let lines = self.body.lines();
        lines.filter_map(|l| l.strip_prefix("data: ")).collect()
    }

    /// The tokens of a streamed chat answer, joined.
    pub(crate) fn text(&self) -> String {
        let values = self
            .data()
            .into_iter()
            .filter_map(|d| serde_json::from_str(d).ok());
        let pieces = values.filter_map(|v: Value| {
            let piece = v.pointer("/choices/0/delta/content")?;
            Some(piece.as_str()?.to_owned())
        });
        pieces.collect()
    }

    pub(crate) fn outcome(&self) -> CallOutcome {
        let last = self.data().last().copied().unwrap_or(&self.body);
        let error = serde_json::from_str::<Value>(last).unwrap_or_default();
        if let Some(error) = error.get("error") {
            let text = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
            return CallOutcome::Refused {
                cause: text("cause"),
                run_state: text("run_state"),
                retry_after_ms: error["retry_after_ms"].as_u64().unwrap_or(0),
            };
        }
        let streamed = self.header("content-type") == "text/event-stream";
        if self.status == 200 && self.complete && (!streamed || last == "[DONE]") {
            return CallOutcome::Served;
        }
        CallOutcome::Cut
    }

    pub(crate) fn not_run(&self) -> bool {
        matches!(self.outcome(), CallOutcome::Refused { run_state, .. } if run_state == "not_run")
    }
}

/// A client that uses the key of one account.
#[derive(Clone)]
pub(crate) struct Caller {
    client: cyper::Client,
    key: String,
}

impl Caller {
    pub(crate) fn new(key: &str) -> Self {
        Self {
            client: cyper::Client::new().unwrap(),
            key: key.to_owned(),
        }
    }

    /// Sends one request; `None` when no answer began.
    pub(crate) async fn call(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Received> {
        let request = self.request(addr, method, path, headers);
        let sent = Instant::now();
        let response = request.body(body.to_owned()).send().await.ok()?;
        Some(receive(response, sent).await)
    }

    /// Sends the first byte of the body at once and the rest when `rest` is sent.
    pub(crate) async fn call_in_parts(
        &self,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        first: &str,
        rest: oneshot::Receiver<String>,
    ) -> Option<Received> {
        let first = Bytes::from(first.to_owned());
        let first = stream::once(async move { Ok(first) });
        let rest = stream::once(async move { Ok(Bytes::from(rest.await.unwrap_or_default())) });
        let body = cyper::Body::stream(first.chain(rest));
        let request = self.request(addr, "POST", path, headers);
        let sent = Instant::now();
        let response = request.body(body).send().await.ok()?;
        Some(receive(response, sent).await)
    }

    fn request(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
    ) -> cyper::RequestBuilder {
        let method = method.parse().unwrap();
        let url = format!("http://{addr}{path}");
        let request = self.client.request(method, url).unwrap();
        let mut request = request.bearer_auth(&self.key).unwrap();
        for (name, value) in headers {
            request = request.header(*name, *value).unwrap();
        }
        request
    }

    /// Requests a streamed chat answer.
    pub(crate) async fn chat(&self, addr: SocketAddr, body: &str) -> Option<Received> {
        self.call(addr, "POST", "/v1/chat/completions", &[], body)
            .await
    }

    /// Sends a non-idempotent entry with its idempotency key.
    pub(crate) async fn entry(&self, addr: SocketAddr, key: &str, body: &str) -> Option<Received> {
        let headers = [("idempotency-key", key)];
        self.call(addr, "POST", "/records/entries", &headers, body)
            .await
    }
}

async fn receive(response: cyper::Response, sent: Instant) -> Received {
    let mut received = Received {
        status: response.status().as_u16(),
        headers: response
            .headers()
            .iter()
            .map(|(k, v)| (k.to_string(), v.to_str().unwrap_or_default().to_owned()))
            .collect(),
        complete: true,
        ..Received::default()
    };
    let mut bytes = Vec::new();
    let mut stream = Box::pin(response.bytes_stream());
    let mut last_piece = sent;
    while let Some(piece) = stream.next().await {
        received.longest_gap = received.longest_gap.max(last_piece.elapsed());
        last_piece = Instant::now();
        match piece {
            Ok(piece) => bytes.extend_from_slice(&piece),
            Err(_) => {
                received.complete = false;
                break;
            }
        }
    }
    received.body = String::from_utf8_lossy(&bytes).into_owned();
    received
}

/// Sends one request with the key of account "acme", on a connection of its own.
pub(crate) async fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Received> {
    let caller = Caller::new(ACCOUNT_KEY);
    caller.call(addr, method, path, headers, body).await
}

/// A streamed chat request body.
pub(crate) fn chat_body(chat: &str, prompt: &str, max_tokens: u32) -> String {
    let body = json!({
        "model": "small",
        "stream": true,
        "max_tokens": max_tokens,
        "prompt_cache_key": chat,
        "messages": [{ "role": "user", "content": prompt }],
    });
    body.to_string()
}

/// The answer that an engine gives to `prompt`.
pub(crate) fn expected_answer(prompt: &str, max_tokens: u32) -> String {
    (0..max_tokens)
        .map(|i| standins::engine::token(prompt, i))
        .collect()
}
