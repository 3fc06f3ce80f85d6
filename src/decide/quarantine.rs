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
//! quarantined only if engines die for other reasons each time it runs and none answers it: twice,
//! the second time with it as the sole suspect, or [`MANY_DEATHS`] times. At most [`MAX_ENTRIES`]
//! are kept. A look-up costs one table access.

use std::collections::HashMap;

use rand::Rng;

use crate::decide::evidence::{Evidence, RecentAnswers};
use crate::decide::refusal::{Cause, Refusal, jittered_ms};
use crate::util;

/// Duration of a quarantine; a caller that repeats the request after a fix is then served.
pub const QUARANTINE_MS: u64 = 300_000;
/// How long a request stays a suspect.
pub const SUSPICION_MS: u64 = 300_000;
/// Deaths after which a sole suspect is quarantined.
const SOLE_SUSPECT_DEATHS: u32 = 2;
/// Deaths from which at most one run of a suspect is in progress in the whole fleet, so that routers
/// that send it at the same moment don't each end an upstream. A single death mostly concerns
/// requests that only ran beside the harmful one.
pub const ISOLATION_DEATHS: u32 = 2;
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

/// Suspected and quarantined requests known to one router.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    entries: HashMap<u64, Evidence>,
    answers: RecentAnswers,
}

impl Quarantine {
    /// Returns the status of the request with this fingerprint.
    pub fn status(&self, fingerprint: u64, now_ms: u64) -> QuarantineStatus {
        let Some(evidence) = self.entries.get(&fingerprint) else {
            return QuarantineStatus::Free;
        };
        let Some(suspected_ms) = evidence.suspected_ms() else {
            return QuarantineStatus::Free;
        };
        let age_ms = now_ms.saturating_sub(suspected_ms);
        if evidence.is_sufficient() && age_ms < QUARANTINE_MS {
            let left_ms = QUARANTINE_MS - age_ms;
            return QuarantineStatus::Quarantined { left_ms };
        }
        if age_ms < SUSPICION_MS {
            return QuarantineStatus::Suspect;
        }
        QuarantineStatus::Free
    }

    /// Records that `upstream`, the digest of an incarnation, died while it ran the request, and lost
    /// its answer at `lost_ms`; `sole` if the request was the only suspect there. Returns all
    /// evidence if that is new.
    ///
    /// ```
    /// use cassiagrade::decide::quarantine::{Quarantine, QuarantineStatus};
    /// let mut quarantine = Quarantine::default();
    /// quarantine.record_death(7, 1, false, 0, 0);
    /// assert_eq!(quarantine.status(7, 1), QuarantineStatus::Suspect);
    /// quarantine.record_death(7, 2, true, 10, 10);
    /// assert!(matches!(quarantine.status(7, 11), QuarantineStatus::Quarantined { .. }));
    /// ```
    pub fn record_death(
        &mut self,
        fingerprint: u64,
        upstream: u32,
        sole: bool,
        lost_ms: u64,
        now_ms: u64,
    ) -> Option<Evidence> {
        let answered_ms = self.answers.latest_ms(fingerprint);
        let evidence = self.entry(fingerprint, now_ms);
        if let Some(answered_ms) = answered_ms {
            evidence.record_answer(answered_ms);
        }
        let mut is_new = evidence.record_death(upstream, lost_ms);
        if sole && evidence.death_count() >= SOLE_SUSPECT_DEATHS {
            is_new |= evidence.convict(lost_ms);
        }
        is_new.then(|| evidence.clone())
    }

    /// Records that a request was answered completely. Returns the evidence that this changes.
    pub fn record_answer(&mut self, fingerprint: u64, now_ms: u64) -> Option<Evidence> {
        self.answers.record(fingerprint, now_ms);
        let evidence = self.entries.get_mut(&fingerprint)?;
        evidence.record_answer(now_ms).then(|| evidence.clone())
    }

    /// Adds evidence of another router, and returns whether that changed anything.
    pub fn merge(&mut self, fingerprint: u64, received: &Evidence, now_ms: u64) -> bool {
        self.entry(fingerprint, now_ms).merge(received)
    }

    /// Applies this router's own recent answer to a request that others suspect. Returns the
    /// evidence that this changes.
    pub fn refute(&mut self, fingerprint: u64) -> Option<Evidence> {
        let answered_ms = self.answers.latest_ms(fingerprint)?;
        let evidence = self.entries.get_mut(&fingerprint)?;
        let is_suspected = evidence.suspected_ms().is_some();
        let is_refuted = evidence.record_answer(answered_ms) && is_suspected;
        is_refuted.then(|| evidence.clone())
    }

    /// Requests of which at most one run may be in progress in the whole fleet.
    pub fn isolated(&self) -> impl Iterator<Item = (u64, &Evidence)> {
        let entries = self.entries.iter().map(|(k, e)| (*k, e));
        entries.filter(|(_, evidence)| evidence.is_isolated())
    }

    /// Evidence about the request, if there is any.
    pub fn evidence(&self, fingerprint: u64) -> Option<&Evidence> {
        self.entries.get(&fingerprint)
    }

    /// Returns the refusal of a quarantined request; it has not run this time.
    pub fn refusal<R: Rng>(left_ms: u64, rng: &mut R) -> Refusal {
        Refusal::not_run(Cause::Quarantined, jittered_ms(left_ms, rng))
    }

    fn entry(&mut self, fingerprint: u64, now_ms: u64) -> &mut Evidence {
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&fingerprint) {
            let oldest = self.entries.iter().min_by_key(|(_, e)| e.newest_ms());
            if let Some(oldest) = oldest.map(|(k, _)| *k) {
                self.entries.remove(&oldest);
            }
        }
        let evidence = self.entries.entry(fingerprint).or_default();
        evidence.expire(now_ms.saturating_sub(SUSPICION_MS));
        evidence
    }
}
