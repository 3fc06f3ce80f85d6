//! Starts a router on a platform whose log keeps the newest record of each key. Operators write
//! routes and accounts to that log, upstreams register in it, and requests go directly to upstreams.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::config::ALL_ON;
use crate::event::Events;
use crate::exporter::Exporter;
use crate::fleet::log_reads::ReadSchedule;
use crate::fleet::member::{Member, MemberState};
use crate::fleet::swim::SwimPolicy;
use crate::front::memory::MemoryShares;
use crate::front::{Drain, pages};
use crate::log::view::ConfigView;
use crate::logs;
use crate::path::admission_queue::AdmissionQueues;
use crate::path::catch_up::{self, CatchUp, Stored};
use crate::path::connection::ConnectionPool;
use crate::path::log_replica::{LogReplica, ReadSchedules};
use crate::path::regions::Regions;
use crate::path::router_state::{RetryLimit, RouterState};
use crate::path::stream_origins::StreamOrigins;
use crate::path::trials::Trials;
use crate::path::versions::ServiceVersions;
use crate::path::{RequestPath, SummaryCache, callers, peers, reach_check, run_maintenance, stop};
use crate::peers::{PeerClient, Probes, probes};
use crate::platform::{
    Headers, OriginStore, Pages, RouterRegistry, Store, SuspicionStore, VersionStore,
    follow_orders, follow_upstreams,
};
use crate::router::{AddrSnafu, BindSnafu, Outputs, RouterError};
use crate::schema::settings::{Limits, Listen, Settings};
use crate::serve::admin;
use crate::util::{Clock, Name, wall_ms};

use snafu::ResultExt;

/// Limit on open connections of callers that ask for addresses; so many are expected only if all callers lose theirs
/// at once.
const MAX_ENTRY_CONNECTIONS: usize = 512;

/// Handle to a running router. Dropping it does not stop the router.
#[derive(Clone)]
pub struct KeyedLogRouter {
    path: Rc<RequestPath<Headers>>,
    fleet: Rc<RouterRegistry>,
    initial_settings: Rc<Settings>,
    entry_ttl: Rc<Cell<Duration>>,
    grace: Rc<Cell<Duration>>,
}

impl KeyedLogRouter {
    /// Starts a router on the current runtime.
    ///
    /// # Errors
    /// When an address is invalid or binding a listener fails.
    pub async fn spawn(settings: Settings, outputs: Outputs) -> Result<Self, RouterError> {
        let listen = settings.listen.clone().unwrap_or_default();
        let peer_addr = parse("peer_addr", &listen.peer_addr)?;
        let socket = probes::bind(peer_addr)
            .await
            .context(BindSnafu { field: "peer_addr" })?;
        let policy = settings.fleet.clone().unwrap_or_default();
        let me = me(&settings, &listen);
        let clock = Clock::start();
        // The project's own configuration log isn't used on this platform.
        let (_, config) = watch::channel(Arc::new(ConfigView::default()));
        let events = Events::open(me.host.clone(), me.data_center.clone(), outputs.events);
        let probes = Probes::spawn(probes::Options {
            socket,
            policy: swim_policy(&policy),
            fleet_key: policy.key.clone(),
            me: me.clone(),
            config,
            clock,
            events: events.clone(),
        });
        let state = RouterState::new(
            retry_limit(&policy),
            me.data_center.clone(),
            regions(&settings),
            probes.gossip.clone(),
        );
        let state = Rc::new(state);
        let limits = settings.limits.unwrap_or_default();
        let shares = MemoryShares::of(&limits);
        let request_bytes = shares.request_bytes();
        let client = PeerClient::new(&policy.key, events.clone(), request_bytes.clone());
        state.set_decisions(settings.decisions.unwrap_or(ALL_ON));
        let path = Rc::new(RequestPath {
            replica: LogReplica::new(state.clone(), clock, schedules(&policy)),
            state,
            queues: AdmissionQueues::open(clock),
            connections: ConnectionPool::default(),
            clock,
            drain: Drain::new(events.clone()),
            events,
            gossip: probes.gossip.clone(),
            fleet: probes.view,
            summary: SummaryCache::default(),
            host: me.host.clone(),
            peers: client.clone(),
            trials: Trials::default(),
            catch_up: Rc::new(CatchUp::new(clock)),
            versions: ServiceVersions::default(),
            origins: StreamOrigins::default(),
            answer_times: RefCell::default(),
            request_bytes,
            answer_bytes: shares.answer_bytes(),
        });
        let platform = settings.platform.clone().unwrap_or_default();
        let store = parse("platform.addr", &platform.addr)?;
        let open = move || Store::open(store);
        let fleet = RouterRegistry::new(
            open(),
            me,
            probes.gossip,
            path.fleet.clone(),
            path.replica.era(),
            path.catch_up.clone(),
            path.replica.start_report().clone(),
        );
        let key: Name = policy.key.as_str().into();
        let bound = peers::bind(peer_addr, key, shares.unauthenticated_peers(), path.clone()).await;
        bound.context(BindSnafu { field: "peer_addr" })?;
        let seeds = seeds(&policy.seed_addrs, peer_addr);
        compio::runtime::spawn(peers::follow_positions(path.clone(), client.clone())).detach();
        compio::runtime::spawn(peers::refresh_on_demand(path.clone(), client.clone())).detach();
        let (stored_suspicions, suspicions) = SuspicionStore::open(open());
        path.state.set_stored_suspicions(suspicions);
        let (stored_versions, versions) = VersionStore::open(open());
        path.versions.set_store(versions);
        path.origins
            .set_store(OriginStore::spawn([open(), open()], &path.host));
        let stored = Stored {
            suspicions: stored_suspicions,
            versions: stored_versions,
        };
        let catch_up = catch_up::run(path.clone(), client.clone(), seeds.clone(), stored);
        compio::runtime::spawn(catch_up).detach();
        compio::runtime::spawn(peers::join(path.clone(), client, seeds)).detach();
        compio::runtime::spawn(follow_orders(open, path.clone())).detach();
        compio::runtime::spawn(follow_upstreams(open(), path.clone())).detach();
        compio::runtime::spawn(fleet.clone().follow()).detach();
        compio::runtime::spawn(run_maintenance(path.clone())).detach();
        compio::runtime::spawn(reach_check::run(path.clone())).detach();
        let entry_ttl = Duration::from_millis(policy.entry_ttl_ms.into());
        let entry_ttl = Rc::new(Cell::new(entry_ttl));
        serve(&listen, limits, &path, entry_ttl.clone()).await?;
        serve_metrics(&listen, outputs.metrics).await?;
        log::info!(
            "router started, listening for callers at {}",
            listen.caller_addr
        );
        Ok(Self {
            path,
            fleet,
            initial_settings: Rc::new(settings),
            entry_ttl,
            grace: Rc::new(Cell::new(Duration::from_secs_f64(policy.grace_s))),
        })
    }

    /// Applies changed settings. Changes of `host`, `listen` and `platform` need a restart and are
    /// only logged.
    pub fn apply(&self, settings: &Settings) {
        let policy = settings.fleet.clone().unwrap_or_default();
        self.path.state.set_retry_limit(retry_limit(&policy));
        self.path.replica.set_schedules(schedules(&policy));
        let decisions = settings.decisions.unwrap_or(ALL_ON);
        self.path.state.set_decisions(decisions);
        self.entry_ttl
            .set(Duration::from_millis(policy.entry_ttl_ms.into()));
        self.grace.set(Duration::from_secs_f64(policy.grace_s));
        logs::set_level(settings);
        if settings.listen != self.initial_settings.listen
            || settings.host != self.initial_settings.host
            || settings.platform != self.initial_settings.platform
        {
            log::warn!("changed host, listen or platform settings take effect after a restart");
        }
    }

    /// Drains this router: directs callers to other routers, finishes requests in flight, and
    /// returns within `fleet.grace_s`.
    pub async fn drain(&self) {
        let fleet = self.fleet.clone();
        compio::runtime::spawn(async move { fleet.deregister().await }).detach();
        stop::run(&self.path, self.entry_ttl.get(), self.grace.get()).await;
    }
}

async fn serve(
    listen: &Listen,
    limits: Limits,
    path: &Rc<RequestPath<Headers>>,
    entry_ttl: Rc<Cell<Duration>>,
) -> Result<(), RouterError> {
    let answers = Pages::new(path.clone(), entry_ttl);
    for (field, addr, max_connections) in [
        ("entry_addr", &listen.entry_addr, MAX_ENTRY_CONNECTIONS),
        ("ready_addr", &listen.ready_addr, admin::MAX_CONNECTIONS),
    ] {
        let bound = pages::bind(parse(field, addr)?, max_connections, answers.clone()).await;
        bound.context(BindSnafu { field })?;
    }
    let caller_addr = parse("caller_addr", &listen.caller_addr)?;
    let bound = callers::bind(caller_addr, limits, path.clone()).await;
    bound.context(BindSnafu {
        field: "caller_addr",
    })?;
    Ok(())
}

async fn serve_metrics(listen: &Listen, metrics: Option<Exporter>) -> Result<(), RouterError> {
    let Some(handle) = metrics else {
        return Ok(());
    };
    let addr = parse("admin_addr", &listen.admin_addr)?;
    let pages = Rc::new(admin::Metrics(handle));
    let bound = pages::bind(addr, admin::MAX_CONNECTIONS, pages).await;
    bound.context(BindSnafu {
        field: "admin_addr",
    })?;
    Ok(())
}

fn retry_limit(fleet: &crate::schema::settings::Fleet) -> RetryLimit {
    RetryLimit {
        share: fleet.retry_share,
        burst: fleet.retry_burst,
    }
}

fn schedules(fleet: &crate::schema::settings::Fleet) -> ReadSchedules {
    ReadSchedules {
        config: ReadSchedule::within(fleet.config_bound_ms),
        upstreams: ReadSchedule::within(fleet.leaving_bound_ms),
    }
}

fn me(settings: &Settings, listen: &Listen) -> Member {
    let host = settings.host.clone().unwrap_or_default();
    let name: Name = host.name.into();
    Member {
        host: name,
        data_center: host.data_center.into(),
        incarnation: wall_ms(),
        state: MemberState::Alive,
        peer_addr: listen.peer_addr.as_str().into(),
        caller_addr: listen.caller_addr.as_str().into(),
    }
}

/// Returns the region of each data centre; only this host's if the settings list none.
fn regions(settings: &Settings) -> Regions {
    let host = settings.host.clone().unwrap_or_default();
    if host.data_center_regions.is_empty() {
        return Regions::parse(&format!("{}={}", host.data_center, host.region));
    }
    Regions::parse(&host.data_center_regions)
}

/// Returns the peer addresses of the seed hosts. All routers use the same peer port.
fn seeds(seed_addrs: &str, own: SocketAddr) -> Vec<Name> {
    let addrs = seed_addrs
        .split(',')
        .filter_map(|a| a.parse::<SocketAddr>().ok());
    let others = addrs.filter(|a| a.ip() != own.ip());
    others
        .map(|a| SocketAddr::new(a.ip(), own.port()).to_string().into())
        .collect()
}

fn swim_policy(fleet: &crate::schema::settings::Fleet) -> SwimPolicy {
    SwimPolicy {
        probe_interval_ms: fleet.probe_interval_ms.into(),
        probe_timeout_ms: fleet.probe_timeout_ms.into(),
        suspicion_ms: fleet.suspicion_ms.into(),
        ..SwimPolicy::default()
    }
}

fn parse(field: &'static str, addr: &str) -> Result<SocketAddr, RouterError> {
    addr.parse().context(AddrSnafu { field })
}
