//! Starts a router on the project's own log protocol and connects its tasks.

use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::UdpSocket;
use snafu::{ResultExt, Snafu};
use tokio::sync::mpsc;

use crate::event::{Events, Kind};
use crate::exporter::Exporter;
use crate::fleet::host_list;
use crate::fleet::member::{Member, MemberState};
use crate::fleet::swim::SwimPolicy;
use crate::front::Drain;
use crate::front::memory::MemoryShares;
use crate::log::LogError;
use crate::log::claimant::ClaimHandle;
use crate::log::config_task::{ConfigHandle, FollowOptions, PeerQuery};
use crate::log::platform::Platform;
use crate::peers::{PeerClient, Probes, probes, server};
use crate::schema::settings::{Fleet, Listen, Settings};
use crate::serve::home::Homes;
use crate::serve::operator::orders::{self, Orders};
use crate::serve::peers::{PeerService, join, states};
use crate::serve::route::Dispatch;
use crate::serve::{Admin, Callers, Ctx, Operators, RunKeys, SharedCtx, grouping, stop};
use crate::util::{Clock, Name, wall_ms};

/// Why a router can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RouterError {
    /// Binding a listener failed.
    #[snafu(display("listen.{field}: cannot listen: {source}"))]
    Bind {
        /// Name of the settings field.
        field: &'static str,
        /// The system's error.
        source: std::io::Error,
    },
    /// An address isn't an IP address and port.
    #[snafu(display("listen.{field}: {source}"))]
    Addr {
        /// Name of the settings field.
        field: &'static str,
        /// The parse error.
        source: std::net::AddrParseError,
    },
    /// Creating the platform client failed.
    #[snafu(display("cannot create the platform client: {source}"))]
    Platform {
        /// The cause.
        source: LogError,
    },
    /// Creating the HTTP client for upstreams failed.
    #[snafu(display("cannot create the HTTP client for upstreams: {source}"))]
    Client {
        /// The cause.
        source: cyper::Error,
    },
}

/// Destinations of a router's events and metrics.
#[derive(Default)]
pub struct Outputs {
    /// Writer for timeline events; `None` turns events off.
    pub events: Option<Box<dyn Write + Send>>,
    /// Renders the metrics page.
    pub metrics: Option<Exporter>,
}

/// Handle to a running router. Dropping it does not stop the router.
#[derive(Clone)]
pub struct Router {
    /// Address for callers' HTTP requests.
    pub caller_addr: SocketAddr,
    /// Address for other routers.
    pub peer_addr: SocketAddr,
    /// Address for operators' gRPC calls.
    pub operator_addr: SocketAddr,
    /// Address for metrics, health and readiness.
    pub admin_addr: SocketAddr,
    ctx: SharedCtx,
}

impl Router {
    /// Starts a router on the current runtime.
    ///
    /// # Errors
    /// When binding a listener or creating a client fails.
    pub async fn spawn(settings: Settings, outputs: Outputs) -> Result<Self, RouterError> {
        let listen = settings.listen.clone().unwrap_or_default();
        let caller_addr = parse("caller_addr", &listen.caller_addr)?;
        let peer_addr = parse("peer_addr", &listen.peer_addr)?;
        let operator_addr = parse("operator_addr", &listen.operator_addr)?;
        let admin_addr = parse("admin_addr", &listen.admin_addr)?;
        let fleet_key = settings.fleet.as_ref().map(|f| f.key.clone());
        let fleet_key: Name = fleet_key.unwrap_or_default().into();
        let socket = probes::bind(peer_addr)
            .await
            .context(BindSnafu { field: "peer_addr" })?;
        let peer_addr = socket
            .local_addr()
            .context(BindSnafu { field: "peer_addr" })?;
        let (ctx, questions) = build_context(settings, &listen, socket, outputs.events)?;
        let ctx = Rc::new(ctx);
        let http = cyper::Client::new().context(ClientSnafu)?;
        let homes = Homes::new(ctx.clone(), http);
        let peers = PeerClient::new(&fleet_key, ctx.events.clone(), ctx.request_bytes.clone());
        compio::runtime::spawn(states::answer(ctx.clone(), peers.clone(), questions)).detach();
        let dispatch = Dispatch::new(ctx.clone(), homes.clone(), peers.clone());
        let answers = PeerService {
            ctx: ctx.clone(),
            dispatch: dispatch.clone(),
        };
        let shares = MemoryShares::of(&ctx.settings.limits.unwrap_or_default());
        let peer_addr = server::bind(
            peer_addr,
            fleet_key,
            shares.unauthenticated_peers(),
            ctx.drain.clone(),
            answers,
        )
        .await
        .context(BindSnafu { field: "peer_addr" })?;
        let operators = Operators::bind(operator_addr, ctx.clone(), homes)
            .await
            .context(BindSnafu {
                field: "operator_addr",
            })?;
        let admin = Admin::bind(admin_addr, ctx.clone(), outputs.metrics)
            .await
            .context(BindSnafu {
                field: "admin_addr",
            })?;
        let callers = Callers::bind(caller_addr, ctx.clone(), dispatch)
            .await
            .context(BindSnafu {
                field: "caller_addr",
            })?;
        let router = Self {
            caller_addr: callers.addr(),
            peer_addr,
            operator_addr: operators.addr(),
            admin_addr: admin.addr(),
            ctx: ctx.clone(),
        };
        join::spawn(ctx.clone(), peers);
        ctx.events.emit(Kind::RouterStarted, |e| {
            e.detail = format!("callers {}", router.caller_addr);
        });
        Ok(router)
    }

    /// Drains this router: announces the stop, serves until entry answers that name this router
    /// have expired, then refuses new work and returns when no request is in flight.
    ///
    /// Takes at most `fleet.entry_ttl_ms` plus `fleet.drain_limit_ms`. Answers still in flight then
    /// are cut; if the caller is connected to another router, that router resumes them.
    pub async fn drain(&self) {
        stop::run(&self.ctx).await;
    }
}

fn parse(field: &'static str, addr: &str) -> Result<SocketAddr, RouterError> {
    addr.parse().context(AddrSnafu { field })
}

fn build_context(
    settings: Settings,
    listen: &Listen,
    socket: UdpSocket,
    out: Option<Box<dyn Write + Send>>,
) -> Result<(Ctx, mpsc::Receiver<PeerQuery>), RouterError> {
    let host = settings.host.clone().unwrap_or_default();
    let platform = settings.platform.clone().unwrap_or_default();
    let name: Name = host.name.into();
    let data_center: Name = host.data_center.into();
    let events = Events::open(name.clone(), data_center.clone(), out);
    let timeout = Duration::from_millis(platform.timeout_ms.into());
    let client = Platform::open(&platform.addr, timeout).context(PlatformSnafu)?;
    let following = FollowOptions {
        poll: Duration::from_millis(platform.log_poll_ms.into()),
        retention: Duration::from_millis(platform.retention_ms),
    };
    let (config_handle, questions) =
        ConfigHandle::spawn(client.clone(), &name, following, events.clone());
    let run_keys = RunKeys::new(&name, Clock::start());
    let orders = Orders::spawn(orders::Setup {
        log: client.clone(),
        host: name.clone(),
        clock: Clock::start(),
        config: config_handle.view(),
        http: cyper::Client::new().context(ClientSnafu)?,
        events: events.clone(),
    });
    let claims = ClaimHandle::spawn(&client, grouping(&platform));
    let peer_addr = socket
        .local_addr()
        .context(BindSnafu { field: "peer_addr" })?;
    let peer_addr = peer_addr.to_string();
    let me = Member {
        host: name.clone(),
        data_center,
        incarnation: wall_ms(),
        state: MemberState::Alive,
        peer_addr: peer_addr.into(),
        caller_addr: listen.caller_addr.as_str().into(),
    };
    let clock = Clock::start();
    let fleet = settings.fleet.clone().unwrap_or_default();
    let probes = Probes::spawn(probes::Options {
        socket,
        policy: swim_policy(&fleet),
        fleet_key: fleet.key,
        me,
        config: config_handle.view(),
        clock,
        events: events.clone(),
    });
    let poll = Duration::from_millis(platform.host_list_poll_ms.into());
    host_list::spawn(client, probes.gossip.clone(), probes.view.clone(), poll);
    let drain = Drain::new(events.clone());
    let memory = MemoryShares::of(&settings.limits.unwrap_or_default());
    let ctx = Ctx {
        settings,
        host: name,
        clock,
        events,
        config: config_handle.view(),
        config_handle,
        claims,
        run_keys,
        orders,
        fleet: probes.view,
        gossip: probes.gossip,
        liveness: probes.liveness,
        drain,
        request_bytes: memory.request_bytes(),
    };
    Ok((ctx, questions))
}

fn swim_policy(fleet: &Fleet) -> SwimPolicy {
    SwimPolicy {
        probe_interval_ms: fleet.probe_interval_ms.into(),
        probe_timeout_ms: fleet.probe_timeout_ms.into(),
        suspicion_ms: fleet.suspicion_ms.into(),
        ..SwimPolicy::default()
    }
}
