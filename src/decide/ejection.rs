//! Ejection of upstreams that fail or are slow compared with their pool.
//!
//! Load pattern: one upstream of a pool answers with errors or takes many times as long. Because it
//! fails fast, it looks idle by load and attracts the pool's work. An absolute threshold would
//! instead eject a whole pool that is slow for a common reason, and leave nothing to take its load.
//!
//! So an upstream is compared with its pool: it must fail several times in a row, or be slower than
//! [`SLOW_FACTOR`] times the pool's median, and at most a share of the pool is ejected at once. One
//! request probes it after an ejection time that doubles with each consecutive ejection, so that a
//! flapping engine stays ejected for longer each time. Recording costs one table access, and an
//! ejection a sort of the times of the upstreams that this router called, however large the pool.

use std::collections::HashMap;

use crate::decide::Name;

/// Consecutive failures that eject: one may be chance, two a restart.
pub const FAILURES: u32 = 3;
/// Multiple of the pool's median time to a first frame that counts as slow. Queueing alone stays
/// below two at the bound on work.
pub const SLOW_FACTOR: f64 = 4.0;
/// A mean below this is never slow: no caller notices. In a healthy pool first frames take a
/// millisecond, and moving a few KV caches to an engine takes many times that.
pub const SLOW_FLOOR_MS: f64 = 200.0;
/// Answers needed from an upstream before it can count as slow.
const SLOW_SAMPLES: u32 = 8;
/// Upstreams with enough samples that a comparison needs.
const MIN_COMPARED: usize = 3;
/// Weight of the newest time in an upstream's moving average.
const GAIN: f64 = 0.2;
/// First ejection time. Longer than a process restart, shorter than the lag of the platform's list.
pub const EJECTION_MS: u64 = 3_000;
/// Longest ejection time.
pub const MAX_EJECTION_MS: u64 = 60_000;
/// A probe that isn't answered within this time is replaced by another.
const PROBE_MS: u64 = 5_000;
/// Share of a pool that may be ejected at once by default; one upstream always may.
pub const DEFAULT_SHARE: f64 = 0.34;

#[derive(Clone, Debug, Default)]
struct Stats {
    failures: u32,
    mean_ms: f64,
    samples: u32,
    ejection: Option<Ejection>,
    /// Ejections since it last stayed in the pool for a whole ejection time.
    ejections: u32,
    restored_ms: u64,
}

impl Stats {
    fn is_ejected(&self, now_ms: u64) -> bool {
        self.ejection.is_some_and(|e| {
            now_ms < e.until_ms || e.probed_ms.is_some_and(|at| now_ms < at + PROBE_MS)
        })
    }
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    until_ms: u64,
    probed_ms: Option<u64>,
}

/// Pool that an upstream is compared with.
pub trait Pool {
    /// Number of upstreams in the pool.
    fn size(&self) -> usize;
    /// Whether `upstream` is in the pool.
    fn contains(&self, upstream: &str) -> bool;
}

impl Pool for Vec<Name> {
    fn size(&self) -> usize {
        self.len()
    }

    fn contains(&self, upstream: &str) -> bool {
        self.iter().any(|name| **name == *upstream)
    }
}

/// Health of a pool's upstreams as observed by one router.
#[derive(Clone, Debug, Default)]
pub struct Ejector {
    stats: HashMap<Name, Stats>,
}

/// Effect of an observation on an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// No change.
    None,
    /// The upstream was ejected.
    Ejected,
    /// The upstream was restored.
    Restored,
}

impl Ejector {
    /// Whether `upstream` takes work now. After its ejection time, one request per probe interval
    /// is admitted as a probe: calling this claims it.
    pub fn admits(&mut self, upstream: &str, now_ms: u64) -> bool {
        let Some(stats) = self.stats.get_mut(upstream) else {
            return true;
        };
        let Some(ejection) = &mut stats.ejection else {
            return true;
        };
        if now_ms < ejection.until_ms {
            return false;
        }
        if ejection.probed_ms.is_some_and(|at| now_ms < at + PROBE_MS) {
            return false;
        }
        ejection.probed_ms = Some(now_ms);
        true
    }

    /// Whether `upstream` is ejected, without claiming a probe.
    pub fn is_ejected(&self, upstream: &str, now_ms: u64) -> bool {
        let stats = self.stats.get(upstream);
        stats.is_some_and(|s| s.is_ejected(now_ms))
    }

    /// Whether a probe of `upstream` is in flight.
    pub fn is_probed(&self, upstream: &str) -> bool {
        let ejection = self.stats.get(upstream).and_then(|s| s.ejection);
        ejection.is_some_and(|e| e.probed_ms.is_some())
    }

    /// Records that `upstream` answered with its first frame after `took_ms`.
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
        pool: &impl Pool,
        share: f64,
        now_ms: u64,
    ) -> Change {
        let stats = self.stats.entry(upstream.clone()).or_default();
        if stats
            .ejection
            .is_some_and(|ejection| ejection.probed_ms.is_none())
        {
            // Sent before the ejection, so it doesn't show that new requests would succeed.
            return Change::None;
        }
        stats.failures = 0;
        stats.samples = stats.samples.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(stats.samples));
        stats.mean_ms += gain * (took_ms as f64 - stats.mean_ms);
        if stats.ejection.take().is_some() {
            stats.restored_ms = now_ms;
            stats.samples = 0;
            stats.mean_ms = 0.0;
            return Change::Restored;
        }
        if now_ms > stats.restored_ms + ejection_ms(stats.ejections) {
            stats.ejections = 0;
        }
        if self.is_slow(upstream, pool) {
            return self.eject(upstream, pool, share, now_ms);
        }
        Change::None
    }

    /// Records that `upstream` failed before its first frame.
    pub fn failed(&mut self, upstream: &Name, pool: &impl Pool, share: f64, now_ms: u64) -> Change {
        let stats = self.stats.entry(upstream.clone()).or_default();
        stats.failures += 1;
        if stats.ejection.is_some() || stats.failures >= FAILURES {
            return self.eject(upstream, pool, share, now_ms);
        }
        Change::None
    }

    /// Ejects `upstream`, which fails a larger share of its requests than its pool.
    pub fn eject_grey(
        &mut self,
        upstream: &Name,
        pool: &impl Pool,
        share: f64,
        now_ms: u64,
    ) -> Change {
        let stats = self.stats.entry(upstream.clone()).or_default();
        if stats.ejection.is_some() {
            return Change::None;
        }
        self.eject(upstream, pool, share, now_ms)
    }

    /// Returns the consecutive failures of `upstream` and its mean time to a first frame, in
    /// milliseconds.
    pub fn evidence(&self, upstream: &str) -> (u32, f64) {
        let stats = self.stats.get(upstream);
        stats.map_or((0, 0.0), |s| (s.failures, s.mean_ms))
    }

    /// Keeps only the upstreams for which `keep` is true.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.stats.retain(|name, _| keep(name));
    }

    /// Ids of the ejected upstreams, without claiming a probe.
    pub fn ejected(&self, now_ms: u64) -> impl Iterator<Item = &Name> {
        let ejected = self.stats.iter().filter(move |(_, s)| s.is_ejected(now_ms));
        ejected.map(|(name, _)| name)
    }

    fn is_slow(&self, upstream: &Name, pool: &impl Pool) -> bool {
        let is_sampled = |stats: &Stats| stats.samples >= SLOW_SAMPLES;
        let own = self.stats.get(upstream).filter(|s| is_sampled(s));
        let Some(own_ms) = own.map(|s| s.mean_ms) else {
            return false;
        };
        let sampled = self.stats.iter().filter(|(_, s)| is_sampled(s));
        let in_pool = sampled.filter(|(name, _)| pool.contains(name));
        let mut means: Vec<f64> = in_pool.map(|(_, s)| s.mean_ms).collect();
        if means.len() < MIN_COMPARED {
            return false;
        }
        means.sort_by(f64::total_cmp);
        let typical_ms = means[means.len() / 2];
        own_ms > (SLOW_FACTOR * typical_ms).max(SLOW_FLOOR_MS)
    }

    fn eject(&mut self, upstream: &Name, pool: &impl Pool, share: f64, now_ms: u64) -> Change {
        let others = self.stats.iter().filter(|(name, _)| *name != upstream);
        let ejected = others.filter(|(name, s)| s.ejection.is_some() && pool.contains(name));
        let ejected = ejected.count();
        let most = ((pool.size() as f64 * share) as usize).max(1);
        // The last upstream that takes work always stays.
        if ejected >= most || ejected + 1 >= pool.size().max(1) {
            return Change::None;
        }
        let Some(stats) = self.stats.get_mut(upstream) else {
            return Change::None;
        };
        let was_ejected = stats.ejection.is_some();
        stats.ejection = Some(Ejection {
            until_ms: now_ms + ejection_ms(stats.ejections),
            probed_ms: None,
        });
        stats.ejections += 1;
        if was_ejected {
            Change::None
        } else {
            Change::Ejected
        }
    }
}

fn ejection_ms(ejections: u32) -> u64 {
    EJECTION_MS
        .saturating_mul(1 << ejections.min(16))
        .min(MAX_EJECTION_MS)
}
