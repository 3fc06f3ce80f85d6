//! Load shedding by priority class when upstreams are overloaded for longer than a burst.
//!
//! Load pattern: more work than the pool can do for many seconds. Without shedding, every class
//! waits in the same full queue, and when the load falls all refused callers return together: a
//! second peak.
//!
//! The control law is additive increase and a slower additive decrease of a shed level, evaluated
//! once per interval by the shortest wait in it (as CoDel evaluates a queue: Nichols and Jacobson,
//! 2012): a burst that drains within the interval sheds nothing. The level is a real number: class
//! `i` of the order is refused with probability `level - i`, so that recovery readmits a class by
//! tenths. A decision costs one comparison and one random number.

use rand::Rng;

use crate::decide::Priority;

/// Evaluation interval. Longer than the slot turnover time of typical pools.
pub const INTERVAL_MS: u64 = 500;
/// Shortest wait in an interval from which the queue counts as standing rather than a burst.
pub const TARGET_WAIT_MS: u64 = 1_000;
/// Added to the level after an interval above the target: a class is shed completely after 2 s.
const RISE: f64 = 0.25;
/// Subtracted after an interval below it: a class is readmitted over 5 s.
const FALL: f64 = 0.1;

/// Shed level of one upstream.
#[derive(Clone, Debug)]
pub struct Shedder {
    order: Vec<Priority>,
    level: f64,
    evaluated_ms: u64,
    least_wait_ms: Option<u64>,
}

impl Shedder {
    /// Sheds the classes of `order`, first to last; an unlisted class is never shed.
    ///
    /// ```
    /// use cassiagrade::decide::{Priority, shed::Shedder};
    /// let mut shedder = Shedder::new(vec![Priority::Batch]);
    /// for at_ms in (0..10_000).step_by(100) {
    ///     shedder.observe(3_000, at_ms);
    /// }
    /// assert_eq!(shedder.share(Priority::Batch), 1.0);
    /// assert_eq!(shedder.share(Priority::Urgent), 0.0);
    /// ```
    pub fn new(order: Vec<Priority>) -> Self {
        Self {
            order,
            level: 0.0,
            evaluated_ms: 0,
            least_wait_ms: None,
        }
    }

    /// Records the current wait of the oldest waiting job.
    pub fn observe(&mut self, wait_ms: u64, now_ms: u64) {
        let least = self.least_wait_ms.unwrap_or(u64::MAX);
        self.least_wait_ms = Some(least.min(wait_ms));
        let intervals = now_ms.saturating_sub(self.evaluated_ms) / INTERVAL_MS;
        if intervals == 0 {
            return;
        }
        self.evaluated_ms = now_ms;
        let standing = self.least_wait_ms.take() > Some(TARGET_WAIT_MS);
        // Intervals without a call had no standing queue.
        let change = if standing {
            RISE
        } else {
            -FALL * intervals as f64
        };
        self.level = (self.level + change).clamp(0.0, self.order.len() as f64);
    }

    /// Returns the share of jobs of `priority` to refuse now.
    pub fn share(&self, priority: Priority) -> f64 {
        let at = self.order.iter().position(|p| *p == priority);
        at.map_or(0.0, |at| (self.level - at as f64).clamp(0.0, 1.0))
    }

    /// Whether to refuse a job of `priority`.
    pub fn sheds<R: Rng>(&self, priority: Priority, rng: &mut R) -> bool {
        let share = self.share(priority);
        share > 0.0 && rng.random_bool(share)
    }
}
