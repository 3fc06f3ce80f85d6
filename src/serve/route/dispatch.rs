//! From a parsed request to an answer: which upstream, which home, here or one hop away.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use futures_util::pin_mut;
use tokio::sync::mpsc;

use crate::decide::refusal::{Cause, jittered_ms};
use crate::decide::retry::FailedAttempt;
use crate::decide::{ChatKey, Rates, refusal};
use crate::event::Kind;
use crate::fleet::homes;
use crate::fleet::member::Member;
use crate::peers::{Frames, PeerClient, refuse};
use crate::schema::config::Upstream;
use crate::schema::peer::frame::Body;
use crate::schema::peer::{
    DemandReport, Done, Forward, Refusal, ShareGrant, Suspicion, WarmReply, WarmRequest,
};
use crate::serve::SharedCtx;
use crate::serve::home::Homes;
use crate::serve::home::admit::{Admission, cost};
use crate::serve::home::limits::Accounts;
use crate::serve::route::placer::{self, Placer, Plan};
use crate::stats;
use crate::util::Name;

const CHANNEL: usize = 64;
/// When to come back to a service that has no upstream now.
const NO_UPSTREAM_MS: u64 = 1_000;

/// Upstreams that may turn out to be leaving before a request is given up.
const MAX_MOVED: usize = 8;

/// Homes asked for one upstream. Hosts die one at a time but for racks and data centres, and those
/// leave the view together.
const MAX_HOMES: usize = 3;

/// Sends requests to the homes of their upstreams.
#[derive(Clone)]
pub(crate) struct Dispatch {
    ctx: SharedCtx,
    peers: PeerClient,
    placer: Placer,
    accounts: Accounts,
    admission: Rc<Admission>,
}

/// The first frame of an answer, and the rest.
pub(crate) struct Started {
    pub(crate) first: Body,
    pub(crate) rest: Frames,
}

/// How one try at one upstream ended.
enum Tried {
    Started(Started),
    /// It takes no more now: on to the next of the plan.
    Next(Refusal),
    /// It is full but not over its bound: wait there if no other has room.
    Full(Refusal),
    /// It can't be reached or is leaving, and no byte of the request left.
    FailedAttempt(Refusal),
    /// Final for the caller.
    Refused(Refusal),
}

impl Dispatch {
    pub(crate) fn new(
        ctx: SharedCtx,
        homes: Homes,
        peers: PeerClient,
        http: cyper::Client,
    ) -> Self {
        let accounts = Accounts::spawn(ctx.clone(), peers.clone());
        let placer = Placer::new(ctx.clone(), peers.clone(), homes.view().clone());
        let admission = Admission::new(ctx.clone(), homes, accounts.clone(), peers.clone(), http);
        Self {
            ctx,
            peers,
            placer,
            accounts,
            admission: Rc::new(admission),
        }
    }

    pub(crate) fn peers(&self) -> PeerClient {
        self.peers.clone()
    }

    /// Tries the request's upstreams in order until one starts it or gives it up.
    pub(crate) async fn route(&self, mut forward: Forward) -> Result<Started, Refusal> {
        if forward.attempt == 0 {
            let arrived = self.accounts.arrive(&forward.account);
            arrived.map_err(|r| refuse::message(&r, "the account's rate is used up"))?;
            self.placer.first_try(&forward.service);
        }
        let start_ms = self.ctx.clock.now_ms();
        let budget_ms = forward.remaining_ms;
        let mut failed = Vec::new();
        let mut retries = 0;
        loop {
            let plan = self.placer.plan(&forward, &failed).await;
            let (name, refused) = match self.follow(&mut forward, plan, &failed).await {
                Ok(started) => return Ok(started),
                Err((Some(name), refused)) => (name, refused),
                Err((None, refused)) => return Err(refused),
            };
            failed.push(name);
            if has_moved(&refused) && failed.len() < MAX_MOVED {
                continue;
            }
            let spent_ms = self.ctx.clock.now_ms() - start_ms;
            forward.remaining_ms = budget_ms.saturating_sub(spent_ms);
            let tried = FailedAttempt {
                may_have_run: !refuse::is_not_run(&refused),
                retries,
                remaining_ms: forward.remaining_ms,
            };
            let Some(pause_ms) = self.placer.pause_ms(tried) else {
                return Err(self.come_back(refused));
            };
            retries += 1;
            compio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Tries what the plan names. An upstream that failed is named with its refusal.
    async fn follow(
        &self,
        forward: &mut Forward,
        plan: Plan,
        failed: &[Name],
    ) -> Result<Started, (Option<Name>, Refusal)> {
        let mut last = plan.last.clone();
        let mut full = false;
        let resume = self
            .resumed_at(forward)
            .filter(|name| !failed.contains(name));
        if let Some(name) = resume {
            match self.try_at(forward, &name, &plan, true).await {
                Tried::Started(started) => return Ok(started),
                Tried::FailedAttempt(refused) => return Err((Some(name), refused)),
                Tried::Next(_) | Tried::Full(_) | Tried::Refused(_) => {}
            }
        }
        for name in &plan.tries {
            if !self.placer.admits(name) {
                continue;
            }
            match self.try_at(forward, name, &plan, false).await {
                Tried::Started(started) => return Ok(started),
                Tried::Next(_) => {}
                Tried::Full(_) if full => {}
                Tried::Full(_) => {
                    full = true;
                    last = Some(name.clone());
                }
                Tried::FailedAttempt(refused) => return Err((Some(name.clone()), refused)),
                Tried::Refused(refused) => return Err((None, refused)),
            }
        }
        let Some(name) = last else {
            let detail = "the service has no upstream that takes work";
            let base_ms = jittered_ms(NO_UPSTREAM_MS, &mut rand::rng());
            return Err((None, refuse::not_run(Cause::NoUpstream, base_ms, detail)));
        };
        match self.try_at(forward, &name, &plan, true).await {
            Tried::Started(started) => Ok(started),
            Tried::FailedAttempt(refused) => Err((Some(name), refused)),
            Tried::Next(refused) | Tried::Full(refused) | Tried::Refused(refused) => {
                Err((None, self.come_back(refused)))
            }
        }
    }

    /// The engine that may still hold a broken stream goes first.
    fn resumed_at(&self, forward: &Forward) -> Option<Name> {
        let config = self.ctx.config();
        let upstream = config.upstream(&forward.service, &forward.resume_upstream)?;
        Some(upstream.name.as_str().into())
    }

    async fn try_at(&self, forward: &mut Forward, name: &Name, plan: &Plan, last: bool) -> Tried {
        let config = self.ctx.config();
        let Some(upstream) = config.upstream(&forward.service, name).cloned() else {
            let detail = "the upstream has just been taken out";
            return Tried::FailedAttempt(refuse::not_run(
                Cause::NoUpstream,
                NO_UPSTREAM_MS,
                detail,
            ));
        };
        self.address(forward, name, plan, last);
        let sent = Instant::now();
        let Some((first, rest)) = self.first_frame(forward, &upstream).await else {
            self.placer.failed(forward, name);
            let refusal = refusal::Refusal::unknown(Cause::UpstreamFailed);
            return Tried::Refused(refuse::message(&refusal, "the home broke off"));
        };
        match first {
            Body::Refused(refused) => self.refused(forward, name, refused),
            first => {
                self.started(forward, name, &first, sent);
                Tried::Started(Started { first, rest })
            }
        }
    }

    fn address(&self, forward: &mut Forward, name: &Name, plan: &Plan, last: bool) {
        forward.upstream = name.to_string();
        forward.attempt += 1;
        forward.last_choice = last;
        forward.warm_at.clear();
        if let Some(warm) = &plan.warm
            && warm.upstream != *name
            && placer::import_pays(warm)
        {
            forward.warm_at = warm.upstream.to_string();
        }
        let events = &self.ctx.events;
        events.emit_request(Kind::RequestPlaced, forward, |_| {});
    }

    fn started(&self, forward: &Forward, name: &Name, first: &Body, sent: Instant) {
        let Body::Head(head) = first else {
            return;
        };
        match &head.load {
            Some(load) => self.placer.loads.heard(name, load),
            None => self.placer.loads.sent(name, work_ms(forward)),
        }
        if head.status >= u32::from(http::StatusCode::INTERNAL_SERVER_ERROR.as_u16()) {
            self.placer.failed(forward, name);
            return;
        }
        let took_ms = u64::try_from(sent.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.placer.answered(forward, name, took_ms);
        if forward.prompt_tokens > 0 {
            self.placer.served(forward, name);
        }
    }

    fn refused(&self, forward: &Forward, name: &Name, refused: Refusal) -> Tried {
        if let Some(load) = &refused.load {
            self.placer.loads.heard(name, load);
        }
        if !refuse::is_not_run(&refused) {
            self.placer.failed(forward, name);
            return Tried::Started(Started {
                first: Body::Refused(refused),
                rest: mpsc::channel(1).1,
            });
        }
        let events = &self.ctx.events;
        events.emit_request(Kind::RequestRetried, forward, |e| {
            e.detail = format!("{}: {}", refused.cause, refused.detail);
        });
        match refused.cause.parse() {
            Ok(Cause::OverBound) => Tried::Next(refused),
            Ok(Cause::Full) => Tried::Full(refused),
            Ok(Cause::NoUpstream | Cause::Draining | Cause::HomeUnreachable) => {
                Tried::FailedAttempt(refused)
            }
            Ok(Cause::UpstreamFailed) => {
                self.placer.failed(forward, name);
                Tried::FailedAttempt(refused)
            }
            _ => Tried::Refused(refused),
        }
    }

    /// No refusal without a time to come back.
    fn come_back(&self, mut refused: Refusal) -> Refusal {
        if refused.retry_after_ms == 0 {
            refused.retry_after_ms = jittered_ms(NO_UPSTREAM_MS, &mut rand::rng());
        }
        refused
    }

    /// Asks the upstream's homes in order until one can be reached.
    ///
    /// A home that has just died is still in the view for seconds. Its refused connection says
    /// nothing of the upstream, so the next in order stands in, as it will once the view follows.
    async fn first_frame(&self, forward: &Forward, upstream: &Upstream) -> Option<(Body, Frames)> {
        let fleet = self.ctx.fleet();
        let order = homes::order(&fleet, &upstream.name, &upstream.data_center);
        let mut last = None;
        for home in order.into_iter().take(MAX_HOMES) {
            let mut rest = self.send(forward, home).await;
            let first = {
                let first = rest.recv();
                let dead = self.ctx.host_dead(&home.host);
                pin_mut!(first, dead);
                match select(first, dead).await {
                    Either::Left((first, _)) => first?,
                    // A frozen home keeps its connections: without this its callers would wait
                    // until their deadline.
                    Either::Right(_) => return None,
                }
            };
            if !is_unreachable(&first) {
                return Some((first, rest));
            }
            last = Some((first, rest));
        }
        if last.is_some() {
            return last;
        }
        let mut rest = self.serve_here(forward.clone());
        Some((rest.recv().await?, rest))
    }

    async fn send(&self, forward: &Forward, home: &Member) -> Frames {
        if home.host == self.ctx.host {
            return self.serve_here(forward.clone());
        }
        stats::hop();
        let events = &self.ctx.events;
        events.emit_request(Kind::RequestHopped, forward, |e| {
            e.detail = home.host.to_string();
        });
        let mut forward = forward.clone();
        forward.stamp = self.ctx.events.stamp();
        self.peers.forward(&home.peer_addr, &forward).await
    }

    /// Admits and runs the request at this router, as its upstream's home: never another hop.
    pub(crate) fn serve_here(&self, forward: Forward) -> Frames {
        if let Err(refused) = self.ctx.may_admit() {
            return refuse::frames(refused);
        }
        let (tx, rx) = mpsc::channel(CHANNEL);
        let admission = self.admission.clone();
        compio::runtime::spawn(async move { admission.run(forward, tx).await }).detach();
        rx
    }

    /// The upstream where `chat` was served last.
    pub(crate) async fn last_served(&self, service: &str, chat: ChatKey) -> Option<Name> {
        self.placer.last_served(service, chat).await
    }

    /// Answers a router that asks or tells where a chat was served last.
    pub(crate) fn warm(&self, ask: WarmRequest) -> WarmReply {
        self.placer.answer(ask)
    }

    /// Takes a conviction that another router tells.
    pub(crate) fn convicted(&self, suspicion: &Suspicion) -> Done {
        self.admission.told(suspicion)
    }

    /// Hands out shares of accounts' limits.
    pub(crate) fn grant(&self, report: &DemandReport) -> ShareGrant {
        self.accounts.grant(report)
    }
}

/// The upstream or its home is going, which says nothing against trying another at once.
fn has_moved(refused: &Refusal) -> bool {
    matches!(
        refused.cause.parse(),
        Ok(Cause::NoUpstream | Cause::Draining)
    )
}

fn is_unreachable(first: &Body) -> bool {
    let Body::Refused(refused) = first else {
        return false;
    };
    refused.cause.parse() == Ok(Cause::HomeUnreachable)
}

fn work_ms(forward: &Forward) -> f64 {
    cost(forward).work_ms(&Rates::default())
}
