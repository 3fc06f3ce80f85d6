//! A model engine: continuous batching with a step time, a size-limited prefix cache, streams that
//! can be resumed and cancelled, and KV export and import. The answer is derived from the prompt,
//! so that a test can check each token.

mod cache;
mod prompt;
mod server;
mod stream;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::http::serve;
use server::Server;

/// Faults that a test can set, and the engine's speed and capacity.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Knobs {
    /// Time between two tokens of a stream.
    pub step_ms: u64,
    /// Time to prefill 1,000 uncached tokens.
    pub prefill_ms_per_1000: u64,
    /// Maximum number of concurrent streams.
    pub slots: usize,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: usize,
    /// A prompt that contains this text aborts the process.
    pub crash_marker: String,
    /// Number of requests to answer with another request's id.
    pub cross_answers: u32,
    /// Number of streams to cut after the first token.
    pub cut_streams: u32,
    /// Age of the load that reports contain.
    pub report_lag_ms: u64,
    /// Omit every n-th cache event; 0 omits none.
    pub event_gap: u64,
    /// How long generation continues without a reader.
    pub resume_grace_ms: u64,
    /// Reject orders with a fencing number below the highest one accepted.
    pub honour_fencing: bool,
    /// Address to fetch weights from before a load order takes effect; none are fetched if empty.
    pub weight_store: String,
    /// Report that this engine is leaving the fleet.
    pub leaving: bool,
    /// Percentage of requests that fail with status 500 before they run.
    pub fail_percent: u64,
}

impl Default for Knobs {
    fn default() -> Self {
        Self {
            step_ms: 5,
            prefill_ms_per_1000: 20,
            slots: 32,
            cache_tokens: 600_000,
            crash_marker: String::new(),
            cross_answers: 0,
            cut_streams: 0,
            report_lag_ms: 1_000,
            event_gap: 0,
            resume_grace_ms: 2_000,
            honour_fencing: true,
            weight_store: String::new(),
            leaving: false,
            fail_percent: 0,
        }
    }
}

/// One execution of a request, recorded for tests.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Run {
    /// Id that the router gave the request.
    pub request_id: String,
    /// Number of the attempt.
    pub attempt: String,
    /// Idempotency key of the caller.
    pub idempotency_key: String,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Number of prompt tokens that were cached.
    pub cached_tokens: u32,
    /// Number of tokens generated so far.
    pub sent_tokens: u32,
    /// Whether all tokens were generated.
    pub whole: bool,
}

/// Load that the engine reports.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Load {
    /// Number of running streams.
    pub running: usize,
    /// Number of requests that wait for a slot.
    pub waiting: usize,
    /// Whether the engine is about to stop taking new requests.
    pub leaving: bool,
}

/// A running engine.
pub struct Engine {
    /// Address that it listens on.
    pub addr: SocketAddr,
}

impl Engine {
    /// Starts an engine on the current runtime.
    ///
    /// # Errors
    /// Fails if `addr` can't be listened on.
    pub async fn bind(addr: SocketAddr, knobs: Knobs) -> io::Result<Self> {
        let server = Rc::new(Server::new(knobs));
        let addr = serve(addr, server).await?;
        Ok(Self { addr })
    }
}

/// Returns the text of token `index` of the answer to `prompt`.
pub fn token(prompt: &str, index: u32) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), index.into());
    format!("{:04x} ", hash & 0xffff)
}
