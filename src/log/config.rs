//! The configuration: a state derived from one stream by rules that all readers share.
//!
//! A change names the version that it was made against. If the state has another version by then,
//! every reader rejects the change, so that of two concurrent changes only one is accepted.

use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::log::Entry;
use crate::log::check::check;
use crate::mutation::{Mutation, mutated};
use crate::path::position::StreamPosition;
use crate::schema::config::change::Op;
use crate::schema::config::record::Body;
use crate::schema::config::{Change, Record, State};

/// The stream that holds configuration records.
pub const STREAM: &str = "config";

/// The newest record schema this build understands.
pub const SCHEMA: u32 = 2;

/// How a record was applied.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// The change is in force.
    Accepted {
        /// Version of the state after the change.
        version: u64,
    },
    /// The change was made against another version.
    Raced {
        /// Version of the state.
        version: u64,
        /// Record id of the change that produced that version.
        winner: String,
        /// Author of that change.
        author: String,
    },
    /// The record has a newer schema than this build supports; the fold stops before it.
    Newer {
        /// Schema of the record.
        schema: u32,
    },
    /// The change is invalid.
    Invalid {
        /// The field and why it is invalid.
        reason: String,
    },
    /// The record doesn't change the state.
    Skipped,
}

/// The state after applying the records of the configuration stream up to an offset.
#[derive(Clone, Debug, Default)]
pub struct ConfigFold {
    era: u64,
    state: State,
}

/// The part of a record that all schemas share.
#[derive(Deserialize)]
struct Envelope {
    schema: u32,
}

impl ConfigFold {
    /// Returns the state after the last applied record.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Creates a fold that has applied nothing of the stream in `era`.
    pub fn of_era(era: u64) -> Self {
        Self {
            era,
            ..Self::default()
        }
    }

    /// Returns the offset to read from next.
    pub fn next_offset(&self) -> u64 {
        self.state.offset
    }

    /// Returns the position to read from next.
    pub fn position(&self) -> StreamPosition {
        StreamPosition::new(self.era, self.state.offset)
    }

    /// Returns a digest of the state, equal on all routers that have read up to the same position.
    pub fn digest(&self) -> u64 {
        digest(&self.state)
    }

    /// Applies the record at [`Self::next_offset`]; skips a record at any other offset.
    ///
    /// A record with a newer schema isn't applied, and neither are later ones: if it were skipped,
    /// this build would reject every later change that newer builds accept. The state before it
    /// stays in force.
    pub fn apply(&mut self, entry: &Entry) -> Applied {
        if entry.offset != self.state.offset {
            return Applied::Skipped;
        }
        let envelope = serde_json::from_str::<Envelope>(&entry.text);
        if let Ok(Envelope { schema }) = envelope
            && schema > SCHEMA
        {
            return Applied::Newer { schema };
        }
        self.state.offset = entry.offset + 1;
        let Some(record) = parse(&entry.text) else {
            return Applied::Skipped;
        };
        match record.body {
            Some(Body::Change(change)) => self.apply_change(&record.id, change),
            Some(Body::Snapshot(state)) if mutated(Mutation::SnapshotOverwrites) => {
                self.state = State {
                    offset: self.state.offset,
                    ..state
                };
                Applied::Skipped
            }
            // A reader that got here has already applied every record that the snapshot covers.
            Some(Body::Snapshot(_)) | None => Applied::Skipped,
        }
    }

    /// Replaces the state by that of a peer or a snapshot if that is newer; returns whether it was.
    pub fn restore(&mut self, era: u64, state: State) -> bool {
        let at = StreamPosition::new(era, state.offset);
        let newer = at > self.position() || mutated(Mutation::AcceptOlderState);
        if newer {
            self.era = era;
            self.state = state;
        }
        newer
    }

    /// Applies one change by the rules that all readers share.
    pub(crate) fn apply_change(&mut self, id: &str, change: Change) -> Applied {
        let matches = change.against_version == self.state.version;
        if !matches && !mutated(Mutation::IgnoreVersion) {
            return Applied::Raced {
                version: self.state.version,
                winner: self.state.last_change.clone(),
                author: self.state.last_author.clone(),
            };
        }
        let Some(op) = change.op else {
            return Applied::Invalid {
                reason: "op: missing".to_owned(),
            };
        };
        if let Err(invalid) = check(&self.state, &op) {
            return Applied::Invalid {
                reason: invalid.to_string(),
            };
        }
        apply_op(&mut self.state, op);
        self.state.version += 1;
        id.clone_into(&mut self.state.last_change);
        self.state.last_author = change.author;
        Applied::Accepted {
            version: self.state.version,
        }
    }
}

/// Returns a digest of `state`.
pub fn digest(state: &State) -> u64 {
    serde_json::to_vec(state).map_or(0, |bytes| xxh3_64(&bytes))
}

/// Parses a record; returns `None` if it is malformed or has a newer schema.
pub fn parse(text: &str) -> Option<Record> {
    let record: Record = serde_json::from_str(text).ok()?;
    (record.schema <= SCHEMA).then_some(record)
}

fn apply_op(state: &mut State, op: Op) {
    match op {
        Op::PutAccount(v) => put(&mut state.accounts, v, |v| &v.name),
        Op::DeleteAccount(name) => state.accounts.retain(|v| v.name != name),
        Op::PutService(v) => put(&mut state.services, v, |v| &v.name),
        Op::DeleteService(name) => state.services.retain(|v| v.name != name),
        Op::PutUpstream(v) => put(&mut state.upstreams, v, |v| &v.name),
        Op::DeleteUpstream(name) => state.upstreams.retain(|v| v.name != name),
        Op::PutPolicy(v) => put(&mut state.policies, v, |v| &v.service),
        Op::DeletePolicy(name) => state.policies.retain(|v| v.service != name),
        Op::MarkHost(v) => put(&mut state.hosts, v, |v| &v.host),
        Op::MarkDataCenter(v) if v.evacuated => put(&mut state.data_centers, v, |v| &v.data_center),
        Op::MarkDataCenter(v) => state
            .data_centers
            .retain(|m| m.data_center != v.data_center),
        Op::PutRollout(v) => put(&mut state.rollouts, v, |v| &v.service),
        Op::DeleteRollout(name) => state.rollouts.retain(|v| v.service != name),
    }
}

/// Inserts or replaces `value` in a list sorted by name.
fn put<T>(list: &mut Vec<T>, value: T, name: impl Fn(&T) -> &String) {
    match list.binary_search_by(|v| name(v).cmp(name(&value))) {
        Ok(at) => list[at] = value,
        Err(at) => list.insert(at, value),
    }
}
