//! Request and answer headers that the request path uses, independent of their names.

use std::net::SocketAddr;

use http::{HeaderMap, HeaderValue, StatusCode};

use crate::decide::brittle::Frailty;
use crate::path::routes::Deployment;
use crate::path::upstreams::Upstream;

/// What a caller specifies about its request besides method, path and body.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerHead {
    /// Identifies this request. A retry by the caller has another id.
    pub request_id: Option<String>,
    /// Key that authenticates the account of the caller.
    pub key: Option<String>,
    /// Time limit of the caller.
    pub deadline_ms: Option<u64>,
    /// Ids of the parts of the prompt, in order. Equal text has equal ids, and the last part
    /// belongs to this request alone.
    pub prompt_parts: Vec<u64>,
    /// Tokens of the last part of the prompt, which no upstream has cached.
    pub own_tokens: u32,
    /// Expected length of the answer, in tokens.
    pub output_tokens: u32,
    /// Last event that the caller received of a stream that broke off.
    pub resume_after: Option<u64>,
    /// Id of the caller's request that brought the first event of that stream.
    pub resumes: Option<String>,
}

/// What one call to an upstream carries in addition to what the caller sent.
#[derive(Clone, Copy, Debug)]
pub struct CallHead<'a> {
    /// Addressed incarnation. Any other one rejects the call.
    pub upstream_id: &'a str,
    /// Account authenticated by the key of the caller.
    pub account: Option<&'a str>,
    /// Remaining time for the whole answer.
    pub remaining_ms: u64,
    /// Event after which the stream resumes.
    pub resume_after: Option<u64>,
    /// Upstream from which the called one fetches the shared part of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// 0 is the most urgent; upstreams serve urgent requests first.
    pub priority: Option<u8>,
}

/// What an upstream reports besides status and body.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerHead {
    /// Id of the request that this answers.
    pub request_id: Option<String>,
    /// Whether the answer proves that the upstream produced it.
    pub has_proof: bool,
    /// Whether the upstream reports that it did not run the request.
    pub not_run: bool,
    /// Whether the body is in a coding that callers didn't ask for.
    pub is_encoded: bool,
    /// Whether the upstream announces that it is shutting down.
    pub is_leaving: bool,
    /// Time for which the upstream wants no further request from this router.
    pub pushback_ms: Option<u64>,
    /// Whether the upstream says that it is brittle.
    pub frailty: Frailty,
}

/// Decodes the records that operators and upstreams write to the platform's log.
pub trait Records: 'static {
    /// Reason why a record is invalid.
    type Error: std::fmt::Display;

    /// Decodes a complete configuration.
    ///
    /// # Errors
    /// Returns an error that names the invalid field.
    fn deployment(record: &[u8]) -> Result<Deployment, Self::Error>;

    /// Decodes the record that upstream `id` wrote.
    ///
    /// # Errors
    /// Returns an error that names the invalid field.
    fn upstream(id: &str, record: &[u8]) -> Result<Upstream, Self::Error>;
}

/// Header names of one kind of callers and upstreams.
pub trait Dialect: 'static {
    /// Parses the headers of a caller.
    fn caller_head(headers: &HeaderMap) -> CallerHead;

    /// Builds the headers of a call from those of the caller that may be forwarded and those that
    /// this router sets.
    fn call_headers(from_caller: &HeaderMap, call: &CallHead<'_>) -> HeaderMap;

    /// Parses status and headers of an upstream's answer.
    fn answer_head(status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Formats a retry delay for callers.
    fn retry_after(retry_after_ms: u64) -> HeaderValue;

    /// Sets the request id in an answer of this router's own.
    fn set_request_id(headers: &mut HeaderMap, request_id: &str);
}
