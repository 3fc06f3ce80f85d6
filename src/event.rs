//! Timeline events of this process: JSON lines with timestamps of a hybrid logical clock.

use std::io::Write;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use metrics::counter;

pub use crate::schema::event::{Event, Kind};
use crate::schema::peer;
use crate::util::{self, Name};

/// Timestamp of a hybrid logical clock: wall time that never goes back and is later than every
/// timestamp received, so that a cause sorts before its effect even if the clock of the effect's
/// host is behind.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Stamp {
    /// Milliseconds since the epoch.
    pub at_ms: u64,
    /// Order within the millisecond.
    pub seq: u32,
}

impl Stamp {
    /// Returns the next timestamp at wall time `wall_ms`.
    ///
    /// ```
    /// use cassiagrade::event::Stamp;
    /// let stamp = Stamp { at_ms: 100, seq: 0 };
    /// assert_eq!(stamp.next(90), Stamp { at_ms: 100, seq: 1 });
    /// assert_eq!(stamp.next(101), Stamp { at_ms: 101, seq: 0 });
    /// ```
    #[must_use]
    pub fn next(self, wall_ms: u64) -> Self {
        if wall_ms > self.at_ms {
            return Self {
                at_ms: wall_ms,
                seq: 0,
            };
        }
        Self {
            at_ms: self.at_ms,
            seq: self.seq + 1,
        }
    }
}

impl From<Stamp> for peer::Stamp {
    fn from(stamp: Stamp) -> Self {
        Self {
            at_ms: stamp.at_ms,
            seq: stamp.seq,
        }
    }
}

impl From<peer::Stamp> for Stamp {
    fn from(stamp: peer::Stamp) -> Self {
        Self {
            at_ms: stamp.at_ms,
            seq: stamp.seq,
        }
    }
}

/// Writer for a router's events.
#[derive(Clone)]
pub struct Events {
    host: Name,
    data_center: Name,
    wall_ms: fn() -> u64,
    sink: Option<Arc<Mutex<Sink>>>,
}

struct Sink {
    last: Stamp,
    out: Box<dyn Write + Send>,
    routine_budget: RoutineBudget,
}

/// Rate limit for events of normal request progress. Excess events are counted and dropped, which
/// bounds the log of a busy router. Events of failures aren't limited.
const ROUTINE_PER_S: f64 = 200.0;
/// Burst size of the rate limit.
const ROUTINE_BURST: f64 = 1_000.0;

/// Token bucket for events of normal request progress.
struct RoutineBudget {
    tokens: f64,
    refilled_at: Instant,
}

impl RoutineBudget {
    fn take(&mut self) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * ROUTINE_PER_S;
        self.refilled_at = now;
        self.tokens = (self.tokens + refill).min(ROUTINE_BURST);
        if self.tokens < 1.0 {
            counter!("cassiagrade_events_left_out_total").increment(1);
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

fn is_routine(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::RequestReceived
            | Kind::RequestPlaced
            | Kind::RequestHopped
            | Kind::RequestQueued
            | Kind::RequestStarted
            | Kind::RequestAnswered
    )
}

impl std::fmt::Debug for Events {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let on = self.sink.is_some();
        f.debug_struct("Events").field("on", &on).finish()
    }
}

impl Events {
    /// Creates a writer for the events of `host`; with `out` as `None`, events are off.
    pub fn open(host: Name, data_center: Name, out: Option<Box<dyn Write + Send>>) -> Self {
        Self::open_with_clock(host, data_center, out, util::wall_ms)
    }

    /// Like [`Self::open`], with the given wall clock, such as a skewed one in tests.
    pub fn open_with_clock(
        host: Name,
        data_center: Name,
        out: Option<Box<dyn Write + Send>>,
        wall_ms: fn() -> u64,
    ) -> Self {
        let sink = out.map(|out| {
            let last = Stamp::default();
            let routine_budget = RoutineBudget {
                tokens: ROUTINE_BURST,
                refilled_at: Instant::now(),
            };
            Arc::new(Mutex::new(Sink {
                last,
                out,
                routine_budget,
            }))
        });
        Self {
            host,
            data_center,
            wall_ms,
            sink,
        }
    }

    /// Writes one event; `fill` sets the fields of its kind and isn't called when events are off.
    pub fn emit(&self, kind: Kind, fill: impl FnOnce(&mut Event)) {
        let Some(sink) = &self.sink else { return };
        let is_dropped = |mut sink: MutexGuard<'_, Sink>| !sink.routine_budget.take();
        if is_routine(kind) && sink.lock().is_ok_and(is_dropped) {
            return;
        }
        let mut event = Event {
            kind: kind.as_str_name().to_ascii_lowercase(),
            host: self.host.to_string(),
            data_center: self.data_center.to_string(),
            ..Event::default()
        };
        fill(&mut event);
        let Ok(mut sink) = sink.lock() else { return };
        sink.last = sink.last.next((self.wall_ms)());
        event.at_ms = sink.last.at_ms;
        event.seq = sink.last.seq;
        if let Ok(mut line) = serde_json::to_vec(&event) {
            line.push(b'\n');
            // A failed write must not affect the request.
            let _ = sink.out.write_all(&line);
        }
    }

    /// Writes one event of a forwarded request.
    pub(crate) fn emit_request(
        &self,
        kind: Kind,
        forward: &peer::Forward,
        fill: impl FnOnce(&mut Event),
    ) {
        self.emit(kind, |e| {
            e.request_id.clone_from(&forward.request_id);
            e.account.clone_from(&forward.account);
            e.chat = chat_name(forward.chat_key);
            e.upstream.clone_from(&forward.upstream);
            e.attempt = forward.attempt;
            fill(e);
        });
    }

    /// Returns a timestamp to send with a message; `None` when events are off.
    #[must_use]
    pub fn stamp(&self) -> Option<peer::Stamp> {
        let mut sink = self.sink.as_ref()?.lock().ok()?;
        sink.last = sink.last.next((self.wall_ms)());
        Some(sink.last.into())
    }

    /// Advances the clock to a timestamp received with a message.
    pub fn observe(&self, seen: Option<&peer::Stamp>) {
        let (Some(sink), Some(seen)) = (&self.sink, seen) else {
            return;
        };
        if let Ok(mut sink) = sink.lock() {
            sink.last = sink.last.max((*seen).into());
        }
    }
}

/// Formats a chat's key as written in events.
pub(crate) fn chat_name(key: u64) -> String {
    format!("{key:016x}")
}
