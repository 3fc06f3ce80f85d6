//! Guard against admitting work after a pause of the process.

use std::cell::Cell;
use std::rc::Rc;

/// Whether this router may act as a home, as of the last run of its membership task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Liveness {
    pub(super) last_run_ms: Rc<Cell<u64>>,
    pub(super) in_doubt: Rc<Cell<bool>>,
    pub(super) limit_ms: u64,
}

impl Liveness {
    /// Whether the membership task ran recently and this router isn't in doubt.
    ///
    /// Failure guarded against: a router that was paused for seconds resumes with requests in its
    /// sockets, and admits them before its membership task runs, though its upstreams have another
    /// home by now. The time of the task's last run is too old until the task has run and put the
    /// router in doubt.
    pub(crate) fn may_admit(&self, now_ms: u64) -> bool {
        !self.in_doubt.get() && now_ms.saturating_sub(self.last_run_ms.get()) <= self.limit_ms
    }
}
