//! The operators' gRPC service, served by hyper, and the client that the command line uses.

pub(crate) mod orders;

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use cyper_core::HyperStream;
use futures_util::future::{Either, select};
use http::header::AUTHORIZATION;
use http::{Request, Response, Uri};
use hyper::body::Incoming;
use hyper::service::{Service, service_fn};
use hyper_util::service::TowerToHyperService;
use snafu::{ResultExt, Snafu};
use subtle::ConstantTimeEq;
use tokio::sync::{mpsc, oneshot, watch};
use tonic::body::Body;
use tonic::{Request as RpcRequest, Response as RpcResponse, Status};
use tower::util::BoxCloneService;

use crate::fleet::homes;
use crate::fleet::member::View;
use crate::front::listen::{self, ConnectionPermit, ConnectionPermits};
use crate::log::config::Applied;
use crate::log::config_task::ConfigHandle;
use crate::log::follow::ApplyError;
use crate::log::view::ConfigView;
use crate::peers::http2::{self, LocalExec, REQUEST_WINDOW_BYTES, Traffic};
use crate::schema::config::State;
use crate::schema::operator::operator_client::OperatorClient;
use crate::schema::operator::operator_server::{Operator, OperatorServer};
use crate::schema::operator::{
    ApplyReply, ApplyRequest, FleetReply, FleetRequest, GetConfigRequest, HostState, OrderReply,
    OrderRequest, UpstreamState,
};
use crate::serve::SharedCtx;
use crate::serve::home::Homes;
use crate::serve::home::messages::HomeLoad;
use crate::serve::operator::orders::Orders;
use crate::time_limit::HttpTimer;
use crate::util::Name;

/// Far more than operators need; the bound keeps file descriptors free for callers.
const MAX_CONNECTIONS: usize = 64;
/// A connection whose peer has vanished is closed after two of these intervals.
const KEEP_ALIVE: Duration = Duration::from_secs(20);

type LoadsQuery = oneshot::Sender<Vec<(Name, HomeLoad)>>;

/// The listener for operators.
pub(crate) struct Operators {
    addr: SocketAddr,
}

impl Operators {
    pub(crate) async fn bind(addr: SocketAddr, ctx: SharedCtx, homes: Homes) -> io::Result<Self> {
        let listener = listen::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (loads, queries) = mpsc::channel(16);
        compio::runtime::spawn(answer_loads(homes, queries)).detach();
        let key = ctx.settings.operator.as_ref().map(|o| o.key.as_str());
        let rpc = Rpc {
            key: key.unwrap_or_default().into(),
            host: ctx.host.clone(),
            config_handle: ctx.config_handle.clone(),
            orders: ctx.orders.clone(),
            config: ctx.config.clone(),
            fleet: ctx.fleet.clone(),
            loads,
        };
        compio::runtime::spawn(accept(listener, Arc::new(rpc))).detach();
        Ok(Self { addr })
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }
}

async fn answer_loads(homes: Homes, mut queries: mpsc::Receiver<LoadsQuery>) {
    while let Some(reply) = queries.recv().await {
        // Fails only if the operator has disconnected.
        let _ = reply.send(homes.loads().await);
    }
}

async fn accept(listener: TcpListener, rpc: Arc<Rpc>) {
    let permits = ConnectionPermits::new(MAX_CONNECTIONS);
    loop {
        let stream = listen::accept(&listener, "operator").await;
        if let Some(permit) = permits.take_or_evict(Duration::ZERO) {
            compio::runtime::spawn(serve(stream, rpc.clone(), permit)).detach();
        }
    }
}

/// Serves a connection. Requests without the operators' key are refused by their heads: those with the key may bring
/// messages of megabytes.
async fn serve(stream: TcpStream, rpc: Arc<Rpc>, permit: ConnectionPermit) {
    let key = rpc.key.clone();
    let operator = TowerToHyperService::new(OperatorServer::from_arc(rpc));
    let service = service_fn(|request: Request<Incoming>| {
        permit.set_waiting();
        let answered = is_authorized(&key, &request).then(|| operator.call(request));
        async move {
            match answered {
                Some(answered) => answered.await,
                None => Ok(Status::unauthenticated("wrong operator key").into_http()),
            }
        }
    });
    let served = hyper::server::conn::http2::Builder::new(LocalExec)
        .timer(HttpTimer)
        .keep_alive_interval(KEEP_ALIVE)
        .keep_alive_timeout(KEEP_ALIVE)
        .initial_stream_window_size(REQUEST_WINDOW_BYTES)
        .initial_connection_window_size(REQUEST_WINDOW_BYTES)
        .serve_connection(HyperStream::new_plain(stream), service);
    match select(served, pin!(permit.evicted())).await {
        Either::Left((Ok(()), _)) => {}
        Either::Left((Err(e), _)) => log::debug!("operator connection ended: {e}"),
        Either::Right(_) => {
            log::debug!("operator connection closed: it was idle for longest at the limit");
        }
    }
}

/// Whether the request carries the operators' key.
fn is_authorized<T>(key: &str, request: &Request<T>) -> bool {
    let received = request.headers().get(AUTHORIZATION);
    let received = received.map_or(&b""[..], |v| v.as_bytes());
    let expected = format!("Bearer {key}");
    received.ct_eq(expected.as_bytes()).into()
}

/// The service's handlers. Tonic requires them to be `Send`, so they hold only handles to the tasks
/// that own the state.
struct Rpc {
    key: Name,
    host: Name,
    config_handle: ConfigHandle,
    orders: Orders,
    config: watch::Receiver<Arc<ConfigView>>,
    fleet: watch::Receiver<Arc<View>>,
    loads: mpsc::Sender<LoadsQuery>,
}

impl Rpc {
    async fn loads(&self) -> Vec<(Name, HomeLoad)> {
        let (reply, loads) = oneshot::channel();
        if self.loads.send(reply).await.is_err() {
            return Vec::new();
        }
        loads.await.unwrap_or_default()
    }
}

#[tonic::async_trait]
impl Operator for Rpc {
    async fn apply(
        &self,
        request: RpcRequest<ApplyRequest>,
    ) -> Result<RpcResponse<ApplyReply>, Status> {
        let change = request.into_inner().change;
        let change = change.ok_or_else(|| Status::invalid_argument("change: missing"))?;
        let outcome = self
            .config_handle
            .apply(change)
            .await
            .map_err(|e| match e {
                ApplyError::NotApplied { .. } => Status::unavailable(e.to_string()),
                ApplyError::Unknown { .. } => Status::unknown(e.to_string()),
            })?;
        let mut reply = ApplyReply {
            offset: outcome.offset,
            ..ApplyReply::default()
        };
        match outcome.applied {
            Applied::Accepted { version } => {
                reply.accepted = true;
                reply.version = version;
            }
            Applied::Raced {
                version,
                winner,
                author,
            } => {
                reply.version = version;
                reply.winner = winner;
                reply.reason = format!(
                    "the change is not based on the current version {version}, made by {author}"
                );
            }
            Applied::Invalid { reason } => reply.reason = reason,
            Applied::Newer { .. } | Applied::Skipped => {
                "the record is not a change".clone_into(&mut reply.reason)
            }
        }
        Ok(RpcResponse::new(reply))
    }

    async fn get_config(
        &self,
        _: RpcRequest<GetConfigRequest>,
    ) -> Result<RpcResponse<State>, Status> {
        let state = self.config.borrow().state.clone();
        Ok(RpcResponse::new(state))
    }

    async fn fleet(&self, _: RpcRequest<FleetRequest>) -> Result<RpcResponse<FleetReply>, Status> {
        let loads = self.loads().await;
        let config = self.config.borrow().clone();
        let fleet = self.fleet.borrow().clone();
        let hosts = fleet.members.iter().map(|m| HostState {
            name: m.host.to_string(),
            data_center: m.data_center.to_string(),
            state: m.state.to_string(),
            incarnation: m.incarnation,
            caller_addr: m.caller_addr.to_string(),
        });
        let upstreams = config.state.upstreams.iter().map(|u| {
            let home = homes::home(&fleet, &u.name, &u.data_center);
            let load = loads.iter().find(|(name, _)| **name == *u.name);
            let load = load.map(|(_, load)| *load).unwrap_or_default();
            UpstreamState {
                name: u.name.clone(),
                service: u.service.clone(),
                home: home.map(|m| m.host.to_string()).unwrap_or_default(),
                in_flight: u32::try_from(load.in_flight).unwrap_or(u32::MAX),
                queued: u32::try_from(load.queued).unwrap_or(u32::MAX),
                work_ms: load.work_ms,
                ejected: false,
                draining: u.draining,
            }
        });
        let evacuations = config.state.data_centers.iter();
        let evacuated = evacuations.map(|m| m.data_center.clone());
        Ok(RpcResponse::new(FleetReply {
            host: self.host.to_string(),
            config_version: config.state.version,
            config_offset: config.state.offset,
            hosts: hosts.collect(),
            upstreams: upstreams.collect(),
            evacuated: evacuated.collect(),
        }))
    }

    async fn order(
        &self,
        request: RpcRequest<OrderRequest>,
    ) -> Result<RpcResponse<OrderReply>, Status> {
        let reply = self.orders.submit(request.into_inner()).await;
        Ok(RpcResponse::new(reply))
    }
}

/// Why an operator call failed.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The connection to the router failed.
    #[snafu(display("{addr}: {detail}"))]
    Connect {
        /// The router's operator address.
        addr: SocketAddr,
        /// The underlying error.
        detail: String,
    },
    /// The key cannot be sent as a header value.
    #[snafu(display("operator key: {source}"))]
    Key {
        /// The underlying error.
        source: tonic::metadata::errors::InvalidMetadataValue,
    },
    /// The router refused the call.
    #[snafu(display("{source}"))]
    Refused {
        /// The router's status.
        source: Status,
    },
}

type Channel = BoxCloneService<Request<Body>, Response<Incoming>, hyper::Error>;

/// An operator's connection to one router.
pub struct OperatorCaller {
    client: OperatorClient<Channel>,
    bearer: tonic::metadata::AsciiMetadataValue,
}

impl OperatorCaller {
    /// Connects to the router whose operator address is `addr`.
    ///
    /// # Errors
    /// If the connection fails or the key has characters that a header value cannot contain.
    pub async fn open(addr: SocketAddr, key: &str) -> Result<Self, CallError> {
        let connected = http2::connect::<Body>(addr, Traffic::Queries).await;
        let send = connected.map_err(|e| CallError::Connect {
            addr,
            detail: e.to_string(),
        })?;
        let service = tower::service_fn(move |request: Request<Body>| {
            let mut send = send.clone();
            async move { send.send_request(request).await }
        });
        let origin = Uri::builder()
            .scheme("http")
            .authority(addr.to_string())
            .path_and_query("/")
            .build()
            .unwrap_or_default();
        let client = OperatorClient::with_origin(BoxCloneService::new(service), origin);
        let bearer = format!("Bearer {key}").parse().context(KeySnafu)?;
        Ok(Self { client, bearer })
    }

    /// Applies one change.
    ///
    /// # Errors
    /// If the router refuses the call or its outcome is unknown.
    pub async fn apply(&mut self, request: ApplyRequest) -> Result<ApplyReply, CallError> {
        let request = self.request(request);
        let reply = self.client.apply(request).await.context(RefusedSnafu)?;
        Ok(reply.into_inner())
    }

    /// Returns the configuration in force at the router.
    ///
    /// # Errors
    /// If the router refuses the call.
    pub async fn config(&mut self) -> Result<State, CallError> {
        let request = self.request(GetConfigRequest {});
        let reply = self.client.get_config(request).await;
        Ok(reply.context(RefusedSnafu)?.into_inner())
    }

    /// Returns the router's view of the fleet.
    ///
    /// # Errors
    /// If the router refuses the call.
    pub async fn fleet(&mut self) -> Result<FleetReply, CallError> {
        let request = self.request(FleetRequest {});
        let reply = self.client.fleet(request).await;
        Ok(reply.context(RefusedSnafu)?.into_inner())
    }

    /// Sends an order to an upstream.
    ///
    /// # Errors
    /// If the router refuses the call.
    pub async fn order(&mut self, request: OrderRequest) -> Result<OrderReply, CallError> {
        let request = self.request(request);
        let reply = self.client.order(request).await;
        Ok(reply.context(RefusedSnafu)?.into_inner())
    }

    fn request<T>(&self, message: T) -> RpcRequest<T> {
        let mut request = RpcRequest::new(message);
        let metadata = request.metadata_mut();
        metadata.insert("authorization", self.bearer.clone());
        request
    }
}
