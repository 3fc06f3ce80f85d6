//! Orders to upstreams, under a lease of the upstream.
//!
//! An order states the wanted state, so that giving it twice is harmless. An upstream that checks
//! fencing numbers refuses an old holder's order by itself. For one that ignores them, only time
//! helps: before its first order, a new holder waits out the longest time that an order of its
//! predecessor may still be under way, and so does a holder whose own order's answer was lost.
//! What remains possible: an order delayed longer than the upstream's `longest_pause_ms`.

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
use crate::util::{Clock, Name};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Orders and looks at the upstream's state before an order is given up.
const ROUNDS: u32 = 3;

/// What an upstream can be told to do.
#[derive(Clone, Copy, Debug, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Action {
    LoadModel,
    LoadAdapter,
    LoadVersion,
    ChangeRole,
}

type Reply = oneshot::Sender<OrderReply>;

/// A handle to the task that gives orders.
#[derive(Clone, Debug)]
pub(crate) struct Orders {
    tx: mpsc::Sender<(OrderRequest, Reply)>,
}

/// What the task needs.
pub(crate) struct Start<L> {
    pub(crate) log: L,
    pub(crate) host: Name,
    pub(crate) clock: Clock,
    pub(crate) config: watch::Receiver<Arc<ConfigView>>,
    pub(crate) http: cyper::Client,
    pub(crate) events: Events,
}

impl Orders {
    pub(crate) fn spawn<L: Log + 'static>(start: Start<L>) -> Self {
        let (tx, rx) = mpsc::channel(16);
        // A replaced host is a new holder: it waits for what its predecessor left under way.
        let holder = format!("{}#{}", start.host, Uuid::now_v7().simple());
        let task = Task {
            leases: LeaseManager::new(start.log, SystemTimer::new(start.clock), holder),
            clock: start.clock,
            config: start.config,
            http: start.http,
            events: start.events,
            clear_from_ms: HashMap::new(),
        };
        compio::runtime::spawn(task.run(rx)).detach();
        Self { tx }
    }

    /// Gives one order and waits until the upstream's state matches it.
    pub(crate) async fn give(&self, request: OrderRequest) -> OrderReply {
        let (reply, given) = oneshot::channel();
        if self.tx.send((request, reply)).await.is_err() {
            return refused("router is stopping: the order was not given");
        }
        let stopping = || refused("router is stopping: outcome unknown");
        given.await.unwrap_or_else(|_| stopping())
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

/// What became of one order.
enum Given {
    Taken,
    /// The upstream has seen a newer fencing number.
    Fenced,
    /// It surely never arrived.
    Unsent(String),
    /// It may arrive yet.
    Lost(String),
}

struct Task<L> {
    leases: LeaseManager<L, SystemTimer>,
    clock: Clock,
    config: watch::Receiver<Arc<ConfigView>>,
    http: cyper::Client,
    events: Events,
    /// Until then an earlier order may reach an upstream that ignores fencing.
    clear_from_ms: HashMap<Name, u64>,
}

impl<L: Log> Task<L> {
    async fn run(mut self, mut rx: mpsc::Receiver<(OrderRequest, Reply)>) {
        while let Some((request, reply)) = rx.recv().await {
            let given = self.order(&request).await;
            // The operator may have gone; the order stands.
            let _ = reply.send(given);
        }
    }

    async fn order(&mut self, request: &OrderRequest) -> OrderReply {
        let Ok(action) = request.action.parse::<Action>() else {
            let wanted = "load_model, load_adapter, load_version or change_role";
            return refused(&format!("action: must be {wanted}"));
        };
        if request.value.is_empty() {
            return refused("value: must not be empty");
        }
        let Some(upstream) = self.upstream(&request.upstream) else {
            return refused("upstream: names no upstream");
        };
        let name = Name::from(upstream.name.as_str());
        let lease = match self.leases.acquire(&name).await {
            Ok(lease) => lease,
            Err(e @ LeaseError::Held { .. }) => return refused(&e.to_string()),
            Err(e) => return refused(&format!("not given: {e}")),
        };
        self.note(Kind::LeaseTaken, &lease, "");
        if lease.taken_over {
            self.unclear(&upstream);
        }
        if let Some(wait_ms) = self.unclear_ms(&name) {
            let detail = format!("an earlier order may be under way; come back in {wait_ms} ms");
            return reply(&lease, false, &detail);
        }
        let given = self
            .until_it_matches(&upstream, &lease, action, request)
            .await;
        if self.leases.release(&lease).await.is_ok() {
            self.note(Kind::LeaseEnded, &lease, "");
        }
        given
    }

    async fn until_it_matches(
        &mut self,
        upstream: &Upstream,
        lease: &Lease,
        action: Action,
        request: &OrderRequest,
    ) -> OrderReply {
        let mut detail = String::new();
        for _ in 0..ROUNDS {
            // A paused holder that resumes gives no order from before.
            if !self.leases.is_held(lease) {
                return reply(lease, false, "the lease ran out; order again");
            }
            let body = OrderBody {
                fencing: lease.fencing,
                action: action.into(),
                value: &request.value,
            };
            self.note(Kind::OrderGiven, lease, body.action);
            match self.send(upstream, &body).await {
                Given::Taken => {}
                Given::Fenced => {
                    let detail = "the upstream took a newer order: outcome superseded";
                    return reply(lease, false, detail);
                }
                Given::Lost(e) if !upstream.honours_fencing => {
                    self.unclear(upstream);
                    return reply(lease, false, &format!("outcome unknown: {e}; order again"));
                }
                Given::Unsent(e) | Given::Lost(e) => {
                    log::warn!("order to {}: {e}", upstream.name);
                }
            }
            match self.loaded(upstream).await {
                Ok(loaded) if loaded.values.get(body.action) == Some(&request.value) => {
                    return reply(lease, true, "");
                }
                Ok(_) => detail = "the upstream's state doesn't match".to_owned(),
                Err(e) => detail = e,
            }
        }
        reply(
            lease,
            false,
            &format!("outcome unknown: {detail}; order again"),
        )
    }

    async fn send(&self, upstream: &Upstream, body: &OrderBody<'_>) -> Given {
        let url = format!("http://{}/orders", upstream.addr);
        let text = serde_json::to_string(body).unwrap_or_default();
        let request = match self.http.post(url) {
            Ok(request) => request.body(text),
            Err(e) => return Given::Unsent(e.to_string()),
        };
        match compio::time::timeout(CALL_TIMEOUT, request.send()).await {
            Err(_) => Given::Lost("the upstream didn't answer in time".to_owned()),
            Ok(Err(cyper::Error::HyperClient(e))) if e.is_connect() => Given::Unsent(e.to_string()),
            Ok(Err(e)) => Given::Lost(e.to_string()),
            Ok(Ok(response)) => match response.status() {
                StatusCode::CONFLICT => Given::Fenced,
                status if status.is_success() => Given::Taken,
                status => Given::Unsent(format!("the upstream answered {status}")),
            },
        }
    }

    async fn loaded(&self, upstream: &Upstream) -> Result<Loaded, String> {
        let url = format!("http://{}/loaded", upstream.addr);
        let call = async {
            let request = self.http.get(url).map_err(|e| e.to_string())?;
            let response = request.send().await.map_err(|e| e.to_string())?;
            let body = response.bytes().await.map_err(|e| e.to_string())?;
            serde_json::from_slice(&body).map_err(|e| e.to_string())
        };
        let timed = compio::time::timeout(CALL_TIMEOUT, call).await;
        timed.unwrap_or_else(|_| Err("the upstream didn't show its state in time".to_owned()))
    }

    fn upstream(&self, name: &str) -> Option<Upstream> {
        let config = self.config.borrow();
        let mut upstreams = config.state.upstreams.iter();
        upstreams.find(|u| u.name == name).cloned()
    }

    /// An order whose end this router doesn't know may be under way.
    fn unclear(&mut self, upstream: &Upstream) {
        if !upstream.honours_fencing {
            let until_ms = self.clock.now_ms() + u64::from(upstream.longest_pause_ms);
            let name = Name::from(upstream.name.as_str());
            self.clear_from_ms.insert(name, until_ms);
        }
    }

    fn unclear_ms(&self, upstream: &Name) -> Option<u64> {
        let until_ms = self.clear_from_ms.get(upstream)?;
        until_ms
            .checked_sub(self.clock.now_ms())
            .filter(|ms| *ms > 0)
    }

    fn note(&self, kind: Kind, lease: &Lease, detail: &str) {
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
