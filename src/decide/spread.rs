//! Which upstream one request goes to, when the router that has it sends it there itself.
//!
//! Load pattern: prompts begin with parts that many others share, and a part is read once and then
//! served from an upstream's cache. Sent anywhere, each upstream reads every part anew; sent by the
//! part alone, a part that much of the traffic asks for overloads its one upstream while the others
//! idle, and all its callers wait.
//!
//! So a request goes to the first upstream of its part's own order (highest random weight, alike on
//! every router) that holds no more than [`BOUND_FACTOR`] times the pool's mean and
//! [`BOUND_SLACK`]: consistent hashing with bounded loads. A part so spreads to a second upstream
//! only while its first is near the bound, and always to the same second. Without shared parts it
//! goes to the upstream with the least running, to one of the same data centre if equal. A decision
//! costs one multiply-mix an upstream.
//!
//! Load pattern: many routers, and requests that are over sooner than the routers tell one another of them. All choose
//! the upstream that had the least, meet there, and one in ten is turned away while others idle. So counts that are
//! older than most requests last are left out: a router then goes by its own, and chance parts the rest evenly.

use rand::Rng;

use crate::util;

/// Times the pool's mean that an upstream may hold. Well below where callers notice the longer
/// pauses between tokens, as the loads that other routers told are a little old.
pub const BOUND_FACTOR: f64 = 1.4;
/// Times the mean of the pool with those that are spared that an upstream may hold: where a data centre is evacuated, the
/// others hold more than the mean of all as it is, and hot parts come on top.
pub const WHOLE_FACTOR: f64 = 1.7;
/// Requests beyond that: with few in flight a factor alone would move parts at every request.
pub const BOUND_SLACK: f64 = 2.0;

/// One upstream of the pool, as the router believes it now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Candidate {
    /// Hash of its id.
    pub id_hash: u64,
    /// Requests of all routers that run or wait there.
    pub running: u32,
    /// Those of this router.
    pub own: u32,
    /// What it runs at once; 0 if it doesn't say.
    pub slots: u32,
    /// It is in this router's data centre.
    pub is_local: bool,
    /// It fails or leaves, or this request was there.
    pub excluded: bool,
    /// It lives and gets no work by this router's choice, as it is evacuated or cold.
    pub withheld: bool,
    /// It has been there long enough to hold shared parts, and can be asked for them.
    pub has_parts: bool,
}

/// Draws what the other routers have running at each upstream, worked out from the `share` of them that was heard, towards
/// the pool's mean.
///
/// Failure guarded against: with half of the routers heard, an upstream that runs three requests looks like one that runs
/// six as often as not, its parts spread to others, and these read them anew. The best guess of one count would
/// draw by the share itself; a hot part's upstream could then stand at over twice the mean, so it is the root.
///
/// ```
/// use cassiagrade::decide::spread::shrink_to_mean;
/// let mut told = [9.0, 3.0, 0.0];
/// shrink_to_mean(&mut told, 0.25);
/// assert_eq!(told, [6.5, 3.5, 2.0]);
/// ```
pub fn shrink_to_mean(told: &mut [f64], share: f64) {
    let mean = told.iter().sum::<f64>() / told.len().max(1) as f64;
    let kept = share.clamp(0.0, 1.0).sqrt();
    for count in told {
        *count = mean + (*count - mean) * kept;
    }
}

/// Whether what the other routers told of their requests still says something.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Counts {
    /// Half of the requests that were told of still run, or more.
    Current,
    /// Most of them are over.
    Stale,
}

impl Counts {
    /// What counts of this age say where requests usually take `usual_ms`, or an unknown time if that is `None`.
    ///
    /// ```
    /// use cassiagrade::decide::spread::Counts;
    /// assert_eq!(Counts::of_age(200.0, Some(60.0)), Counts::Stale);
    /// assert_eq!(Counts::of_age(200.0, Some(800.0)), Counts::Current);
    /// assert_eq!(Counts::of_age(200.0, None), Counts::Current);
    /// ```
    pub fn of_age(age_ms: f64, usual_ms: Option<f64>) -> Self {
        // Requests that end at random: half are over after this part of their mean.
        let is_old = usual_ms.is_some_and(|usual_ms| age_ms > usual_ms * std::f64::consts::LN_2);
        if is_old { Self::Stale } else { Self::Current }
    }
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Selection {
    /// The seat.
    pub at: usize,
    /// The seat that likely holds the shared parts, if that is another.
    pub source: Option<usize>,
}

/// What keeps a part from its first upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Bound {
    /// It holds [`BOUND_FACTOR`] times the pool's mean and [`BOUND_SLACK`], or all its slots are taken.
    ByMean,
    /// All its slots are taken.
    BySlots,
}

impl Bound {
    fn limit(self, pool: &[Candidate]) -> f64 {
        match self {
            Self::ByMean => {
                let of_open = mean(pool, |s| !s.excluded) * BOUND_FACTOR;
                let of_whole = mean(pool, |s| !s.excluded || s.withheld) * WHOLE_FACTOR;
                of_open.min(of_whole) + BOUND_SLACK
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

/// The mean load of the seats that count.
fn mean(pool: &[Candidate], counts: impl Fn(&Candidate) -> bool) -> f64 {
    let counted = pool.iter().filter(|s| counts(s));
    let (count, sum) = counted.fold((0_u32, 0_u32), |(n, sum), s| (n + 1, sum + s.running));
    f64::from(sum) / f64::from(count.max(1))
}

/// The seat for a request whose last shared part is `part`, and where that part is likely cached if
/// not there: at the first of the part's order. Fetching a part from there takes a
/// fraction of the time that reading it anew takes, of the upstream's time too.
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
    let has_room = |s: &Candidate| !s.excluded && !s.is_full() && f64::from(s.running) < bound;
    let open = pool.iter().enumerate().filter(|(_, s)| has_room(s));
    let best = open.max_by_key(|(_, s)| util::mix(part, s.id_hash));
    let at = best.map(|(at, _)| at).or_else(|| least(pool))?;
    let holders = pool.iter().enumerate().filter(|(_, s)| s.has_parts);
    let holder = holders.max_by_key(|(_, s)| util::mix(part, s.id_hash));
    let source = holder.map(|(at, _)| at).filter(|source| *source != at);
    Some(Selection { at, source })
}

/// The seat with the least running; of equals a near one, of those any. Where the others' counts are old, the one where
/// this router runs the least; of those any, as one near to all of a data centre's routers would get their burst.
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
    let open = pool.iter().enumerate().filter(|(_, s)| !s.excluded);
    let key = |s: &Candidate, rng: &mut R| match counts {
        Counts::Current => (s.running, !s.is_local, rng.random::<u32>()),
        Counts::Stale => (s.own, false, rng.random()),
    };
    open.min_by_key(|(_, s)| key(s, rng)).map(|(at, _)| at)
}

fn least(pool: &[Candidate]) -> Option<usize> {
    let open = pool.iter().enumerate().filter(|(_, s)| !s.excluded);
    open.min_by_key(|(_, s)| s.running).map(|(at, _)| at)
}
