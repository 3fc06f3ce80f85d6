//! Log lines about changes of upstreams, in a number that doesn't grow with the deployment.

use std::cell::Cell;

use crate::path::position::StreamPosition;

/// Changes that are logged one by one between two flushes; the others are counted.
pub(super) const MAX_LINES: u32 = 16;

/// Change of one upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Change {
    Ready,
    Draining,
    Gone,
}

/// Changes that were not logged one by one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Counts {
    pub(super) ready: u32,
    pub(super) draining: u32,
    pub(super) gone: u32,
}

/// Log of the changes of upstreams.
///
/// Failure guarded against: thousands of upstreams start within seconds, and each of a thousand
/// routers logs a line for each. Writing them takes the processor time that their hosts need to
/// learn of the upstreams.
#[derive(Default)]
pub(super) struct ChangeLog {
    lines: Cell<u32>,
    counts: Cell<Counts>,
}

impl ChangeLog {
    /// Logs a change, the one that ends at `at`, or counts it.
    pub(super) fn record(&self, id: &str, change: Change, at: StreamPosition) {
        let lines = self.lines.get();
        if lines >= MAX_LINES {
            return self.count(change);
        }
        self.lines.set(lines + 1);
        match change {
            Change::Gone => log::info!("upstream {id} is gone, position {at}"),
            _ => {
                let draining = change == Change::Draining;
                log::info!("upstream {id} is there, draining: {draining}, position {at}");
            }
        }
    }

    fn count(&self, change: Change) {
        let mut counts = self.counts.get();
        match change {
            Change::Ready => counts.ready += 1,
            Change::Draining => counts.draining += 1,
            Change::Gone => counts.gone += 1,
        }
        self.counts.set(counts);
    }

    /// Logs the counted changes, of which the last ends at `at`, and returns them.
    pub(super) fn flush(&self, at: StreamPosition) -> Counts {
        self.lines.set(0);
        let counts = self.counts.take();
        let Counts {
            ready,
            draining,
            gone,
        } = counts;
        if counts != Counts::default() {
            log::info!(ready, draining, gone, position:% = at; "further upstreams changed");
        }
        counts
    }
}
