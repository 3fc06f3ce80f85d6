//! Origins of streams that outlive all routers that knew them: batches on the platform.
//!
//! Load pattern: upstreams of several versions serve one service, and all routers restart, or the one that
//! began a stream and its keepers end at once. Callers take their streams up again within seconds.
//!
//! The first router in the order of a group of streams is told of all of its streams and writes those that
//! began since its last batch. So the number of writers doesn't grow with the fleet.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, mpsc, oneshot};

use crate::decide::Origin;
use crate::time_limit::within;

/// Interval at which batches are written. Streams that begin within it before an end of all routers aren't
/// known afterwards.
const WRITE_INTERVAL_MS: u64 = 1_000;
/// Least interval between two reads, however many streams of unknown origin are taken up.
const READ_INTERVAL_MS: u64 = 1_000;
/// Number of reads in a second by all routers from which each of them reads less often.
const FLEET_READS_PER_S: u64 = 50;
/// Time for which a caller waits for a read.
const READ_WAIT: Duration = Duration::from_millis(500);
/// Largest number of streams that wait to be written. More at a time mean an outage.
const MAX_PENDING: usize = 1 << 14;

/// Streams by where they began.
pub(crate) type StreamsByOrigin = HashMap<Origin, Vec<u64>>;

/// Call to where batches are stored.
pub(crate) enum StoreCall {
    /// Writes batches by group of streams.
    Write(BTreeMap<u64, StreamsByOrigin>),
    /// Reads the batches that have not expired; the reply is dropped if they can't be read.
    Read(oneshot::Sender<StreamsByOrigin>),
}

/// Batches that this router writes and reads.
#[derive(Debug, Default)]
pub(super) struct Stored {
    store: RefCell<Option<mpsc::Sender<StoreCall>>>,
    pending: RefCell<BTreeMap<u64, StreamsByOrigin>>,
    pending_streams: Cell<usize>,
    written_ms: Cell<u64>,
    /// What was read last.
    known: RefCell<HashMap<u64, Origin>>,
    /// Time at which the last read began.
    read_ms: Cell<Option<u64>>,
    is_reading: Cell<bool>,
    read: Notify,
}

impl Stored {
    pub(super) fn set_store(&self, store: mpsc::Sender<StoreCall>) {
        self.store.replace(Some(store));
    }

    /// Adds streams of a group to the next batch.
    pub(super) fn add(&self, group: u64, origin: &Origin, streams: &[u64]) {
        let waiting = self.pending_streams.get();
        if self.store.borrow().is_none() || waiting + streams.len() > MAX_PENDING {
            return;
        }
        self.pending_streams.set(waiting + streams.len());
        let mut pending = self.pending.borrow_mut();
        let batch = pending.entry(group).or_default();
        let known = batch.entry(origin.clone()).or_default();
        known.extend_from_slice(streams);
    }

    /// Writes the batches that wait, if it is time.
    pub(super) fn write_due(&self, now_ms: u64) {
        let is_due = now_ms.saturating_sub(self.written_ms.get()) >= WRITE_INTERVAL_MS;
        if !is_due || self.pending.borrow().is_empty() {
            return;
        }
        let store = self.store.borrow();
        let Some(permit) = store.as_ref().and_then(|store| store.try_reserve().ok()) else {
            return;
        };
        self.written_ms.set(now_ms);
        self.pending_streams.set(0);
        permit.send(StoreCall::Write(self.pending.take()));
    }

    /// Looks a stream up in what is stored, which a fleet of `routers` reads again if that was not done a
    /// moment ago. A read that takes longer than the caller waits serves the next one.
    pub(super) async fn find(
        self: &Rc<Self>,
        stream: u64,
        routers: usize,
        now_ms: u64,
    ) -> Option<Origin> {
        if let Some(origin) = self.known(stream) {
            return Some(origin);
        }
        self.begin_read(routers, now_ms);
        let read = self.read.notified();
        if self.is_reading.get() {
            // What was read before the time limit counts.
            let _ = within(READ_WAIT, read).await;
        }
        self.known(stream)
    }

    /// Time since the last read began, if one did that hasn't failed.
    pub(super) fn read_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.read_ms.get().map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    fn known(&self, stream: u64) -> Option<Origin> {
        self.known.borrow().get(&stream).cloned()
    }

    fn begin_read(self: &Rc<Self>, routers: usize, now_ms: u64) {
        let interval_ms = (routers as u64 * 1_000 / FLEET_READS_PER_S).max(READ_INTERVAL_MS);
        let is_recent = |at: u64| now_ms.saturating_sub(at) < interval_ms;
        if self.is_reading.get() || self.read_ms.get().is_some_and(is_recent) {
            return;
        }
        let Some(store) = self.store.borrow().clone() else {
            return;
        };
        self.read_ms.set(Some(now_ms));
        self.is_reading.set(true);
        let this = self.clone();
        compio::runtime::spawn(async move {
            match read(&store).await {
                Some(streams) => this.set_known(streams),
                // The next stream that is taken up has it read again.
                None => this.read_ms.set(None),
            }
            this.is_reading.set(false);
            this.read.notify_waiters();
        })
        .detach();
    }

    fn set_known(&self, streams: StreamsByOrigin) {
        let streams = streams.into_iter().flat_map(|(origin, streams)| {
            let known = streams.into_iter();
            known.map(move |stream| (stream, origin.clone()))
        });
        self.known.replace(streams.collect());
    }
}

async fn read(store: &mpsc::Sender<StoreCall>) -> Option<StreamsByOrigin> {
    let (reply, read) = oneshot::channel();
    store.send(StoreCall::Read(reply)).await.ok()?;
    read.await.ok()
}
