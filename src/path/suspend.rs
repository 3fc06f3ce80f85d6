//! Detects that the process was suspended: its host slept, or it was stopped and continued.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

use crate::mutation::{Mutation, mutated};
use crate::util::Clock;

/// Gap between two checks of the clock that indicates a suspension: five times the interval of the
/// task that checks it, so that a slow host is not mistaken for a suspended one.
const SUSPENDED_MS: u64 = 1_000;

/// Whether this router has refreshed its state since it was last suspended.
///
/// Failure guarded against: a process continues after seconds and first handles what is queued in
/// its sockets: requests, which it would handle by outdated rules, and gossip of other routers,
/// whose ages were correct when it was sent. Until this router has queried the log or a peer again,
/// it does not confirm its state by such gossip and treats all of it as stale.
pub(crate) struct SuspendGuard {
    clock: Clock,
    /// Time of the last check of the clock.
    checked_ms: Cell<u64>,
    /// Time at which this router was resumed, until it has refreshed its state.
    resumed_ms: Cell<Option<u64>>,
    /// Time at which this router was last resumed; 0 if it never was.
    last_resumed_ms: Cell<u64>,
    resumed: Rc<Notify>,
    refreshed: Rc<Notify>,
}

impl SuspendGuard {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            checked_ms: Cell::new(clock.now_ms()),
            resumed_ms: Cell::default(),
            last_resumed_ms: Cell::default(),
            resumed: Rc::default(),
            refreshed: Rc::default(),
        }
    }

    /// Checks the clock, and returns whether this router was suspended since the last check.
    pub(crate) fn check_clock(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let pause_ms = now_ms.saturating_sub(self.checked_ms.replace(now_ms));
        if pause_ms <= SUSPENDED_MS || mutated(Mutation::KeepEvidenceAfterSuspend) {
            return false;
        }
        log::warn!("suspended for {pause_ms} ms");
        self.resumed_ms.set(Some(now_ms));
        self.last_resumed_ms.set(now_ms);
        self.resumed.notify_waiters();
        true
    }

    /// Whether the state was not refreshed since this router was suspended.
    pub(crate) fn needs_refresh(&self) -> bool {
        self.resumed_ms.get().is_some()
    }

    /// Notes that the log or a peer, `source`, answered a request sent at `asked_ms` with the state
    /// of the log.
    pub(crate) fn record_refresh(&self, asked_ms: u64, source: &str) {
        let Some(resumed_ms) = self.resumed_ms.get() else {
            return;
        };
        if asked_ms < resumed_ms {
            return;
        }
        let after_ms = self.clock.now_ms().saturating_sub(resumed_ms);
        log::info!(after_ms, source; "state refreshed after the suspension");
        self.resumed_ms.set(None);
        self.refreshed.notify_waiters();
    }

    /// Returns the time since this router was last resumed, if it ever was suspended.
    pub(crate) fn since_resumed_ms(&self) -> Option<u64> {
        let resumed_ms = self.last_resumed_ms.get();
        (resumed_ms > 0).then(|| self.clock.now_ms().saturating_sub(resumed_ms))
    }

    /// Notified when a suspension is detected.
    pub(crate) fn resumed(&self) -> Rc<Notify> {
        self.resumed.clone()
    }

    /// Notified when the state was refreshed after a suspension.
    pub(crate) fn refreshed(&self) -> Rc<Notify> {
        self.refreshed.clone()
    }
}
