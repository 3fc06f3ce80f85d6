//! Requests that are suspected or convicted of crashing upstreams, by this router or its peers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use futures_util::future::join_all;

use crate::decide::quarantine::{self, Quarantine, QuarantineStatus};
use crate::decide::refusal::Cause;
use crate::event::Kind;
use crate::fleet::gossip::Publish;
use crate::fleet::leaving::incarnation_digest;
use crate::peers::{CONVICTED, PeerClient};
use crate::schema::config::Upstream;
use crate::schema::peer::{self, Done, Forward, Suspicion};
use crate::serve::SharedCtx;
use crate::time_limit::within;
use crate::util::{self, Name};

/// An upstream that accepts no connection within this time is down. One that is connected but does
/// not answer within it is only slow.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A handle to the quarantine.
#[derive(Clone)]
pub(crate) struct Suspects {
    ctx: SharedCtx,
    peers: PeerClient,
    state: Rc<RefCell<State>>,
}

/// When an upstream crashes, its calls fail within this time of each other.
const CRASH_WINDOW: Duration = Duration::from_millis(500);

#[derive(Default)]
struct State {
    quarantine: Quarantine,
    received: Option<Arc<Vec<Suspicion>>>,
    /// Number of suspects running, by upstream.
    running: HashMap<String, u32>,
    /// Start of the last crash of each upstream.
    crashed_ms: HashMap<String, u64>,
}

impl State {
    /// Identifies the crash of `upstream` that ended a call now: all calls that it ends count as one
    /// death.
    fn crash(&mut self, upstream: &str, now_ms: u64) -> u32 {
        let window_ms = u64::try_from(CRASH_WINDOW.as_millis()).unwrap_or(u64::MAX);
        let crashed_ms = self.crashed_ms.entry(upstream.to_owned()).or_insert(now_ms);
        if now_ms.saturating_sub(*crashed_ms) > window_ms {
            *crashed_ms = now_ms;
        }
        incarnation_digest(util::hash_bytes(upstream.as_bytes()), *crashed_ms)
    }
}

/// Counts one suspect as running at an upstream until dropped.
pub(crate) struct RunningSuspect {
    upstream: String,
    state: Rc<RefCell<State>>,
}

impl RunningSuspect {
    /// Whether no other suspect is running at the upstream.
    fn is_sole(&self) -> bool {
        self.state.borrow().running.get(&self.upstream) == Some(&1)
    }

    /// Drops the count only after the other calls that failed in the same crash have been checked.
    fn drop_after_crash_window(self) {
        compio::runtime::spawn(async move {
            compio::time::sleep(CRASH_WINDOW).await;
            drop(self);
        })
        .detach();
    }
}

impl Drop for RunningSuspect {
    fn drop(&mut self) {
        let running = &mut self.state.borrow_mut().running;
        if let Some(count) = running.get_mut(&self.upstream) {
            *count -= 1;
            if *count == 0 {
                running.remove(&self.upstream);
            }
        }
    }
}

/// Whether the request was refused because it is quarantined.
pub(crate) fn is_quarantined(refused: &peer::Refusal) -> bool {
    refused.cause.parse() == Ok(Cause::Quarantined)
}

/// Returns the fingerprint that identifies re-sends of a request.
pub(crate) fn fingerprint(forward: &Forward) -> u64 {
    quarantine::fingerprint(&forward.account, &forward.service, &forward.body)
}

impl Suspects {
    pub(crate) fn new(ctx: SharedCtx, peers: PeerClient) -> Self {
        Self {
            ctx,
            peers,
            state: Rc::default(),
        }
    }

    /// Returns a request's quarantine status, given what other homes on its way here know against
    /// it.
    pub(crate) fn status(
        &self,
        fingerprint: u64,
        suspicion: Option<&Suspicion>,
    ) -> QuarantineStatus {
        self.apply_gossip();
        let now_ms = self.ctx.clock.now_ms();
        let state = &mut *self.state.borrow_mut();
        if let Some(suspicion) = suspicion {
            let evidence = suspicion.evidence(now_ms);
            state.quarantine.merge(fingerprint, &evidence, now_ms);
        }
        state.quarantine.status(fingerprint, now_ms)
    }

    /// Counts a suspect as running at `upstream`.
    pub(crate) fn begin(&self, upstream: &str) -> RunningSuspect {
        let running = &mut self.state.borrow_mut().running;
        *running.entry(upstream.to_owned()).or_default() += 1;
        RunningSuspect {
            upstream: upstream.to_owned(),
            state: self.state.clone(),
        }
    }

    /// Handles a lost connection: counts a death against the request if the upstream is down.
    /// Returns the refusal for the router that may retry the request.
    ///
    /// A lost connection alone may be a network fault, so the upstream is probed.
    pub(crate) async fn connection_lost(
        &self,
        forward: &Forward,
        at: &Upstream,
        suspect: Option<RunningSuspect>,
        mut refused: peer::Refusal,
    ) -> peer::Refusal {
        let sole = suspect.as_ref().is_some_and(RunningSuspect::is_sole);
        if let Some(suspect) = suspect {
            suspect.drop_after_crash_window();
        }
        if is_up(&at.addr).await {
            return refused;
        }
        let fingerprint = fingerprint(forward);
        let now_ms = self.ctx.clock.now_ms();
        let record_death = |state: &mut State| {
            let crash = state.crash(&at.name, now_ms);
            let quarantine = &mut state.quarantine;
            let evidence = quarantine.record_death(fingerprint, crash, sole, now_ms, now_ms);
            (evidence, quarantine.status(fingerprint, now_ms))
        };
        let (evidence, status) = record_death(&mut self.state.borrow_mut());
        let suspicion = evidence.map(|e| Suspicion::of(fingerprint, &e, now_ms));
        self.publish(suspicion.clone());
        refused.suspicion = suspicion.clone().map(Box::new);
        if let QuarantineStatus::Quarantined { left_ms } = status {
            self.ctx
                .events
                .emit_request(Kind::RequestQuarantined, forward, |e| {
                    e.detail = format!("{} crashed while running the request", at.name);
                });
            if let Some(suspicion) = suspicion {
                self.broadcast_conviction(suspicion).await;
            }
            refused.cause = Cause::Quarantined.to_string();
            refused.retry_after_ms = left_ms;
        }
        refused
    }

    /// Clears a request that was answered completely.
    pub(crate) fn clear(&self, fingerprint: u64) {
        let now_ms = self.ctx.clock.now_ms();
        let quarantine = &mut self.state.borrow_mut().quarantine;
        let evidence = quarantine.record_answer(fingerprint, now_ms);
        self.publish(evidence.map(|e| Suspicion::of(fingerprint, &e, now_ms)));
    }

    /// Records a conviction received from another router.
    pub(crate) fn add_conviction(&self, suspicion: &Suspicion) -> Done {
        let now_ms = self.ctx.clock.now_ms();
        let quarantine = &mut self.state.borrow_mut().quarantine;
        let evidence = suspicion.evidence(now_ms);
        quarantine.merge(suspicion.fingerprint, &evidence, now_ms);
        Done {}
    }

    /// Sends a conviction to all other routers and waits until each has answered or timed out.
    ///
    /// Failure guarded against: a caller that is refused first re-sends at once through a router
    /// that has not received the conviction, which crashes two more engines. Gossip takes a second,
    /// longer than a caller needs to re-send. Convictions are rare, so direct messages are
    /// affordable.
    async fn broadcast_conviction(&self, suspicion: Suspicion) {
        let fleet = self.ctx.fleet();
        let peers = fleet.members.iter().filter(|m| m.host != self.ctx.host);
        let notify = async |addr: &Name| {
            let sent = self
                .peers
                .query::<_, Done>(addr, CONVICTED, &suspicion)
                .await;
            if let Err(e) = sent {
                log::warn!("sending a conviction to {addr} failed: {e}");
            }
        };
        join_all(peers.map(|m| notify(&m.peer_addr))).await;
    }

    fn publish(&self, suspicion: Option<Suspicion>) {
        if let Some(suspicion) = suspicion {
            let suspicions = Publish::Suspicions(vec![suspicion]);
            self.ctx.gossip.publish(suspicions);
        }
    }

    fn apply_gossip(&self) {
        let latest = self.ctx.gossip.suspicions().borrow().clone();
        let state = &mut *self.state.borrow_mut();
        if state
            .received
            .as_ref()
            .is_some_and(|r| Arc::ptr_eq(r, &latest))
        {
            return;
        }
        let now_ms = self.ctx.clock.now_ms();
        let mut refuted = Vec::new();
        for s in latest.iter() {
            let quarantine = &mut state.quarantine;
            if quarantine.merge(s.fingerprint, &s.evidence(now_ms), now_ms)
                && let Some(evidence) = quarantine.refute(s.fingerprint)
            {
                refuted.push(Suspicion::of(s.fingerprint, &evidence, now_ms));
            }
        }
        if !refuted.is_empty() {
            self.ctx.gossip.publish(Publish::Suspicions(refuted));
        }
        state.received = Some(latest);
    }
}

/// Whether the upstream at `addr` is up: it accepts a connection and does not close it unanswered.
///
/// Failure guarded against: a crashing process closes its calls before its listening socket, and
/// still accepts connections in between. If that counted as up, the death would not be counted and
/// the request would go on to crash the next upstream. One that is only slow to answer is up.
pub(super) async fn is_up(addr: &str) -> bool {
    let Ok(addr) = addr.parse::<SocketAddr>() else {
        return true;
    };
    let connected = within(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let Ok(Ok(mut stream)) = connected else {
        return false;
    };
    let request = format!("HEAD / HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\n\r\n");
    let answer = async {
        stream.write_all(request.into_bytes()).await.0?;
        stream.read(Vec::with_capacity(1)).await.0
    };
    match within(CONNECT_TIMEOUT, answer).await {
        Ok(read) => read.is_ok_and(|bytes| bytes > 0),
        Err(_) => true,
    }
}
