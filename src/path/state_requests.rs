//! Which peers are asked for newer state at the same time. No I/O and no clock.

use std::cell::RefCell;

/// Number of requests under way at once.
const MAX_PENDING: usize = 3;
/// Time without an answer after which another peer is asked.
const HEDGE_DELAY_MS: u64 = 200;

struct Pending {
    peer: String,
    started_ms: u64,
}

/// Requests for newer state that are under way.
///
/// Failure guarded against: a router learns that a peer has newer state, and that peer is paused
/// before it answers. If the router asked one peer at a time, it would keep its old state until the
/// request times out, while other peers offer the newer one.
#[derive(Default)]
pub(crate) struct StateRequests {
    pending: RefCell<Vec<Pending>>,
}

impl StateRequests {
    /// Whether `peer` is to be asked now; if so, its request counts as under way. Others that were
    /// asked recently are waited for, so that a change isn't sent several times.
    pub(crate) fn start(&self, peer: &str, now_ms: u64) -> bool {
        let mut pending = self.pending.borrow_mut();
        let blocks = |request: &Pending| {
            request.peer == peer || now_ms < request.started_ms + HEDGE_DELAY_MS
        };
        if pending.len() >= MAX_PENDING || pending.iter().any(blocks) {
            return false;
        }
        pending.push(Pending {
            peer: peer.to_owned(),
            started_ms: now_ms,
        });
        true
    }

    /// Notes that the request to `peer` has ended.
    pub(crate) fn end(&self, peer: &str) {
        self.pending.borrow_mut().retain(|p| p.peer != peer);
    }
}
