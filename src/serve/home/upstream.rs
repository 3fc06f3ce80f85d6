//! Calls to upstreams: model engines answer with server-sent events, plain services with any body.

use std::cell::Cell;
use std::sync::Arc;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::future::Either;
use futures_util::{Stream, StreamExt, pin_mut};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde_json::Value;
use tokio::sync::mpsc;

use crate::decide::refusal::{Cause, Refusal};
use crate::event::Kind;
use crate::http1::{Busy, Client, ClientError};
use crate::peers::refuse;
use crate::schema::config::Upstream;
use crate::schema::peer;
use crate::schema::peer::frame::Body;
use crate::schema::peer::{End, Forward, Head, Header};
use crate::serve::SharedCtx;

/// Carries the request's id to the upstream, which echoes it.
pub(crate) const REQUEST_ID: &str = "x-request-id";

const ATTEMPT: &str = "x-attempt";

/// Identifies a chat's prefix to the engine, whose cache events use the same key.
const CACHE_KEY: &str = "x-cache-key";

const PRIORITY: &str = "x-priority";
const STREAMS_PATH: &str = "/v1/streams";
const DONE: &str = "[DONE]";
/// Largest event of a stream, with the comments before it. A token takes some hundred bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Headers that are not forwarded to the next hop.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
    "te",
    "host",
    "content-length",
    "authorization",
];

/// Head of an answer, with its unread body and the connection that it arrives on.
type Answer = (Response<Incoming>, Busy);

/// One call to one upstream.
pub(crate) struct Call {
    pub(crate) ctx: SharedCtx,
    pub(crate) http: Client,
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) engine: bool,
    pub(crate) forward: Forward,
    pub(crate) tx: mpsc::Sender<Body>,
}

impl Call {
    /// Calls the upstream and forwards its answer; cancels the call when the caller disconnects.
    pub(crate) async fn run(self) {
        let tx = self.tx.clone();
        let work = self.answer();
        let closed = tx.closed();
        pin_mut!(work, closed);
        match futures_util::future::select(work, closed).await {
            Either::Left((Ok(()), _)) => {}
            Either::Left((Err(refused), _)) => {
                // Fails only if the caller has disconnected.
                let _ = tx.send(Body::Refused(refused)).await;
            }
            Either::Right(_) => self.cancel().await,
        }
    }

    /// Cancels the stream at the engine, which frees the slot before the engine's own grace period
    /// ends.
    async fn cancel(&self) {
        self.ctx.events.emit(Kind::RequestCancelled, |e| {
            e.request_id.clone_from(&self.forward.request_id);
            e.upstream.clone_from(&self.upstream.name);
        });
        if !self.engine {
            return;
        }
        let id = &self.forward.request_id;
        let path = format!("{STREAMS_PATH}/{id}");
        if let Err(e) = self
            .request(&Method::DELETE, &path, HeaderMap::new(), Bytes::new())
            .await
        {
            log::debug!(
                "cancelling a stream at {} failed: {}",
                self.upstream.name,
                e.detail
            );
        }
    }

    async fn answer(&self) -> Result<(), peer::Refusal> {
        let (response, connection) = self.response().await?;
        let echoed = response.headers().get(REQUEST_ID);
        if echoed.map(HeaderValue::as_bytes) != Some(self.forward.request_id.as_bytes()) {
            return Err(self.mismatched());
        }
        let head = Head {
            status: response.status().as_u16().into(),
            headers: end_to_end_headers(response.headers()),
            upstream: self.upstream.name.clone(),
            home: self.ctx.host.to_string(),
            load: None,
        };
        let streams = self.engine && response.status().is_success();
        self.forward_frame(Body::Head(head)).await?;
        let bytes = response.into_body().into_data_stream();
        let chunks = if streams {
            self.forward_events(bytes).await?
        } else {
            self.forward_bytes(bytes).await?
        };
        self.http.put_back(connection);
        self.forward_frame(Body::End(End { chunks })).await
    }

    /// Resumes an interrupted stream at its offset if this engine still has it; otherwise sends the
    /// request again.
    async fn response(&self) -> Result<Answer, peer::Refusal> {
        if self.forward.resume_upstream != self.upstream.name {
            return self.send_request().await;
        }
        let fwd = &self.forward;
        let path = format!(
            "{STREAMS_PATH}/{}?offset={}",
            fwd.request_id, fwd.delivered_chunks
        );
        let resumed = self.send(&Method::GET, &path, Bytes::new()).await?;
        if !resumed.0.status().is_success() {
            return self.send_request().await;
        }
        self.ctx.events.emit(Kind::RequestResumed, |e| {
            e.request_id.clone_from(&fwd.request_id);
            e.upstream.clone_from(&self.upstream.name);
            e.attempt = fwd.attempt;
            e.detail = format!("from chunk {}", fwd.delivered_chunks);
        });
        Ok(resumed)
    }

    async fn send_request(&self) -> Result<Answer, peer::Refusal> {
        let fwd = &self.forward;
        let method = Method::from_bytes(fwd.method.as_bytes()).map_err(|e| bad_request(&e))?;
        let body = if fwd.delivered_text.is_empty() {
            fwd.body.clone()
        } else {
            force_prefix(&fwd.body, &fwd.delivered_text)
        };
        self.send(&method, &fwd.path, body).await
    }

    async fn send(
        &self,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, peer::Refusal> {
        let headers = self.headers()?;
        self.request(method, path, headers, body).await
    }

    async fn request(
        &self,
        method: &Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Answer, peer::Refusal> {
        let addr = self.upstream.addr.parse().map_err(|e| bad_request(&e))?;
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method.clone();
        *request.uri_mut() = path.parse::<Uri>().map_err(|e| bad_request(&e))?;
        *request.headers_mut() = headers;
        let sent = self.http.send(addr, request).await;
        sent.map_err(|e| self.send_failed(&e))
    }

    fn headers(&self) -> Result<HeaderMap, peer::Refusal> {
        let fwd = &self.forward;
        let mut headers = HeaderMap::new();
        for header in &fwd.headers {
            let name = HeaderName::from_bytes(header.name.as_bytes());
            let value = HeaderValue::from_bytes(&header.value);
            let name = name.map_err(|e| bad_request(&e))?;
            headers.append(name, value.map_err(|e| bad_request(&e))?);
        }
        let id = HeaderValue::from_str(&fwd.request_id).map_err(|e| bad_request(&e))?;
        let priority = HeaderValue::from_str(&fwd.priority).map_err(|e| bad_request(&e))?;
        let key = HeaderValue::from_str(&format!("{:x}", fwd.chat_key));
        headers.insert(REQUEST_ID, id);
        headers.insert(PRIORITY, priority);
        headers.insert(ATTEMPT, fwd.attempt.into());
        headers.insert(CACHE_KEY, key.map_err(|e| bad_request(&e))?);
        Ok(headers)
    }

    /// Failure guarded against: an engine sends an event that never ends, and it takes all memory.
    async fn forward_events<E>(
        &self,
        bytes: impl Stream<Item = Result<Bytes, E>>,
    ) -> Result<u64, peer::Refusal>
    where
        E: std::fmt::Display,
    {
        // The parser keeps all bytes since the last event, and reads a line anew with each piece of it.
        let unread_bytes = Cell::new(0);
        let bounded = bytes.map(|piece| {
            let piece = piece.map_err(|e| e.to_string())?;
            unread_bytes.update(|bytes| bytes + piece.len());
            if unread_bytes.get() > MAX_EVENT_BYTES {
                return Err(format!("no event within {MAX_EVENT_BYTES} bytes"));
            }
            Ok(piece)
        });
        let events = bounded.eventsource();
        pin_mut!(events);
        let mut chunks = 0;
        while let Some(event) = events.next().await {
            let event = event.map_err(|e| self.interrupted(&e))?;
            unread_bytes.set(0);
            if event.data == DONE {
                return Ok(chunks);
            }
            if !event.data.contains(&self.forward.request_id) {
                return Err(self.mismatched());
            }
            chunks += 1;
            self.forward_frame(Body::Chunk(event.data.into_bytes()))
                .await?;
        }
        Err(self.interrupted(&"the stream ended without [DONE]"))
    }

    async fn forward_bytes<E>(
        &self,
        bytes: impl Stream<Item = Result<Bytes, E>>,
    ) -> Result<u64, peer::Refusal>
    where
        E: std::fmt::Display,
    {
        pin_mut!(bytes);
        let mut chunks = 0;
        while let Some(piece) = bytes.next().await {
            let piece = piece.map_err(|e| self.interrupted(&e))?;
            chunks += 1;
            self.forward_frame(Body::Chunk(piece.to_vec())).await?;
        }
        Ok(chunks)
    }

    async fn forward_frame(&self, body: Body) -> Result<(), peer::Refusal> {
        let closed = |_| {
            refuse::message(
                &Refusal::unknown(Cause::UpstreamFailed),
                "caller disconnected",
            )
        };
        self.tx.send(body).await.map_err(closed)
    }

    /// Drops an answer that carries another request's id, along with the connection: it must never
    /// reach this caller.
    fn mismatched(&self) -> peer::Refusal {
        self.ctx.events.emit(Kind::AnswerDropped, |e| {
            e.request_id.clone_from(&self.forward.request_id);
            e.upstream.clone_from(&self.upstream.name);
        });
        let refusal = Refusal::unknown(Cause::UpstreamFailed);
        refuse::message(&refusal, "the upstream answered with another request's id")
    }

    fn interrupted(&self, e: &impl std::fmt::Display) -> peer::Refusal {
        let detail = format!("{}: answer interrupted: {e}", self.upstream.name);
        refuse::message(&Refusal::unknown(Cause::UpstreamFailed), detail)
    }

    fn send_failed(&self, e: &ClientError) -> peer::Refusal {
        let detail = format!("{}: {e}", self.upstream.name);
        if e.is_not_sent() {
            return refuse::not_run(Cause::UpstreamFailed, 0, detail);
        }
        refuse::message(&Refusal::unknown(Cause::UpstreamFailed), detail)
    }
}

fn bad_request(e: &impl ToString) -> peer::Refusal {
    refuse::not_run(Cause::BadRequest, 0, e.to_string())
}

/// Adds the text already delivered as a forced prefix, so that the engine continues it and the
/// answer never joins two different samplings.
fn force_prefix(body: &[u8], delivered: &str) -> Bytes {
    let Ok(mut request) = serde_json::from_slice::<Value>(body) else {
        return Bytes::copy_from_slice(body);
    };
    if let Some(object) = request.as_object_mut() {
        object.insert("forced_prefix".to_owned(), Value::from(delivered));
    }
    serde_json::to_vec(&request).unwrap_or_default().into()
}

/// Returns the headers to forward to the next hop.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| Header {
            name: name.to_string(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}
