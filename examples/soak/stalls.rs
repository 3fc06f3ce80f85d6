//! Times in which all processes of the fleet stand still at once, as on a machine that gives them no
//! processor time. Callers go on.

use std::ops::RangeInclusive;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::faults::{Interruptions, Scene};
use crate::outages::{Outage, Span};
use crate::support::routed::RoutedFleet;
use crate::support::{ProcessHandle, wall_ms};
use crate::suspend::Hold;

/// Duration of a stall.
pub(crate) const STALL_MS: RangeInclusive<u64> = 300..=2_400;

/// A stall that goes on.
pub(crate) struct Stall {
    from_ms: u64,
    routers: Vec<Hold>,
    upstreams: Vec<usize>,
    others: Vec<ProcessHandle>,
}

impl Stall {
    /// Suspends all processes. Upstreams that are frozen already are left to their own fault.
    pub(crate) fn begin(routed: &RoutedFleet, scene: &Scene) -> Self {
        let from_ms = wall_ms();
        let mut upstreams: Vec<usize> = (0..routed.upstreams.len()).collect();
        upstreams.retain(|i| !scene.outages.is_open(Outage::UpstreamFrozen(*i)));
        let relays = routed.store_relays.iter().map(|r| r.process.handle());
        let served = upstreams.iter().map(|i| routed.upstreams[*i].handle());
        let others = relays.chain(served).chain([routed.store.handle()]);
        let others: Vec<ProcessHandle> = others.collect();
        for process in &others {
            process.freeze();
        }
        let routers = 0..routed.routers.len();
        let routers = routers.map(|r| scene.suspender.hold(r)).collect();
        Self {
            from_ms,
            routers,
            upstreams,
            others,
        }
    }

    /// Lets all processes go on.
    pub(crate) fn end(self, scene: &Scene, interruptions: &mut Interruptions) {
        for process in &self.others {
            process.unfreeze();
        }
        for hold in self.routers {
            scene.suspender.release(hold);
        }
        let span = Span {
            from_ms: self.from_ms,
            to_ms: wall_ms(),
        };
        scene.outages.add(Outage::Stall, span);
        scene.outages.add(Outage::Store, span);
        for upstream in self.upstreams {
            scene.outages.add(Outage::UpstreamSilent(upstream), span);
            interruptions.upstream_silent(upstream, span);
        }
    }
}

/// Splits the duration of a stall into the times before and after something happens in it.
pub(crate) fn draw(rng: &mut SmallRng) -> (u64, u64) {
    let stall_ms = rng.random_range(STALL_MS);
    let before_ms = rng.random_range(0..stall_ms);
    (before_ms, stall_ms - before_ms)
}
