//! Requests suspected of crashing upstreams, by the observations of this router and of others.
//!
//! A lost answer alone means little, as connections break for many reasons. A request is suspected
//! only if the upstream that lost it is found dead within [`FOUND_DEAD_MS`]: it refuses
//! connections, or its entry is removed. All requests that ran on it at the same time are suspected
//! too, until one of them is answered.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::decide::Incarnation;
use crate::decide::evidence::Evidence;
use crate::decide::quarantine::{Quarantine, QuarantineStatus};
use crate::fleet::leaving::incarnation_digest;
use crate::schema::peer::Suspicion;
use crate::util;

/// A crashed upstream refuses connections at once, and its entry expires after some heartbeats.
const FOUND_DEAD_MS: u64 = 6_000;
/// Number of lost answers that are kept. More in so short a time indicate an outage, not a harmful
/// request.
const MAX_LOST_ANSWERS: usize = 256;

/// Number of requests that a router which has started is told of. Two deaths under one request are rare.
const MAX_SENT: usize = 1_000;

struct LostAnswer {
    at_ms: u64,
    upstream: Incarnation,
    fingerprint: u64,
}

/// Suspicions of one router against requests.
#[derive(Default)]
pub(crate) struct Suspects {
    quarantine: Quarantine,
    lost: VecDeque<LostAnswer>,
    /// Upstreams found dead, and when.
    dead: HashMap<Incarnation, u64>,
}

impl Suspects {
    /// Remaining time of the quarantine of the request, if it is quarantined.
    pub(crate) fn quarantine_ms(&self, fingerprint: u64, now_ms: u64) -> Option<u64> {
        match self.quarantine.status(fingerprint, now_ms) {
            QuarantineStatus::Quarantined { left_ms } => Some(left_ms),
            QuarantineStatus::Free | QuarantineStatus::Suspect => None,
        }
    }

    /// Whether any death counts against the request.
    pub(crate) fn is_suspected(&self, fingerprint: u64) -> bool {
        let evidence = self.quarantine.evidence(fingerprint);
        evidence.is_some_and(|e| e.suspected_ms().is_some())
    }

    /// Whether at most one run of the request may be in progress in the whole fleet.
    pub(crate) fn is_isolated(&self, fingerprint: u64) -> bool {
        let evidence = self.quarantine.evidence(fingerprint);
        evidence.is_some_and(Evidence::is_isolated)
    }

    /// What is known against the requests of which at most one run may be in progress.
    pub(crate) fn isolated(&self, now_ms: u64) -> Vec<Suspicion> {
        let isolated = self.quarantine.isolated();
        isolated
            .take(MAX_SENT)
            .map(|(fingerprint, evidence)| Suspicion::of(fingerprint, evidence, now_ms))
            .collect()
    }

    /// What is known against the request.
    pub(crate) fn suspicion(&self, fingerprint: u64, now_ms: u64) -> Option<Suspicion> {
        let evidence = self.quarantine.evidence(fingerprint)?;
        Some(Suspicion::of(fingerprint, evidence, now_ms))
    }

    /// Records that the answer of `upstream` to a request broke off. Returns the suspicions to
    /// publish, if the upstream is known to be dead.
    pub(crate) fn record_lost_answer(
        &mut self,
        upstream: Incarnation,
        fingerprint: u64,
        now_ms: u64,
    ) -> Vec<Suspicion> {
        if self.lost.len() >= MAX_LOST_ANSWERS {
            self.lost.pop_front();
        }
        let is_dead = self.dead.contains_key(&upstream);
        self.lost.push_back(LostAnswer {
            at_ms: now_ms,
            upstream: upstream.clone(),
            fingerprint,
        });
        if is_dead {
            self.record_death(&upstream, now_ms)
        } else {
            Vec::new()
        }
    }

    /// Records the death of `upstream`. Returns the suspicions to publish to the other routers.
    pub(crate) fn record_death(&mut self, upstream: &Incarnation, now_ms: u64) -> Vec<Suspicion> {
        let is_old = |at_ms: u64| now_ms.saturating_sub(at_ms) > FOUND_DEAD_MS;
        self.dead.retain(|_, at_ms| !is_old(*at_ms));
        self.dead.entry(upstream.clone()).or_insert(now_ms);
        self.lost.retain(|l| !is_old(l.at_ms));
        let (dead, others): (VecDeque<_>, _) = std::mem::take(&mut self.lost)
            .into_iter()
            .partition(|l| l.upstream == *upstream);
        self.lost = others;
        // One death, however many identical requests it ended.
        let fingerprints: BTreeMap<u64, u64> =
            dead.iter().map(|l| (l.fingerprint, l.at_ms)).collect();
        let id_hash = util::hash_bytes(upstream.id.as_bytes());
        let digest = incarnation_digest(id_hash, upstream.started_ms);
        let mut suspicions = Vec::new();
        for (fingerprint, lost_ms) in fingerprints {
            let quarantine = &mut self.quarantine;
            let evidence = quarantine.record_death(fingerprint, digest, false, lost_ms, now_ms);
            suspicions.extend(evidence.map(|e| Suspicion::of(fingerprint, &e, now_ms)));
        }
        suspicions
    }

    /// Records that the request was answered. Returns the suspicion to publish, if that changes
    /// one.
    pub(crate) fn record_answer(&mut self, fingerprint: u64, now_ms: u64) -> Option<Suspicion> {
        let evidence = self.quarantine.record_answer(fingerprint, now_ms)?;
        Some(Suspicion::of(fingerprint, &evidence, now_ms))
    }

    /// Applies a suspicion that another router published, and returns whether it changed anything.
    pub(crate) fn merge(&mut self, suspicion: &Suspicion, now_ms: u64) -> bool {
        let evidence = suspicion.evidence(now_ms);
        self.quarantine
            .merge(suspicion.fingerprint, &evidence, now_ms)
    }

    /// Returns the suspicion to publish if this router answered the request recently, which others
    /// suspect.
    pub(crate) fn refute(&mut self, fingerprint: u64, now_ms: u64) -> Option<Suspicion> {
        let evidence = self.quarantine.refute(fingerprint)?;
        Some(Suspicion::of(fingerprint, &evidence, now_ms))
    }
}
