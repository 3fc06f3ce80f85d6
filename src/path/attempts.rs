//! Attempts of one request: which upstream is tried next, and when to stop.

mod calls;
mod choice;
mod delegation;
mod events;
mod refusal;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::StatusCode;
use http::request::Parts;

use crate::decide::Origin;
use crate::decide::refusal::Cause;
use crate::event::Kind;
use crate::front::drain::Phase;
use crate::front::in_flight::{Stage, Tracker};
use crate::path::RequestPath;
use crate::path::admission_queue::Permit;
use crate::path::call::{BufferedReply, FailureKind, Reply};
use crate::path::death_check;
use crate::path::delegate::Delegated;
use crate::path::dialect::{CallerHead, Dialect, Records};
use crate::path::refusal::{Refused, STALE_STATE};
use crate::path::routes::{Account, Repeat, Route};
use crate::path::stop_admission::stopping;
use crate::path::stream_origins;
use crate::path::trials::Trial;
use crate::path::upstreams::Upstream;
use crate::util::{self, Name};

/// Maximum number of upstreams tried for one answer. Each attempt costs a round trip, and after
/// this many rejections the pool is most likely full, so a quick refusal serves the caller better.
const MAX_UPSTREAMS_TRIED: usize = 4;
/// Minimum remaining time for an attempt. With less, the answer would arrive after the deadline.
const MIN_REMAINING: Duration = Duration::from_millis(20);
/// Pause before a further attempt of a request that is suspected of crashing upstreams: the time in
/// which the last death is noticed and the other routers' reports arrive.
const SUSPECT_PAUSE: Duration = Duration::from_millis(100);

/// Context shared by all attempts of a request.
pub(crate) struct RequestContext<D> {
    pub(crate) path: Rc<RequestPath<D>>,
    pub(crate) parts: Parts,
    pub(crate) head: CallerHead,
    pub(crate) body: Bytes,
    pub(crate) route: Rc<Route>,
    pub(crate) service: Name,
    pub(crate) account: Option<Rc<Account>>,
    /// Same value for each retry of the request by its caller.
    pub(crate) fingerprint: u64,
    pub(crate) started: Instant,
    /// Earlier of the time limits of the caller and of the route.
    pub(crate) deadline: Instant,
    /// Where the stream began that the caller takes up again, if it does.
    pub(crate) origin: Option<Origin>,
    /// Set if another router delegated the request to this one, which then does not delegate it
    /// again.
    pub(crate) delegated: Option<Delegated>,
    pub(crate) tracker: Tracker,
}

/// State of the attempts of a request.
pub(crate) struct Attempts<D> {
    pub(crate) context: RequestContext<D>,
    tried: Vec<Name>,
    /// Number of upstreams that may have run the request.
    runs: u32,
    /// Upstreams that may have received the request.
    delivered_to: Vec<Name>,
    /// Upstream or router that is being called.
    calling: Option<Name>,
    /// Whether the request may have left for it.
    is_sent: Cell<bool>,
    /// Upstream whose answer is kept beside the next attempt.
    kept: Option<Name>,
    /// Number of attempts that are left to the router that delegated the request.
    left_to_sender: u32,
    /// Whether the retry budget was charged for the next attempt before the last one was given up.
    is_retry_reserved: bool,
    /// Where the stream began that the answer is or goes on with; all further attempts keep to it.
    origin: Option<Origin>,
    /// Brittle upstreams whose homes did not send the request.
    closed: Vec<Name>,
    /// Whether a brittle upstream rejected the request.
    was_rejected_by_brittle: bool,
    /// Whether some brittle upstream could not be chosen.
    is_held_back: Cell<bool>,
    /// Held while the request runs as a suspect.
    trial: Option<Trial>,
    /// Released at the end of the answer.
    _permit: Option<Permit>,
}

/// Answer to forward to the caller.
pub(crate) enum UpstreamAnswer {
    /// Completely read answer.
    Buffered(BufferedReply),
    /// Event stream of which only the head has been read.
    Stream(Reply),
}

impl<D: Dialect + Records> Attempts<D> {
    pub(crate) fn new(context: RequestContext<D>, permit: Option<Permit>) -> Self {
        let before = context.delegated.clone().unwrap_or_default();
        let origin = context.origin.clone();
        Self {
            context,
            origin,
            tried: before.delivered_to.clone(),
            runs: before.runs,
            delivered_to: before.delivered_to,
            calling: None,
            is_sent: Cell::default(),
            kept: None,
            left_to_sender: 0,
            is_retry_reserved: false,
            closed: Vec::new(),
            was_rejected_by_brittle: false,
            is_held_back: Cell::default(),
            trial: None,
            _permit: permit,
        }
    }

    /// Tries upstreams until one answers or no further attempt is allowed.
    pub(crate) async fn answer(&mut self) -> Result<UpstreamAnswer, Refused> {
        let mut failure: Option<BufferedReply> = None;
        let mut reason = String::new();
        loop {
            let reply = match self.next(self.context.head.resume_after).await {
                Ok(reply) => reply,
                Err(refused) => {
                    // The upstream's own error answer is more specific than a refusal by this
                    // router.
                    return failure.map(UpstreamAnswer::Buffered).ok_or(refused);
                }
            };
            let is_stream =
                self.context.route.repeat.is_stream() && reply.parts.status.is_success();
            if is_stream {
                return Ok(UpstreamAnswer::Stream(reply));
            }
            if self.is_false_promise(reply.parts.status) {
                let status = reply.parts.status.as_u16();
                let detail = format!("answered {status} without the note that it was not run");
                return Err(self.refuse(Cause::UpstreamFailed, detail));
            }
            let (upstream, sender) = (reply.upstream().cloned(), reply.sender().clone());
            match self.buffer_or_replace(reply).await {
                Some(buffered) if !buffered.parts.status.is_server_error() => {
                    return Ok(UpstreamAnswer::Buffered(buffered));
                }
                Some(buffered) => {
                    if !self.may_retry() {
                        return Ok(UpstreamAnswer::Buffered(buffered));
                    }
                    reason.clear();
                    reason.push_str(buffered.parts.status.as_str());
                    failure = Some(buffered);
                }
                None => {
                    "answer broke off before its end".clone_into(&mut reason);
                    if let Some(upstream) = upstream {
                        self.record_broken_answer(&upstream, &reason);
                    }
                    if !self.may_retry() {
                        return Err(self.refuse(Cause::UpstreamFailed, reason));
                    }
                }
            }
            self.emit(Kind::RequestRetried, &sender, &reason);
        }
    }

    /// Whether an upstream's answer with this status would tell the caller that the request did not
    /// run and may be sent again. An upstream that did not run it says so in another way, which
    /// counts as a rejection.
    fn is_false_promise(&self, status: StatusCode) -> bool {
        let promises_not_run = matches!(
            status,
            StatusCode::REQUEST_TIMEOUT
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE
        );
        promises_not_run && self.context.route.repeat.at_most_once()
    }

    /// Like [`Self::next`], while the answer of `kept` is waited for: that upstream isn't called again.
    pub(crate) async fn next_beside(
        &mut self,
        kept: Name,
        resume_after: Option<u64>,
    ) -> Result<Reply, Refused> {
        self.kept = Some(kept);
        let answered = self.next(resume_after).await;
        self.kept = None;
        answered
    }

    /// Returns the answer of the next upstream. After the failure of a run that may have begun, the
    /// next attempt resumes after event `resume_after`.
    pub(crate) async fn next(&mut self, resume_after: Option<u64>) -> Result<Reply, Refused> {
        let tried_before = self.tried.len();
        loop {
            self.record_wait();
            self.check_closing()?;
            let is_retry = !self.delivered_to.is_empty();
            if is_retry && self.is_suspected() {
                compio::time::sleep(SUSPECT_PAUSE.min(self.remaining())).await;
            }
            let upstreams = self.context.path.replica.upstreams_fresh();
            if !upstreams.wait_until_usable().await {
                return Err(self.refuse(Cause::NoUpstream, STALE_STATE.to_owned()));
            }
            if self.remaining() < MIN_REMAINING {
                return Err(self.refuse(
                    Cause::Deadline,
                    "not enough time left until the deadline".to_owned(),
                ));
            }
            if let Some(left_ms) = self.quarantine_ms() {
                return Err(self.refuse_quarantined(left_ms));
            }
            if self.is_isolated() && self.kept.is_some() {
                let detail = "another run of this suspected request is in progress";
                return Err(self.refuse(Cause::Full, detail.to_owned()));
            }
            if self.is_isolated() && self.trial.is_none() {
                if let Some(reply) = self.delegate_trial(resume_after).await? {
                    return Ok(reply);
                }
                self.trial = Some(self.begin_trial().await?);
                continue;
            }
            if self.context.path.state.is_cut_off(&self.context.service)
                && let Some(reply) = self.delegate_elsewhere(resume_after).await?
            {
                return Ok(reply);
            }
            let Some(choice) = self.choose(self.kept.as_ref()) else {
                return Err(self.refuse_without_upstream());
            };
            let is_charged = std::mem::take(&mut self.is_retry_reserved);
            if is_retry && !is_charged && !self.take_retry() {
                let detail = "retry budget of the fleet is exhausted".to_owned();
                // All upstreams rejected the request.
                let cause = if self.runs == 0 {
                    Cause::Full
                } else {
                    Cause::UpstreamFailed
                };
                return Err(self.refuse(cause, detail));
            }
            if let Some(home) = &choice.home {
                let id = &choice.upstream.id;
                if let Some(reply) = self.delegate_to_home(home, id, resume_after).await? {
                    return Ok(reply);
                }
                self.is_retry_reserved = is_retry;
                continue;
            }
            if self.is_first_try() {
                let routers = self.context.path.routers();
                self.context
                    .path
                    .state
                    .count_first_try(&self.context.service, routers);
            }
            let upstream = choice.upstream.clone();
            self.tried.push(upstream.id.clone());
            self.calling = Some(upstream.id.clone());
            self.is_sent.set(false);
            self.context.tracker.set_stage(Stage::Sent);
            let called = self.call_or_replace(&choice, resume_after).await;
            self.calling = None;
            let failed = match called {
                Ok(reply) => {
                    self.delivered_to.push(upstream.id.clone());
                    self.runs += 1;
                    return Ok(reply);
                }
                Err(failed) => failed,
            };
            let now_ms = self.context.path.clock.now_ms();
            let state = &self.context.path.state;
            match failed.kind {
                FailureKind::NotSent => {
                    state.record_unreachable(&upstream, now_ms);
                    death_check::spawn(&self.context.path, upstream.clone(), None);
                }
                FailureKind::Lost => self.record_lost_answer(&upstream),
                FailureKind::Replaced => state.record_replaced(&upstream, now_ms),
                FailureKind::Rejected => {
                    self.was_rejected_by_brittle |= state.borne(&upstream, now_ms).is_some();
                }
                FailureKind::Withheld => {}
            }
            let kind: &'static str = failed.kind.into();
            let reason = format!("{kind}: {}", failed.reason);
            self.emit(Kind::RequestRetried, &upstream.id, &reason);
            if !matches!(failed.kind, FailureKind::NotSent | FailureKind::Withheld) {
                self.delivered_to.push(upstream.id.clone());
            }
            if failed.kind == FailureKind::Withheld {
                // It may still take work: perhaps only the state was too old to tell.
                self.tried.pop();
            }
            if failed.kind == FailureKind::Lost {
                self.runs += 1;
                if !self.may_retry() {
                    let is_late = self.remaining() < MIN_REMAINING;
                    let cause = if is_late {
                        Cause::Deadline
                    } else {
                        Cause::UpstreamFailed
                    };
                    return Err(self.refuse(cause, failed.reason));
                }
            }
            if self.tried.len() - tried_before >= MAX_UPSTREAMS_TRIED {
                let cause = if failed.kind == FailureKind::Rejected {
                    Cause::Full
                } else {
                    Cause::NoUpstream
                };
                return Err(self.refuse(cause, failed.reason));
            }
        }
    }

    /// Records that this request waits for its next attempt.
    fn record_wait(&self) {
        let stage = if self.runs > 0 {
            Stage::Retrying
        } else {
            Stage::Waiting
        };
        self.context.tracker.set_stage(stage);
    }

    /// Refuses another attempt if this router is about to exit, unless an answer has begun, which may still end.
    fn check_closing(&self) -> Result<(), Refused> {
        let is_answering = self.context.tracker.stage() == Stage::Answering;
        if is_answering || self.context.path.drain.phase() < Phase::Closing {
            return Ok(());
        }
        let refused = stopping();
        if self.runs > 0 {
            return Err(self.refuse(Cause::UpstreamFailed, refused.detail));
        }
        Err(refused)
    }

    /// Whether no router has counted this request towards its retry budget yet.
    fn is_first_try(&self) -> bool {
        let delegated = self.context.delegated.as_ref();
        self.tried.is_empty() && !delegated.is_some_and(|d| d.is_counted)
    }

    fn is_suspected(&self) -> bool {
        let context = &self.context;
        context.path.state.is_suspected(context.fingerprint)
    }

    /// Whether at most one run of this request may be in progress in the whole fleet.
    pub(crate) fn is_isolated(&self) -> bool {
        let context = &self.context;
        context.path.state.is_isolated(context.fingerprint)
    }

    /// Remaining time of the quarantine of this request, which may have begun since it arrived.
    fn quarantine_ms(&self) -> Option<u64> {
        let RequestContext {
            path, fingerprint, ..
        } = &self.context;
        path.state.quarantine_ms(*fingerprint, path.clock.now_ms())
    }

    /// Records that this request was answered completely.
    pub(crate) fn record_answered(&self) {
        let RequestContext {
            path, fingerprint, ..
        } = &self.context;
        let now_ms = path.clock.now_ms();
        path.state.record_answered_request(*fingerprint, now_ms);
    }

    /// Records how long this request took, whose answer is complete. The rest of a stream that its caller takes
    /// up again tells nothing about whole answers.
    pub(crate) fn record_duration(&self) {
        let RequestContext {
            path,
            route,
            started,
            head,
            ..
        } = &self.context;
        if head.resume_after.is_some() {
            return;
        }
        let took_ms = util::millis(started.elapsed());
        path.answer_times.borrow_mut().record(&route.name, took_ms);
    }

    /// Records that the answer of `upstream` broke off after its head.
    pub(crate) fn record_broken_answer(&mut self, upstream: &Rc<Upstream>, reason: &str) {
        let path = &self.context.path;
        let now_ms = path.clock.now_ms();
        path.state.record_failure(upstream, reason, now_ms);
        self.record_lost_answer(upstream);
    }

    /// Records that `upstream` lost its answer to this request, and checks whether it is dead.
    fn record_lost_answer(&mut self, upstream: &Rc<Upstream>) {
        let RequestContext {
            path, fingerprint, ..
        } = &self.context;
        let now_ms = path.clock.now_ms();
        path.state
            .record_lost_answer(upstream, *fingerprint, now_ms);
        death_check::spawn(path, upstream.clone(), self.trial.take());
    }

    /// Records that `upstream` brought the first event of a stream, unless the stream began before. Returns
    /// once the event may be passed on.
    pub(crate) async fn record_first_event(&mut self, upstream: &Upstream) {
        if self.origin.is_some() {
            return;
        }
        let origin = upstream.origin();
        let RequestContext {
            path, head, route, ..
        } = &self.context;
        let is_resumable = route.repeat == Repeat::Stream { resumable: true };
        self.origin = Some(origin.clone());
        if let Some(id) = head.request_id.as_deref().filter(|_| is_resumable) {
            stream_origins::record(path, id, &origin).await;
        }
    }

    /// Whether the request may run again after a run that may have begun.
    pub(crate) fn may_retry(&self) -> bool {
        let left = self.runs + self.left_to_sender < self.context.route.max_attempts;
        !self.context.route.repeat.at_most_once() && left
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.context
            .deadline
            .saturating_duration_since(Instant::now())
    }
}
