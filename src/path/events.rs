//! Server-sent events as bytes: where one ends, and its id. Nothing is decoded that isn't needed.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Longest event that is held until it is whole; a longer one is broken.
const MAX_EVENT_BYTES: usize = 1 << 20;
const END: &[u8] = b"\n\n";
const END_CRLF: &[u8] = b"\r\n\r\n";
const ID: &[u8] = b"id:";

/// Cuts a stream into whole events and remembers the id of the last.
///
/// Failure guarded against: an upstream stops in mid-event, and the rest of another run is joined
/// to the piece. Only whole events are given out, so whatever comes next begins a new one.
#[derive(Debug, Default)]
pub struct Splitter {
    held: BytesMut,
    last_id: Option<u64>,
}

impl Splitter {
    /// A splitter of a stream that begins after event `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            held: BytesMut::new(),
            last_id,
        }
    }

    /// Takes bytes and gives all events that are whole now, or `None` if an event is too long.
    ///
    /// ```
    /// use cassiagrade::path::events::Splitter;
    /// let mut splitter = Splitter::default();
    /// let whole = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda".as_slice().into()).unwrap();
    /// assert_eq!(&whole[..], b"id: 1\ndata: a\n\n");
    /// assert_eq!(splitter.last_id(), Some(1));
    /// assert!(splitter.has_rest());
    /// ```
    pub fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        let whole = if self.held.is_empty() {
            let end = end_of_last(&bytes);
            self.held.extend_from_slice(&bytes[end..]);
            bytes.slice(..end)
        } else {
            self.held.extend_from_slice(&bytes);
            let end = end_of_last(&self.held);
            self.held.split_to(end).freeze()
        };
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        (self.held.len() <= MAX_EVENT_BYTES).then_some(whole)
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether a part of an event is held.
    pub fn has_rest(&self) -> bool {
        !self.held.is_empty()
    }

    /// Throws away the part of an event, as its run has ended.
    pub fn drop_rest(&mut self) {
        self.held.clear();
    }
}

/// Where the last whole event ends.
fn end_of_last(bytes: &[u8]) -> usize {
    let plain = memmem::rfind(bytes, END).map(|at| at + END.len());
    let crlf = memmem::rfind(bytes, END_CRLF).map(|at| at + END_CRLF.len());
    plain.max(crlf).unwrap_or(0)
}

fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|b| *b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID));
    let text = std::str::from_utf8(ids.next_back()?).ok()?;
    text.trim().parse().ok()
}
