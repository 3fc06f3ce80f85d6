//! Placement of chats on upstreams.
//!
//! Load pattern: millions of chats return after pauses, each best served where its prefix is
//! cached, while engines start and stop and a surge may hit a few of them. Without an order that
//! all routers compute alike, each return would be placed at random and its prompt prefilled anew;
//! without load balancing, hashing alone leaves the busiest engine at twice the mean.
//!
//! - A chat's order is the rendezvous (highest random weight) order of its pool: if one of n
//!   engines leaves, only its own chats move.
//! - A chat with nothing cached can go anywhere: it goes to the least loaded of the first
//!   [`PlacementPolicy::width`] upstreams of its order. A cached chat stays at its engine while that
//!   engine's home admits it.
//! - The home's load bound is exact; the loads used here may be a gossip round old.
//!
//! See `docs/MEASUREMENTS.md`, "Decisions under load", for the constants. A plan costs one
//! multiply-mix per upstream and allocates only the list of tries: linear in the pool.

use std::collections::HashMap;

use crate::decide::ejection::Pool;
use crate::decide::{ChatKey, Name, Rates};
use crate::util;

/// Time in which the weight of a joined upstream grows to its full value.
///
/// Two rounds of gossip would suffice to learn its load; ten seconds also outlast the lag of the
/// host list, so that routers that learn of the upstream late don't see it idle and all send there.
pub const JOIN_RAMP_MS: u64 = 10_000;
/// Initial weight of a joined upstream.
const JOIN_WEIGHT: f64 = 0.25;
/// Preferred upstreams to try before the least loaded of all. Each try that is over its bound costs
/// a round trip between routers and returns that upstream's exact load.
const PREFERRED_TRIES: usize = 3;
/// Work of one short answer. Views that are a gossip round old differ by as much in an idle pool,
/// where new chats should keep the first upstream of their order, to which their callers connect.
const NOISE_MS: f64 = 250.0;
/// Fixed cost of moving a chat's KV cache: two round trips between hosts of a region, and the
/// engines' own handling.
const IMPORT_MS: f64 = 20.0;
/// KV tokens moved per millisecond over a link of 100 Gbit/s.
const IMPORT_TOKENS_PER_MS: f64 = 80.0;
/// The engine that has the chat cached, and the preferred ones.
const MAX_TRIES: usize = PREFERRED_TRIES + 1;
/// Added to the load of an upstream without a free slot, so that it comes after all that have one.
const FULL_MS: f64 = 1e12;

/// Placement policy of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PlacementPolicy {
    /// New chats go to the least loaded of this many upstreams of their order.
    pub width: usize,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self { width: 6 }
    }
}

/// A pool's names and the hashes for its chats' orders, built once per configuration.
#[derive(Clone, Debug, Default)]
pub struct PoolIndex {
    names: Vec<Name>,
    hashes: Vec<u64>,
    positions: HashMap<Name, usize>,
}

/// Upstreams to try in order, as indices into the pool's names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Each is tried once and may redirect the chat.
    pub tries: Vec<usize>,
    /// Queues or refuses the chat if no try starts it; a try that was full but within its bound
    /// does so in its place.
    pub last: Option<usize>,
}

impl Pool for PoolIndex {
    fn size(&self) -> usize {
        self.names.len()
    }

    fn contains(&self, upstream: &str) -> bool {
        self.position(upstream).is_some()
    }
}

impl PoolIndex {
    /// Builds the index of `names`.
    ///
    /// ```
    /// use cassiagrade::decide::{ChatKey, Name, placement::{PlacementPolicy, PoolIndex}};
    /// let names: Vec<Name> = ["a", "b", "c"].map(Into::into).to_vec();
    /// let pool = PoolIndex::new(names);
    /// // All but "b" are idle: a new chat doesn't go there; a chat that is cached there does.
    /// let load_ms = [0.0, 500.0, 0.0];
    /// let new = pool.plan(ChatKey(7), None, &load_ms, PlacementPolicy::default());
    /// assert_ne!(new.tries[0], 1);
    /// let warm = pool.plan(ChatKey(7), Some(1), &load_ms, PlacementPolicy::default());
    /// assert_eq!(warm.tries[0], 1);
    /// ```
    pub fn new(names: Vec<Name>) -> Self {
        let hashes = names.iter().map(|n| util::hash_parts(&[n])).collect();
        let positions = names.iter().cloned().zip(0..).collect();
        Self {
            names,
            hashes,
            positions,
        }
    }

    /// Returns the names it was built from.
    pub fn names(&self) -> &[Name] {
        &self.names
    }

    /// Returns the index of `name`.
    pub fn position(&self, name: &str) -> Option<usize> {
        self.positions.get(name).copied()
    }

    /// Returns the first `width` upstreams of the order of `chat`.
    pub fn first(&self, chat: ChatKey, width: usize) -> Vec<usize> {
        let mut best: Vec<(u64, usize)> = Vec::with_capacity(width + 1);
        for (at, hash) in self.hashes.iter().enumerate() {
            let score = util::mix(chat.0, *hash);
            if best.len() == width && best.last().is_none_or(|last| last.0 >= score) {
                continue;
            }
            let rank_at = best.partition_point(|b| b.0 >= score);
            best.insert(rank_at, (score, at));
            best.truncate(width);
        }
        best.into_iter().map(|(_, at)| at).collect()
    }

    /// Returns where to try `chat`, given where it is cached and the load of each upstream; an
    /// infinite load excludes an upstream.
    ///
    /// First the upstream that has it cached, then the first few of its order by load, then the
    /// least loaded of all.
    pub fn plan(
        &self,
        chat: ChatKey,
        warm: Option<usize>,
        load_ms: &[f64],
        policy: PlacementPolicy,
    ) -> Plan {
        let mut tries = Vec::with_capacity(MAX_TRIES);
        tries.extend(warm.filter(|at| load_ms[*at].is_finite()));
        let mut first = self.first(chat, policy.width.max(1));
        first.retain(|at| load_ms[*at].is_finite());
        first.sort_by(|a, b| rounded(load_ms[*a]).total_cmp(&rounded(load_ms[*b])));
        first.truncate(PREFERRED_TRIES);
        for at in first {
            if !tries.contains(&at) {
                tries.push(at);
            }
        }
        let last = self.least(chat, load_ms);
        Plan { tries, last }
    }

    /// Returns the least loaded upstream; of equals the first in the chat's order.
    ///
    /// Failure guarded against: with ties broken by name, all routers' chats go to the same one of
    /// the equals, which then answers late in a half idle pool and is ejected for it.
    fn least(&self, chat: ChatKey, load_ms: &[f64]) -> Option<usize> {
        let rank = |at: &usize| (rounded(load_ms[*at]), util::mix(chat.0, self.hashes[*at]));
        (0..self.names.len())
            .filter(|at| load_ms[*at].is_finite())
            .min_by(|a, b| {
                let (a, b) = (rank(a), rank(b));
                a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))
            })
    }
}

/// Rounds a load so that differences below [`NOISE_MS`] are ignored.
fn rounded(load_ms: f64) -> f64 {
    (load_ms / NOISE_MS).floor()
}

/// Returns how long moving the KV cache of `tokens` takes.
pub fn import_ms(tokens: u32) -> f64 {
    IMPORT_MS + f64::from(tokens) / IMPORT_TOKENS_PER_MS
}

/// Whether a displaced chat's KV cache should be moved, because that is cheaper than a new prefill.
///
/// ```
/// use cassiagrade::decide::{Rates, placement::import_pays};
/// assert!(import_pays(4_000, &Rates::default()));
/// assert!(!import_pays(100, &Rates::default()));
/// ```
pub fn import_pays(tokens: u32, rates: &Rates) -> bool {
    import_ms(tokens) < f64::from(tokens) * rates.prefill_ms
}

/// Returns the load of an upstream with `free_slots` as placement uses it.
///
/// Failure guarded against: work is balanced while slots are not. A few long jobs reach one
/// engine's bound, many short ones take another's slots, and new jobs queue there while the first
/// engine has free slots.
pub fn shown_load_ms(work_ms: f64, free_slots: u32) -> f64 {
    if free_slots == 0 {
        return work_ms + FULL_MS;
    }
    work_ms
}

/// Returns the load of an upstream that joined `age_ms` ago as placement uses it.
///
/// Failure guarded against: an engine that has just joined looks idle to every router for a round
/// of gossip, and all send there. The load used starts near the pool's mean and falls to the
/// engine's own with age.
pub fn joined_load_ms(own_ms: f64, mean_ms: f64, age_ms: u64) -> f64 {
    if age_ms >= JOIN_RAMP_MS {
        return own_ms;
    }
    let grown = age_ms as f64 / JOIN_RAMP_MS as f64;
    let weight = JOIN_WEIGHT + (1.0 - JOIN_WEIGHT) * grown;
    own_ms.max(mean_ms * (1.0 - weight))
}

/// Orders `upstreams` for `chat` by highest random weight, best first. Costs one hash per upstream.
///
/// ```
/// use cassiagrade::decide::{ChatKey, Name, placement};
/// let pool: Vec<Name> = ["a", "b", "c"].map(Into::into).to_vec();
/// let order = placement::order(ChatKey(7), &pool);
/// let without_last = &order[..2];
/// let smaller: Vec<Name> = pool.iter().filter(|u| **u != order[2]).cloned().collect();
/// assert_eq!(placement::order(ChatKey(7), &smaller), without_last);
/// ```
pub fn order(chat: ChatKey, upstreams: &[Name]) -> Vec<Name> {
    let mut scored: Vec<(u64, &Name)> = upstreams
        .iter()
        .map(|u| (util::mix(chat.0, util::hash_parts(&[u])), u))
        .collect();
    scored.sort_unstable_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    scored.into_iter().map(|(_, u)| u.clone()).collect()
}
