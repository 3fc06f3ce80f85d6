//! The requests that this router holds to have crashed upstreams, and what others told of them.

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
use crate::peers::{CONVICTED, PeerClient};
use crate::schema::config::Upstream;
use crate::schema::peer::{self, Done, Forward, Suspicion};
use crate::serve::SharedCtx;
use crate::util::Name;

/// An upstream that can't be connected to within this is down; one that is up answers within it, if it isn't slow.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A handle to what is held.
#[derive(Clone)]
pub(crate) struct Suspects {
    ctx: SharedCtx,
    peers: PeerClient,
    state: Rc<RefCell<State>>,
}

/// A dead upstream's calls break within this time of one another.
const DEATH_SPREAD: Duration = Duration::from_millis(500);

#[derive(Default)]
struct State {
    quarantine: Quarantine,
    heard: Option<Arc<Vec<Suspicion>>>,
    /// Suspects that run, by upstream.
    running: HashMap<String, u32>,
}

/// Counts one suspect that runs at an upstream.
pub(crate) struct RunningSuspect {
    upstream: String,
    state: Rc<RefCell<State>>,
}

impl RunningSuspect {
    /// Whether no other suspect runs there.
    fn is_sole(&self) -> bool {
        self.state.borrow().running.get(&self.upstream) == Some(&1)
    }

    /// Counts on until the other calls that broke with this one have been judged.
    fn linger(self) {
        compio::runtime::spawn(async move {
            compio::time::sleep(DEATH_SPREAD).await;
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

/// Whether a refusal says that the request has killed its upstreams.
pub(crate) fn convicted(refused: &peer::Refusal) -> bool {
    refused.cause.parse() == Ok(Cause::Quarantined)
}

/// A request's fingerprint.
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

    /// What is held of a request that came with `deaths` already counted on its way.
    pub(crate) fn status(&self, fingerprint: u64, deaths: u32) -> QuarantineStatus {
        self.take_heard();
        let now_ms = self.ctx.clock.now_ms();
        let state = &mut *self.state.borrow_mut();
        if deaths > 0 {
            state
                .quarantine
                .merge(fingerprint, deaths, false, 0, now_ms);
        }
        state.quarantine.status(fingerprint, now_ms)
    }

    /// Counts a suspect that starts at `upstream`.
    pub(crate) fn begin(&self, upstream: &str) -> RunningSuspect {
        let running = &mut self.state.borrow_mut().running;
        *running.entry(upstream.to_owned()).or_default() += 1;
        RunningSuspect {
            upstream: upstream.to_owned(),
            state: self.state.clone(),
        }
    }

    /// The call broke off: holds it against the request if the upstream is down. Returns the
    /// refusal for the router that may send it on.
    ///
    /// A broken connection alone may be the network's doing; an upstream that nothing listens at
    /// any more has died.
    pub(crate) async fn broke_off(
        &self,
        forward: &Forward,
        at: &Upstream,
        suspect: Option<RunningSuspect>,
        mut refused: peer::Refusal,
    ) -> peer::Refusal {
        let sole = suspect.as_ref().is_some_and(RunningSuspect::is_sole);
        if let Some(suspect) = suspect {
            suspect.linger();
        }
        if is_up(&at.addr).await {
            return refused;
        }
        let fingerprint = fingerprint(forward);
        let now_ms = self.ctx.clock.now_ms();
        let died = |state: &mut State| {
            let deaths = state.quarantine.record_death(fingerprint, sole, now_ms);
            (deaths, state.quarantine.status(fingerprint, now_ms))
        };
        let (deaths, status) = died(&mut self.state.borrow_mut());
        self.publish(fingerprint, deaths, false);
        refused.deaths = deaths;
        if let QuarantineStatus::Quarantined { left_ms } = status {
            self.ctx
                .events
                .emit_request(Kind::RequestQuarantined, forward, |e| {
                    e.detail = format!("{} died of it", at.name);
                });
            self.tell_all(fingerprint, deaths).await;
            refused.cause = Cause::Quarantined.to_string();
            refused.retry_after_ms = left_ms;
        }
        refused
    }

    /// The request was answered whole.
    pub(crate) fn succeeded(&self, fingerprint: u64) {
        let quarantine = &mut self.state.borrow_mut().quarantine;
        if quarantine.clear(fingerprint) {
            self.publish(fingerprint, 0, true);
        }
    }

    /// Takes a conviction that another router tells at once.
    pub(crate) fn told(&self, suspicion: &Suspicion) -> Done {
        let now_ms = self.ctx.clock.now_ms();
        let quarantine = &mut self.state.borrow_mut().quarantine;
        quarantine.merge(suspicion.fingerprint, suspicion.deaths, false, 0, now_ms);
        Done {}
    }

    /// Tells the other routers of a conviction and waits until they know, or don't answer in time.
    ///
    /// Failure guarded against: the caller is told first and sends the request again at once, through a
    /// router that doesn't know yet and loses two more engines. Gossip takes a second, which is longer than a
    /// caller needs. A conviction is rare, so all are told directly and its caller waits for them.
    async fn tell_all(&self, fingerprint: u64, deaths: u32) {
        let suspicion = Suspicion {
            fingerprint,
            deaths,
            ..Suspicion::default()
        };
        let fleet = self.ctx.fleet();
        let others = fleet.members.iter().filter(|m| m.host != self.ctx.host);
        let tell = async |addr: &Name| {
            let told = self
                .peers
                .query::<_, Done>(addr, CONVICTED, &suspicion)
                .await;
            if let Err(e) = told {
                log::warn!("{addr} wasn't told of a conviction: {e}");
            }
        };
        join_all(others.map(|m| tell(&m.peer_addr))).await;
    }

    fn publish(&self, fingerprint: u64, deaths: u32, cleared: bool) {
        let suspicion = Suspicion {
            fingerprint,
            deaths,
            cleared,
            age_ms: 0,
        };
        self.ctx.gossip.publish(Publish::Suspicion(suspicion));
    }

    fn take_heard(&self) {
        let latest = self.ctx.gossip.suspicions().borrow().clone();
        let state = &mut *self.state.borrow_mut();
        if state
            .heard
            .as_ref()
            .is_some_and(|h| Arc::ptr_eq(h, &latest))
        {
            return;
        }
        let now_ms = self.ctx.clock.now_ms();
        for s in latest.iter() {
            let quarantine = &mut state.quarantine;
            quarantine.merge(s.fingerprint, s.deaths, s.cleared, s.age_ms, now_ms);
        }
        state.heard = Some(latest);
    }
}

/// Whether something at `addr` still answers.
///
/// Failure guarded against: a crashing upstream breaks its calls a moment before its listening socket goes, and in between a
/// new connection opens all the same. Taken for up by that, it isn't counted among those that the request has
/// crashed, and the request goes on to the next, until none is left. So it has to answer, and one whose new
/// connection breaks too is down. One that is only slow to answer is up.
pub(super) async fn is_up(addr: &str) -> bool {
    let Ok(addr) = addr.parse::<SocketAddr>() else {
        return true;
    };
    let connected = compio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let Ok(Ok(mut stream)) = connected else {
        return false;
    };
    let question = format!("HEAD / HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\n\r\n");
    let answer = async {
        stream.write_all(question.into_bytes()).await.0?;
        stream.read(Vec::with_capacity(1)).await.0
    };
    match compio::time::timeout(CONNECT_TIMEOUT, answer).await {
        Ok(read) => read.is_ok_and(|bytes| bytes > 0),
        Err(_) => true,
    }
}
