//! Read position in the platform's log: what to request next. No I/O and no clock.

use bytes::Bytes;

use crate::mutation::{Mutation, mutated};
use crate::path::position::StreamPosition;
use crate::util::Name;

/// Record of a keyed stream. Without a value, it deletes the key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Record {
    pub(crate) key: String,
    pub(crate) value: Option<Bytes>,
}

/// Record of the stream that operators write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Order {
    /// Complete configuration.
    Configure(Bytes),
    /// Stops new work for the upstreams of a data centre.
    Evacuate(Name),
    /// Allows work for them again.
    Readmit(Name),
    /// Record of an unknown kind.
    Other,
}

/// Request of a reader to a keyed stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReadRange {
    /// The newest record of each key.
    All,
    /// All records from this position on.
    From(StreamPosition),
}

/// How the era that an answer of the log names compares with the newest known one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AnswerEra {
    Current,
    /// The log was restored: its offsets say nothing about what was read of it.
    Restored(u64),
    /// The answer is older than what is known, or names no era though the log has one.
    Outdated,
}

impl AnswerEra {
    /// Compares `answered`, as named by an answer, with the newest known era; 0 if none is known.
    pub(crate) fn compare(answered: Option<u64>, known: u64) -> Self {
        match answered.unwrap_or(0) {
            era if era == known || mutated(Mutation::IgnoreEra) => Self::Current,
            era if era > known => Self::Restored(era),
            _ => Self::Outdated,
        }
    }

    /// Whether a page of a load that names `page` continues one whose first page named `first`.
    pub(crate) fn is_same_load(first: Option<u64>, page: Option<u64>) -> bool {
        first == page || mutated(Mutation::LoadAcrossEras)
    }
}

/// Position of one reader in one stream.
#[derive(Debug, Default)]
pub(crate) struct StreamCursor {
    next: Option<StreamPosition>,
    /// Whether the next records were deleted from the log.
    is_expired: bool,
}

impl StreamCursor {
    /// Returns the next request. Peers have sent everything up to `known_end`, which need not be read
    /// again.
    ///
    /// Failure guarded against: records expire before they are read. A reader that keeps requesting
    /// them gets the same rejection forever, as fast as the network allows.
    pub(crate) fn next_read(&self, known_end: StreamPosition) -> ReadRange {
        let known_end = known_end.is_known().then_some(known_end);
        match self.next.max(known_end) {
            Some(from) if !self.is_expired => ReadRange::From(from),
            _ => ReadRange::All,
        }
    }

    /// Position of the next record to be read, by this reader alone.
    pub(crate) fn position(&self) -> StreamPosition {
        self.next.unwrap_or_default()
    }

    /// Notes that all records were read; `end` is the position to continue from.
    pub(crate) fn reset_to(&mut self, end: StreamPosition) {
        self.next = Some(end);
        self.is_expired = false;
    }

    /// Notes that `count` records from `from` on were read.
    pub(crate) fn advance(&mut self, from: StreamPosition, count: usize) {
        self.next = Some(from.after(count as u64));
    }

    /// Notes that the requested records were deleted.
    pub(crate) fn set_expired(&mut self) {
        self.is_expired = true;
    }
}
