//! Health of upstreams as observed by calls: which of them get no work. No I/O and no clock.

use std::collections::{HashMap, HashSet};

use crate::decide::ejection::{self, Change, DEFAULT_SHARE, Ejector};
use crate::decide::grey::{Outcomes, grey};
use crate::path::upstreams::{Pool, Upstream};
use crate::util::Name;

/// Time for which an upstream gets no work after it refused a connection or did not accept it in
/// time. After a crash its entry stays for some heartbeats. A restart takes longer than this, and a
/// further attempt costs one round trip.
const UNREACHABLE_MS: u64 = 1_000;

/// Outcomes of calls that were not published yet.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UnpublishedOutcomes {
    pub(crate) ended: u32,
    pub(crate) failed: u32,
}

/// Observations of all upstreams by this router and, as published, by the others.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// By service.
    ejectors: HashMap<Name, Ejector>,
    outcomes: HashMap<Name, Outcomes>,
    unpublished: HashMap<Name, UnpublishedOutcomes>,
    /// Upstreams whose address was taken over by another incarnation.
    replaced: HashSet<Name>,
    /// Upstreams ejected for their failure share: they are alive and answer the rest of their
    /// calls.
    grey: HashSet<Name>,
    /// Times until which upstreams that refused a connection get no work.
    unreachable: HashMap<Name, u64>,
}

impl Health {
    /// Whether `upstream` is ejected.
    pub(crate) fn is_ejected(&self, upstream: &Upstream, now_ms: u64) -> bool {
        let ejector = self.ejectors.get(&upstream.service);
        ejector.is_some_and(|e| e.is_ejected(&upstream.id, now_ms))
    }

    /// Whether `upstream` is ejected for its failure share.
    pub(crate) fn is_grey(&self, upstream: &str) -> bool {
        self.grey.contains(upstream)
    }

    pub(crate) fn is_replaced(&self, upstream: &Upstream) -> bool {
        self.replaced.contains(&upstream.id)
    }

    /// Whether `upstream` refused a connection recently.
    pub(crate) fn is_unreachable(&self, upstream: &Upstream, now_ms: u64) -> bool {
        let until_ms = self.unreachable.get(&upstream.id);
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Records that `upstream` refused a connection.
    ///
    /// Failure guarded against: half of a pool dies at once. Ejection excludes at most a third of a
    /// pool, so requests would be sent to dead upstreams until their entries expire, and callers
    /// would be refused although other upstreams have free slots. A refused connection needs no
    /// comparison with the pool.
    pub(crate) fn record_unreachable(&mut self, upstream: &Name, now_ms: u64) {
        self.unreachable
            .insert(upstream.clone(), now_ms + UNREACHABLE_MS);
    }

    /// Ids of the upstreams of `service` that are ejected.
    pub(crate) fn ejected(&self, service: &str, now_ms: u64) -> impl Iterator<Item = &Name> {
        let ejector = self.ejectors.get(service).into_iter();
        ejector.flat_map(move |e| e.ejected(now_ms))
    }

    /// Ids of the upstreams whose address was taken over by another incarnation.
    pub(crate) fn replaced(&self) -> impl Iterator<Item = &Name> {
        self.replaced.iter()
    }

    /// Ids of the upstreams that refused a connection recently.
    pub(crate) fn unreachable(&self, now_ms: u64) -> impl Iterator<Item = &Name> {
        let unreachable = self.unreachable.iter();
        let unreachable = unreachable.filter(move |(_, until_ms)| now_ms < **until_ms);
        unreachable.map(|(id, _)| id)
    }

    /// Whether other upstreams can fetch cached prompt parts from `upstream`. An upstream ejected
    /// for its failure share still serves these, which saves the pool from processing them again.
    pub(crate) fn is_cache_source(&self, upstream: &Upstream, now_ms: u64) -> bool {
        let is_failing = self.is_ejected(upstream, now_ms) && !self.grey.contains(&upstream.id);
        !is_failing && !self.is_unreachable(upstream, now_ms) && !self.is_replaced(upstream)
    }

    /// Records that another incarnation has the address of upstream `id`, and returns whether that
    /// was new.
    pub(crate) fn record_replaced(&mut self, id: &Name) -> bool {
        self.replaced.insert(id.clone())
    }

    /// Records the start of a call to `upstream`. The first call after an ejection is the probe,
    /// and no other call is sent until it ends.
    ///
    /// Failure guarded against: all waiting requests are sent at once to an upstream whose ejection
    /// has ended and that still fails. And if the answer to the probe is not recognized as such,
    /// one further failure ejects the upstream for twice as long, every time.
    pub(crate) fn start_call(&mut self, upstream: &Upstream, now_ms: u64) {
        if let Some(ejector) = self.ejectors.get_mut(&upstream.service) {
            ejector.admits(&upstream.id, now_ms);
        }
    }

    /// Records that `upstream` sent the head of an answer after `took_ms`.
    pub(crate) fn record_answer(
        &mut self,
        upstream: &Upstream,
        took_ms: u64,
        pool: &impl ejection::Pool,
        now_ms: u64,
    ) -> Change {
        self.count_outcome(&upstream.id, false, now_ms);
        let ejector = self.ejectors.entry(upstream.service.clone()).or_default();
        ejector.answered(&upstream.id, took_ms, pool, DEFAULT_SHARE, now_ms)
    }

    /// Records that `upstream` answered with a server error. A service may fail some requests by
    /// its nature, and three such failures in a row occur by chance. Only the failure share
    /// relative to the pool counts.
    ///
    /// Failure guarded against: a lookup service fails one request in seven at every upstream. Each
    /// upstream fails three in a row every few seconds and would be ejected for seconds; at five
    /// times the load callers are refused for lack of the capacity of a quarter of the pool.
    pub(crate) fn record_error_answer(
        &mut self,
        upstream: &Upstream,
        pool: &impl ejection::Pool,
        now_ms: u64,
    ) {
        let ejector = self.ejectors.get(&upstream.service);
        if ejector.is_some_and(|e| e.is_probed(&upstream.id)) {
            self.record_failure(upstream, pool, now_ms);
        } else {
            self.count_outcome(&upstream.id, true, now_ms);
        }
    }

    /// Records the failure of a call to `upstream`.
    pub(crate) fn record_failure(
        &mut self,
        upstream: &Upstream,
        pool: &impl ejection::Pool,
        now_ms: u64,
    ) -> Change {
        self.count_outcome(&upstream.id, true, now_ms);
        let ejector = self.ejectors.entry(upstream.service.clone()).or_default();
        let change = ejector.failed(&upstream.id, pool, DEFAULT_SHARE, now_ms);
        if change == Change::Ejected {
            self.grey.remove(&upstream.id);
        }
        change
    }

    fn count_outcome(&mut self, id: &Name, failed: bool, now_ms: u64) {
        let outcomes = self.outcomes.entry(id.clone()).or_default();
        outcomes.add(1, failed.into(), now_ms);
        let unpublished = self.unpublished.entry(id.clone()).or_default();
        unpublished.ended += 1;
        unpublished.failed += u32::from(failed);
    }

    /// Ejects the upstreams of one service's `pool` whose failure share is too high, by the
    /// outcomes that this router observed and those that the others `reported`. Returns them with
    /// their failure shares.
    pub(crate) fn eject_failing(
        &mut self,
        service: &Name,
        pool: &Pool,
        reported: &HashMap<Name, Outcomes>,
        now_ms: u64,
    ) -> Vec<(Name, f64)> {
        let observed: HashSet<&Name> = self.outcomes.keys().chain(reported.keys()).collect();
        let in_pool = observed
            .into_iter()
            .filter(|id| pool.position(id).is_some());
        let names: Vec<Name> = in_pool.cloned().collect();
        let combined = |id: &Name| {
            let own = self.outcomes.get(id).copied().unwrap_or_default();
            let reported = reported.get(id).copied().unwrap_or_default();
            own.plus(reported, now_ms)
        };
        let outcomes: Vec<Outcomes> = names.iter().map(combined).collect();
        let unobserved = pool.upstreams().len() - names.len();
        let mut ejected = Vec::new();
        for at in grey(&outcomes, unobserved) {
            let ejector = self.ejectors.entry(service.clone()).or_default();
            let change = ejector.eject_grey(&names[at], pool, DEFAULT_SHARE, now_ms);
            if change == Change::Ejected {
                self.grey.insert(names[at].clone());
                ejected.push((names[at].clone(), outcomes[at].share()));
            }
        }
        ejected
    }

    /// Takes the outcomes that were not published yet.
    pub(crate) fn take_unpublished(&mut self) -> HashMap<Name, UnpublishedOutcomes> {
        std::mem::take(&mut self.unpublished)
    }

    /// Drops the observations of `id` after its restart.
    pub(crate) fn reset(&mut self, id: &Name) {
        self.retain(|known| *known != **id);
    }

    /// Drops what has expired, and the observations of upstreams for which `is_known` is false.
    pub(crate) fn sweep(&mut self, is_known: impl Fn(&str) -> bool, now_ms: u64) {
        self.unreachable.retain(|_, until_ms| now_ms < *until_ms);
        self.outcomes
            .retain(|_, outcomes| outcomes.at(now_ms).is_significant());
        self.retain(is_known);
    }

    fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.replaced.retain(|id| is_known(id));
        self.grey.retain(|id| is_known(id));
        self.unreachable.retain(|id, _| is_known(id));
        self.outcomes.retain(|id, _| is_known(id));
        for ejector in self.ejectors.values_mut() {
            ejector.retain(&is_known);
        }
    }
}
