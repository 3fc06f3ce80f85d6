//! Refusals of a request that no upstream answered.

use crate::decide::refusal::{Cause, RunState, jittered_ms};
use crate::path::attempts::Attempts;
use crate::path::dialect::{Dialect, Records};
use crate::path::refusal::{QUARANTINED, RETRY_AFTER_MS, Refused, no_version_left};
use crate::stats::{self, NotResumed};

impl<D: Dialect + Records> Attempts<D> {
    /// Returns the refusal if no upstream can be chosen.
    pub(super) fn refuse_without_upstream(&self) -> Refused {
        if let Some(origin) = self.origin.as_ref()
            && !self.context.path.state.has_version(origin)
        {
            stats::not_resumed(NotResumed::NoUpstream);
            return self.refuse(Cause::NoUpstream, no_version_left(origin));
        }
        if let Some(left_ms) = self.pushback_ms() {
            let detail = format!("all upstreams want no requests for {left_ms} ms");
            return self.refuse(Cause::Full, detail);
        }
        if self.was_rejected_by_brittle {
            let detail = "rejected by a brittle upstream, and no other may take it";
            return self.refuse(Cause::Full, detail.to_owned());
        }
        if self.is_held_back.get() || !self.closed.is_empty() {
            let detail = "brittle upstreams take no more now";
            return self.refuse(Cause::OverBound, detail.to_owned());
        }
        let (state, quota) = (&self.context.path.state, self.connection_quota());
        let is_full = state.has_full_upstream(&self.context.service, quota.open);
        let cause = if is_full {
            Cause::Full
        } else {
            Cause::NoUpstream
        };
        let attempts = self.tried.len();
        let unused = self.unused_versions();
        if unused.is_empty() {
            let detail = format!("no eligible upstream left after {attempts} attempts");
            return self.refuse(cause, detail);
        }
        let detail = format!(
            "no eligible upstream left after {attempts} attempts, and no stream may begin yet at {} new software versions",
            unused.len()
        );
        self.refuse(cause, detail)
    }

    /// Returns the refusal of a request that was quarantined after it arrived.
    pub(super) fn refuse_quarantined(&self, left_ms: u64) -> Refused {
        let detail = QUARANTINED.to_owned();
        let refused = self.refuse(Cause::Quarantined, detail);
        let retry_after_ms = if self.runs > 0 { 0 } else { left_ms };
        Refused {
            retry_after_ms,
            ..refused
        }
    }

    /// Builds the final refusal. Its run state is "not run" only if no upstream can have run the
    /// request.
    pub(crate) fn refuse(&self, cause: Cause, detail: String) -> Refused {
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

    /// Time until an upstream takes requests again, if all of them want none for a while.
    fn pushback_ms(&self) -> Option<u64> {
        let context = &self.context;
        let now_ms = context.path.clock.now_ms();
        let state = &context.path.state;
        let regions = self.allowed_regions();
        let unused = self.unused_versions();
        let bounds = self.bounds(&regions, &unused);
        state.pushback_ms(&context.service, bounds, now_ms)
    }
}
