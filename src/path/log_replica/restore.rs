//! What stays in force after the log was restored from an older copy.

use crate::decide::Incarnation;
use crate::mutation::{Mutation, mutated};
use crate::path::departures::Departure;
use crate::path::dialect::Records;
use crate::path::log_replica::{LogReplica, REMOVAL_DELAY_MS};
use crate::path::position::StreamPosition;

impl<D: Records> LogReplica<D> {
    /// Begins to follow the log's new era if `at` is in one. What the log lost stays in force for a
    /// while: upstreams that left stay unused, and those that are no longer listed stay in use.
    ///
    /// Failure guarded against: the log is restored from a copy that is some seconds old. A router
    /// that believed it would send requests to upstreams that are leaving, and refuse requests as
    /// the upstreams that started since have yet to write their entries again.
    pub(super) fn enter_era_at(&self, at: StreamPosition, loaded_at: StreamPosition, source: &str) {
        let before = self.upstreams_at.get();
        if at.era <= before.era {
            return;
        }
        self.era_loaded_at.set(loaded_at);
        if !before.is_known() {
            return self.start_at(at);
        }
        self.publish_era(at.era);
        self.upstreams_at.set(at);
        self.changes.borrow_mut().enter_era(before, at);
        let now_ms = self.clock.now_ms();
        self.removals_delayed_until_ms
            .set(now_ms + REMOVAL_DELAY_MS);
        let draining = self.state.change_upstreams(|u| u.draining());
        let held = self.departures.borrow_mut().hold(draining, now_ms);
        log::warn!(
            before:%, at:%, held, source;
            "the log was restored from an older copy; departures of upstreams are held"
        );
    }

    /// Returns how `upstream` departed before the log was restored, if that still counts. One that
    /// was removed and has written its entry after the router loaded the restored log is alive.
    pub(super) fn held_departure(
        &self,
        upstream: &Incarnation,
        at: StreamPosition,
    ) -> Option<Departure> {
        let mut departures = self.departures.borrow_mut();
        let held = departures.held(upstream)?;
        let is_rewritten = at > self.era_loaded_at.get() && !self.is_bulk.get();
        if held == Departure::Gone && is_rewritten {
            departures.forget(upstream);
            return None;
        }
        (!mutated(Mutation::ForgetDeparturesOnRestore)).then_some(held)
    }

    /// Ends the departures and evacuations that no longer count: from now on, what the log says
    /// holds. Time in which the log isn't read doesn't count, as nobody can write again in it.
    pub(crate) fn release_holds(&self) {
        let now_ms = self.clock.now_ms();
        if self.upstreams_fresh.is_old() {
            self.departures.borrow_mut().defer(now_ms);
        }
        if self.config_fresh.is_old() {
            self.state.change_evacuations(|e| e.defer(now_ms));
        }
        let released = self.departures.borrow_mut().release(now_ms);
        // At a later position, it would look to peers as if the upstream had written it again.
        let listed_at = self.era_loaded_at.get();
        for upstream in released {
            let record = self.upstreams.borrow().get(&upstream.id).cloned();
            if let Some(record) = record {
                self.put(listed_at, &upstream.id, record);
            }
        }
        let readmitted = self.state.change_evacuations(|e| e.release(now_ms));
        for data_center in readmitted {
            log::warn!(data_center:%; "the evacuation that a restored log lost was not written again and ends");
        }
    }
}
