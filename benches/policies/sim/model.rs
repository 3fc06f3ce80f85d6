//! The modelled sites, callers and engines.

use cassiagrade::decide::ChatKey;
use cassiagrade::decide::lru::LruCache;
use rand::Rng;
use rand::rngs::SmallRng;

/// Jobs an engine runs at once.
pub(crate) const SLOTS: u32 = 32;
/// Tokens an engine's prefix cache holds.
pub(crate) const CACHE_TOKENS: u64 = 600_000;
/// Engine time of a mean job in the trial's mix with a warm cache.
const MEAN_JOB_MS: f64 = 5_300.0;
/// Share of answered chats that return.
const RETURN_SHARE: f64 = 0.85;
/// A chat ends when its context has grown to this.
const MAX_CONTEXT: u32 = 20_000;
/// Callers stop waiting this long after they first asked.
pub(crate) const PATIENCE_MS: u64 = 90_000;

/// How work is sent to engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Policy {
    Random,
    RoundRobin,
    LeastOfTwo,
    Hash,
    Ours,
}

/// One run's conditions.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) policy: Policy,
    pub(crate) engines: usize,
    pub(crate) routers: usize,
    /// Offered work over capacity.
    pub(crate) load: f64,
    pub(crate) secs: u64,
    /// Share of the engines replaced a minute.
    pub(crate) churn: f64,
    /// A replaced engine hands its cached prefixes on first.
    pub(crate) planned: bool,
    /// Displaced chats bring their prefix along where that is cheaper.
    pub(crate) import: bool,
    /// Age of the load reports.
    pub(crate) stale_ms: u64,
    /// Share of the load reports that get lost.
    pub(crate) lost: f64,
    /// Spread of the estimates of output length (log-normal sigma).
    pub(crate) guess: f64,
    /// Fair queue, deadlines and shedding; without it, first in first out.
    pub(crate) admission: bool,
    pub(crate) surge: Option<Surge>,
    /// Share of the requests that are for one chat.
    pub(crate) hot_chat: f64,
    /// One engine this much slower than its pool.
    pub(crate) slow: f64,
    /// Share of the requests that are ten times as long.
    pub(crate) long_jobs: f64,
    pub(crate) epsilon: f64,
    pub(crate) width: usize,
    pub(crate) seed: u64,
}

impl Setup {
    /// Half load, nothing out of the ordinary.
    pub(crate) const DEFAULT: Self = Self {
        policy: Policy::Ours,
        engines: 18,
        routers: 9,
        load: 0.5,
        secs: 1_200,
        churn: 0.0,
        planned: false,
        import: true,
        stale_ms: 1_000,
        lost: 0.0,
        guess: 0.0,
        admission: true,
        surge: None,
        hot_chat: 0.0,
        slow: 1.0,
        long_jobs: 0.0,
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

/// A time in which accounts send more than usual.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Surge {
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
    pub(crate) factor: f64,
    /// Only the largest account surges.
    pub(crate) largest_only: bool,
}

/// Shares of the traffic of a dozen accounts, three of them large.
pub(crate) const ACCOUNTS: [f64; 12] = [
    0.55, 0.12, 0.09, 0.04, 0.04, 0.03, 0.03, 0.02, 0.02, 0.02, 0.02, 0.02,
];

/// Accounts from this one on are small.
pub(crate) const SMALL_FROM: usize = 3;

impl Setup {
    pub(crate) fn rate_per_ms(&self) -> f64 {
        let stretch = 1.0 + self.long_jobs * 9.0;
        self.load * self.engines as f64 * f64::from(SLOTS) / (MEAN_JOB_MS * stretch)
    }

    /// How much more than usual `account` sends at `now_ms`.
    pub(crate) fn factor(&self, account: usize, now_ms: u64) -> f64 {
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

/// One caller's request, through all its tries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) account: usize,
    pub(crate) chat: usize,
    pub(crate) prompt: u32,
    pub(crate) output: u32,
    pub(crate) guessed_output: u32,
    /// The part of the prompt that an earlier answer has covered.
    pub(crate) returning: u32,
    pub(crate) asked_ms: u64,
    pub(crate) offered_ms: u64,
    pub(crate) tries: u32,
    /// Its engine went: it is placed anew.
    pub(crate) displaced: bool,
    pub(crate) import_ms: f64,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Chat {
    pub(crate) key: ChatKey,
    pub(crate) account: usize,
    pub(crate) context: u32,
    /// The router its caller uses.
    pub(crate) entry: usize,
}

/// What an engine really has, whatever its home believes.
pub(crate) struct Engine {
    pub(crate) alive: bool,
    pub(crate) born_ms: u64,
    pub(crate) slow: f64,
    pub(crate) cache: LruCache<u32>,
}

impl Engine {
    pub(crate) fn new(born_ms: u64, slow: f64) -> Self {
        Self {
            alive: true,
            born_ms,
            slow,
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

pub(crate) fn output(rng: &mut SmallRng, long_jobs: f64) -> u32 {
    let usual = log_normal(rng, 4.5, 0.8).min(1_500.0) as u32 + 1;
    if long_jobs > 0.0 && rng.random_bool(long_jobs) {
        return usual * 10;
    }
    usual
}

pub(crate) fn guess(rng: &mut SmallRng, output: u32, sigma: f64) -> u32 {
    (f64::from(output) * (sigma * normal(rng)).exp()) as u32 + 1
}

/// The pause before a chat returns, if it does.
pub(crate) fn pause_ms(rng: &mut SmallRng, context: u32) -> Option<u64> {
    let pause_ms = 1_000.0 * log_normal(rng, 3.4, 1.2);
    (rng.random_bool(RETURN_SHARE) && context < MAX_CONTEXT).then_some(pause_ms as u64)
}
