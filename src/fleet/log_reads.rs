//! Who reads the platform's log, and how old what the others were told may grow.
//!
//! Load pattern: every router needs to know what the log says within a second or two, and the log
//! is read by hundreds. If each reads for itself, its calls grow with the fleet and cost more than
//! anything else that the fleet does; if one reads for all, its death leaves all blind.
//!
//! A few routers read, the same by every router's view, and the others hear from them what they
//! know and how old that is. Whoever has heard nothing fresh for a while reads for itself, at a
//! time of its own, so that the first few of these spare the rest. How soon that must be follows from
//! how soon a change must be in force.
//!
//! A log that is away is asked by all who grow stale, as often as a single router would, and the calls grow with the
//! fleet. So the routers that can reach one another share
//! a rate of tries, and whoever succeeds tells the rest; one that hears nobody counts as a
//! fleet of one, and keeps its bound by itself.

use std::time::Duration;

use rand::Rng;

use crate::fleet::member::View;
use crate::util;

/// Routers that read. With three, the loss of two at once leaves one.
pub const READERS: usize = 3;
/// Part of a bound that a read of the log waits for a change. A connection that went silent shows after this and
/// the time for an answer; longer waits are fewer calls.
const WAIT_SHARE: f64 = 0.45;
/// News of this part of a bound make a router read for itself, at the earliest: a reader's wait, and two or three
/// rounds of 200 ms in which news travel through a fleet of a hundred and more.
const STALE_SHARE: f64 = 0.65;
/// The wait beyond that is drawn from up to this part: each router keeps the bound by itself, whoever else reads.
///
/// Failure guarded against: drawn from a time that grows with the fleet, the last ones rely on those before them, and a
/// request reaches an upstream longer after it said that it leaves than is allowed.
const SPREAD_SHARE: f64 = 0.25;
/// Longer bounds are taken for this: the shortest that deployments have, and what held on all of them.
const MAX_BOUND_MS: f64 = 2_000.0;
/// Between two tries by routers of one fleet that grow stale together: so many calls a second to each stream, whatever
/// the fleet's size.
const TRY_SPACING_MS: f64 = 50.0;
/// The first pause after a failed read; it doubles with each further failure.
const RETRY_MS: u64 = 300;
/// A reader's longest pause while no news come from others: the log's return is known to all within this and some
/// rounds of news.
const MAX_READER_RETRY_MS: u64 = 600;
/// The longest pause of others, if sharing the tries doesn't ask for more. Well below the time after a disturbance in
/// which hosts count as in touch again, which is seconds.
const MAX_RETRY_MS: u64 = 2_400;

/// Whether `host` is one of the readers. Costs one hash a router.
pub fn is_reader(view: &View, host: &str) -> bool {
    let weight = |name: &str| util::hash_parts(&["news", name]);
    let own = weight(host);
    let others = view
        .members
        .iter()
        .filter(|m| m.takes_work() && *m.host != *host);
    others.filter(|m| weight(&m.host) > own).count() < READERS
}

/// When to read, from how soon a change of the log must be in force everywhere.
#[derive(Clone, Copy, Debug)]
pub struct ReadSchedule {
    bound_ms: f64,
}

impl ReadSchedule {
    /// A change must be in force within `bound_ms`.
    ///
    /// ```
    /// use cassiagrade::fleet::log_reads::ReadSchedule;
    /// assert_eq!(ReadSchedule::within(2_000.0).wait().as_millis(), 900);
    /// ```
    pub fn within(bound_ms: f64) -> Self {
        Self {
            bound_ms: bound_ms.min(MAX_BOUND_MS),
        }
    }

    /// How long a read waits for a change.
    pub fn wait(self) -> Duration {
        Duration::from_millis((self.bound_ms * WAIT_SHARE) as u64)
    }

    /// Up to how much later than the first the last of those that grow stale together reads.
    fn spread_ms(self) -> f64 {
        self.bound_ms * SPREAD_SHARE
    }
}

/// When what is known was last all there was.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    confirmed_ms: u64,
    /// Where in the spread this router reads for itself, from 0 to 1; drawn anew each time.
    lot: f64,
    is_invalidated: bool,
}

impl Freshness {
    /// Known to be all there was at `at_ms`.
    pub fn confirm<R: Rng>(&mut self, at_ms: u64, rng: &mut R) {
        if at_ms > self.confirmed_ms {
            self.confirmed_ms = at_ms;
            self.lot = rng.random();
            self.is_invalidated = false;
        }
    }

    /// The same, but old at once: this router must look for itself.
    pub fn invalidated(self) -> Self {
        Self {
            is_invalidated: true,
            ..self
        }
    }

    /// Whether this router must look for itself, however fresh the news are.
    pub fn is_invalidated(&self) -> bool {
        self.is_invalidated
    }

    /// When what is known was last all there was.
    pub fn confirmed_ms(&self) -> u64 {
        self.confirmed_ms
    }

    /// How old what is known is.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.confirmed_ms)
    }

    /// Whether it is so old that this router must look for itself.
    ///
    /// ```
    /// use cassiagrade::fleet::log_reads::{Freshness, ReadSchedule};
    /// use rand::{SeedableRng, rngs::SmallRng};
    /// let mut rng = SmallRng::seed_from_u64(1);
    /// let mut freshness = Freshness::default();
    /// freshness.confirm(10_000, &mut rng);
    /// let schedule = ReadSchedule::within(2_000.0);
    /// assert!(!freshness.is_stale(11_200, schedule));
    /// assert!(freshness.is_stale(11_900, schedule));
    /// ```
    pub fn is_stale(&self, now_ms: u64, schedule: ReadSchedule) -> bool {
        if self.is_invalidated || self.confirmed_ms == 0 {
            return true;
        }
        let stale_ms = schedule.bound_ms * STALE_SHARE + self.lot * schedule.spread_ms();
        self.age_ms(now_ms) as f64 > stale_ms
    }
}

/// When a router whose read of the log failed tries again.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failed_ms: Option<u64>,
    failures: u32,
    lot: f64,
}

impl Backoff {
    /// A read failed.
    pub fn failed<R: Rng>(&mut self, now_ms: u64, rng: &mut R) {
        self.failed_ms = Some(now_ms);
        self.failures = self.failures.saturating_add(1);
        self.lot = rng.random_range(0.5..1.5);
    }

    /// A read was answered.
    pub fn answered(&mut self) {
        *self = Self::default();
    }

    /// Whether it is time to try again for one of `routers` that can reach one another; `is_needed` is a reader without
    /// news from others.
    ///
    /// ```
    /// use cassiagrade::fleet::log_reads::Backoff;
    /// use rand::{SeedableRng, rngs::SmallRng};
    /// let mut backoff = Backoff::default();
    /// backoff.failed(1_000, &mut SmallRng::seed_from_u64(1));
    /// // A reader, or a router by itself, soon; one of many leaves it to the others.
    /// assert!(backoff.is_due(1_500, true, 195) && backoff.is_due(1_500, false, 1));
    /// assert!(!backoff.is_due(4_000, false, 195));
    /// ```
    pub fn is_due(&self, now_ms: u64, is_needed: bool, routers: usize) -> bool {
        let Some(failed_ms) = self.failed_ms else {
            return true;
        };
        let doubled_ms = RETRY_MS << self.failures.saturating_sub(1).min(8);
        let shared_ms = (self.lot * routers as f64 * TRY_SPACING_MS) as u64;
        let pause_ms = if is_needed {
            doubled_ms.min(MAX_READER_RETRY_MS)
        } else {
            doubled_ms.min(MAX_RETRY_MS).max(shared_ms)
        };
        now_ms >= failed_ms + pause_ms
    }
}

/// One router's role in reading the log.
#[derive(Clone, Copy, Debug)]
pub struct Role {
    /// It reads for the others.
    pub is_reader: bool,
    /// Routers that can reach one another here, this one among them.
    pub routers: usize,
}

/// How long the read that a router must begin now waits for a change; `None` if it must read nothing now.
///
/// Readers always read, and wait. The rest read when their news are stale, in turns; they only make up for the readers,
/// want to know at once, and tell the others. A reader that is turned away while its news are fresh leaves it to the
/// readers that they come from.
///
/// ```
/// use cassiagrade::fleet::log_reads::{Backoff, Freshness, ReadSchedule, Role, read_due};
/// let (fresh, backoff, schedule) = (Freshness::default(), Backoff::default(), ReadSchedule::within(2_000.0));
/// let due = |is_reader| read_due(Role { is_reader, routers: 9 }, fresh, backoff, schedule, 1);
/// assert_eq!(due(true).unwrap().as_millis(), 900);
/// assert_eq!(due(false).unwrap().as_millis(), 0, "nothing is known yet");
/// ```
pub fn read_due(
    role: Role,
    fresh: Freshness,
    backoff: Backoff,
    schedule: ReadSchedule,
    now_ms: u64,
) -> Option<Duration> {
    let sharing = if role.is_reader { 1 } else { role.routers };
    let is_stale = fresh.is_stale(now_ms, schedule);
    let is_needed = role.is_reader && is_stale;
    if !(role.is_reader || is_stale) || !backoff.is_due(now_ms, is_needed, sharing) {
        return None;
    }
    Some(if role.is_reader {
        schedule.wait()
    } else {
        Duration::ZERO
    })
}
