//! Returns answers to callers: streamed as events, collected into one object, or unchanged.

use std::io;
use std::time::Instant;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use serde::Deserialize;
use tokio::sync::mpsc;

use crate::decide::refusal::{Cause, Refusal, RunState};
use crate::event::{Events, Kind};
use crate::front::body::{Answer, recv_while_open};
use crate::peers::refuse;
use crate::schema::peer;
use crate::schema::peer::Head;
use crate::schema::peer::frame::Body;
use crate::serve::SharedCtx;
use crate::serve::callers::refusal;
use crate::serve::route::dispatch::Started;
use crate::stats::{self, Tally};
use crate::util;

const CHANNEL_CAPACITY: usize = 64;
/// The longest answer that is collected before it is sent; longer ones must be streamed.
const MAX_COLLECTED_BYTES: usize = 16 << 20;

/// Streams a chat answer as server-sent events.
pub(crate) fn streamed(
    ctx: &SharedCtx,
    request_id: &str,
    started: Started,
    mut tally: Tally,
) -> Result<Response<Answer>, peer::Refusal> {
    let head = head(started.first)?;
    let (tx, rx) = mpsc::channel(CHANNEL_CAPACITY);
    let mut rest = started.rest;
    let id = request_id.to_owned();
    let events = ctx.events.clone();
    let start = Instant::now();
    compio::runtime::spawn(async move {
        while let Some(body) = recv_while_open(&mut rest, &tx).await {
            emit_end(&events, &body, &id, start);
            let complete = matches!(body, Body::End(_));
            let (piece, last) = sse(body, &id);
            if tx.send(piece).await.is_err() {
                return;
            }
            if last {
                return tally.ended(complete);
            }
        }
        if !tx.is_closed() {
            tally.ended(false);
        }
        // The answer ended early: close the connection, so that the caller detects it.
        let _ = tx.send(Err(io::Error::other("answer ended early"))).await;
    })
    .detach();
    let mut response = Response::new(Answer::Stream(rx));
    copy_head(&head, &mut response);
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    Ok(response)
}

/// Emits the event for the end of an answer.
fn emit_end(events: &Events, body: &Body, request_id: &str, start: Instant) {
    let (kind, detail) = match body {
        Body::End(end) => (Kind::RequestAnswered, format!("{} chunks", end.chunks)),
        Body::Refused(r) => (Kind::RequestRefused, format!("{}: {}", r.cause, r.detail)),
        Body::Head(_) | Body::Chunk(_) => return,
    };
    events.emit(kind, |e| {
        request_id.clone_into(&mut e.request_id);
        e.took_us = util::micros(start.elapsed());
        e.detail = detail;
    });
}

/// The prompt's token counts, which an engine sends at the end of an answer.
#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: PromptDetails,
}

#[derive(Default, Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u64,
}

#[derive(Deserialize)]
struct WithUsage {
    usage: Option<Usage>,
}

/// Records the prompt's token counts if the chunk has them; only the last one does.
fn record_usage(chunk: &[u8]) {
    const FIELD: &[u8] = b"\"usage\"";
    if !chunk.windows(FIELD.len()).any(|w| w == FIELD) {
        return;
    }
    let parsed = serde_json::from_slice::<WithUsage>(chunk).ok();
    if let Some(usage) = parsed.and_then(|p| p.usage) {
        stats::prompt(
            usage.prompt_tokens,
            usage.prompt_tokens_details.cached_tokens,
        );
    }
}

/// Formats a frame as server-sent events; also returns whether it is the last.
fn sse(body: Body, request_id: &str) -> (io::Result<Bytes>, bool) {
    match body {
        Body::Chunk(data) => {
            record_usage(&data);
            let text = String::from_utf8_lossy(&data);
            (Ok(format!("data: {text}\n\n").into()), false)
        }
        Body::End(end) => {
            let end = format!(": chunks={}\n\ndata: [DONE]\n\n", end.chunks);
            (Ok(end.into()), true)
        }
        Body::Refused(refused) => {
            let json = refusal::json(&refused, request_id);
            (Ok(format!("event: error\ndata: {json}\n\n").into()), true)
        }
        Body::Head(_) => (Ok(Bytes::new()), false),
    }
}

/// Collects a streamed answer into one JSON object.
pub(crate) async fn collected(
    ctx: &SharedCtx,
    request_id: &str,
    started: Started,
) -> Result<Response<Answer>, peer::Refusal> {
    let start = Instant::now();
    let head = head(started.first)?;
    let chunks = collect_chunks(started.rest).await?;
    ctx.events.emit(Kind::RequestAnswered, |e| {
        request_id.clone_into(&mut e.request_id);
        e.took_us = util::micros(start.elapsed());
        e.detail = format!("{} chunks", chunks.len());
    });
    if head.status != u32::from(StatusCode::OK.as_u16()) {
        let mut response = Response::new(Answer::whole(chunks.concat()));
        copy_head(&head, &mut response);
        return Ok(response);
    }
    if let Some(last) = chunks.last() {
        record_usage(last);
    }
    let json = chat_object(&chunks);
    Ok(json_response(StatusCode::OK, json.to_string()))
}

fn chat_object(chunks: &[Vec<u8>]) -> serde_json::Value {
    let mut content = String::new();
    let mut last = serde_json::Value::Null;
    for chunk in chunks {
        let Ok(value) = serde_json::from_slice::<serde_json::Value>(chunk) else {
            continue;
        };
        if let Some(piece) = value.pointer("/choices/0/delta/content") {
            content.push_str(piece.as_str().unwrap_or_default());
        }
        last = value;
    }
    serde_json::json!({
        "id": last["id"],
        "object": "chat.completion",
        "model": last["model"],
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": content },
            "finish_reason": last.pointer("/choices/0/finish_reason"),
        }],
        "usage": last["usage"],
    })
}

async fn collect_chunks(mut rest: mpsc::Receiver<Body>) -> Result<Vec<Vec<u8>>, peer::Refusal> {
    let mut chunks = Vec::new();
    let mut bytes = 0;
    while let Some(body) = rest.recv().await {
        match body {
            Body::Chunk(data) => {
                bytes += data.len();
                if bytes > MAX_COLLECTED_BYTES {
                    return Err(too_long());
                }
                chunks.push(data);
            }
            Body::End(_) => return Ok(chunks),
            Body::Refused(refused) => return Err(refused),
            Body::Head(_) => {}
        }
    }
    let refusal = Refusal::unknown(Cause::UpstreamFailed);
    Err(refuse::message(&refusal, "the answer ended early"))
}

/// Returns the refusal for an answer over the size limit; the request ran.
fn too_long() -> peer::Refusal {
    let refusal = Refusal {
        run: RunState::Ran,
        ..Refusal::unknown(Cause::TooLarge)
    };
    let detail =
        format!("answer: exceeds the limit of {MAX_COLLECTED_BYTES} bytes; set stream to true");
    refuse::message(&refusal, detail)
}

/// Relays a plain service's answer unchanged.
pub(crate) fn relayed(
    ctx: &SharedCtx,
    request_id: &str,
    started: Started,
    mut tally: Tally,
) -> Result<Response<Answer>, peer::Refusal> {
    let head = head(started.first)?;
    let id = request_id.to_owned();
    let events = ctx.events.clone();
    let start = Instant::now();
    let (tx, rx) = mpsc::channel(CHANNEL_CAPACITY);
    let mut rest = started.rest;
    compio::runtime::spawn(async move {
        while let Some(body) = recv_while_open(&mut rest, &tx).await {
            emit_end(&events, &body, &id, start);
            let piece = match body {
                Body::Chunk(data) => Ok(data.into()),
                Body::End(_) => return tally.ended(true),
                Body::Refused(refused) => Err(io::Error::other(refused.detail)),
                Body::Head(_) => continue,
            };
            if tx.send(piece).await.is_err() {
                return;
            }
        }
        if !tx.is_closed() {
            tally.ended(false);
        }
        let _ = tx.send(Err(io::Error::other("answer ended early"))).await;
    })
    .detach();
    let mut response = Response::new(Answer::Stream(rx));
    copy_head(&head, &mut response);
    Ok(response)
}

fn head(first: Body) -> Result<Head, peer::Refusal> {
    match first {
        Body::Head(head) => Ok(head),
        Body::Refused(refused) => Err(refused),
        Body::Chunk(_) | Body::End(_) => {
            let refusal = Refusal::unknown(Cause::UpstreamFailed);
            Err(refuse::message(&refusal, "the answer has no head"))
        }
    }
}

fn copy_head(head: &Head, response: &mut Response<Answer>) {
    let code = u16::try_from(head.status).ok();
    let code = code.and_then(|c| StatusCode::from_u16(c).ok());
    *response.status_mut() = code.unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    for header in &head.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    for (name, value) in [("x-upstream", &head.upstream), ("x-home", &head.home)] {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    }
}

pub(crate) fn json_response(code: StatusCode, json: String) -> Response<Answer> {
    let mut response = Response::new(Answer::whole(json));
    *response.status_mut() = code;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
