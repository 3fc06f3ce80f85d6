//! Reads and writes the claims of one slot. No timers and no clock of its own.
//!
//! A reader needs the records that can concern a key, not the whole stream. Each record says up to
//! which offset its appender had read, and by when. That bounds from above when all below landed;
//! a time stamped before an append would not, for its appender may pause in between.

use uuid::Uuid;

use crate::log::claims::{CLOCK_MARGIN_MS, Claims, KeyStatus, SCHEMA, Verdict};
use crate::log::timer::Now;
use crate::log::{Batch, Log, LogError};
use crate::mutation::{Mutation, mutated};
use crate::schema::records::claim_record::Body;
use crate::schema::records::{Claim, ClaimRecord};

const READ_MAX: usize = 512;
/// A reader that is further behind starts anew at the tail, and goes back as far as it must.
const SKIP_RECORDS: u64 = 8_192;
const FIRST_STEP: u64 = 64;

/// One slot's stream as read so far.
#[derive(Clone, Debug)]
pub struct Slot<L> {
    log: L,
    stream: String,
    claims: Claims,
    next: u64,
    /// Every record that landed after this wall time was read.
    covered_from_ms: u64,
    /// Where reading began.
    start: u64,
    read_at_ms: u64,
    opened: bool,
}

impl<L: Log> Slot<L> {
    /// Reads nothing yet.
    pub fn new(log: L, stream: String) -> Self {
        Self {
            log,
            stream,
            claims: Claims::default(),
            next: 0,
            covered_from_ms: u64::MAX,
            start: 0,
            read_at_ms: 0,
            opened: false,
        }
    }

    /// How `key` stands after what was read.
    pub fn status(&self, key: &str) -> KeyStatus {
        self.claims.status(key)
    }

    /// What became of `claim` of a key of time `key_ms`, once it and all that may come before it
    /// were read.
    pub fn verdict(&self, claim: &Claim, key_ms: u64) -> Option<Verdict> {
        let covered = self.covers(key_ms);
        covered.then(|| self.claims.verdict(claim)).flatten()
    }

    /// The offset to read from next.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Forgets keys first seen before `before_ms` on the monotonic clock.
    pub fn forget(&mut self, before_ms: u64) {
        self.claims.forget(before_ms);
    }

    /// Reads to the end of the stream, and back until every claim of a key of time `key_ms` that
    /// the log still keeps was read.
    ///
    /// # Errors
    /// When the log can't be read.
    pub async fn cover(&mut self, key_ms: u64, now: impl Fn() -> Now) -> Result<(), LogError> {
        if !self.opened {
            self.open(&now).await?;
        }
        self.read_on(&now, true).await?;
        let mut step = FIRST_STEP;
        while !self.covers(key_ms) {
            let need_ms = needed_from(key_ms);
            let (from, covered_from_ms) = self.probe(step, need_ms).await?;
            if covered_from_ms < need_ms || covered_from_ms == 0 {
                self.restart(from, covered_from_ms);
                self.catch_up(&now).await?;
            }
            step = step.saturating_mul(4);
        }
        Ok(())
    }

    /// Appends `bodies` as one group; returns the offset after the last.
    ///
    /// # Errors
    /// As [`Log::append`].
    pub async fn append(&self, bodies: Vec<Body>) -> Result<u64, LogError> {
        let count = bodies.len() as u64;
        let texts = bodies.into_iter().map(|body| self.text(body)).collect();
        let offset = self.log.append(&self.stream, texts).await?;
        Ok(offset + count)
    }

    /// Reads to the end of the stream.
    ///
    /// # Errors
    /// When the log can't be read.
    pub async fn catch_up(&mut self, now: &impl Fn() -> Now) -> Result<(), LogError> {
        self.read_on(now, false).await
    }

    async fn read_on(&mut self, now: &impl Fn() -> Now, may_skip: bool) -> Result<(), LogError> {
        loop {
            let batch = self.log.read(&self.stream, self.next, READ_MAX).await?;
            let at = now();
            if may_skip && batch.next.saturating_sub(self.next) > SKIP_RECORDS {
                self.restart(batch.next, at.wall_ms);
                return Ok(());
            }
            self.read_at_ms = at.wall_ms;
            if !self.take(batch, at.mono_ms) {
                return Ok(());
            }
        }
    }

    async fn open(&mut self, now: &impl Fn() -> Now) -> Result<(), LogError> {
        let batch = self.log.read(&self.stream, u64::MAX, 0).await?;
        let empty = batch.first >= batch.next;
        self.restart(batch.next, if empty { 0 } else { now().wall_ms });
        self.opened = true;
        Ok(())
    }

    /// Whether all claims that may come before a fresh one of a key of time `key_ms` were read, but
    /// for the newest.
    pub fn covers(&self, key_ms: u64) -> bool {
        mutated(Mutation::SkipReadBack)
            || self.covered_from_ms == 0
            || self.covered_from_ms < needed_from(key_ms)
    }

    fn restart(&mut self, from: u64, covered_from_ms: u64) {
        self.claims = Claims::default();
        self.next = from;
        self.start = from;
        self.covered_from_ms = covered_from_ms;
    }

    /// Where reading would begin if it began `step` records earlier, and since when that covers.
    async fn probe(&self, step: u64, need_ms: u64) -> Result<(u64, u64), LogError> {
        let from = self.start.saturating_sub(step);
        let batch = self.log.read(&self.stream, from, 1).await?;
        if from <= batch.first {
            return Ok((batch.first, 0));
        }
        let record = batch.entries.first().and_then(|e| parse(&e.text));
        match record {
            Some(r) if r.read_at_ms < need_ms => Ok((r.read_to, r.read_at_ms)),
            _ => Ok((from, u64::MAX)),
        }
    }

    /// Folds a batch in; tells whether there may be more.
    fn take(&mut self, batch: Batch, mono_ms: u64) -> bool {
        if batch.first > self.next {
            // What expired unread can only concern keys that are too old by now.
            self.restart(batch.first, 0);
        }
        let before = self.next;
        for entry in batch.entries {
            if entry.offset < self.next {
                continue;
            }
            self.next = entry.offset + 1;
            if let Some(record) = parse(&entry.text) {
                self.claims.apply(record, mono_ms);
            }
        }
        self.next > before && self.next < batch.next
    }

    fn text(&self, body: Body) -> String {
        let record = ClaimRecord {
            schema: SCHEMA,
            read_to: self.next,
            read_at_ms: self.read_at_ms,
            body: Some(body),
        };
        serde_json::to_string(&record).unwrap_or_default()
    }
}

/// No claim of a key of time `key_ms` landed before this.
///
/// Its claimant's clock showed no less than `key_ms` less the margin, was itself within half the
/// margin of true time, and so is the clock that this is compared with.
fn needed_from(key_ms: u64) -> u64 {
    key_ms.saturating_sub(2 * CLOCK_MARGIN_MS)
}

fn parse(text: &str) -> Option<ClaimRecord> {
    let record: ClaimRecord = serde_json::from_str(text).ok()?;
    (record.schema <= SCHEMA).then_some(record)
}

/// An id for one claim.
pub fn mint_id() -> String {
    Uuid::now_v7().to_string()
}

/// A fresh claim of `key` by `host`.
pub fn mint(key: &str, host: &str, fingerprint: u64, run_ms: u64) -> Claim {
    Claim {
        id: mint_id(),
        key: key.to_owned(),
        host: host.to_owned(),
        fingerprint,
        run_ms,
    }
}
