//! Which routers read the platform's log, and how old the state that they pass on may become.
//!
//! Load pattern: every router needs the state of the log within a second or two, and there are
//! hundreds of routers. If each reads for itself, the calls grow with the fleet and cost more than
//! everything else that the fleet does; if one reads for all, its failure leaves all without
//! updates.
//!
//! A few routers read, chosen alike from every router's view, and publish the version and age of
//! their state to the others. A router whose state has become stale reads for itself, at a
//! randomised time, so that the first few such reads make the rest unnecessary. The staleness limit
//! follows from how soon a change must be in force.
//!
//! While the log is unavailable, all routers become stale; if each retried at the rate of a single
//! router, the calls would grow with the fleet. So the routers that can reach one another share a
//! rate of retries, and the first that succeeds publishes to the rest. A router that receives
//! nothing from others counts as a fleet of one and keeps the bound by itself.

use std::cmp::Reverse;
use std::time::Duration;

use rand::Rng;

use crate::fleet::first_load::delay_share;
use crate::fleet::member::{Member, View};
use crate::util;

/// Number of routers that read the log. With three, one is left after the loss of two at once.
pub const READERS: usize = 3;
/// Share of the bound that a read of the log waits for a change. A stalled connection is detected
/// after this wait and the time for an answer; longer waits mean fewer calls.
const WAIT_SHARE: f64 = 0.45;
/// Share of the bound between the starts of two reads of a reader.
///
/// Failure guarded against: each upstream writes its record every second or two, so a stream with
/// hundreds of them always has new records, each read is answered at once, and the readers call the
/// log as often as its latency allows.
const PACE_SHARE: f64 = 0.15;
/// A router reads for itself once its state is older than this share of the bound, at the earliest:
/// a reader's wait, and two or three publishing rounds of 200 ms, in which updates spread through a
/// fleet of more than a hundred.
const STALE_SHARE: f64 = 0.65;
/// The additional delay is drawn from up to this share of the bound, so that each router keeps the
/// bound by itself, whichever others read.
///
/// Failure guarded against: with a delay that grows with the fleet, the last routers depend on the
/// earlier ones, and a request reaches an upstream later than allowed after it began to leave.
const SPREAD_SHARE: f64 = 0.25;
/// Longer bounds are reduced to this: the shortest that deployments have, which is feasible on all
/// of them.
const MAX_BOUND_MS: f64 = 2_000.0;
/// Mean interval between two retries of all stale routers of a fleet together: it limits the rate
/// of calls to each stream, whatever the fleet's size.
const RETRY_SPACING_MS: f64 = 50.0;
/// First backoff after a failed read; it doubles with each further failure.
const FIRST_RETRY_MS: u64 = 300;
/// Longest backoff of a reader that receives no updates from others. Once the log is back, all
/// routers know within this time and a few publishing rounds.
const MAX_READER_RETRY_MS: u64 = 600;
/// Longest backoff of other routers, unless sharing the retries requires more. Well below the
/// seconds after a disturbance within which hosts must have recovered.
const MAX_RETRY_MS: u64 = 2_400;

/// Whether `host` is one of the readers. Costs one hash per router.
pub fn is_reader(view: &View, host: &str) -> bool {
    let own = weight(host);
    let others = view
        .members
        .iter()
        .filter(|m| m.takes_work() && *m.host != *host);
    others.filter(|m| weight(&m.host) > own).count() < READERS
}

/// The readers among the members that take work. Costs one hash per router, and sorting them.
pub fn readers(view: &View) -> Vec<&Member> {
    let members = view.members.iter().filter(|m| m.takes_work());
    let mut readers: Vec<&Member> = members.collect();
    readers.sort_by_cached_key(|m| Reverse(weight(&m.host)));
    readers.truncate(READERS);
    readers
}

fn weight(host: &str) -> u64 {
    util::hash_parts(&["news", host])
}

/// Read intervals, derived from how soon a change of the log must be in force everywhere.
#[derive(Clone, Copy, Debug)]
pub struct ReadSchedule {
    bound_ms: f64,
}

impl ReadSchedule {
    /// Returns the intervals for changes that must be in force within `bound_ms`.
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

    /// Returns how long a read waits for a change.
    pub fn wait(self) -> Duration {
        Duration::from_millis((self.bound_ms * WAIT_SHARE) as u64)
    }

    /// Returns the time within which a change must be in force.
    pub fn bound_ms(self) -> u64 {
        self.bound_ms as u64
    }

    /// Returns the time between the starts of two reads of a reader.
    fn pace_ms(self) -> u64 {
        (self.bound_ms * PACE_SHARE) as u64
    }

    /// Age from which state is stale, without the random delay.
    fn stale_ms(self) -> u64 {
        (self.bound_ms * STALE_SHARE) as u64
    }

    /// Returns the age from which each router reads for itself, and above which state decides no
    /// request.
    pub fn usable_ms(self) -> u64 {
        self.stale_ms() + self.spread_ms() as u64
    }

    /// Range of the random delay with which stale routers read.
    fn spread_ms(self) -> f64 {
        self.bound_ms * SPREAD_SHARE
    }
}

/// Times other than its age that decide whether state may be used.
#[derive(Clone, Copy, Debug, Default)]
pub struct UseLimits {
    /// Time of the request of the last failed read of the log; 0 if none failed.
    pub failed_ms: u64,
    /// Time at which peers were last asked for newer state; 0 if they never were.
    pub peers_asked_ms: u64,
    /// Time at which the router was last resumed from a suspension; 0 if it never was suspended.
    pub resumed_ms: u64,
}

/// When this router's state was last confirmed to be current.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    confirmed_ms: u64,
    /// Uniform random number that determines the delay; drawn anew at each confirmation.
    jitter: f64,
    is_invalidated: bool,
}

impl Freshness {
    /// Records that the state was current at `at_ms`.
    pub fn confirm<R: Rng>(&mut self, at_ms: u64, rng: &mut R) {
        if at_ms > self.confirmed_ms {
            self.confirmed_ms = at_ms;
            self.jitter = rng.random();
            self.is_invalidated = false;
        }
    }

    /// Returns the same times, but marked stale, so that this router reads for itself.
    pub fn invalidated(self) -> Self {
        Self {
            is_invalidated: true,
            ..self
        }
    }

    /// Whether this router must read for itself, however fresh its state is.
    pub fn is_invalidated(&self) -> bool {
        self.is_invalidated
    }

    /// Returns when the state was last confirmed to be current.
    pub fn confirmed_ms(&self) -> u64 {
        self.confirmed_ms
    }

    /// Returns the time since the state was last confirmed.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.confirmed_ms)
    }

    /// Whether requests may be decided by this state. It may not be older than the age at which the
    /// last router reads for itself, unless a read that was due since then, and since the router was
    /// last resumed, has failed and peers had nothing newer.
    ///
    /// ```
    /// use cassiagrade::fleet::log_reads::{Freshness, ReadSchedule, UseLimits};
    /// use rand::{SeedableRng, rngs::SmallRng};
    /// let mut freshness = Freshness::default();
    /// freshness.confirm(10_000, &mut SmallRng::seed_from_u64(1));
    /// let schedule = ReadSchedule::within(2_000.0);
    /// let is_usable = |now_ms, limits| freshness.is_usable(now_ms, schedule, limits);
    /// let limits = UseLimits::default();
    /// assert!(is_usable(11_800, limits) && !is_usable(11_801, limits));
    /// let failed = UseLimits { failed_ms: 12_000, ..limits };
    /// assert!(!is_usable(12_000, failed), "peers may know more");
    /// let failed = UseLimits { peers_asked_ms: 12_000, ..failed };
    /// assert!(is_usable(12_000, failed));
    /// assert!(!is_usable(15_000, UseLimits { resumed_ms: 14_000, ..failed }));
    /// ```
    pub fn is_usable(&self, now_ms: u64, schedule: ReadSchedule, limits: UseLimits) -> bool {
        if self.age_ms(now_ms) <= schedule.usable_ms() {
            return true;
        }
        let due_ms = self.confirmed_ms + schedule.stale_ms();
        limits.failed_ms.min(limits.peers_asked_ms) >= due_ms.max(limits.resumed_ms)
    }

    /// Whether the state is so old that this router, one of `routers` that can reach one another,
    /// must read for itself.
    ///
    /// The delays are distributed exponentially, as those of multicast feedback (Nonnenmacher and
    /// Biersack, "Scalable feedback for large groups"): whatever the size of the fleet, about as
    /// many routers read before the first of them can publish what it found.
    ///
    /// Failure guarded against: with evenly distributed delays, hundreds of a thousand routers read
    /// within the time of one publication, at each start of the fleet and each loss of its readers.
    ///
    /// ```
    /// use cassiagrade::fleet::log_reads::{Freshness, ReadSchedule};
    /// use rand::{SeedableRng, rngs::SmallRng};
    /// let mut rng = SmallRng::seed_from_u64(1);
    /// let mut freshness = Freshness::default();
    /// freshness.confirm(10_000, &mut rng);
    /// let schedule = ReadSchedule::within(2_000.0);
    /// assert!(!freshness.is_stale(11_200, schedule, 9));
    /// assert!(freshness.is_stale(11_900, schedule, 9));
    /// ```
    pub fn is_stale(&self, now_ms: u64, schedule: ReadSchedule, routers: usize) -> bool {
        if self.is_invalidated || self.confirmed_ms == 0 {
            return true;
        }
        let delay_ms = delay_share(self.jitter, routers) * schedule.spread_ms();
        self.age_ms(now_ms) as f64 > schedule.stale_ms() as f64 + delay_ms
    }
}

/// Retry timer of a router whose reads of the log fail.
///
/// Failure guarded against: the reads of a thousand routers fail at once. If each waited at least half of
/// the time that the retries of all take, none but the readers would try for half a minute, though the
/// log is back.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failed_ms: Option<u64>,
    failures: u32,
    jitter: f64,
}

impl Backoff {
    /// Records that a read failed.
    pub fn failed<R: Rng>(&mut self, now_ms: u64, rng: &mut R) {
        self.failed_ms = Some(now_ms);
        self.failures = self.failures.saturating_add(1);
        self.jitter = rng.random_range(0.0..2.0);
    }

    /// Records that a read was answered.
    pub fn answered(&mut self) {
        *self = Self::default();
    }

    /// Whether a retry is due for one of `routers` that can reach one another. `is_needed` is set
    /// for a reader that receives no updates from others.
    ///
    /// ```
    /// use cassiagrade::fleet::log_reads::Backoff;
    /// use rand::{SeedableRng, rngs::SmallRng};
    /// let mut backoff = Backoff::default();
    /// backoff.failed(1_000, &mut SmallRng::seed_from_u64(1));
    /// // A reader, or a router by itself, retries soon; one of many waits for the others.
    /// assert!(backoff.is_due(1_500, true, 195) && backoff.is_due(1_500, false, 1));
    /// assert!(!backoff.is_due(4_000, false, 195));
    /// ```
    pub fn is_due(&self, now_ms: u64, is_needed: bool, routers: usize) -> bool {
        let Some(failed_ms) = self.failed_ms else {
            return true;
        };
        let doubled_ms = FIRST_RETRY_MS << self.failures.saturating_sub(1).min(8);
        let shared_ms = (self.jitter * routers as f64 * RETRY_SPACING_MS) as u64;
        let pause_ms = if is_needed {
            doubled_ms.min(MAX_READER_RETRY_MS)
        } else {
            doubled_ms.min(MAX_RETRY_MS).max(shared_ms)
        };
        now_ms >= failed_ms + pause_ms
    }
}

/// One router's part in reading the log.
#[derive(Clone, Copy, Debug)]
pub struct Role {
    /// Whether it reads for the others.
    pub is_reader: bool,
    /// Number of routers that can reach one another, this one included.
    pub routers: usize,
    /// When it last began to read; 0 if it never did.
    pub last_read_ms: u64,
}

/// Returns how long a read that must begin now waits for a change, or `None` if none is due.
///
/// Readers always read, at a pace, and wait for a change, unless their state is stale: requests may
/// wait for it. The other routers read only when their state is stale, each at its own time, and
/// without a wait: they replace readers that fail, and publish what they find. A reader whose reads fail backs off longer while other readers keep its state
/// fresh.
///
/// ```
/// use cassiagrade::fleet::log_reads::{Backoff, Freshness, ReadSchedule, Role, read_due};
/// let (fresh, backoff) = (Freshness::default(), Backoff::default());
/// let schedule = ReadSchedule::within(2_000.0);
/// let role = |is_reader| Role { is_reader, routers: 9, last_read_ms: 0 };
/// let due = |is_reader, now_ms| read_due(role(is_reader), fresh, backoff, schedule, now_ms);
/// assert_eq!(due(true, 9_001).unwrap().as_millis(), 0, "nothing is known yet");
/// let mut fresh = fresh;
/// fresh.confirm(9_000, &mut rand::rng());
/// let due = |is_reader, now_ms| read_due(role(is_reader), fresh, backoff, schedule, now_ms);
/// assert_eq!(due(true, 9_001).unwrap().as_millis(), 900);
/// assert_eq!(due(false, 9_001), None);
/// assert_eq!(due(true, 12_000).unwrap().as_millis(), 0, "requests may wait");
/// ```
pub fn read_due(
    role: Role,
    fresh: Freshness,
    backoff: Backoff,
    schedule: ReadSchedule,
    now_ms: u64,
) -> Option<Duration> {
    let sharing = if role.is_reader { 1 } else { role.routers };
    let is_stale = fresh.is_stale(now_ms, schedule, role.routers);
    let is_needed = role.is_reader && is_stale;
    let has_paused = now_ms >= role.last_read_ms + schedule.pace_ms();
    let is_turn = role.is_reader && has_paused;
    if !(is_turn || is_stale) || !backoff.is_due(now_ms, is_needed, sharing) {
        return None;
    }
    Some(if role.is_reader && !is_stale {
        schedule.wait()
    } else {
        Duration::ZERO
    })
}
