//! The model: run setups, callers and engines.

use cassiagrade::decide::ChatKey;
use cassiagrade::decide::lru::LruCache;
use rand::Rng;
use rand::rngs::SmallRng;

/// Concurrent jobs per engine.
pub(crate) const SLOTS: u32 = 32;
/// Capacity of an engine's prefix cache, in tokens.
pub(crate) const CACHE_TOKENS: u64 = 600_000;
/// Mean engine time of a job in the modelled request mix with a warm cache.
const MEAN_JOB_MS: f64 = 5_300.0;
/// Share of answered chats that send another request.
const RETURN_SHARE: f64 = 0.85;
/// Context length at which a chat ends, in tokens.
const MAX_CONTEXT: u32 = 20_000;
/// Time from the first attempt after which a caller gives up.
pub(crate) const CALLER_TIMEOUT_MS: u64 = 90_000;

/// The placement policy; `Ours` is the router's own, the rest are baselines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Policy {
    Random,
    RoundRobin,
    LeastOfTwo,
    Hash,
    Ours,
}

/// Conditions of one run.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) policy: Policy,
    pub(crate) engines: usize,
    pub(crate) routers: usize,
    /// Offered load as a share of capacity.
    pub(crate) load: f64,
    pub(crate) secs: u64,
    /// Share of the engines replaced per minute.
    pub(crate) churn: f64,
    /// Whether a replaced engine first transfers its cached prefixes.
    pub(crate) planned_leave: bool,
    /// Whether the prefix of a chat that changes engines is imported where that is cheaper than
    /// a prefill.
    pub(crate) import: bool,
    /// Interval of the load reports, and so their greatest age.
    pub(crate) report_interval_ms: u64,
    /// Share of the load reports that are lost.
    pub(crate) report_loss: f64,
    /// Log-normal sigma of the output length estimates.
    pub(crate) estimate_sigma: f64,
    /// Whether fair queueing, deadlines and shedding are on; FIFO if not.
    pub(crate) admission: bool,
    pub(crate) surge: Option<Surge>,
    /// Share of the requests that belong to one chat.
    pub(crate) hot_chat_share: f64,
    /// Factor by which the first engine is slower than the rest of its pool.
    pub(crate) slowdown: f64,
    /// Share of the requests with ten times the output.
    pub(crate) long_job_share: f64,
    pub(crate) epsilon: f64,
    pub(crate) width: usize,
    pub(crate) seed: u64,
}

impl Setup {
    /// Half load without faults, churn or surges.
    pub(crate) const DEFAULT: Self = Self {
        policy: Policy::Ours,
        engines: 18,
        routers: 9,
        load: 0.5,
        secs: 1_200,
        churn: 0.0,
        planned_leave: false,
        import: true,
        report_interval_ms: 1_000,
        report_loss: 0.0,
        estimate_sigma: 0.0,
        admission: true,
        surge: None,
        hot_chat_share: 0.0,
        slowdown: 1.0,
        long_job_share: 0.0,
        epsilon: 0.25,
        width: 6,
        seed: 1,
    };
}

impl Default for Setup {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// A period of raised request rates.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Surge {
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
    pub(crate) factor: f64,
    /// Whether only the largest account surges.
    pub(crate) largest_only: bool,
}

/// Traffic shares of twelve accounts, three of them large.
pub(crate) const ACCOUNTS: [f64; 12] = [
    0.55, 0.12, 0.09, 0.04, 0.04, 0.03, 0.03, 0.02, 0.02, 0.02, 0.02, 0.02,
];

/// Index of the first small account.
pub(crate) const SMALL_FROM: usize = 3;

impl Setup {
    pub(crate) fn rate_per_ms(&self) -> f64 {
        let length_factor = 1.0 + self.long_job_share * 9.0;
        self.load * self.engines as f64 * f64::from(SLOTS) / (MEAN_JOB_MS * length_factor)
    }

    /// Returns the factor on the usual request rate of `account` at `now_ms`.
    pub(crate) fn rate_factor(&self, account: usize, now_ms: u64) -> f64 {
        match self.surge {
            Some(s) if (s.from_ms..s.to_ms).contains(&now_ms) => {
                if s.largest_only && account > 0 {
                    1.0
                } else {
                    s.factor
                }
            }
            _ => 1.0,
        }
    }
}

/// A caller's request, including its retries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) account: usize,
    pub(crate) chat: usize,
    pub(crate) prompt: u32,
    pub(crate) output: u32,
    pub(crate) estimated_output: u32,
    /// Tokens of the prompt that an earlier request of the chat has already processed.
    pub(crate) history_tokens: u32,
    pub(crate) first_sent_ms: u64,
    pub(crate) sent_ms: u64,
    pub(crate) retries: u32,
    /// Whether its engine was removed and the request placed again.
    pub(crate) displaced: bool,
    pub(crate) import_ms: f64,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Chat {
    pub(crate) key: ChatKey,
    pub(crate) account: usize,
    pub(crate) context: u32,
    /// Index of the router that its caller uses.
    pub(crate) entry: usize,
}

/// Actual state of an engine, independent of its home's estimate.
pub(crate) struct Engine {
    pub(crate) alive: bool,
    pub(crate) joined_ms: u64,
    pub(crate) slowdown: f64,
    pub(crate) cache: LruCache<u32>,
}

impl Engine {
    pub(crate) fn new(joined_ms: u64, slowdown: f64) -> Self {
        Self {
            alive: true,
            joined_ms,
            slowdown,
            cache: LruCache::new(CACHE_TOKENS),
        }
    }

    pub(crate) fn cached(&self, chat: ChatKey, prompt: u32) -> u32 {
        self.cache.get(chat).copied().unwrap_or(0).min(prompt)
    }
}

pub(crate) fn normal(rng: &mut SmallRng) -> f64 {
    let u: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    let v: f64 = rng.random_range(0.0..std::f64::consts::TAU);
    (-2.0 * u.ln()).sqrt() * v.cos()
}

fn log_normal(rng: &mut SmallRng, mu: f64, sigma: f64) -> f64 {
    (mu + sigma * normal(rng)).exp()
}

pub(crate) fn first_context(rng: &mut SmallRng) -> u32 {
    log_normal(rng, 6.6, 1.0) as u32 + 1
}

pub(crate) fn output(rng: &mut SmallRng, long_job_share: f64) -> u32 {
    let usual = log_normal(rng, 4.5, 0.8).min(1_500.0) as u32 + 1;
    if long_job_share > 0.0 && rng.random_bool(long_job_share) {
        return usual * 10;
    }
    usual
}

pub(crate) fn estimate_output(rng: &mut SmallRng, output: u32, sigma: f64) -> u32 {
    (f64::from(output) * (sigma * normal(rng)).exp()) as u32 + 1
}

/// Returns the delay before the next request of a chat, or `None` if the chat ends.
pub(crate) fn think_time_ms(rng: &mut SmallRng, context: u32) -> Option<u64> {
    let think_time_ms = 1_000.0 * log_normal(rng, 3.4, 1.2);
    (rng.random_bool(RETURN_SHARE) && context < MAX_CONTEXT).then_some(think_time_ms as u64)
}
