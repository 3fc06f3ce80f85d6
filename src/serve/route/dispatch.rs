//! Sends a parsed request to an upstream's home, at this router or one hop away, and retries.

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
use crate::serve::home::limits::AccountLimits;
use crate::serve::route::placer::{self, Placer, Plan};
use crate::stats;
use crate::util::Name;

const CHANNEL_CAPACITY: usize = 64;
/// Retry delay for a service that has no upstream that takes work.
const NO_UPSTREAM_RETRY_MS: u64 = 1_000;

/// While fewer upstreams have failed, a leaving one is skipped without using the retry budget.
const MAX_LEAVING: usize = 8;

/// Homes tried for one upstream. Hosts fail one at a time, except for racks and data centres, whose
/// hosts leave the view together.
const MAX_HOMES: usize = 3;

/// Sends requests to the homes of their upstreams.
#[derive(Clone)]
pub(crate) struct Dispatch {
    ctx: SharedCtx,
    peers: PeerClient,
    placer: Placer,
    accounts: AccountLimits,
    admission: Rc<Admission>,
}

/// An answer that has started: its first frame and the remaining ones.
pub(crate) struct Started {
    pub(crate) first: Body,
    pub(crate) rest: Frames,
}

/// The result of one attempt at one upstream.
enum Attempt {
    Started(Started),
    /// The upstream is over its load bound: try the next of the plan.
    Next(Refusal),
    /// The upstream is full but within its load bound: queue there if no other has a free slot.
    Full(Refusal),
    /// The upstream is unreachable or leaving, and no byte of the request was sent to it.
    Failed(Refusal),
    /// The refusal is final for the caller.
    Refused(Refusal),
}

impl Dispatch {
    pub(crate) fn new(ctx: SharedCtx, homes: Homes, peers: PeerClient) -> Self {
        let accounts = AccountLimits::spawn(ctx.clone(), peers.clone());
        let placer = Placer::new(ctx.clone(), peers.clone(), homes.view().clone());
        let admission = Admission::new(ctx.clone(), homes, accounts.clone(), peers.clone());
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

    /// Tries the request's upstreams in order until one starts it or it is refused.
    pub(crate) async fn route(&self, mut forward: Forward) -> Result<Started, Refusal> {
        if forward.attempt == 0 {
            let admitted = self.accounts.arrive(&forward.account);
            admitted.map_err(|r| refuse::message(&r, "the account's rate limit is reached"))?;
            self.placer.first_try(&forward.service);
        }
        let start_ms = self.ctx.clock.now_ms();
        let budget_ms = forward.remaining_ms;
        let mut failed = Vec::new();
        let mut retries = 0;
        loop {
            let plan = self.placer.plan(&forward, &failed).await;
            let (name, refused) = match self.try_plan(&mut forward, plan, &failed).await {
                Ok(started) => return Ok(started),
                Err((Some(name), refused)) => (name, refused),
                Err((None, refused)) => return Err(refused),
            };
            failed.push(name);
            if is_leaving(&refused) && failed.len() < MAX_LEAVING {
                continue;
            }
            let spent_ms = self.ctx.clock.now_ms() - start_ms;
            forward.remaining_ms = budget_ms.saturating_sub(spent_ms);
            let attempt = FailedAttempt {
                may_have_run: !refuse::is_not_run(&refused),
                retries,
                remaining_ms: forward.remaining_ms,
            };
            let Some(pause_ms) = self.placer.pause_ms(attempt) else {
                return Err(self.with_retry_delay(refused));
            };
            retries += 1;
            compio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Tries the plan's upstreams in order. The error carries the upstream's name if another plan
    /// may be tried without it.
    async fn try_plan(
        &self,
        forward: &mut Forward,
        plan: Plan,
        failed: &[Name],
    ) -> Result<Started, (Option<Name>, Refusal)> {
        let mut last = plan.last.clone();
        let mut full = false;
        let resume = self
            .resume_upstream(forward)
            .filter(|name| !failed.contains(name));
        if let Some(name) = resume {
            match self.try_at(forward, &name, &plan, true).await {
                Attempt::Started(started) => return Ok(started),
                Attempt::Failed(refused) => return Err((Some(name), refused)),
                Attempt::Next(_) | Attempt::Full(_) | Attempt::Refused(_) => {}
            }
        }
        for name in &plan.tries {
            if !self.placer.admits(name) {
                continue;
            }
            match self.try_at(forward, name, &plan, false).await {
                Attempt::Started(started) => return Ok(started),
                Attempt::Next(_) => {}
                Attempt::Full(_) if full => {}
                Attempt::Full(_) => {
                    full = true;
                    last = Some(name.clone());
                }
                Attempt::Failed(refused) => return Err((Some(name.clone()), refused)),
                Attempt::Refused(refused) => return Err((None, refused)),
            }
        }
        let Some(name) = last else {
            let detail = "the service has no upstream that takes work";
            let base_ms = jittered_ms(NO_UPSTREAM_RETRY_MS, &mut rand::rng());
            return Err((None, refuse::not_run(Cause::NoUpstream, base_ms, detail)));
        };
        match self.try_at(forward, &name, &plan, true).await {
            Attempt::Started(started) => Ok(started),
            Attempt::Failed(refused) => Err((Some(name), refused)),
            Attempt::Next(refused) | Attempt::Full(refused) | Attempt::Refused(refused) => {
                Err((None, self.with_retry_delay(refused)))
            }
        }
    }

    /// Returns the engine that may still have an interrupted stream, which is tried first.
    fn resume_upstream(&self, forward: &Forward) -> Option<Name> {
        let config = self.ctx.config();
        let upstream = config.upstream(&forward.service, &forward.resume_upstream)?;
        Some(upstream.name.as_str().into())
    }

    async fn try_at(&self, forward: &mut Forward, name: &Name, plan: &Plan, last: bool) -> Attempt {
        let config = self.ctx.config();
        let Some(upstream) = config.upstream(&forward.service, name).cloned() else {
            let detail = "the upstream was removed from the configuration";
            return Attempt::Failed(refuse::not_run(
                Cause::NoUpstream,
                NO_UPSTREAM_RETRY_MS,
                detail,
            ));
        };
        self.set_target(forward, name, plan, last);
        let sent = Instant::now();
        let Some((first, rest)) = self.first_frame(forward, &upstream).await else {
            self.placer.record_failure(forward, name);
            let refusal = refusal::Refusal::unknown(Cause::UpstreamFailed);
            return Attempt::Refused(refuse::message(
                &refusal,
                "the upstream's home sent no answer",
            ));
        };
        match first {
            Body::Refused(refused) => self.on_refused(forward, name, refused),
            first => {
                self.on_started(forward, name, &first, sent);
                Attempt::Started(Started { first, rest })
            }
        }
    }

    fn set_target(&self, forward: &mut Forward, name: &Name, plan: &Plan, last: bool) {
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

    fn on_started(&self, forward: &Forward, name: &Name, first: &Body, sent: Instant) {
        let Body::Head(head) = first else {
            return;
        };
        match &head.load {
            Some(load) => self.placer.loads.record_reply(name, load),
            None => self.placer.loads.record_sent(name, work_ms(forward)),
        }
        if head.status >= u32::from(http::StatusCode::INTERNAL_SERVER_ERROR.as_u16()) {
            self.placer.record_failure(forward, name);
            return;
        }
        let took_ms = u64::try_from(sent.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.placer.record_answer(forward, name, took_ms);
        if forward.prompt_tokens > 0 {
            self.placer.record_served(forward, name);
        }
    }

    fn on_refused(&self, forward: &Forward, name: &Name, refused: Refusal) -> Attempt {
        if let Some(load) = &refused.load {
            self.placer.loads.record_reply(name, load);
        }
        if !refuse::is_not_run(&refused) {
            self.placer.record_failure(forward, name);
            return Attempt::Started(Started {
                first: Body::Refused(refused),
                rest: mpsc::channel(1).1,
            });
        }
        let events = &self.ctx.events;
        events.emit_request(Kind::RequestRetried, forward, |e| {
            e.detail = format!("{}: {}", refused.cause, refused.detail);
        });
        match refused.cause.parse() {
            Ok(Cause::OverBound) => Attempt::Next(refused),
            Ok(Cause::Full) => Attempt::Full(refused),
            Ok(Cause::NoUpstream | Cause::Draining | Cause::HomeUnreachable) => {
                Attempt::Failed(refused)
            }
            Ok(Cause::UpstreamFailed) => {
                self.placer.record_failure(forward, name);
                Attempt::Failed(refused)
            }
            _ => Attempt::Refused(refused),
        }
    }

    /// Sets a retry delay on a refusal that has none.
    fn with_retry_delay(&self, mut refused: Refusal) -> Refusal {
        if refused.retry_after_ms == 0 {
            refused.retry_after_ms = jittered_ms(NO_UPSTREAM_RETRY_MS, &mut rand::rng());
        }
        refused
    }

    /// Sends the request to the upstream's homes in order until one can be reached.
    ///
    /// A home that has just died stays in the view for seconds. Its refused connection says nothing
    /// about the upstream, so the next in order takes over, as it will once the view is updated.
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
                    // A frozen home keeps its connections open, so callers would otherwise wait
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

    /// Admits and runs the request at this router as its upstream's home, without another hop.
    pub(crate) fn serve_here(&self, forward: Forward) -> Frames {
        if let Err(refused) = self.ctx.may_admit() {
            return refuse::frames(refused);
        }
        let (tx, rx) = mpsc::channel(CHANNEL_CAPACITY);
        let admission = self.admission.clone();
        compio::runtime::spawn(async move { admission.run(forward, tx).await }).detach();
        rx
    }

    /// Returns the upstream where `chat` was served last.
    pub(crate) async fn last_served(&self, service: &str, chat: ChatKey) -> Option<Name> {
        self.placer.last_served(service, chat).await
    }

    /// Handles another router's lookup or update of a chat's location.
    pub(crate) fn handle_warm(&self, request: WarmRequest) -> WarmReply {
        self.placer.handle_warm(request)
    }

    /// Records a conviction received from another router.
    pub(crate) fn add_conviction(&self, suspicion: &Suspicion) -> Done {
        self.admission.add_conviction(suspicion)
    }

    /// Grants shares of account limits.
    pub(crate) fn grant(&self, report: &DemandReport) -> ShareGrant {
        self.accounts.grant(report)
    }
}

/// Whether the upstream or its home is leaving, in which case another may be tried at once.
fn is_leaving(refused: &Refusal) -> bool {
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
