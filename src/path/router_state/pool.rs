//! Current state of the upstreams of one service: which accept work, and how much.

use std::collections::HashSet;
use std::rc::Rc;

use crate::decide::spread::{Candidate, CountEstimate};
use crate::decide::{Incarnation, Origin};
use crate::fleet::in_flight::FleetInFlight;
use crate::path::health::Health;
use crate::path::router_state::{Bounds, RouterState, Tried};
use crate::path::upstreams::{Pool, Upstream};
use crate::util::Name;

/// Time after its appearance during which an upstream is assumed to have hardly any shared prompt
/// parts cached: most parts are requested every few seconds.
pub(super) const CACHE_WARMUP_MS: u64 = 8_000;

/// What is ignored if no upstream would be left: an attempt is better than a refusal based on a
/// state that may have changed.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Relaxation {
    None,
    /// Ejections.
    Ejected,
    /// Refused connections as well.
    Unreachable,
    /// Failures of this request at the upstream as well, which may be able to serve it now.
    Tried,
}

/// In increasing order.
const RELAXATIONS: [Relaxation; 4] = [
    Relaxation::None,
    Relaxation::Ejected,
    Relaxation::Unreachable,
    Relaxation::Tried,
];

/// Candidates of one pool, to which the observed state is applied step by step. A step costs a
/// search for each upstream that it concerns.
#[derive(Clone)]
struct Candidates<'a> {
    pool: &'a Pool,
    all: Vec<Candidate>,
}

impl<'a> Candidates<'a> {
    fn idle(pool: &'a Pool) -> Self {
        Self {
            pool,
            all: pool.candidates().to_vec(),
        }
    }

    /// Changes the candidates of those `ids` that are in the pool.
    fn change<'b>(
        &mut self,
        ids: impl Iterator<Item = &'b Name>,
        change: impl Fn(&mut Candidate, &Upstream),
    ) {
        for at in ids.filter_map(|id| self.pool.position(id)) {
            change(&mut self.all[at], &self.pool.upstreams()[at]);
        }
    }

    /// Changes the candidates of those `upstreams` that are in the pool and weren't started again.
    fn change_incarnations<'b>(
        &mut self,
        upstreams: impl Iterator<Item = &'b Incarnation>,
        change: impl Fn(&mut Candidate, &Upstream),
    ) {
        for at in upstreams.filter_map(|upstream| self.pool.position_of(upstream)) {
            change(&mut self.all[at], &self.pool.upstreams()[at]);
        }
    }

    /// Changes the candidates in the data centres for which `is_concerned` is true.
    fn change_data_centers(
        &mut self,
        is_concerned: impl Fn(&str) -> bool,
        change: impl Fn(&mut Candidate, &Upstream),
    ) {
        let data_centers = self.pool.slots().keys();
        let concerned: Vec<&Name> = data_centers.filter(|name| is_concerned(name)).collect();
        if concerned.is_empty() {
            return;
        }
        for (candidate, upstream) in self.all.iter_mut().zip(self.pool.upstreams()) {
            if concerned.contains(&&upstream.data_center) {
                change(candidate, upstream);
            }
        }
    }

    /// Excludes the upstreams that can't go on with a stream that began at `origin`, nor keep prompt
    /// parts for one that can.
    fn keep_to(&mut self, origin: &Origin) {
        for (candidate, upstream) in self.all.iter_mut().zip(self.pool.upstreams()) {
            if !upstream.continues(origin) {
                candidate.excluded = true;
                candidate.withheld = false;
                candidate.has_parts = false;
            }
        }
    }

    /// Excludes the upstreams of software versions at which no stream may begin.
    fn leave_out(&mut self, unused: &[Option<Name>]) {
        for (candidate, upstream) in self.all.iter_mut().zip(self.pool.upstreams()) {
            if unused.contains(&upstream.software) {
                candidate.excluded = true;
                candidate.withheld = false;
                candidate.has_parts = false;
            }
        }
    }

    fn has_open(&self) -> bool {
        self.all.iter().any(|c| !c.excluded)
    }
}

fn exclude(candidate: &mut Candidate, _: &Upstream) {
    candidate.excluded = true;
}

/// Excludes an upstream that is up. One that shuts down is excluded from the start and doesn't
/// count as withheld.
fn withhold(candidate: &mut Candidate, _: &Upstream) {
    candidate.withheld |= !candidate.excluded;
    candidate.excluded = true;
}

impl RouterState {
    /// Returns the upstreams of `service` and the state of each; this router may open `max_open`
    /// connections to each.
    pub(crate) fn pool(
        &self,
        service: &str,
        tried: &Tried<'_>,
        bounds: Bounds<'_>,
        max_open: u32,
        now_ms: u64,
    ) -> (Rc<Pool>, Vec<Candidate>) {
        let pool = self.upstreams.borrow().shared_pool(service);
        let mut open = Candidates::idle(&pool);
        self.count_requests(&mut open);
        self.close(&mut open, bounds, max_open, now_ms);
        open.change(tried.kept.into_iter(), exclude);
        self.mark_cache_sources(&mut open, service, now_ms);
        let mut candidates = open.clone();
        for relaxation in RELAXATIONS {
            candidates.all.clone_from(&open.all);
            self.exclude(&mut candidates, service, tried, relaxation, now_ms);
            if candidates.has_open() {
                break;
            }
        }
        let all = candidates.all;
        (pool, all)
    }

    /// Sets the requests that run at each candidate, by this router's own counts and the reports of
    /// the others.
    fn count_requests(&self, candidates: &mut Candidates<'_>) {
        let pool = candidates.pool;
        if self.decisions().told_counts {
            let load = self.gossip.in_flight();
            let reported = self.reported_counts(pool, &load);
            let total = reported.iter().map(|(_, count)| count).sum();
            let estimate = CountEstimate::new(total, pool.upstreams().len(), load.share);
            let unreported = estimate.of(0.0).round() as u32;
            for candidate in &mut candidates.all {
                candidate.running = unreported;
            }
            for (at, count) in reported {
                candidates.all[at].running = estimate.of(count).round() as u32;
            }
        }
        for (id, own) in self.running.borrow().iter() {
            if let Some(at) = pool.position(id) {
                candidates.all[at].own = *own;
                candidates.all[at].running += own;
            }
        }
    }

    /// Requests of the other routers at those upstreams of `pool` where they reported any.
    pub(super) fn reported_counts(&self, pool: &Pool, load: &FleetInFlight) -> Vec<(usize, f64)> {
        let upstreams = self.upstreams.borrow();
        let busy = load.upstreams.iter().filter(|(_, t)| t.running > 0.0);
        let position = |digest: u32| pool.position(&upstreams.by_digest(digest)?.id);
        busy.filter_map(|(digest, t)| Some((position(*digest)?, t.running)))
            .collect()
    }

    /// Excludes the upstreams that must not get the request even if no other is left; it is then
    /// refused at once.
    fn close(
        &self,
        candidates: &mut Candidates<'_>,
        bounds: Bounds<'_>,
        max_open: u32,
        now_ms: u64,
    ) {
        candidates.change(self.cold_starts.borrow().refusing(now_ms), withhold);
        candidates.change_incarnations(self.pushbacks.borrow().active(now_ms), withhold);
        self.withdraw(candidates, bounds);
        let running = self.running.borrow();
        let full = running.iter().filter(|(_, own)| **own >= max_open);
        candidates.change(full.map(|(id, _)| id), exclude);
    }

    /// Excludes the upstreams that must not get the request and will not take it soon either.
    fn withdraw(&self, candidates: &mut Candidates<'_>, bounds: Bounds<'_>) {
        let evacuations = self.evacuations.borrow();
        candidates.change_data_centers(|name| evacuations.contains(name), withhold);
        candidates.change(self.health.borrow().replaced(), exclude);
        let is_forbidden = |name: &str| !self.regions.allow(bounds.regions, name);
        candidates.change_data_centers(is_forbidden, exclude);
        if let Some(origin) = bounds.origin {
            candidates.keep_to(origin);
        }
        if !bounds.unused.is_empty() {
            candidates.leave_out(bounds.unused);
        }
    }

    /// Upstreams of `service`; empty if none is known.
    pub(crate) fn shared_pool(&self, service: &str) -> Rc<Pool> {
        self.upstreams.borrow().shared_pool(service)
    }

    /// Whether some upstream that takes work can go on with a stream that began at `origin`.
    pub(crate) fn has_version(&self, origin: &Origin) -> bool {
        let pool = self.upstreams.borrow().shared_pool(&origin.service);
        let mut upstreams = pool.candidates().iter().zip(pool.upstreams());
        upstreams.any(|(candidate, u)| !candidate.excluded && u.continues(origin))
    }

    /// Returns the time until an upstream of `service` takes requests again, if all of them want
    /// none from this router for a while.
    pub(crate) fn pushback_ms(
        &self,
        service: &str,
        bounds: Bounds<'_>,
        now_ms: u64,
    ) -> Option<u64> {
        let pushbacks = self.pushbacks.borrow();
        pushbacks.active(now_ms).next()?;
        let pool = self.upstreams.borrow().shared_pool(service);
        let mut candidates = Candidates::idle(&pool);
        self.withdraw(&mut candidates, bounds);
        let upstreams = candidates.all.iter().zip(pool.upstreams());
        let available = upstreams.filter(|(candidate, _)| !candidate.excluded);
        let left = available.map(|(_, u)| pushbacks.left_ms(&u.incarnation(), now_ms));
        left.collect::<Option<Vec<u64>>>()?.into_iter().min()
    }

    /// Marks the upstreams from which others can't fetch cached prompt parts.
    fn mark_cache_sources(&self, candidates: &mut Candidates<'_>, service: &str, now_ms: u64) {
        let health = self.health.borrow();
        let suspected = health.ejected(service, now_ms);
        let suspected = suspected.chain(health.unreachable(now_ms));
        candidates.change(suspected.chain(health.replaced()), |candidate, upstream| {
            candidate.has_parts &= health.is_cache_source(upstream, now_ms);
        });
        let joined = self.joined_ms.borrow();
        let young = joined
            .iter()
            .filter(|(_, at)| **at + CACHE_WARMUP_MS >= now_ms);
        candidates.change(young.map(|(id, _)| id), |c, _| c.has_parts = false);
        let evacuations = self.evacuations.borrow();
        let is_evacuated = |name: &str| evacuations.contains(name);
        candidates.change_data_centers(is_evacuated, |c, _| c.has_parts = false);
    }

    /// Excludes the upstreams that get the request only if no other is left.
    fn exclude(
        &self,
        candidates: &mut Candidates<'_>,
        service: &str,
        tried: &Tried<'_>,
        relaxation: Relaxation,
        now_ms: u64,
    ) {
        let health = self.health.borrow();
        if relaxation < Relaxation::Tried || !tried.may_repeat {
            candidates.change(tried.upstreams.iter(), exclude);
        }
        if relaxation < Relaxation::Unreachable && self.decisions().unreachable {
            candidates.change(health.unreachable(now_ms), exclude);
        }
        if relaxation < Relaxation::Ejected {
            candidates.change(self.ejected(&health, service, now_ms), exclude);
        }
    }

    /// Upstreams of `service` that are ejected by a mechanism that is enabled.
    fn ejected<'a>(
        &self,
        health: &'a Health,
        service: &str,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a Name> {
        let decisions = self.decisions();
        let ejected = health.ejected(service, now_ms);
        ejected.filter(move |id| decisions.is_enabled_for(health, id))
    }

    /// Returns the number of requests that the upstreams of `service` run at once, without excluded
    /// upstreams, or `None` if they don't report their slots.
    pub(crate) fn slots_open(&self, service: &str, now_ms: u64) -> Option<u32> {
        if !self.decisions().admission {
            return None;
        }
        let pool = self.upstreams.borrow().shared_pool(service);
        let evacuations = self.evacuations.borrow();
        let takes_work = |data_center: &str| !evacuations.contains(data_center);
        let open = pool.slots().iter().filter(|(name, _)| takes_work(name));
        let slots: u64 = open.map(|(_, slots)| slots).sum();
        let (health, cold_starts) = (self.health.borrow(), self.cold_starts.borrow());
        let mut closed: HashSet<&Name> =
            cold_starts.cold(now_ms).chain(health.replaced()).collect();
        closed.extend(self.ejected(&health, service, now_ms));
        if self.decisions().unreachable {
            closed.extend(health.unreachable(now_ms));
        }
        let closed = closed.into_iter().filter_map(|id| pool.position(id));
        let pushbacks = self.pushbacks.borrow();
        let paused = pushbacks.active(now_ms);
        let paused = paused.filter_map(|upstream| pool.position_of(upstream));
        let closed: HashSet<usize> = closed.chain(paused).collect();
        let counted = closed
            .into_iter()
            .filter(|at| !pool.candidates()[*at].excluded);
        let counted = counted.map(|at| &pool.upstreams()[at]);
        let counted = counted.filter(|u| takes_work(&u.data_center));
        let closed_slots: u64 = counted.map(|u| u64::from(u.slots)).sum();
        let open_slots = slots.saturating_sub(closed_slots);
        let open_slots = u32::try_from(open_slots).unwrap_or(u32::MAX);
        (open_slots > 0).then_some(open_slots)
    }
}
