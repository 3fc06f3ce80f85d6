//! Follows the configuration stream: reads, appends changes, settles them, renews the snapshot.
//!
//! No timers of its own: pauses come in through [`Timer`], so that a test can hold any step.

use std::time::Duration;

use snafu::Snafu;
use uuid::Uuid;

use crate::log::config::{self, Applied, ConfigFold, SCHEMA, STREAM};
use crate::log::timer::Timer;
use crate::log::{Batch, Entry, Log, LogError, invariant};
use crate::mutation::{Mutation, mutated};
use crate::schema::config::record::Body;
use crate::schema::config::{Change, Record, State};
use crate::schema::peer::{ConfigReply, ConfigRequest};

const READ_MAX: usize = 256;
const SETTLE_READS: u32 = 20;
const SETTLE_PAUSE: Duration = Duration::from_millis(50);

/// Asks other routers for their state.
pub trait StatePeers {
    /// One peer's answer, if one answers.
    fn ask(&self, ask: ConfigRequest) -> impl Future<Output = Option<ConfigReply>>;
}

/// What an operator is told.
#[derive(Clone, Debug)]
pub struct ApplyOutcome {
    /// What every reader makes of the change.
    pub applied: Applied,
    /// Where the change stands in the stream.
    pub offset: u64,
}

/// Why the outcome of a change isn't known.
#[derive(Debug, Snafu)]
pub enum ApplyError {
    /// The change surely isn't in force and won't be.
    #[snafu(display("not applied: {detail}"))]
    NotApplied {
        /// What failed.
        detail: String,
    },
    /// The change may be in force, or come into force; list the configuration to see.
    #[snafu(display("outcome unknown: {detail}"))]
    Unknown {
        /// What failed.
        detail: String,
    },
}

/// How well a router knows the configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum FollowStatus {
    /// Nothing was read yet.
    #[default]
    Starting,
    /// Read to the end of the stream at the last try.
    Current,
    /// The log can't be read; the last accepted state stays in force.
    LogDown,
    /// Records expired unread and no snapshot covers them; the last state stays in force.
    Gap,
    /// The next record is of a newer schema; the state before it stays in force.
    Newer {
        /// That schema.
        schema: u32,
    },
}

/// One router's reader and writer of the configuration.
#[derive(Debug)]
pub struct Follower<L, S, P> {
    log: L,
    peers: S,
    timer: P,
    fold: ConfigFold,
    status: FollowStatus,
    /// Offset of the newest snapshot read.
    snapshot: Option<u64>,
}

impl<L: Log, S: StatePeers, P: Timer> Follower<L, S, P> {
    /// Starts with nothing read.
    pub fn new(log: L, peers: S, timer: P) -> Self {
        Self {
            log,
            peers,
            timer,
            fold: ConfigFold::default(),
            status: FollowStatus::Starting,
            snapshot: None,
        }
    }

    /// The state in force here.
    pub fn state(&self) -> &State {
        self.fold.state()
    }

    /// A digest of the state.
    pub fn digest(&self) -> u64 {
        self.fold.digest()
    }

    /// How well the state is known.
    pub fn status(&self) -> &FollowStatus {
        &self.status
    }

    /// Offset of the newest snapshot read.
    pub fn snapshot(&self) -> Option<u64> {
        self.snapshot
    }

    /// Reads what is new, or asks a peer when the log can't tell. `note` hears of each record.
    pub async fn poll(&mut self, note: &mut impl FnMut(&Applied, &State)) {
        let read = self.follow(None, note).await;
        if let Err(e) = read {
            self.status = FollowStatus::LogDown;
            log::warn!("configuration can't be read: {e}");
        }
        // A peer of a newer build has nothing for one that stands before a newer record.
        if matches!(self.status, FollowStatus::LogDown | FollowStatus::Gap) {
            self.ask_peer().await;
        }
    }

    /// Appends `change` and reads until it is found.
    ///
    /// # Errors
    /// When the outcome isn't known or the change surely wasn't appended.
    pub async fn apply(
        &mut self,
        change: Change,
        note: &mut impl FnMut(&Applied, &State),
    ) -> Result<ApplyOutcome, ApplyError> {
        let refuse = |detail: &dyn ToString| ApplyError::NotApplied {
            detail: detail.to_string(),
        };
        self.follow(None, note).await.map_err(|e| refuse(&e))?;
        if self.status != FollowStatus::Current {
            return Err(refuse(&"this router doesn't have the newest configuration"));
        }
        if let Some(refused) = self.refused(&change) {
            let offset = self.fold.next_offset();
            return Ok(ApplyOutcome {
                applied: refused,
                offset,
            });
        }
        let id = Uuid::now_v7().to_string();
        match self.append(&id, Body::Change(change)).await {
            Ok(_) => self.settle(&id, note).await,
            Err(e @ LogError::Unsettled { .. }) if mutated(Mutation::LostReplyIsNotApplied) => {
                Err(refuse(&e))
            }
            Err(LogError::Unsettled { .. }) => self.settle(&id, note).await,
            Err(e @ LogError::Unavailable { .. }) => Err(refuse(&e)),
        }
    }

    /// Appends the state, so that it outlives the records that made it.
    ///
    /// # Errors
    /// As [`Log::append`]; a snapshot that lands late or twice harms nobody.
    pub async fn renew(&mut self) -> Result<(), LogError> {
        let state = self.fold.state().clone();
        if state.version == 0 {
            return Ok(());
        }
        let id = Uuid::now_v7().to_string();
        self.append(&id, Body::Snapshot(state)).await.map(|_| ())
    }

    /// What any reader would make of `change` now, if that is a rejection.
    fn refused(&self, change: &Change) -> Option<Applied> {
        let mut fold = self.fold.clone();
        let applied = fold.try_change("", change.clone());
        let accepted = matches!(applied, Applied::Accepted { .. });
        (!accepted).then_some(applied)
    }

    async fn append(&self, id: &str, body: Body) -> Result<u64, LogError> {
        let record = Record {
            id: id.to_owned(),
            schema: SCHEMA,
            body: Some(body),
        };
        let text = serde_json::to_string(&record).map_err(|e| LogError::Unavailable {
            detail: e.to_string(),
        })?;
        self.log.append(STREAM, vec![text]).await
    }

    async fn settle(
        &mut self,
        id: &str,
        note: &mut impl FnMut(&Applied, &State),
    ) -> Result<ApplyOutcome, ApplyError> {
        let mut detail = "the record didn't appear".to_owned();
        for _ in 0..SETTLE_READS {
            match self.follow(Some(id), note).await {
                Ok(Some(outcome)) => return Ok(outcome),
                Ok(None) => {}
                Err(e) => detail = e.to_string(),
            }
            self.timer.pause(SETTLE_PAUSE).await;
        }
        Err(ApplyError::Unknown { detail })
    }

    /// Reads to the end of the stream; tells what became of the record `id`.
    async fn follow(
        &mut self,
        id: Option<&str>,
        note: &mut impl FnMut(&Applied, &State),
    ) -> Result<Option<ApplyOutcome>, LogError> {
        let mut found = None;
        loop {
            let from = self.fold.next_offset();
            let batch = self.log.read(STREAM, from, READ_MAX).await?;
            if batch.first > from && !self.rebase(&batch).await? {
                self.status = FollowStatus::Gap;
                return Ok(found);
            }
            if batch.first > from {
                continue;
            }
            for entry in &batch.entries {
                let applied = self.take(entry, note);
                if let Applied::Newer { schema } = applied {
                    self.status = FollowStatus::Newer { schema };
                    return Ok(found);
                }
                let own = id.is_some_and(|id| is_record(&entry.text, id));
                if own && found.is_none() {
                    let offset = entry.offset;
                    found = Some(ApplyOutcome { applied, offset });
                }
            }
            if self.fold.next_offset() == from || self.fold.next_offset() >= batch.next {
                self.status = FollowStatus::Current;
                return Ok(found);
            }
        }
    }

    fn take(&mut self, entry: &Entry, note: &mut impl FnMut(&Applied, &State)) -> Applied {
        let before = (self.fold.next_offset(), self.fold.state().version);
        let applied = self.fold.apply(entry);
        let after = (self.fold.next_offset(), self.fold.state().version);
        invariant(after >= before, "the configuration went back");
        if is_snapshot(&entry.text) {
            self.snapshot = Some(entry.offset);
        }
        note(&applied, self.fold.state());
        applied
    }

    /// Records expired unread: takes the newest snapshot that is still joined to the end of the
    /// stream by kept records. Applying those records to one's own state instead would leave out
    /// what the expired ones changed, and no later record would show it.
    async fn rebase(&mut self, batch: &Batch) -> Result<bool, LogError> {
        if mutated(Mutation::ApplyAcrossGap) {
            let state = State {
                offset: batch.first,
                ..self.fold.state().clone()
            };
            return Ok(self.fold.restore(state));
        }
        let mut from = batch.first;
        let mut best: Option<State> = None;
        loop {
            let batch = self.log.read(STREAM, from, READ_MAX).await?;
            if batch.first > from {
                // More expired meanwhile: what was found may no longer be joined to the rest.
                best = best.filter(|s| s.offset >= batch.first);
            }
            for entry in &batch.entries {
                let joined = |s: &State| s.offset >= batch.first && s.offset <= entry.offset;
                let newer = |s: &State| best.as_ref().is_none_or(|b| s.offset > b.offset);
                let mut snapshot = snapshot(&entry.text);
                if mutated(Mutation::SnapshotCoversOwnOffset) {
                    snapshot.iter_mut().for_each(|s| s.offset = entry.offset);
                }
                if let Some(state) = snapshot.filter(joined).filter(newer) {
                    best = Some(state);
                }
            }
            match batch.entries.last() {
                Some(last) => from = last.offset + 1,
                None => break,
            }
        }
        Ok(best.is_some_and(|state| self.fold.restore(state)))
    }

    /// Takes a peer's state if it is newer and whole.
    async fn ask_peer(&mut self) {
        let ask = ConfigRequest {
            have_offset: self.fold.next_offset(),
            have_digest: self.fold.digest(),
        };
        let same_offset = ask.have_offset;
        let Some(give) = self.peers.ask(ask).await else {
            return;
        };
        match give.state {
            Some(state) if config::digest(&state) == give.digest => {
                self.fold.restore(state);
            }
            Some(_) => log::warn!("a peer's configuration doesn't match its digest"),
            // A router that has read nothing has no digest to compare.
            None if give.offset == same_offset && same_offset > 0 => {
                invariant(
                    give.digest == self.fold.digest(),
                    "two routers differ at one offset of the configuration",
                );
            }
            None => {}
        }
    }
}

fn is_record(text: &str, id: &str) -> bool {
    config::parse(text).is_some_and(|r| r.id == id)
}

fn is_snapshot(text: &str) -> bool {
    snapshot(text).is_some()
}

fn snapshot(text: &str) -> Option<State> {
    match config::parse(text)?.body? {
        Body::Snapshot(state) => Some(state),
        Body::Change(_) => None,
    }
}
