//! Which requests are held to have crashed upstreams.
//!
//! Load pattern: one request kills each engine that runs it, and its caller, or the fleet, sends
//! it again. Without a quarantine it takes down one engine after the other, with all the requests
//! in flight beside it.
//!
//! When an engine dies, each request that was in flight there is a suspect. Suspects start one at
//! a time at an engine, [`crate::decide::home::SUSPECT_ALONE_MS`] apart. If the engine dies again
//! under one sole suspect, that one is convicted. Of several, none is: the innocent ones succeed
//! and are cleared, and the guilty one soon is the sole one left. A success clears. So an innocent
//! request is convicted only if engines die of something else each time it runs: twice, the
//! second time under it as the sole suspect, or [`MANY_DEATHS`] times. At most [`MAX_ENTRIES`] are
//! kept. A look-up costs one table access.

use std::collections::HashMap;

use rand::Rng;

use crate::decide::refusal::{Cause, Refusal, jittered_ms};
use crate::util;

/// How long a conviction holds; a caller that repeats the request after a fix comes through.
pub const CONVICTION_MS: u64 = 300_000;
/// How long a suspicion holds.
pub const SUSPICION_MS: u64 = 300_000;
/// Deaths that convict a sole suspect.
const DEATHS: u32 = 2;
/// Deaths that convict whoever ran beside it: four engines are more than chance takes.
pub const MANY_DEATHS: u32 = 4;
/// More are forgotten, the oldest first: a fleet that loses a whole data centre suspects all that
/// ran there.
pub const MAX_ENTRIES: usize = 10_000;

/// Identifies a request by what it asks, so that a re-send is recognised.
pub fn fingerprint(account: &str, service: &str, body: &[u8]) -> u64 {
    util::mix(
        util::hash_parts(&[account, service]),
        util::hash_bytes(body),
    )
}

/// What is held of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineStatus {
    /// Nothing.
    Free,
    /// It may run alone among suspects.
    Suspect,
    /// It may not run for this long.
    Convicted {
        /// Time until it may.
        left_ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    deaths: u32,
    convicted: bool,
    at_ms: u64,
}

/// The suspects and convicts that one router knows of.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    entries: HashMap<u64, Entry>,
}

impl Quarantine {
    /// What is held of the request with this fingerprint.
    pub fn status(&self, fingerprint: u64, now_ms: u64) -> QuarantineStatus {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return QuarantineStatus::Free;
        };
        let age_ms = now_ms.saturating_sub(entry.at_ms);
        if entry.convicted && age_ms < CONVICTION_MS {
            let left_ms = CONVICTION_MS - age_ms;
            return QuarantineStatus::Convicted { left_ms };
        }
        if age_ms < SUSPICION_MS {
            return QuarantineStatus::Suspect;
        }
        QuarantineStatus::Free
    }

    /// Its upstream died while it ran; `sole` if it was the only suspect there. Returns the
    /// deaths now held against it.
    ///
    /// ```
    /// use cassiagrade::decide::quarantine::{Quarantine, QuarantineStatus};
    /// let mut quarantine = Quarantine::default();
    /// quarantine.died(7, false, 0);
    /// assert_eq!(quarantine.status(7, 1), QuarantineStatus::Suspect);
    /// quarantine.died(7, true, 10);
    /// assert!(matches!(quarantine.status(7, 11), QuarantineStatus::Convicted { .. }));
    /// ```
    pub fn died(&mut self, fingerprint: u64, sole: bool, now_ms: u64) -> u32 {
        let held = self.status(fingerprint, now_ms) != QuarantineStatus::Free;
        let before = self.entries.get(&fingerprint).filter(|_| held);
        let deaths = before.map_or(0, |e| e.deaths) + 1;
        let convicted = sole && deaths >= DEATHS || deaths >= MANY_DEATHS;
        // Told to others as a count alone, so a conviction counts as many.
        let deaths = if convicted {
            deaths.max(MANY_DEATHS)
        } else {
            deaths
        };
        self.hold(fingerprint, deaths, now_ms);
        deaths
    }

    /// It was answered whole; tells whether it was held.
    pub fn succeeded(&mut self, fingerprint: u64) -> bool {
        self.entries.remove(&fingerprint).is_some()
    }

    /// Takes what another router holds; `age_ms` is how long it has held it.
    pub fn merge(
        &mut self,
        fingerprint: u64,
        deaths: u32,
        cleared: bool,
        age_ms: u64,
        now_ms: u64,
    ) {
        let at_ms = now_ms.saturating_sub(age_ms);
        if cleared {
            let older = self
                .entries
                .get(&fingerprint)
                .is_some_and(|e| e.at_ms <= at_ms);
            if older {
                self.entries.remove(&fingerprint);
            }
            return;
        }
        let known = self.entries.get(&fingerprint).copied();
        if known.is_none_or(|k| deaths > k.deaths) {
            self.hold(fingerprint, deaths, at_ms);
        }
    }

    /// The refusal of a convicted request: it was not run this time.
    pub fn refusal<R: Rng>(left_ms: u64, rng: &mut R) -> Refusal {
        Refusal::not_run(Cause::Quarantined, jittered_ms(left_ms, rng))
    }

    fn hold(&mut self, fingerprint: u64, deaths: u32, at_ms: u64) {
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&fingerprint) {
            let oldest = self.entries.iter().min_by_key(|(_, e)| e.at_ms);
            if let Some(oldest) = oldest.map(|(k, _)| *k) {
                self.entries.remove(&oldest);
            }
        }
        let convicted = deaths >= MANY_DEATHS;
        let entry = Entry {
            deaths,
            convicted,
            at_ms,
        };
        self.entries.insert(fingerprint, entry);
    }
}
