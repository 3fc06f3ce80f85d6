//! Model of a reader of one stream of the log, as the platform's client reads it.

use crate::path::cursor::{AnswerEra, ReadRange, StreamCursor};
use crate::path::log_replica_fake_tests::{Answer, Content};
use crate::path::position::StreamPosition;

/// Result of a read requested at `asked_ms`.
pub(super) enum Read<T> {
    Full(Vec<T>, StreamPosition),
    Changes(StreamPosition, Vec<T>),
    Failed,
}

struct Pending<T> {
    asked_ms: u64,
    /// Newest position known when the request was sent.
    known: StreamPosition,
    answer: Answer<T>,
}

pub(super) struct Reader<T> {
    cursor: StreamCursor,
    pending: Option<Pending<T>>,
}

impl<T> Default for Reader<T> {
    fn default() -> Self {
        Self {
            cursor: StreamCursor::default(),
            pending: None,
        }
    }
}

impl<T> Reader<T> {
    /// Requests the next records, unless an answer is pending.
    pub(super) fn send(
        &mut self,
        now_ms: u64,
        known_end: StreamPosition,
        ask: impl FnOnce(ReadRange) -> Answer<T>,
    ) {
        if self.pending.is_some() {
            return;
        }
        let range = self.cursor.next_read(known_end);
        let known = match range {
            ReadRange::From(from) => from,
            ReadRange::All => known_end.max(self.cursor.position()),
        };
        self.pending = Some(Pending {
            asked_ms: now_ms,
            known,
            answer: ask(range),
        });
    }

    pub(super) fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// The pending answer to a load, if there is one.
    pub(super) fn pending_load(&mut self) -> Option<&mut Answer<T>> {
        let answer = &mut self.pending.as_mut()?.answer;
        matches!(answer.content, Content::All(..)).then_some(answer)
    }

    /// The pending request fails.
    pub(super) fn abandon(&mut self) -> Option<(u64, Read<T>)> {
        let pending = self.pending.take()?;
        Some((pending.asked_ms, Read::Failed))
    }

    /// Handles the pending answer. Sends a request for all keys by `load` if it shows that the next
    /// records were deleted or that the log was restored; `load` returns `None` if it fails.
    pub(super) fn receive(
        &mut self,
        load: impl FnOnce() -> Option<Answer<T>>,
    ) -> Option<(u64, Read<T>)> {
        let Pending {
            asked_ms,
            known,
            answer,
        } = self.pending.take()?;
        let era = AnswerEra::compare(Some(answer.era), known.era);
        let read = match (answer.content, era) {
            (Content::Expired, _) => {
                self.cursor.set_expired();
                return self.begin_load(asked_ms, known, load());
            }
            (_, AnswerEra::Outdated) => Read::Failed,
            (Content::Changes(_), AnswerEra::Restored(_)) => {
                return self.begin_load(asked_ms, known, load());
            }
            (Content::Changes(records), AnswerEra::Current) => {
                self.cursor.advance(known, records.len());
                Read::Changes(known, records)
            }
            (Content::All(records, end), _) => {
                let end = StreamPosition::new(answer.era, end);
                self.cursor.reset_to(end);
                Read::Full(records, end)
            }
        };
        Some((asked_ms, read))
    }

    fn begin_load(
        &mut self,
        asked_ms: u64,
        known: StreamPosition,
        answer: Option<Answer<T>>,
    ) -> Option<(u64, Read<T>)> {
        let Some(answer) = answer else {
            return Some((asked_ms, Read::Failed));
        };
        self.pending = Some(Pending {
            asked_ms,
            known: known.max(self.cursor.position()),
            answer,
        });
        None
    }
}
