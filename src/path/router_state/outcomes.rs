//! Outcomes of calls to upstreams, and which upstreams get no work because of them.

use std::collections::HashMap;
use std::rc::Rc;

use rand::seq::IteratorRandom;

use crate::decide::ejection::Change;
use crate::decide::grey::Outcomes;
use crate::decide::reach::Reach;
use crate::fleet::in_flight::FleetInFlight;
use crate::fleet::loads::digest;
use crate::path::router_state::RouterState;
use crate::path::upstreams::{Upstream, Upstreams};
use crate::stats;
use crate::util::Name;

/// Share of a pool's slots in use from which late answers and rejections are attributed to load.
/// Batches that are half full already process prompts between the tokens of other requests.
const LOADED_SHARE: f64 = 0.5;

impl RouterState {
    /// Ejects upstreams whose failure share is too high, by the outcomes that all routers observed.
    pub(crate) fn eject_failing(&self, now_ms: u64) {
        let upstreams = self.upstreams.borrow();
        let reported = reported_outcomes(&upstreams, &self.gossip.in_flight());
        let mut health = self.health.borrow_mut();
        for (service, pool) in upstreams.pools() {
            for (id, share) in health.eject_failing(service, pool, &reported, now_ms) {
                log::info!("upstream {id} Ejected: fails {share:.2} of its calls");
            }
        }
    }

    /// Records that an upstream sent the head of an answer after `took_ms`.
    pub(crate) fn record_answer(&self, upstream: &Upstream, took_ms: u64, now_ms: u64) {
        let pool = self.upstreams.borrow().shared_pool(&upstream.service);
        let mut health = self.health.borrow_mut();
        let change = health.record_answer(upstream, took_ms, &*pool, now_ms);
        if change != Change::None {
            log::info!(
                "upstream {} {change:?}: answer head received after {took_ms} ms",
                upstream.id
            );
        }
    }

    /// Records that no connection to an upstream could be opened.
    pub(crate) fn record_unreachable(&self, upstream: &Upstream, now_ms: u64) {
        self.health
            .borrow_mut()
            .record_unreachable(&upstream.id, now_ms);
        let service = &upstream.service;
        let pool_size = self
            .upstreams
            .borrow()
            .shared_pool(service)
            .upstreams()
            .len();
        let mut reaches = self.reaches.borrow_mut();
        let reach = reaches.entry(service.clone()).or_default();
        if reach.record_unreachable(&upstream.id, pool_size) {
            stats::cut_off(true);
            log::warn!(service = &**service; "no upstream of this service can be reached from here");
        }
    }

    fn pool_size(&self, service: &str) -> usize {
        self.upstreams
            .borrow()
            .shared_pool(service)
            .upstreams()
            .len()
    }

    /// Records that a connection to an upstream was opened.
    pub(crate) fn record_connected(&self, upstream: &Upstream) {
        let pool_size = self.pool_size(&upstream.service);
        let mut reaches = self.reaches.borrow_mut();
        let Some(reach) = reaches.get_mut(&upstream.service) else {
            return;
        };
        if reach.record_connected(&upstream.id, pool_size) {
            stats::cut_off(false);
            log::info!(
                service = &*upstream.service, upstream = &*upstream.id;
                "upstreams of this service can be reached again"
            );
        }
    }

    /// Whether no upstream of `service` can be reached from here.
    pub(crate) fn is_cut_off(&self, service: &str) -> bool {
        let reaches = self.reaches.borrow();
        reaches.get(service).is_some_and(Reach::is_cut_off)
    }

    /// Digests of the services of which no upstream can be reached from here.
    pub(super) fn unreached(&self) -> Vec<u32> {
        let reaches = self.reaches.borrow();
        let cut_off = reaches.iter().filter(|(_, reach)| reach.is_cut_off());
        cut_off.map(|(service, _)| digest(service)).collect()
    }

    /// Upstreams of the services of which none can be reached from here, at most `max` of each.
    pub(crate) fn unreached_upstreams(&self, max: usize) -> Vec<Rc<Upstream>> {
        let reaches = self.reaches.borrow();
        let cut_off = reaches.iter().filter(|(_, reach)| reach.is_cut_off());
        let upstreams = self.upstreams.borrow();
        let chosen = cut_off.flat_map(|(service, _)| {
            let pool = upstreams.shared_pool(service);
            let all = pool.upstreams().iter().cloned();
            all.choose_multiple(&mut rand::rng(), max)
        });
        chosen.collect()
    }

    /// Ends what is known of the paths to services that have no upstreams any more.
    pub(super) fn sweep_reaches(&self) {
        let upstreams = self.upstreams.borrow();
        let mut reaches = self.reaches.borrow_mut();
        reaches.retain(|service, reach| {
            let is_known = !upstreams.shared_pool(service).upstreams().is_empty();
            if !is_known && reach.is_cut_off() {
                stats::cut_off(false);
            }
            is_known
        });
    }

    /// Routers that, by their reports, reach upstreams of `service`.
    pub(crate) fn reaching_routers(&self, service: &str) -> Vec<Name> {
        let in_flight = self.gossip.in_flight();
        in_flight.reaching(digest(service)).cloned().collect()
    }

    /// Records that another incarnation answers at an upstream's address.
    ///
    /// Failure guarded against: an upstream crashes and restarts at its address, and its old entry
    /// stays until it expires, for as long as the log is unavailable. Each request addressed to the
    /// old incarnation is rejected and uses up one of the fleet's retries, until none are left and
    /// callers are refused.
    pub(crate) fn record_replaced(&self, upstream: &Upstream, now_ms: u64) {
        let id = &upstream.id;
        if self.health.borrow_mut().record_replaced(id) {
            log::info!("upstream {id} is gone: another incarnation has its address");
            self.record_death(&upstream.incarnation(), now_ms);
        }
    }

    /// Records that an upstream answered a call late or rejected it.
    ///
    /// Failure guarded against: demand exceeds the capacity of a pool. Its upstreams answer late
    /// and reject requests; if they are ejected for it one by one, the others receive their load
    /// too, and the pool runs at two thirds of its capacity for as long as the ejections last. An
    /// overloaded pool says nothing about a single upstream.
    pub(crate) fn record_overload(&self, upstream: &Upstream, reason: &str, now_ms: u64) {
        if !self.is_under_load(&upstream.service) {
            self.record_failure(upstream, reason, now_ms);
        }
    }

    /// Whether the load of `service` explains late answers and rejections by its upstreams.
    fn is_under_load(&self, service: &str) -> bool {
        let pool = self.upstreams.borrow().shared_pool(service);
        let load = self.gossip.in_flight();
        let reported = self.reported_counts(&pool, &load);
        let reported: f64 = reported.iter().map(|(_, count)| count).sum();
        let running = self.running.borrow();
        let own = running.iter().filter(|(id, _)| pool.position(id).is_some());
        let own: u32 = own.map(|(_, count)| count).sum();
        let slots = pool.candidates().iter().map(|c| f64::from(c.slots));
        let slots: f64 = slots.sum();
        slots > 0.0 && f64::from(own) + reported >= slots * LOADED_SHARE
    }

    /// Records that an upstream answered with a server error.
    pub(crate) fn record_error_answer(&self, upstream: &Upstream, now_ms: u64) {
        let pool = self.upstreams.borrow().shared_pool(&upstream.service);
        let mut health = self.health.borrow_mut();
        health.record_error_answer(upstream, &*pool, now_ms);
    }

    /// Records the failure of a call to an upstream.
    pub(crate) fn record_failure(&self, upstream: &Upstream, reason: &str, now_ms: u64) {
        let pool = self.upstreams.borrow().shared_pool(&upstream.service);
        let change = self
            .health
            .borrow_mut()
            .record_failure(upstream, &*pool, now_ms);
        if change != Change::None {
            log::info!("upstream {} {change:?}: {reason}", upstream.id);
        }
    }
}

/// Outcomes of the other routers' calls to those upstreams where they reported any.
fn reported_outcomes(upstreams: &Upstreams, load: &FleetInFlight) -> HashMap<Name, Outcomes> {
    let called = load.upstreams.iter();
    let called = called.filter(|(_, t)| t.outcomes.is_significant());
    let by_id = called.filter_map(|(digest, t)| {
        let upstream = upstreams.by_digest(*digest)?;
        Some((upstream.id.clone(), t.outcomes))
    });
    by_id.collect()
}
