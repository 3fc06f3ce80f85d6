//! What upstreams announced about themselves in their answers to this router.

use crate::decide::Incarnation;
use crate::path::dialect::AnswerHead;
use crate::path::router_state::RouterState;
use crate::path::upstreams::Upstream;
use crate::stats;

impl RouterState {
    /// Records what `upstream` announced in an answer.
    pub(crate) fn record_notices(&self, upstream: &Upstream, head: &AnswerHead, now_ms: u64) {
        if head.is_leaving {
            self.record_leaving(upstream, now_ms);
        }
        if let Some(pushback_ms) = head.pushback_ms {
            self.record_pushback(upstream, pushback_ms, now_ms);
        }
    }

    fn record_leaving(&self, upstream: &Upstream, now_ms: u64) {
        stats::leaving_notice();
        let mut leaving = self.leaving.borrow_mut();
        if leaving.record(upstream.incarnation(), now_ms) {
            log::info!(upstream = &*upstream.id; "upstream announces that it is shutting down");
        }
    }

    fn record_pushback(&self, upstream: &Upstream, pushback_ms: u64, now_ms: u64) {
        stats::pushback();
        let mut pushbacks = self.pushbacks.borrow_mut();
        if pushbacks.record(upstream.incarnation(), pushback_ms, now_ms) {
            log::info!(upstream = &*upstream.id, pushback_ms; "upstream wants no requests for a while");
        }
    }

    /// Describes the notices of upstream `id` that hold now, for events.
    pub(crate) fn describe_notices(&self, id: &str, now_ms: u64) -> String {
        let upstreams = self.upstreams.borrow();
        let Some(upstream) = upstreams.get(id).map(|u| u.incarnation()) else {
            return String::new();
        };
        let age_ms = self.leaving.borrow().age_ms(&upstream, now_ms);
        let left_ms = self.pushbacks.borrow().left_ms(&upstream, now_ms);
        let leaving = age_ms.map(|ms| format!(", announced its shutdown {ms} ms ago"));
        let pushback = left_ms.map(|ms| format!(", wants no requests for {ms} ms"));
        leaving.unwrap_or_default() + &pushback.unwrap_or_default()
    }

    pub(super) fn sweep_notices(&self, now_ms: u64) {
        let upstreams = self.upstreams.borrow();
        let is_listed = |upstream: &Incarnation| {
            let listed = upstreams.get(&upstream.id);
            listed.is_some_and(|u| u.started_ms == upstream.started_ms)
        };
        self.leaving.borrow_mut().sweep(is_listed, now_ms);
        self.pushbacks.borrow_mut().sweep(now_ms);
    }
}
