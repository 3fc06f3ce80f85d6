//! The upstreams of one service as a router believes them now: which take work, and how much.

use std::rc::Rc;

use crate::decide::spread::{self, Candidate};
use crate::fleet::loads::digest;
use crate::path::regions::AllowedRegions;
use crate::path::router_state::{RouterState, Tried};
use crate::path::upstreams::Upstream;
use crate::util;

/// An upstream that came this short a time ago has hardly any shared parts yet: most of them are
/// asked for every few seconds.
const WARM_MS: u64 = 8_000;

/// What is overlooked where no upstream would be left: trying is better than refusing for what was true a moment ago.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Lenience {
    None,
    /// That it was ejected.
    Ejected,
    /// That it took no connection.
    Unreachable,
    /// That this request failed there: it may be served there now.
    Tried,
}

/// In the order in which more is overlooked.
const LENIENCES: [Lenience; 3] = [Lenience::Ejected, Lenience::Unreachable, Lenience::Tried];

impl RouterState {
    /// The upstreams of `service` that take work, and how each is believed to stand now; this router
    /// may have `max_open` connections to each.
    pub(crate) fn pool(
        &self,
        service: &str,
        tried: &Tried<'_>,
        allowed_regions: &[&AllowedRegions],
        max_open: u32,
        now_ms: u64,
    ) -> (Vec<Rc<Upstream>>, Vec<Candidate>) {
        let pool = self.upstreams.borrow().pool(service).to_vec();
        let picture = self.gossip.in_flight();
        let others = &picture.upstreams;
        let running = self.running.borrow();
        let health = self.health.borrow();
        let decisions = self.decisions();
        let is_out = |u: &Upstream| health.is_out(u, now_ms) && decisions.leaves_out(&health, u);
        let own = |u: &Upstream| running.get(&u.id).copied().unwrap_or(0);
        let evacuations = self.evacuations.borrow();
        let cold_starts = self.cold_starts.borrow();
        let is_withheld =
            |u: &Upstream| evacuations.holds(&u.data_center) || !cold_starts.admits(&u.id, now_ms);
        // An evacuation, homes, and what a cold upstream bears hold even where no other is left: then the request is refused at
        // once.
        let takes_no_more = |u: &Upstream| {
            u.draining
                || health.is_replaced(u)
                || own(u) >= max_open
                || is_withheld(u)
                || !self.regions.allow(allowed_regions, &u.data_center)
        };
        let is_unreachable =
            |u: &Upstream| decisions.unreachable && health.is_unreachable(u, now_ms);
        let is_excluded = |u: &Upstream, lenience: Lenience| {
            takes_no_more(u)
                || (lenience < Lenience::Tried || !tried.may_return) && tried.has(&u.id)
                || lenience < Lenience::Unreachable && is_unreachable(u)
                || lenience < Lenience::Ejected && is_out(u)
        };
        let joined = self.joined_ms.borrow();
        let told = |u: &Rc<Upstream>| {
            let told = others.get(&digest(&u.id));
            told.filter(|_| decisions.told_counts)
                .map_or(0.0, |t| t.running)
        };
        let mut of_others: Vec<f64> = pool.iter().map(told).collect();
        spread::shrink_to_mean(&mut of_others, picture.share);
        let candidate = |(u, of_others): (&Rc<Upstream>, &f64)| Candidate {
            id_hash: util::hash_bytes(u.id.as_bytes()),
            running: own(u) + of_others.round() as u32,
            own: own(u),
            slots: u.slots,
            is_local: u.data_center == self.data_center,
            excluded: is_excluded(u, Lenience::None),
            withheld: is_withheld(u) && !u.draining,
            has_parts: health.is_source(u, now_ms)
                && !evacuations.holds(&u.data_center)
                && joined.get(&u.id).is_none_or(|at| at + WARM_MS < now_ms),
        };
        let mut candidates: Vec<Candidate> = pool.iter().zip(&of_others).map(candidate).collect();
        for lenience in LENIENCES {
            if candidates.iter().any(|s| !s.excluded) {
                break;
            }
            for (candidate, upstream) in candidates.iter_mut().zip(&pool) {
                candidate.excluded = is_excluded(upstream, lenience);
            }
        }
        (pool, candidates)
    }

    /// Requests that the upstreams of `service` run at once, without those left out; `None` if they
    /// don't say how many they run.
    pub(crate) fn slots_open(&self, service: &str, now_ms: u64) -> Option<u32> {
        let upstreams = self.upstreams.borrow();
        let health = self.health.borrow();
        let decisions = self.decisions();
        if !decisions.admission {
            return None;
        }
        let is_left_out = |u: &Upstream| {
            let is_out = health.is_out(u, now_ms) && decisions.leaves_out(&health, u);
            is_out || (decisions.unreachable && health.is_unreachable(u, now_ms))
        };
        let evacuations = self.evacuations.borrow();
        let cold_starts = self.cold_starts.borrow();
        let takes_work = |u: &&Rc<Upstream>| {
            let is_cold = cold_starts.is_cold(&u.id, now_ms);
            let is_closed = u.draining || is_cold || evacuations.holds(&u.data_center);
            !(is_closed || health.is_replaced(u) || is_left_out(u))
        };
        let open = upstreams.pool(service).iter().filter(takes_work);
        let slots: u32 = open.map(|u| u.slots).sum();
        (slots > 0).then_some(slots)
    }
}
