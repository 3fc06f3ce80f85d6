//! Attempts of one request: which upstream is tried next, and when to stop.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::StatusCode;
use http::request::Parts;

use crate::decide::connections::ConnectionQuota;
use crate::decide::refusal::{Cause, RunState, jittered_ms};
use crate::decide::spread::{self, Bound, Counts, Selection};
use crate::event::{Kind, chat_name};
use crate::path::RequestPath;
use crate::path::admission_queue::Permit;
use crate::path::call::{BufferedReply, Call, CallError, FailureKind, Reply, UpstreamClient};
use crate::path::dialect::{CallHead, CallerHead, Dialect, Records};
use crate::path::refusal::Refused;
use crate::path::regions::AllowedRegions;
use crate::path::router_state::Tried;
use crate::path::routes::{Account, Route};
use crate::path::upstreams::Upstream;
use crate::schema::settings::Decisions;
use crate::util::{self, Name};

/// Maximum number of upstreams tried for one request. Each attempt costs a round trip, and after
/// this many rejections the pool is most likely full, so a quick refusal serves the caller better.
const MAX_UPSTREAMS_TRIED: usize = 4;
/// Minimum remaining time for an attempt. With less, the answer would arrive after the deadline.
const MIN_REMAINING: Duration = Duration::from_millis(20);
/// Least base of `Retry-After` if all upstreams of a service are full or unreachable: the duration
/// of a few requests.
const RETRY_AFTER_MS: u64 = 300;
/// An attempt of a repeatable request is abandoned after this multiple of its latency objective,
/// well above the latency of a healthy upstream.
const ATTEMPT_TIMEOUT_FACTOR: u64 = 2;
/// Lower bound of the time until an attempt is abandoned.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);
/// Lowest priority that upstreams accept.
const LOWEST_PRIORITY: u8 = 9;

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
}

/// State of the attempts of a request.
pub(crate) struct Attempts<D> {
    pub(crate) context: RequestContext<D>,
    tried: Vec<Name>,
    /// Number of upstreams that may have run the request.
    runs: u32,
    /// Number of upstreams that may have received the request.
    deliveries: u32,
    /// Released at the end of the answer.
    _permit: Permit,
}

/// Destination of the next attempt.
struct Choice {
    upstream: Rc<Upstream>,
    /// Upstream from which the chosen one fetches the cached shared part of the prompt.
    fetch_from: Option<SocketAddr>,
}

/// Answer to forward to the caller.
pub(crate) enum UpstreamAnswer {
    /// Completely read answer.
    Buffered(BufferedReply),
    /// Event stream of which only the head has been read.
    Stream(Reply),
}

impl<D: Dialect + Records> Attempts<D> {
    pub(crate) fn new(context: RequestContext<D>, permit: Permit) -> Self {
        Self {
            context,
            tried: Vec::new(),
            runs: 0,
            deliveries: 0,
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
            let upstream = reply.upstream.clone();
            match reply.buffer(self.remaining()).await {
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
                    let now_ms = self.context.path.clock.now_ms();
                    self.context
                        .path
                        .state
                        .record_failure(&upstream, &reason, now_ms);
                    if !self.may_retry() {
                        return Err(self.refuse(Cause::UpstreamFailed, reason));
                    }
                }
            }
            self.emit(Kind::RequestRetried, &upstream.id, &reason);
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

    /// Returns the answer of the next upstream. After the failure of a run that may have begun, the
    /// next attempt resumes after event `resume_after`.
    pub(crate) async fn next(&mut self, resume_after: Option<u64>) -> Result<Reply, Refused> {
        loop {
            if self.remaining() < MIN_REMAINING {
                return Err(self.refuse(
                    Cause::Deadline,
                    "not enough time left until the deadline".to_owned(),
                ));
            }
            let Some(choice) = self.choose() else {
                return Err(self.refuse_without_upstream());
            };
            if self.deliveries > 0 && !self.context.path.state.take_retry(&self.context.service) {
                let detail = "retry budget of the fleet is exhausted".to_owned();
                // All upstreams rejected the request.
                let cause = if self.runs == 0 {
                    Cause::Full
                } else {
                    Cause::UpstreamFailed
                };
                return Err(self.refuse(cause, detail));
            }
            if self.deliveries == 0 && self.tried.is_empty() {
                let routers = self.context.path.routers();
                self.context
                    .path
                    .state
                    .count_first_try(&self.context.service, routers);
            }
            let upstream = choice.upstream.clone();
            self.tried.push(upstream.id.clone());
            let failed = match self.call(&choice, resume_after).await {
                Ok(reply) => {
                    self.deliveries += 1;
                    self.runs += 1;
                    return Ok(reply);
                }
                Err(failed) => failed,
            };
            let now_ms = self.context.path.clock.now_ms();
            let state = &self.context.path.state;
            match failed.kind {
                FailureKind::NotSent => state.record_unreachable(&upstream.id, now_ms),
                FailureKind::Lost => {
                    state.record_lost_answer(&upstream.id, self.context.fingerprint, now_ms)
                }
                FailureKind::Replaced => state.record_replaced(&upstream.id, now_ms),
                FailureKind::Rejected | FailureKind::Withheld => {}
            }
            let kind: &'static str = failed.kind.into();
            let reason = format!("{kind}: {}", failed.reason);
            self.emit(Kind::RequestRetried, &upstream.id, &reason);
            if !matches!(failed.kind, FailureKind::NotSent | FailureKind::Withheld) {
                self.deliveries += 1;
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
            if self.tried.len() >= MAX_UPSTREAMS_TRIED {
                let cause = if failed.kind == FailureKind::Rejected {
                    Cause::Full
                } else {
                    Cause::NoUpstream
                };
                return Err(self.refuse(cause, failed.reason));
            }
        }
    }

    /// Returns the refusal if no upstream can be chosen.
    fn refuse_without_upstream(&self) -> Refused {
        if let Some(left_ms) = self.pushback_ms() {
            let detail = format!("all upstreams want no requests for {left_ms} ms");
            return self.refuse(Cause::Full, detail);
        }
        let (state, quota) = (&self.context.path.state, self.connection_quota());
        let is_full = state.has_full_upstream(&self.context.service, quota.open);
        let cause = if is_full {
            Cause::Full
        } else {
            Cause::NoUpstream
        };
        let attempts = self.tried.len();
        self.refuse(
            cause,
            format!("no eligible upstream left after {attempts} attempts"),
        )
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
            timeout: self.attempt_timeout().unwrap_or(remaining).min(remaining),
        };
        let client = UpstreamClient {
            state: &context.path.state,
            connections: &context.path.connections,
            quota: self.connection_quota(),
            clock: context.path.clock,
        };
        client.call::<D>(choice.upstream.clone(), call).await
    }

    /// Returns the time limit of one attempt while another attempt may still follow.
    fn attempt_timeout(&self) -> Option<Duration> {
        let route = &self.context.route;
        let is_last = self.runs + 1 >= route.max_attempts;
        let may_retry_elsewhere = self.context.path.state.decisions().ask_elsewhere;
        if route.repeat.at_most_once() || is_last || !may_retry_elsewhere {
            return None;
        }
        let attempt_timeout = Duration::from_millis(route.objective_ms * ATTEMPT_TIMEOUT_FACTOR);
        Some(attempt_timeout.max(MIN_ATTEMPT_TIMEOUT))
    }

    /// Connections that this router may open to each upstream of the service.
    fn connection_quota(&self) -> ConnectionQuota {
        let path = &self.context.path;
        path.state
            .connection_quota(&self.context.service, path.routers())
    }

    fn choose(&self) -> Option<Choice> {
        let context = &self.context;
        let now_ms = context.path.clock.now_ms();
        let tried = Tried {
            upstreams: &self.tried,
            may_repeat: self.runs > 0,
        };
        let max_open = self.connection_quota().open;
        let state = &context.path.state;
        let allowed_regions = self.allowed_regions();
        let (pool, candidates) =
            state.pool(&context.service, &tried, &allowed_regions, max_open, now_ms);
        let decisions = state.decisions();
        let selection = match shared_part(&context.head.prompt_parts) {
            Some(part) if context.route.cached_prompts && decisions.part_order => {
                spread::by_part(part, &candidates, bound(decisions))?
            }
            _ => {
                let typical_ms = context.path.queues.typical_ms(&context.service);
                let counts = Counts::of_age(state.load_report_age_ms(), typical_ms);
                Selection {
                    at: spread::by_load(&candidates, counts, &mut rand::rng())?,
                    source: None,
                }
            }
        };
        Some(Choice {
            upstream: pool.upstreams()[selection.at].clone(),
            fetch_from: selection
                .source
                .filter(|_| decisions.fetch)
                .map(|at| pool.upstreams()[at].addr),
        })
    }

    /// Regions that the request may go to, by its route and by its account.
    fn allowed_regions(&self) -> [&AllowedRegions; 2] {
        let account = self.context.account.as_ref();
        let account_regions = account.map_or(&None, |a| &a.allowed_regions);
        [&self.context.route.allowed_regions, account_regions]
    }

    /// Time until an upstream takes requests again, if all of them want none for a while.
    fn pushback_ms(&self) -> Option<u64> {
        let context = &self.context;
        let now_ms = context.path.clock.now_ms();
        let state = &context.path.state;
        state.pushback_ms(&context.service, &self.allowed_regions(), now_ms)
    }

    /// Whether the request may run again after a run that may have begun.
    pub(crate) fn may_retry(&self) -> bool {
        !self.context.route.repeat.at_most_once() && self.runs < self.context.route.max_attempts
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.context
            .deadline
            .saturating_duration_since(Instant::now())
    }

    /// Builds the final refusal. Its run state is "not run" only if no upstream can have run the
    /// request.
    fn refuse(&self, cause: Cause, detail: String) -> Refused {
        let (run, retry_after_ms) = if self.runs > 0 {
            (RunState::Unknown, 0)
        } else {
            let base_ms = self.pushback_ms().unwrap_or(0).max(RETRY_AFTER_MS);
            (RunState::NotRun, jittered_ms(base_ms, &mut rand::rng()))
        };
        Refused {
            cause,
            run,
            retry_after_ms,
            detail,
        }
    }

    /// Emits an event for a decision about this request, with its reason and the state that it was
    /// based on.
    pub(crate) fn emit(&self, kind: Kind, upstream: &str, reason: &str) {
        let context = &self.context;
        context.path.events.emit(kind, |e| {
            e.request_id = context.head.request_id.clone().unwrap_or_default();
            e.account = context
                .account
                .as_ref()
                .map_or_else(String::new, |a| a.name.to_string());
            e.chat = shared_part(&context.head.prompt_parts).map_or_else(String::new, chat_name);
            e.upstream = upstream.to_owned();
            e.attempt = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
            e.took_us = util::micros(context.started.elapsed());
            let now_ms = context.path.clock.now_ms();
            let notices = context.path.state.describe_notices(upstream, now_ms);
            e.detail = format!("{reason}; {}{notices}", self.describe_state());
        });
    }

    /// Describes the state that a decision was based on, and its age.
    fn describe_state(&self) -> String {
        let context = &self.context;
        let position = context.path.replica.position();
        format!(
            "route {}, service {}, configuration {} read {} ms ago, upstreams at {} read {} ms ago, \
             {} ms left",
            context.route.name,
            context.service,
            position.config_version,
            position.config_age_ms,
            position.upstreams_at,
            position.upstreams_age_ms,
            self.remaining().as_millis(),
        )
    }
}

fn bound(decisions: Decisions) -> Bound {
    if decisions.load_bound {
        Bound::ByMean
    } else {
        Bound::BySlots
    }
}

/// Returns the last prompt part that other requests may share. The very last part belongs to this
/// request alone.
fn shared_part(prompt_parts: &[u64]) -> Option<u64> {
    let at = prompt_parts.len().checked_sub(2)?;
    prompt_parts.get(at).copied()
}
