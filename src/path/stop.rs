//! A planned stop: callers are led away first, then what is in flight ends.
//!
//! Failure guarded against: a router is told to stop, callers still hold its address, and their
//! requests are cut. It leaves the entry answers at once and serves on, closing connections after
//! their answers, until every caller has asked anew; only then is new work refused.

use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::fleet::gossip::Note;
use crate::path::Path;
use crate::serve::drain::Phase;

/// Some callers keep an entry answer for this many times what it says.
const HELD_FACTOR: u32 = 3;
/// Share of the grace time after which the process is gone by itself.
const GRACE_SHARE: f64 = 0.95;
/// How often the end of what is in flight is looked for.
const LOOK: Duration = Duration::from_millis(20);
/// For the last bytes of the last answer to leave.
const LAST_BYTES: Duration = Duration::from_millis(100);

/// Stops; returns when the process may end.
pub(crate) async fn run<D>(path: &Rc<Path<D>>, entry_ttl: Duration, grace: Duration) {
    let started = Instant::now();
    let limit = grace.mul_f64(GRACE_SHARE);
    enter(path, Phase::Leaving);
    path.gossip.note(Note::Leave);
    let learnt = entry_ttl * HELD_FACTOR;
    compio::time::sleep(learnt.min(limit / 2)).await;
    enter(path, Phase::Refusing);
    while path.drain.in_flight() > 0 && started.elapsed() < limit {
        compio::time::sleep(LOOK).await;
    }
    compio::time::sleep(LAST_BYTES).await;
    log::info!("stopped, {} in flight", path.drain.in_flight());
}

fn enter<D>(path: &Rc<Path<D>>, phase: Phase) {
    path.drain.enter(phase);
    let name: &'static str = phase.into();
    log::info!("{name}, {} in flight", path.drain.in_flight());
}
