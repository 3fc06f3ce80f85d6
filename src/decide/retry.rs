//! Whether and when a failed attempt may be retried.
//!
//! Load pattern: an upstream fails, and every caller's request is retried at the next one. Without
//! a budget, retries multiply the load just when the pool is weakest, and the pool stays down after
//! the cause is gone (a retry storm).
//!
//! The budget is a share of the first attempts, as in gRPC's retry throttling: each first attempt
//! earns a fraction of a token, each retry takes one. Pauses grow exponentially with full jitter
//! (Brooker, "Exponential backoff and jitter", 2015), so that requests that failed together aren't
//! retried together. A decision costs a few comparisons.

use rand::Rng;

/// Default share of first attempts that may be retried. It bounds the extra load of a pool that
/// fails everything, and covers one failing engine of a dozen.
pub const DEFAULT_SHARE: f64 = 0.2;
/// Retries that may be made at once after a quiet period.
const BURST: f64 = 10.0;
/// Upper bound of the first pause; a third of a typical request's time to first token.
const BASE_MS: u64 = 20;
/// Upper bound of all pauses.
const MAX_PAUSE_MS: u64 = 1_000;

/// A failed attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailedAttempt {
    /// A byte of the request may have been sent, and it must not run twice.
    pub may_have_run: bool,
    /// Retries made so far.
    pub retries: u32,
    /// Time left until the caller's deadline.
    pub remaining_ms: u64,
}

/// Token bucket that limits a router's retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    burst: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget for retries of `share` of the first attempts.
    ///
    /// ```
    /// use cassiagrade::decide::retry::{RetryBudget, FailedAttempt};
    /// use rand::{SeedableRng, rngs::SmallRng};
    /// let mut rng = SmallRng::seed_from_u64(1);
    /// let mut budget = RetryBudget::new(0.2);
    /// let failed = FailedAttempt { remaining_ms: 5_000, ..FailedAttempt::default() };
    /// assert!(budget.pause_ms(failed, &mut rng).is_some());
    /// let ran = FailedAttempt { may_have_run: true, ..failed };
    /// assert_eq!(budget.pause_ms(ran, &mut rng), None);
    /// ```
    pub fn new(share: f64) -> Self {
        Self::with_burst(share, BURST)
    }

    /// Creates a full budget for `share` of the first attempts and `burst` retries at once.
    pub fn with_burst(share: f64, burst: f64) -> Self {
        Self {
            share,
            burst,
            tokens: burst,
        }
    }

    /// Changes how many retries may be made at once.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Takes one immediate retry; `false` if none is allowed. A budget of less than one retry allows
    /// it with that probability.
    ///
    /// Failure guarded against: the budget of a fleet is divided among more routers than it has
    /// retries. None of them ever has a whole one, and no request is retried.
    pub fn take<R: Rng>(&mut self, rng: &mut R) -> bool {
        let is_divided = self.burst < 1.0 && self.tokens > 0.0;
        let is_allowed = self.tokens >= 1.0 || is_divided && rng.random_bool(self.tokens);
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }

    /// Changes the share.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Counts a first attempt.
    pub fn first_try(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Returns the pause before the next attempt, or `None` if none is allowed.
    pub fn pause_ms<R: Rng>(&mut self, failed: FailedAttempt, rng: &mut R) -> Option<u64> {
        if failed.may_have_run || self.tokens < 1.0 {
            return None;
        }
        let most_ms = BASE_MS.saturating_mul(1 << failed.retries.min(16));
        let pause_ms = rng.random_range(0..=most_ms.min(MAX_PAUSE_MS));
        if pause_ms >= failed.remaining_ms {
            return None;
        }
        self.tokens -= 1.0;
        Some(pause_ms)
    }
}
