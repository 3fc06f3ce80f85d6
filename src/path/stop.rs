//! Planned stop: moves callers to other routers first, then finishes the requests in flight.
//!
//! Failure guarded against: a router is stopped while callers still use its address, and their
//! requests are cut off. It is removed from entry answers at once and continues to serve, closing
//! each connection after its answer, until every caller has queried the entry again. Only then is
//! new work refused.

use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::fleet::gossip::GossipCommand;
use crate::front::drain::Phase;
use crate::path::RequestPath;

/// Some callers cache an entry answer for this multiple of its lifetime.
const ENTRY_TTL_FACTOR: u32 = 3;
/// Share of the grace time within which the process exits by itself.
const GRACE_SHARE: f64 = 0.95;

/// Stops the router, and returns when the process may exit.
pub(crate) async fn run<D>(path: &Rc<RequestPath<D>>, entry_ttl: Duration, grace: Duration) {
    let started = Instant::now();
    let limit = grace.mul_f64(GRACE_SHARE);
    path.drain.enter(Phase::Leaving);
    path.gossip.send(GossipCommand::Leave);
    let notice = entry_ttl * ENTRY_TTL_FACTOR;
    compio::time::sleep(notice.min(limit / 2)).await;
    path.drain.enter(Phase::Refusing);
    let left = path
        .drain
        .wait_until_idle(limit.saturating_sub(started.elapsed()))
        .await;
    let limit_left = limit.saturating_sub(started.elapsed());
    let links = path.drain.close_links(limit_left).await;
    path.drain.report_stop();
    log::info!("stopped, {left} in flight, {links} links to other routers open");
}
