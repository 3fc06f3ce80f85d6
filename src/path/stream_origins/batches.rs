//! Batches of origins on their way to the platform, one at a time.
//!
//! Failure guarded against: all routers lose power at once. A stream whose first events were passed on a
//! moment before is known to nobody and is refused when its caller takes it up.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::pin_mut;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::decide::Origin;
use crate::path::stream_origins::StreamsByOrigin;
use crate::time_limit::within;

/// Least time between the starts of two writes of a router: 33 calls a second at most, and a stream that
/// begins right after a write waits for less than half of the time that it may.
const WRITE_INTERVAL: Duration = Duration::from_millis(30);
/// Pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time after which a write is overdue, and nobody waits for those that follow: a write takes some
/// milliseconds.
pub(super) const OVERDUE: Duration = Duration::from_millis(80);
/// Largest number of streams that wait to be written, of 8 bytes each in memory. More at a time mean an outage.
const MAX_PENDING: usize = 1 << 16;

/// Call to write origins.
#[derive(Debug)]
pub(crate) struct WriteCall {
    pub(crate) streams: StreamsByOrigin,
    /// Dropped if they can't be written.
    pub(crate) reply: oneshot::Sender<()>,
}

/// Says whether origins were stored. It ends without a word if they can't be.
pub(super) type Ticket = oneshot::Receiver<bool>;

/// Origins that are to be written next.
#[derive(Debug, Default)]
struct Batch {
    streams: StreamsByOrigin,
    count: usize,
    waiting: Vec<oneshot::Sender<bool>>,
}

/// The writes of this router.
#[derive(Debug, Default)]
pub(super) struct Batches {
    has_store: Cell<bool>,
    next: RefCell<Batch>,
    added: Notify,
    /// Whether the last write failed or is overdue.
    is_failing: Cell<bool>,
}

impl Batches {
    /// Begins to write what is added to `store`.
    pub(super) fn set_store(self: &Rc<Self>, store: mpsc::Sender<WriteCall>) {
        self.has_store.set(true);
        compio::runtime::spawn(self.clone().run(store)).detach();
    }

    /// Whether waiting for a write is in vain.
    pub(super) fn is_failing(&self) -> bool {
        self.is_failing.get() || !self.has_store.get()
    }

    /// Adds streams to the next batch.
    pub(super) fn add(&self, origin: &Origin, streams: &[u64]) -> Ticket {
        let (written, ticket) = oneshot::channel();
        let mut next = self.next.borrow_mut();
        if !self.has_store.get() || next.count + streams.len() > MAX_PENDING {
            return ticket;
        }
        next.count += streams.len();
        let known = next.streams.entry(origin.clone()).or_default();
        known.extend_from_slice(streams);
        // Whom nobody waits for any more doesn't count.
        next.waiting.retain(|waiting| !waiting.is_closed());
        next.waiting.push(written);
        self.added.notify_one();
        ticket
    }

    async fn run(self: Rc<Self>, store: mpsc::Sender<WriteCall>) {
        loop {
            self.added.notified().await;
            let batch = self.next.take();
            if batch.count == 0 {
                continue;
            }
            let began = Instant::now();
            let is_stored = self.write(&store, batch.streams.clone()).await;
            self.is_failing.set(!is_stored);
            if !is_stored {
                self.put_back(batch.streams);
            }
            for waiting in batch.waiting {
                // Without a receiver, the caller has given up.
                let _ = waiting.send(is_stored);
            }
            if is_stored {
                compio::time::sleep_until(began + WRITE_INTERVAL).await;
            } else {
                compio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Returns whether the streams were stored.
    async fn write(&self, store: &mpsc::Sender<WriteCall>, streams: StreamsByOrigin) -> bool {
        let call = async {
            let (reply, written) = oneshot::channel();
            let call = WriteCall { streams, reply };
            store.send(call).await.is_ok() && written.await.is_ok()
        };
        pin_mut!(call);
        match within(OVERDUE, &mut call).await {
            Ok(is_stored) => is_stored,
            Err(_) => {
                self.is_failing.set(true);
                call.await
            }
        }
    }

    /// Has streams written again.
    fn put_back(&self, streams: StreamsByOrigin) {
        let mut next = self.next.borrow_mut();
        for (origin, mut streams) in streams {
            streams.truncate(MAX_PENDING.saturating_sub(next.count));
            next.count += streams.len();
            next.streams.entry(origin).or_default().extend(streams);
        }
        self.added.notify_one();
    }
}
