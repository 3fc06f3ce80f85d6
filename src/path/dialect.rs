//! What the path needs to know of a request's and an answer's headers, whatever their names are.

use std::net::SocketAddr;

use http::{HeaderMap, HeaderValue};

use crate::path::routes::Deployment;
use crate::path::upstreams::Upstream;

/// What a caller says of its request beside method, path and body.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerHead {
    /// Names this request; a caller that asks again uses another.
    pub request_id: Option<String>,
    /// What proves the caller's account.
    pub key: Option<String>,
    /// How long the caller waits.
    pub deadline_ms: Option<u64>,
    /// Ids of the prompt's parts, in order; the same text has the same id, and the last part is the
    /// request's own.
    pub prompt_parts: Vec<u64>,
    /// Tokens of the prompt's last part, which no upstream has read before.
    pub own_tokens: u32,
    /// How long an answer is expected, in tokens.
    pub output_tokens: u32,
    /// The last event that the caller has of a stream that broke.
    pub resume_after: Option<u64>,
}

/// What one call to an upstream carries beside what the caller sent.
#[derive(Clone, Copy, Debug)]
pub struct CallHead<'a> {
    /// The incarnation that is meant: any other refuses the call.
    pub upstream_id: &'a str,
    /// The account that the caller's key proved.
    pub account: Option<&'a str>,
    /// Time left for the whole answer.
    pub remaining_ms: u64,
    /// Goes on after this event.
    pub resume_after: Option<u64>,
    /// An upstream that has what the prompt shares with others: this one takes it from there.
    pub fetch_from: Option<SocketAddr>,
    /// 0 is the most urgent; an upstream serves these first.
    pub priority: Option<u8>,
}

/// What an upstream says beside status and body.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerHead {
    /// The request that this answers.
    pub request_id: Option<String>,
    /// Proves that this upstream made the answer.
    pub has_proof: bool,
    /// The upstream says that it didn't run the request.
    pub not_run: bool,
}

/// What operators and upstreams write to the platform's log.
pub trait Records: 'static {
    /// Why a record can't be used.
    type Error: std::fmt::Display;

    /// Decodes a whole configuration.
    ///
    /// # Errors
    /// Names the field that can't be used.
    fn deployment(record: &[u8]) -> Result<Deployment, Self::Error>;

    /// Decodes what the upstream `id` says of itself.
    ///
    /// # Errors
    /// Names the field that can't be used.
    fn upstream(id: &str, record: &[u8]) -> Result<Upstream, Self::Error>;
}

/// The header names of one kind of caller and upstream.
pub trait Dialect: 'static {
    /// Reads a caller's headers.
    fn caller_head(headers: &HeaderMap) -> CallerHead;

    /// The headers of a call: what the caller may hand on, and what this system sets.
    fn call_headers(from_caller: &HeaderMap, call: &CallHead<'_>) -> HeaderMap;

    /// Reads an upstream's headers.
    fn answer_head(headers: &HeaderMap) -> AnswerHead;

    /// A time to come back as callers read it.
    fn retry_after(retry_after_ms: u64) -> HeaderValue;

    /// Names the request in an answer of this system's own.
    fn mark_own(headers: &mut HeaderMap, request_id: &str);
}
