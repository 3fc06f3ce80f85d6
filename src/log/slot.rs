//! Reads and writes the claims of one slot. Takes the time as an argument.
//!
//! A reader needs only the records that can concern a key, not the whole stream. Each record
//! carries the offset up to which its appender had read and the time of that read: all records
//! below that offset were appended before that time. The time of the append itself would give no
//! such bound, because the appender may pause between taking the time and appending.
//!
//! A log that is restored from an older copy loses the newest claims. A key that may have been
//! claimed before the restore is not given to a new claim any more, unless a record of the new era
//! proves that the key is younger.

use uuid::Uuid;

use crate::log::claims::{CLOCK_MARGIN_MS, Claims, KeyStatus, SCHEMA, Verdict};
use crate::log::timer::Now;
use crate::log::{Batch, Log, LogError};
use crate::mutation::{Mutation, mutated};
use crate::schema::records::claim_record::Body;
use crate::schema::records::{Claim, ClaimRecord};

const READ_MAX: usize = 512;
/// A reader further behind than this restarts at the end of the stream and reads back from there as
/// far as needed.
const MAX_LAG_RECORDS: u64 = 8_192;
const FIRST_STEP_RECORDS: u64 = 64;

/// The stream of one slot, as far as it has been read.
#[derive(Clone, Debug)]
pub struct Slot<L> {
    log: L,
    stream: String,
    claims: Claims,
    /// What was read before the log was restored.
    earlier: Claims,
    /// Era in which the offsets were read.
    era: u64,
    /// The log was restored before this wall time; zero if it never was.
    restored_before_ms: u64,
    next: u64,
    /// Every record appended after this wall time has been read.
    covered_from_ms: u64,
    /// Offset at which reading began.
    start: u64,
    read_at_ms: u64,
    opened: bool,
}

impl<L: Log> Slot<L> {
    /// Creates a slot whose stream has not been read.
    pub fn new(log: L, stream: String) -> Self {
        Self {
            log,
            stream,
            claims: Claims::default(),
            earlier: Claims::default(),
            era: 0,
            restored_before_ms: 0,
            next: 0,
            covered_from_ms: u64::MAX,
            start: 0,
            read_at_ms: 0,
            opened: false,
        }
    }

    /// Returns the status of `key` after the records read so far.
    pub fn status(&self, key: &str) -> KeyStatus {
        match self.earlier.status(key) {
            KeyStatus::Free => self.claims.status(key),
            status @ KeyStatus::Done(..) => status,
            status @ KeyStatus::Held(_) => match self.claims.status(key) {
                done @ KeyStatus::Done(..) => done,
                _ => status,
            },
        }
    }

    /// Whether a claim of a key with time `key_ms` may have been lost in a restore of the log.
    pub fn may_have_lost_claim(&self, key_ms: u64) -> bool {
        self.restored_before_ms > 0
            && earliest_claim_ms(key_ms) <= self.restored_before_ms
            && !mutated(Mutation::TrustLogAfterRestore)
    }

    /// Returns the verdict on `claim` of a key with time `key_ms`, or `None` until the claim and
    /// every record that may precede it have been read. No claim wins a key of which a claim may
    /// have been lost.
    pub fn verdict(&self, claim: &Claim, key_ms: u64) -> Option<Verdict> {
        let covered = self.covers(key_ms);
        let verdict = covered.then(|| self.claims.verdict(claim)).flatten();
        verdict.filter(|v| *v != Verdict::Won || !self.may_have_lost_claim(key_ms))
    }

    /// Returns the offset to read from next.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Removes keys first seen before `before_ms` on the monotonic clock.
    pub fn remove_older_than(&mut self, before_ms: u64) {
        self.claims.remove_older_than(before_ms);
        self.earlier.remove_older_than(before_ms);
    }

    /// Reads to the end of the stream, and backwards until every claim of a key with time `key_ms`
    /// that the log still keeps has been read.
    ///
    /// # Errors
    /// When the log can't be read.
    pub async fn ensure_covered(
        &mut self,
        key_ms: u64,
        now: impl Fn() -> Now,
    ) -> Result<(), LogError> {
        if !self.opened {
            self.open(&now).await?;
        }
        self.read_to_end(&now, true).await?;
        let mut step = FIRST_STEP_RECORDS;
        while !self.covers(key_ms) {
            let need_ms = earliest_claim_ms(key_ms);
            let (from, covered_from_ms) = self.probe(step, need_ms).await?;
            if covered_from_ms < need_ms || covered_from_ms == 0 {
                self.reset(from, covered_from_ms);
                self.catch_up(&now).await?;
            }
            step = step.saturating_mul(4);
        }
        Ok(())
    }

    /// Appends `bodies` as one group; returns the offset after the last one.
    ///
    /// # Errors
    /// As [`Log::append`].
    pub async fn append(&self, bodies: Vec<Body>) -> Result<u64, LogError> {
        let count = bodies.len() as u64;
        let texts = bodies.into_iter().map(|body| self.encode(body)).collect();
        let offset = self.log.append(&self.stream, texts).await?;
        Ok(offset + count)
    }

    /// Reads to the end of the stream.
    ///
    /// # Errors
    /// When the log can't be read.
    pub async fn catch_up(&mut self, now: &impl Fn() -> Now) -> Result<(), LogError> {
        self.read_to_end(now, false).await
    }

    async fn read_to_end(
        &mut self,
        now: &impl Fn() -> Now,
        may_skip: bool,
    ) -> Result<(), LogError> {
        loop {
            let batch = self.log.read(&self.stream, self.next, READ_MAX).await?;
            let at = now();
            if self.check_era(&batch)? {
                self.read_at_ms = at.wall_ms;
                self.reset(batch.next, at.wall_ms);
                return Ok(());
            }
            if may_skip && batch.next.saturating_sub(self.next) > MAX_LAG_RECORDS {
                self.reset(batch.next, at.wall_ms);
                return Ok(());
            }
            self.read_at_ms = at.wall_ms;
            if !self.apply_batch(batch, at.mono_ms) {
                return Ok(());
            }
        }
    }

    /// Takes over the era of a batch; returns whether it is a new one, whose offsets are others.
    ///
    /// # Errors
    /// When the batch is from before a restore.
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
        self.restored_before_ms = batch.era_seen_ms;
        let read = std::mem::take(&mut self.claims);
        self.earlier.merge(read);
        Ok(true)
    }

    async fn open(&mut self, now: &impl Fn() -> Now) -> Result<(), LogError> {
        let batch = self.log.read(&self.stream, u64::MAX, 0).await?;
        self.check_era(&batch)?;
        self.read_at_ms = now().wall_ms;
        let empty = batch.first >= batch.next;
        self.reset(batch.next, if empty { 0 } else { now().wall_ms });
        self.opened = true;
        Ok(())
    }

    /// Whether every claim that may precede a new one of a key with time `key_ms` has been read,
    /// except those appended since the last read.
    pub fn covers(&self, key_ms: u64) -> bool {
        mutated(Mutation::SkipReadBack)
            || self.covered_from_ms == 0
            || self.covered_from_ms < earliest_claim_ms(key_ms)
    }

    fn reset(&mut self, from: u64, covered_from_ms: u64) {
        self.claims = Claims::default();
        self.next = from;
        self.start = from;
        self.covered_from_ms = covered_from_ms;
    }

    /// Returns the offset at which to begin in order to read about `step` records more, and the
    /// wall time since which all records would then have been read.
    async fn probe(&self, step: u64, need_ms: u64) -> Result<(u64, u64), LogError> {
        let from = self.start.saturating_sub(step);
        let batch = self.log.read(&self.stream, from, 1).await?;
        if batch.era != self.era {
            return Err(LogError::Unavailable {
                detail: "the log was restored during a read".to_owned(),
            });
        }
        if from <= batch.first {
            return Ok((batch.first, 0));
        }
        let record = batch.entries.first().and_then(|e| parse(&e.text));
        match record {
            // An offset from before a restore says nothing about the records after it.
            Some(r) if r.era == self.era && r.read_at_ms < need_ms => Ok((r.read_to, r.read_at_ms)),
            _ => Ok((from, u64::MAX)),
        }
    }

    /// Applies a batch; returns whether there may be more records.
    fn apply_batch(&mut self, batch: Batch, mono_ms: u64) -> bool {
        if batch.first > self.next {
            // Records that expired unread only concern keys that are too old to be claimed.
            self.reset(batch.first, 0);
        }
        let before = self.next;
        for entry in batch.entries {
            if entry.offset < self.next {
                continue;
            }
            self.next = entry.offset + 1;
            if let Some(record) = parse(&entry.text) {
                self.apply_record(record, mono_ms);
            }
        }
        self.next > before && self.next < batch.next
    }

    fn apply_record(&mut self, record: ClaimRecord, mono_ms: u64) {
        if record.era == self.era && record.read_at_ms > 0 {
            self.restored_before_ms = self.restored_before_ms.min(record.read_at_ms);
        }
        self.earlier.apply_end(&record, mono_ms);
        self.claims.apply(record, mono_ms);
    }

    fn encode(&self, body: Body) -> String {
        let record = ClaimRecord {
            schema: SCHEMA,
            read_to: self.next,
            read_at_ms: self.read_at_ms,
            era: self.era,
            body: Some(body),
        };
        serde_json::to_string(&record).unwrap_or_default()
    }
}

/// Returns the wall time before which no claim of a key with time `key_ms` was appended.
///
/// The claimant's clock showed at least `key_ms` minus the margin. It was within half the margin of
/// true time, and so is the clock that this time is compared with; hence twice the margin.
fn earliest_claim_ms(key_ms: u64) -> u64 {
    key_ms.saturating_sub(2 * CLOCK_MARGIN_MS)
}

fn parse(text: &str) -> Option<ClaimRecord> {
    let record: ClaimRecord = serde_json::from_str(text).ok()?;
    (record.schema <= SCHEMA).then_some(record)
}

/// Returns a new unique id for a claim.
pub fn new_claim_id() -> String {
    Uuid::now_v7().to_string()
}

/// Returns a new claim of `key` by `host`.
pub fn new_claim(key: &str, host: &str, fingerprint: u64, run_ms: u64) -> Claim {
    Claim {
        id: new_claim_id(),
        key: key.to_owned(),
        host: host.to_owned(),
        fingerprint,
        run_ms,
    }
}
