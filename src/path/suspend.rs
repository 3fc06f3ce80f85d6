//! The guard against a process that was suspended: its host slept, or it was stopped and continued.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

use crate::mutation::{Mutation, mutated};
use crate::util::Clock;

/// The pause between two looks at the clock that shows a suspension: five times the pause of the task
/// that looks, so that a slow host isn't taken for a suspended one.
const SUSPENDED_MS: u64 = 1_000;

/// Whether this router has asked anew since it was last suspended.
///
/// Failure guarded against: a process continues after seconds, and what waits in its sockets comes
/// first: requests, handled as was allowed before, and what other routers told meanwhile, which says
/// how old it was when it was sent. Until this router has asked the log or another router anew, it
/// confirms nothing by such news and takes all that it knows for stale.
pub(crate) struct SuspendGuard {
    clock: Clock,
    /// When the clock was last looked at.
    looked_ms: Cell<u64>,
    /// When this router was resumed, as long as it hasn't asked anew since.
    resumed_ms: Cell<Option<u64>>,
    resumed: Rc<Notify>,
    refreshed: Rc<Notify>,
}

impl SuspendGuard {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            looked_ms: Cell::new(clock.now_ms()),
            resumed_ms: Cell::default(),
            resumed: Rc::default(),
            refreshed: Rc::default(),
        }
    }

    /// Looks at the clock; tells whether this router was suspended since the last look.
    pub(crate) fn look(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let pause_ms = now_ms.saturating_sub(self.looked_ms.replace(now_ms));
        if pause_ms <= SUSPENDED_MS || mutated(Mutation::KeepEvidenceAfterSuspend) {
            return false;
        }
        log::warn!("suspended for {pause_ms} ms");
        self.resumed_ms.set(Some(now_ms));
        self.resumed.notify_waiters();
        true
    }

    /// Whether nobody was asked yet since this router was suspended.
    pub(crate) fn needs_refresh(&self) -> bool {
        self.resumed_ms.get().is_some()
    }

    /// Somebody who was asked at `asked_ms` told what the log says.
    pub(crate) fn told_anew(&self, asked_ms: u64) {
        if self
            .resumed_ms
            .get()
            .is_some_and(|resumed_ms| asked_ms >= resumed_ms)
        {
            self.resumed_ms.set(None);
            self.refreshed.notify_waiters();
        }
    }

    /// Notified when this router finds that it was suspended.
    pub(crate) fn resumed(&self) -> Rc<Notify> {
        self.resumed.clone()
    }

    /// Notified when this router has asked anew after that.
    pub(crate) fn refreshed(&self) -> Rc<Notify> {
        self.refreshed.clone()
    }
}
