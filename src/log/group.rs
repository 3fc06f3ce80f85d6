//! One group of claims at a time: read, append what is open, read back, answer.
//!
//! Time comes in through [`Timer`], so that a test can hold any step as long as it likes.

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

/// Reads after an append before its claims are given up.
const SETTLE_READS: u32 = 4;
const SETTLE_PAUSE: Duration = Duration::from_millis(25);
/// Records kept for a log that is down; the oldest are given up first.
const OWED_MAX: usize = 16_384;

/// The log couldn't be asked. Nothing was claimed, or the claim was given up for good.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the log can't be reached"))]
pub struct LogDown;

/// A claim, and where its verdict goes.
#[derive(Debug)]
pub struct Waiting {
    /// What is to be claimed.
    pub claim: Claim,
    /// The time that its key carries.
    pub key_ms: u64,
    /// Takes the verdict; its receiver may have gone.
    pub reply: oneshot::Sender<Result<Verdict, LogDown>>,
}

impl Waiting {
    fn answer(self, verdict: Result<Verdict, LogDown>) {
        // A receiver that went sends nothing: its claim stands until it expires.
        let _ = self.reply.send(verdict);
    }
}

/// The claims of one slot on their way to the log.
#[derive(Debug)]
pub struct Group<L, P> {
    slot: Slot<L>,
    timer: P,
    retention_ms: u64,
    /// Notes not yet appended.
    owed: Vec<Body>,
    down: bool,
}

impl<L: Log, P: Timer> Group<L, P> {
    /// Starts with nothing read.
    pub fn new(log: L, stream: String, timer: P, retention_ms: u64) -> Self {
        Self {
            slot: Slot::new(log, stream),
            timer,
            retention_ms,
            owed: Vec::new(),
            down: false,
        }
    }

    /// The last call to the log failed.
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Notes wait to be appended.
    pub fn owes(&self) -> bool {
        !self.owed.is_empty()
    }

    /// How `key` stands after what was read.
    pub fn status(&self, key: &str) -> KeyStatus {
        self.slot.status(key)
    }

    /// Takes a release or an outcome, to be appended with the next group.
    pub fn owe(&mut self, body: Body) {
        if self.owed.len() >= OWED_MAX {
            metrics::counter!("claim_notes_lost_total").increment(1);
            self.owed.remove(0);
        }
        self.owed.push(body);
    }

    /// How `key` of time `key_ms` stands now.
    ///
    /// # Errors
    /// [`LogDown`] when the log can't be read.
    pub async fn look(&mut self, key: &str, key_ms: u64) -> Result<KeyStatus, LogDown> {
        let timer = &self.timer;
        match self.slot.cover(key_ms, || timer.now()).await {
            Ok(()) => Ok(self.slot.status(key)),
            Err(e) => {
                self.fail(&e, Vec::new());
                Err(LogDown)
            }
        }
    }

    /// Settles one group. Tells whether anything was appended.
    pub async fn turn(&mut self, group: Vec<Waiting>) -> bool {
        let mono_ms = self.timer.now().mono_ms;
        self.slot.forget(mono_ms.saturating_sub(self.retention_ms));
        if !self.may_append_at_once(&group) {
            let oldest_ms = group.iter().map(|w| w.key_ms).min().unwrap_or(u64::MAX);
            let timer = &self.timer;
            if let Err(e) = self.slot.cover(oldest_ms, || timer.now()).await {
                self.fail(&e, group);
                return false;
            }
            self.down = false;
        }
        let open = self.answer_known(group);
        let owed = std::mem::take(&mut self.owed);
        if open.is_empty() && owed.is_empty() {
            return false;
        }
        let claims = open.iter().map(|w| Body::Claim(w.claim.clone()));
        let bodies = owed.iter().cloned().chain(claims).collect();
        match self.slot.append(bodies).await {
            Ok(end) => self.settle(open, Some(end)).await,
            Err(e @ LogError::Unavailable { .. }) => {
                self.owed = owed;
                self.fail(&e, open);
            }
            Err(LogError::Unsettled { .. }) => {
                // Notes may be appended twice: a copy changes nothing.
                self.owed = owed;
                self.settle(open, None).await;
            }
        }
        true
    }

    /// Keys that are free as far as was read are claimed without reading first: reading back decides
    /// all the same, and a call is saved. A key that another claim holds is read for anew, for it
    /// may have been released or run since.
    fn may_append_at_once(&self, group: &[Waiting]) -> bool {
        let free = |w: &Waiting| self.slot.status(&w.claim.key) == KeyStatus::Free;
        let covered = |w: &Waiting| self.slot.covers(w.key_ms);
        !self.down && group.iter().all(|w| covered(w) && free(w))
    }

    /// Answers the claims of keys that aren't free, and returns the others.
    fn answer_known(&self, group: Vec<Waiting>) -> Vec<Waiting> {
        let mut open = Vec::with_capacity(group.len());
        for waiting in group {
            let verdict = self.slot.verdict(&waiting.claim, waiting.key_ms);
            let status = self.slot.status(&waiting.claim.key);
            match (verdict, status) {
                (Some(verdict), _) => waiting.answer(Ok(verdict)),
                (None, KeyStatus::Free) => open.push(waiting),
                (None, status) => waiting.answer(Ok(Verdict::Lost(status))),
            }
        }
        open
    }

    /// Reads until every claim is found; gives up those that aren't.
    async fn settle(&mut self, mut open: Vec<Waiting>, end: Option<u64>) {
        if mutated(Mutation::SkipReadAfterAppend) && end.is_some() {
            open.into_iter().for_each(|w| w.answer(Ok(Verdict::Won)));
            return;
        }
        if open.is_empty() {
            return;
        }
        for round in 0..SETTLE_READS {
            if round > 0 {
                self.timer.pause(SETTLE_PAUSE).await;
            }
            let timer = &self.timer;
            let read = self.slot.catch_up(&|| timer.now()).await;
            self.down = read.is_err();
            if read.is_err() {
                continue;
            }
            open = self.answer_settled(open);
            let all_read = end.is_none_or(|end| self.slot.next_offset() >= end);
            if open.is_empty() && all_read {
                return;
            }
        }
        for waiting in open {
            self.give_up(waiting);
        }
    }

    fn answer_settled(&self, open: Vec<Waiting>) -> Vec<Waiting> {
        let mut left = Vec::new();
        for waiting in open {
            match self.slot.verdict(&waiting.claim, waiting.key_ms) {
                Some(verdict) => waiting.answer(Ok(verdict)),
                None => left.push(waiting),
            }
        }
        left
    }

    /// The claim may still land. Its release makes it harmless, whichever of the two lands first;
    /// its claimant is told that it doesn't hold the key, and so sends nothing.
    fn give_up(&mut self, waiting: Waiting) {
        if !mutated(Mutation::AbandonWithoutRelease) {
            self.owe(Body::Release(Release {
                id: waiting.claim.id.clone(),
                key: waiting.claim.key.clone(),
            }));
        }
        waiting.answer(Err(LogDown));
    }

    fn fail(&mut self, e: &LogError, group: Vec<Waiting>) {
        if !self.down {
            log::warn!("claims are refused: {e}");
        }
        self.down = true;
        group.into_iter().for_each(|w| w.answer(Err(LogDown)));
    }
}
