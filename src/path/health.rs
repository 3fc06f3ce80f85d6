//! Which upstreams take no work for what was seen of them: a table without network or clock.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use crate::decide::ejection::{Change, DEFAULT_SHARE, Ejector};
use crate::decide::grey::{Outcomes, grey};
use crate::fleet::in_flight::UpstreamTotals;
use crate::fleet::loads::digest;
use crate::path::upstreams::Upstream;
use crate::util::Name;

/// An upstream that refuses connections, or doesn't take one in time, gets no work for this long. Its
/// entry stays for some heartbeats after a crash; a restart takes longer than this, and asking again
/// costs one round trip.
const UNREACHABLE_MS: u64 = 1_000;

/// Calls that ended since the other routers were last told.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ended {
    pub(crate) ended: u32,
    pub(crate) failed: u32,
}

/// What this router, and the others by what they told, saw of all upstreams.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// By service.
    ejectors: HashMap<Name, Ejector>,
    outcomes: HashMap<Name, Outcomes>,
    untold: HashMap<Name, Ended>,
    /// Upstreams whose address another incarnation has.
    replaced: HashSet<Name>,
    /// Those left out for a share of failures: they live, and answer the rest.
    grey: HashSet<Name>,
    /// Until when those that took no connection get no work.
    unreachable: HashMap<Name, u64>,
}

impl Health {
    /// Whether `upstream` takes no work for now.
    pub(crate) fn is_out(&self, upstream: &Upstream, now_ms: u64) -> bool {
        let ejector = self.ejectors.get(&upstream.service);
        ejector.is_some_and(|e| e.is_ejected(&upstream.id, now_ms))
    }

    /// Whether `upstream` is left out for the share of calls that it fails.
    pub(crate) fn is_grey(&self, upstream: &Upstream) -> bool {
        self.grey.contains(&upstream.id)
    }

    pub(crate) fn is_replaced(&self, upstream: &Upstream) -> bool {
        self.replaced.contains(&upstream.id)
    }

    /// Whether `upstream` took no connection a moment ago.
    pub(crate) fn is_unreachable(&self, upstream: &Upstream, now_ms: u64) -> bool {
        let until_ms = self.unreachable.get(&upstream.id);
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// `upstream` took no connection.
    ///
    /// Failure guarded against: half of a pool dies at once. Ejection leaves out a third of a pool at
    /// most, so requests go on being sent to dead upstreams until their entries lapse, and callers are
    /// refused while others have room. A refused connection needs no comparison with the pool.
    pub(crate) fn unreachable(&mut self, upstream: &Name, now_ms: u64) {
        self.unreachable
            .insert(upstream.clone(), now_ms + UNREACHABLE_MS);
    }

    /// Whether others can be sent to `upstream` for what it holds of prompts. One that fails a share of
    /// its requests still hands these on, which spares the pool reading them anew while it is left out.
    pub(crate) fn is_source(&self, upstream: &Upstream, now_ms: u64) -> bool {
        let is_lost = self.is_out(upstream, now_ms) && !self.grey.contains(&upstream.id);
        !is_lost && !self.is_unreachable(upstream, now_ms) && !self.is_replaced(upstream)
    }

    /// Tells whether it was new.
    pub(crate) fn replaced(&mut self, id: &Name) -> bool {
        self.replaced.insert(id.clone())
    }

    /// A call to `upstream` begins. The first one after an ejection's hold is the probe, and no other
    /// goes there until it ended.
    ///
    /// Failure guarded against: all that waits goes at once to an upstream whose hold is over and that
    /// still fails; and an answer that nobody takes for the probe's leaves it one failure away from a
    /// hold twice as long, for good.
    pub(crate) fn begin(&mut self, upstream: &Upstream, now_ms: u64) {
        if let Some(ejector) = self.ejectors.get_mut(&upstream.service) {
            ejector.admits(&upstream.id, now_ms);
        }
    }

    /// `upstream` gave an answer's head after `took_ms`.
    pub(crate) fn answered(
        &mut self,
        upstream: &Upstream,
        took_ms: u64,
        pool: &[Name],
        now_ms: u64,
    ) -> Change {
        self.count(&upstream.id, false, now_ms);
        let ejector = self.ejectors.entry(upstream.service.clone()).or_default();
        ejector.answered(&upstream.id, took_ms, pool, DEFAULT_SHARE, now_ms)
    }

    /// `upstream` answered that it failed: a service may fail some requests by its nature, and three of
    /// these in a row come by chance. Only its share of failures beside its pool's counts.
    ///
    /// Failure guarded against: lookups of which one in seven fails everywhere. Each upstream fails three
    /// in a row every few seconds, is left out for seconds, and at five times the load callers are refused
    /// for the places that a quarter of the pool would have had.
    pub(crate) fn answered_failure(&mut self, upstream: &Upstream, pool: &[Name], now_ms: u64) {
        let ejector = self.ejectors.get(&upstream.service);
        if ejector.is_some_and(|e| e.is_probed(&upstream.id)) {
            self.failed(upstream, pool, now_ms);
        } else {
            self.count(&upstream.id, true, now_ms);
        }
    }

    /// A call to `upstream` failed.
    pub(crate) fn failed(&mut self, upstream: &Upstream, pool: &[Name], now_ms: u64) -> Change {
        self.count(&upstream.id, true, now_ms);
        let ejector = self.ejectors.entry(upstream.service.clone()).or_default();
        let change = ejector.failed(&upstream.id, pool, DEFAULT_SHARE, now_ms);
        if change == Change::Ejected {
            self.grey.remove(&upstream.id);
        }
        change
    }

    fn count(&mut self, id: &Name, failed: bool, now_ms: u64) {
        let outcomes = self.outcomes.entry(id.clone()).or_default();
        outcomes.add(1, failed.into(), now_ms);
        let untold = self.untold.entry(id.clone()).or_default();
        untold.ended += 1;
        untold.failed += u32::from(failed);
    }

    /// Leaves those of one service's `pool` out that fail a share of their calls, by what all routers
    /// saw of them; returns these with their shares.
    pub(crate) fn judge(
        &mut self,
        pool: &[Rc<Upstream>],
        told: &HashMap<u32, UpstreamTotals>,
        now_ms: u64,
    ) -> Vec<(Name, f64)> {
        let Some(first) = pool.first() else {
            return Vec::new();
        };
        let seen = |u: &Rc<Upstream>| {
            let own = self.outcomes.get(&u.id).copied().unwrap_or_default();
            let told = told.get(&digest(&u.id)).copied().unwrap_or_default();
            own.plus(told.outcomes, now_ms)
        };
        let seen: Vec<Outcomes> = pool.iter().map(seen).collect();
        let names: Vec<Name> = pool.iter().map(|u| u.id.clone()).collect();
        let ejector = self.ejectors.entry(first.service.clone()).or_default();
        let mut ejected = Vec::new();
        for at in grey(&seen) {
            let change = ejector.eject_grey(&names[at], &names, DEFAULT_SHARE, now_ms);
            if change == Change::Ejected {
                self.grey.insert(names[at].clone());
                ejected.push((names[at].clone(), seen[at].share()));
            }
        }
        ejected
    }

    /// What the other routers haven't been told yet.
    pub(crate) fn take_untold(&mut self) -> HashMap<Name, Ended> {
        std::mem::take(&mut self.untold)
    }

    /// Forgets what was seen of `id`: it started anew.
    pub(crate) fn forget(&mut self, id: &Name) {
        self.retain(|known| *known != **id);
    }

    /// Forgets upstreams that `is_known` doesn't hold for.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.replaced.retain(|id| is_known(id));
        self.grey.retain(|id| is_known(id));
        self.unreachable.retain(|id, _| is_known(id));
        self.outcomes.retain(|id, _| is_known(id));
        for ejector in self.ejectors.values_mut() {
            ejector.retain(&is_known);
        }
    }
}
