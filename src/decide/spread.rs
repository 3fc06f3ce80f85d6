//! Selection of an upstream for one request by the router that received it.
//!
//! Load pattern: prompts begin with parts that many others share, and a part is prefilled once and
//! then served from an upstream's cache. With requests sent to any upstream, each upstream prefills
//! every part; with requests sent by part alone, a part common in the traffic overloads its one
//! upstream while the others idle, and all its callers wait.
//!
//! So a request goes to the first upstream of its part's own order (highest random weight, the same
//! on every router) that has no more than [`BOUND_FACTOR`] times the pool's mean and
//! [`BOUND_SLACK`]: consistent hashing with bounded loads. A part thus spreads to a second upstream
//! only while its first is near the bound, and always to the same second. Without shared parts a
//! request goes to the least loaded upstream, of equals to one in the same data centre. A decision
//! costs one multiply-mix per upstream.
//!
//! Load pattern: many routers, and requests that end sooner than the routers exchange their counts.
//! All choose the upstream that had the fewest, and one in ten requests is refused there while
//! other upstreams idle. So counts older than the duration of most requests are ignored: a router
//! then uses its own counts, and random choice spreads the rest evenly.

use rand::Rng;

use crate::util;

/// Multiple of the pool's mean that an upstream may have. Well below where callers notice longer
/// pauses between tokens, because the counts of other routers are slightly stale.
pub const BOUND_FACTOR: f64 = 1.4;
/// Multiple of the mean over the pool with its withheld upstreams: if a data centre is evacuated,
/// the other upstreams exceed that mean anyway, and frequent parts add to it.
pub const WITHHELD_FACTOR: f64 = 1.7;
/// Requests beyond the mean: with few in flight, a factor alone would move parts at each request.
pub const BOUND_SLACK: f64 = 2.0;

/// An upstream of the pool with its current state.
#[derive(Clone, Copy, Debug, Default)]
pub struct Candidate {
    /// Hash of its id.
    pub id_hash: u64,
    /// Requests of all routers that run or wait there.
    pub running: u32,
    /// Requests of this router that run or wait there.
    pub own: u32,
    /// Requests that it runs at once; 0 if unknown.
    pub slots: u32,
    /// It is in this router's data centre.
    pub is_local: bool,
    /// It fails or drains, or this request was already tried there.
    pub excluded: bool,
    /// It is alive but gets no work from this router, because it is evacuated or cold.
    pub withheld: bool,
    /// It has run long enough to have shared parts cached, and other upstreams can fetch them.
    pub has_parts: bool,
}

/// Estimates the request counts of the other routers at each upstream of a pool from reports of a
/// share of these routers, shrunk towards the pool's mean.
///
/// Failure guarded against: with reports of half of the routers, an upstream with three requests
/// often looks like one with six. Its parts then spread to other upstreams, which prefill them
/// again. The best estimate of a single count would shrink by the share itself, but then a frequent
/// part's upstream could have more than twice the mean, so the factor is the square root.
///
/// ```
/// use cassiagrade::decide::spread::CountEstimate;
/// let reported = [9.0, 3.0, 0.0];
/// let estimate = CountEstimate::new(reported.iter().sum(), reported.len(), 0.25);
/// assert_eq!(reported.map(|count| estimate.of(count)), [6.5, 3.5, 2.0]);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct CountEstimate {
    mean: f64,
    weight: f64,
}

impl CountEstimate {
    /// Creates the estimate for a pool of `upstreams` with `total` reported requests, scaled up from
    /// the `share` of the routers whose reports arrived.
    pub fn new(total: f64, upstreams: usize, share: f64) -> Self {
        Self {
            mean: total / upstreams.max(1) as f64,
            weight: share.clamp(0.0, 1.0).sqrt(),
        }
    }

    /// Estimates the count of an upstream with this `reported` count.
    pub fn of(self, reported: f64) -> f64 {
        self.mean + (reported - self.mean) * self.weight
    }
}

/// Whether the request counts of other routers are still useful.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Counts {
    /// At least half of the counted requests still run.
    Current,
    /// Most of the counted requests have ended.
    Stale,
}

impl Counts {
    /// Classifies counts of this age where requests typically take `typical_ms`, if that is known.
    ///
    /// ```
    /// use cassiagrade::decide::spread::Counts;
    /// assert_eq!(Counts::of_age(200.0, Some(60.0)), Counts::Stale);
    /// assert_eq!(Counts::of_age(200.0, Some(800.0)), Counts::Current);
    /// assert_eq!(Counts::of_age(200.0, None), Counts::Current);
    /// ```
    pub fn of_age(age_ms: f64, typical_ms: Option<f64>) -> Self {
        // With exponentially distributed durations, half have ended after this part of the mean.
        let is_stale =
            typical_ms.is_some_and(|typical_ms| age_ms > typical_ms * std::f64::consts::LN_2);
        if is_stale { Self::Stale } else { Self::Current }
    }
}

/// Selected upstream of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Selection {
    /// Index of the candidate.
    pub at: usize,
    /// Index of the candidate that likely has the shared parts cached, if that is another one.
    pub source: Option<usize>,
}

/// When a request can't go to the first upstream of its part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Bound {
    /// It has [`BOUND_FACTOR`] times the pool's mean and [`BOUND_SLACK`], or no free slot.
    ByMean,
    /// It has no free slot.
    BySlots,
}

impl Bound {
    fn limit(self, pool: &[Candidate]) -> f64 {
        match self {
            Self::ByMean => {
                let of_available = mean(pool, |c| !c.excluded) * BOUND_FACTOR;
                let of_all = mean(pool, |c| !c.excluded || c.withheld) * WITHHELD_FACTOR;
                of_available.min(of_all) + BOUND_SLACK
            }
            Self::BySlots => f64::INFINITY,
        }
    }
}

impl Candidate {
    fn is_full(&self) -> bool {
        self.slots > 0 && self.running >= self.slots
    }
}

/// Returns the mean load of the candidates for which `is_counted` is true.
fn mean(pool: &[Candidate], is_counted: impl Fn(&Candidate) -> bool) -> f64 {
    let counted = pool.iter().filter(|c| is_counted(c));
    let (count, sum) = counted.fold((0_u32, 0_u32), |(n, sum), c| (n + 1, sum + c.running));
    f64::from(sum) / f64::from(count.max(1))
}

/// Selects a candidate for a request whose last shared part is `part`, and as the source of that
/// part the first candidate of its order. Fetching a part takes a fraction of the time of
/// prefilling it, also of the upstream's time.
///
/// ```
/// use cassiagrade::decide::spread::{Bound, Candidate, by_part};
/// let mut pool = [1, 2, 3].map(|id_hash| Candidate { id_hash, slots: 8, has_parts: true, ..Candidate::default() });
/// let first = by_part(7, &pool, Bound::ByMean).unwrap();
/// assert_eq!(first.source, None);
/// pool[first.at].running = 8;
/// let second = by_part(7, &pool, Bound::ByMean).unwrap();
/// assert_eq!(second.source, Some(first.at));
/// ```
pub fn by_part(part: u64, pool: &[Candidate], bound: Bound) -> Option<Selection> {
    let bound = bound.limit(pool);
    let is_available = |c: &Candidate| !c.excluded && !c.is_full() && f64::from(c.running) < bound;
    let available = pool.iter().enumerate().filter(|(_, c)| is_available(c));
    let best = available.max_by_key(|(_, c)| util::mix(part, c.id_hash));
    let at = best.map(|(at, _)| at).or_else(|| least_loaded(pool))?;
    let sources = pool.iter().enumerate().filter(|(_, c)| c.has_parts);
    let first_source = sources.max_by_key(|(_, c)| util::mix(part, c.id_hash));
    let source = first_source
        .map(|(at, _)| at)
        .filter(|source| *source != at);
    Some(Selection { at, source })
}

/// Selects the candidate with the fewest requests, of equals one in the same data centre, of those
/// a random one. With stale counts, selects a random one of those with the fewest requests of this
/// router; all routers of a data centre would send their burst to the same near one.
///
/// ```
/// use cassiagrade::decide::spread::{Counts, Candidate, by_load};
/// use rand::{SeedableRng, rngs::SmallRng};
/// let candidate = |running, own| Candidate { running, own, ..Candidate::default() };
/// let mut rng = SmallRng::seed_from_u64(1);
/// let pool = [candidate(3, 0), candidate(1, 1), candidate(2, 1)];
/// assert_eq!(by_load(&pool, Counts::Current, &mut rng), Some(1));
/// assert_eq!(by_load(&pool, Counts::Stale, &mut rng), Some(0));
/// ```
pub fn by_load<R: Rng>(pool: &[Candidate], counts: Counts, rng: &mut R) -> Option<usize> {
    let available = pool.iter().enumerate().filter(|(_, c)| !c.excluded);
    let key = |c: &Candidate, rng: &mut R| match counts {
        Counts::Current => (c.running, !c.is_local, rng.random::<u32>()),
        Counts::Stale => (c.own, false, rng.random()),
    };
    available.min_by_key(|(_, c)| key(c, rng)).map(|(at, _)| at)
}

fn least_loaded(pool: &[Candidate]) -> Option<usize> {
    let available = pool.iter().enumerate().filter(|(_, c)| !c.excluded);
    available.min_by_key(|(_, c)| c.running).map(|(at, _)| at)
}
