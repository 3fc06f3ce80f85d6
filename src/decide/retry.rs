//! Whether, when and where a failed try may be repeated.
//!
//! Load pattern: an upstream fails, and every caller's request is tried again at the next one.
//! Without a budget, retries multiply the load just when the pool is weakest, and the pool stays
//! down when the cause has gone (a retry storm).
//!
//! The budget is a share of the first tries, as in gRPC's retry throttling: each first try earns
//! a fraction of a token, each retry takes one. Pauses grow exponentially with full jitter
//! (Brooker, "Exponential backoff and jitter", 2015), so that requests that failed together don't
//! return together. A decision costs a few comparisons.

use rand::Rng;

/// Share of first tries that may be repeated, unless the policy says otherwise. A pool
/// that fails everything gets so much more load; one failing engine of a dozen is covered.
pub const DEFAULT_SHARE: f64 = 0.2;
/// Retries that may come at once after a quiet time.
const BURST: f64 = 10.0;
/// The first pause is drawn from up to this; a third of a usual request's first token.
const BASE_MS: u64 = 20;
/// No pause is drawn from more.
const MAX_PAUSE_MS: u64 = 1_000;

/// What is known of a failed try.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailedAttempt {
    /// A byte of the request may have left, and it must not run twice.
    pub may_have_run: bool,
    /// Retries made so far.
    pub retries: u32,
    /// Time left until the caller's deadline.
    pub remaining_ms: u64,
}

/// The retries a router may still make.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    burst: f64,
    tokens: f64,
}

impl RetryBudget {
    /// A full budget for `share` of the first tries.
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

    /// A full budget for `share` of the first tries and `burst` that may come at once.
    pub fn with_burst(share: f64, burst: f64) -> Self {
        Self {
            share,
            burst,
            tokens: burst,
        }
    }

    /// Changes how many may come at once.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Takes one retry that starts at once; `false` if there must be none.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Changes the share.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Counts a first try.
    pub fn first_try(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// How long to wait before the next try, or `None` if there must be none.
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
