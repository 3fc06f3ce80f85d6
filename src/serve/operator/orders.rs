//! Orders to upstreams, under a lease of the upstream.
//!
//! An order states the desired state, so it is idempotent. An upstream that checks fencing numbers
//! refuses a former lease holder's order itself. For one that ignores them, a new holder waits
//! before its first order for as long as its predecessor's last order may be in transit, and so
//! does a holder whose own order was not answered. An order delayed longer than the upstream's
//! `longest_pause_ms` can still be applied out of order.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use serde::{Deserialize, Serialize};
use strum::{EnumString, IntoStaticStr};
use tokio::sync::{mpsc, oneshot, watch};
use uuid::Uuid;

use crate::event::{Events, Kind};
use crate::log::Log;
use crate::log::lease::{Lease, LeaseError, LeaseManager};
use crate::log::timer::SystemTimer;
use crate::log::view::ConfigView;
use crate::schema::config::Upstream;
use crate::schema::operator::{OrderReply, OrderRequest};
use crate::time_limit::within;
use crate::util::{Clock, Name, read_body};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer of an upstream: far above what it has loaded.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// How often an order is sent and the upstream's state is checked before giving up.
const MAX_ROUNDS: u32 = 3;

/// What an upstream can be ordered to do.
#[derive(Clone, Copy, Debug, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Action {
    LoadModel,
    LoadAdapter,
    LoadVersion,
    ChangeRole,
}

type Reply = oneshot::Sender<OrderReply>;

/// A handle to the task that sends orders.
#[derive(Clone, Debug)]
pub(crate) struct Orders {
    tx: mpsc::Sender<(OrderRequest, Reply)>,
}

/// The task's log, clock, and other dependencies.
pub(crate) struct Setup<L> {
    pub(crate) log: L,
    pub(crate) host: Name,
    pub(crate) clock: Clock,
    pub(crate) config: watch::Receiver<Arc<ConfigView>>,
    pub(crate) http: cyper::Client,
    pub(crate) events: Events,
}

impl Orders {
    pub(crate) fn spawn<L: Log + 'static>(setup: Setup<L>) -> Self {
        let (tx, rx) = mpsc::channel(16);
        // A restarted router is a new holder, so it waits for its predecessor's orders in transit.
        let holder = format!("{}#{}", setup.host, Uuid::now_v7().simple());
        let task = Task {
            leases: LeaseManager::new(setup.log, SystemTimer::new(setup.clock), holder),
            clock: setup.clock,
            config: setup.config,
            http: setup.http,
            events: setup.events,
            in_transit_until_ms: HashMap::new(),
        };
        compio::runtime::spawn(task.run(rx)).detach();
        Self { tx }
    }

    /// Sends one order and waits until the upstream's state matches it.
    pub(crate) async fn submit(&self, request: OrderRequest) -> OrderReply {
        let (reply, outcome) = oneshot::channel();
        if self.tx.send((request, reply)).await.is_err() {
            return refused("router is stopping: the order was not sent");
        }
        let stopping = || refused("router is stopping: outcome unknown");
        outcome.await.unwrap_or_else(|_| stopping())
    }
}

#[derive(Serialize)]
struct OrderBody<'a> {
    fencing: u64,
    action: &'a str,
    value: &'a str,
}

#[derive(Deserialize)]
struct Loaded {
    #[serde(default)]
    values: HashMap<String, String>,
}

/// The result of sending one order.
enum Delivery {
    Accepted,
    /// The upstream has received a newer fencing number.
    Fenced,
    /// The upstream surely did not apply it.
    Failed(String),
    /// The upstream may apply it later.
    Unconfirmed(String),
}

struct Task<L> {
    leases: LeaseManager<L, SystemTimer>,
    clock: Clock,
    config: watch::Receiver<Arc<ConfigView>>,
    http: cyper::Client,
    events: Events,
    /// Until when an earlier order may reach an upstream that ignores fencing.
    in_transit_until_ms: HashMap<Name, u64>,
}

impl<L: Log> Task<L> {
    async fn run(mut self, mut rx: mpsc::Receiver<(OrderRequest, Reply)>) {
        while let Some((request, reply)) = rx.recv().await {
            let outcome = self.order(&request).await;
            // Fails only if the operator has disconnected; the order remains in effect.
            let _ = reply.send(outcome);
        }
    }

    async fn order(&mut self, request: &OrderRequest) -> OrderReply {
        let Ok(action) = request.action.parse::<Action>() else {
            let actions = "load_model, load_adapter, load_version or change_role";
            return refused(&format!("action: must be {actions}"));
        };
        if request.value.is_empty() {
            return refused("value: must not be empty");
        }
        let Some(upstream) = self.upstream(&request.upstream) else {
            return refused("upstream: no upstream has this name");
        };
        let name = Name::from(upstream.name.as_str());
        let lease = match self.leases.acquire(&name).await {
            Ok(lease) => lease,
            Err(e @ LeaseError::Held { .. }) => return refused(&e.to_string()),
            Err(e) => return refused(&format!("order not sent: {e}")),
        };
        self.emit(Kind::LeaseTaken, &lease, "");
        if lease.taken_over {
            self.set_in_transit(&upstream);
        }
        if let Some(wait_ms) = self.in_transit_ms(&name) {
            let detail = format!("an earlier order may be in transit; retry in {wait_ms} ms");
            return reply(&lease, false, &detail);
        }
        let outcome = self
            .send_until_applied(&upstream, &lease, action, request)
            .await;
        if self.leases.release(&lease).await.is_ok() {
            self.emit(Kind::LeaseEnded, &lease, "");
        }
        outcome
    }

    async fn send_until_applied(
        &mut self,
        upstream: &Upstream,
        lease: &Lease,
        action: Action,
        request: &OrderRequest,
    ) -> OrderReply {
        let mut detail = String::new();
        for _ in 0..MAX_ROUNDS {
            // A holder that was suspended must not send an order under an expired lease.
            if !self.leases.is_held(lease) {
                return reply(lease, false, "the lease expired; order again");
            }
            let body = OrderBody {
                fencing: lease.fencing,
                action: action.into(),
                value: &request.value,
            };
            self.emit(Kind::OrderGiven, lease, body.action);
            match self.send(upstream, &body).await {
                Delivery::Accepted => {}
                Delivery::Fenced => {
                    let detail = "the upstream has accepted a newer order; this one is superseded";
                    return reply(lease, false, detail);
                }
                Delivery::Unconfirmed(e) if !upstream.honours_fencing => {
                    self.set_in_transit(upstream);
                    return reply(lease, false, &format!("outcome unknown: {e}; order again"));
                }
                Delivery::Failed(e) | Delivery::Unconfirmed(e) => {
                    log::warn!("order to {}: {e}", upstream.name);
                }
            }
            match self.loaded(upstream).await {
                Ok(loaded) if loaded.values.get(body.action) == Some(&request.value) => {
                    return reply(lease, true, "");
                }
                Ok(_) => detail = "the upstream's state does not match the order".to_owned(),
                Err(e) => detail = e,
            }
        }
        reply(
            lease,
            false,
            &format!("outcome unknown: {detail}; order again"),
        )
    }

    async fn send(&self, upstream: &Upstream, body: &OrderBody<'_>) -> Delivery {
        let url = format!("http://{}/orders", upstream.addr);
        let text = serde_json::to_string(body).unwrap_or_default();
        let request = match self.http.post(url) {
            Ok(request) => request.body(text),
            Err(e) => return Delivery::Failed(e.to_string()),
        };
        match within(CALL_TIMEOUT, request.send()).await {
            Err(_) => Delivery::Unconfirmed("the order request timed out".to_owned()),
            Ok(Err(cyper::Error::HyperClient(e))) if e.is_connect() => {
                Delivery::Failed(e.to_string())
            }
            Ok(Err(e)) => Delivery::Unconfirmed(e.to_string()),
            Ok(Ok(response)) => match response.status() {
                StatusCode::CONFLICT => Delivery::Fenced,
                status if status.is_success() => Delivery::Accepted,
                status => Delivery::Failed(format!("the upstream answered with status {status}")),
            },
        }
    }

    async fn loaded(&self, upstream: &Upstream) -> Result<Loaded, String> {
        let url = format!("http://{}/loaded", upstream.addr);
        let call = async {
            let request = self.http.get(url).map_err(|e| e.to_string())?;
            let response = request.send().await.map_err(|e| e.to_string())?;
            let body = read_body(response, MAX_ANSWER_BYTES).await;
            let body = body.map_err(|e| e.to_string())?;
            serde_json::from_slice(&body).map_err(|e| e.to_string())
        };
        let timed = within(CALL_TIMEOUT, call).await;
        timed.unwrap_or_else(|_| Err("reading the upstream's state timed out".to_owned()))
    }

    fn upstream(&self, name: &str) -> Option<Upstream> {
        let config = self.config.borrow();
        let mut upstreams = config.state.upstreams.iter();
        upstreams.find(|u| u.name == name).cloned()
    }

    /// Records that an order with an unknown outcome may be in transit to `upstream`.
    fn set_in_transit(&mut self, upstream: &Upstream) {
        if !upstream.honours_fencing {
            let until_ms = self.clock.now_ms() + u64::from(upstream.longest_pause_ms);
            let name = Name::from(upstream.name.as_str());
            self.in_transit_until_ms.insert(name, until_ms);
        }
    }

    /// Returns for how long an earlier order may still be in transit.
    fn in_transit_ms(&self, upstream: &Name) -> Option<u64> {
        let until_ms = self.in_transit_until_ms.get(upstream)?;
        until_ms
            .checked_sub(self.clock.now_ms())
            .filter(|ms| *ms > 0)
    }

    fn emit(&self, kind: Kind, lease: &Lease, detail: &str) {
        self.events.emit(kind, |e| {
            e.upstream = lease.upstream.to_string();
            e.detail = format!("fencing {} {detail}", lease.fencing);
        });
    }
}

fn refused(detail: &str) -> OrderReply {
    OrderReply {
        detail: detail.to_owned(),
        ..OrderReply::default()
    }
}

fn reply(lease: &Lease, done: bool, detail: &str) -> OrderReply {
    OrderReply {
        done,
        fencing: lease.fencing,
        detail: detail.to_owned(),
    }
}
