//! How old this router's copy of one stream of the log is, and whether requests may be decided by
//! it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use strum::Display;
use tokio::sync::Notify;

use crate::fleet::log_reads::{Freshness, ReadSchedule, UseLimits};
use crate::mutation::{Mutation, mutated};
use crate::path::suspend::SuspendGuard;
use crate::stats;
use crate::time_limit::within;
use crate::util::Clock;

/// Time for which requests wait for a newer copy: some round trips to the store or to a peer. It
/// runs once for all requests, so that an outage of the store delays only those of its first moment.
const WAIT_LIMIT_MS: u64 = 400;

/// What last confirmed a copy.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Evidence {
    /// Nothing since the start.
    #[default]
    None,
    /// A read of the log by this router.
    Log,
    /// A peer's answer to a request of this router.
    Reply,
    /// A peer's periodic report.
    Report,
}

/// Freshness of the copy of one stream.
///
/// Failure guarded against: a router lacks processor time or is suspended, and then decides
/// requests by what it knew before: routes and keys that operators have withdrawn, and upstreams
/// that have left. Requests wait until the copy is at most as old as its bound allows, unless the
/// log is known to fail.
pub(crate) struct StreamFreshness {
    /// Name in log lines and metrics.
    name: &'static str,
    clock: Clock,
    suspend: Rc<SuspendGuard>,
    schedule: Cell<ReadSchedule>,
    fresh: Cell<Freshness>,
    evidence: Cell<Evidence>,
    /// Time of the request of the last failed read; 0 if none failed.
    failed_ms: Cell<u64>,
    /// Time at which peers were last asked; 0 if they never were.
    peers_asked_ms: Cell<u64>,
    /// Whether a read of the log failed since the copy was last recent.
    has_failed: Cell<bool>,
    /// Whether a request was decided by a copy older than its bound since the copy was last recent.
    is_stale_logged: Cell<bool>,
    /// Since when requests have been waiting for a newer copy.
    wanted_since_ms: Cell<Option<u64>>,
    /// Notified when requests wait for a newer copy.
    wanted: Rc<Notify>,
    /// Notified when the copy is confirmed and when a read fails.
    changed: Notify,
}

impl StreamFreshness {
    pub(crate) fn new(
        name: &'static str,
        clock: Clock,
        suspend: Rc<SuspendGuard>,
        schedule: ReadSchedule,
        wanted: Rc<Notify>,
    ) -> Self {
        Self {
            name,
            clock,
            suspend,
            schedule: Cell::new(schedule),
            fresh: Cell::default(),
            evidence: Cell::default(),
            failed_ms: Cell::default(),
            peers_asked_ms: Cell::default(),
            has_failed: Cell::default(),
            is_stale_logged: Cell::default(),
            wanted_since_ms: Cell::default(),
            wanted,
            changed: Notify::new(),
        }
    }

    pub(crate) fn get(&self) -> Freshness {
        self.fresh.get()
    }

    pub(crate) fn schedule(&self) -> ReadSchedule {
        self.schedule.get()
    }

    pub(crate) fn set_schedule(&self, schedule: ReadSchedule) {
        self.schedule.set(schedule);
    }

    pub(crate) fn age_ms(&self) -> u64 {
        self.fresh.get().age_ms(self.clock.now_ms())
    }

    /// Whether the copy is older than a change may take to be in force.
    pub(crate) fn is_old(&self) -> bool {
        self.age_ms() > self.schedule.get().bound_ms()
    }

    /// Confirms that the copy was complete at `at_ms`.
    pub(crate) fn confirm(&self, at_ms: u64, evidence: Evidence) {
        let mut fresh = self.fresh.get();
        if at_ms > fresh.confirmed_ms() {
            self.evidence.set(evidence);
        }
        fresh.confirm(at_ms, &mut rand::rng());
        self.fresh.set(fresh);
        if self.age_ms() <= self.schedule.get().usable_ms() {
            self.has_failed.set(false);
            self.is_stale_logged.set(false);
        }
        if self.is_usable()
            && let Some(since_ms) = self.wanted_since_ms.take()
        {
            let after_ms = self.clock.now_ms().saturating_sub(since_ms);
            log::info!(after_ms, evidence:%; "{}: up to date again", self.name);
        }
        self.changed.notify_waiters();
    }

    /// Makes this router read the log at once.
    pub(crate) fn invalidate(&self) {
        self.fresh.set(self.fresh.get().invalidated());
    }

    /// Records that a read requested at `asked_ms` failed.
    pub(crate) fn record_failure(&self, asked_ms: u64) {
        self.failed_ms.set(asked_ms);
        self.has_failed.set(true);
        self.changed.notify_waiters();
    }

    /// Records that peers which were asked at `asked_ms` have answered, or had the time to.
    pub(crate) fn record_peers_asked(&self, asked_ms: u64) {
        self.peers_asked_ms.set(asked_ms);
        self.changed.notify_waiters();
    }

    /// Whether a read of the log failed since the copy was last recent and since this router was
    /// last resumed. If not, the copy's age is due to a pause of this router.
    pub(crate) fn has_failed(&self) -> bool {
        self.has_failed.get() && self.failed_ms.get() >= self.suspend.resumed_ms()
    }

    /// Whether requests wait for a newer copy, or did so in vain.
    pub(crate) fn is_wanted(&self) -> bool {
        self.wanted_since_ms.get().is_some() && !self.is_usable()
    }

    /// Whether requests may be decided by the copy.
    pub(crate) fn is_usable(&self) -> bool {
        let limits = UseLimits {
            failed_ms: self.failed_ms.get(),
            peers_asked_ms: self.peers_asked_ms.get(),
            resumed_ms: self.suspend.resumed_ms(),
        };
        let now_ms = self.clock.now_ms();
        self.fresh
            .get()
            .is_usable(now_ms, self.schedule.get(), limits)
            || mutated(Mutation::DecideByOldState)
    }

    /// Requests a newer copy if requests may not be decided by this one.
    pub(crate) fn refresh_if_needed(&self) {
        if self.is_usable() {
            self.wanted_since_ms.set(None);
            return;
        }
        let since_ms = self.wanted_since_ms.get();
        let since_ms = since_ms.unwrap_or_else(|| self.clock.now_ms());
        self.wanted_since_ms.set(Some(since_ms));
        self.wanted.notify_waiters();
    }

    /// Returns how long requests may still wait for a newer copy. Time in which this router did not
    /// run doesn't count: an answer may have arrived in it that is still to be handled.
    fn wait_left(&self) -> Duration {
        let since_ms = self.wanted_since_ms.get().unwrap_or(0);
        let until_ms = since_ms.max(self.suspend.stalled_ms()) + WAIT_LIMIT_MS;
        Duration::from_millis(until_ms.saturating_sub(self.clock.now_ms()))
    }

    /// Whether a request may be decided by the copy now.
    ///
    /// If neither the log nor a peer answers in time, the old copy must do: refusing would not serve
    /// the caller better. But if this router did not run for a part of the time since the copy was
    /// confirmed, others have newer copies, and the caller is better served by one of them.
    ///
    /// Failure guarded against: a request is let through with an old copy, and a later check withholds
    /// it again for its age. It is sent to one upstream after another, and each time a connection is
    /// opened and closed.
    pub(crate) fn may_decide(&self) -> bool {
        if self.is_usable() {
            return true;
        }
        let has_waited = self.wanted_since_ms.get().is_some() && self.wait_left().is_zero();
        let has_stalled = self.suspend.stalled_ms() > self.fresh.get().confirmed_ms();
        has_waited && !has_stalled
    }

    /// Waits until a request may be decided by the copy, and returns whether it may.
    pub(crate) async fn wait_until_usable(&self) -> bool {
        self.suspend.check_clock();
        self.refresh_if_needed();
        if !self.is_usable() {
            stats::held_for_refresh(self.name);
            self.wait().await;
        }
        let may_decide = self.may_decide();
        if may_decide && self.is_old() {
            self.record_stale_decision();
        }
        may_decide
    }

    /// Counts a request that is decided by a copy older than its bound, and logs the first one.
    fn record_stale_decision(&self) {
        stats::stale_decision(self.name);
        if !self.is_stale_logged.replace(true) {
            let (age_ms, evidence) = (self.age_ms(), self.evidence.get());
            let has_failed = self.has_failed();
            log::warn!(age_ms, evidence:%, has_failed; "{}: requests are decided by a copy older than the bound", self.name);
        }
    }

    async fn wait(&self) {
        let started_ms = self.clock.now_ms();
        let last_ms = started_ms + self.schedule.get().bound_ms();
        while !self.is_usable() && self.clock.now_ms() < last_ms {
            self.refresh_if_needed();
            let left = self.wait_left();
            if left.is_zero() {
                return;
            }
            // The time left is determined anew, as this router may not have run in it.
            let _ = within(left, self.usable()).await;
            self.suspend.check_clock();
        }
    }

    async fn usable(&self) {
        loop {
            let changed = self.changed.notified();
            if self.is_usable() {
                return;
            }
            changed.await;
        }
    }

    /// Describes the age of the copy and what confirmed it.
    pub(crate) fn describe(&self) -> String {
        format!("read {} ms ago by {}", self.age_ms(), self.evidence.get())
    }
}
