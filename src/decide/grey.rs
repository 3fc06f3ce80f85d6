//! Which upstreams fail a share of their requests that their pool doesn't.
//!
//! Load pattern: some upstreams of a pool fail every third request or so and answer the others well,
//! health checks too. Failures in a row hardly ever come, so counting those finds nothing, and until
//! the upstream is mended every third of its callers gets a failure, or waits for a second try.
//!
//! So each upstream's calls of the last seconds are counted, those of all routers together: one router
//! of many sees an upstream once a second and would need ten seconds to tell. An upstream is grey when
//! it failed [`MIN_FAILED`] times and its share of failures is over [`MIN_SHARE`] and
//! [`POOL_FACTOR`] times the pool's median: a service that fails one in seven by its nature ejects
//! nobody. A decision costs a sort of the pool's shares.

/// Counts halve in this time. Long enough for some twenty calls of an upstream at a dozen a second;
/// after the first hold of an ejection a quarter is left, too little to eject again without new calls.
pub const HALF_LIFE_MS: f64 = 1_500.0;
/// Failures that aren't chance: two of three calls may fail by a restart.
pub const MIN_FAILED: f64 = 3.0;
/// A share of failures that callers notice in spite of second tries.
pub const MIN_SHARE: f64 = 0.2;
/// Times the pool's median share of failures.
pub const POOL_FACTOR: f64 = 3.0;

/// Counts below this are forgotten.
const FORGOTTEN: f64 = 0.1;

/// How an upstream's calls of the last seconds ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    ended: f64,
    failed: f64,
    at_ms: u64,
}

impl Outcomes {
    /// Counts calls that ended, `failed` of them badly.
    ///
    /// ```
    /// use cassiagrade::decide::grey::Outcomes;
    /// let mut outcomes = Outcomes::default();
    /// outcomes.add(8, 2, 1_000);
    /// assert_eq!(outcomes.share(), 0.25);
    /// ```
    pub fn add(&mut self, ended: u32, failed: u32, now_ms: u64) {
        *self = self.at(now_ms);
        self.ended += f64::from(ended);
        self.failed += f64::from(failed);
    }

    /// What of it still counts at `now_ms`.
    pub fn at(self, now_ms: u64) -> Self {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let left = 0.5_f64.powf(age_ms / HALF_LIFE_MS);
        Self {
            ended: self.ended * left,
            failed: self.failed * left,
            at_ms: now_ms,
        }
    }

    /// The share that failed; 0 of none.
    pub fn share(self) -> f64 {
        if self.ended > 0.0 {
            self.failed / self.ended
        } else {
            0.0
        }
    }

    /// The counts of both.
    pub fn plus(self, other: Self, now_ms: u64) -> Self {
        let (own, other) = (self.at(now_ms), other.at(now_ms));
        Self {
            ended: own.ended + other.ended,
            failed: own.failed + other.failed,
            at_ms: now_ms,
        }
    }

    /// Whether enough is left to matter.
    pub fn is_significant(self) -> bool {
        self.ended >= FORGOTTEN
    }

    fn is_grey(self, median: f64) -> bool {
        let least = MIN_SHARE.max(POOL_FACTOR * median);
        self.failed >= MIN_FAILED && self.share() >= least
    }
}

/// The grey ones of a pool, by their places in it.
pub fn grey(pool: &[Outcomes]) -> Vec<usize> {
    let mut shares: Vec<f64> = pool.iter().map(|o| o.share()).collect();
    shares.sort_by(f64::total_cmp);
    // Of an even number the lower one: with half of a small pool grey the other half is the measure.
    let middle = shares.len().saturating_sub(1) / 2;
    let median = shares.get(middle).copied().unwrap_or(0.0);
    let grey = pool.iter().enumerate().filter(|(_, o)| o.is_grey(median));
    grey.map(|(at, _)| at).collect()
}
