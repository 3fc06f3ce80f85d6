//! What a router that starts waits for, and since when it serves callers: one line in the log.

use std::cell::{Cell, RefCell};
use std::fmt::{self, Display, Formatter};

use strum::{Display, EnumCount, EnumIter, IntoEnumIterator};

use crate::util::Clock;

/// Time after start at which a router that doesn't serve yet logs what it waits for; doubles with
/// each such line.
const FIRST_OVERDUE_MS: u64 = 4_000;

/// A part of the state that a router loads when it starts.
#[derive(Clone, Copy, Debug, Display, EnumCount, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Part {
    Configuration,
    Upstreams,
    /// The registered routers. A router also serves without them.
    Routers,
    /// What other routers know against requests.
    CatchUp,
}

/// Arrival of one part, and what failed before it.
#[derive(Clone, Debug, Default)]
struct Progress {
    arrival: Option<Arrival>,
    failures: u32,
    last_error: String,
}

#[derive(Clone, Debug)]
struct Arrival {
    at_ms: u64,
    source: String,
}

impl Display for Progress {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match &self.arrival {
            Some(Arrival { at_ms, source }) => write!(f, "{at_ms} ms from {source}")?,
            None => write!(f, "missing")?,
        }
        if self.failures > 0 {
            let Self {
                failures,
                last_error,
                ..
            } = self;
            write!(f, ", {failures} failures, the last: {last_error}")?;
        }
        Ok(())
    }
}

/// Progress of a start. Times are in milliseconds since the start.
#[derive(Debug)]
pub(crate) struct StartReport {
    clock: Clock,
    parts: RefCell<[Progress; Part::COUNT]>,
    serves_since_ms: Cell<Option<u64>>,
    overdue_ms: Cell<u64>,
}

impl StartReport {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            parts: RefCell::default(),
            serves_since_ms: Cell::default(),
            overdue_ms: Cell::new(FIRST_OVERDUE_MS),
        }
    }

    /// Records the first arrival of `part`, from `source`.
    pub(crate) fn record_arrival(&self, part: Part, source: &str) {
        let at_ms = self.clock.now_ms();
        let progress = &mut self.parts.borrow_mut()[part as usize];
        progress.arrival.get_or_insert_with(|| Arrival {
            at_ms,
            source: source.to_owned(),
        });
    }

    /// Records that an attempt to get `part` failed, unless it has arrived.
    pub(crate) fn record_failure(&self, part: Part, error: &dyn Display) {
        let progress = &mut self.parts.borrow_mut()[part as usize];
        if progress.arrival.is_none() {
            progress.failures += 1;
            progress.last_error = error.to_string();
        }
    }

    /// Logs that this router serves callers, once it does, or what it still waits for.
    pub(crate) fn log_progress(&self) {
        let now_ms = self.clock.now_ms();
        if self.serves_since_ms.get().is_some() {
            return;
        }
        if let Some(since_ms) = self.complete_ms() {
            self.serves_since_ms.set(Some(since_ms));
            log::info!(since_ms; "serves callers: {}", self.describe());
        } else if now_ms >= self.overdue_ms.get() {
            self.overdue_ms.set(self.overdue_ms.get() * 2);
            log::warn!(now_ms; "doesn't serve callers yet: {}", self.describe());
        }
    }

    /// When the last part arrived that callers need; `None` if one is missing.
    pub(crate) fn complete_ms(&self) -> Option<u64> {
        let needed = [Part::Configuration, Part::Upstreams, Part::CatchUp];
        let parts = self.parts.borrow();
        let arrivals = needed.map(|part| parts[part as usize].arrival.as_ref().map(|a| a.at_ms));
        let arrivals: Option<Vec<u64>> = arrivals.into_iter().collect();
        arrivals?.into_iter().max()
    }

    /// Describes when each part arrived and from whom.
    pub(crate) fn describe(&self) -> String {
        let parts = self.parts.borrow();
        let parts = Part::iter().map(|part| format!("{part} {}", parts[part as usize]));
        parts.collect::<Vec<_>>().join("; ")
    }
}
