//! What one router believes: configuration, upstreams, and what it has seen of them.

mod pool;

use std::cell::{Cell, Ref, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::watch;

use crate::config::ALL_ON;
use crate::decide::cold_start::ColdStarts;
use crate::decide::connections::{self, ConnectionQuota};
use crate::decide::ejection::Change;
use crate::decide::retry::RetryBudget;
use crate::fleet::gossip::{Gossip, Publish};
use crate::fleet::loads::digest;
use crate::mutation::{Mutation, mutated};
use crate::path::evacuations::Evacuations;
use crate::path::health::Health;
use crate::path::regions::Regions;
use crate::path::routes::Deployment;
use crate::path::suspects::Suspects;
use crate::path::upstreams::{Upstream, Upstreams};
use crate::schema::peer::{InFlightCount, LogPosition, ServiceDemand, Suspicion};
use crate::schema::settings::Decisions;
use crate::util::Name;

/// Share of the fleet's retries that its routers may make together: the rest covers windows that
/// begin within a burst.
const BUDGET_SHARE: f64 = 0.85;

/// Share of a pool's slots from which its upstreams may be late or full because of their load: batches that
/// are half full already read prompts between one another's tokens.
const LOADED_SHARE: f64 = 0.5;

/// How many retries the whole fleet may make.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryLimit {
    /// As a share of its requests.
    pub(crate) share: f64,
    /// Beyond that at once.
    pub(crate) burst: f64,
}

/// What one router believes. Tasks share it and hold no borrow across a wait.
pub(crate) struct RouterState {
    deployment: RefCell<Rc<Deployment>>,
    upstreams: RefCell<Upstreams>,
    evacuations: RefCell<Evacuations>,
    cold_starts: RefCell<ColdStarts>,
    health: RefCell<Health>,
    budgets: RefCell<HashMap<Name, RetryBudget>>,
    running: RefCell<HashMap<Name, u32>>,
    suspects: RefCell<Suspects>,
    suspicions: RefCell<watch::Receiver<Arc<Vec<Suspicion>>>>,
    /// When upstreams came that weren't there when this router started.
    joined_ms: RefCell<HashMap<Name, u64>>,
    retry_limit: Cell<RetryLimit>,
    decisions: Cell<Decisions>,
    data_center: Name,
    regions: Regions,
    gossip: Gossip,
}

impl Decisions {
    /// Whether what left `upstream` out is on.
    fn leaves_out(self, health: &Health, upstream: &Upstream) -> bool {
        if health.is_grey(upstream) {
            self.grey
        } else {
            self.ejection
        }
    }
}

/// Where a request was so far.
pub(crate) struct Tried<'a> {
    pub(crate) upstreams: &'a [Name],
    /// If no other is left, it may go where it was: they ran it and failed, not turned it away.
    pub(crate) may_return: bool,
}

impl Tried<'_> {
    fn has(&self, id: &Name) -> bool {
        self.upstreams.contains(id)
    }
}

/// Counts one request at one upstream as long as it lives.
pub(crate) struct Running {
    state: Rc<RouterState>,
    upstream: Name,
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut running = self.state.running.borrow_mut();
        if let Some(count) = running.get_mut(&self.upstream) {
            *count -= 1;
            if *count == 0 {
                running.remove(&self.upstream);
            }
        }
    }
}

impl RouterState {
    pub(crate) fn new(
        retry_limit: RetryLimit,
        data_center: Name,
        regions: Regions,
        gossip: Gossip,
    ) -> Self {
        Self {
            deployment: RefCell::default(),
            upstreams: RefCell::default(),
            evacuations: RefCell::default(),
            cold_starts: RefCell::default(),
            health: RefCell::default(),
            budgets: RefCell::default(),
            running: RefCell::default(),
            suspects: RefCell::default(),
            suspicions: RefCell::new(gossip.suspicions()),
            joined_ms: RefCell::default(),
            retry_limit: Cell::new(retry_limit),
            decisions: Cell::new(ALL_ON),
            data_center,
            regions,
            gossip,
        }
    }

    pub(crate) fn deployment(&self) -> Rc<Deployment> {
        self.deployment.borrow().clone()
    }

    pub(crate) fn limit_retries(&self, limit: RetryLimit) {
        self.retry_limit.set(limit);
    }

    /// Which mechanisms are on.
    pub(crate) fn decisions(&self) -> Decisions {
        self.decisions.get()
    }

    pub(crate) fn decide_by(&self, decisions: Decisions) {
        self.decisions.set(decisions);
    }

    /// Takes a configuration unless a newer one is in force; tells whether it was taken.
    ///
    /// Failure guarded against: the platform answers from the past, and requests are handled again
    /// as an operator no longer allows.
    pub(crate) fn configure(&self, deployment: Deployment) -> bool {
        let mut held = self.deployment.borrow_mut();
        if deployment.version <= held.version && !mutated(Mutation::AcceptOlderVersion) {
            return false;
        }
        *held = Rc::new(deployment);
        true
    }

    /// An upstream came after this router had started.
    pub(crate) fn joined(&self, id: &str, now_ms: u64) {
        self.joined_ms.borrow_mut().insert(id.into(), now_ms);
    }

    /// Changes the upstreams that are there.
    pub(crate) fn change_upstreams<T>(&self, change: impl FnOnce(&mut Upstreams) -> T) -> T {
        change(&mut self.upstreams.borrow_mut())
    }

    /// The data centres that get no new work.
    pub(crate) fn evacuations(&self) -> Ref<'_, Evacuations> {
        self.evacuations.borrow()
    }

    pub(crate) fn change_evacuations<T>(&self, change: impl FnOnce(&mut Evacuations) -> T) -> T {
        change(&mut self.evacuations.borrow_mut())
    }

    /// An upstream said how much longer it stays cold.
    pub(crate) fn report_cold(&self, upstream: &Upstream, now_ms: u64) {
        let mut cold_starts = self.cold_starts.borrow_mut();
        cold_starts.reported(&upstream.id, &upstream.service, upstream.cold_ms, now_ms);
    }

    /// Settles which cold upstreams this router, `host`, may send to as one of `hosts`.
    pub(crate) fn assign_cold(&self, host: &str, hosts: &[Name], now_ms: u64) {
        let deployment = self.deployment.borrow();
        let per_s = |service: &str| deployment.cold_per_s(service);
        let mut cold_starts = self.cold_starts.borrow_mut();
        cold_starts.assign(host, hosts, per_s, now_ms);
    }

    /// Which region a data centre is in.
    pub(crate) fn regions(&self) -> &Regions {
        &self.regions
    }

    pub(crate) fn knows_upstream(&self, id: &str) -> bool {
        self.upstreams.borrow().get(id).is_some()
    }

    /// When `id` started, if it is known.
    pub(crate) fn started_ms(&self, id: &str) -> Option<u64> {
        self.upstreams.borrow().get(id).map(|u| u.started_ms)
    }

    /// An upstream started again under its id.
    ///
    /// Failure guarded against: it crashed with all that it ran and held. What was seen of it before would
    /// keep it without work, for good if its address had another owner meanwhile, and the request that
    /// crashed it would never be found out, as its entry doesn't go.
    pub(crate) fn restarted(&self, id: &Name, now_ms: u64) {
        self.found_dead(id, now_ms);
        self.health.borrow_mut().forget(id);
    }

    pub(crate) fn upstreams_known(&self) -> usize {
        self.upstreams.borrow().len()
    }

    /// What this router may have open to each upstream of `service`, as one of `routers`.
    pub(crate) fn connections(&self, service: &str, routers: usize) -> ConnectionQuota {
        let deployment = self.deployment.borrow();
        let max_connections = deployment.max_connections(service);
        let is_parted = self.decisions().connection_shares;
        connections::quota(max_connections.filter(|_| is_parted), routers)
    }

    /// Requests of this router that run or wait at `upstream`.
    pub(crate) fn running(&self, upstream: &str) -> u32 {
        self.running.borrow().get(upstream).copied().unwrap_or(0)
    }

    /// How old the other routers' counts are on the mean.
    pub(crate) fn counts_age_ms(&self) -> f64 {
        self.gossip.in_flight().age_ms
    }

    /// How many requests to `service` each of the other routers wants to run.
    pub(crate) fn demands_of_others(&self, service: &str) -> Vec<u32> {
        let picture = self.gossip.in_flight();
        picture
            .demands
            .get(&digest(service))
            .cloned()
            .unwrap_or_default()
    }

    /// Whether this router has all that it may have open to some upstream of `service`.
    pub(crate) fn is_full(&self, service: &str, max_open: u32) -> bool {
        let upstreams = self.upstreams.borrow();
        let mut pool = upstreams.pool(service).iter();
        pool.any(|u| self.running(&u.id) >= max_open)
    }

    /// Counts a request that begins at `upstream`.
    pub(crate) fn run(self: &Rc<Self>, upstream: &Upstream, now_ms: u64) -> Running {
        self.health.borrow_mut().begin(upstream, now_ms);
        self.cold_starts.borrow_mut().sent(&upstream.id, now_ms);
        let upstream = &upstream.id;
        *self
            .running
            .borrow_mut()
            .entry(upstream.clone())
            .or_insert(0) += 1;
        Running {
            state: self.clone(),
            upstream: upstream.clone(),
        }
    }

    /// Tells the other routers what runs here and how calls ended since the last telling.
    pub(crate) fn publish_in_flight(&self, wishes: Vec<ServiceDemand>, mark: LogPosition) {
        let mut flights: HashMap<Name, InFlightCount> = HashMap::new();
        for (id, running) in self.running.borrow().iter() {
            flights.entry(id.clone()).or_default().running = *running;
        }
        for (id, ended) in self.health.borrow_mut().take_untold() {
            let flight = flights.entry(id).or_default();
            flight.ended = ended.ended;
            flight.failed = ended.failed;
        }
        let flights = flights.into_iter().map(|(id, flight)| InFlightCount {
            upstream_digest: digest(&id),
            ..flight
        });
        let flights = flights.collect();
        self.gossip
            .publish(Publish::InFlight(flights, wishes, mark));
    }

    /// Leaves upstreams out that fail a share of their calls, by what all routers saw.
    pub(crate) fn judge(&self, now_ms: u64) {
        let told = &self.gossip.in_flight().upstreams;
        let upstreams = self.upstreams.borrow();
        let mut health = self.health.borrow_mut();
        for pool in upstreams.pools() {
            for (id, share) in health.judge(pool, told, now_ms) {
                log::info!("upstream {id} Ejected: fails {share:.2} of its calls");
            }
        }
    }

    /// An upstream gave an answer's head after `took_ms`.
    pub(crate) fn answered(&self, upstream: &Upstream, took_ms: u64, now_ms: u64) {
        let pool = self.pool_names(&upstream.service);
        let mut health = self.health.borrow_mut();
        let change = health.answered(upstream, took_ms, &pool, now_ms);
        if change != Change::None {
            log::info!(
                "upstream {} {change:?}: head after {took_ms} ms",
                upstream.id
            );
        }
    }

    /// How much longer a request may not run because it crashed upstreams.
    pub(crate) fn convicted_ms(&self, fingerprint: u64, now_ms: u64) -> Option<u64> {
        let convicted_ms = self.suspects.borrow().convicted_ms(fingerprint, now_ms);
        convicted_ms.filter(|_| self.decisions().quarantine)
    }

    /// The answer of `upstream` to a request broke off.
    pub(crate) fn lost_answer(&self, upstream: &Name, fingerprint: u64, now_ms: u64) {
        self.suspects
            .borrow_mut()
            .lost(upstream, fingerprint, now_ms);
    }

    /// A request was answered.
    pub(crate) fn answered_request(&self, fingerprint: u64) {
        let told = self.suspects.borrow_mut().answered(fingerprint);
        if let Some(told) = told {
            self.gossip.publish(Publish::Suspicion(told));
        }
    }

    /// An upstream takes no connection, or its entry went.
    pub(crate) fn found_dead(&self, upstream: &str, now_ms: u64) {
        for told in self.suspects.borrow_mut().died(upstream, now_ms) {
            log::warn!(
                upstream, fingerprint = told.fingerprint, deaths = told.deaths;
                "an upstream died while it ran a request"
            );
            self.gossip.publish(Publish::Suspicion(told));
        }
    }

    /// An upstream takes no connection.
    pub(crate) fn unreachable(&self, upstream: &Name, now_ms: u64) {
        self.health.borrow_mut().unreachable(upstream, now_ms);
        self.found_dead(upstream, now_ms);
    }

    /// Another incarnation answers at an upstream's address.
    ///
    /// Failure guarded against: an upstream crashes and starts anew at its address, and its entry stays
    /// until it lapses, for as long as the log is away. Each request that means the old one comes back
    /// unrun and takes one of the fleet's retries, until there are none and callers are refused.
    pub(crate) fn found_replaced(&self, upstream: &Name, now_ms: u64) {
        if self.health.borrow_mut().replaced(upstream) {
            log::info!("upstream {upstream} is gone: another incarnation has its address");
            self.found_dead(upstream, now_ms);
        }
    }

    /// Takes what other routers hold against requests.
    pub(crate) fn merge_suspicions(&self, now_ms: u64) {
        let mut suspicions = self.suspicions.borrow_mut();
        if !suspicions.has_changed().unwrap_or(false) {
            return;
        }
        let mut suspects = self.suspects.borrow_mut();
        for told in suspicions.borrow_and_update().iter() {
            suspects.heard(told, now_ms);
        }
    }

    /// A call to an upstream wasn't answered in time, or was turned away.
    ///
    /// Failure guarded against: callers want more than a pool can run. Its upstreams answer late and turn
    /// requests away, and are ejected for it one by one; the rest gets their load too, and for as long as
    /// the holds last the pool does two thirds of what it could. What a loaded pool does to all says
    /// nothing of one upstream.
    pub(crate) fn overran(&self, upstream: &Upstream, why: &str, now_ms: u64) {
        if !self.is_loaded(&upstream.service) {
            self.failed(upstream, why, now_ms);
        }
    }

    /// Whether the upstreams of `service` run so much that they may be late or turn requests away for it.
    fn is_loaded(&self, service: &str) -> bool {
        let told = self.gossip.in_flight();
        let own = self.running.borrow();
        let upstreams = self.upstreams.borrow();
        let (mut running, mut slots) = (0.0, 0);
        for upstream in upstreams.pool(service) {
            let of_others = told.upstreams.get(&digest(&upstream.id));
            running += f64::from(own.get(&upstream.id).copied().unwrap_or(0));
            running += of_others.map_or(0.0, |t| t.running);
            slots += upstream.slots;
        }
        slots > 0 && running >= f64::from(slots) * LOADED_SHARE
    }

    /// An upstream answered that it failed.
    pub(crate) fn answered_failure(&self, upstream: &Upstream, now_ms: u64) {
        let pool = self.pool_names(&upstream.service);
        let mut health = self.health.borrow_mut();
        health.answered_failure(upstream, &pool, now_ms);
    }

    /// A call to an upstream failed.
    pub(crate) fn failed(&self, upstream: &Upstream, why: &str, now_ms: u64) {
        let pool = self.pool_names(&upstream.service);
        let change = self.health.borrow_mut().failed(upstream, &pool, now_ms);
        if change != Change::None {
            log::info!("upstream {} {change:?}: {why}", upstream.id);
        }
    }

    /// Counts a request's first try towards the retries of its service.
    pub(crate) fn first_try(&self, service: &Name, routers: usize) {
        let mut budgets = self.budgets.borrow_mut();
        let limit = self.retry_limit.get();
        let burst = limit.burst * BUDGET_SHARE / routers.max(1) as f64;
        let share = limit.share * BUDGET_SHARE;
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::with_burst(share, burst));
        budget.set_share(share);
        budget.set_burst(burst);
        budget.first_try();
    }

    /// Takes one retry at `service`; `false` if there must be none.
    pub(crate) fn take_retry(&self, service: &str) -> bool {
        let mut budgets = self.budgets.borrow_mut();
        budgets.get_mut(service).is_some_and(RetryBudget::take)
    }

    /// Forgets what was seen of upstreams that are gone.
    pub(crate) fn sweep(&self) {
        let upstreams = self.upstreams.borrow();
        self.joined_ms
            .borrow_mut()
            .retain(|id, _| upstreams.get(id).is_some());
        let is_known = |id: &str| upstreams.get(id).is_some();
        self.health.borrow_mut().retain(is_known);
    }

    fn pool_names(&self, service: &str) -> Vec<Name> {
        let upstreams = self.upstreams.borrow();
        let pool = upstreams.pool(service).iter();
        pool.map(|u| u.id.clone()).collect()
    }
}
