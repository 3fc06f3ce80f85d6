//! Types shared by the decision modules.

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

/// One start of an upstream, which may keep its id when it restarts.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Incarnation {
    /// Id of the upstream.
    pub id: Name,
    /// Start time in Unix milliseconds; 0 if unknown.
    pub started_ms: u64,
}

/// Where a stream began. What upstreams of different software write doesn't fit together, so it may
/// go on only there.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Origin {
    /// Service of the upstream that brought the first event.
    pub service: Name,
    /// Version of its software; `None` if its record names none.
    pub software: Option<Name>,
}

/// Identifies a job at one home.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobId(pub u64);

/// Priority class of a request, ordered from most to least urgent.
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
    /// Interactive: a person waits for the answer.
    Urgent,
    /// Default class.
    #[default]
    Normal,
    /// Deferrable work.
    Batch,
}

/// Expected cost of a job, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Prompt length.
    pub prompt_tokens: u32,
    /// Prompt tokens that are expected in the engine's prefix cache.
    pub cached_tokens: u32,
    /// Expected length of the answer.
    pub output_tokens: u32,
}

/// Cost of a token or request at an engine, in milliseconds of engine time.
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
    /// Rates of a mid-range engine; only the proportions between requests matter.
    fn default() -> Self {
        Self {
            prefill_ms: 0.125,
            decode_ms: 40.0,
            request_ms: 1.0,
        }
    }
}

impl Cost {
    /// Returns the expected engine time in milliseconds.
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

/// A request as the upstream's home sees it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Unique at this home.
    pub id: JobId,
    /// Client account that sent it.
    pub account: Name,
    /// Weight of the account in the fair queue.
    pub weight: f64,
    /// Priority class.
    pub priority: Priority,
    /// Chat whose prefix it extends.
    pub chat: ChatKey,
    /// Expected cost; the home sets `cached_tokens` from its record of cached chats.
    pub cost: Cost,
    /// Deadline of its caller, on the router's monotonic clock.
    pub deadline_ms: u64,
    /// Every other upstream was tried: queue it here rather than answer "over bound".
    pub last_choice: bool,
    /// It was in flight at an upstream that died, so no other suspect may run beside it.
    pub suspect: bool,
}

/// Load of the pool that an upstream belongs to, as last received by gossip.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolView {
    /// Mean work in flight per upstream, in engine milliseconds.
    pub mean_work_ms: f64,
    /// Upstreams that take work.
    pub upstreams: u32,
    /// Upstreams whose load is known.
    pub known: u32,
    /// Jobs that the other upstreams of the pool could start at once.
    pub free_slots: u32,
}
