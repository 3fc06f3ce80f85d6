//! Adaptive limit of concurrent calls to a plain service.
//!
//! Load pattern: a plain service reports no load, and its capacity varies with its own back ends. A
//! fixed limit is either too low when the service is fast, or lets a slow service accumulate calls
//! until each of them times out.
//!
//! The control law is additive increase, multiplicative decrease (AIMD) on call latency. Of
//! gradient, Vegas and AIMD, it is the one that converges to fair shares when two homes exist for
//! some seconds (Chiu and Jain, 1989), and it needs no noise-free minimum. The limit never falls
//! below a floor, so that look-ups still go through at once, and grows only while it is used. A
//! sample costs a few additions.

/// Lowest limit, so that a service always makes progress.
pub const MIN_LIMIT: f64 = 4.0;
/// Initial limit of a service.
const INITIAL_LIMIT: f64 = 16.0;
/// Highest limit of an upstream.
const MAX_LIMIT: f64 = 512.0;
/// Factor on the limit when calls are slow or fail. Halving would empty short queues, but cost a
/// small service half of its throughput each time.
const DECREASE: f64 = 0.8;
/// Multiple of the typical latency that counts as slow.
const SLOW_FACTOR: f64 = 2.0;
/// Latencies below this are never slow: they are within scheduling noise.
const NOISE_MS: f64 = 5.0;
/// Weight of a window faster than the moving average.
const QUICK_GAIN: f64 = 1.0 / 16.0;
/// Weight of a window slower than the moving average. It must be small, or the average follows a
/// service that loses capacity before the limit does. It isn't zero, so that the limit of a service
/// that stays slower leaves the floor again.
const SLOW_GAIN: f64 = 1.0 / 256.0;
/// Calls per window.
const WINDOW: u32 = 16;

/// Adaptive concurrency limit of one plain upstream.
#[derive(Clone, Debug)]
pub struct Concurrency {
    limit: f64,
    typical_ms: Option<f64>,
    sum_ms: f64,
    failures: u32,
    calls: u32,
    was_at_limit: bool,
}

impl Default for Concurrency {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            typical_ms: None,
            sum_ms: 0.0,
            failures: 0,
            calls: 0,
            was_at_limit: false,
        }
    }
}

impl Concurrency {
    /// Returns how many calls may be in flight.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "between 4 and 512"
    )]
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Records a call that ended after `took_ms`, with `in_flight` calls in flight.
    ///
    /// ```
    /// use cassiagrade::decide::concurrency::Concurrency;
    /// let mut limit = Concurrency::default();
    /// let start = limit.limit();
    /// for _ in 0..160 {
    ///     limit.ended(20, true, start);
    /// }
    /// assert!(limit.limit() > start);
    /// for _ in 0..1_600 {
    ///     limit.ended(2_000, false, limit.limit());
    /// }
    /// assert_eq!(limit.limit(), 4);
    /// ```
    pub fn ended(&mut self, took_ms: u64, ok: bool, in_flight: u32) {
        self.sum_ms += took_ms as f64;
        self.failures += u32::from(!ok);
        self.calls += 1;
        self.was_at_limit |= in_flight >= self.limit();
        if self.calls < WINDOW {
            return;
        }
        let mean_ms = self.sum_ms / f64::from(self.calls);
        let typical_ms = self.typical_ms.unwrap_or(mean_ms);
        let slow = mean_ms > SLOW_FACTOR * typical_ms + NOISE_MS;
        let failing = self.failures * 2 > self.calls;
        if slow || failing {
            self.limit = (self.limit * DECREASE).max(MIN_LIMIT);
        } else if self.was_at_limit {
            self.limit = (self.limit + 1.0).min(MAX_LIMIT);
        }
        let gain = if mean_ms > typical_ms {
            SLOW_GAIN
        } else {
            QUICK_GAIN
        };
        self.typical_ms = Some(typical_ms + gain * (mean_ms - typical_ms));
        (self.sum_ms, self.failures, self.calls, self.was_at_limit) = (0.0, 0, 0, false);
    }
}
