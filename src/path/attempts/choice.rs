//! The upstream of the next attempt of a request.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::decide::connections::ConnectionQuota;
use crate::decide::spread::{self, Bound, Counts, Selection};
use crate::path::attempts::Attempts;
use crate::path::dialect::{Dialect, Records};
use crate::path::regions::AllowedRegions;
use crate::path::router_state::{Bounds, Tried};
use crate::path::upstreams::Upstream;
use crate::schema::settings::Decisions;
use crate::util::Name;

/// Destination of the next attempt.
pub(super) struct Choice {
    pub(super) upstream: Rc<Upstream>,
    /// Upstream from which the chosen one fetches the cached shared part of the prompt.
    pub(super) fetch_from: Option<SocketAddr>,
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
        let bounds = self.bounds(&regions);
        let (pool, candidates) = state.pool(&context.service, &tried, bounds, max_open, now_ms);
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
        let upstream = pool.upstreams()[selection.at].clone();
        let source = selection.source.map(|at| &pool.upstreams()[at]);
        let source =
            source.filter(|source| decisions.fetch && source.software == upstream.software);
        Some(Choice {
            fetch_from: source.map(|source| source.addr),
            upstream,
        })
    }

    /// Limits that the upstreams of all attempts must be within.
    pub(super) fn bounds<'a>(&'a self, regions: &'a [&'a AllowedRegions]) -> Bounds<'a> {
        Bounds {
            regions,
            origin: self.origin.as_ref(),
        }
    }

    /// Connections that this router may open to each upstream of the service.
    pub(super) fn connection_quota(&self) -> ConnectionQuota {
        let path = &self.context.path;
        path.state
            .connection_quota(&self.context.service, path.routers())
    }

    /// Regions that the request may go to, by its route and by its account.
    pub(super) fn allowed_regions(&self) -> [&AllowedRegions; 2] {
        let account = self.context.account.as_ref();
        let account_regions = account.map_or(&None, |a| &a.allowed_regions);
        [&self.context.route.allowed_regions, account_regions]
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
