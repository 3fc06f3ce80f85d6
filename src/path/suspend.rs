//! Detects that the process was suspended: its host slept, or it was stopped and continued.

use std::cell::Cell;

use crate::mutation::{Mutation, mutated};
use crate::util::Clock;

/// Gap between two checks of the clock that indicates a suspension: five times the interval of the
/// task that checks it, so that a slow host is not mistaken for a suspended one.
const SUSPENDED_MS: u64 = 1_000;
/// Gap between two checks from which this router counts as not having run in between.
const STALLED_MS: u64 = 300;
/// What arrived in such a gap is handled within this time after it.
const BACKLOG_MS: u64 = 100;

/// When this router was last suspended.
///
/// Failure guarded against: a process continues after seconds, and the timeouts of reads that it
/// began before fire at once. They say nothing about the log.
pub(crate) struct SuspendGuard {
    clock: Clock,
    /// Time of the last check of the clock.
    checked_ms: Cell<u64>,
    /// Time at which this router was last resumed; 0 if it never was suspended.
    resumed_ms: Cell<u64>,
    /// End of the last gap in which this router did not run, be it for lack of processor time.
    stalled_ms: Cell<u64>,
    /// Start of that gap.
    stalled_from_ms: Cell<u64>,
}

impl SuspendGuard {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            checked_ms: Cell::new(clock.now_ms()),
            resumed_ms: Cell::default(),
            stalled_ms: Cell::default(),
            stalled_from_ms: Cell::default(),
        }
    }

    /// Checks the clock, and returns whether this router was suspended since the last check.
    pub(crate) fn check_clock(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let checked_ms = self.checked_ms.replace(now_ms);
        let pause_ms = now_ms.saturating_sub(checked_ms);
        if pause_ms > STALLED_MS {
            self.stalled_ms.set(now_ms);
            self.stalled_from_ms.set(checked_ms);
        }
        if pause_ms <= SUSPENDED_MS || mutated(Mutation::KeepEvidenceAfterSuspend) {
            return false;
        }
        log::warn!("suspended for {pause_ms} ms");
        self.resumed_ms.set(now_ms);
        true
    }

    /// Returns when this router was last resumed; 0 if it never was suspended.
    pub(crate) fn resumed_ms(&self) -> u64 {
        self.resumed_ms.get()
    }

    /// Returns the end of the last gap in which this router did not run; 0 if there was none.
    pub(crate) fn stalled_ms(&self) -> u64 {
        self.stalled_ms.get()
    }

    /// Returns the earliest time at which something may have happened that is noticed now: the start of a gap
    /// that has just ended, or now.
    pub(crate) fn earliest_ms(&self) -> u64 {
        let now_ms = self.clock.now_ms();
        let has_just_run = now_ms.saturating_sub(self.stalled_ms.get()) > BACKLOG_MS;
        if self.stalled_ms.get() == 0 || has_just_run {
            return now_ms;
        }
        self.stalled_from_ms.get()
    }

    /// Returns the time since this router was last resumed, if it ever was suspended.
    pub(crate) fn since_resumed_ms(&self) -> Option<u64> {
        let resumed_ms = self.resumed_ms.get();
        (resumed_ms > 0).then(|| self.clock.now_ms().saturating_sub(resumed_ms))
    }
}
