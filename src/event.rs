//! The time line: events of this process as JSON lines, stamped with a hybrid logical clock.

use std::io::Write;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use metrics::counter;

pub use crate::schema::event::{Event, Kind};
use crate::schema::peer;
use crate::util::{self, Name};

/// A hybrid logical clock: wall time that never steps back and that moves past every stamp seen,
/// so that a cause sorts before its effect on a host whose clock is behind.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Stamp {
    /// Milliseconds since the epoch.
    pub at_ms: u64,
    /// Order within the millisecond.
    pub seq: u32,
}

impl Stamp {
    /// The next stamp at wall time `wall_ms`.
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

/// Where a router's events go.
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
    routine: Routine,
}

/// Lines about requests that went well, a second. Beyond that they are counted and left out, so that
/// a busy router's log stays bounded and still has every failure.
const ROUTINE_PER_S: f64 = 200.0;
/// Such lines that may come at once.
const ROUTINE_BURST: f64 = 1_000.0;

/// How many lines about requests that went well may still be written.
struct Routine {
    left: f64,
    at: Instant,
}

impl Routine {
    fn take(&mut self) -> bool {
        let now = Instant::now();
        let grown = now.duration_since(self.at).as_secs_f64() * ROUTINE_PER_S;
        self.at = now;
        self.left = (self.left + grown).min(ROUTINE_BURST);
        if self.left < 1.0 {
            counter!("cassiagrade_events_left_out_total").increment(1);
            return false;
        }
        self.left -= 1.0;
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
    /// Events of `host`, written to `out`.
    pub fn open(host: Name, data_center: Name, out: Option<Box<dyn Write + Send>>) -> Self {
        Self::open_with_clock(host, data_center, out, util::wall_ms)
    }

    /// The same by a clock of the caller's choice, such as one that is wrong.
    pub fn open_with_clock(
        host: Name,
        data_center: Name,
        out: Option<Box<dyn Write + Send>>,
        wall_ms: fn() -> u64,
    ) -> Self {
        let sink = out.map(|out| {
            let last = Stamp::default();
            let routine = Routine {
                left: ROUTINE_BURST,
                at: Instant::now(),
            };
            Arc::new(Mutex::new(Sink { last, out, routine }))
        });
        Self {
            host,
            data_center,
            wall_ms,
            sink,
        }
    }

    /// Writes one event; `fill` sets what the kind needs. Costs nothing when events are off.
    pub fn emit(&self, kind: Kind, fill: impl FnOnce(&mut Event)) {
        let Some(sink) = &self.sink else { return };
        let is_left_out = |mut sink: MutexGuard<'_, Sink>| !sink.routine.take();
        if is_routine(kind) && sink.lock().is_ok_and(is_left_out) {
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
            // A time line that can't be written must not stop the request path.
            let _ = sink.out.write_all(&line);
        }
    }

    /// Writes one event of a request on its way.
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

    /// A stamp to send with a message; `None` when events are off.
    #[must_use]
    pub fn stamp(&self) -> Option<peer::Stamp> {
        let mut sink = self.sink.as_ref()?.lock().ok()?;
        sink.last = sink.last.next((self.wall_ms)());
        Some(sink.last.into())
    }

    /// Moves the clock past a stamp that came with a message.
    pub fn observe(&self, seen: Option<&peer::Stamp>) {
        let (Some(sink), Some(seen)) = (&self.sink, seen) else {
            return;
        };
        if let Ok(mut sink) = sink.lock() {
            sink.last = sink.last.max((*seen).into());
        }
    }
}

/// How a chat's key stands in the time line.
pub(crate) fn chat_name(key: u64) -> String {
    format!("{key:016x}")
}
