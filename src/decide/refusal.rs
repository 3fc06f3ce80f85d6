//! Refusals: the cause, whether the request ran, and when to retry.
//!
//! A request that can't be served is answered at once. Callers refused at the same moment would
//! be refused again if they all retried together, so the retry time is spread by jitter.

use rand::Rng;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Why a request was not served.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The account key is missing or wrong.
    Unauthorized,
    /// The account is suspended.
    AccountSuspended,
    /// The router's limit of open connections is reached.
    ConnectionLimit,
    /// Callers' requests take all the memory that they may.
    MemoryLimit,
    /// The request is malformed.
    BadRequest,
    /// Body or headers exceed their size limit.
    TooLarge,
    /// The caller sent the request too slowly.
    TooSlow,
    /// No service matches the request.
    UnknownService,
    /// The account's share of its rate or concurrency limit is used up.
    AccountLimit,
    /// The queue is full.
    QueueFull,
    /// The deadline can't be met.
    Deadline,
    /// The priority class is being shed because of overload.
    Shed,
    /// The upstream is over its load bound; another one may not be.
    OverBound,
    /// The upstream has no free slot; another one of its pool has.
    Full,
    /// No connection to the upstream's home; another router may have become its home.
    HomeUnreachable,
    /// No upstream takes work now.
    NoUpstream,
    /// The upstream failed.
    UpstreamFailed,
    /// The request is quarantined: it is assumed to have crashed upstreams.
    Quarantined,
    /// The platform's log can't be reached, and the request may not run without it.
    LogUnavailable,
    /// The idempotency key is older than the log's guaranteed retention.
    KeyTooOld,
    /// A request with the same idempotency key is running.
    StillRunning,
    /// A request with the same idempotency key was tried before, with unknown outcome.
    OutcomeUnknown,
    /// This router is draining.
    Draining,
}

/// Whether a refused request ran.
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

/// The final answer to a request that won't be served.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Cause of the refusal.
    pub cause: Cause,
    /// Whether the request ran.
    pub run: RunState,
    /// When to retry, in milliseconds from now; zero if a retry can't help.
    pub retry_after_ms: u64,
}

impl Refusal {
    /// Refuses a request that reached no upstream.
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

    /// Refuses a request that may have run.
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

/// Retry time given by a router that has just started and has no configuration yet.
pub(crate) const STARTING_MS: u64 = 300;

/// Spreads `base_ms` over `[base, 1.5 base]`, so that callers refused together retry apart.
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
