//! The configuration: one state folded from one stream by one rule that all readers share.
//!
//! A change names the version it was made against. A racing change that no longer matches is
//! rejected by every reader alike, so that two operators can't both be told "accepted".

use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::log::Entry;
use crate::log::check::check;
use crate::mutation::{Mutation, mutated};
use crate::schema::config::change::Op;
use crate::schema::config::record::Body;
use crate::schema::config::{Change, Record, State};

/// The stream that holds configuration records.
pub const STREAM: &str = "config";

/// The newest record schema this build understands.
pub const SCHEMA: u32 = 2;

/// What became of one record.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// The change is in force; the state has this version.
    Accepted {
        /// Version after the change.
        version: u64,
    },
    /// The change was made against another version.
    Raced {
        /// Version the state had.
        version: u64,
        /// Record id of the change that made that version.
        winner: String,
        /// Who made it.
        author: String,
    },
    /// A record that only newer builds understand: the fold stops before it.
    Newer {
        /// The schema it was written in.
        schema: u32,
    },
    /// The change breaks a rule.
    Invalid {
        /// Which rule, naming the field.
        reason: String,
    },
    /// A record this build has nothing to do with.
    Skipped,
}

/// Folds the configuration stream.
#[derive(Clone, Debug, Default)]
pub struct ConfigFold {
    state: State,
}

/// What every record shows, whatever its schema.
#[derive(Deserialize)]
struct Envelope {
    schema: u32,
}

impl ConfigFold {
    /// The state after the last record.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The offset to read from next.
    pub fn next_offset(&self) -> u64 {
        self.state.offset
    }

    /// A digest of the state, equal on all routers that stand at the same offset.
    pub fn digest(&self) -> u64 {
        digest(&self.state)
    }

    /// Folds the record at [`Self::next_offset`] in; any other is skipped.
    ///
    /// A record of a newer schema stops the fold before it: skipped, every change after it would
    /// be rejected here and accepted by newer builds. The state before it stays in force.
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
            Some(Body::Change(change)) => self.try_change(&record.id, change),
            Some(Body::Snapshot(state)) if mutated(Mutation::SnapshotOverwrites) => {
                self.state = State {
                    offset: self.state.offset,
                    ..state
                };
                Applied::Skipped
            }
            // Whoever reached this record by reading knows all that the snapshot covers.
            Some(Body::Snapshot(_)) | None => Applied::Skipped,
        }
    }

    /// Takes a state from a peer or a snapshot, if it is newer than one's own.
    pub fn restore(&mut self, state: State) -> bool {
        let newer = state.offset > self.state.offset || mutated(Mutation::AcceptOlderState);
        if newer {
            self.state = state;
        }
        newer
    }

    /// Applies one change by the rule that all readers share.
    pub(crate) fn try_change(&mut self, id: &str, change: Change) -> Applied {
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
        fold_op(&mut self.state, op);
        self.state.version += 1;
        id.clone_into(&mut self.state.last_change);
        self.state.last_author = change.author;
        Applied::Accepted {
            version: self.state.version,
        }
    }
}

/// A digest of `state`.
pub fn digest(state: &State) -> u64 {
    serde_json::to_vec(state).map_or(0, |bytes| xxh3_64(&bytes))
}

/// The record that `text` holds, if this build understands it.
pub fn parse(text: &str) -> Option<Record> {
    let record: Record = serde_json::from_str(text).ok()?;
    (record.schema <= SCHEMA).then_some(record)
}

fn fold_op(state: &mut State, op: Op) {
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
