//! Origins of streams that outlive all routers that knew them: batches on the platform.
//!
//! Load pattern: upstreams of several versions serve one service, and all routers restart, or the one that
//! began a stream and its keepers end at once. Callers take their streams up again within seconds.
//!
//! The first router in the order of a group of streams is told of all of its streams and writes them. So
//! the number of writers doesn't grow with the fleet.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::{Notify, mpsc, oneshot};

use crate::decide::Origin;
use crate::path::stream_origins::batches::{Batches, WriteCall};
use crate::time_limit::within;

/// Least interval between the starts of two reads, however many streams of unknown origin are taken up. A
/// stream that is taken up right after one began must get the next one within [`READ_WAIT`].
const READ_INTERVAL_MS: u64 = 250;
/// Number of reads in a second by all routers from which each of them reads less often.
const FLEET_READS_PER_S: u64 = 50;
/// Time for which a caller waits for a read.
const READ_WAIT: Duration = Duration::from_millis(500);

/// Streams by where they began.
pub(crate) type StreamsByOrigin = HashMap<Origin, Vec<u64>>;

/// Call to read the batches that have not expired; the sender is dropped if they can't be read.
pub(crate) type ReadCall = oneshot::Sender<Vec<StreamsByOrigin>>;

/// Where batches are stored.
#[derive(Clone, Debug)]
pub(crate) struct OriginLog {
    pub(crate) writes: mpsc::Sender<WriteCall>,
    pub(crate) reads: mpsc::Sender<ReadCall>,
}

/// Origins that this router writes and reads.
#[derive(Debug, Default)]
pub(super) struct Stored {
    reads: RefCell<Option<mpsc::Sender<ReadCall>>>,
    batches: Rc<Batches>,
    /// What was read last. Streams whose records contradict each other have no origin.
    known: RefCell<HashMap<u64, Option<Origin>>>,
    /// Time at which the last read began, by the clock of requests and by that of timers.
    read_ms: Cell<Option<u64>>,
    read_at: Cell<Option<Instant>>,
    /// Number of reads that began.
    begun: Cell<u64>,
    /// Number of reads that began up to the last one that succeeded.
    succeeded: Cell<u64>,
    is_reading: Cell<bool>,
    read: Notify,
}

impl Stored {
    pub(super) fn set_store(&self, log: OriginLog) {
        self.reads.replace(Some(log.reads));
        self.batches.set_store(log.writes);
    }

    pub(super) fn batches(&self) -> &Batches {
        &self.batches
    }

    /// Looks a stream up in what is stored, which a fleet of `routers` reads again unless the stream is
    /// known. A read that began before says nothing of a stream that isn't: it may have been stored since.
    /// A read that takes longer than the caller waits serves the next one.
    pub(super) async fn find(
        self: &Rc<Self>,
        stream: u64,
        routers: usize,
        now_ms: u64,
    ) -> Option<Origin> {
        let before = self.begun.get();
        let fleet_ms = routers as u64 * 1_000 / FLEET_READS_PER_S;
        let interval = Duration::from_millis(fleet_ms.max(READ_INTERVAL_MS));
        let read = self.wait_until_read(stream, before, interval, now_ms);
        // What was read before the time limit counts.
        let _ = within(READ_WAIT, read).await;
        self.known(stream).flatten()
    }

    /// Waits until the stream is known, or a read has succeeded after the first `before` ones.
    async fn wait_until_read(
        self: &Rc<Self>,
        stream: u64,
        before: u64,
        interval: Duration,
        now_ms: u64,
    ) {
        while self.known(stream).is_none() && self.succeeded.get() <= before {
            let Some(reads) = self.reads.borrow().clone() else {
                return;
            };
            if self.is_reading.get() {
                self.read.notified().await;
                continue;
            }
            let wait = self.until_due(interval);
            if wait >= READ_WAIT {
                return;
            }
            if wait.is_zero() {
                self.begin_read(reads, now_ms);
            } else {
                compio::time::sleep(wait).await;
            }
        }
    }

    /// Time until the next read may begin. One that failed is soon made again.
    fn until_due(&self, interval: Duration) -> Duration {
        let has_failed = self.succeeded.get() < self.begun.get();
        let least = Duration::from_millis(READ_INTERVAL_MS);
        let interval = if has_failed { least } else { interval };
        let since = self.read_at.get().map_or(interval, |at| at.elapsed());
        interval.saturating_sub(since)
    }

    /// Time since the last read began, if one did.
    pub(super) fn read_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.read_ms.get().map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    fn known(&self, stream: u64) -> Option<Option<Origin>> {
        self.known.borrow().get(&stream).cloned()
    }

    fn begin_read(self: &Rc<Self>, reads: mpsc::Sender<ReadCall>, now_ms: u64) {
        self.read_ms.set(Some(now_ms));
        self.read_at.set(Some(Instant::now()));
        self.is_reading.set(true);
        let this = self.clone();
        compio::runtime::spawn(async move {
            // All that ask until now are served by this read.
            let number = this.begun.get() + 1;
            this.begun.set(number);
            if let Some(batches) = read(&reads).await {
                this.set_known(batches);
                this.succeeded.set(number);
            }
            this.is_reading.set(false);
            this.read.notify_waiters();
        })
        .detach();
    }

    fn set_known(&self, batches: Vec<StreamsByOrigin>) {
        let mut known: HashMap<u64, Option<Origin>> = HashMap::new();
        let mut contradicting = 0_usize;
        for (origin, streams) in batches.into_iter().flatten() {
            for stream in streams {
                match known.entry(stream) {
                    Entry::Vacant(entry) => {
                        entry.insert(Some(origin.clone()));
                    }
                    Entry::Occupied(mut entry) => {
                        let is_other = entry.get().as_ref().is_some_and(|o| *o != origin);
                        if is_other {
                            contradicting += 1;
                            entry.insert(None);
                        }
                    }
                }
            }
        }
        if contradicting > 0 {
            log::warn!(
                "{contradicting} streams are ignored whose stored origins contradict each other"
            );
        }
        self.known.replace(known);
    }
}

async fn read(reads: &mpsc::Sender<ReadCall>) -> Option<Vec<StreamsByOrigin>> {
    let (reply, read) = oneshot::channel();
    reads.send(reply).await.ok()?;
    read.await.ok()
}
