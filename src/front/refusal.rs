//! HTTP form of refusals: a status, typed JSON and a `Retry-After` header.

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use crate::decide::refusal::Cause;
use crate::front::body::Answer;

/// The `error` object in the body of a refusal.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct ErrorBody<'a> {
    pub(crate) cause: &'a str,
    pub(crate) run_state: &'a str,
    /// 0 if a retry can't succeed.
    pub(crate) retry_after_ms: u64,
    pub(crate) message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) request_id: Option<&'a str>,
}

#[derive(Serialize)]
struct ErrorResponse<'a> {
    error: ErrorBody<'a>,
}

/// Returns the HTTP status for `cause`.
pub(crate) fn status(cause: Cause) -> StatusCode {
    match cause {
        Cause::Unauthorized => StatusCode::UNAUTHORIZED,
        Cause::AccountSuspended => StatusCode::FORBIDDEN,
        Cause::BadRequest | Cause::KeyTooOld => StatusCode::BAD_REQUEST,
        Cause::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Cause::TooSlow => StatusCode::REQUEST_TIMEOUT,
        Cause::UnknownService => StatusCode::NOT_FOUND,
        Cause::AccountLimit => StatusCode::TOO_MANY_REQUESTS,
        Cause::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Cause::UpstreamFailed => StatusCode::BAD_GATEWAY,
        Cause::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        Cause::StillRunning | Cause::OutcomeUnknown => StatusCode::CONFLICT,
        Cause::QueueFull
        | Cause::Shed
        | Cause::OverBound
        | Cause::HomeUnreachable
        | Cause::Full
        | Cause::NoUpstream
        | Cause::LogUnavailable
        | Cause::ConnectionLimit
        | Cause::MemoryLimit
        | Cause::Draining => StatusCode::SERVICE_UNAVAILABLE,
    }
}

impl ErrorBody<'_> {
    pub(crate) fn json(self) -> String {
        serde_json::to_string(&ErrorResponse { error: self })
            .inspect_err(|e| {
                log::error!("cannot serialize a refusal, sending it with an empty body: {e}")
            })
            .unwrap_or_default()
    }

    /// Returns the refusal as the bytes of a complete HTTP response that closes the connection, for
    /// a caller whose request isn't read.
    pub(crate) fn raw(self, status: StatusCode, retry_after: &str) -> Vec<u8> {
        let json = self.json();
        format!(
            "HTTP/1.1 {status}\r\ncontent-type: application/json\r\nretry-after: {retry_after}\r\n\
             content-length: {}\r\nconnection: close\r\n\r\n{json}",
            json.len(),
        )
        .into_bytes()
    }

    /// Returns the refusal as a response; `retry_after` is the value of the `Retry-After` header.
    pub(crate) fn response(self, status: StatusCode, retry_after: HeaderValue) -> Response<Answer> {
        let mut response = Response::new(Answer::whole(self.json()));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if self.retry_after_ms > 0 {
            headers.insert(RETRY_AFTER, retry_after);
        }
        response
    }
}
