//! A new home's estimate of the work that the upstream's earlier home started.
//!
//! Load pattern: routers start and stop, and their upstreams change homes with jobs in flight.
//! Without the estimate, a new home takes a busy upstream for an idle one and doubles its load. So
//! it counts the last reported work as its own and lets it decay linearly; the upstream's own
//! reports, which lag, only ever lower it. Costs a multiplication per decision.

/// Time in which inherited work decays: twice the duration of a mean job.
pub const TAKE_OVER_MS: u64 = 10_000;

/// Work that an earlier home started.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Inherited {
    jobs: f64,
    work_ms: f64,
    since_ms: u64,
}

impl Inherited {
    pub(crate) fn new(jobs: u32, work_ms: f64, now_ms: u64) -> Self {
        Self {
            jobs: f64::from(jobs),
            work_ms,
            since_ms: now_ms,
        }
    }

    /// Returns the estimated number of jobs still running.
    pub(crate) fn jobs(&self, now_ms: u64) -> f64 {
        self.jobs * self.remaining(now_ms)
    }

    /// Returns their estimated work in engine milliseconds.
    pub(crate) fn work_ms(&self, now_ms: u64) -> f64 {
        self.work_ms * self.remaining(now_ms)
    }

    /// Lowers the estimate to the upstream's report that it runs `jobs` not started by this home.
    ///
    /// Failure guarded against: with nothing inherited, a report that lags behind this home's own
    /// first job would divide zero by zero. The home would then count NaN jobs and never have a
    /// free slot again.
    pub(crate) fn lower_to(&mut self, jobs: f64, now_ms: u64) {
        let expected = self.jobs(now_ms);
        if expected > 0.0 && jobs < expected {
            let ratio = jobs.max(0.0) / expected;
            self.jobs *= ratio;
            self.work_ms *= ratio;
        }
    }

    fn remaining(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.since_ms).min(TAKE_OVER_MS);
        1.0 - age_ms as f64 / TAKE_OVER_MS as f64
    }
}
