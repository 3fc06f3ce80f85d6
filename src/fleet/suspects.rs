//! Suspicions of requests, spread by gossip: a table without sockets or a clock of its own.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::decide::evidence::Evidence;
use crate::schema::peer::{Suspicion, UpstreamDeath};

/// Entries expire after this time, which is longer than any request stays in quarantine.
const SUSPICION_TTL_MS: u64 = 900_000;

/// Number of reports that carry a request of several deaths to [`receivers`] each. Of nine routers all
/// get it each time; in a fleet of hundreds it reaches all within a few rounds.
///
/// [`receivers`]: crate::fleet::in_flight::receivers
const REPORTS: u32 = 3;

#[derive(Clone, Debug, Default)]
struct Row {
    evidence: Evidence,
    sends: u32,
    reports: u32,
}

impl Row {
    /// Number of reports that are due. Most requests of a single death only ran beside the harmful
    /// one, so one report has to do.
    fn reports_due(&self) -> u32 {
        if self.evidence.death_count() > 1 {
            REPORTS
        } else {
            1
        }
    }
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
                row.reports = 0;
                changed = true;
            }
        }
        changed
    }

    /// Returns suspicions to send with gossip, as long as they and their deaths are at most `max`:
    /// those sent fewer than `limit` times, and then quarantined requests in turn.
    ///
    /// Failures guarded against: all requests that run at an upstream when it dies are suspected, and
    /// the harmful one waits behind them. A router that starts, or was cut off when a quarantine
    /// began, never learns of it.
    pub fn updates_to_send(&mut self, max: usize, limit: u32, now_ms: u64) -> Vec<Suspicion> {
        self.rows
            .retain(|_, row| now_ms.saturating_sub(row.evidence.newest_ms()) < SUSPICION_TTL_MS);
        let is_due = |row: &Row| row.sends < limit || row.evidence.is_sufficient();
        let mut due: Vec<(&u64, &mut Row)> = self
            .rows
            .iter_mut()
            .filter(|(_, row)| is_due(row))
            .collect();
        due.sort_by_key(|(_, row)| {
            let is_repeated = row.sends >= limit;
            let deaths = row.evidence.death_count();
            (
                is_repeated,
                Reverse(deaths * u32::from(!is_repeated)),
                row.sends,
            )
        });
        let chosen = fitting(due, max);
        chosen
            .map(|(fingerprint, row)| {
                row.sends = row.sends.saturating_add(1);
                Suspicion::of(*fingerprint, &row.evidence, now_ms)
            })
            .collect()
    }

    /// Returns the news to report to other routers at once, those with most deaths first, as long as
    /// they and their deaths are at most `max`.
    ///
    /// ```
    /// use cassiagrade::fleet::suspects::SuspectTable;
    /// use cassiagrade::schema::peer::{Suspicion, UpstreamDeath};
    /// let death = UpstreamDeath { upstream_digest: 1, age_ms: 0 };
    /// let suspicion = Suspicion { fingerprint: 7, deaths: vec![death], ..Suspicion::default() };
    /// let mut table = SuspectTable::default();
    /// assert!(table.merge(&[suspicion.clone()], 100));
    /// assert_eq!(table.report(24, 100), [suspicion]);
    /// assert_eq!(table.report(24, 150), []);
    /// ```
    pub fn report(&mut self, max: usize, now_ms: u64) -> Vec<Suspicion> {
        let mut due: Vec<(&u64, &mut Row)> = self
            .rows
            .iter_mut()
            .filter(|(_, row)| row.reports < row.reports_due())
            .collect();
        due.sort_by_key(|(_, row)| (Reverse(row.evidence.death_count()), row.reports));
        let chosen = fitting(due, max);
        chosen
            .map(|(fingerprint, row)| {
                row.reports += 1;
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

/// The first of `rows` that, with their deaths, are at most `max` entries.
fn fitting<'a>(
    rows: Vec<(&'a u64, &'a mut Row)>,
    max: usize,
) -> impl Iterator<Item = (&'a u64, &'a mut Row)> {
    let mut entries = 0;
    rows.into_iter().take_while(move |(_, row)| {
        entries += 1 + row.evidence.death_count() as usize;
        entries <= max
    })
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
        // One from before this router's start can't be told in time from the deaths, which it doesn't
        // refute: those that it did aren't listed.
        let answered_age_ms = self.answered_age_ms.filter(|age_ms| *age_ms < now_ms);
        if let Some(age_ms) = answered_age_ms {
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
