//! Answers of this router's own: what each says of the request, and when to come back.

use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use crate::decide::refusal::{Cause, RunState};
use crate::path::dialect::Dialect;
use crate::serve::body::Answer;
use crate::serve::refuse;

/// Why a request ends without an upstream's answer.
#[derive(Clone, Debug)]
pub(crate) struct Refused {
    pub(crate) cause: Cause,
    pub(crate) run: RunState,
    /// 0 where coming back won't help.
    pub(crate) retry_after_ms: u64,
    pub(crate) detail: String,
}

#[derive(Serialize)]
struct Body<'a> {
    error: Error<'a>,
}

#[derive(Serialize)]
struct Error<'a> {
    cause: &'static str,
    run_state: &'static str,
    retry_after_ms: u64,
    message: &'a str,
}

impl Refused {
    pub(crate) fn not_run(cause: Cause, retry_after_ms: u64, detail: impl Into<String>) -> Self {
        Self {
            cause,
            run: RunState::NotRun,
            retry_after_ms,
            detail: detail.into(),
        }
    }

    /// 503 promises that the request didn't run and never will; 502 and 504 promise nothing.
    fn status(&self) -> StatusCode {
        let is_promise = self.run == RunState::NotRun;
        match self.cause {
            Cause::Deadline | Cause::UpstreamFailed | Cause::Quarantined if is_promise => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Cause::NoUpstream | Cause::Full if !is_promise => StatusCode::BAD_GATEWAY,
            cause => refuse::status(cause),
        }
    }

    /// Whether the rest of what the caller sends on this connection can't be told from a request.
    fn ends_connection(&self) -> bool {
        matches!(
            self.cause,
            Cause::BadRequest | Cause::TooLarge | Cause::TooSlow
        )
    }

    pub(crate) fn response<D: Dialect>(&self, request_id: Option<&str>) -> Response<Answer> {
        let body = Body {
            error: Error {
                cause: self.cause.into(),
                run_state: self.run.into(),
                retry_after_ms: self.retry_after_ms,
                message: &self.detail,
            },
        };
        let json = serde_json::to_string(&body).unwrap_or_default();
        let mut response = Response::new(Answer::whole(json));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if self.retry_after_ms > 0 {
            headers.insert(RETRY_AFTER, D::retry_after(self.retry_after_ms));
        }
        if self.ends_connection() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if let Some(id) = request_id {
            D::mark_own(headers, id);
        }
        response
    }
}
