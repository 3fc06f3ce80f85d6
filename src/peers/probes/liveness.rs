//! The guard against a router that slept.

use std::cell::Cell;
use std::rc::Rc;

/// Whether this router may take itself for a live home, as its membership task last found.
#[derive(Clone, Debug, Default)]
pub(crate) struct Liveness {
    pub(super) at_ms: Rc<Cell<u64>>,
    pub(super) doubt: Rc<Cell<bool>>,
    pub(super) limit_ms: u64,
}

impl Liveness {
    /// Whether the membership task ran lately and holds this router for alive.
    ///
    /// Failure guarded against: a router that was stopped for seconds wakes with requests in its
    /// sockets and admits them before its membership task had a turn, though its upstreams have
    /// another home by now. The pulse is old until that task ran and put the router in doubt.
    pub(crate) fn may_admit(&self, now_ms: u64) -> bool {
        !self.doubt.get() && now_ms.saturating_sub(self.at_ms.get()) <= self.limit_ms
    }
}
