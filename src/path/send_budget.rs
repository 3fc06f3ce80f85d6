//! Bound on what a router sends to those that start, by bytes and time. No I/O and no clock.

use std::cell::Cell;

/// Rate at which a router passes on what it has: that of the slowest links, less what callers need.
const BYTES_PER_MS: u64 = 2_000;
/// Longest time for which answers wait for one another. What arrives later than the time limit of a
/// request is of no use.
const MAX_QUEUE_MS: u64 = 500;

/// Answers that are being sent.
///
/// Failure guarded against: hundreds of routers start at once, and the first that has all upstreams
/// is asked by dozens. If it answered all, its link would deliver none of the answers in time, and
/// all would ask again.
#[derive(Debug, Default)]
pub(crate) struct SendBudget {
    busy_until_ms: Cell<u64>,
}

impl SendBudget {
    /// Reserves the time to send `bytes`, and returns how long they wait for others; `None` if they would
    /// wait too long and are not to be sent.
    pub(crate) fn reserve(&self, bytes: usize, now_ms: u64) -> Option<u64> {
        let begin_ms = self.busy_until_ms.get().max(now_ms);
        let wait_ms = begin_ms - now_ms;
        if wait_ms > MAX_QUEUE_MS {
            return None;
        }
        let send_ms = bytes as u64 / BYTES_PER_MS;
        self.busy_until_ms.set(begin_ms + send_ms);
        Some(wait_ms)
    }
}
