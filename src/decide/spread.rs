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

use rand::Rng;

use crate::util;

/// Times the pool's mean that an upstream may hold. Below the 2 at which callers notice the longer
/// pauses between tokens, as loads of other routers are a fifth of a second old.
pub const BOUND_FACTOR: f64 = 1.4;
/// Requests beyond that: with few in flight a factor alone would move parts at every request.
pub const BOUND_SLACK: f64 = 2.0;

/// One upstream of the pool, as the router believes it now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seat {
    /// Hash of its id.
    pub id_hash: u64,
    /// Requests of all routers that run or wait there.
    pub running: u32,
    /// What it runs at once; 0 if it doesn't say.
    pub slots: u32,
    /// It is in this router's data centre.
    pub near: bool,
    /// It fails or leaves, or this request was there.
    pub barred: bool,
    /// It has been there long enough to hold shared parts, and can be asked for them.
    pub has_parts: bool,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Placed {
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
    fn limit(self, pool: &[Seat]) -> f64 {
        match self {
            Self::ByMean => mean(pool) * BOUND_FACTOR + BOUND_SLACK,
            Self::BySlots => f64::INFINITY,
        }
    }
}

impl Seat {
    fn is_full(&self) -> bool {
        self.slots > 0 && self.running >= self.slots
    }
}

/// The mean load of the seats that take work.
fn mean(pool: &[Seat]) -> f64 {
    let open = pool.iter().filter(|s| !s.barred);
    let (count, sum) = open.fold((0_u32, 0_u32), |(n, sum), s| (n + 1, sum + s.running));
    f64::from(sum) / f64::from(count.max(1))
}

/// The seat for a request whose last shared part is `part`, and where that part is likely cached if
/// not there: at the first of the part's order. Fetching a part of 10,000 tokens from there takes some
/// 20 ms where reading it anew takes 150 ms, of the upstream's time too.
///
/// ```
/// use cassiagrade::decide::spread::{Bound, Seat, by_part};
/// let mut pool = [1, 2, 3].map(|id_hash| Seat { id_hash, slots: 8, has_parts: true, ..Seat::default() });
/// let first = by_part(7, &pool, Bound::ByMean).unwrap();
/// assert_eq!(first.source, None);
/// pool[first.at].running = 8;
/// let second = by_part(7, &pool, Bound::ByMean).unwrap();
/// assert_eq!(second.source, Some(first.at));
/// ```
pub fn by_part(part: u64, pool: &[Seat], bound: Bound) -> Option<Placed> {
    let bound = bound.limit(pool);
    let has_room = |s: &Seat| !s.barred && !s.is_full() && f64::from(s.running) < bound;
    let open = pool.iter().enumerate().filter(|(_, s)| has_room(s));
    let best = open.max_by_key(|(_, s)| util::mix(part, s.id_hash));
    let at = best.map(|(at, _)| at).or_else(|| least(pool))?;
    let holders = pool.iter().enumerate().filter(|(_, s)| s.has_parts);
    let holder = holders.max_by_key(|(_, s)| util::mix(part, s.id_hash));
    let source = holder.map(|(at, _)| at).filter(|source| *source != at);
    Some(Placed { at, source })
}

/// The seat with the least running; of equals a near one, of those any.
///
/// ```
/// use cassiagrade::decide::spread::{Seat, by_load};
/// use rand::{SeedableRng, rngs::SmallRng};
/// let seat = |running| Seat { running, ..Seat::default() };
/// let mut rng = SmallRng::seed_from_u64(1);
/// assert_eq!(by_load(&[seat(3), seat(1), seat(2)], &mut rng), Some(1));
/// ```
pub fn by_load<R: Rng>(pool: &[Seat], rng: &mut R) -> Option<usize> {
    let open = pool.iter().enumerate().filter(|(_, s)| !s.barred);
    let key = |s: &Seat, rng: &mut R| (s.running, !s.near, rng.random::<u32>());
    open.min_by_key(|(_, s)| key(s, rng)).map(|(at, _)| at)
}

fn least(pool: &[Seat]) -> Option<usize> {
    let open = pool.iter().enumerate().filter(|(_, s)| !s.barred);
    open.min_by_key(|(_, s)| s.running).map(|(at, _)| at)
}
