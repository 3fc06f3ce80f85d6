//! The fields of the request body that the engine uses.

use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const BYTES_PER_TOKEN: usize = 4;
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Length in bytes of the text of one token; see [`super::token`].
const TOKEN_BYTES: usize = 5;

pub(super) struct Prompt {
    pub(super) text: String,
    /// Key of the chat in the prefix cache.
    pub(super) key: u64,
    pub(super) tokens: u32,
    /// Index of the first token to generate; another engine delivered the tokens before it.
    pub(super) first_token: u32,
    pub(super) max_tokens: u32,
    pub(super) model: String,
}

/// Parses the body of a chat request. The key of the chat is `cache_key` if that is valid, else it
/// is derived from the body.
pub(super) fn parse(body: &[u8], cache_key: &str) -> Option<Prompt> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let messages = value["messages"].as_array()?;
    let mut contents = messages.iter().filter_map(|m| m["content"].as_str());
    let bytes: usize = contents.clone().map(str::len).sum();
    let chat = value["prompt_cache_key"].as_str();
    let chat = chat.or_else(|| contents.clone().next()).unwrap_or_default();
    let explicit_key = u64::from_str_radix(cache_key, 16).ok();
    let forced_prefix = value["forced_prefix"].as_str().unwrap_or_default();
    let max_tokens = value["max_tokens"].as_u64();
    Some(Prompt {
        key: explicit_key.unwrap_or_else(|| xxh3_64_with_seed(chat.as_bytes(), 0)),
        text: contents.next_back().unwrap_or_default().to_owned(),
        tokens: clamp(bytes / BYTES_PER_TOKEN),
        first_token: clamp(forced_prefix.len() / TOKEN_BYTES),
        max_tokens: max_tokens.map_or(DEFAULT_MAX_TOKENS, |n| u32::try_from(n).unwrap_or(u32::MAX)),
        model: value["model"].as_str().unwrap_or_default().to_owned(),
    })
}

fn clamp(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
