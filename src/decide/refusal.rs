//! Every refusal: its cause, whether the request ran, and when to come back.
//!
//! A request that is given up on is answered at once. Refused callers who all come back at the
//! same moment would be refused again, so the time to come back is spread by jitter.

use rand::Rng;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Why a request was not served.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// No or a wrong account key.
    Unauthorized,
    /// The account is suspended.
    AccountSuspended,
    /// The router holds as many connections as it may.
    ConnectionLimit,
    /// The request itself is malformed.
    BadRequest,
    /// Body or headers exceed their bound.
    TooLarge,
    /// The caller sent too slowly.
    TooSlow,
    /// No such service.
    UnknownService,
    /// The account's rate or concurrency share is used up.
    AccountLimit,
    /// The queue is full.
    QueueFull,
    /// The deadline can't be met.
    Deadline,
    /// The class is being shed in a brown-out.
    Shed,
    /// The upstream is over its load bound; another may not be.
    OverBound,
    /// The upstream has no free slot; another of its pool has.
    Full,
    /// No connection to the upstream's home; another router may be its home by now.
    HomeUnreachable,
    /// No upstream takes work now.
    NoUpstream,
    /// The upstream failed.
    UpstreamFailed,
    /// The request is held to have crashed upstreams.
    Quarantined,
    /// The platform's log can't be reached, and the request may not run without it.
    LogUnavailable,
    /// The idempotency key is older than the log surely keeps.
    KeyTooOld,
    /// The same idempotency key is running now.
    StillRunning,
    /// The same idempotency key was tried before, and its outcome isn't known.
    OutcomeUnknown,
    /// This router is stopping.
    Draining,
}

/// What a refused caller may believe about its request.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RunState {
    /// It ran at an upstream.
    Ran,
    /// No byte of it reached an upstream.
    NotRun,
    /// It may have run.
    Unknown,
}

/// A final answer to a request that won't be served.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// Whether it ran.
    pub run: RunState,
    /// When to come back, in milliseconds from now; zero means that coming back won't help.
    pub retry_after_ms: u64,
}

impl Refusal {
    /// A refusal of a request that reached no upstream.
    ///
    /// ```
    /// use cassiagrade::decide::refusal::{Cause, Refusal, RunState};
    /// let refusal = Refusal::not_run(Cause::QueueFull, 250);
    /// assert_eq!(refusal.run, RunState::NotRun);
    /// ```
    pub fn not_run(cause: Cause, retry_after_ms: u64) -> Self {
        Self {
            cause,
            run: RunState::NotRun,
            retry_after_ms,
        }
    }

    /// A refusal of a request that may have run.
    ///
    /// ```
    /// use cassiagrade::decide::refusal::{Cause, Refusal, RunState};
    /// assert_eq!(Refusal::unknown(Cause::OutcomeUnknown).run, RunState::Unknown);
    /// ```
    pub fn unknown(cause: Cause) -> Self {
        Self {
            cause,
            run: RunState::Unknown,
            retry_after_ms: 0,
        }
    }
}

/// When to come back to a router that has just started and knows no configuration yet.
pub(crate) const STARTING_MS: u64 = 300;

/// Spreads `base_ms` over `[base, 1.5 base]`, so that callers refused together return apart.
///
/// ```
/// use rand::{SeedableRng, rngs::SmallRng};
/// let mut rng = SmallRng::seed_from_u64(1);
/// let ms = cassiagrade::decide::refusal::jittered_ms(1_000, &mut rng);
/// assert!((1_000..=1_500).contains(&ms));
/// ```
pub fn jittered_ms<R: Rng>(base_ms: u64, rng: &mut R) -> u64 {
    base_ms + rng.random_range(0..=base_ms / 2)
}
