//! What a planned stop does to requests: those that can't end before the exit are refused, so that their
//! callers go to another router.

use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use futures_util::pin_mut;
use hyper::body::Incoming;

use crate::decide::refusal::Cause;
use crate::decide::stop::Expected;
use crate::front::Drain;
use crate::front::check;
use crate::front::drain::Phase;
use crate::front::in_flight::{Stage, Tracker};
use crate::path::RequestPath;
use crate::path::refusal::Refused;
use crate::path::routes::Route;
use crate::stats;
use crate::util;

/// `Retry-After` of a router that is stopping or was suspended: the caller can retry at another
/// router at once.
pub(super) const STOPPING_RETRY_MS: u64 = 50;

/// Waits for the answer to a request until shortly before this process exits. Then a request that no upstream
/// has is refused as not run, and one that waits for another attempt as unknown.
pub(super) async fn until_closing<A>(
    drain: &Drain,
    tracker: &Tracker,
    answered: impl Future<Output = Result<A, Refused>>,
) -> Result<A, Refused> {
    let closing = drain.closing();
    pin_mut!(answered, closing);
    let answered = match select(answered, closing).await {
        Either::Left((answered, _)) => return answered,
        Either::Right(((), answered)) => answered,
    };
    match tracker.stage() {
        Stage::Reading | Stage::Waiting => Err(stopping()),
        Stage::Retrying => Err(Refused {
            cause: Cause::UpstreamFailed,
            ..stopping().after(1)
        }),
        Stage::Sent | Stage::Answering => answered.await,
    }
}

/// Reads the rest of a refused request's body, until shortly before this process exits at the latest. Returns
/// whether it was complete.
///
/// Failure guarded against: a router that stops refuses a request whose body doesn't end, waits for the body, and
/// exits without having sent the refusal.
pub(super) async fn discard(
    drain: &Drain,
    body: &mut Incoming,
    max_bytes: usize,
    limit: Duration,
) -> bool {
    let closing = drain.closing();
    let read = check::discard(body, max_bytes, limit);
    pin_mut!(read, closing);
    match select(read, closing).await {
        Either::Left((is_read, _)) => is_read,
        Either::Right(_) => false,
    }
}

/// Refuses a request if this router is past the announcement of its stop.
///
/// Failure guarded against: a request waits for state that doesn't matter any more, and the process
/// exits meanwhile, without an answer.
pub(super) fn check_stopping<D>(path: &RequestPath<D>) -> Result<(), Refused> {
    if path.drain.phase() >= Phase::Refusing {
        return Err(stopping());
    }
    Ok(())
}

/// The refusal by a router that is stopping.
pub(crate) fn stopping() -> Refused {
    let detail = "this router is stopping";
    Refused::not_run(Cause::Draining, STOPPING_RETRY_MS, detail)
}

/// Refuses a request that most likely can't end before this router does, if another router can take it.
///
/// Failure guarded against: a router that is leaving takes a long stream, and its exit cuts it.
pub(super) fn check_end<D>(
    path: &RequestPath<D>,
    route: &Route,
    deadline: Instant,
) -> Result<(), Refused> {
    let Some(left) = path.drain.time_left() else {
        return Ok(());
    };
    let expected = Expected {
        lately_ms: path.answer_times.borrow().long_ms(&route.name),
        objective_ms: (!route.repeat.is_stream()).then_some(route.objective_ms),
        limit_ms: util::millis(deadline.saturating_duration_since(Instant::now())),
    };
    let (longest_ms, left_ms) = (expected.longest_ms(), util::millis(left));
    if longest_ms <= left_ms || !path.has_others(&route.allowed_regions) {
        return Ok(());
    }
    stats::refused_for_stop();
    let detail = format!(
        "this router is stopping in {left_ms} ms, and a request of route {} may take {longest_ms} ms",
        route.name
    );
    Err(Refused::not_run(Cause::Draining, STOPPING_RETRY_MS, detail))
}
