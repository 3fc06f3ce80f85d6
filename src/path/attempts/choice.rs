//! The upstream of the next attempt of a request.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::decide::connections::ConnectionQuota;
use crate::decide::spread::{self, Bound, Candidate, Counts, Selection};
use crate::fleet::member::Member;
use crate::path::Home;
use crate::path::attempts::{Attempts, RequestContext};
use crate::path::dialect::{Dialect, Records};
use crate::path::regions::AllowedRegions;
use crate::path::router_state::{Bounds, Tried};
use crate::path::routes;
use crate::path::routes::Repeat;
use crate::path::upstreams::{Pool, Upstream};
use crate::path::versions;
use crate::schema::settings::Decisions;
use crate::util::Name;

/// Homes of brittle upstreams that are asked to send a request. With more, full ones would be asked for long.
const MAX_HOMES_ASKED: usize = 3;

/// Destination of the next attempt.
pub(super) struct Choice {
    pub(super) upstream: Rc<Upstream>,
    /// Upstream from which the chosen one fetches the cached shared part of the prompt.
    pub(super) fetch_from: Option<SocketAddr>,
    /// The router that sends to it, if it is brittle and that isn't this one.
    pub(super) home: Option<Member>,
}

/// Which router may send to a chosen upstream.
enum Sender {
    /// This one.
    Own,
    /// The home of a brittle one.
    Home(Member),
    /// None now.
    None,
}

impl<D: Dialect + Records> Attempts<D> {
    /// Chooses the upstream of the next attempt, or `None` if none is eligible. `kept` is one whose answer is
    /// still waited for.
    pub(super) fn choose(&self, kept: Option<&Name>) -> Option<Choice> {
        let context = &self.context;
        let now_ms = context.path.clock.now_ms();
        let tried = Tried {
            upstreams: &self.tried,
            may_repeat: self.runs > 0,
            kept,
        };
        let max_open = self.connection_quota().open;
        let state = &context.path.state;
        let regions = self.allowed_regions();
        let unused = self.unused_versions();
        let bounds = self.bounds(&regions, &unused);
        let (pool, mut candidates) = state.pool(&context.service, &tried, bounds, max_open, now_ms);
        self.close_brittle(&pool, &mut candidates, now_ms);
        loop {
            let selection = self.select(&candidates)?;
            let upstream = &pool.upstreams()[selection.at];
            let home = match self.sender(upstream, now_ms) {
                Sender::Own => None,
                Sender::Home(home) => Some(home),
                Sender::None => {
                    self.is_held_back.set(true);
                    candidates[selection.at].excluded = true;
                    candidates[selection.at].withheld = true;
                    continue;
                }
            };
            let source = selection.source.map(|at| &pool.upstreams()[at]);
            let source = source
                .filter(|source| state.decisions().fetch && source.software == upstream.software);
            return Some(Choice {
                fetch_from: source.map(|source| source.addr),
                upstream: upstream.clone(),
                home,
            });
        }
    }

    fn select(&self, candidates: &[Candidate]) -> Option<Selection> {
        let context = &self.context;
        let state = &context.path.state;
        let decisions = state.decisions();
        match shared_part(&context.head.prompt_parts) {
            Some(part) if context.route.cached_prompts && decisions.part_order => {
                spread::by_part(part, candidates, bound(decisions))
            }
            _ => {
                let typical_ms = context.path.queues.typical_ms(&context.service);
                let counts = Counts::of_age(state.load_report_age_ms(), typical_ms);
                let at = spread::by_load(candidates, counts, &mut rand::rng())?;
                Some(Selection { at, source: None })
            }
        }
    }

    /// Excludes the upstreams that this request may not be sent to because they, or others, are brittle.
    ///
    /// Failure guarded against: a full service of brittle upstreams rejects a request, and each further
    /// attempt brings another of them nearer to its end.
    fn close_brittle(&self, pool: &Pool, candidates: &mut [Candidate], now_ms: u64) {
        let delegated = self.context.delegated.as_ref();
        let only = delegated.and_then(|d| d.upstream.as_ref());
        let state = &self.context.path.state;
        if only.is_none() && !state.has_brittle() {
            return;
        }
        for (candidate, upstream) in candidates.iter_mut().zip(pool.upstreams()) {
            let is_rejecting =
                self.was_rejected_by_brittle && state.borne(upstream, now_ms).is_some();
            let is_closed = self.closed.contains(&upstream.id);
            if is_rejecting || is_closed || only.is_some_and(|id| *id != upstream.id) {
                candidate.excluded = true;
            }
        }
    }

    fn sender(&self, upstream: &Upstream, now_ms: u64) -> Sender {
        let RequestContext {
            path, delegated, ..
        } = &self.context;
        let Some(borne) = path.state.borne(upstream, now_ms) else {
            return Sender::Own;
        };
        match path.home(upstream) {
            Home::Own if path.state.is_gate_open(upstream, borne, now_ms) => Sender::Own,
            Home::Other(home) => {
                path.state.hand_over(upstream);
                let may_go_there = path.may_delegate_to(&home, &self.allowed_regions());
                if delegated.is_some() || !may_go_there || self.closed.len() >= MAX_HOMES_ASKED {
                    return Sender::None;
                }
                Sender::Home(home)
            }
            Home::Own | Home::Unknown => Sender::None,
        }
    }

    /// Limits that the upstreams of all attempts must be within.
    pub(super) fn bounds<'a>(
        &'a self,
        regions: &'a [&'a AllowedRegions],
        unused: &'a [Option<Name>],
    ) -> Bounds<'a> {
        Bounds {
            regions,
            origin: self.origin.as_ref(),
            unused,
        }
    }

    /// Software versions at which this request may not begin a stream that may be resumed: a router that
    /// resumes it might not know them yet.
    pub(super) fn unused_versions(&self) -> Vec<Option<Name>> {
        let context = &self.context;
        let is_resumable = context.route.repeat == Repeat::Stream { resumable: true };
        if !is_resumable || self.origin.is_some() {
            return Vec::new();
        }
        versions::unused(&context.path, &context.service)
    }

    /// Connections that this router may open to each upstream of the service.
    pub(super) fn connection_quota(&self) -> ConnectionQuota {
        let path = &self.context.path;
        path.state
            .connection_quota(&self.context.service, path.routers())
    }

    /// Regions that the request may go to, by its route and by its account.
    pub(super) fn allowed_regions(&self) -> [&AllowedRegions; 2] {
        let RequestContext { route, account, .. } = &self.context;
        routes::allowed_regions(route, account.as_deref())
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
pub(super) fn shared_part(prompt_parts: &[u64]) -> Option<u64> {
    let at = prompt_parts.len().checked_sub(2)?;
    prompt_parts.get(at).copied()
}
