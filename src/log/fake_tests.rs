//! A fake log for fuzz tests: each call waits until the test executes it, with or without a fault.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use crate::log::{Batch, Entry, Log, LogError};

/// A fault in one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    None,
    /// The call has no effect and returns an error that says so.
    Refused,
    /// The append takes effect, but its reply is lost.
    ReplyLost,
    /// The append takes effect twice.
    Doubled,
    /// The append's reply is lost, and the append takes effect later or never.
    Delayed,
    /// The read doesn't return this many of the newest records.
    Stale(u8),
}

enum Call {
    Append(String, Vec<String>),
    Read(String, u64, usize),
}

enum Reply {
    Append(Result<u64, LogError>),
    Read(Result<Batch, LogError>),
}

struct Stored {
    at_ms: u64,
    text: String,
}

#[derive(Default)]
struct Stream {
    first: u64,
    records: Vec<Stored>,
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Default)]
struct State {
    now_ms: u64,
    era: u64,
    /// When the log was restored last.
    restored_ms: u64,
    outage: bool,
    retention_ms: u64,
    streams: BTreeMap<String, Stream>,
    calls: BTreeMap<u64, Call>,
    replies: BTreeMap<u64, Reply>,
    delayed: Vec<(String, Vec<String>)>,
    /// Every record stored in this era or in the copy that it began with, including expired ones.
    archive: BTreeMap<String, Vec<String>>,
}

/// A handle to the log for one actor, which has at most one call waiting.
#[derive(Clone)]
pub(crate) struct FakeLog {
    state: Rc<RefCell<State>>,
    actor: u64,
    /// How far the actor's wall clock is ahead.
    ahead_ms: i64,
}

impl FakeLog {
    pub(crate) fn new(retention_ms: u64) -> Self {
        let state = State {
            retention_ms,
            ..State::default()
        };
        Self {
            state: Rc::new(RefCell::new(state)),
            actor: 0,
            ahead_ms: 0,
        }
    }

    /// Sets how far the actor's wall clock is ahead.
    pub(crate) fn with_clock_ahead(self, ahead_ms: i64) -> Self {
        Self { ahead_ms, ..self }
    }

    /// Returns a handle for another actor and drops the actor's earlier calls.
    pub(crate) fn actor(&self, actor: u64) -> Self {
        let mut state = self.state.borrow_mut();
        state.calls.remove(&actor);
        state.replies.remove(&actor);
        Self {
            state: self.state.clone(),
            actor,
            ahead_ms: 0,
        }
    }

    pub(crate) fn set_outage(&self, outage: bool) {
        self.state.borrow_mut().outage = outage;
    }

    /// Sets the time and removes records older than the retention.
    pub(crate) fn set_now(&self, now_ms: u64) {
        let mut state = self.state.borrow_mut();
        state.now_ms = now_ms;
        let retention_ms = state.retention_ms;
        for stream in state.streams.values_mut() {
            let expired = |r: &Stored| r.at_ms + retention_ms < now_ms;
            let count = stream.records.iter().take_while(|r| expired(r)).count();
            stream.records.drain(..count);
            stream.first += count as u64;
        }
    }

    /// Replaces every stream by a copy without the newest `lost` records.
    pub(crate) fn restore(&self, lost: usize) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        for (name, stream) in &mut state.streams {
            let kept = stream.records.len().saturating_sub(lost);
            stream.records.truncate(kept);
            if let Some(archive) = state.archive.get_mut(name) {
                archive.truncate(usize::try_from(stream.next()).unwrap());
            }
        }
        state.era += 1;
        state.restored_ms = state.now_ms;
    }

    /// Drops the delayed appends of records that `is_dropped`.
    pub(crate) fn drop_delayed(&self, is_dropped: impl Fn(&str) -> bool) {
        let mut state = self.state.borrow_mut();
        let dropped = |records: &Vec<String>| records.iter().any(|text| is_dropped(text));
        state.delayed.retain(|(_, records)| !dropped(records));
    }

    /// Executes one delayed append.
    pub(crate) fn deliver_delayed(&self, which: usize) {
        let mut state = self.state.borrow_mut();
        if state.delayed.is_empty() {
            return;
        }
        let at = which % state.delayed.len();
        let (stream, records) = state.delayed.remove(at);
        state.store(&stream, records);
    }

    /// Executes the waiting call of `actor`; returns whether there was one.
    pub(crate) fn execute(&self, actor: u64, fault: Fault) -> bool {
        let mut state = self.state.borrow_mut();
        let Some(call) = state.calls.remove(&actor) else {
            return false;
        };
        let reply = match call {
            Call::Append(stream, records) => Reply::Append(state.append(&stream, records, fault)),
            Call::Read(stream, from, max) => {
                Reply::Read(state.read(&stream, from, max, fault).map(|batch| Batch {
                    era_seen_ms: batch.era_seen_ms.saturating_add_signed(self.ahead_ms),
                    ..batch
                }))
            }
        };
        state.replies.insert(actor, reply);
        true
    }

    /// Returns all records ever stored in `stream` from offset `from` on.
    pub(crate) fn archive(&self, stream: &str, from: usize) -> Vec<String> {
        let state = self.state.borrow();
        let all = state.archive.get(stream).map_or(&[][..], Vec::as_slice);
        all.get(from..).unwrap_or_default().to_vec()
    }

    async fn call(&self, call: Call) -> Reply {
        self.state.borrow_mut().calls.insert(self.actor, call);
        poll_fn(
            |_| match self.state.borrow_mut().replies.remove(&self.actor) {
                Some(reply) => Poll::Ready(reply),
                None => Poll::Pending,
            },
        )
        .await
    }
}

impl State {
    fn store(&mut self, stream: &str, records: Vec<String>) -> u64 {
        let at_ms = self.now_ms;
        let archive = self.archive.entry(stream.to_owned()).or_default();
        archive.extend(records.iter().cloned());
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = stream.next();
        let stored = records.into_iter().map(|text| Stored { at_ms, text });
        stream.records.extend(stored);
        offset
    }

    fn append(&mut self, name: &str, records: Vec<String>, fault: Fault) -> Result<u64, LogError> {
        if self.outage || fault == Fault::Refused {
            return Err(LogError::Unavailable {
                detail: "refused".to_owned(),
            });
        }
        let indeterminate = Err(LogError::Indeterminate {
            detail: "lost".to_owned(),
        });
        match fault {
            Fault::ReplyLost => {
                self.store(name, records);
                indeterminate
            }
            Fault::Delayed => {
                self.delayed.push((name.to_owned(), records));
                indeterminate
            }
            Fault::Doubled => {
                let offset = self.store(name, records.clone());
                self.store(name, records);
                Ok(offset)
            }
            _ => Ok(self.store(name, records)),
        }
    }

    fn read(&mut self, name: &str, from: u64, max: usize, fault: Fault) -> Result<Batch, LogError> {
        if self.outage || fault == Fault::Refused {
            return Err(LogError::Unavailable {
                detail: "refused".to_owned(),
            });
        }
        let stream = self.streams.entry(name.to_owned()).or_default();
        let missed = match fault {
            Fault::Stale(n) => u64::from(n).min(stream.records.len() as u64),
            _ => 0,
        };
        let next = stream.next() - missed;
        let shown = stream.records.iter().zip(stream.first..next);
        let entries = shown.filter(|(_, offset)| *offset >= from).take(max);
        Ok(Batch {
            era: self.era,
            era_seen_ms: self.restored_ms,
            first: stream.first,
            next,
            entries: entries
                .map(|(r, offset)| Entry {
                    offset,
                    text: r.text.clone(),
                })
                .collect(),
        })
    }
}

impl Log for FakeLog {
    async fn append(&self, stream: &str, records: Vec<String>) -> Result<u64, LogError> {
        match self.call(Call::Append(stream.to_owned(), records)).await {
            Reply::Append(reply) => reply,
            Reply::Read(_) => unreachable!("an append has an append's reply"),
        }
    }

    async fn read(&self, stream: &str, from: u64, max: usize) -> Result<Batch, LogError> {
        match self.call(Call::Read(stream.to_owned(), from, max)).await {
            Reply::Read(reply) => reply,
            Reply::Append(_) => unreachable!("a read has a read's reply"),
        }
    }
}

/// A future that the test polls step by step. Dropping it simulates a crash, not polling it a
/// pause.
pub(crate) type Script<T> = Pin<Box<dyn Future<Output = T>>>;

/// Runs `script` until it waits for a call to be executed.
pub(crate) fn step<T>(script: &mut Script<T>) -> Option<T> {
    let mut cx = Context::from_waker(Waker::noop());
    match script.as_mut().poll(&mut cx) {
        Poll::Ready(done) => Some(done),
        Poll::Pending => None,
    }
}
