//! Where a chat's work goes.
//!
//! Load pattern: millions of chats return after pauses, each best served where its prefix is
//! cached, while engines come and go and a surge may fall on a few of them. Without an order that
//! all routers compute alike, each return would land at random and be prefilled anew; without
//! levelling, hashing alone leaves the busiest engine at twice the mean.
//!
//! - A chat's order is a rendezvous (highest random weight) order of its pool: when one of n
//!   engines goes, only its own chats move.
//! - A chat with nothing cached loses nothing by going elsewhere: it goes to the least loaded of
//!   the first [`PlacementPolicy::width`] of its order. A chat that is warm somewhere stays there
//!   while that engine's home admits it.
//! - The home's bound decides exactly; the loads used here may be a gossip round old.
//!
//! Grounds of the constants: see `docs/MEASUREMENTS.md`, "Decisions under load". A plan costs one
//! multiply-mix an upstream and no allocation but the list of tries: linear in the pool.

use crate::decide::{ChatKey, Name, Rates};
use crate::util;

/// How long a joined upstream's weight takes to grow to its full value.
///
/// Two rounds of gossip would do for the load to be known; ten seconds also outlasts the roster's
/// lag, so that routers that learn of it late don't see it idle and send everything there.
pub const JOIN_RAMP_MS: u64 = 10_000;
/// The weight a joined upstream starts with.
const JOIN_WEIGHT: f64 = 0.25;
/// How many of the first few are tried before the least loaded of all. Each try that is over its
/// bound costs a round trip between routers and brings back that upstream's exact work.
const LEVEL_TRIES: usize = 3;
/// Work of one short answer: views that are a gossip round old differ by as much in an idle pool,
/// where new chats should keep the first of their order, to which their callers come.
const NOISE_MS: f64 = 250.0;
/// What moving a chat's KV cache costs whatever its length: two round trips between hosts of a
/// region, and the engines' own handling.
const IMPORT_MS: f64 = 20.0;
/// KV tokens moved a millisecond, over a link of 100 Gbit/s.
const IMPORT_TOKENS_PER_MS: f64 = 80.0;
/// The warm one and the level ones.
const MAX_TRIES: usize = LEVEL_TRIES + 1;
/// Added to the load of an upstream that has no free slot: it comes after all that have one.
const FULL_MS: f64 = 1e12;

/// How a pool's chats are placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementPolicy {
    /// New chats are levelled among this many of their order.
    pub width: usize,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self { width: 6 }
    }
}

/// A pool with the hashes its orders need, built once a configuration.
#[derive(Clone, Debug, Default)]
pub struct PoolIndex {
    names: Vec<Name>,
    hashes: Vec<u64>,
}

/// Where to try, in order; places in the pool's list of names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Each is tried once, and may send the chat on.
    pub tries: Vec<usize>,
    /// Must queue the chat or refuse it, unless a try was full but not over its bound: then that.
    pub last: Option<usize>,
}

impl PoolIndex {
    /// Indexes `names`.
    ///
    /// ```
    /// use cassiagrade::decide::{ChatKey, Name, placement::{PlacementPolicy, PoolIndex}};
    /// let names: Vec<Name> = ["a", "b", "c"].map(Into::into).to_vec();
    /// let pool = PoolIndex::new(names);
    /// // All idle but "b": a new chat doesn't go there; a chat that is warm there does.
    /// let load_ms = [0.0, 500.0, 0.0];
    /// let new = pool.plan(ChatKey(7), None, &load_ms, PlacementPolicy::default());
    /// assert_ne!(new.tries[0], 1);
    /// let warm = pool.plan(ChatKey(7), Some(1), &load_ms, PlacementPolicy::default());
    /// assert_eq!(warm.tries[0], 1);
    /// ```
    pub fn new(names: Vec<Name>) -> Self {
        let hashes = names.iter().map(|n| util::hash_parts(&[n])).collect();
        Self { names, hashes }
    }

    /// The names it was built from.
    pub fn names(&self) -> &[Name] {
        &self.names
    }

    /// The place of `name`.
    pub fn position(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|n| **n == *name)
    }

    /// The first `width` of `chat`'s order.
    pub fn first(&self, chat: ChatKey, width: usize) -> Vec<usize> {
        let mut best: Vec<(u64, usize)> = Vec::with_capacity(width + 1);
        for (at, hash) in self.hashes.iter().enumerate() {
            let score = util::mix(chat.0, *hash);
            if best.len() == width && best.last().is_none_or(|last| last.0 >= score) {
                continue;
            }
            let place = best.partition_point(|b| b.0 >= score);
            best.insert(place, (score, at));
            best.truncate(width);
        }
        best.into_iter().map(|(_, at)| at).collect()
    }

    /// Where to try `chat`, given where it is warm and the load of each upstream; an infinite
    /// load keeps an upstream out.
    ///
    /// A warm chat is tried where it is warm; then the first few of its order, the least loaded
    /// first; then the least loaded of all.
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
        first.sort_by(|a, b| level(load_ms[*a]).total_cmp(&level(load_ms[*b])));
        first.truncate(LEVEL_TRIES);
        for at in first {
            if !tries.contains(&at) {
                tries.push(at);
            }
        }
        let last = self.least(chat, load_ms);
        Plan { tries, last }
    }

    /// The least loaded of all; of equals the first in the chat's order.
    ///
    /// By the order of names, every router's chats would go to one and the same of the equals, which is then late in a
    /// pool that is half idle, and is ejected for it.
    fn least(&self, chat: ChatKey, load_ms: &[f64]) -> Option<usize> {
        let rank = |at: &usize| (level(load_ms[*at]), util::mix(chat.0, self.hashes[*at]));
        (0..self.names.len())
            .filter(|at| load_ms[*at].is_finite())
            .min_by(|a, b| {
                let (a, b) = (rank(a), rank(b));
                a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))
            })
    }
}

/// Loads that differ by less than [`NOISE_MS`] count as equal.
fn level(load_ms: f64) -> f64 {
    (load_ms / NOISE_MS).floor()
}

/// How long moving the KV cache of `tokens` takes.
pub fn import_ms(tokens: u32) -> f64 {
    IMPORT_MS + f64::from(tokens) / IMPORT_TOKENS_PER_MS
}

/// Whether a displaced chat's KV cache should follow it: moving it is cheaper than a new prefill.
///
/// ```
/// use cassiagrade::decide::{Rates, placement::import_pays};
/// assert!(import_pays(4_000, &Rates::default()));
/// assert!(!import_pays(100, &Rates::default()));
/// ```
pub fn import_pays(tokens: u32, rates: &Rates) -> bool {
    import_ms(tokens) < f64::from(tokens) * rates.prefill_ms
}

/// The load at which an upstream with `free_slots` is shown to placement.
///
/// Guards against work that is level while slots are not: a few long jobs fill one engine's bound,
/// many short ones fill another's slots, and new ones queue there while the first has slots free.
pub fn shown_load_ms(work_ms: f64, free_slots: u32) -> f64 {
    if free_slots == 0 {
        return work_ms + FULL_MS;
    }
    work_ms
}

/// The load at which an upstream that joined `age_ms` ago is shown to placement.
///
/// Guards against a herd onto an engine that has just joined: it looks idle to every router for a
/// round of gossip. Its shown load starts near the pool's mean and falls to its own with age.
pub fn joined_load_ms(own_ms: f64, mean_ms: f64, age_ms: u64) -> f64 {
    if age_ms >= JOIN_RAMP_MS {
        return own_ms;
    }
    let grown = age_ms as f64 / JOIN_RAMP_MS as f64;
    let weight = JOIN_WEIGHT + (1.0 - JOIN_WEIGHT) * grown;
    own_ms.max(mean_ms * (1.0 - weight))
}

/// Orders `upstreams` for `chat`, best first, by highest random weight. Costs one hash an upstream.
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
