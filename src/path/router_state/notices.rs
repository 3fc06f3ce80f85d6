//! What upstreams announced about themselves in their answers to this router.

use std::collections::HashSet;

use crate::decide::Incarnation;
use crate::decide::brittle::{Frailty, FrailtyChange};
use crate::fleet::gossip::Publish;
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
        self.record_frailty(upstream, head.frailty, now_ms);
    }

    fn record_frailty(&self, upstream: &Upstream, frailty: Frailty, now_ms: u64) {
        if let Frailty::Bears(_) = frailty {
            stats::brittle_notice();
        }
        let mut brittle = self.brittle.borrow_mut();
        if frailty == Frailty::None && brittle.is_empty() {
            return;
        }
        match brittle.record(&upstream.incarnation(), &upstream.service, frailty, now_ms) {
            FrailtyChange::Same => {}
            FrailtyChange::Bears(borne) => {
                log::info!(upstream = &*upstream.id, borne; "upstream ends when it rejects more requests in a second");
            }
            FrailtyChange::Ended => {
                log::info!(upstream = &*upstream.id; "upstream bears rejections again");
            }
        }
    }

    fn record_leaving(&self, upstream: &Upstream, now_ms: u64) {
        stats::leaving_notice();
        if self.upstreams.borrow_mut().record_leaving(upstream, now_ms) {
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

    /// Exchanges leaving upstreams with the other routers, which report those with the digests
    /// `reported`.
    ///
    /// Failure guarded against: the log is away, and an upstream that shuts down has answered some
    /// routers. Each of the others sends it requests until one is answered.
    pub(crate) fn exchange_leaving(&self, reported: &HashSet<u32>) {
        let mut upstreams = self.upstreams.borrow_mut();
        let before = upstreams.reported_leaving();
        upstreams.set_reported_leaving(reported);
        let count = upstreams.reported_leaving();
        if count != before {
            log::info!(upstreams = count; "upstreams that shut down, as known from other routers alone");
        }
        let announced = upstreams.announced_digests();
        let mut published = self.published_leaving.borrow_mut();
        if announced != *published {
            published.clone_from(&announced);
            self.gossip.publish(Publish::AnnouncedLeaving(announced));
        }
    }

    /// Describes the notices of upstream `id` that hold now, for events.
    pub(crate) fn describe_notices(&self, id: &str, now_ms: u64) -> String {
        let upstreams = self.upstreams.borrow();
        let Some(upstream) = upstreams.get(id) else {
            return String::new();
        };
        let leaving_ms = upstreams.leaving_ms(upstream, now_ms);
        let pushbacks = self.pushbacks.borrow();
        let left_ms = pushbacks.left_ms(&upstream.incarnation(), now_ms);
        let leaving = leaving_ms.map(|ms| format!(", announced its shutdown {ms} ms ago"));
        let pushback = left_ms.map(|ms| format!(", wants no requests for {ms} ms"));
        let brittle = self.brittle.borrow();
        let brittle = brittle.borne(&upstream.incarnation(), &upstream.service);
        let brittle = brittle.map(|borne| format!(", bears {borne} rejections in a second"));
        leaving.unwrap_or_default() + &pushback.unwrap_or_default() + &brittle.unwrap_or_default()
    }

    pub(super) fn sweep_notices(&self, now_ms: u64) {
        self.upstreams.borrow_mut().sweep(now_ms);
        self.pushbacks.borrow_mut().sweep(now_ms);
        let upstreams = self.upstreams.borrow();
        let is_listed = |upstream: &Incarnation| {
            let listed = upstreams.get(&upstream.id);
            listed.is_some_and(|u| u.started_ms == upstream.started_ms)
        };
        self.brittle.borrow_mut().sweep(is_listed, now_ms);
        self.gates
            .borrow_mut()
            .retain(|upstream, gate| is_listed(upstream) || !gate.is_idle(now_ms));
    }

    /// Whether a request that was meant for `upstream` may still be sent to it.
    ///
    /// Failure guarded against: while a connection is opened, the upstream announces its shutdown
    /// or asks for a time without requests in another answer, or its record or its data centre is
    /// withdrawn, and a request that was assigned before reaches it after.
    pub(crate) fn still_takes_work(&self, upstream: &Upstream, now_ms: u64) -> bool {
        let upstreams = self.upstreams.borrow();
        let listed = upstreams.get(&upstream.id);
        let is_listed =
            listed.is_some_and(|u| u.started_ms == upstream.started_ms && upstreams.takes_work(u));
        let pushbacks = self.pushbacks.borrow();
        is_listed
            && pushbacks.left_ms(&upstream.incarnation(), now_ms).is_none()
            && !self.health.borrow().is_replaced(upstream)
            && !self.evacuations.borrow().contains(&upstream.data_center)
    }
}
