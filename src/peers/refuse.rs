//! Refusals in the form that routers send to one another.

use tokio::sync::mpsc;

use crate::decide::refusal::{Cause, Refusal, RunState};
use crate::peers::Frames;
use crate::schema::peer;
use crate::schema::peer::frame::Body;

pub(crate) fn message(refusal: &Refusal, detail: impl Into<String>) -> peer::Refusal {
    peer::Refusal {
        cause: refusal.cause.to_string(),
        run_state: refusal.run.to_string(),
        retry_after_ms: refusal.retry_after_ms,
        detail: detail.into(),
        load: None,
        suspicion: None,
    }
}

/// Returns a refusal with the default text for its cause.
pub(crate) fn with_default_detail(refusal: &Refusal) -> peer::Refusal {
    message(refusal, default_detail(refusal.cause))
}

fn default_detail(cause: Cause) -> &'static str {
    match cause {
        Cause::Unauthorized => "no account has this key",
        Cause::AccountSuspended => "the account is suspended",
        Cause::MemoryLimit => "callers' requests take all the memory that they may",
        Cause::ConnectionLimit => "this router is at its connection limit",
        Cause::BadRequest => "the request is malformed",
        Cause::TooLarge => "the body or the headers exceed the size limit",
        Cause::TooSlow => "the request was received too slowly",
        Cause::UnknownService => "no service has this model or path",
        Cause::AccountLimit => "the account has reached its rate or concurrency limit",
        Cause::QueueFull => "the service's queue is full",
        Cause::Deadline => "the request can't be served before its deadline",
        Cause::Shed => "requests of this priority are shed while the service is overloaded",
        Cause::OverBound => "the upstream has reached its load limit relative to its pool",
        Cause::Full => "the upstream has no free slot, but another one has",
        Cause::HomeUnreachable => "the upstream's home router can't be reached",
        Cause::NoUpstream => "no upstream of the service accepts requests now",
        Cause::UpstreamFailed => "the upstream failed",
        Cause::Quarantined => "the request is quarantined: it is suspected of crashing upstreams",
        Cause::LogUnavailable => "the platform's log, which this request needs, is unavailable",
        Cause::KeyTooOld => "the idempotency key is older than the log's retention period",
        Cause::StillRunning => "a request with the same idempotency key is still running",
        Cause::OutcomeUnknown => "outcome of a request with the same idempotency key is unknown",
        Cause::Draining => "this router is stopping",
    }
}

pub(crate) fn not_run(
    cause: Cause,
    retry_after_ms: u64,
    detail: impl Into<String>,
) -> peer::Refusal {
    message(&Refusal::not_run(cause, retry_after_ms), detail)
}

/// Returns an answer that consists of the refusal alone.
pub(crate) fn frames(refused: peer::Refusal) -> Frames {
    let (tx, rx) = mpsc::channel(1);
    // The channel has capacity for one frame.
    let _ = tx.try_send(Body::Refused(refused));
    rx
}

/// Whether it is certain that the refused request reached no upstream.
pub(crate) fn is_not_run(refused: &peer::Refusal) -> bool {
    refused.run_state.parse() == Ok(RunState::NotRun)
}
