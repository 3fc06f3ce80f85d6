//! Processes claims in groups: reads the stream, appends the undecided claims, reads them back and
//! answers.
//!
//! All time comes from [`Timer`], so that tests can suspend any step.

use std::time::Duration;

use snafu::Snafu;
use tokio::sync::oneshot;

use crate::log::claims::{KeyStatus, Verdict};
use crate::log::slot::Slot;
use crate::log::timer::Timer;
use crate::log::{Log, LogError};
use crate::mutation::{Mutation, mutated};
use crate::schema::records::claim_record::Body;
use crate::schema::records::{Claim, Release};

/// Number of reads after an append before claims that weren't found are abandoned.
const CONFIRM_READS: u32 = 4;
const CONFIRM_PAUSE: Duration = Duration::from_millis(25);
/// Maximum number of records queued while the log is down; the oldest are dropped first.
const MAX_QUEUED: usize = 16_384;

/// The log can't be reached. Nothing was claimed, or the claim was abandoned for good.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the log can't be reached"))]
pub struct LogDown;

/// A claim that waits for its verdict.
#[derive(Debug)]
pub struct PendingClaim {
    /// The claim to append.
    pub claim: Claim,
    /// The time in the key.
    pub key_ms: u64,
    /// Receives the verdict, unless the receiver was dropped.
    pub reply: oneshot::Sender<Result<Verdict, LogDown>>,
}

impl PendingClaim {
    fn answer(self, verdict: Result<Verdict, LogDown>) {
        // A dropped receiver sends no request; its claim holds the key until the claim expires.
        let _ = self.reply.send(verdict);
    }
}

/// Claims of one slot that are being appended to the log.
#[derive(Debug)]
pub struct Group<L, P> {
    slot: Slot<L>,
    timer: P,
    retention_ms: u64,
    /// Releases and outcomes to append.
    queued: Vec<Body>,
    down: bool,
}

impl<L: Log, P: Timer> Group<L, P> {
    /// Creates a group whose stream has not been read.
    pub fn new(log: L, stream: String, timer: P, retention_ms: u64) -> Self {
        Self {
            slot: Slot::new(log, stream),
            timer,
            retention_ms,
            queued: Vec::new(),
            down: false,
        }
    }

    /// Whether the last call to the log failed.
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Whether releases or outcomes wait to be appended.
    pub fn has_queued(&self) -> bool {
        !self.queued.is_empty()
    }

    /// Returns the status of `key` after the records read so far.
    pub fn status(&self, key: &str) -> KeyStatus {
        self.slot.status(key)
    }

    /// Queues a release or an outcome to be appended with the next group.
    pub fn enqueue(&mut self, body: Body) {
        if self.queued.len() >= MAX_QUEUED {
            metrics::counter!("claim_notes_lost_total").increment(1);
            self.queued.remove(0);
        }
        self.queued.push(body);
    }

    /// Reads the log and returns the status of `key` with time `key_ms`.
    ///
    /// # Errors
    /// [`LogDown`] when the log can't be read.
    pub async fn lookup(&mut self, key: &str, key_ms: u64) -> Result<KeyStatus, LogDown> {
        let timer = &self.timer;
        match self.slot.ensure_covered(key_ms, || timer.now()).await {
            Ok(()) => Ok(self.slot.status(key)),
            Err(e) => {
                self.refuse_all(&e, Vec::new());
                Err(LogDown)
            }
        }
    }

    /// Processes one group of claims. Returns whether it appended anything.
    pub async fn process(&mut self, group: Vec<PendingClaim>) -> bool {
        let mono_ms = self.timer.now().mono_ms;
        self.slot
            .remove_older_than(mono_ms.saturating_sub(self.retention_ms));
        if !self.can_append_without_reading(&group) {
            let oldest_ms = group.iter().map(|p| p.key_ms).min().unwrap_or(u64::MAX);
            let timer = &self.timer;
            if let Err(e) = self.slot.ensure_covered(oldest_ms, || timer.now()).await {
                self.refuse_all(&e, group);
                return false;
            }
            self.down = false;
        }
        let undecided = self.answer_decided(group);
        let queued = std::mem::take(&mut self.queued);
        if undecided.is_empty() && queued.is_empty() {
            return false;
        }
        let claims = undecided.iter().map(|p| Body::Claim(p.claim.clone()));
        let bodies = queued.iter().cloned().chain(claims).collect();
        match self.slot.append(bodies).await {
            Ok(end) => self.confirm(undecided, Some(end)).await,
            Err(e @ LogError::Unavailable { .. }) => {
                self.queued = queued;
                self.refuse_all(&e, undecided);
            }
            Err(LogError::Indeterminate { .. }) => {
                // The records may be appended twice: a copy has no effect.
                self.queued = queued;
                self.confirm(undecided, None).await;
            }
        }
        true
    }

    /// Whether the group can be appended without reading first, which saves a call: the read after
    /// the append decides in any case. A key held by another claim must be read first, since it may
    /// have been released or completed in the meantime.
    fn can_append_without_reading(&self, group: &[PendingClaim]) -> bool {
        let free = |p: &PendingClaim| self.slot.status(&p.claim.key) == KeyStatus::Free;
        let covered = |p: &PendingClaim| self.slot.covers(p.key_ms);
        !self.down && group.iter().all(|p| covered(p) && free(p))
    }

    /// Answers the claims of keys that aren't free; returns the rest.
    fn answer_decided(&self, group: Vec<PendingClaim>) -> Vec<PendingClaim> {
        let mut undecided = Vec::with_capacity(group.len());
        for pending in group {
            let verdict = self.slot.verdict(&pending.claim, pending.key_ms);
            let status = self.slot.status(&pending.claim.key);
            match (verdict, status) {
                (Some(verdict), _) => pending.answer(Ok(verdict)),
                // Nothing was appended, but an earlier claim of the key may have run.
                (None, KeyStatus::Free) if self.slot.may_have_lost_claim(pending.key_ms) => {
                    metrics::counter!("claims_refused_after_restore_total").increment(1);
                    pending.answer(Err(LogDown));
                }
                (None, KeyStatus::Free) => undecided.push(pending),
                (None, status) => pending.answer(Ok(Verdict::Lost(status))),
            }
        }
        undecided
    }

    /// Reads until every claim is found; abandons those that aren't.
    async fn confirm(&mut self, mut undecided: Vec<PendingClaim>, end: Option<u64>) {
        if mutated(Mutation::SkipReadAfterAppend) && end.is_some() {
            undecided
                .into_iter()
                .for_each(|p| p.answer(Ok(Verdict::Won)));
            return;
        }
        if undecided.is_empty() {
            return;
        }
        for round in 0..CONFIRM_READS {
            if round > 0 {
                self.timer.sleep(CONFIRM_PAUSE).await;
            }
            let read = self.read_on(&undecided).await;
            self.down = read.is_err();
            if read.is_err() {
                continue;
            }
            undecided = self.answer_confirmed(undecided);
            let all_read = end.is_none_or(|end| self.slot.next_offset() >= end);
            if undecided.is_empty() && all_read {
                return;
            }
        }
        for pending in undecided {
            self.abandon(pending);
        }
    }

    /// Reads to the end of the stream, and as far back as the claims need: after a restore of the log
    /// nothing that was read before covers them.
    async fn read_on(&mut self, undecided: &[PendingClaim]) -> Result<(), LogError> {
        let timer = &self.timer;
        self.slot.catch_up(&|| timer.now()).await?;
        let oldest_ms = undecided.iter().map(|p| p.key_ms).min();
        match oldest_ms.filter(|ms| !self.slot.covers(*ms)) {
            Some(oldest_ms) => self.slot.ensure_covered(oldest_ms, || timer.now()).await,
            None => Ok(()),
        }
    }

    fn answer_confirmed(&self, undecided: Vec<PendingClaim>) -> Vec<PendingClaim> {
        let mut remaining = Vec::new();
        for pending in undecided {
            match self.slot.verdict(&pending.claim, pending.key_ms) {
                Some(verdict) => pending.answer(Ok(verdict)),
                None => remaining.push(pending),
            }
        }
        remaining
    }

    /// Abandons a claim that may still be appended. Queues its release, which makes the claim
    /// ineffective even if the claim is appended later, and answers [`LogDown`], so that the
    /// claimant sends nothing.
    fn abandon(&mut self, pending: PendingClaim) {
        if !mutated(Mutation::AbandonWithoutRelease) {
            self.enqueue(Body::Release(Release {
                id: pending.claim.id.clone(),
                key: pending.claim.key.clone(),
            }));
        }
        pending.answer(Err(LogDown));
    }

    fn refuse_all(&mut self, e: &LogError, group: Vec<PendingClaim>) {
        if !self.down {
            log::warn!("claims are refused until the log can be reached again: {e}");
        }
        self.down = true;
        group.into_iter().for_each(|p| p.answer(Err(LogDown)));
    }
}
