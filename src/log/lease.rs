//! Leases: the order of records in the log decides which router may give orders to an upstream.
//!
//! A lease is granted if no other lease was granted since its requester last read the stream. Wall
//! clocks play no part: the holder stops one term after it began its append, measured by its own
//! monotonic clock, and another router waits more than one term from when it first read the
//! holder's record, which is later. The position of the grant is the fencing number, which grows with
//! every grant: a log that was restored from an older copy gives offsets out again, but its era has
//! risen.
//!
//! A restore may lose grants. A router grants and takes nothing until a term has passed since it first
//! read the log in the new era: by then every lease from before the restore has expired.

use std::collections::HashMap;

use snafu::Snafu;
use uuid::Uuid;

use crate::log::timer::Timer;
use crate::log::{Batch, Log, LogError, invariant};
use crate::mutation::{Mutation, mutated};
use crate::schema::records::Lease as Record;
use crate::util::Name;

/// The stream that holds lease records.
pub const STREAM: &str = "leases";

/// Term of a lease. An order is one small request, and after a crash of the holder the next router
/// has to wait for about this long.
pub const TERM_MS: u64 = 15_000;

const READ_MAX: usize = 256;
/// Offsets of one era, of which the fencing numbers of the next are above. The product stays exact in
/// JSON numbers for some thousand eras.
const OFFSETS_PER_ERA: u64 = 1 << 40;
const CONFIRM_READS: u32 = 4;
const CONFIRM_PAUSE: std::time::Duration = std::time::Duration::from_millis(25);
/// The rates of two hosts' monotonic clocks may differ by one part in this many.
const DRIFT_DIVISOR: u64 = 100;

/// A lease held by this router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lease {
    /// The upstream that the lease is for.
    pub upstream: Name,
    /// Fencing number, greater than that of every earlier lease of the upstream.
    pub fencing: u64,
    /// End of the lease on this router's monotonic clock.
    pub until_ms: u64,
    /// Whether another host held the lease before.
    pub taken_over: bool,
}

/// Why a lease wasn't acquired.
#[derive(Debug, Snafu)]
pub enum LeaseError {
    /// Another router holds the lease.
    #[snafu(display("{host} holds the lease; retry in {wait_ms} ms"))]
    Held {
        /// The host that holds the lease.
        host: String,
        /// Time until the lease has expired, unless it is renewed.
        wait_ms: u64,
    },
    /// The log was restored from an older copy; a lease that it lost may still be held.
    #[snafu(display("the log was restored, a lease may have been lost; retry in {wait_ms} ms"))]
    Restored {
        /// Time until every lease from before the restore has expired.
        wait_ms: u64,
    },
    /// The log can't be reached.
    #[snafu(display("{source}"))]
    Log {
        /// The error of the log.
        source: LogError,
    },
    /// The record wasn't found in time; the lease isn't held.
    #[snafu(display("the lease wasn't confirmed by the log in time"))]
    Unconfirmed,
}

#[derive(Clone, Debug)]
struct Granted {
    era: u64,
    offset: u64,
    id: String,
    host: String,
    term_ms: u64,
    ended: bool,
    /// When this router first read it.
    seen_ms: u64,
}

impl Granted {
    fn fencing(&self) -> u64 {
        self.era * OFFSETS_PER_ERA + self.offset
    }
}

/// Acquires, renews and ends leases for one router.
#[derive(Debug)]
pub struct LeaseManager<L, P> {
    log: L,
    timer: P,
    host: String,
    era: u64,
    /// When this router first read the log in this era.
    era_seen_ms: u64,
    next: u64,
    granted: HashMap<Name, Granted>,
}

impl<L: Log, P: Timer> LeaseManager<L, P> {
    /// Creates a manager that has read nothing. `host` must be unique to this incarnation: a
    /// restarted host must wait for the lease of its previous incarnation like any other host.
    pub fn new(log: L, timer: P, host: String) -> Self {
        Self {
            log,
            timer,
            host,
            era: 0,
            era_seen_ms: 0,
            next: 0,
            granted: HashMap::new(),
        }
    }

    /// Acquires or renews the lease of `upstream`.
    ///
    /// # Errors
    /// When another router may still give orders, or the log can't be read or appended to.
    pub async fn acquire(&mut self, upstream: &Name) -> Result<Lease, LeaseError> {
        let read = self.read().await;
        read.map_err(|source| LeaseError::Log { source })?;
        self.check_restored()?;
        let era = self.era;
        let mut taken_over = self.may_have_lost_grant(upstream);
        if let Some(granted) = self.granted.get(upstream) {
            taken_over |= granted.host != self.host;
            self.check_expired(granted)?;
        }
        let started_ms = self.timer.now().mono_ms;
        let record = self.record(upstream, 0);
        let id = record.id.clone();
        let appended = self.append(record).await;
        if let Err(source @ LogError::Unavailable { .. }) = appended {
            return Err(LeaseError::Log { source });
        }
        for _ in 0..CONFIRM_READS {
            let is_read = self.read().await.is_ok();
            if self.era != era {
                return Err(LeaseError::Unconfirmed);
            }
            if is_read && let Some(granted) = self.granted.get(upstream) {
                if granted.id == id {
                    let fencing = granted.fencing();
                    let lease = self.lease(upstream, fencing, started_ms, taken_over);
                    // The term may have passed in a pause since the append, and a stale read may
                    // not show that another router has taken over.
                    return if self.is_held(&lease) {
                        Ok(lease)
                    } else {
                        Err(LeaseError::Unconfirmed)
                    };
                }
                self.check_expired(granted)?;
            }
            self.timer.sleep(CONFIRM_PAUSE).await;
        }
        Err(LeaseError::Unconfirmed)
    }

    /// Ends `lease` early, so that the next router needn't wait for its expiry.
    ///
    /// # Errors
    /// As [`Log::append`]. If the record isn't appended, the lease expires at the end of its term.
    pub async fn release(&mut self, lease: &Lease) -> Result<(), LogError> {
        let record = self.record(&lease.upstream, lease.fencing + 1);
        self.append(record).await
    }

    /// Whether orders may still be given under `lease`.
    pub fn is_held(&self, lease: &Lease) -> bool {
        self.timer.now().mono_ms < lease.until_ms
    }

    fn lease(&self, upstream: &Name, fencing: u64, started_ms: u64, taken_over: bool) -> Lease {
        let from_ms = if mutated(Mutation::TermFromGrantRead) {
            self.timer.now().mono_ms
        } else {
            started_ms
        };
        Lease {
            upstream: upstream.clone(),
            fencing,
            until_ms: from_ms + TERM_MS,
            taken_over,
        }
    }

    /// Fails while the holder of `granted` may still give orders.
    fn check_expired(&self, granted: &Granted) -> Result<(), LeaseError> {
        if granted.ended || granted.host == self.host || mutated(Mutation::SkipTakeoverWait) {
            return Ok(());
        }
        let wait_ms = longest_ms(granted.term_ms);
        let passed_ms = self.timer.now().mono_ms.saturating_sub(granted.seen_ms);
        if passed_ms >= wait_ms {
            return Ok(());
        }
        Err(LeaseError::Held {
            host: granted.host.clone(),
            wait_ms: wait_ms - passed_ms,
        })
    }

    /// Whether another host may have held the lease before the log was restored.
    fn may_have_lost_grant(&self, upstream: &Name) -> bool {
        let granted = self.granted.get(upstream);
        self.era > 0 && granted.is_none_or(|g| g.era < self.era)
    }

    /// Fails while a lease may be held that a restore of the log lost.
    fn check_restored(&self) -> Result<(), LeaseError> {
        if self.era == 0 || mutated(Mutation::SkipRestoreWait) {
            return Ok(());
        }
        let passed_ms = self.timer.now().mono_ms.saturating_sub(self.era_seen_ms);
        match longest_ms(TERM_MS).checked_sub(passed_ms) {
            Some(wait_ms) if wait_ms > 0 => Err(LeaseError::Restored { wait_ms }),
            _ => Ok(()),
        }
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
            era: self.era,
        }
    }

    async fn read(&mut self) -> Result<(), LogError> {
        loop {
            let batch = self.log.read(STREAM, self.next, READ_MAX).await?;
            if self.check_era(&batch)? {
                continue;
            }
            self.next = self.next.max(batch.first);
            let before = self.next;
            for entry in batch.entries {
                if entry.offset < self.next {
                    continue;
                }
                self.next = entry.offset + 1;
                if let Ok(record) = serde_json::from_str::<Record>(&entry.text) {
                    self.apply_record(entry.offset, record);
                }
            }
            if self.next == before || self.next >= batch.next {
                return Ok(());
            }
        }
    }

    /// Takes over the era of a batch; returns whether it is a new one, whose offsets are others.
    fn check_era(&mut self, batch: &Batch) -> Result<bool, LogError> {
        if batch.era < self.era {
            return Err(LogError::Unavailable {
                detail: "the response is from before a restore of the log".to_owned(),
            });
        }
        if batch.era == self.era {
            return Ok(false);
        }
        self.era = batch.era;
        self.era_seen_ms = self.timer.now().mono_ms;
        self.next = 0;
        self.granted.clear();
        Ok(true)
    }

    fn apply_record(&mut self, offset: u64, record: Record) {
        let upstream = Name::from(record.upstream.as_str());
        let current = self.granted.get_mut(&upstream);
        if record.ends > 0 {
            if let Some(granted) = current
                && granted.fencing() + 1 == record.ends
            {
                granted.ended = true;
            }
            return;
        }
        if let Some(granted) = &current {
            let unread = (granted.era, granted.offset) >= (record.era, record.read_to);
            if unread && !mutated(Mutation::GrantWithUnreadRecords) {
                return;
            }
            let grows = (record.era, offset) > (granted.era, granted.offset);
            invariant(grows, "a fencing number went back");
        }
        let granted = Granted {
            era: record.era,
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

/// Returns the time after which a lease of `term_ms` has expired, whatever its holder's clock.
fn longest_ms(term_ms: u64) -> u64 {
    term_ms + term_ms / DRIFT_DIVISOR + 1
}
