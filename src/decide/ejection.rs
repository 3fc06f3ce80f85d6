//! Which upstreams get no work for a while because they fail or are slow beside their pool.
//!
//! Load pattern: one upstream of a pool answers with errors or takes many times as long. By load
//! alone it looks idle, since it fails fast, and draws the pool's work to itself. Ejecting by an
//! absolute threshold instead would eject a whole pool that is slow for a common reason, and its
//! load would fall on nothing.
//!
//! So an upstream is compared with its pool: it must fail in a row, or be slower than
//! [`SLOW_FACTOR`] times the pool's median, and at most a share of the pool is out at once. It is
//! probed back by one request after a hold that doubles with each ejection in a row; a flapping
//! engine so waits out a growing hold. Recording costs one table access; an ejection costs a
//! sort of the pool's times.

use std::collections::HashMap;

use crate::decide::Name;

/// Failures in a row that eject: one may be chance, two a restart.
pub const FAILURES: u32 = 3;
/// Times the pool's median time to a first frame that count as slow. Queueing alone stays below
/// two at the bound on work.
pub const SLOW_FACTOR: f64 = 4.0;
/// A mean below this is never called slow: no caller notices. In a healthy pool first frames take a millisecond, and a few
/// KV caches moved to an engine are many times that.
pub const SLOW_FLOOR_MS: f64 = 200.0;
/// Answers to see of an upstream before it is called slow.
const SLOW_SAMPLES: u32 = 8;
/// Upstreams with samples that a comparison needs.
const MIN_COMPARED: usize = 3;
/// Weight of the newest time in an upstream's running mean.
const GAIN: f64 = 0.2;
/// The first hold. Longer than a process restart, shorter than the platform list's lag.
pub const EJECTION_MS: u64 = 3_000;
/// The longest hold.
pub const MAX_EJECTION_MS: u64 = 60_000;
/// A probe that isn't answered within this gives way to another.
const PROBE_MS: u64 = 5_000;
/// Share of a pool that may be out at once, unless the policy says otherwise; one always may.
pub const DEFAULT_SHARE: f64 = 0.34;

#[derive(Clone, Debug, Default)]
struct Stats {
    failures: u32,
    mean_ms: f64,
    samples: u32,
    out: Option<Out>,
    /// Ejections since it last stayed in for a whole hold.
    ejections: u32,
    back_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Out {
    until_ms: u64,
    probed_ms: Option<u64>,
}

/// What one router has seen of a pool's upstreams.
#[derive(Clone, Debug, Default)]
pub struct Ejector {
    stats: HashMap<Name, Stats>,
}

/// What a record changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing.
    None,
    /// The upstream is out now.
    Ejected,
    /// The upstream is back.
    Restored,
}

impl Ejector {
    /// Whether `upstream` takes work now. After its hold, one request a while goes through as a
    /// probe: calling this claims it.
    pub fn admits(&mut self, upstream: &str, now_ms: u64) -> bool {
        let Some(stats) = self.stats.get_mut(upstream) else {
            return true;
        };
        let Some(out) = &mut stats.out else {
            return true;
        };
        if now_ms < out.until_ms {
            return false;
        }
        if out.probed_ms.is_some_and(|at| now_ms < at + PROBE_MS) {
            return false;
        }
        out.probed_ms = Some(now_ms);
        true
    }

    /// Whether `upstream` is out, without claiming a probe.
    pub fn is_out(&self, upstream: &str, now_ms: u64) -> bool {
        let out = self.stats.get(upstream).and_then(|s| s.out);
        out.is_some_and(|o| {
            now_ms < o.until_ms || o.probed_ms.is_some_and(|at| now_ms < at + PROBE_MS)
        })
    }

    /// Whether a probe of `upstream` is on its way.
    pub fn is_probed(&self, upstream: &str) -> bool {
        let out = self.stats.get(upstream).and_then(|s| s.out);
        out.is_some_and(|o| o.probed_ms.is_some())
    }

    /// `upstream` answered with its first frame after `took_ms`.
    ///
    /// ```
    /// use cassiagrade::decide::{Name, ejection::{Change, Ejector, FAILURES}};
    /// let pool: Vec<Name> = ["a", "b", "c"].map(Into::into).to_vec();
    /// let mut ejector = Ejector::default();
    /// for _ in 1..FAILURES {
    ///     assert_eq!(ejector.failed(&pool[0], &pool, 0.34, 0), Change::None);
    /// }
    /// assert_eq!(ejector.failed(&pool[0], &pool, 0.34, 0), Change::Ejected);
    /// assert!(!ejector.admits("a", 10));
    /// // Another one of three is over the cap.
    /// for _ in 0..FAILURES {
    ///     assert_eq!(ejector.failed(&pool[1], &pool, 0.34, 0), Change::None);
    /// }
    /// ```
    pub fn answered(
        &mut self,
        upstream: &Name,
        took_ms: u64,
        pool: &[Name],
        share: f64,
        now_ms: u64,
    ) -> Change {
        let stats = self.stats.entry(upstream.clone()).or_default();
        if stats.out.is_some_and(|out| out.probed_ms.is_none()) {
            // It was sent before the ejection: no proof that new ones would fare better.
            return Change::None;
        }
        stats.failures = 0;
        stats.samples = stats.samples.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(stats.samples));
        stats.mean_ms += gain * (took_ms as f64 - stats.mean_ms);
        if stats.out.take().is_some() {
            stats.back_ms = now_ms;
            stats.samples = 0;
            stats.mean_ms = 0.0;
            return Change::Restored;
        }
        if now_ms > stats.back_ms + hold_ms(stats.ejections) {
            stats.ejections = 0;
        }
        if self.is_slow(upstream, pool) {
            return self.eject(upstream, pool, share, now_ms);
        }
        Change::None
    }

    /// `upstream` failed before its first frame.
    pub fn failed(&mut self, upstream: &Name, pool: &[Name], share: f64, now_ms: u64) -> Change {
        let stats = self.stats.entry(upstream.clone()).or_default();
        stats.failures += 1;
        if stats.out.is_some() || stats.failures >= FAILURES {
            return self.eject(upstream, pool, share, now_ms);
        }
        Change::None
    }

    /// `upstream` fails a share of its requests that its pool doesn't.
    pub fn grey(&mut self, upstream: &Name, pool: &[Name], share: f64, now_ms: u64) -> Change {
        let stats = self.stats.entry(upstream.clone()).or_default();
        if stats.out.is_some() {
            return Change::None;
        }
        self.eject(upstream, pool, share, now_ms)
    }

    /// Failures in a row and mean time to a first frame of `upstream`, in milliseconds.
    pub fn grounds(&self, upstream: &str) -> (u32, f64) {
        let stats = self.stats.get(upstream);
        stats.map_or((0, 0.0), |s| (s.failures, s.mean_ms))
    }

    /// Forgets upstreams that `keep` doesn't hold for.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.stats.retain(|name, _| keep(name));
    }

    fn is_slow(&self, upstream: &Name, pool: &[Name]) -> bool {
        let sampled = |name: &Name| {
            let stats = self.stats.get(name)?;
            (stats.samples >= SLOW_SAMPLES).then_some(stats.mean_ms)
        };
        let Some(own_ms) = sampled(upstream) else {
            return false;
        };
        let mut means: Vec<f64> = pool.iter().filter_map(sampled).collect();
        if means.len() < MIN_COMPARED {
            return false;
        }
        means.sort_by(f64::total_cmp);
        let usual_ms = means[means.len() / 2];
        own_ms > (SLOW_FACTOR * usual_ms).max(SLOW_FLOOR_MS)
    }

    fn eject(&mut self, upstream: &Name, pool: &[Name], share: f64, now_ms: u64) -> Change {
        let is_out = |name: &&Name| {
            let stats = self.stats.get(*name);
            *name != upstream && stats.is_some_and(|s| s.out.is_some())
        };
        let out = pool.iter().filter(is_out).count();
        let most = ((pool.len() as f64 * share) as usize).max(1);
        // The last one that takes work always stays.
        if out >= most || out + 1 >= pool.len().max(1) {
            return Change::None;
        }
        let Some(stats) = self.stats.get_mut(upstream) else {
            return Change::None;
        };
        let was_out = stats.out.is_some();
        stats.out = Some(Out {
            until_ms: now_ms + hold_ms(stats.ejections),
            probed_ms: None,
        });
        stats.ejections += 1;
        if was_out {
            Change::None
        } else {
            Change::Ejected
        }
    }
}

fn hold_ms(ejections: u32) -> u64 {
    EJECTION_MS
        .saturating_mul(1 << ejections.min(16))
        .min(MAX_EJECTION_MS)
}
