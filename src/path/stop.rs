//! Planned stop: moves callers to other routers first, then finishes the requests in flight.
//!
//! Failure guarded against: a router is stopped while callers still use its address, and their
//! requests are cut off. It is removed from entry answers at once and continues to serve, closing
//! each connection after its answer, until every caller has queried the entry again. Only then is
//! new work refused.
//!
//! Failure guarded against: the process exits while requests wait for their turn or for state, and their
//! callers learn nothing. Shortly before, what no upstream has is refused as not run.

use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::decide::stop::{StopSignal, StopTimes};
use crate::fleet::gossip::GossipCommand;
use crate::front::drain::{Phase, Schedule};
use crate::path::RequestPath;
use crate::path::dialect::Records;
use crate::util::millis;

/// Some callers cache an entry answer for this multiple of its lifetime.
const ENTRY_TTL_FACTOR: u32 = 3;

/// Stops the router, and returns when the process may exit.
pub(crate) async fn run<D: Records>(
    path: &Rc<RequestPath<D>>,
    entry_ttl: Duration,
    grace: Duration,
) {
    let schedule = schedule(path, entry_ttl, grace);
    path.drain.plan(schedule);
    path.drain.enter(Phase::Leaving);
    path.gossip.send(GossipCommand::Leave);
    compio::time::sleep_until(schedule.refuse).await;
    path.drain.enter(Phase::Refusing);
    let mut left = path.drain.wait_until_idle(until(schedule.close)).await;
    if left > 0 {
        path.drain.enter(Phase::Closing);
        left = path.drain.wait_until_idle(until(schedule.exit)).await;
    }
    let links = path.drain.close_links(until(schedule.exit)).await;
    path.drain.report_stop();
    log::info!("stopped, {left} in flight, {links} links to other routers open");
}

/// Returns when the stop goes on whose signal was noticed now.
fn schedule<D: Records>(path: &RequestPath<D>, entry_ttl: Duration, grace: Duration) -> Schedule {
    let signal = StopSignal {
        earliest_ms: path.replica.earliest_ms(),
        noticed_ms: path.clock.now_ms(),
    };
    let notice = entry_ttl * ENTRY_TTL_FACTOR;
    let times = StopTimes::new(signal, millis(notice), millis(grace));
    let now = Instant::now();
    let at = |ms: u64| now + Duration::from_millis(ms.saturating_sub(signal.noticed_ms));
    Schedule {
        refuse: at(times.refuse_ms),
        close: at(times.close_ms),
        exit: at(times.exit_ms),
    }
}

fn until(at: Instant) -> Duration {
    at.saturating_duration_since(Instant::now())
}
