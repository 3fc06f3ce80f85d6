//! How long the answers of each route took lately.
//!
//! Only the newest answers of a bounded number of routes are kept. Recording one costs a table access, a
//! question a sort of some dozens of numbers.

use std::collections::{HashMap, VecDeque};

use crate::decide::Name;

/// Number of answers kept of each route: some seconds of traffic.
const KEPT_ANSWERS: usize = 32;
/// With fewer answers, nothing is said about a route.
const MIN_ANSWERS: usize = 8;
/// Share of the answers that took at most as long as a long one. Those who ask lose an answer if it takes
/// longer, and a round trip if they expect too much of it.
const LONG_SHARE: f64 = 0.95;
/// Number of routes kept.
const MAX_ROUTES: usize = 256;

/// Durations of recent answers, by route.
#[derive(Debug, Default)]
pub(crate) struct AnswerTimes {
    by_route: HashMap<Name, Recent>,
    /// Number of answers recorded so far.
    recorded: u64,
}

#[derive(Debug, Default)]
struct Recent {
    took_ms: VecDeque<u64>,
    /// Number of the newest answer.
    newest: u64,
}

impl AnswerTimes {
    /// Records that an answer of `route` was complete after `took_ms`.
    pub(crate) fn record(&mut self, route: &Name, took_ms: u64) {
        if self.by_route.len() >= MAX_ROUTES && !self.by_route.contains_key(route) {
            self.forget_oldest();
        }
        self.recorded += 1;
        let recent = self.by_route.entry(route.clone()).or_default();
        recent.newest = self.recorded;
        if recent.took_ms.len() >= KEPT_ANSWERS {
            recent.took_ms.pop_front();
        }
        recent.took_ms.push_back(took_ms);
    }

    /// Returns the time that few of the recent answers of `route` exceeded, if there were enough.
    pub(crate) fn long_ms(&self, route: &str) -> Option<u64> {
        let recent = self.by_route.get(route)?;
        let mut sorted: Vec<u64> = recent.took_ms.iter().copied().collect();
        if sorted.len() < MIN_ANSWERS {
            return None;
        }
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * LONG_SHARE).ceil() as usize;
        sorted.get(rank.saturating_sub(1)).copied()
    }

    /// Forgets the route whose last answer was longest ago.
    fn forget_oldest(&mut self) {
        let oldest = self.by_route.iter().min_by_key(|(_, recent)| recent.newest);
        if let Some(route) = oldest.map(|(route, _)| route.clone()) {
            self.by_route.remove(&route);
        }
    }
}
