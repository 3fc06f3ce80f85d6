//! Evidence for and against one request: upstreams that died while they ran it, and its newest
//! complete answer.
//!
//! Several routers observe the deaths under one request, each some of them, and at the same time.
//! Evidence is therefore a set of deaths, not a count: merging is the same in any order, and a death
//! that several routers observed counts once. A complete answer refutes the deaths before it and
//! shortly after it, because a harmful request crashes each upstream that runs it.

use std::collections::{BTreeMap, HashMap};

use crate::decide::quarantine::{ISOLATION_DEATHS, MANY_DEATHS};

/// An answer refutes deaths up to this time after it. A common request is answered all the time, and
/// upstreams that die at the same moment for another reason must not quarantine it.
pub const ANSWER_COVERS_MS: u64 = 5_000;
/// Number of deaths kept. More add nothing, and if some are refuted, enough others are left.
const MAX_DEATHS: usize = 2 * MANY_DEATHS as usize;
/// Number of requests whose answers are kept in one half of [`RecentAnswers`].
const MAX_ANSWERS: usize = 4_096;

/// What is known for and against one request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// Times at which answers were lost, by the digest of the upstream's incarnation.
    deaths: BTreeMap<u32, u64>,
    /// Time at which it was found to be the only possible cause of a death.
    convicted_ms: Option<u64>,
    answered_ms: Option<u64>,
}

impl Evidence {
    /// Records that an upstream died while it ran the request, and returns whether that is new.
    ///
    /// ```
    /// use cassiagrade::decide::evidence::Evidence;
    /// let (mut here, mut there) = (Evidence::default(), Evidence::default());
    /// here.record_death(1, 100);
    /// there.record_death(1, 102);
    /// there.record_death(2, 100);
    /// assert!(here.merge(&there));
    /// assert_eq!(here.death_count(), 2);
    /// assert!(here.record_answer(200));
    /// assert_eq!(here.death_count(), 0);
    /// ```
    pub fn record_death(&mut self, upstream: u32, at_ms: u64) -> bool {
        if self.is_refuted(at_ms) {
            return false;
        }
        if let Some(known_ms) = self.deaths.get_mut(&upstream) {
            *known_ms = at_ms.min(*known_ms);
            return false;
        }
        if self.deaths.len() >= MAX_DEATHS {
            return false;
        }
        self.deaths.insert(upstream, at_ms);
        true
    }

    /// Records that the request was the only possible cause of a death, and returns whether that is
    /// new.
    pub fn convict(&mut self, at_ms: u64) -> bool {
        if self.is_refuted(at_ms) || self.convicted_ms.is_some() {
            return false;
        }
        self.convicted_ms = Some(at_ms);
        true
    }

    /// Records that the request was answered completely, and returns whether that refutes anything
    /// or is the first answer.
    pub fn record_answer(&mut self, at_ms: u64) -> bool {
        let is_first = self.answered_ms.is_none();
        self.answered_ms = self.answered_ms.max(Some(at_ms));
        let before = (self.deaths.len(), self.convicted_ms);
        let covered_ms = at_ms + ANSWER_COVERS_MS;
        self.deaths.retain(|_, death_ms| *death_ms > covered_ms);
        self.convicted_ms = self.convicted_ms.filter(|at_ms| *at_ms > covered_ms);
        is_first || before != (self.deaths.len(), self.convicted_ms)
    }

    /// Adds the evidence of another router, and returns whether that changed anything.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = false;
        if let Some(answered_ms) = other.answered_ms {
            changed |= self.record_answer(answered_ms);
        }
        for (upstream, at_ms) in other.deaths() {
            changed |= self.record_death(upstream, at_ms);
        }
        if let Some(convicted_ms) = other.convicted_ms {
            changed |= self.convict(convicted_ms);
        }
        changed
    }

    /// Drops the deaths before `since_ms`.
    pub fn expire(&mut self, since_ms: u64) {
        self.deaths.retain(|_, at_ms| *at_ms >= since_ms);
        self.convicted_ms = self.convicted_ms.filter(|at_ms| *at_ms >= since_ms);
    }

    /// Deaths that no answer refutes: digests of the upstreams, and times.
    pub fn deaths(&self) -> impl Iterator<Item = (u32, u64)> {
        self.deaths
            .iter()
            .map(|(upstream, at_ms)| (*upstream, *at_ms))
    }

    /// Number of deaths that no answer refutes.
    pub fn death_count(&self) -> u32 {
        u32::try_from(self.deaths.len()).unwrap_or(u32::MAX)
    }

    /// Whether at most one run of the request may be in progress in the whole fleet.
    pub fn is_isolated(&self) -> bool {
        self.convicted_ms.is_some() || self.death_count() >= ISOLATION_DEATHS
    }

    /// Whether the request may not run any more.
    pub fn is_sufficient(&self) -> bool {
        self.convicted_ms.is_some() || self.death_count() >= MANY_DEATHS
    }

    /// Time of the conviction.
    pub fn convicted_ms(&self) -> Option<u64> {
        self.convicted_ms
    }

    /// Time of the newest answer.
    pub fn answered_ms(&self) -> Option<u64> {
        self.answered_ms
    }

    /// Time of the newest death or conviction.
    pub fn suspected_ms(&self) -> Option<u64> {
        self.deaths.values().copied().max().max(self.convicted_ms)
    }

    /// Time of the newest observation.
    pub fn newest_ms(&self) -> u64 {
        self.suspected_ms().max(self.answered_ms).unwrap_or(0)
    }

    fn is_refuted(&self, at_ms: u64) -> bool {
        let answered_ms = self.answered_ms;
        answered_ms.is_some_and(|answered_ms| at_ms <= answered_ms + ANSWER_COVERS_MS)
    }
}

/// Requests answered in the last [`ANSWER_COVERS_MS`] and up to twice that; fewer at a high rate.
#[derive(Clone, Debug, Default)]
pub struct RecentAnswers {
    current: HashMap<u64, u64>,
    previous: HashMap<u64, u64>,
    since_ms: u64,
}

impl RecentAnswers {
    /// Records that the request with this fingerprint was answered completely.
    pub fn record(&mut self, fingerprint: u64, now_ms: u64) {
        let is_old = now_ms.saturating_sub(self.since_ms) >= ANSWER_COVERS_MS;
        if is_old || self.current.len() >= MAX_ANSWERS {
            self.previous = std::mem::take(&mut self.current);
            self.since_ms = now_ms;
        }
        self.current.insert(fingerprint, now_ms);
    }

    /// Time of the last recorded answer to the request.
    pub fn latest_ms(&self, fingerprint: u64) -> Option<u64> {
        let current = self.current.get(&fingerprint);
        current.or_else(|| self.previous.get(&fingerprint)).copied()
    }
}
