//! Calls of one attempt, and when a call is given up for another.

use std::time::Duration;

use futures_util::pin_mut;

use crate::event::Kind;
use crate::path::attempts::choice::Choice;
use crate::path::attempts::{Attempts, MIN_REMAINING, RequestContext};
use crate::path::call::{BufferedReply, Call, CallError, FailureKind, Reply, UpstreamClient};
use crate::path::dialect::{CallHead, Dialect, Records};
use crate::path::upstreams::Upstream;
use crate::time_limit::within;

/// An attempt of a repeatable request takes long after this multiple of its latency objective, well above the
/// latency of a healthy upstream.
const ATTEMPT_TIMEOUT_FACTOR: u64 = 2;
/// Lower bound of that time.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);
/// Share of the latency objective that must be left for another attempt. Most answers take far less than the
/// whole objective.
const NEEDED_SHARE: f64 = 0.25;
/// Lowest priority that upstreams accept.
const LOWEST_PRIORITY: u8 = 9;

impl<D: Dialect + Records> Attempts<D> {
    /// Calls an upstream, and gives the call up if it takes long and another upstream can take the request.
    ///
    /// Failure guarded against: an upstream falls silent for a second. Its calls are given up, and then the
    /// retry budget or the lack of an eligible upstream refuses the next attempt, though the first one would
    /// have been answered.
    pub(super) async fn call_or_replace(
        &mut self,
        choice: &Choice,
        resume_after: Option<u64>,
    ) -> Result<Reply, CallError> {
        let Some(limit) = self.attempt_timeout() else {
            return self.call(choice, resume_after).await;
        };
        let reason = format!("no answer within {} ms", limit.as_millis());
        {
            let call = self.call(choice, resume_after);
            pin_mut!(call);
            let mut waits = 0_u32;
            loop {
                match within(limit, &mut call).await {
                    Ok(answered) => return answered,
                    Err(_) => waits += 1,
                }
                if waits == 1 {
                    self.record_silence(&choice.upstream, &reason);
                }
                if self.reserve_retry(&choice.upstream) {
                    break;
                }
                self.emit(
                    Kind::RequestKept,
                    &choice.upstream.id,
                    &format!("{reason}, and no other upstream can take it"),
                );
            }
        }
        self.is_retry_reserved = true;
        Err(CallError {
            kind: FailureKind::Lost,
            reason,
            timed_out: true,
        })
    }

    /// Charges the retry budget if an upstream other than `current` can take the request now and has time to
    /// answer.
    fn reserve_retry(&self, current: &Upstream) -> bool {
        let upstreams = self.context.path.replica.upstreams_fresh();
        let RequestContext {
            path,
            route,
            service,
            ..
        } = &self.context;
        let needed = Duration::from_millis(route.objective_ms).mul_f64(NEEDED_SHARE);
        let may_try = self.remaining() >= needed.max(MIN_REMAINING)
            && upstreams.may_decide()
            && !path.state.is_cut_off(service)
            && self.quarantine_ms().is_none()
            && !self.is_suspected();
        may_try && self.choose(Some(&current.id)).is_some() && self.take_retry()
    }

    pub(super) fn take_retry(&self) -> bool {
        self.context.path.state.take_retry(&self.context.service)
    }

    /// Records that the call beside an answer was dropped: if it was sent, the request may run there.
    pub(crate) fn abandon_call(&mut self) {
        self.kept = None;
        let called = self.calling.take();
        if let Some(called) = called.filter(|_| self.is_sent.get()) {
            self.delivered_to.push(called);
            self.runs += 1;
        }
    }

    /// Records that `upstream` has been silent for long, as `reason` says. It may be alive.
    pub(crate) fn record_silence(&self, upstream: &Upstream, reason: &str) {
        let RequestContext { path, .. } = &self.context;
        let now_ms = path.clock.now_ms();
        path.state.record_overload(upstream, reason, now_ms);
    }

    async fn call(&self, choice: &Choice, resume_after: Option<u64>) -> Result<Reply, CallError> {
        let context = &self.context;
        let remaining = self.remaining();
        let account = context.account.as_ref();
        let route = &context.route;
        let deployment = context.path.state.deployment();
        let account_priority = account.and_then(|a| a.priority);
        let rank = deployment.rank(&context.service, account_priority, route.priority);
        let head = CallHead {
            upstream_id: &choice.upstream.id,
            account: account.map(|a| &*a.name),
            remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            resume_after,
            fetch_from: choice.fetch_from,
            priority: route.cached_prompts.then_some(rank.min(LOWEST_PRIORITY)),
        };
        let call = Call {
            request: &context.parts,
            headers: D::call_headers(&context.parts.headers, &head),
            body: context.body.clone(),
            request_id: context.head.request_id.as_deref(),
            new_connection: context.route.repeat.at_most_once(),
            timeout: remaining,
            is_sent: &self.is_sent,
        };
        let client = UpstreamClient {
            state: &context.path.state,
            connections: &context.path.connections,
            quota: self.connection_quota(),
            clock: context.path.clock,
            upstreams_fresh: context.path.replica.upstreams_fresh(),
        };
        client.call::<D>(choice.upstream.clone(), call).await
    }

    /// Returns the time after which an attempt is given up if another one can follow.
    fn attempt_timeout(&self) -> Option<Duration> {
        let route = &self.context.route;
        let is_last = self.runs + self.left_to_sender + 1 >= route.max_attempts;
        let may_retry_elsewhere = self.context.path.state.decisions().ask_elsewhere;
        if route.repeat.at_most_once() || is_last || !may_retry_elsewhere {
            return None;
        }
        Some(self.attempt_limit())
    }

    /// Time after which an attempt takes long.
    fn attempt_limit(&self) -> Duration {
        let objective_ms = self.context.route.objective_ms;
        let limit = Duration::from_millis(objective_ms * ATTEMPT_TIMEOUT_FACTOR);
        limit.max(MIN_ATTEMPT_TIMEOUT)
    }

    /// Reads a whole answer. Returns `None` if it breaks off, or takes long and another upstream can take the
    /// request.
    ///
    /// Failure guarded against: an upstream sends an answer that never ends, a byte at a time, and no time is
    /// left for another one.
    pub(super) async fn buffer_or_replace(&mut self, reply: Reply) -> Option<BufferedReply> {
        let current = reply.upstream().cloned();
        let path = self.context.path.clone();
        let whole = reply.buffer(self.remaining(), &path.answer_bytes);
        let Some(current) = current.filter(|_| self.may_retry()) else {
            return whole.await;
        };
        let limit = self.attempt_limit();
        pin_mut!(whole);
        loop {
            if let Ok(whole) = within(limit, &mut whole).await {
                return whole;
            }
            if self.reserve_retry(&current) {
                self.is_retry_reserved = true;
                return None;
            }
        }
    }
}
