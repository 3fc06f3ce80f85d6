//! Origins of streams that outlive all routers that knew them: batches on the platform.
//!
//! Load pattern: upstreams of several versions serve one service, and all routers restart, or the one that
//! began a stream and its keepers end at once. Callers take their streams up again within seconds.
//!
//! The first router in the order of a group of streams is told of all of its streams and writes those that
//! began since its last batch. So the number of writers doesn't grow with the fleet.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use tokio::sync::{Mutex, mpsc, oneshot};

use crate::decide::Origin;
use crate::time_limit::within;

/// Interval at which batches are written. Streams that begin within it before an end of all routers aren't
/// known afterwards.
const WRITE_INTERVAL_MS: u64 = 1_000;
/// Least interval between two reads, however many streams of unknown origin are taken up.
const READ_INTERVAL_MS: u64 = 1_000;
/// Time limit of a read: its callers wait.
const READ_LIMIT: Duration = Duration::from_millis(500);
/// Largest number of streams that wait to be written. More at a time mean an outage.
const MAX_PENDING: usize = 1 << 14;

/// Streams by where they began.
pub(crate) type StreamsByOrigin = HashMap<Origin, Vec<u64>>;

/// Call to where batches are stored.
pub(crate) enum StoreCall {
    /// Writes batches by group of streams.
    Write(BTreeMap<u64, StreamsByOrigin>),
    /// Reads the batches that have not expired.
    Read(oneshot::Sender<StreamsByOrigin>),
}

/// Batches that this router writes and reads.
#[derive(Debug, Default)]
pub(super) struct Stored {
    store: RefCell<Option<mpsc::Sender<StoreCall>>>,
    pending: RefCell<BTreeMap<u64, StreamsByOrigin>>,
    pending_streams: Cell<usize>,
    written_ms: Cell<u64>,
    /// Time of the last read; one read serves all that wait for it.
    read_ms: Mutex<Option<u64>>,
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

    /// Reads the batches, unless that was done a moment ago.
    pub(super) async fn read(&self, now_ms: u64) -> StreamsByOrigin {
        let mut read_ms = self.read_ms.lock().await;
        let is_recent = |at: u64| now_ms.saturating_sub(at) < READ_INTERVAL_MS;
        let Some(store) = self.store.borrow().clone() else {
            return StreamsByOrigin::default();
        };
        if read_ms.is_some_and(is_recent) {
            return StreamsByOrigin::default();
        }
        *read_ms = Some(now_ms);
        let (reply, read) = oneshot::channel();
        let answered = async {
            store.send(StoreCall::Read(reply)).await.ok()?;
            read.await.ok()
        };
        let answered = within(READ_LIMIT, answered).await;
        answered.ok().flatten().unwrap_or_default()
    }
}
