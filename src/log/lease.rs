//! Leases: who may give orders to an upstream, decided by the order of records in the log.
//!
//! A lease is granted if no other was granted since its taker read the stream. Nobody's wall clock
//! counts: the holder stops a term after it began its append, by its own monotonic clock, and a
//! taker waits more than a term after it first read the holder's record, which is later. The grant's
//! offset grows with each grant and is the fencing number.

use std::collections::HashMap;

use snafu::Snafu;
use uuid::Uuid;

use crate::log::timer::Timer;
use crate::log::{Log, LogError, invariant};
use crate::mutation::{Mutation, mutated};
use crate::schema::records::Lease as Record;
use crate::util::Name;

/// The stream that holds lease records.
pub const STREAM: &str = "leases";

/// How long a lease holds. An order is one small request; a taker after a crash waits this long.
pub const TERM_MS: u64 = 15_000;

const READ_MAX: usize = 256;
const SETTLE_READS: u32 = 4;
const SETTLE_PAUSE: std::time::Duration = std::time::Duration::from_millis(25);
/// Monotonic clocks of two hosts may run apart by this share of the time.
const DRIFT_DIVISOR: u64 = 100;

/// A lease that this router holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lease {
    /// For which upstream.
    pub upstream: Name,
    /// Greater than that of every earlier lease of the upstream.
    pub fencing: u64,
    /// When this router must have stopped, on its monotonic clock.
    pub until_ms: u64,
    /// Another host held the lease before.
    pub taken_over: bool,
}

/// Why there is no lease.
#[derive(Debug, Snafu)]
pub enum LeaseError {
    /// Another router holds it.
    #[snafu(display("{host} holds the lease; come back in {wait_ms} ms"))]
    Held {
        /// The holder.
        host: String,
        /// After this it has surely stopped, if it doesn't renew.
        wait_ms: u64,
    },
    /// The log can't be asked.
    #[snafu(display("{source}"))]
    Log {
        /// What failed.
        source: LogError,
    },
    /// The record wasn't found; the lease isn't held.
    #[snafu(display("the log didn't show the lease in time"))]
    Unsettled,
}

#[derive(Clone, Debug)]
struct Granted {
    offset: u64,
    id: String,
    host: String,
    term_ms: u64,
    ended: bool,
    /// When this router first read it.
    seen_ms: u64,
}

/// One router's view of the leases, and its hand in them.
#[derive(Debug)]
pub struct Lessor<L, P> {
    log: L,
    timer: P,
    host: String,
    next: u64,
    granted: HashMap<Name, Granted>,
}

impl<L: Log, P: Timer> Lessor<L, P> {
    /// Starts with nothing read. `host` must name this incarnation alone: a replaced host waits for
    /// its predecessor like any other.
    pub fn new(log: L, timer: P, host: String) -> Self {
        Self {
            log,
            timer,
            host,
            next: 0,
            granted: HashMap::new(),
        }
    }

    /// Takes or renews the lease of `upstream`.
    ///
    /// # Errors
    /// When another router may still give orders, or the log doesn't tell.
    pub async fn take(&mut self, upstream: &Name) -> Result<Lease, LeaseError> {
        let read = self.read().await;
        read.map_err(|source| LeaseError::Log { source })?;
        let mut taken_over = false;
        if let Some(granted) = self.granted.get(upstream) {
            taken_over = granted.host != self.host;
            self.may_follow(granted)?;
        }
        let began_ms = self.timer.now().mono_ms;
        let record = self.record(upstream, 0);
        let id = record.id.clone();
        let appended = self.append(record).await;
        if let Err(source @ LogError::Unavailable { .. }) = appended {
            return Err(LeaseError::Log { source });
        }
        for _ in 0..SETTLE_READS {
            if self.read().await.is_ok()
                && let Some(granted) = self.granted.get(upstream)
            {
                if granted.id == id {
                    let fencing = granted.offset;
                    let lease = self.lease(upstream, fencing, began_ms, taken_over);
                    // A pause since the append may have used the term up, and an old read may
                    // hide that another router took over.
                    return if self.holds(&lease) {
                        Ok(lease)
                    } else {
                        Err(LeaseError::Unsettled)
                    };
                }
                self.may_follow(granted)?;
            }
            self.timer.pause(SETTLE_PAUSE).await;
        }
        Err(LeaseError::Unsettled)
    }

    /// Ends `lease` early, so that the next taker needn't wait.
    ///
    /// # Errors
    /// As [`Log::append`]; without the record the lease runs out by itself.
    pub async fn end(&mut self, lease: &Lease) -> Result<(), LogError> {
        let record = self.record(&lease.upstream, lease.fencing + 1);
        self.append(record).await
    }

    /// Whether orders may still be given under `lease`.
    pub fn holds(&self, lease: &Lease) -> bool {
        self.timer.now().mono_ms < lease.until_ms
    }

    fn lease(&self, upstream: &Name, fencing: u64, began_ms: u64, taken_over: bool) -> Lease {
        let from_ms = if mutated(Mutation::TermFromGrantRead) {
            self.timer.now().mono_ms
        } else {
            began_ms
        };
        Lease {
            upstream: upstream.clone(),
            fencing,
            until_ms: from_ms + TERM_MS,
            taken_over,
        }
    }

    /// Refuses while the holder may still give orders.
    fn may_follow(&self, granted: &Granted) -> Result<(), LeaseError> {
        if granted.ended || granted.host == self.host || mutated(Mutation::SkipTakeoverWait) {
            return Ok(());
        }
        let wait_ms = granted.term_ms + granted.term_ms / DRIFT_DIVISOR + 1;
        let passed_ms = self.timer.now().mono_ms.saturating_sub(granted.seen_ms);
        if passed_ms >= wait_ms {
            return Ok(());
        }
        Err(LeaseError::Held {
            host: granted.host.clone(),
            wait_ms: wait_ms - passed_ms,
        })
    }

    async fn append(&self, record: Record) -> Result<(), LogError> {
        let text = serde_json::to_string(&record).unwrap_or_default();
        self.log.append(STREAM, vec![text]).await.map(|_| ())
    }

    fn record(&self, upstream: &Name, ends: u64) -> Record {
        Record {
            id: Uuid::now_v7().to_string(),
            upstream: upstream.to_string(),
            host: self.host.clone(),
            read_to: self.next,
            term_ms: TERM_MS,
            ends,
        }
    }

    async fn read(&mut self) -> Result<(), LogError> {
        loop {
            let batch = self.log.read(STREAM, self.next, READ_MAX).await?;
            self.next = self.next.max(batch.first);
            let before = self.next;
            for entry in batch.entries {
                if entry.offset < self.next {
                    continue;
                }
                self.next = entry.offset + 1;
                if let Ok(record) = serde_json::from_str::<Record>(&entry.text) {
                    self.fold(entry.offset, record);
                }
            }
            if self.next == before || self.next >= batch.next {
                return Ok(());
            }
        }
    }

    fn fold(&mut self, offset: u64, record: Record) {
        let upstream = Name::from(record.upstream.as_str());
        let current = self.granted.get_mut(&upstream);
        if record.ends > 0 {
            if let Some(granted) = current
                && granted.offset + 1 == record.ends
            {
                granted.ended = true;
            }
            return;
        }
        if let Some(granted) = &current {
            let unread = granted.offset >= record.read_to;
            if unread && !mutated(Mutation::GrantWithUnreadRecords) {
                return;
            }
            invariant(offset > granted.offset, "a fencing number went back");
        }
        let granted = Granted {
            offset,
            id: record.id,
            host: record.host,
            term_ms: record.term_ms,
            ended: false,
            seen_ms: self.timer.now().mono_ms,
        };
        self.granted.insert(upstream, granted);
    }
}
