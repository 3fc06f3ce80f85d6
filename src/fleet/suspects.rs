//! Suspicions of requests, spread by gossip: a table without sockets or a clock of its own.

use std::collections::HashMap;

use crate::schema::peer::Suspicion;

/// Entries expire after this time, which is longer than any request stays in quarantine.
const SUSPICION_TTL_MS: u64 = 900_000;
/// Entries whose times differ by less than this are the same event: ages drift a little at each
/// hop.
const AGE_TOLERANCE_MS: u64 = 2_000;

#[derive(Clone, Copy, Debug)]
struct Row {
    deaths: u32,
    cleared: bool,
    at_ms: u64,
    sends: u32,
}

/// Latest suspicion for each fingerprint.
#[derive(Debug, Default)]
pub struct SuspectTable {
    rows: HashMap<u64, Row>,
}

impl SuspectTable {
    /// Merges suspicions that supersede the known ones. Returns whether anything changed.
    ///
    /// Deaths are counted by the one router that retries the request, so the larger count wins; a
    /// success clears all deaths before it.
    pub fn merge(&mut self, received: &[Suspicion], now_ms: u64) -> bool {
        let mut changed = false;
        for suspicion in received.iter().filter(|s| s.age_ms < SUSPICION_TTL_MS) {
            let row = Row {
                deaths: suspicion.deaths,
                cleared: suspicion.cleared,
                at_ms: now_ms.saturating_sub(suspicion.age_ms),
                sends: 0,
            };
            let known = self.rows.get(&suspicion.fingerprint).copied();
            if known.is_none_or(|known| row.supersedes(&known)) {
                self.rows.insert(suspicion.fingerprint, row);
                changed = true;
            }
        }
        changed
    }

    /// Returns at most `max` suspicions that have been sent fewer than `limit` times.
    pub fn updates_to_send(&mut self, max: usize, limit: u32, now_ms: u64) -> Vec<Suspicion> {
        self.rows
            .retain(|_, row| now_ms.saturating_sub(row.at_ms) < SUSPICION_TTL_MS);
        let mut fresh: Vec<(&u64, &mut Row)> = self
            .rows
            .iter_mut()
            .filter(|(_, row)| row.sends < limit)
            .collect();
        fresh.sort_by_key(|(_, row)| row.sends);
        let fresh = fresh.into_iter().take(max);
        fresh
            .map(|(fingerprint, row)| {
                row.sends += 1;
                row.suspicion(*fingerprint, now_ms)
            })
            .collect()
    }

    /// Returns all suspicions.
    pub fn all(&self, now_ms: u64) -> Vec<Suspicion> {
        let rows = self.rows.iter();
        rows.map(|(fingerprint, row)| row.suspicion(*fingerprint, now_ms))
            .collect()
    }
}

impl Row {
    fn supersedes(&self, known: &Self) -> bool {
        if self.cleared == known.cleared {
            return self.deaths > known.deaths || self.at_ms > known.at_ms + AGE_TOLERANCE_MS;
        }
        self.at_ms > known.at_ms
    }

    fn suspicion(&self, fingerprint: u64, now_ms: u64) -> Suspicion {
        Suspicion {
            fingerprint,
            deaths: self.deaths,
            cleared: self.cleared,
            age_ms: now_ms.saturating_sub(self.at_ms),
        }
    }
}
