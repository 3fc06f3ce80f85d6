//! Wait of a router that starts for its turn to load a stream of the platform's log. Meanwhile its peers
//! are asked for it.

use std::cell::Cell;
use std::time::Duration;

use rand::Rng;

use crate::fleet::first_load::{LoadCost, load_delay_ms, wait_window_ms};
use crate::path::RequestPath;
use crate::path::dialect::Records;

/// Number of routers below which a fleet counts as gone but for these.
const FEW: usize = 8;
/// Time after start from which a router loads a long stream though the platform has not named the others.
const UNKNOWN_FLEET_LIMIT_MS: u64 = 4_000;
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// When this router loads a stream that it knows nothing of.
pub(crate) struct LoadTurn {
    cost: LoadCost,
    jitter: Cell<f64>,
    drawn_ms: Cell<u64>,
    /// Whether the stream has several pages.
    is_long: Cell<bool>,
}

impl LoadTurn {
    pub(crate) fn draw(cost: LoadCost, now_ms: u64) -> Self {
        Self {
            cost,
            jitter: Cell::new(rand::rng().random()),
            drawn_ms: Cell::new(now_ms),
            is_long: Cell::default(),
        }
    }

    /// Notes that the stream has several pages: a router that doesn't know how many others load it is
    /// not taken for the only one.
    ///
    /// Failure guarded against: all routers of a fleet start at once and load the first page before they
    /// know of each other. Each goes on as if it were alone, and the log sends everything to all.
    pub(crate) fn set_long(&self) {
        self.is_long.set(true);
    }

    /// Draws a new turn, after a load that failed.
    pub(crate) fn draw_again(&self, now_ms: u64) {
        self.jitter.set(rand::rng().random());
        self.drawn_ms.set(now_ms);
    }

    /// Waits until it is the turn of this router, or until it has the stream from a peer. Returns
    /// the time waited.
    pub(crate) async fn wait<D: Records>(
        &self,
        path: &RequestPath<D>,
        is_there: impl Fn() -> bool,
    ) -> u64 {
        let started_ms = path.clock.now_ms();
        let mut awaited = None;
        while !is_there() && !self.is_due(path) {
            if awaited.is_none() && self.window_ms(path) > 0.0 {
                awaited = Some(path.replica.await_peers());
            }
            compio::time::sleep(CHECK_INTERVAL).await;
        }
        path.clock.now_ms().saturating_sub(started_ms)
    }

    /// Longest wait for a peer's copy, in a fleet of as many routers as this one knows of.
    fn window_ms<D>(&self, path: &RequestPath<D>) -> f64 {
        wait_window_ms(known_routers(path), self.cost)
    }

    /// Whether it is this router's turn, by what it knows of the fleet now. Those that the summary of the
    /// fleet names first load at once, and without a summary the readers: all routers choose
    /// them alike if they know the same ones.
    fn is_due<D>(&self, path: &RequestPath<D>) -> bool {
        let is_fleet_unknown = self.is_long.get() && !path.catch_up.has_list();
        if path.catch_up.awaits_list()
            || (is_fleet_unknown && path.clock.now_ms() < UNKNOWN_FLEET_LIMIT_MS)
        {
            return false;
        }
        if self.window_ms(path) == 0.0 {
            return true;
        }
        if path.catch_up.loads_first() {
            return true;
        }
        if path.catch_up.knows_fleet() && path.has_met_fleet() && path.is_reader() {
            return true;
        }
        let delay_ms = load_delay_ms(self.jitter.get(), known_routers(path), self.cost);
        path.clock.now_ms() >= self.drawn_ms.get() + delay_ms
    }
}

/// Number of routers that may load with this one: those that the platform lists, unless next to none of
/// them are there.
///
/// Failure guarded against: few of a large fleet's hosts return, and each waits for copies of the others as
/// if all had.
fn known_routers<D>(path: &RequestPath<D>) -> usize {
    let met = path.met_routers();
    if met < FEW && path.catch_up.has_had_time_to_meet() {
        return met;
    }
    path.routers().max(path.catch_up.listed_routers())
}
