//! Refusals as HTTP responses to callers, with the retry delay in whole seconds.

use http::Response;

use crate::decide::refusal::Cause;
use crate::front::body::Answer;
use crate::front::refusal::{ErrorBody, status};
use crate::schema::peer;

const SECOND_MS: u64 = 1_000;

fn error_body<'a>(refused: &'a peer::Refusal, request_id: &'a str) -> ErrorBody<'a> {
    ErrorBody {
        cause: &refused.cause,
        run_state: &refused.run_state,
        retry_after_ms: refused.retry_after_ms,
        message: &refused.detail,
        request_id: Some(request_id),
    }
}

fn cause(refused: &peer::Refusal) -> Cause {
    refused.cause.parse().unwrap_or(Cause::UpstreamFailed)
}

pub(crate) fn json(refused: &peer::Refusal, request_id: &str) -> String {
    error_body(refused, request_id).json()
}

pub(crate) fn response(refused: &peer::Refusal, request_id: &str) -> Response<Answer> {
    let seconds = refused.retry_after_ms.div_ceil(SECOND_MS);
    error_body(refused, request_id).response(status(cause(refused)), seconds.into())
}

/// Returns the raw response for a caller whose request is not read.
pub(crate) fn raw(refused: &peer::Refusal) -> Vec<u8> {
    let seconds = refused.retry_after_ms.div_ceil(SECOND_MS).to_string();
    error_body(refused, "").raw(status(cause(refused)), &seconds)
}

#[cfg(test)]
#[path = "refusal_tests.rs"]
mod refusal_tests;
