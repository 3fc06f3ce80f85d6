//! Requests that are held to have crashed upstreams, as this router saw and others told.
//!
//! A lost answer alone says little: connections break for many reasons. A request is suspected only
//! if the upstream that lost it is found dead within [`FOUND_DEAD_MS`]: it refuses connections, or
//! its entry goes. All that ran beside it are suspected too, until one of them is answered.

use std::collections::VecDeque;

use crate::decide::quarantine::{Quarantine, QuarantineStatus};
use crate::schema::peer::Suspicion;
use crate::util::Name;

/// A crashed upstream refuses connections at once, and its entry lapses after some of its
/// heartbeats.
const FOUND_DEAD_MS: u64 = 6_000;
/// Lost answers that are remembered; more in so short a time are an outage, not a request's doing.
const MAX_LOST: usize = 256;

struct Lost {
    at_ms: u64,
    upstream: Name,
    fingerprint: u64,
}

/// What one router holds against requests.
#[derive(Default)]
pub(crate) struct Suspects {
    quarantine: Quarantine,
    lost: VecDeque<Lost>,
}

impl Suspects {
    /// How much longer the request may not run, if it may not.
    pub(crate) fn convicted_ms(&self, fingerprint: u64, now_ms: u64) -> Option<u64> {
        match self.quarantine.status(fingerprint, now_ms) {
            QuarantineStatus::Quarantined { left_ms } => Some(left_ms),
            QuarantineStatus::Free | QuarantineStatus::Suspect => None,
        }
    }

    /// The answer of `upstream` to a request broke off.
    pub(crate) fn lost(&mut self, upstream: &Name, fingerprint: u64, now_ms: u64) {
        if self.lost.len() >= MAX_LOST {
            self.lost.pop_front();
        }
        self.lost.push_back(Lost {
            at_ms: now_ms,
            upstream: upstream.clone(),
            fingerprint,
        });
    }

    /// `upstream` is dead. Returns what the other routers are to be told.
    pub(crate) fn died(&mut self, upstream: &str, now_ms: u64) -> Vec<Suspicion> {
        let is_old = |l: &Lost| now_ms.saturating_sub(l.at_ms) > FOUND_DEAD_MS;
        self.lost.retain(|l| !is_old(l));
        let (dead, others) = std::mem::take(&mut self.lost)
            .into_iter()
            .partition(|l| *l.upstream == *upstream);
        self.lost = others;
        let dead: VecDeque<Lost> = dead;
        let mut told = Vec::new();
        for lost in dead {
            let deaths = self
                .quarantine
                .record_death(lost.fingerprint, false, now_ms);
            told.push(Suspicion {
                fingerprint: lost.fingerprint,
                deaths,
                cleared: false,
                age_ms: 0,
            });
        }
        told
    }

    /// The request was answered. Returns what the other routers are to be told.
    pub(crate) fn answered(&mut self, fingerprint: u64) -> Option<Suspicion> {
        let was_held = self.quarantine.clear(fingerprint);
        was_held.then_some(Suspicion {
            fingerprint,
            deaths: 0,
            cleared: true,
            age_ms: 0,
        })
    }

    /// Takes what another router told.
    pub(crate) fn heard(&mut self, told: &Suspicion, now_ms: u64) {
        let Suspicion {
            fingerprint,
            deaths,
            cleared,
            age_ms,
        } = *told;
        self.quarantine
            .merge(fingerprint, deaths, cleared, age_ms, now_ms);
    }
}
