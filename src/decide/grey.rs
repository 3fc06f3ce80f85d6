//! Detection of grey failures: upstreams that fail a larger share of requests than their pool.
//!
//! Load pattern: some upstreams of a pool fail every third request or so and answer the others
//! well, health checks included. Consecutive failures are rare, so counting them detects nothing,
//! and until the upstream is fixed a third of its callers get a failure or wait for a retry.
//!
//! So each upstream's calls of the last seconds are counted over all routers: one router of many
//! calls an upstream once a second and would need ten seconds to detect it. An upstream is grey
//! when it failed [`MIN_FAILED`] times and its failure share is at least [`MIN_SHARE`] and
//! [`POOL_FACTOR`] times the pool's median: a service in which one in seven requests fails by its
//! nature ejects nothing. A decision costs a sort of the pool's shares.

/// Half-life of the counts. Long enough for some twenty calls of an upstream at a dozen a second;
/// after the first ejection time a quarter is left, too little to eject again without new calls.
pub const HALF_LIFE_MS: f64 = 1_500.0;
/// Failures that aren't chance: a restart may fail two of three calls.
pub const MIN_FAILED: f64 = 3.0;
/// Failure share that callers notice in spite of retries.
pub const MIN_SHARE: f64 = 0.2;
/// Multiple of the pool's median failure share.
pub const POOL_FACTOR: f64 = 3.0;

/// Counts below this are dropped.
const MIN_ENDED: f64 = 0.1;

/// Outcomes of an upstream's calls of the last seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    ended: f64,
    failed: f64,
    at_ms: u64,
}

impl Outcomes {
    /// Adds calls that ended, `failed` of which failed.
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

    /// Returns the counts decayed to `now_ms`.
    pub fn at(self, now_ms: u64) -> Self {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let remaining = 0.5_f64.powf(age_ms / HALF_LIFE_MS);
        Self {
            ended: self.ended * remaining,
            failed: self.failed * remaining,
            at_ms: now_ms,
        }
    }

    /// Returns the share that failed; 0 if there were no calls.
    pub fn share(self) -> f64 {
        if self.ended > 0.0 {
            self.failed / self.ended
        } else {
            0.0
        }
    }

    /// Returns the sum of both counts.
    pub fn plus(self, other: Self, now_ms: u64) -> Self {
        let (own, other) = (self.at(now_ms), other.at(now_ms));
        Self {
            ended: own.ended + other.ended,
            failed: own.failed + other.failed,
            at_ms: now_ms,
        }
    }

    /// Whether enough calls are left to matter.
    pub fn is_significant(self) -> bool {
        self.ended >= MIN_ENDED
    }

    fn is_grey(self, median: f64) -> bool {
        let least = MIN_SHARE.max(POOL_FACTOR * median);
        self.failed >= MIN_FAILED && self.share() >= least
    }
}

/// Returns the indices of the grey ones of the upstreams with `observed` outcomes, in a pool with
/// `unobserved` more that had no calls.
///
/// ```
/// use cassiagrade::decide::grey::{Outcomes, grey};
/// let mut failing = Outcomes::default();
/// failing.add(10, 5, 0);
/// assert!(grey(&[failing], 0).is_empty(), "there is nothing to compare it with");
/// assert_eq!(grey(&[failing], 9_999), [0]);
/// ```
pub fn grey(observed: &[Outcomes], unobserved: usize) -> Vec<usize> {
    let mut shares: Vec<f64> = observed.iter().map(|o| o.share()).collect();
    shares.sort_by(f64::total_cmp);
    // The lower median of an even number: with half of a small pool grey, the other half counts.
    let middle = (shares.len() + unobserved).saturating_sub(1) / 2;
    let observed_below = middle.checked_sub(unobserved);
    let median = observed_below.and_then(|at| shares.get(at)).copied();
    let median = median.unwrap_or(0.0);
    let grey = observed
        .iter()
        .enumerate()
        .filter(|(_, o)| o.is_grey(median));
    grey.map(|(at, _)| at).collect()
}
