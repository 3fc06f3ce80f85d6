//! Quarantine of requests that are suspected to crash upstreams.
//!
//! Load pattern: one request crashes each engine that runs it, and its caller, or the fleet, sends
//! it again. Without a quarantine it takes down one engine after the other, with all the requests
//! in flight beside it.
//!
//! When an engine dies, each request in flight there becomes a suspect. Suspects start one at a
//! time at an engine, [`crate::decide::home::SUSPECT_ISOLATION_MS`] apart. If the engine dies again
//! under a sole suspect, that one is quarantined. With several, none is: the harmless ones succeed
//! and are cleared, so the harmful one soon is the sole one left. A harmless request is therefore
//! quarantined only if engines die for other reasons each time it runs: twice, the second time with
//! it as the sole suspect, or [`MANY_DEATHS`] times. At most [`MAX_ENTRIES`] are kept. A look-up
//! costs one table access.

use std::collections::HashMap;

use rand::Rng;

use crate::decide::refusal::{Cause, Refusal, jittered_ms};
use crate::util;

/// Duration of a quarantine; a caller that repeats the request after a fix is then served.
pub const QUARANTINE_MS: u64 = 300_000;
/// How long a request stays a suspect.
pub const SUSPICION_MS: u64 = 300_000;
/// Deaths after which a sole suspect is quarantined.
const SOLE_SUSPECT_DEATHS: u32 = 2;
/// Deaths after which a suspect is quarantined even beside others: four are more than chance.
pub const MANY_DEATHS: u32 = 4;
/// Beyond this the oldest entries are evicted: a fleet that loses a whole data centre suspects all
/// requests that ran there.
pub const MAX_ENTRIES: usize = 10_000;

/// Identifies a request by its content, so that a repeated one is recognised.
pub fn fingerprint(account: &str, service: &str, body: &[u8]) -> u64 {
    util::mix(
        util::hash_parts(&[account, service]),
        util::hash_bytes(body),
    )
}

/// Quarantine status of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineStatus {
    /// Neither suspected nor quarantined.
    Free,
    /// It may run, but not beside other suspects.
    Suspect,
    /// It may not run.
    Quarantined {
        /// Remaining time of the quarantine.
        left_ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    deaths: u32,
    quarantined: bool,
    at_ms: u64,
}

/// Suspected and quarantined requests known to one router.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    entries: HashMap<u64, Entry>,
}

impl Quarantine {
    /// Returns the status of the request with this fingerprint.
    pub fn status(&self, fingerprint: u64, now_ms: u64) -> QuarantineStatus {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return QuarantineStatus::Free;
        };
        let age_ms = now_ms.saturating_sub(entry.at_ms);
        if entry.quarantined && age_ms < QUARANTINE_MS {
            let left_ms = QUARANTINE_MS - age_ms;
            return QuarantineStatus::Quarantined { left_ms };
        }
        if age_ms < SUSPICION_MS {
            return QuarantineStatus::Suspect;
        }
        QuarantineStatus::Free
    }

    /// Records that its upstream died while it ran; `sole` if it was the only suspect there.
    /// Returns its total of deaths.
    ///
    /// ```
    /// use cassiagrade::decide::quarantine::{Quarantine, QuarantineStatus};
    /// let mut quarantine = Quarantine::default();
    /// quarantine.record_death(7, false, 0);
    /// assert_eq!(quarantine.status(7, 1), QuarantineStatus::Suspect);
    /// quarantine.record_death(7, true, 10);
    /// assert!(matches!(quarantine.status(7, 11), QuarantineStatus::Quarantined { .. }));
    /// ```
    pub fn record_death(&mut self, fingerprint: u64, sole: bool, now_ms: u64) -> u32 {
        let is_listed = self.status(fingerprint, now_ms) != QuarantineStatus::Free;
        let before = self.entries.get(&fingerprint).filter(|_| is_listed);
        let deaths = before.map_or(0, |e| e.deaths) + 1;
        let quarantined = sole && deaths >= SOLE_SUSPECT_DEATHS || deaths >= MANY_DEATHS;
        // Only the count is sent to other routers, so a quarantined request counts as many deaths.
        let deaths = if quarantined {
            deaths.max(MANY_DEATHS)
        } else {
            deaths
        };
        self.insert(fingerprint, deaths, now_ms);
        deaths
    }

    /// Clears a request that was answered completely. Returns whether it had an entry.
    pub fn clear(&mut self, fingerprint: u64) -> bool {
        self.entries.remove(&fingerprint).is_some()
    }

    /// Merges an entry of another router, and returns whether it changed anything; `age_ms` is its
    /// age there.
    pub fn merge(
        &mut self,
        fingerprint: u64,
        deaths: u32,
        cleared: bool,
        age_ms: u64,
        now_ms: u64,
    ) -> bool {
        let at_ms = now_ms.saturating_sub(age_ms);
        if cleared {
            let older = self
                .entries
                .get(&fingerprint)
                .is_some_and(|e| e.at_ms <= at_ms);
            if older {
                self.entries.remove(&fingerprint);
            }
            return older;
        }
        let known = self.entries.get(&fingerprint).copied();
        let is_news = known.is_none_or(|k| deaths > k.deaths);
        if is_news {
            self.insert(fingerprint, deaths, at_ms);
        }
        is_news
    }

    /// Returns the refusal of a quarantined request; it has not run this time.
    pub fn refusal<R: Rng>(left_ms: u64, rng: &mut R) -> Refusal {
        Refusal::not_run(Cause::Quarantined, jittered_ms(left_ms, rng))
    }

    fn insert(&mut self, fingerprint: u64, deaths: u32, at_ms: u64) {
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&fingerprint) {
            let oldest = self.entries.iter().min_by_key(|(_, e)| e.at_ms);
            if let Some(oldest) = oldest.map(|(k, _)| *k) {
                self.entries.remove(&oldest);
            }
        }
        let quarantined = deaths >= MANY_DEATHS;
        let entry = Entry {
            deaths,
            quarantined,
            at_ms,
        };
        self.entries.insert(fingerprint, entry);
    }
}
