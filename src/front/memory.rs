//! Bound on the memory that callers' bytes take, from the first byte of a body to its last use.
//!
//! Failure guarded against: callers send many large bodies at once, most of which stop just short of their
//! end. Each keeps its own limits. Together they take more memory than the host has, and the process is killed.
//!
//! A body counts while it arrives, waits for an upstream, is sent and is kept for another attempt: its bytes
//! give back what they hold when the last reference to them is dropped. When there is no room for more of a
//! body, the one that has been arriving for longest is given up. A caller that sends its request at once is
//! younger than those that stop short of their end, and these can't pretend to be young.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::select;
use futures_util::pin_mut;
use snafu::Snafu;
use tokio::sync::Notify;

use crate::schema::settings::Limits;
use crate::stats;

const MIB: f64 = 1_048_576.0;

/// Memory of a process whose settings don't give it.
pub(crate) const DEFAULT_MEMORY_MB: f64 = 256.0;
/// Share of the process's memory that callers' connections may take.
const CONNECTIONS_SHARE: f64 = 0.375;
/// What a connection may take at most: its buffers, the kernel's, the state of a request, and the bytes of its body
/// that don't count towards the budget.
const CONNECTION_BYTES: usize = 96 << 10;
/// Share of the process's memory that unauthenticated connections to the listener for other routers may take.
const UNAUTHENTICATED_SHARE: f64 = 0.125;
/// What such a connection may take: its buffers, and the window of its requests.
const UNAUTHENTICATED_BYTES: usize = 96 << 10;
/// A fleet's routers, and a quarter of the files that a process may usually open.
const MAX_UNAUTHENTICATED: usize = 1_024;
/// Share of the process's memory that callers' requests may take.
const REQUESTS_SHARE: f64 = 0.1875;
/// Share of the process's memory that whole answers to callers may take. It is apart from that of requests, some of
/// which are kept until their answers are whole.
const ANSWERS_SHARE: f64 = 0.125;
/// Least time that a body may take to arrive before it is given up for another one.
const MIN_ARRIVAL: Duration = Duration::from_secs(1);

/// The process's memory, of which each kind of use has a share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemoryShares {
    total_bytes: f64,
}

impl MemoryShares {
    pub(crate) fn of(limits: &Limits) -> Self {
        let total_mb = match limits.max_memory_mb {
            0.0 => DEFAULT_MEMORY_MB,
            given => given,
        };
        Self {
            total_bytes: total_mb * MIB,
        }
    }

    /// Limit on callers' connections.
    pub(crate) fn connections(self) -> usize {
        let most = (self.total_bytes * CONNECTIONS_SHARE) as usize / CONNECTION_BYTES;
        most.max(1)
    }

    /// Limit on connections to the listener for other routers on which none of them has shown itself. Hundreds of
    /// routers may connect at once.
    pub(crate) fn unauthenticated_peers(self) -> usize {
        let most = (self.total_bytes * UNAUTHENTICATED_SHARE) as usize / UNAUTHENTICATED_BYTES;
        most.clamp(1, MAX_UNAUTHENTICATED)
    }

    pub(crate) fn answer_bytes(self) -> ByteBudget {
        ByteBudget::new((self.total_bytes * ANSWERS_SHARE) as usize)
    }

    pub(crate) fn request_bytes(self) -> ByteBudget {
        ByteBudget::new((self.total_bytes * REQUESTS_SHARE) as usize)
    }
}

/// There is no room for more bytes of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("callers' requests take all the memory that they may"))]
pub(crate) struct NoRoom;

/// Number of bytes that callers' requests, or their answers, may take.
#[derive(Clone)]
pub(crate) struct ByteBudget(Rc<Budget>);

struct Budget {
    shared: Arc<Shared>,
    /// Bodies that are arriving, the oldest first.
    arriving: RefCell<BTreeMap<u64, Rc<Arriving>>>,
    next_number: Cell<u64>,
}

struct Shared {
    max_bytes: usize,
    held_bytes: AtomicUsize,
    released: Notify,
}

/// A body that is arriving.
struct Arriving {
    since: Instant,
    held_bytes: Cell<usize>,
    is_evicted: Cell<bool>,
    evicted: Notify,
}

/// Bytes that count towards a budget until they are dropped.
pub(crate) struct Held {
    shared: Arc<Shared>,
    bytes: usize,
}

/// A buffer that counts towards a budget.
struct HeldBuffer {
    bytes: Vec<u8>,
    _held: Held,
}

/// The buffer of a body that is arriving.
pub(crate) struct Arrival {
    budget: ByteBudget,
    number: u64,
    entry: Rc<Arriving>,
    /// Bytes that don't count.
    free_bytes: usize,
    buffer: Vec<u8>,
    held: Held,
}

impl ByteBudget {
    pub(crate) fn new(max_bytes: usize) -> Self {
        let shared = Shared {
            max_bytes,
            held_bytes: AtomicUsize::new(0),
            released: Notify::new(),
        };
        Self(Rc::new(Budget {
            shared: Arc::new(shared),
            arriving: RefCell::default(),
            next_number: Cell::default(),
        }))
    }

    /// Counts `bytes` more of a request that holds `own_bytes` already.
    pub(crate) fn hold(&self, bytes: usize, own_bytes: usize) -> Result<Held, NoRoom> {
        let mut held = self.nothing();
        held.grow(bytes, own_bytes)?;
        Ok(held)
    }

    /// Counts `bytes` once there is room for them. What already counts must not wait for these bytes.
    pub(crate) async fn hold_when_free(&self, bytes: usize) -> Held {
        let mut held = self.nothing();
        loop {
            let released = self.0.shared.released.notified();
            if held.grow(bytes, 0).is_ok() {
                return held;
            }
            released.await;
        }
    }

    /// Begins to receive a body, whose first `free_bytes` don't count.
    pub(crate) fn receive(&self, free_bytes: usize) -> Arrival {
        let number = self.0.next_number.get();
        self.0.next_number.set(number + 1);
        let entry = Rc::new(Arriving {
            since: Instant::now(),
            held_bytes: Cell::default(),
            is_evicted: Cell::default(),
            evicted: Notify::new(),
        });
        let mut arriving = self.0.arriving.borrow_mut();
        arriving.insert(number, entry.clone());
        Arrival {
            budget: self.clone(),
            number,
            entry,
            free_bytes,
            buffer: Vec::new(),
            held: self.nothing(),
        }
    }

    pub(crate) fn nothing(&self) -> Held {
        Held {
            shared: self.0.shared.clone(),
            bytes: 0,
        }
    }

    /// Gives up the body that has been arriving for longest, if it is older than body `number` and old enough.
    /// Returns whether room will be released.
    fn evict_before(&self, number: u64) -> bool {
        let arriving = self.0.arriving.borrow();
        let mut older = arriving.range(..number).map(|(_, body)| body);
        let body = older.find(|body| body.held_bytes.get() > 0);
        body.is_some_and(|body| body.is_evicted.get() || body.evict())
    }

    /// Gives up the body that has been arriving for longest, if it is old enough. Returns whether its connection
    /// will be closed.
    pub(crate) fn evict_longest(&self) -> bool {
        let arriving = self.0.arriving.borrow();
        let body = arriving.values().find(|body| !body.is_evicted.get());
        body.is_some_and(|body| body.evict())
    }
}

impl Shared {
    fn release(&self, bytes: usize) {
        if bytes > 0 {
            self.held_bytes.fetch_sub(bytes, Ordering::Relaxed);
            self.released.notify_waiters();
        }
    }
}

impl Arriving {
    /// Gives up the body, unless it is young.
    fn evict(&self) -> bool {
        if self.since.elapsed() < MIN_ARRIVAL {
            return false;
        }
        self.is_evicted.set(true);
        self.evicted.notify_waiters();
        stats::body_evicted();
        true
    }
}

impl Held {
    /// Counts `bytes` more. A request that alone holds anything gets all that it needs.
    fn grow(&mut self, bytes: usize, own_bytes: usize) -> Result<(), NoRoom> {
        let shared = &self.shared;
        let before = shared.held_bytes.load(Ordering::Relaxed);
        let is_alone = before <= own_bytes;
        if !is_alone && before.saturating_add(bytes) > shared.max_bytes {
            return NoRoomSnafu.fail();
        }
        shared.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        Ok(())
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Counts so much more that it is at least `bytes`.
    pub(crate) fn raise_to(&mut self, bytes: usize) -> Result<(), NoRoom> {
        self.grow(bytes.saturating_sub(self.bytes), self.bytes)
    }

    /// Gives back what exceeds `bytes`.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.bytes -= excess;
        self.shared.release(excess);
    }

    /// Returns `bytes` as a buffer that holds what this does until its last reference is dropped.
    pub(crate) fn attach(self, bytes: Vec<u8>) -> Bytes {
        if self.bytes == 0 {
            return bytes.into();
        }
        Bytes::from_owner(HeldBuffer { bytes, _held: self })
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.shared.release(self.bytes);
    }
}

impl AsRef<[u8]> for HeldBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Arrival {
    pub(crate) fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Appends `data`; the buffer grows to at most `most_bytes` in advance.
    pub(crate) async fn push(&mut self, data: &[u8], most_bytes: usize) -> Result<(), NoRoom> {
        let needed = self.buffer.len() + data.len();
        if needed > self.buffer.capacity() {
            let wanted = needed.max(self.buffer.capacity() * 2);
            let capacity = wanted.min(most_bytes).max(needed);
            self.reserve(capacity).await?;
            self.buffer.reserve_exact(capacity - self.buffer.len());
        }
        self.buffer.extend_from_slice(data);
        Ok(())
    }

    /// Counts a buffer of this size.
    async fn reserve(&mut self, capacity: usize) -> Result<(), NoRoom> {
        let wanted = capacity.saturating_sub(self.free_bytes);
        let more = wanted.saturating_sub(self.held.bytes);
        let shared = self.held.shared.clone();
        loop {
            let released = shared.released.notified();
            if self.entry.is_evicted.get() {
                return NoRoomSnafu.fail();
            }
            if self.held.grow(more, self.held.bytes).is_ok() {
                self.entry.held_bytes.set(self.held.bytes);
                return Ok(());
            }
            if !self.budget.evict_before(self.number) {
                return NoRoomSnafu.fail();
            }
            let evicted = self.entry.evicted.notified();
            pin_mut!(released, evicted);
            select(released, evicted).await;
        }
    }

    /// Returns once the body is given up for another one.
    pub(crate) async fn evicted(&self) {
        let evicted = self.entry.evicted.notified();
        if !self.entry.is_evicted.get() {
            evicted.await;
        }
    }

    /// Ends the arrival; the body's bytes go on to count.
    pub(crate) fn complete(mut self) -> (Vec<u8>, Held) {
        let nothing = self.budget.nothing();
        let mut held = std::mem::replace(&mut self.held, nothing);
        let mut buffer = std::mem::take(&mut self.buffer);
        buffer.shrink_to_fit();
        held.shrink_to(buffer.len().saturating_sub(self.free_bytes));
        (buffer, held)
    }
}

impl Drop for Arrival {
    fn drop(&mut self) {
        self.budget.0.arriving.borrow_mut().remove(&self.number);
    }
}

#[cfg(test)]
#[path = "memory_tests.rs"]
mod memory_tests;
