//! Reader and writer of the configuration stream: reads records, appends and confirms changes,
//! writes snapshots.
//!
//! All sleeping goes through [`Timer`], so that tests can suspend any step.

use std::cmp::Ordering;
use std::time::Duration;

use snafu::Snafu;
use uuid::Uuid;

use crate::log::config::{self, Applied, ConfigFold, SCHEMA, STREAM};
use crate::log::timer::Timer;
use crate::log::{Batch, Entry, Log, LogError, invariant};
use crate::mutation::{Mutation, mutated};
use crate::path::position::StreamPosition;
use crate::schema::config::record::Body;
use crate::schema::config::{Change, Record, State};
use crate::schema::peer::{ConfigReply, ConfigRequest};

const READ_MAX: usize = 256;
const CONFIRM_READS: u32 = 20;
const CONFIRM_PAUSE: Duration = Duration::from_millis(50);

/// Fetches the configuration from other routers.
pub trait ConfigPeers {
    /// Returns one peer's reply, or `None` if no peer replies.
    fn fetch(&self, request: ConfigRequest) -> impl Future<Output = Option<ConfigReply>>;
}

/// The result of a change, as reported to the operator.
#[derive(Clone, Debug)]
pub struct ApplyOutcome {
    /// How every reader of the stream applies the change.
    pub applied: Applied,
    /// Offset of the change in the stream.
    pub offset: u64,
}

/// Why a change has no known result.
#[derive(Debug, Snafu)]
pub enum ApplyError {
    /// The change isn't in force and never will be.
    #[snafu(display("not applied: {detail}"))]
    NotApplied {
        /// What failed.
        detail: String,
    },
    /// The change may be in force, or may come into force later; listing the configuration shows
    /// whether it is.
    #[snafu(display("outcome unknown: {detail}"))]
    Unknown {
        /// What failed.
        detail: String,
    },
}

/// How current the configuration of a router is.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum FollowStatus {
    /// Nothing has been read yet.
    #[default]
    Starting,
    /// The last attempt read to the end of the stream.
    Current,
    /// The log can't be read; the last accepted state stays in force.
    LogDown,
    /// Records expired before they were read, and no snapshot covers them; the last state stays in
    /// force.
    Gap,
    /// The next record has a newer schema; the state before it stays in force.
    Newer {
        /// Schema of the record.
        schema: u32,
    },
}

/// How far the stream was read.
enum Reading {
    /// As far as this router can; holds the result of the change that was looked for.
    Done(Option<ApplyOutcome>),
    /// The log was restored from an older copy, which began this era.
    Restored(u64),
}

/// One router's reader and writer of the configuration stream.
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

impl<L: Log, S: ConfigPeers, P: Timer> Follower<L, S, P> {
    /// Creates a follower that has read nothing.
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

    /// Returns the state in force on this router.
    pub fn state(&self) -> &State {
        self.fold.state()
    }

    /// Returns the position up to which the state was derived.
    pub fn position(&self) -> StreamPosition {
        self.fold.position()
    }

    /// Returns a digest of the state.
    pub fn digest(&self) -> u64 {
        self.fold.digest()
    }

    /// Returns how current the state is.
    pub fn status(&self) -> &FollowStatus {
        &self.status
    }

    /// Returns the offset of the newest snapshot read.
    pub fn snapshot(&self) -> Option<u64> {
        self.snapshot
    }

    /// Reads new records, or fetches the state from a peer when the log is down or has a gap. Calls
    /// `on_record` for each record.
    pub async fn poll(&mut self, on_record: &mut impl FnMut(&Applied, &State)) {
        let read = self.follow(None, on_record).await;
        if let Err(e) = read {
            self.status = FollowStatus::LogDown;
            log::warn!("stream {STREAM} can't be read, keeping the current configuration: {e}");
        }
        // Not for `FollowStatus::Newer`: a peer with a newer build has no state that this build can
        // read.
        if matches!(self.status, FollowStatus::LogDown | FollowStatus::Gap) {
            self.fetch_from_peer().await;
        }
    }

    /// Appends `change` and reads the stream until the change is found.
    ///
    /// # Errors
    /// When the change wasn't appended, or when it isn't known whether it was.
    pub async fn apply(
        &mut self,
        change: Change,
        on_record: &mut impl FnMut(&Applied, &State),
    ) -> Result<ApplyOutcome, ApplyError> {
        let not_applied = |detail: &dyn ToString| ApplyError::NotApplied {
            detail: detail.to_string(),
        };
        self.follow(None, on_record)
            .await
            .map_err(|e| not_applied(&e))?;
        if self.status != FollowStatus::Current {
            return Err(not_applied(
                &"this router hasn't read the stream to its end",
            ));
        }
        if let Some(rejection) = self.rejection(&change) {
            let offset = self.fold.next_offset();
            return Ok(ApplyOutcome {
                applied: rejection,
                offset,
            });
        }
        let id = Uuid::now_v7().to_string();
        match self.append(&id, Body::Change(change)).await {
            Ok(_) => self.confirm(&id, on_record).await,
            Err(e @ LogError::Indeterminate { .. }) if mutated(Mutation::LostReplyIsNotApplied) => {
                Err(not_applied(&e))
            }
            Err(LogError::Indeterminate { .. }) => self.confirm(&id, on_record).await,
            Err(e @ LogError::Unavailable { .. }) => Err(not_applied(&e)),
        }
    }

    /// Appends a snapshot of the state, so that the state is still available when the records that
    /// produced it have expired.
    ///
    /// # Errors
    /// As [`Log::append`]. A snapshot that is appended late or twice does no harm.
    pub async fn write_snapshot(&mut self) -> Result<(), LogError> {
        let state = self.fold.state().clone();
        if state.version == 0 {
            return Ok(());
        }
        let id = Uuid::now_v7().to_string();
        self.append(&id, Body::Snapshot(state)).await.map(|_| ())
    }

    /// Returns how readers would reject `change` now, or `None` if they would accept it.
    fn rejection(&self, change: &Change) -> Option<Applied> {
        let mut fold = self.fold.clone();
        let applied = fold.apply_change("", change.clone());
        let accepted = matches!(applied, Applied::Accepted { .. });
        (!accepted).then_some(applied)
    }

    async fn append(&self, id: &str, body: Body) -> Result<u64, LogError> {
        let record = Record {
            id: id.to_owned(),
            schema: SCHEMA,
            era: self.fold.position().era,
            body: Some(body),
        };
        let text = serde_json::to_string(&record).map_err(|e| LogError::Unavailable {
            detail: e.to_string(),
        })?;
        self.log.append(STREAM, vec![text]).await
    }

    async fn confirm(
        &mut self,
        id: &str,
        on_record: &mut impl FnMut(&Applied, &State),
    ) -> Result<ApplyOutcome, ApplyError> {
        let mut detail = "the appended record wasn't found in the stream".to_owned();
        for _ in 0..CONFIRM_READS {
            match self.follow(Some(id), on_record).await {
                Ok(Some(outcome)) => return Ok(outcome),
                Ok(None) => {}
                Err(e) => detail = e.to_string(),
            }
            self.timer.sleep(CONFIRM_PAUSE).await;
        }
        Err(ApplyError::Unknown { detail })
    }

    /// Reads to the end of the stream; returns the result of the change with record id `id`. After a
    /// restore of the log, the state is derived again from the start of the stream.
    async fn follow(
        &mut self,
        id: Option<&str>,
        on_record: &mut impl FnMut(&Applied, &State),
    ) -> Result<Option<ApplyOutcome>, LogError> {
        let era = match self.read_to_end(id, on_record).await? {
            Reading::Done(found) => return Ok(found),
            Reading::Restored(era) => era,
        };
        // The last state stays in force until the whole stream has been read.
        let before = std::mem::replace(&mut self.fold, ConfigFold::of_era(era));
        let read = self.read_to_end(id, on_record).await;
        match read {
            Ok(Reading::Done(found)) if self.status != FollowStatus::Gap => return Ok(found),
            _ => self.fold = before,
        }
        match read? {
            Reading::Done(_) => Ok(None),
            Reading::Restored(_) => Err(restored()),
        }
    }

    async fn read_to_end(
        &mut self,
        id: Option<&str>,
        on_record: &mut impl FnMut(&Applied, &State),
    ) -> Result<Reading, LogError> {
        let mut found = None;
        loop {
            let from = self.fold.next_offset();
            let batch = self.log.read(STREAM, from, READ_MAX).await?;
            match batch.era.cmp(&self.fold.position().era) {
                Ordering::Less => return Err(restored()),
                Ordering::Greater if !mutated(Mutation::KeepOffsetAcrossEras) => {
                    return Ok(Reading::Restored(batch.era));
                }
                _ => {}
            }
            if batch.first > from && !self.restore_snapshot(&batch).await? {
                self.status = FollowStatus::Gap;
                return Ok(Reading::Done(found));
            }
            if batch.first > from {
                continue;
            }
            for entry in &batch.entries {
                let applied = self.apply_entry(entry, on_record);
                if let Applied::Newer { schema } = applied {
                    self.status = FollowStatus::Newer { schema };
                    return Ok(Reading::Done(found));
                }
                let own = id.is_some_and(|id| has_id(&entry.text, id));
                if own && found.is_none() {
                    let offset = entry.offset;
                    found = Some(ApplyOutcome { applied, offset });
                }
            }
            if self.fold.next_offset() == from || self.fold.next_offset() >= batch.next {
                self.status = FollowStatus::Current;
                return Ok(Reading::Done(found));
            }
        }
    }

    fn apply_entry(
        &mut self,
        entry: &Entry,
        on_record: &mut impl FnMut(&Applied, &State),
    ) -> Applied {
        let before = (self.fold.next_offset(), self.fold.state().version);
        let applied = self.fold.apply(entry);
        let after = (self.fold.next_offset(), self.fold.state().version);
        invariant(after >= before, "the configuration went back");
        if is_snapshot(&entry.text) {
            self.snapshot = Some(entry.offset);
        }
        on_record(&applied, self.fold.state());
        applied
    }

    /// Restores the state after records expired unread, from the newest snapshot from which kept
    /// records lead to the end of the stream without a gap. Applying the kept records to the
    /// current state instead would leave out the changes of the expired ones, and no later record
    /// would reveal it.
    async fn restore_snapshot(&mut self, batch: &Batch) -> Result<bool, LogError> {
        if mutated(Mutation::ApplyAcrossGap) {
            let state = State {
                offset: batch.first,
                ..self.fold.state().clone()
            };
            return Ok(self.fold.restore(batch.era, state));
        }
        let era = batch.era;
        let mut from = batch.first;
        let mut best: Option<State> = None;
        let mut newest_era = 0;
        loop {
            let batch = self.log.read(STREAM, from, READ_MAX).await?;
            if batch.era != era {
                return Err(restored());
            }
            if batch.first > from {
                // More records expired meanwhile, so a gap may now follow the snapshot found.
                best = best.filter(|s| s.offset >= batch.first);
            }
            for entry in &batch.entries {
                let joined = |s: &State| s.offset >= batch.first && s.offset <= entry.offset;
                let Some(record) = config::parse(&entry.text) else {
                    continue;
                };
                let record_era = record.era;
                newest_era = newest_era.max(record_era);
                let Some(mut state) = snapshot(record) else {
                    continue;
                };
                if mutated(Mutation::SnapshotCoversOwnOffset) {
                    state.offset = entry.offset;
                }
                if state.offset > entry.offset {
                    // It was written before a restore and appended after it.
                    newest_era = newest_era.max(record_era + 1);
                }
                // Of the snapshots from before a restore, the oldest is the least likely to have
                // been appended after it.
                let replaces = |b: &State| record_era == era && state.offset > b.offset;
                let newer = best.as_ref().is_none_or(replaces);
                if record_era >= newest_era && newer && joined(&state) {
                    best = Some(state);
                }
            }
            match batch.entries.last() {
                Some(last) => from = last.offset + 1,
                None => break,
            }
        }
        Ok(best.is_some_and(|state| self.fold.restore(era, state)))
    }

    /// Fetches a peer's state and takes it if it is newer and matches its digest.
    async fn fetch_from_peer(&mut self) {
        let request = ConfigRequest {
            have_at: Some(self.fold.position()),
            have_digest: self.fold.digest(),
        };
        let same_at = self.fold.position();
        let Some(reply) = self.peers.fetch(request).await else {
            return;
        };
        match reply.state {
            Some(state) if config::digest(&state) == reply.digest => {
                let era = reply.at.unwrap_or_default().era;
                self.fold.restore(era, state);
            }
            Some(_) => log::warn!(
                "a peer's configuration doesn't match its digest; keeping the state at {same_at}"
            ),
            // A router that has read nothing has no digest to compare.
            None if reply.at == Some(same_at) && same_at.is_known() => {
                invariant(
                    reply.digest == self.fold.digest(),
                    "two routers differ at one position of the configuration",
                );
            }
            None => {}
        }
    }
}

fn restored() -> LogError {
    LogError::Unavailable {
        detail: "the log was restored from an older copy during the read".to_owned(),
    }
}

fn has_id(text: &str, id: &str) -> bool {
    config::parse(text).is_some_and(|r| r.id == id)
}

fn is_snapshot(text: &str) -> bool {
    config::parse(text).and_then(snapshot).is_some()
}

fn snapshot(record: Record) -> Option<State> {
    match record.body? {
        Body::Snapshot(state) => Some(state),
        Body::Change(_) => None,
    }
}
