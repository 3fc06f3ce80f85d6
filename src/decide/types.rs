//! The nouns that all decisions share.

use strum::{Display, EnumString, IntoStaticStr, VariantNames};

use crate::decide::Name;
use crate::util;

/// Identifies a chat's prompt prefix: account, chat, model and adapter.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ChatKey(pub u64);

impl ChatKey {
    /// Derives the key from what decides whether two prompts share a prefix cache.
    ///
    /// ```
    /// use cassiagrade::decide::ChatKey;
    /// let a = ChatKey::new("acme", "chat-7", "small", "");
    /// assert_eq!(a, ChatKey::new("acme", "chat-7", "small", ""));
    /// assert_ne!(a, ChatKey::new("other", "chat-7", "small", ""));
    /// ```
    pub fn new(account: &str, chat: &str, model: &str, adapter: &str) -> Self {
        Self(util::hash_parts(&[account, chat, model, adapter]))
    }
}

/// Identifies a job at one home.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobId(pub u64);

/// Priority class of a request; the order is from most to least urgent.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    VariantNames,
)]
#[strum(serialize_all = "snake_case")]
pub enum Priority {
    /// A person waits on the bench.
    Urgent,
    /// The usual class.
    #[default]
    Normal,
    /// Work that may wait.
    Batch,
}

/// What a job is expected to cost, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Prompt length.
    pub prompt_tokens: u32,
    /// How many of the prompt's tokens are expected in the engine's prefix cache.
    pub cached_tokens: u32,
    /// Expected answer length.
    pub output_tokens: u32,
}

/// What a token costs an engine, in milliseconds of engine time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Per uncached prompt token.
    pub prefill_ms: f64,
    /// Per output token.
    pub decode_ms: f64,
    /// Per request, whatever its size; the whole cost for a plain service.
    pub request_ms: f64,
}

impl Default for Rates {
    /// Of a middling engine; only proportions between requests matter.
    fn default() -> Self {
        Self {
            prefill_ms: 0.125,
            decode_ms: 40.0,
            request_ms: 1.0,
        }
    }
}

impl Cost {
    /// Expected engine time in milliseconds.
    ///
    /// ```
    /// use cassiagrade::decide::{Cost, Rates};
    /// let rates = Rates { prefill_ms: 0.5, decode_ms: 10.0, request_ms: 1.0 };
    /// let cost = Cost { prompt_tokens: 100, cached_tokens: 60, output_tokens: 3 };
    /// assert_eq!(cost.work_ms(&rates), 1.0 + 20.0 + 30.0);
    /// ```
    pub fn work_ms(&self, rates: &Rates) -> f64 {
        let uncached = self.prompt_tokens.saturating_sub(self.cached_tokens);
        rates.request_ms
            + f64::from(uncached) * rates.prefill_ms
            + f64::from(self.output_tokens) * rates.decode_ms
    }
}

/// One request as an upstream's home sees it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Unique at this home.
    pub id: JobId,
    /// Who pays.
    pub account: Name,
    /// The account's weight in the fair queue.
    pub weight: f64,
    /// Its class.
    pub priority: Priority,
    /// The chat whose prefix it extends.
    pub chat: ChatKey,
    /// Expected cost; `cached_tokens` is set by the home from its warm memory.
    pub cost: Cost,
    /// When its caller stops waiting, on the router's monotonic clock.
    pub deadline_ms: u64,
    /// Every other choice was tried: queue it here rather than answer "over bound".
    pub last_choice: bool,
    /// It was in flight where an upstream died: it may run only alone among such.
    pub suspect: bool,
}

/// The pool an upstream belongs to, as gossip last told it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolView {
    /// Mean work in flight per upstream, in engine milliseconds.
    pub mean_work_ms: f64,
    /// Upstreams that take work.
    pub upstreams: u32,
    /// Those whose load is known.
    pub known: u32,
    /// Jobs that the others of the pool could start at once.
    pub free_slots: u32,
}
