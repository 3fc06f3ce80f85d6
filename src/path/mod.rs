//! Request path of a router that forwards requests to upstreams itself, without handing them to
//! another router.
//!
//! A request passes through the modules in this order: `callers` accepts the connection, `request`
//! validates it and resolves its route and account, `admission_queue` queues it until its service
//! has free capacity, `attempts` picks upstreams until one answers, `call` sends the request over a
//! pooled `connection`, `stream` resumes a stream that breaks off, and `answer` forwards the answer.
//! [`routes`], [`upstreams`] and `router_state` hold the state that these modules read; a
//! [`dialect`] maps header names.

pub(crate) mod admission_queue;
pub(crate) mod answer;
pub(crate) mod attempts;
pub(crate) mod call;
pub(crate) mod callers;
pub(crate) mod catch_up;
mod change_log;
mod changes;
pub(crate) mod connection;
pub(crate) mod cursor;
mod death_check;
pub(crate) mod delegate;
mod departures;
pub mod dialect;
pub mod evacuations;
pub mod events;
pub(crate) mod first_load;
pub(crate) mod freshness;
pub(crate) mod health;
pub(crate) mod leaving;
pub(crate) mod log_replica;
pub(crate) mod peers;
pub mod position;
pub(crate) mod reach_check;
pub(crate) mod refusal;
pub mod regions;
pub(crate) mod request;
pub(crate) mod router_state;
pub mod routes;
mod send_budget;
pub(crate) mod start_report;
mod state_requests;
pub(crate) mod stop;
pub(crate) mod stop_admission;
pub(crate) mod stream;
pub(crate) mod stream_origins;
pub(crate) mod suspects;
pub(crate) mod suspend;
pub(crate) mod trials;
pub mod upstreams;
pub(crate) mod versions;

#[cfg(test)]
mod admission_queue_tests;
#[cfg(test)]
mod call_tests;
#[cfg(test)]
mod change_log_tests;
#[cfg(test)]
mod changes_tests;
#[cfg(test)]
mod connection_tests;
#[cfg(test)]
mod delegate_tests;
#[cfg(test)]
mod departures_tests;
#[cfg(test)]
mod events_tests;
#[cfg(test)]
mod first_load_tests;
#[cfg(test)]
mod freshness_tests;
#[cfg(test)]
mod health_tests;
#[cfg(test)]
mod leaving_tests;
#[cfg(test)]
mod log_replica_eras_tests;
#[cfg(test)]
mod log_replica_fake_tests;
#[cfg(test)]
mod log_replica_fleet_tests;
#[cfg(test)]
mod log_replica_fuzz_tests;
#[cfg(test)]
mod log_replica_hold_tests;
#[cfg(test)]
mod log_replica_reader_tests;
#[cfg(test)]
mod log_replica_restore_cost_tests;
#[cfg(test)]
mod log_replica_restore_tests;
#[cfg(test)]
mod log_replica_snapshot_tests;
#[cfg(test)]
mod log_replica_tests;
#[cfg(test)]
mod log_replica_world_tests;
#[cfg(test)]
mod regions_tests;
#[cfg(test)]
mod router_state_tests;
#[cfg(test)]
mod send_budget_tests;
#[cfg(test)]
mod start_report_tests;
#[cfg(test)]
mod state_requests_tests;
#[cfg(test)]
mod stop_admission_tests;
#[cfg(test)]
mod suspects_tests;
#[cfg(test)]
mod suspend_tests;
#[cfg(test)]
mod trials_tests;
#[cfg(test)]
mod versions_tests;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use tokio::sync::watch;

use crate::decide::answer_times::AnswerTimes;
use crate::event::Events;
use crate::fleet::gossip::Gossip;
use crate::fleet::homes;
use crate::fleet::in_flight::{self, REPORT_INTERVAL_MS};
use crate::fleet::log_reads;
use crate::fleet::member::{Member, MemberState, View};
use crate::front::Drain;
use crate::front::memory::ByteBudget;
use crate::path::admission_queue::AdmissionQueues;
use crate::path::catch_up::CatchUp;
use crate::path::connection::ConnectionPool;
use crate::path::dialect::Records;
use crate::path::log_replica::LogReplica;
use crate::path::regions::AllowedRegions;
use crate::path::router_state::RouterState;
use crate::path::stream_origins::StreamOrigins;
use crate::path::trials::Trials;
use crate::path::upstreams::Upstream;
use crate::path::versions::ServiceVersions;
use crate::peers::PeerClient;
use crate::stats;
use crate::util::{Clock, Name};

/// Time after start during which a router may not yet know the other members.
pub(crate) const SETTLE_MS: u64 = 3_000;
/// Time after start from which a router takes those that it knows for the fleet.
const MEETING_LIMIT_MS: u64 = 10_000;
/// Share of the routers that the summary counts which a router has to know. Some of them may be gone.
const MET_SHARE: f64 = 0.9;
/// Number of routers that are asked in turn to send a request. The first one may have been cut off a moment
/// ago.
const MAX_DELEGATES: usize = 2;
/// How often a router publishes its load to the other routers.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(REPORT_INTERVAL_MS);
/// Number of publishes between two sweeps of state kept for removed upstreams.
const PUBLISHES_PER_SWEEP: u32 = 10;

/// Query of a caller for entry addresses.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EntryQuery<'a> {
    /// Host name of the requests that the caller will send.
    pub(crate) name: Option<&'a str>,
    /// The caller's region.
    pub(crate) region: Option<&'a str>,
}

/// The home of an upstream.
pub(crate) enum Home {
    /// This router.
    Own,
    /// Another router.
    Other(Member),
    /// None that can be told.
    Unknown,
}

/// Members as of one view, counted once for all that ask.
#[derive(Clone, Copy)]
struct FleetSummary {
    version: u64,
    members: usize,
    live: usize,
    met: usize,
    is_reader: bool,
}

/// State shared by the tasks of the request path.
pub(crate) struct RequestPath<D> {
    pub(crate) state: Rc<RouterState>,
    pub(crate) replica: LogReplica<D>,
    pub(crate) queues: Rc<AdmissionQueues>,
    pub(crate) connections: ConnectionPool,
    pub(crate) clock: Clock,
    pub(crate) drain: Drain,
    pub(crate) events: Events,
    pub(crate) gossip: Gossip,
    pub(crate) fleet: watch::Receiver<Arc<View>>,
    pub(crate) summary: SummaryCache,
    pub(crate) host: Name,
    pub(crate) peers: PeerClient,
    pub(crate) trials: Trials,
    pub(crate) catch_up: Rc<CatchUp>,
    pub(crate) versions: ServiceVersions,
    pub(crate) origins: StreamOrigins,
    pub(crate) answer_times: RefCell<AnswerTimes>,
    /// What callers' requests may hold.
    pub(crate) request_bytes: ByteBudget,
    /// What answers that were read whole may hold.
    pub(crate) answer_bytes: ByteBudget,
}

/// Cache of the [`FleetSummary`] of the newest view.
#[derive(Default)]
pub(crate) struct SummaryCache(Cell<Option<FleetSummary>>);

impl<D> RequestPath<D> {
    /// Number of live routers, which share the limits of the fleet. One that joined a large fleet by its
    /// summary takes all for live until it has met them.
    pub(crate) fn routers(&self) -> usize {
        let live = self.fleet_summary().live.max(1);
        if self.has_met_fleet() {
            live
        } else {
            live.max(self.catch_up.summarized_routers())
        }
    }

    /// Whether this router knows nearly all others of a fleet that it joined by the summary.
    ///
    /// Failure guarded against: a large fleet returns as a whole, and each router knows another tenth of
    /// it. Each takes a greater share of common limits than is its own, and they disagree on which of
    /// them sends to a brittle upstream or runs a suspected request.
    pub(crate) fn has_met_fleet(&self) -> bool {
        let met = self.fleet_summary().members as f64;
        let all = self.catch_up.summarized_routers() as f64;
        met >= all * MET_SHARE || self.clock.now_ms() >= MEETING_LIMIT_MS
    }

    /// Number of routers that this one, which is one of them, has heard of since its start, other than from
    /// the platform.
    pub(crate) fn met_routers(&self) -> usize {
        self.fleet_summary().met
    }

    /// Whether this router reads the platform's log for the others.
    pub(crate) fn is_reader(&self) -> bool {
        self.fleet_summary().is_reader
    }

    fn fleet_summary(&self) -> FleetSummary {
        let fleet = self.fleet.borrow();
        let known = self.summary.0.get();
        if let Some(summary) = known.filter(|s| s.version == fleet.version) {
            return summary;
        }
        let live = fleet.members.iter();
        let live = live.filter(|m| m.state != MemberState::Dead);
        let summary = FleetSummary {
            version: fleet.version,
            members: fleet.members.len(),
            live: live.clone().count(),
            met: live.filter(|m| m.incarnation > 0).count(),
            is_reader: log_reads::is_reader(&fleet, &self.host),
        };
        self.summary.0.set(Some(summary));
        summary
    }

    /// Number of routers that this router can reach, itself included.
    pub(crate) fn reachable_routers(&self) -> usize {
        in_flight::reachable(self.gossip.in_flight().reporting, self.routers())
    }

    /// Whether another router takes requests whose regions are `allowed`.
    pub(crate) fn has_others(&self, allowed: &AllowedRegions) -> bool {
        let fleet = self.fleet.borrow();
        let regions = self.state.regions();
        let own = fleet
            .get(&self.host)
            .and_then(|m| regions.of(&m.data_center));
        let own = own.map(|region| &**region);
        fleet.members.iter().any(|m| {
            let may_start = regions.may_start(own, &[allowed], &m.data_center);
            m.host != self.host && m.state == MemberState::Alive && may_start
        })
    }

    /// Returns the address at which other routers connect to `host`.
    pub(crate) fn peer_addr(&self, host: &str) -> Option<Name> {
        let fleet = self.fleet.borrow();
        fleet.get(host).map(|m| m.peer_addr.clone())
    }

    /// Whether a request that is bound to `allowed_regions` may be delegated to `router`.
    ///
    /// The region of the caller's own router makes no difference: it needn't be the caller's, and the
    /// routers agree on who runs a suspected request only if none of them counts differently.
    pub(crate) fn may_delegate_to(
        &self,
        router: &Member,
        allowed_regions: &[&AllowedRegions],
    ) -> bool {
        let regions = self.state.regions();
        regions.allow(allowed_regions, &router.data_center)
    }

    /// Returns the routers at which runs of a suspected request take place: the first one that can be
    /// reached. Without knowing the fleet, this router can't tell.
    ///
    /// If no router is in an allowed region, the request may leave none, and only the one that comes first
    /// among all runs it.
    pub(crate) fn trial_routers(
        &self,
        fingerprint: u64,
        allowed_regions: &[&AllowedRegions],
    ) -> Vec<Member> {
        if !self.has_met_fleet() {
            return Vec::new();
        }
        let fleet = self.fleet.borrow();
        let routers = homes::order(&fleet, &fingerprint.to_string(), "");
        let is_allowed = |router: &&&Member| self.may_delegate_to(router, allowed_regions);
        let allowed: Vec<Member> = routers
            .iter()
            .filter(is_allowed)
            .map(|&m| m.clone())
            .collect();
        if !allowed.is_empty() {
            return allowed;
        }
        let first = routers.first().filter(|router| router.host == self.host);
        first.map(|&m| m.clone()).into_iter().collect()
    }

    /// Returns the home of `upstream`, the one router that sends to it while it is brittle.
    pub(crate) fn home(&self, upstream: &Upstream) -> Home {
        if !self.has_met_fleet() {
            return Home::Unknown;
        }
        let fleet = self.fleet.borrow();
        match homes::home(&fleet, &upstream.id, &upstream.data_center) {
            Some(home) if home.host != self.host => Home::Other(home.clone()),
            // Others may not know yet that this router is back, and what they sent still runs.
            Some(_) if self.clock.now_ms() >= SETTLE_MS || self.routers() == 1 => Home::Own,
            _ => Home::Unknown,
        }
    }

    /// Returns routers to which requests for `service` that are bound to `allowed_regions` are delegated, in
    /// the order in which they are asked: some that reach its upstreams, if this router reaches none.
    pub(crate) fn delegates(
        &self,
        service: &str,
        allowed_regions: &[&AllowedRegions],
    ) -> Vec<Member> {
        if !self.state.is_cut_off(service) {
            return Vec::new();
        }
        let fleet = self.fleet.borrow();
        let reaching = self.state.reaching_routers(service).into_iter();
        let members = reaching.filter_map(|host| fleet.get(&host).cloned());
        let available = members.filter(Member::takes_work);
        let available = available.filter(|m| self.may_delegate_to(m, allowed_regions));
        available.choose_multiple(&mut rand::rng(), MAX_DELEGATES)
    }

    /// Assigns the cold upstreams to which this router may send. A router that has just started
    /// knows too few of the members for the assignment and skips it.
    fn assign_cold(&self) {
        let now_ms = self.clock.now_ms();
        if now_ms < SETTLE_MS || !self.has_met_fleet() || !self.state.has_cold() {
            return;
        }
        let fleet = self.fleet.borrow();
        let hosts: Vec<Name> = fleet.members.iter().map(|m| m.host.clone()).collect();
        self.state.assign_cold(&self.host, &hosts, now_ms);
    }

    /// Returns at most `max` addresses for callers that match `entry`: routers that accept work, in
    /// random order.
    ///
    /// If routes of the host name are bound to regions, only routers in the caller's region or in a
    /// region that all of these routes allow are returned: at any other router the request would
    /// already be outside its allowed regions before a route is applied.
    pub(crate) fn entry_addrs(&self, entry: &EntryQuery<'_>, max: usize) -> Vec<Name> {
        let fleet = self.fleet.borrow();
        let deployment = self.state.deployment();
        let allowed_regions = entry
            .name
            .map_or_else(Vec::new, |n| deployment.allowed_regions(n));
        let regions = self.state.regions();
        let is_stopping = self.drain.is_stopping();
        let open = |m: &&Member| m.takes_work() && !(is_stopping && m.host == self.host);
        let may_start =
            |m: &&Member| regions.may_start(entry.region, &allowed_regions, &m.data_center);
        let open = fleet.members.iter().filter(open).filter(may_start);
        open.map(|m| m.caller_addr.clone())
            .choose_multiple(&mut rand::rng(), max)
    }

    /// Returns why this router should not receive callers' connections, or `None` if it is ready.
    pub(crate) fn unready_reason(&self) -> Option<&'static str> {
        if self.drain.is_stopping() {
            return Some("a planned stop is under way");
        }
        if self.state.deployment().version == 0 {
            return Some("no configuration yet");
        }
        if self.state.upstream_count() == 0 {
            return Some("no upstream yet");
        }
        None
    }
}

/// Periodically publishes the load of this router and runs the maintenance of its state.
pub(crate) async fn run_maintenance<D: Records>(path: Rc<RequestPath<D>>) {
    let mut publishes = 0_u32;
    loop {
        let slept = Instant::now();
        compio::time::sleep(PUBLISH_INTERVAL).await;
        stats::loop_lag(slept.elapsed().saturating_sub(PUBLISH_INTERVAL));
        let demands = path.queues.refresh(&path.state);
        path.state
            .publish_in_flight(demands, path.replica.position());
        publishes = publishes.wrapping_add(1);
        path.replica.check_clock();
        path.replica.remove_missing();
        path.replica.release_holds();
        path.replica.flush_change_log();
        path.replica.log_start();
        path.state.merge_suspicions(path.clock.now_ms());
        path.state.exchange_leaving(&path.fleet.borrow().leaving);
        path.state.merge_frailty(path.clock.now_ms());
        path.state.eject_failing(path.clock.now_ms());
        path.assign_cold();
        versions::refresh_and_store(&path);
        stream_origins::share_in_progress(&path);
        if publishes.is_multiple_of(PUBLISHES_PER_SWEEP) {
            path.connections.sweep(|id| path.state.has_upstream(id));
            path.state.sweep(path.clock.now_ms());
            stats::upstreams_known(path.state.upstream_count());
        }
    }
}
