//! Read position in the platform's log: what to request next. No I/O and no clock.

use bytes::Bytes;

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
    /// All records from this offset on.
    From(u64),
}

/// Position of one reader in one stream.
#[derive(Debug, Default)]
pub(crate) struct StreamCursor {
    next: Option<u64>,
    /// Whether the next records were deleted from the log.
    is_expired: bool,
}

impl StreamCursor {
    /// Returns the next request. Peers have sent everything up to offset `known_end`, which need
    /// not be read again.
    ///
    /// Failure guarded against: records expire before they are read. A reader that keeps requesting
    /// them gets the same rejection forever, as fast as the network allows.
    pub(crate) fn next_read(&self, known_end: u64) -> ReadRange {
        let known = self.next.map(|next| next.max(known_end));
        let known = known.or((known_end > 0).then_some(known_end));
        match known {
            Some(from) if !self.is_expired => ReadRange::From(from),
            _ => ReadRange::All,
        }
    }

    /// Offset of the next record to be read; 0 if nothing was read.
    pub(crate) fn next_offset(&self) -> u64 {
        self.next.unwrap_or(0)
    }

    /// Notes that all records were read; `end` is the offset to continue from.
    pub(crate) fn reset_to(&mut self, end: u64) {
        self.next = Some(end);
        self.is_expired = false;
    }

    /// Notes that `count` records from offset `from` on were read.
    pub(crate) fn advance(&mut self, from: u64, count: usize) {
        self.next = Some(from + count as u64);
    }

    /// Notes that the requested records were deleted.
    pub(crate) fn set_expired(&mut self) {
        self.is_expired = true;
    }
}
