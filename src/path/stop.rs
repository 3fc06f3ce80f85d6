//! A planned stop: callers are led away first, then what is in flight ends.
//!
//! Failure guarded against: a router is told to stop, callers still hold its address, and their
//! requests are cut. It leaves the entry answers at once and serves on, closing connections after
//! their answers, until every caller has asked anew; only then is new work refused.

use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::fleet::gossip::GossipCommand;
use crate::front::drain::Phase;
use crate::path::Path;

/// Some callers keep an entry answer for this many times what it says.
const HELD_FACTOR: u32 = 3;
/// Share of the grace time after which the process is gone by itself.
const GRACE_SHARE: f64 = 0.95;
/// Stops; returns when the process may end.
pub(crate) async fn run<D>(path: &Rc<Path<D>>, entry_ttl: Duration, grace: Duration) {
    let started = Instant::now();
    let limit = grace.mul_f64(GRACE_SHARE);
    path.drain.enter(Phase::Leaving);
    path.gossip.send(GossipCommand::Leave);
    let learnt = entry_ttl * HELD_FACTOR;
    compio::time::sleep(learnt.min(limit / 2)).await;
    path.drain.enter(Phase::Refusing);
    let left = path
        .drain
        .wait_until_idle(limit.saturating_sub(started.elapsed()))
        .await;
    log::info!("stopped, {left} in flight");
}
