//! One request's tries: which upstream is next, and when to stop.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Parts;

use crate::decide::connections::ConnectionQuota;
use crate::decide::refusal::{Cause, RunState, jittered_ms};
use crate::decide::spread::{self, Bound, Counts, Selection};
use crate::event::{Kind, chat_name};
use crate::path::Path;
use crate::path::call::{Call, CallFailed, Caller, Fate, Reply, Whole};
use crate::path::dialect::{CallHead, CallerHead, Dialect, Records};
use crate::path::gate::Ticket;
use crate::path::refusal::Refused;
use crate::path::router_state::Tried;
use crate::path::routes::{Account, Route};
use crate::path::upstreams::Upstream;
use crate::schema::settings::Decisions;
use crate::util::{self, Name};

/// Upstreams that one request may be refused by or fail to reach. Each costs a round trip; a pool
/// that turns three away is full, and the caller is better told so.
const MAX_TRIES: usize = 4;
/// Taken off a deadline: no upstream is asked for less, as its answer would come too late.
const MIN_REMAINING: Duration = Duration::from_millis(20);
/// When to come back to a service all of whose upstreams are full or gone. A few requests' time.
const COME_BACK_MS: u64 = 300;
/// A repeatable request is asked for elsewhere after this many times its objective without an
/// answer: well past what a healthy upstream takes.
const STALL_FACTOR: u64 = 2;
/// Never sooner than this.
const MIN_STALL: Duration = Duration::from_millis(250);
/// Priorities of upstreams end here.
const LOWEST_PRIORITY: u8 = 9;

/// What all tries of a request share.
pub(crate) struct Asked<D> {
    pub(crate) path: Rc<Path<D>>,
    pub(crate) parts: Parts,
    pub(crate) head: CallerHead,
    pub(crate) body: Bytes,
    pub(crate) route: Rc<Route>,
    pub(crate) service: Name,
    pub(crate) account: Option<Rc<Account>>,
    /// Known again when its caller sends it again.
    pub(crate) fingerprint: u64,
    pub(crate) started: Instant,
    /// When the caller, or the route, gives the request up.
    pub(crate) deadline: Instant,
}

/// A request's tries so far.
pub(crate) struct Attempts<D> {
    pub(crate) asked: Asked<D>,
    tried: Vec<Name>,
    /// Upstreams that may have run it.
    runs: u32,
    /// Upstreams that it may have reached.
    arrivals: u32,
    /// Held until the answer's end.
    _ticket: Ticket,
}

/// Where the next try goes.
struct Choice {
    upstream: Rc<Upstream>,
    /// Holds what the prompt shares with others.
    fetch_from: Option<SocketAddr>,
}

/// An answer to pass on.
pub(crate) enum Answered {
    /// Read whole.
    Whole(Whole),
    /// A stream of events whose head is there.
    Stream(Reply),
}

impl<D: Dialect + Records> Attempts<D> {
    pub(crate) fn new(asked: Asked<D>, ticket: Ticket) -> Self {
        Self {
            asked,
            tried: Vec::new(),
            runs: 0,
            arrivals: 0,
            _ticket: ticket,
        }
    }

    /// Tries upstreams until one answers or no other may be tried.
    pub(crate) async fn answer(&mut self) -> Result<Answered, Refused> {
        let mut failure: Option<Whole> = None;
        let mut why = String::new();
        loop {
            let reply = match self.next(self.asked.head.resume_after).await {
                Ok(reply) => reply,
                Err(refused) => {
                    // What an upstream said of its failure is truer than any word of ours.
                    return failure.map(Answered::Whole).ok_or(refused);
                }
            };
            let is_stream = self.asked.route.repeat.is_stream() && reply.parts.status.is_success();
            if is_stream {
                return Ok(Answered::Stream(reply));
            }
            let upstream = reply.upstream.clone();
            match reply.whole(self.remaining()).await {
                Some(whole) if !whole.parts.status.is_server_error() => {
                    return Ok(Answered::Whole(whole));
                }
                Some(whole) => {
                    if !self.may_run_again() {
                        return Ok(Answered::Whole(whole));
                    }
                    why.clear();
                    why.push_str(whole.parts.status.as_str());
                    failure = Some(whole);
                }
                None => {
                    "answer broke off".clone_into(&mut why);
                    let now_ms = self.asked.path.clock.now_ms();
                    self.asked.path.state.failed(&upstream, &why, now_ms);
                    if !self.may_run_again() {
                        return Err(self.gave_up(Cause::UpstreamFailed, why));
                    }
                }
            }
            self.note(Kind::RequestRetried, &upstream.id, &why);
        }
    }

    /// The next upstream's answer. After a failure of a run that may have begun, the next try goes
    /// on after event `resume_after`.
    pub(crate) async fn next(&mut self, resume_after: Option<u64>) -> Result<Reply, Refused> {
        loop {
            if self.remaining() < MIN_REMAINING {
                return Err(self.gave_up(Cause::Deadline, "no time left".to_owned()));
            }
            let Some(choice) = self.choose() else {
                let detail = format!("no upstream left after {}", self.tried.len());
                return Err(self.gave_up(self.no_choice(), detail));
            };
            if self.arrivals > 0 && !self.asked.path.state.take_retry(&self.asked.service) {
                let detail = "the fleet's retries are used up".to_owned();
                // Nobody ran it: upstreams turned it away.
                let cause = if self.runs == 0 {
                    Cause::Full
                } else {
                    Cause::UpstreamFailed
                };
                return Err(self.gave_up(cause, detail));
            }
            if self.arrivals == 0 && self.tried.is_empty() {
                let routers = self.asked.path.routers();
                self.asked
                    .path
                    .state
                    .first_try(&self.asked.service, routers);
            }
            let upstream = choice.upstream.clone();
            self.tried.push(upstream.id.clone());
            let failed = match self.call(&choice, resume_after).await {
                Ok(reply) => {
                    self.arrivals += 1;
                    self.runs += 1;
                    return Ok(reply);
                }
                Err(failed) => failed,
            };
            let now_ms = self.asked.path.clock.now_ms();
            let state = &self.asked.path.state;
            match failed.fate {
                Fate::NotSent => state.unreachable(&upstream.id, now_ms),
                Fate::Lost => state.lost_answer(&upstream.id, self.asked.fingerprint, now_ms),
                Fate::Replaced => state.found_replaced(&upstream.id, now_ms),
                Fate::Rejected => {}
            }
            let fate: &'static str = failed.fate.into();
            let why = format!("{fate}: {}", failed.why);
            self.note(Kind::RequestRetried, &upstream.id, &why);
            if failed.fate != Fate::NotSent {
                self.arrivals += 1;
            }
            if failed.fate == Fate::Lost {
                self.runs += 1;
                if !self.may_run_again() {
                    let is_late = self.remaining() < MIN_REMAINING;
                    let cause = if is_late {
                        Cause::Deadline
                    } else {
                        Cause::UpstreamFailed
                    };
                    return Err(self.gave_up(cause, failed.why));
                }
            }
            if self.tried.len() >= MAX_TRIES {
                let cause = if failed.fate == Fate::Rejected {
                    Cause::Full
                } else {
                    Cause::NoUpstream
                };
                return Err(self.gave_up(cause, failed.why));
            }
        }
    }

    /// Why no upstream can be chosen.
    fn no_choice(&self) -> Cause {
        let (state, share) = (&self.asked.path.state, self.connection_share());
        if state.is_full(&self.asked.service, share.open) {
            Cause::Full
        } else {
            Cause::NoUpstream
        }
    }

    async fn call(&self, choice: &Choice, resume_after: Option<u64>) -> Result<Reply, CallFailed> {
        let asked = &self.asked;
        let remaining = self.remaining();
        let account = asked.account.as_ref();
        let route = &asked.route;
        let deployment = asked.path.state.deployment();
        let account_priority = account.and_then(|a| a.priority);
        let rank = deployment.rank(&asked.service, account_priority, route.priority);
        let head = CallHead {
            upstream_id: &choice.upstream.id,
            account: account.map(|a| &*a.name),
            remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            resume_after,
            fetch_from: choice.fetch_from,
            priority: route.cached_prompts.then_some(rank.min(LOWEST_PRIORITY)),
        };
        let call = Call {
            request: &asked.parts,
            headers: D::call_headers(&asked.parts.headers, &head),
            body: asked.body.clone(),
            request_id: asked.head.request_id.as_deref(),
            fresh: asked.route.repeat.at_most_once(),
            timeout: self.stall().unwrap_or(remaining).min(remaining),
        };
        let caller = Caller {
            state: &asked.path.state,
            links: &asked.path.links,
            share: self.connection_share(),
            clock: asked.path.clock,
        };
        caller.call::<D>(choice.upstream.clone(), call).await
    }

    /// How long one try may take while another could still follow.
    fn stall(&self) -> Option<Duration> {
        let route = &self.asked.route;
        let is_last = self.runs + 1 >= route.max_attempts;
        let may_ask_elsewhere = self.asked.path.state.decisions().ask_elsewhere;
        if route.repeat.at_most_once() || is_last || !may_ask_elsewhere {
            return None;
        }
        let stall = Duration::from_millis(route.objective_ms * STALL_FACTOR);
        Some(stall.max(MIN_STALL))
    }

    /// What this router may have open to each upstream of the service.
    fn connection_share(&self) -> ConnectionQuota {
        let path = &self.asked.path;
        path.state.connections(&self.asked.service, path.routers())
    }

    fn choose(&self) -> Option<Choice> {
        let asked = &self.asked;
        let now_ms = asked.path.clock.now_ms();
        let tried = Tried {
            upstreams: &self.tried,
            may_return: self.runs > 0,
        };
        let max_open = self.connection_share().open;
        let state = &asked.path.state;
        let of_account = asked.account.as_ref().map_or(&None, |a| &a.allowed_regions);
        let allowed_regions = [&asked.route.allowed_regions, of_account];
        let (pool, candidates) =
            state.pool(&asked.service, &tried, &allowed_regions, max_open, now_ms);
        let decisions = state.decisions();
        let placed = match shared_part(&asked.head.prompt_parts) {
            Some(part) if asked.route.cached_prompts && decisions.part_order => {
                spread::by_part(part, &candidates, bound(decisions))?
            }
            _ => {
                let typical_ms = asked.path.gates.typical_ms(&asked.service);
                let counts = Counts::of_age(state.counts_age_ms(), typical_ms);
                Selection {
                    at: spread::by_load(&candidates, counts, &mut rand::rng())?,
                    source: None,
                }
            }
        };
        Some(Choice {
            upstream: pool[placed.at].clone(),
            fetch_from: placed
                .source
                .filter(|_| decisions.fetch)
                .map(|at| pool[at].addr),
        })
    }

    /// Whether a run that may have begun leaves room for another.
    pub(crate) fn may_run_again(&self) -> bool {
        !self.asked.route.repeat.at_most_once() && self.runs < self.asked.route.max_attempts
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.asked
            .deadline
            .saturating_duration_since(Instant::now())
    }

    /// The refusal that ends the request: it says "not run" only if no upstream can have run it.
    fn gave_up(&self, cause: Cause, detail: String) -> Refused {
        let (run, retry_after_ms) = if self.runs > 0 {
            (RunState::Unknown, 0)
        } else {
            (
                RunState::NotRun,
                jittered_ms(COME_BACK_MS, &mut rand::rng()),
            )
        };
        Refused {
            cause,
            run,
            retry_after_ms,
            detail,
        }
    }

    /// One line for a decision about this request: what was decided, why, and what it rests on.
    pub(crate) fn note(&self, kind: Kind, upstream: &str, why: &str) {
        let asked = &self.asked;
        asked.path.events.emit(kind, |e| {
            e.request_id = asked.head.request_id.clone().unwrap_or_default();
            e.account = asked
                .account
                .as_ref()
                .map_or_else(String::new, |a| a.name.to_string());
            e.chat = shared_part(&asked.head.prompt_parts).map_or_else(String::new, chat_name);
            e.upstream = upstream.to_owned();
            e.attempt = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
            e.took_us = util::micros(asked.started.elapsed());
            e.detail = format!("{why}; {}", self.grounds());
        });
    }

    /// What a decision rests on, and how old that is.
    fn grounds(&self) -> String {
        let asked = &self.asked;
        let mark = asked.path.replica.position();
        format!(
            "route {}, service {}, configuration {} read {} ms ago, upstreams at {} read {} ms ago, \
             {} ms left",
            asked.route.name,
            asked.service,
            mark.config_version,
            mark.config_age_ms,
            mark.upstreams_at,
            mark.upstreams_age_ms,
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

/// The last part of a prompt that others may share: the last of all is the request's own.
fn shared_part(prompt_parts: &[u64]) -> Option<u64> {
    let at = prompt_parts.len().checked_sub(2)?;
    prompt_parts.get(at).copied()
}
