//! Upstreams that were leaving or gone before the log was restored from an older copy. No I/O and no
//! clock.

use std::collections::HashMap;

use crate::decide::Incarnation;

/// Time for which a departure that a restored log lost counts. In it, upstreams that live have
/// written their entries again, and the entries of the others have expired.
pub(crate) const HOLD_MS: u64 = 6_000;
/// Time for which removed upstreams are remembered: longer than a copy of the log is old.
const KEEP_MS: u64 = 60_000;

/// How an upstream departed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Departure {
    /// Its entry said that it drains.
    Draining,
    /// Its entry was removed.
    Gone,
}

/// Departures that the log acknowledged.
///
/// Failure guarded against: the log is restored from a copy in which an upstream is still listed as
/// ready, and callers' requests are sent to it though it is leaving.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    /// Removed upstreams, with the times of their removal.
    gone_ms: HashMap<Incarnation, u64>,
    held: HashMap<Incarnation, Departure>,
    held_until_ms: u64,
}

impl Departures {
    /// Records that the entry of `upstream` was removed.
    pub(crate) fn record_gone(&mut self, upstream: Incarnation, now_ms: u64) {
        self.gone_ms.insert(upstream, now_ms);
    }

    /// Forgets the departure of `upstream`, which has written its entry again.
    pub(crate) fn forget(&mut self, upstream: &Incarnation) {
        self.gone_ms.remove(upstream);
        self.held.remove(upstream);
    }

    /// Begins to hold the departures of the log's former era: those of the upstreams that drain, and
    /// of those removed lately. Returns their number.
    pub(crate) fn hold(
        &mut self,
        draining: impl IntoIterator<Item = Incarnation>,
        now_ms: u64,
    ) -> usize {
        self.held_until_ms = now_ms + HOLD_MS;
        let draining = draining.into_iter().map(|u| (u, Departure::Draining));
        self.held.extend(draining);
        let gone = self.gone_ms.keys().map(|u| (u.clone(), Departure::Gone));
        self.held.extend(gone);
        self.held.len()
    }

    /// Returns the departure of `upstream` if it is held.
    pub(crate) fn held(&self, upstream: &Incarnation) -> Option<Departure> {
        self.held.get(upstream).copied()
    }

    /// Drops what is due at `now_ms`, and returns the upstreams whose departures were held until
    /// then.
    pub(crate) fn release(&mut self, now_ms: u64) -> Vec<Incarnation> {
        self.gone_ms.retain(|_, at_ms| now_ms < *at_ms + KEEP_MS);
        if now_ms < self.held_until_ms {
            return Vec::new();
        }
        self.held.drain().map(|(upstream, _)| upstream).collect()
    }
}
