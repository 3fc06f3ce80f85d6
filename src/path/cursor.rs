//! What to ask the platform's log next, and what its answers say: no network, no clock.

use bytes::Bytes;

use crate::util::Name;

/// One record of a keyed stream. Without a value, the key is dropped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Record {
    pub(crate) key: String,
    pub(crate) value: Option<Bytes>,
}

/// One thing that operators wrote.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Order {
    /// A whole configuration.
    Configure(Bytes),
    /// The upstreams of a data centre get no new work.
    Evacuate(Name),
    /// They get work again.
    Readmit(Name),
    /// Nothing that this system knows.
    Other,
}

/// What a reader asks a keyed stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReadRange {
    /// The newest record of every key.
    All,
    /// What came from this offset on.
    From(u64),
}

/// How far one reader has read one stream.
#[derive(Debug, Default)]
pub(crate) struct StreamCursor {
    next: Option<u64>,
    /// The records that would come next were deleted.
    is_expired: bool,
}

impl StreamCursor {
    /// What to ask next, where others told everything up to offset `told`: reading that again would
    /// bring only old news.
    ///
    /// Failure guarded against: records expire unread, and a reader that asks for them again gets the
    /// same refusal for ever, at the speed of the network.
    pub(crate) fn ask(&self, told: u64) -> ReadRange {
        let known = self.next.map(|next| next.max(told));
        let known = known.or((told > 0).then_some(told));
        match known {
            Some(from) if !self.is_expired => ReadRange::From(from),
            _ => ReadRange::All,
        }
    }

    /// Everything was read; `end` is the offset to go on from.
    pub(crate) fn took_all(&mut self, end: u64) {
        self.next = Some(end);
        self.is_expired = false;
    }

    /// `count` records from offset `from` on were read.
    pub(crate) fn took(&mut self, from: u64, count: usize) {
        self.next = Some(from + count as u64);
    }

    /// The records asked for were deleted.
    pub(crate) fn expired(&mut self) {
        self.is_expired = true;
    }
}
