//! Limits on receiving a request head and on waiting for one.

use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::select;
use tokio::sync::{Notify, watch};

use crate::front::connection::Bounds;
use crate::front::listen::ConnectionPermit;
use crate::front::memory::{ByteBudget, Held};
use crate::time_limit::run_out;

/// Number of checks of a slow head per time limit.
const POLLS_PER_LIMIT: u32 = 4;

/// Bytes of a head that don't count towards the budget: each connection has room for them.
const FREE_HEAD_BYTES: usize = 32 << 10;

/// Which limit a connection has exceeded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Overrun {
    /// The time in which a head must arrive.
    Slow,
    /// The size of a head.
    TooLarge,
    /// The time between two requests.
    Idle,
    /// The number of connections, of which it has waited for a request for longest.
    Evicted,
    /// What all callers' requests may hold.
    NoRoom,
}

/// Tracks how long a connection has waited for a request, and how long and how much of its head has
/// been arriving.
///
/// Failure guarded against: callers send heads byte by byte, and each such connection keeps its
/// permit and buffer for as long as an idle connection may. The head limit applies while bytes
/// arrive; the idle limit applies to a connection without traffic, even in the middle of a head.
#[derive(Clone)]
pub(crate) struct HeadClock(Rc<Inner>);

struct Inner {
    /// Told whether the connection waits for a request.
    permit: Rc<ConnectionPermit>,
    /// The limits in force.
    bounds: watch::Receiver<Bounds>,
    reading: Cell<Option<HeadRead>>,
    /// Bytes received since the last whole head that may be of the next one.
    head_bytes: Cell<usize>,
    /// What heads hold beyond the bytes that each connection has room for, until they are answered.
    held: RefCell<Held>,
    is_out_of_room: Cell<bool>,
    in_request: Cell<bool>,
    /// Requests whose answers were not passed on whole.
    unanswered: Cell<usize>,
    waiting: Cell<Waiting>,
    /// Notified when a head begins to arrive, is too large, or is waited for.
    progressed: Notify,
}

#[derive(Clone, Copy)]
struct HeadRead {
    first: Instant,
    last: Instant,
}

/// The wait for a request.
#[derive(Clone, Copy)]
struct Waiting {
    since: Instant,
    /// The longest that was allowed since then: callers go by the limit that they know when they
    /// begin to wait, so a lower one applies from the next time on.
    limit: Duration,
}

impl HeadClock {
    pub(crate) fn new(
        bounds: watch::Receiver<Bounds>,
        permit: Rc<ConnectionPermit>,
        request_bytes: &ByteBudget,
    ) -> Self {
        let waiting = Waiting {
            since: Instant::now(),
            limit: bounds.borrow().idle_time,
        };
        Self(Rc::new(Inner {
            permit,
            bounds,
            reading: Cell::default(),
            head_bytes: Cell::default(),
            held: RefCell::new(request_bytes.nothing()),
            is_out_of_room: Cell::default(),
            in_request: Cell::default(),
            unanswered: Cell::default(),
            waiting: Cell::new(waiting),
            progressed: Notify::new(),
        }))
    }

    fn bounds(&self) -> Bounds {
        *self.0.bounds.borrow()
    }

    /// Records received bytes. After a pause of the limit a new head is assumed, because the bytes
    /// before may be the unread rest of a body.
    pub(crate) fn received(&self, bytes: usize) {
        let clock = &self.0;
        if clock.in_request.get() {
            return;
        }
        let now = Instant::now();
        let limit = self.bounds().head_time;
        let known = clock.reading.get().filter(|c| now - c.last < limit);
        let first = known.map_or(now, |c| c.first);
        clock.reading.set(Some(HeadRead { first, last: now }));
        clock.head_bytes.set(clock.head_bytes.get() + bytes);
        self.count_head();
        if known.is_none() || self.is_full() {
            clock.progressed.notify_waiters();
        }
    }

    /// Counts a large head towards what callers' requests may hold.
    fn count_head(&self) {
        let clock = &self.0;
        let counted = clock.head_bytes.get().saturating_sub(FREE_HEAD_BYTES);
        if counted > 0 && clock.held.borrow_mut().raise_to(counted).is_err() {
            clock.is_out_of_room.set(true);
        }
    }

    /// Whether so much of a head has arrived that no more is read.
    pub(crate) fn is_full(&self) -> bool {
        let is_full = self.0.head_bytes.get() >= self.bounds().held_bytes();
        is_full || self.0.is_out_of_room.get()
    }

    /// Records that a request head is complete.
    pub(crate) fn head_complete(&self) {
        let clock = &self.0;
        clock.reading.set(None);
        clock.head_bytes.set(0);
        clock.in_request.set(true);
        clock.unanswered.update(|n| n + 1);
        clock.permit.set_busy();
    }

    /// Records that the response has started: bytes received from now on may be the next head.
    pub(crate) fn response_started(&self) {
        self.0.in_request.set(false);
    }

    /// Records that the answers of so many requests were passed on.
    pub(crate) fn answered(&self, requests: usize) {
        let clock = &self.0;
        if requests == 0 {
            return;
        }
        clock.unanswered.update(|n| n.saturating_sub(requests));
        if clock.unanswered.get() == 0 {
            clock.waiting.set(Waiting {
                since: Instant::now(),
                limit: self.bounds().idle_time,
            });
            clock.progressed.notify_waiters();
            clock.permit.set_waiting();
            clock.held.borrow_mut().shrink_to(0);
        }
    }

    /// Returns once the connection has exceeded a limit while no answer is due on it. Without bytes of
    /// a head it wakes only at the idle limit, because timers of thousands of idle connections would
    /// wake the host needlessly.
    pub(crate) async fn wait_for_overrun(&self) -> Overrun {
        let mut changes = self.0.bounds.clone();
        loop {
            let progressed = pin!(self.0.progressed.notified());
            let waiting = self.0.waiting.get();
            let limit = waiting.limit.max(self.bounds().idle_time);
            self.0.waiting.set(Waiting { limit, ..waiting });
            if let Some(overrun) = self.overrun() {
                return overrun;
            }
            let due = pin!(self.run_out());
            let changed = pin!(changed(&mut changes));
            select(select(progressed, changed), due).await;
        }
    }

    fn overrun(&self) -> Option<Overrun> {
        if self.0.unanswered.get() > 0 {
            None
        } else if self.0.is_out_of_room.get() {
            Some(Overrun::NoRoom)
        } else if self.is_full() {
            Some(Overrun::TooLarge)
        } else if self.is_slow() {
            Some(Overrun::Slow)
        } else {
            (Instant::now() >= self.idle_until()).then_some(Overrun::Idle)
        }
    }

    fn is_slow(&self) -> bool {
        let limit = self.bounds().head_time;
        let is_slow = |c: HeadRead| c.first.elapsed() > limit && c.last.elapsed() < limit / 2;
        self.0.reading.get().is_some_and(is_slow)
    }

    /// When the connection has been idle for too long. A head that began to arrive before has its own
    /// limit.
    fn idle_until(&self) -> Instant {
        let Waiting { since, limit } = self.0.waiting.get();
        let until = since + limit;
        let begun = self.0.reading.get().filter(|c| c.first < until);
        begun.map_or(until, |c| until.max(c.first + self.bounds().head_time))
    }

    /// Waits until a limit may be exceeded.
    async fn run_out(&self) {
        if self.0.unanswered.get() > 0 {
            return std::future::pending().await;
        }
        let idle = self.idle_until().saturating_duration_since(Instant::now());
        let check = self.bounds().head_time / POLLS_PER_LIMIT;
        let is_arriving = self.0.reading.get().is_some();
        run_out(if is_arriving { idle.min(check) } else { idle }).await;
    }
}

/// Waits until the limits change.
async fn changed(bounds: &mut watch::Receiver<Bounds>) {
    // Without a sender they stay as they are.
    if bounds.changed().await.is_err() {
        std::future::pending().await
    }
}
