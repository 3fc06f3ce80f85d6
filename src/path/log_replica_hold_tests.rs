//! What a router must keep in force for a while after it learns of a restore of the log, by what it
//! knew before.

use std::collections::{BTreeMap, BTreeSet};

use crate::path::departures;
use crate::path::evacuations;
use crate::path::log_replica_fake_tests::FakeStore;
use crate::path::log_replica_tests::Router;
use crate::path::position::StreamPosition;
use crate::util::Name;

/// Time for which upstreams that a restored log lacks stay in use.
const REMOVAL_DELAY_MS: u64 = 2_300;
/// Removed upstreams are remembered for at least this time.
const REMEMBERED_MS: u64 = 59_000;
/// Time after its end by which a hold is released, at a router that runs.
const RELEASE_MS: u64 = 500;

/// A hold that began between two observations of a router.
#[derive(Clone, Copy, Debug)]
struct Hold {
    after_ms: u64,
    seen_ms: u64,
    is_required: bool,
}

impl Hold {
    fn is_required(&self, now_ms: u64, hold_ms: u64) -> bool {
        self.is_required && now_ms < self.after_ms + hold_ms
    }

    /// `counted_ms` is the time from which the hold counts: nobody can write again while the log
    /// isn't read.
    fn is_allowed(&self, now_ms: u64, hold_ms: u64, counted_ms: u64) -> bool {
        now_ms <= self.seen_ms.max(counted_ms) + hold_ms + RELEASE_MS
    }
}

/// What a router used when it was last observed, and the holds that it began since its start.
#[derive(Debug, Default)]
pub(super) struct Holds {
    seen_ms: u64,
    /// When the router last had an old copy of either stream.
    old_ms: u64,
    upstreams_at: StreamPosition,
    orders_at: StreamPosition,
    used: BTreeSet<String>,
    draining: BTreeSet<String>,
    /// Upstreams that it used before, with the times at which they were first missed.
    gone_ms: BTreeMap<String, u64>,
    /// Upstreams with records that it may have read: one that came and left within one event.
    maybe_gone: BTreeSet<String>,
    evacuated: BTreeSet<Name>,
    departed: BTreeMap<String, Hold>,
    kept: BTreeMap<String, Hold>,
    kept_evacuated: BTreeMap<Name, Hold>,
}

impl Holds {
    /// Notes the state of `router`, to be called after each event that may change it.
    pub(super) fn observe(&mut self, router: &Router, store: &FakeStore) {
        let (upstreams_at, orders_at) = (router.replica.upstreams_at(), router.replica.orders_at());
        let now_ms = router.replica.now_ms();
        if router.replica.upstreams_fresh().is_old() || router.replica.config_fresh().is_old() {
            self.old_ms = now_ms;
        }
        if upstreams_at > self.upstreams_at {
            let written = store.written_after(self.upstreams_at).into_iter();
            self.maybe_gone.extend(written.cloned());
        }
        if upstreams_at.era > self.upstreams_at.era && self.upstreams_at.is_known() {
            self.hold_upstreams(now_ms, store);
        }
        let evacuated: BTreeSet<Name> = router.state.evacuations().names().cloned().collect();
        if orders_at.era > self.orders_at.era && self.orders_at.is_known() {
            self.hold_evacuations(now_ms, &evacuated);
        }
        let used = router.state.change_upstreams(|u| u.ids());
        let used: BTreeSet<String> = used.iter().map(ToString::to_string).collect();
        let draining = router.state.change_upstreams(|u| u.draining());
        for id in self.used.difference(&used) {
            self.gone_ms.insert(id.clone(), now_ms);
        }
        self.gone_ms.retain(|id, _| !used.contains(id));
        self.used = used;
        self.draining = draining.iter().map(|u| u.id.to_string()).collect();
        self.evacuated = evacuated;
        (self.upstreams_at, self.orders_at) = (upstreams_at, orders_at);
        self.seen_ms = now_ms;
        let used = |id: &String| self.used.contains(id) && !self.draining.contains(id);
        let is_renewed = |id: &String| store.is_renewed(upstreams_at.era, id);
        self.departed.retain(|id, _| !(used(id) && is_renewed(id)));
        for (name, hold) in &mut self.kept_evacuated {
            hold.is_required &= !store.is_ordered_since_restore(orders_at, name);
        }
    }

    fn hold_upstreams(&mut self, now_ms: u64, store: &FakeStore) {
        let hold = |is_required| Hold {
            after_ms: self.seen_ms,
            seen_ms: now_ms,
            is_required,
        };
        // These records may have been read in the same event.
        let changed = store.written_after(self.upstreams_at);
        let maybe_gone = self.maybe_gone.iter();
        let maybe_gone = maybe_gone.map(|id| (id.clone(), hold(false)));
        self.departed.extend(maybe_gone);
        let kept = self.used.iter().filter(|id| !changed.contains(*id));
        self.kept = kept.map(|id| (id.clone(), hold(true))).collect();
        for earlier in self.departed.values_mut() {
            earlier.seen_ms = now_ms;
        }
        // One with further records may be in use again, or still.
        let draining = self.draining.iter().map(|id| {
            let is_known = !changed.contains(id);
            (id.clone(), hold(is_known))
        });
        let gone = self.gone_ms.iter().map(|(id, gone_ms)| {
            let is_known = !changed.contains(id) && now_ms < gone_ms + REMEMBERED_MS;
            (id.clone(), hold(is_known))
        });
        self.departed.extend(draining.chain(gone));
    }

    fn hold_evacuations(&mut self, now_ms: u64, evacuated: &BTreeSet<Name>) {
        let hold = Hold {
            after_ms: self.seen_ms,
            seen_ms: now_ms,
            is_required: true,
        };
        for earlier in self.kept_evacuated.values_mut() {
            earlier.seen_ms = now_ms;
        }
        let lost = self.evacuated.difference(evacuated);
        self.kept_evacuated
            .extend(lost.map(|name| (name.clone(), hold)));
    }

    /// Upstreams that left or drained before a restore aren't used as ready, and those that the copy
    /// lacks stay in use, as do evacuations that it lacks.
    pub(super) fn check(&self, at: usize, router: &Router) {
        let now_ms = router.replica.now_ms();
        for (id, hold) in &self.departed {
            let is_ready = self.used.contains(id) && !self.draining.contains(id);
            let is_held = hold.is_required(now_ms, departures::HOLD_MS);
            assert!(
                !is_held || !is_ready,
                "{at}: {id} is used at {now_ms}, {hold:?}"
            );
        }
        for (id, hold) in &self.kept {
            let is_kept = hold.is_required(now_ms, REMOVAL_DELAY_MS);
            assert!(
                !is_kept || self.used.contains(id),
                "{at}: {id} is removed at {now_ms}, {hold:?}"
            );
        }
        let evacuations = router.state.evacuations();
        for (name, hold) in &self.kept_evacuated {
            let is_held = hold.is_required(now_ms, evacuations::HOLD_MS);
            assert!(
                !is_held || evacuations.contains(name),
                "{at}: {name} is readmitted at {now_ms}, {hold:?}"
            );
        }
    }

    /// Whether a listed upstream may be unused at a router that was last resumed at `resumed_ms`.
    pub(super) fn may_be_unused(&self, id: &str, now_ms: u64, resumed_ms: u64) -> bool {
        let hold = self.departed.get(id);
        hold.is_some_and(|h| h.is_allowed(now_ms, departures::HOLD_MS, self.old_ms.max(resumed_ms)))
    }

    /// Whether the router knew of the departure of an upstream before a restore.
    pub(super) fn knew_departed(&self, id: &str) -> bool {
        self.departed.contains_key(id)
    }

    /// Whether a data centre that the log doesn't list as evacuated may be so.
    pub(super) fn may_be_evacuated(&self, name: &str, now_ms: u64, resumed_ms: u64) -> bool {
        let hold = self.kept_evacuated.get(name);
        hold.is_some_and(|h| {
            h.is_allowed(now_ms, evacuations::HOLD_MS, self.old_ms.max(resumed_ms))
        })
    }
}
