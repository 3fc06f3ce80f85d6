//! Which upstreams are leaving, from any source: a table without sockets or a clock of its own.
//!
//! The platform's host list lags, each router reads it at its own times, an engine notifies only its
//! home, and other upstreams only those routers that they answer. So each router that knows of a
//! leaving upstream repeats it in gossip; once all have stopped, the upstream takes work again.

use std::collections::{HashMap, HashSet};

use rand::Rng;
use rand::seq::SliceRandom;

use crate::fleet::loads::digest;
use crate::schema::peer::LeavingUpdate;
use crate::util::{self, Name};

/// An update that no router has repeated for this long expires.
pub const LEAVING_TTL_MS: u64 = 10_000;
/// Added to an age at each hop, as for loads, so that a forwarded update doesn't appear newer than
/// it is.
const HOP_MS: u64 = 5;

/// Identifies one start of the upstream whose id has this hash. A later start under the same id has
/// another digest, so that what is still said of the former one doesn't concern it.
pub(crate) fn incarnation_digest(id_hash: u64, started_ms: u64) -> u32 {
    util::mix(id_hash, started_ms) as u32
}

/// Upstreams that are leaving, by source.
#[derive(Debug, Default)]
pub struct LeavingTable {
    listed: HashSet<u32>,
    signalled: HashSet<u32>,
    announced: HashSet<u32>,
    received: HashMap<u32, u64>,
}

impl LeavingTable {
    /// Replaces the upstreams that the platform's host list marks as leaving.
    pub fn set_listed(&mut self, names: &[Name]) {
        self.listed = names.iter().map(|name| digest(name)).collect();
    }

    /// Records whether an upstream reported to this router, its home, that it is leaving.
    pub fn set_signalled(&mut self, name: &str, leaving: bool) {
        if leaving {
            self.signalled.insert(digest(name));
        } else {
            self.signalled.remove(&digest(name));
        }
    }

    /// Replaces the upstreams that announced in their answers to this router that they are leaving,
    /// by [`incarnation_digest`].
    pub(crate) fn set_announced(&mut self, digests: HashSet<u32>) {
        self.announced = digests;
    }

    /// Drops the reports of upstreams whose home is another router now.
    pub fn retain_signals(&mut self, own: impl Fn(u32) -> bool) {
        self.signalled.retain(|digest| own(*digest));
    }

    /// Merges updates that another router sent.
    pub fn merge(&mut self, updates: &[LeavingUpdate], now_ms: u64) {
        for update in updates {
            let at_ms = now_ms.saturating_sub(u64::from(update.age_ms) + HOP_MS);
            let known = self.received.entry(update.upstream_digest).or_insert(at_ms);
            *known = at_ms.max(*known);
        }
        self.received
            .retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < LEAVING_TTL_MS);
    }

    /// Returns at most `max` updates to send, in random order.
    pub fn sample<R: Rng>(&self, max: usize, now_ms: u64, rng: &mut R) -> Vec<LeavingUpdate> {
        let own = self.own().map(|digest| (digest, 0));
        let mut ages: HashMap<u32, u64> = self
            .received
            .iter()
            .map(|(digest, at_ms)| (*digest, now_ms.saturating_sub(*at_ms)))
            .filter(|(_, age_ms)| *age_ms < LEAVING_TTL_MS)
            .collect();
        ages.extend(own);
        let mut updates: Vec<LeavingUpdate> = ages
            .into_iter()
            .map(|(upstream_digest, age_ms)| LeavingUpdate {
                upstream_digest,
                age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            })
            .collect();
        updates.sort_unstable_by_key(|update| update.upstream_digest);
        updates.shuffle(rng);
        updates.truncate(max);
        updates
    }

    /// Returns the digests of all upstreams that take no new work now.
    pub fn known(&self, now_ms: u64) -> HashSet<u32> {
        let fresh = |at_ms: u64| now_ms.saturating_sub(at_ms) < LEAVING_TTL_MS;
        let received = self.received.iter().filter(|(_, at_ms)| fresh(**at_ms));
        received
            .map(|(digest, _)| *digest)
            .chain(self.own())
            .collect()
    }

    fn own(&self) -> impl Iterator<Item = u32> {
        let own = self.listed.iter().chain(&self.signalled);
        own.chain(&self.announced).copied()
    }
}
