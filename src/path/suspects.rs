//! Requests suspected of crashing upstreams, by the observations of this router and of others.
//!
//! A lost answer alone means little, as connections break for many reasons. A request is suspected
//! only if the upstream that lost it is found dead within [`FOUND_DEAD_MS`]: it refuses
//! connections, or its entry is removed. All requests that ran on it at the same time are suspected
//! too, until one of them is answered.

use std::collections::{BTreeSet, VecDeque};

use crate::decide::quarantine::{Quarantine, QuarantineStatus};
use crate::schema::peer::Suspicion;
use crate::util::Name;

/// A crashed upstream refuses connections at once, and its entry expires after some heartbeats.
const FOUND_DEAD_MS: u64 = 6_000;
/// Number of lost answers that are kept. More in so short a time indicate an outage, not a harmful
/// request.
const MAX_LOST_ANSWERS: usize = 256;

struct LostAnswer {
    at_ms: u64,
    upstream: Name,
    fingerprint: u64,
}

/// Suspicions of one router against requests.
#[derive(Default)]
pub(crate) struct Suspects {
    quarantine: Quarantine,
    lost: VecDeque<LostAnswer>,
}

impl Suspects {
    /// Remaining time of the quarantine of the request, if it is quarantined.
    pub(crate) fn quarantine_ms(&self, fingerprint: u64, now_ms: u64) -> Option<u64> {
        match self.quarantine.status(fingerprint, now_ms) {
            QuarantineStatus::Quarantined { left_ms } => Some(left_ms),
            QuarantineStatus::Free | QuarantineStatus::Suspect => None,
        }
    }

    /// Records that the answer of `upstream` to a request broke off.
    pub(crate) fn record_lost_answer(&mut self, upstream: &Name, fingerprint: u64, now_ms: u64) {
        if self.lost.len() >= MAX_LOST_ANSWERS {
            self.lost.pop_front();
        }
        self.lost.push_back(LostAnswer {
            at_ms: now_ms,
            upstream: upstream.clone(),
            fingerprint,
        });
    }

    /// Records the death of `upstream`. Returns the suspicions to publish to the other routers.
    pub(crate) fn record_death(&mut self, upstream: &str, now_ms: u64) -> Vec<Suspicion> {
        let is_old = |l: &LostAnswer| now_ms.saturating_sub(l.at_ms) > FOUND_DEAD_MS;
        self.lost.retain(|l| !is_old(l));
        let (dead, others): (VecDeque<_>, _) = std::mem::take(&mut self.lost)
            .into_iter()
            .partition(|l| *l.upstream == *upstream);
        self.lost = others;
        // One death, however many identical requests it ended.
        let fingerprints: BTreeSet<u64> = dead.iter().map(|l| l.fingerprint).collect();
        let mut suspicions = Vec::new();
        for fingerprint in fingerprints {
            let deaths = self.quarantine.record_death(fingerprint, false, now_ms);
            suspicions.push(Suspicion {
                fingerprint,
                deaths,
                cleared: false,
                age_ms: 0,
            });
        }
        suspicions
    }

    /// Clears the request after it was answered. Returns the suspicion to publish, if there was
    /// one.
    pub(crate) fn clear(&mut self, fingerprint: u64) -> Option<Suspicion> {
        let was_suspected = self.quarantine.clear(fingerprint);
        was_suspected.then_some(Suspicion {
            fingerprint,
            deaths: 0,
            cleared: true,
            age_ms: 0,
        })
    }

    /// Applies a suspicion that another router published, and returns whether it changed anything.
    pub(crate) fn merge(&mut self, suspicion: &Suspicion, now_ms: u64) -> bool {
        let Suspicion {
            fingerprint,
            deaths,
            cleared,
            age_ms,
        } = *suspicion;
        self.quarantine
            .merge(fingerprint, deaths, cleared, age_ms, now_ms)
    }
}
