//! Requests that one router delegates to another, which sends them to upstreams in its place.
//!
//! A router to which a request is delegated doesn't delegate it again. Its answer passes through the
//! delegating router unchanged. If that breaks off, the delegating router resumes a resumable stream.

use std::rc::Rc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use crate::decide::Origin;
use crate::decide::refusal::{Cause, RunState};
use crate::front::body::Answer;
use crate::front::check::{self, RequestError};
use crate::front::in_flight::Tracker;
use crate::path::RequestPath;
use crate::path::dialect::{CallerHead, Dialect, Records};
use crate::path::refusal::Refused;
use crate::path::request;
use crate::peers::{frames, refuse, server};
use crate::schema::peer::{DelegatedHead, DelegatedRequest, Header, Refusal};
use crate::util::Name;

/// Set on answers of upstreams, with the encoded [`DelegatedHead`]. Answers without it are the router's own.
const FROM_UPSTREAM: HeaderName = HeaderName::from_static("from-upstream");

/// What the delegating router did before.
#[derive(Clone, Debug, Default)]
pub(crate) struct Delegated {
    /// Whether it counted the request towards its retry budget.
    pub(crate) is_counted: bool,
    /// Upstreams that may have received the request.
    pub(crate) delivered_to: Vec<Name>,
    /// Number of upstreams that may have run it.
    pub(crate) runs: u32,
    /// Where the stream began that the request goes on with, if it does.
    pub(crate) origin: Option<Origin>,
    /// Brittle upstream to which alone the request may be sent; `None`: any.
    pub(crate) upstream: Option<Name>,
}

/// Answer of the router to which a request was delegated.
pub(crate) enum DelegatedAnswer {
    /// The answer of an upstream.
    Upstream {
        answer: Response<Incoming>,
        /// `None` if the router didn't tell what may run.
        head: Option<DelegatedHead>,
    },
    /// The router refused the request.
    Refused(Refused),
}

/// Encodes the headers of a request.
pub(crate) fn encode_headers(headers: &HeaderMap) -> Vec<Header> {
    let headers = headers.iter().map(|(name, value)| Header {
        name: name.to_string(),
        value: value.as_bytes().to_vec(),
    });
    headers.collect()
}

/// Answers a request that another router delegates to this one.
pub(crate) async fn answer<D: Dialect + Records>(
    path: &Rc<RequestPath<D>>,
    mut body: Incoming,
    tracker: Tracker,
) -> Response<Answer> {
    let read = check::message(&mut body, frames::MAX_FRAME_BYTES, &path.request_bytes).await;
    let (message, held) = match read {
        Ok(read) => read,
        Err(e @ RequestError::NoRoom { .. }) => return encode_refusal(&request::malformed(&e)),
        Err(_) => return server::status(StatusCode::BAD_REQUEST),
    };
    let mut delegated = match decode::<D>(&message) {
        Ok(delegated) => delegated,
        Err(e) => {
            log::warn!("delegated request can't be decoded; answering 400: {e}");
            return server::status(StatusCode::BAD_REQUEST);
        }
    };
    drop(message);
    delegated.body = held.attach(delegated.body.into());
    match request::handle_delegated(path.clone(), delegated, tracker).await {
        Ok(mut response) => {
            let head = response.extensions_mut().remove::<DelegatedHead>();
            let encoded = head.map_or_else(String::new, |head| encode_head(&head));
            let value = HeaderValue::try_from(encoded).unwrap_or(HeaderValue::from_static(""));
            response.headers_mut().insert(FROM_UPSTREAM, value);
            response
        }
        Err(refused) => encode_refusal(&refused),
    }
}

pub(super) fn decode<D: Dialect>(bytes: &[u8]) -> Result<request::Received, String> {
    let message: DelegatedRequest = frames::from_slice(bytes).map_err(|e| e.to_string())?;
    let mut request = Request::builder()
        .method(message.method.as_str())
        .uri(message.target);
    for header in message.headers {
        request = request.header(header.name, header.value);
    }
    let (parts, ()) = request.body(()).map_err(|e| e.to_string())?.into_parts();
    let head = D::caller_head(&parts.headers);
    Ok(request::Received {
        from: message.from_host.into(),
        head: CallerHead {
            deadline_ms: Some(message.remaining_ms),
            resume_after: message.resume_after.or(head.resume_after),
            ..head
        },
        parts,
        body: message.body,
        service: message.service.into(),
        suspicion: message.suspicion,
        delegated: Delegated {
            is_counted: message.is_counted,
            delivered_to: message.delivered_to.into_iter().map(Name::from).collect(),
            runs: message.runs,
            origin: message.origin.map(Into::into),
            upstream: Some(message.upstream)
                .filter(|u| !u.is_empty())
                .map(Name::from),
        },
    })
}

/// Encodes `head` as the value of a header.
pub(super) fn encode_head(head: &DelegatedHead) -> String {
    match frames::to_vec(head) {
        Ok(bytes) => BASE64.encode(bytes),
        Err(e) => {
            log::warn!("head of a delegated answer can't be encoded; its end will be final: {e}");
            String::new()
        }
    }
}

/// Decodes the value of a header. An earlier release sends one that says nothing.
pub(super) fn decode_head(value: &HeaderValue) -> Option<DelegatedHead> {
    let bytes = BASE64.decode(value.as_bytes()).ok()?;
    frames::from_slice(&bytes).ok()
}

fn encode_refusal(refused: &Refused) -> Response<Answer> {
    let refusal = Refusal {
        cause: refused.cause.to_string(),
        run_state: refused.run.to_string(),
        retry_after_ms: refused.retry_after_ms,
        detail: refused.detail.clone(),
        ..Refusal::default()
    };
    match frames::to_vec(&refusal) {
        Ok(bytes) => Response::new(Answer::whole(bytes)),
        Err(e) => {
            log::warn!("refusal of a delegated request can't be encoded; answering 500: {e}");
            server::status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Decodes the answer of `router`.
///
/// # Errors
/// Returns the reason if it is neither an upstream's answer nor a refusal; the request may have run.
pub(crate) async fn decode_answer(
    router: &str,
    mut answer: Response<Incoming>,
) -> Result<DelegatedAnswer, String> {
    if let Some(value) = answer.headers_mut().remove(FROM_UPSTREAM) {
        let head = decode_head(&value);
        return Ok(DelegatedAnswer::Upstream { answer, head });
    }
    let status = answer.status();
    if status != StatusCode::OK {
        return Err(format!("router {router} answered {status}"));
    }
    let body = Limited::new(answer.into_body(), frames::MAX_FRAME_BYTES);
    let body = body.collect().await.map_err(|e| e.to_string())?;
    let refusal: Refusal = frames::from_slice(&body.to_bytes()).map_err(|e| e.to_string())?;
    let run = if refuse::is_not_run(&refusal) {
        RunState::NotRun
    } else {
        RunState::Unknown
    };
    Ok(DelegatedAnswer::Refused(Refused {
        // A later release may have further causes.
        cause: refusal.cause.parse().unwrap_or(Cause::UpstreamFailed),
        run,
        retry_after_ms: refusal.retry_after_ms,
        detail: format!("router {router}: {}", refusal.detail),
    }))
}
