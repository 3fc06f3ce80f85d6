//! Which upstreams are going away, whoever said so first: a table without sockets or clock.
//!
//! The platform's list lags and each router reads it at its own pace, and an engine tells only its
//! home. Whoever knows keeps saying so; when all have stopped, the upstream takes work again.

use std::collections::{HashMap, HashSet};

use rand::Rng;
use rand::seq::SliceRandom;

use crate::fleet::loads::digest;
use crate::schema::peer::LeavingUpdate;
use crate::util::Name;

/// What nobody repeated for this long no longer holds.
pub const LEAVING_KEEP_MS: u64 = 10_000;
/// See the same in the loads: nothing looks younger by being passed on.
const HOP_MS: u64 = 5;

/// Upstreams that are leaving, by who says so.
#[derive(Debug, Default)]
pub struct LeavingTable {
    listed: HashSet<u32>,
    signalled: HashSet<u32>,
    heard: HashMap<u32, u64>,
}

impl LeavingTable {
    /// Takes over what the platform's list says now.
    pub fn listed(&mut self, names: &[Name]) {
        self.listed = names.iter().map(|name| digest(name)).collect();
    }

    /// Takes over what an upstream says of itself to this router, its home.
    pub fn signalled(&mut self, name: &str, leaving: bool) {
        if leaving {
            self.signalled.insert(digest(name));
        } else {
            self.signalled.remove(&digest(name));
        }
    }

    /// Forgets the signals of upstreams that have another home now.
    pub fn keep_signals(&mut self, own: impl Fn(u32) -> bool) {
        self.signalled.retain(|digest| own(*digest));
    }

    /// Takes over what others say.
    pub fn merge(&mut self, beats: &[LeavingUpdate], now_ms: u64) {
        for beat in beats {
            let at_ms = now_ms.saturating_sub(u64::from(beat.age_ms) + HOP_MS);
            let known = self.heard.entry(beat.upstream_digest).or_insert(at_ms);
            *known = at_ms.max(*known);
        }
        self.heard
            .retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < LEAVING_KEEP_MS);
    }

    /// At most `max` to tell, in random order.
    pub fn beats<R: Rng>(&self, max: usize, now_ms: u64, rng: &mut R) -> Vec<LeavingUpdate> {
        let own = self.own().map(|digest| (digest, 0));
        let mut ages: HashMap<u32, u64> = self
            .heard
            .iter()
            .map(|(digest, at_ms)| (*digest, now_ms.saturating_sub(*at_ms)))
            .filter(|(_, age_ms)| *age_ms < LEAVING_KEEP_MS)
            .collect();
        ages.extend(own);
        let mut beats: Vec<LeavingUpdate> = ages
            .into_iter()
            .map(|(upstream_digest, age_ms)| LeavingUpdate {
                upstream_digest,
                age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            })
            .collect();
        beats.sort_unstable_by_key(|beat| beat.upstream_digest);
        beats.shuffle(rng);
        beats.truncate(max);
        beats
    }

    /// Digests of all that take no new work now.
    pub fn known(&self, now_ms: u64) -> HashSet<u32> {
        let fresh = |at_ms: u64| now_ms.saturating_sub(at_ms) < LEAVING_KEEP_MS;
        let heard = self.heard.iter().filter(|(_, at_ms)| fresh(**at_ms));
        heard.map(|(digest, _)| *digest).chain(self.own()).collect()
    }

    fn own(&self) -> impl Iterator<Item = u32> {
        self.listed.union(&self.signalled).copied()
    }
}
