//! Time limit on receiving a request head.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::time_limit::run_out;

/// Number of checks of a slow head per time limit.
const POLLS_PER_LIMIT: u32 = 4;

/// Tracks how long a request head has been arriving.
///
/// Failure guarded against: callers send heads byte by byte, and each such connection keeps its
/// permit and buffer for as long as an idle connection may. The head limit applies while bytes
/// arrive; the idle limit applies to a connection without traffic, even in the middle of a head.
#[derive(Clone)]
pub(crate) struct HeadClock {
    limit: Duration,
    reading: Rc<Cell<Option<HeadRead>>>,
    in_request: Rc<Cell<bool>>,
    read_started: Rc<Notify>,
}

#[derive(Clone, Copy)]
struct HeadRead {
    first: Instant,
    last: Instant,
}

impl HeadClock {
    pub(crate) fn new(limit: Duration) -> Self {
        Self {
            limit,
            reading: Rc::default(),
            in_request: Rc::default(),
            read_started: Rc::default(),
        }
    }

    /// Records received bytes. After a pause of the limit a new head is assumed, because the bytes
    /// before may be the unread rest of a body.
    pub(crate) fn received(&self) {
        if self.in_request.get() {
            return;
        }
        let now = Instant::now();
        let known = self.reading.get().filter(|c| now - c.last < self.limit);
        let first = known.map_or(now, |c| c.first);
        self.reading.set(Some(HeadRead { first, last: now }));
        self.read_started.notify_waiters();
    }

    /// Records that a request head is complete.
    pub(crate) fn head_complete(&self) {
        self.reading.set(None);
        self.in_request.set(true);
    }

    /// Records that the response has started: bytes received from now on may be the next head.
    pub(crate) fn response_started(&self) {
        self.in_request.set(false);
    }

    fn is_slow(&self) -> bool {
        let limit = self.limit;
        let is_slow = |c: HeadRead| c.first.elapsed() > limit && c.last.elapsed() < limit / 2;
        self.reading.get().is_some_and(is_slow)
    }

    /// Returns once a head has been arriving for longer than the limit. Without bytes of a head it
    /// waits without a timer, because timers of thousands of idle connections would wake the host
    /// needlessly.
    pub(crate) async fn wait_until_slow(&self) {
        while !self.is_slow() {
            if self.reading.get().is_none() {
                self.read_started.notified().await;
            }
            run_out(self.limit / POLLS_PER_LIMIT).await;
        }
    }
}
