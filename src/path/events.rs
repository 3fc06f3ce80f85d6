//! Server-sent events as bytes: finds the end of an event and its id, and decodes nothing else.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Largest event that is buffered until it is complete; a longer one breaks the stream.
const MAX_EVENT_BYTES: usize = 1 << 20;
const END: &[u8] = b"\n\n";
const END_CRLF: &[u8] = b"\r\n\r\n";
const ID: &[u8] = b"id:";

/// Splits a stream into complete events and remembers the id of the last one.
///
/// Failure guarded against: an upstream stops within an event, and the rest of another run is
/// appended to the partial event. Only complete events are returned, so whatever follows begins a
/// new event.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    last_id: Option<u64>,
}

impl Splitter {
    /// Returns a splitter for a stream that begins after event `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last_id,
        }
    }

    /// Adds bytes and returns all events that are complete now, or `None` if an event is too long.
    ///
    /// ```
    /// use cassiagrade::path::events::Splitter;
    /// let mut splitter = Splitter::default();
    /// let complete = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda".as_slice().into()).unwrap();
    /// assert_eq!(&complete[..], b"id: 1\ndata: a\n\n");
    /// assert_eq!(splitter.last_id(), Some(1));
    /// assert!(splitter.has_partial());
    /// ```
    pub fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        let complete = if self.buffer.is_empty() {
            let end = last_event_end(&bytes);
            self.buffer.extend_from_slice(&bytes[end..]);
            bytes.slice(..end)
        } else {
            let searched = self.buffer.len();
            self.buffer.extend_from_slice(&bytes);
            let end = last_event_end_after(searched, &self.buffer);
            self.buffer.split_to(end).freeze()
        };
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        (self.buffer.len() <= MAX_EVENT_BYTES).then_some(complete)
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether a partial event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards the partial event after the end of its run.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }
}

/// Returns the end of the last complete event, none of which ends within the first `searched` bytes.
///
/// Failure guarded against: an event arrives in many small pieces. If each piece led to a search of
/// all bytes before it, the other requests would wait meanwhile.
fn last_event_end_after(searched: usize, bytes: &[u8]) -> usize {
    let from = searched.saturating_sub(END_CRLF.len() - 1);
    match last_event_end(&bytes[from..]) {
        0 => 0,
        end => from + end,
    }
}

/// Returns the end of the last complete event.
fn last_event_end(bytes: &[u8]) -> usize {
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
