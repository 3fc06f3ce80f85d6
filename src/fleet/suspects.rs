//! Suspicions of requests, spread by gossip: a table without sockets or a clock of its own.

use std::collections::HashMap;

use crate::decide::evidence::Evidence;
use crate::schema::peer::{Suspicion, UpstreamDeath};

/// Entries expire after this time, which is longer than any request stays in quarantine.
const SUSPICION_TTL_MS: u64 = 900_000;

#[derive(Clone, Debug, Default)]
struct Row {
    evidence: Evidence,
    sends: u32,
}

/// All evidence about requests, by fingerprint.
#[derive(Debug, Default)]
pub struct SuspectTable {
    rows: HashMap<u64, Row>,
}

impl SuspectTable {
    /// Adds evidence, and returns whether anything changed.
    pub fn merge(&mut self, received: &[Suspicion], now_ms: u64) -> bool {
        let mut changed = false;
        for suspicion in received {
            let evidence = suspicion.evidence(now_ms);
            if now_ms.saturating_sub(evidence.newest_ms()) >= SUSPICION_TTL_MS {
                continue;
            }
            let row = self.rows.entry(suspicion.fingerprint).or_default();
            if row.evidence.merge(&evidence) {
                row.sends = 0;
                changed = true;
            }
        }
        changed
    }

    /// Returns suspicions that have been sent fewer than `limit` times, as long as they and
    /// their deaths are at most `max`.
    pub fn updates_to_send(&mut self, max: usize, limit: u32, now_ms: u64) -> Vec<Suspicion> {
        self.rows
            .retain(|_, row| now_ms.saturating_sub(row.evidence.newest_ms()) < SUSPICION_TTL_MS);
        let mut fresh: Vec<(&u64, &mut Row)> = self
            .rows
            .iter_mut()
            .filter(|(_, row)| row.sends < limit)
            .collect();
        fresh.sort_by_key(|(_, row)| row.sends);
        let mut entries = 0;
        let fresh = fresh.into_iter().take_while(|(_, row)| {
            entries += 1 + row.evidence.death_count() as usize;
            entries <= max
        });
        fresh
            .map(|(fingerprint, row)| {
                row.sends += 1;
                Suspicion::of(*fingerprint, &row.evidence, now_ms)
            })
            .collect()
    }

    /// Returns all suspicions.
    pub fn all(&self, now_ms: u64) -> Vec<Suspicion> {
        let rows = self.rows.iter();
        rows.map(|(fingerprint, row)| Suspicion::of(*fingerprint, &row.evidence, now_ms))
            .collect()
    }
}

impl Suspicion {
    /// Encodes the evidence about a request, with ages as of now.
    pub(crate) fn of(fingerprint: u64, evidence: &Evidence, now_ms: u64) -> Self {
        let age_ms = |at_ms: u64| now_ms.saturating_sub(at_ms);
        let deaths = evidence.deaths().map(|(upstream_digest, at_ms)| {
            let age_ms = age_ms(at_ms);
            UpstreamDeath {
                upstream_digest,
                age_ms,
            }
        });
        Self {
            fingerprint,
            deaths: deaths.collect(),
            convicted_age_ms: evidence.convicted_ms().map(age_ms),
            answered_age_ms: evidence.answered_ms().map(age_ms),
        }
    }

    /// Decodes the evidence.
    pub(crate) fn evidence(&self, now_ms: u64) -> Evidence {
        let at_ms = |age_ms: u64| now_ms.saturating_sub(age_ms);
        let mut evidence = Evidence::default();
        if let Some(age_ms) = self.answered_age_ms {
            evidence.record_answer(at_ms(age_ms));
        }
        for death in &self.deaths {
            evidence.record_death(death.upstream_digest, at_ms(death.age_ms));
        }
        if let Some(age_ms) = self.convicted_age_ms {
            evidence.convict(at_ms(age_ms));
        }
        evidence
    }
}
