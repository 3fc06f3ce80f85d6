//! Current state of the upstreams of one service: which accept work, and how much.

use std::rc::Rc;

use crate::decide::spread::{self, Candidate};
use crate::fleet::loads::digest;
use crate::path::regions::AllowedRegions;
use crate::path::router_state::{RouterState, Tried};
use crate::path::upstreams::Upstream;
use crate::util;

/// Time after its appearance during which an upstream is assumed to have hardly any shared prompt
/// parts cached: most parts are requested every few seconds.
const CACHE_WARMUP_MS: u64 = 8_000;

/// What is ignored if no upstream would be left: an attempt is better than a refusal based on a
/// state that may have changed.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Relaxation {
    None,
    /// Ejections.
    Ejected,
    /// Refused connections as well.
    Unreachable,
    /// Failures of this request at the upstream as well, which may be able to serve it now.
    Tried,
}

/// In increasing order.
const RELAXATIONS: [Relaxation; 3] = [
    Relaxation::Ejected,
    Relaxation::Unreachable,
    Relaxation::Tried,
];

impl RouterState {
    /// Returns the upstreams of `service` and the state of each; this router may open `max_open`
    /// connections to each.
    pub(crate) fn pool(
        &self,
        service: &str,
        tried: &Tried<'_>,
        allowed_regions: &[&AllowedRegions],
        max_open: u32,
        now_ms: u64,
    ) -> (Vec<Rc<Upstream>>, Vec<Candidate>) {
        let pool = self.upstreams.borrow().pool(service).to_vec();
        let load = self.gossip.in_flight();
        let others = &load.upstreams;
        let running = self.running.borrow();
        let health = self.health.borrow();
        let decisions = self.decisions();
        let is_ejected =
            |u: &Upstream| health.is_ejected(u, now_ms) && decisions.is_enabled_for(&health, u);
        let own = |u: &Upstream| running.get(&u.id).copied().unwrap_or(0);
        let evacuations = self.evacuations.borrow();
        let cold_starts = self.cold_starts.borrow();
        let is_withheld = |u: &Upstream| {
            evacuations.contains(&u.data_center) || !cold_starts.admits(&u.id, now_ms)
        };
        // Evacuations, allowed regions and the limits of cold upstreams apply even if no other
        // upstream is left. The request is then refused at once.
        let is_closed = |u: &Upstream| {
            u.draining
                || health.is_replaced(u)
                || own(u) >= max_open
                || is_withheld(u)
                || !self.regions.allow(allowed_regions, &u.data_center)
        };
        let is_unreachable =
            |u: &Upstream| decisions.unreachable && health.is_unreachable(u, now_ms);
        let is_excluded = |u: &Upstream, relaxation: Relaxation| {
            is_closed(u)
                || (relaxation < Relaxation::Tried || !tried.may_repeat) && tried.contains(&u.id)
                || relaxation < Relaxation::Unreachable && is_unreachable(u)
                || relaxation < Relaxation::Ejected && is_ejected(u)
        };
        let joined = self.joined_ms.borrow();
        let reported = |u: &Rc<Upstream>| {
            let reported = others.get(&digest(&u.id));
            reported
                .filter(|_| decisions.told_counts)
                .map_or(0.0, |t| t.running)
        };
        let mut peer_load: Vec<f64> = pool.iter().map(reported).collect();
        spread::shrink_to_mean(&mut peer_load, load.share);
        let candidate = |(u, peer_load): (&Rc<Upstream>, &f64)| Candidate {
            id_hash: util::hash_bytes(u.id.as_bytes()),
            running: own(u) + peer_load.round() as u32,
            own: own(u),
            slots: u.slots,
            is_local: u.data_center == self.data_center,
            excluded: is_excluded(u, Relaxation::None),
            withheld: is_withheld(u) && !u.draining,
            has_parts: health.is_cache_source(u, now_ms)
                && !evacuations.contains(&u.data_center)
                && joined
                    .get(&u.id)
                    .is_none_or(|at| at + CACHE_WARMUP_MS < now_ms),
        };
        let mut candidates: Vec<Candidate> = pool.iter().zip(&peer_load).map(candidate).collect();
        for relaxation in RELAXATIONS {
            if candidates.iter().any(|c| !c.excluded) {
                break;
            }
            for (candidate, upstream) in candidates.iter_mut().zip(&pool) {
                candidate.excluded = is_excluded(upstream, relaxation);
            }
        }
        (pool, candidates)
    }

    /// Returns the number of requests that the upstreams of `service` run at once, without excluded
    /// upstreams, or `None` if they don't report their slots.
    pub(crate) fn slots_open(&self, service: &str, now_ms: u64) -> Option<u32> {
        let upstreams = self.upstreams.borrow();
        let health = self.health.borrow();
        let decisions = self.decisions();
        if !decisions.admission {
            return None;
        }
        let is_unavailable = |u: &Upstream| {
            let is_ejected = health.is_ejected(u, now_ms) && decisions.is_enabled_for(&health, u);
            is_ejected || (decisions.unreachable && health.is_unreachable(u, now_ms))
        };
        let evacuations = self.evacuations.borrow();
        let cold_starts = self.cold_starts.borrow();
        let takes_work = |u: &&Rc<Upstream>| {
            let is_cold = cold_starts.is_cold(&u.id, now_ms);
            let is_closed = u.draining || is_cold || evacuations.contains(&u.data_center);
            !(is_closed || health.is_replaced(u) || is_unavailable(u))
        };
        let open = upstreams.pool(service).iter().filter(takes_work);
        let slots: u32 = open.map(|u| u.slots).sum();
        (slots > 0).then_some(slots)
    }
}
