//! Attempts that another router makes in place of this one, and runs of suspected requests.

use std::time::{Duration, Instant};

use crate::decide::refusal::Cause;
use crate::event::Kind;
use crate::fleet::member::Member;
use crate::front::in_flight::Stage;
use crate::path::attempts::Attempts;
use crate::path::call::Reply;
use crate::path::delegate::{DelegatedAnswer, decode_answer, encode_headers};
use crate::path::dialect::{Dialect, Records};
use crate::path::refusal::Refused;
use crate::path::routes::Repeat;
use crate::path::trials::Trial;
use crate::peers::DelegateError;
use crate::schema::peer::{DelegatedHead, DelegatedRequest};
use crate::time_limit::within;
use crate::util::Name;

/// Number of routers that are asked in turn to run a suspected request. The first one may have stopped a
/// moment ago.
const MAX_TRIAL_ROUTERS: usize = 2;
/// Longest wait for another run of the same suspected request.
const TRIAL_WAIT: Duration = Duration::from_secs(1);
/// Share of the remaining time that such a wait may take.
const TRIAL_WAIT_SHARE: f64 = 0.5;
/// Interval at which the end of the other run is noticed.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Result of delegating a request to one router.
enum Delegation {
    Answered(Reply),
    /// The router can't be reached.
    NotSent,
    /// The router has as many requests of this one as it takes.
    Full,
    /// The router refused the request, or its answer was lost.
    Refused(Refused),
}

impl<D: Dialect + Records> Attempts<D> {
    /// Delegates this suspected request to the router where all its runs take place. Returns `None`
    /// if that is this one.
    pub(super) async fn delegate_trial(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<Option<Reply>, Refused> {
        let path = self.context.path.clone();
        if self.context.delegated.is_some() {
            return Ok(None);
        }
        let routers = path.trial_routers(self.context.fingerprint, &self.allowed_regions());
        for router in routers.iter().take(MAX_TRIAL_ROUTERS) {
            if router.host == path.host {
                return Ok(None);
            }
            let reason = "runs of this suspected request take place there";
            match self.delegate(router, resume_after, None, reason).await {
                Delegation::Answered(reply) => {
                    // Another run could begin before this one ends.
                    self.use_up_attempts();
                    return Ok(Some(reply));
                }
                Delegation::Refused(refused) => return Err(refused.after(self.runs)),
                // Runs at the next router would go on beside those at this one.
                Delegation::Full => return Err(self.refuse_full_routers()),
                Delegation::NotSent => {}
            }
        }
        let detail = "no router for runs of this suspected request can be reached";
        Err(self.refuse(Cause::NoUpstream, detail.to_owned()))
    }

    /// Delegates this request to a router that reaches upstreams of its service, if this one reaches
    /// none. Returns `None` if no router does.
    pub(super) async fn delegate_elsewhere(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<Option<Reply>, Refused> {
        if self.context.delegated.is_some() {
            return Ok(None);
        }
        let path = self.context.path.clone();
        let mut refusal = None;
        let mut routers = path.delegates(&self.context.service, &self.allowed_regions());
        routers.sort_by_key(|router| self.delivered_to.contains(&router.host));
        for router in routers {
            let reason = "no upstream can be reached from here";
            match self.delegate(&router, resume_after, None, reason).await {
                Delegation::Answered(reply) => return Ok(Some(reply)),
                Delegation::Refused(refused) if refused.is_of_router() => refusal = Some(refused),
                Delegation::Refused(refused) => return Err(refused.after(self.runs)),
                Delegation::Full => refusal = refusal.or(Some(self.refuse_full_routers())),
                Delegation::NotSent => {}
            }
        }
        refusal.map_or(Ok(None), |refused| Err(refused.after(self.runs)))
    }

    /// Delegates this request to the home of the brittle upstream that was chosen. Returns `None` if it
    /// can't be sent there; another upstream may take it.
    pub(super) async fn delegate_to_home(
        &mut self,
        router: &Member,
        upstream: &Name,
        resume_after: Option<u64>,
    ) -> Result<Option<Reply>, Refused> {
        let reason = format!("the home of brittle upstream {upstream}");
        let delegation = self
            .delegate(router, resume_after, Some(upstream), &reason)
            .await;
        self.closed.push(upstream.clone());
        match delegation {
            Delegation::Answered(reply) => Ok(Some(reply)),
            Delegation::NotSent | Delegation::Full => Ok(None),
            Delegation::Refused(refused) if refused.may_go_elsewhere() => Ok(None),
            Delegation::Refused(refused) => Err(refused.after(self.runs)),
        }
    }

    /// Delegates this request to `router`, which tells in its answer how many upstreams may run the request. A
    /// lost answer is final.
    async fn delegate(
        &mut self,
        router: &Member,
        resume_after: Option<u64>,
        upstream: Option<&Name>,
        reason: &str,
    ) -> Delegation {
        let host = &router.host;
        self.emit(
            Kind::RequestHopped,
            "",
            &format!("delegated to {host}: {reason}"),
        );
        let request = self.delegated_request(resume_after, upstream);
        self.calling = Some(host.clone());
        self.is_sent.set(true);
        self.context.tracker.set_stage(Stage::Sent);
        let delegation = self.send_to(router, &request).await;
        self.calling = None;
        if !matches!(delegation, Delegation::Answered(_)) {
            self.record_wait();
        }
        delegation
    }

    async fn send_to(&mut self, router: &Member, request: &DelegatedRequest) -> Delegation {
        let path = self.context.path.clone();
        let host = &router.host;
        let sent = path.peers.delegate(&router.peer_addr, request);
        let sent = within(self.remaining(), sent).await;
        let lost = match sent {
            Ok(Err(DelegateError::NotSent { reason })) => {
                let reason = format!("not delegated to {host}: {reason}");
                self.emit(Kind::RequestRetried, "", &reason);
                return Delegation::NotSent;
            }
            Ok(Ok((answer, room))) => match decode_answer(host, answer).await {
                Ok(DelegatedAnswer::Upstream { answer, head }) => {
                    self.record_delegation(router, head);
                    let (parts, body) = answer.into_parts();
                    let reply = Reply::of_router(host.clone(), parts, body, room);
                    return Delegation::Answered(reply);
                }
                Ok(DelegatedAnswer::Refused(refused)) => return Delegation::Refused(refused),
                Err(reason) => reason,
            },
            Ok(Err(e @ (DelegateError::Full | DelegateError::NoRoom { .. }))) => {
                let reason = format!("not delegated to {host}: {e}");
                self.emit(Kind::RequestRetried, "", &reason);
                return Delegation::Full;
            }
            Ok(Err(DelegateError::Lost { reason })) => reason,
            Err(_) => "no answer before the deadline".to_owned(),
        };
        self.record_delegation(router, None);
        let detail = format!("answer of router {host} lost: {lost}");
        Delegation::Refused(self.refuse(Cause::UpstreamFailed, detail))
    }

    fn refuse_full_routers(&self) -> Refused {
        let detail = "the routers that could send it take no more from this one";
        self.refuse(Cause::Full, detail.to_owned())
    }

    /// Records that `router` ran the request as `head` says. Without it, the request may have run as often as
    /// its route allows.
    fn record_delegation(&mut self, router: &Member, head: Option<DelegatedHead>) {
        self.delivered_to.push(router.host.clone());
        let Some(head) = head else {
            return self.use_up_attempts();
        };
        self.runs = head.runs.max(self.runs + 1);
        let origin = head.origin.map(Into::into);
        self.origin = self.origin.take().or(origin);
    }

    /// Makes the attempt that is under way the last one.
    fn use_up_attempts(&mut self) {
        self.runs = self.context.route.max_attempts.max(self.runs + 1);
    }

    /// Leaves the next attempt to the router that delegated the request, if one did and the stream may be
    /// resumed: it goes on if this router stops.
    pub(crate) fn leave_attempt_to_sender(&mut self) {
        let is_resumable = self.context.route.repeat == Repeat::Stream { resumable: true };
        if is_resumable && self.context.delegated.is_some() {
            self.left_to_sender = 1;
        }
    }

    /// What the router that delegated the request is told beside the head of the answer, if one did.
    pub(crate) fn delegated_head(&self) -> Option<DelegatedHead> {
        self.context.delegated.as_ref()?;
        let mut head = DelegatedHead {
            runs: self.runs,
            origin: None,
        };
        if self.left_to_sender > 0 {
            let may_run = self
                .context
                .route
                .max_attempts
                .saturating_sub(self.left_to_sender);
            head.runs = head.runs.max(may_run);
            head.origin = self.origin.as_ref().map(Into::into);
        }
        Some(head)
    }

    fn delegated_request(
        &self,
        resume_after: Option<u64>,
        upstream: Option<&Name>,
    ) -> DelegatedRequest {
        let context = &self.context;
        let parts = &context.parts;
        let target = parts.uri.path_and_query().map_or("/", |t| t.as_str());
        let now_ms = context.path.clock.now_ms();
        DelegatedRequest {
            from_host: context.path.host.to_string(),
            method: parts.method.to_string(),
            target: target.to_owned(),
            headers: encode_headers(&parts.headers),
            body: context.body.clone(),
            service: context.service.to_string(),
            remaining_ms: u64::try_from(self.remaining().as_millis()).unwrap_or(u64::MAX),
            is_counted: !self.tried.is_empty(),
            delivered_to: self.delivered_to.iter().map(|n| n.to_string()).collect(),
            runs: self.runs,
            resume_after,
            suspicion: context.path.state.suspicion(context.fingerprint, now_ms),
            origin: self.origin.as_ref().map(Into::into),
            upstream: upstream.map(ToString::to_string).unwrap_or_default(),
        }
    }

    /// Waits until no other run of this suspected request is in progress here.
    pub(super) async fn begin_trial(&self) -> Result<Trial, Refused> {
        let context = &self.context;
        let wait = self.remaining().mul_f64(TRIAL_WAIT_SHARE).min(TRIAL_WAIT);
        let until = Instant::now() + wait;
        loop {
            if let Some(trial) = context.path.trials.begin(context.fingerprint) {
                return Ok(trial);
            }
            if let Some(left_ms) = self.quarantine_ms() {
                return Err(self.refuse_quarantined(left_ms));
            }
            if Instant::now() >= until {
                let detail = "another run of this suspected request is in progress";
                return Err(self.refuse(Cause::Full, detail.to_owned()));
            }
            compio::time::sleep(TRIAL_POLL_INTERVAL).await;
        }
    }
}
