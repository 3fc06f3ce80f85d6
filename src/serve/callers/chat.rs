//! Parses chat requests for routing. The body is forwarded unchanged except for `stream`, which is
//! always set for engines.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use snafu::Snafu;

use crate::decide::ChatKey;

/// Average number of bytes per token.
const BYTES_PER_TOKEN: usize = 4;
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// The longest answer a caller may ask for.
const MAX_OUTPUT_TOKENS: u32 = 1_000_000;

/// Why a chat request is refused.
#[derive(Debug, Snafu)]
pub(crate) enum ChatError {
    #[snafu(display("body: {source}"), context(false))]
    Json { source: serde_json::Error },
    #[snafu(display("{field}: {reason}"))]
    Field {
        field: &'static str,
        reason: &'static str,
    },
}

/// A request whose parts of any size are not taken apart: a tree of their values could take dozens of times the size
/// of the body.
#[derive(Debug, Deserialize)]
struct ChatRequest<'a> {
    model: String,
    #[serde(borrow)]
    messages: Vec<Message<'a>>,
    #[serde(borrow)]
    stream: Option<&'a RawValue>,
    max_tokens: Option<u32>,
    #[serde(default)]
    prompt_cache_key: String,
    #[serde(default)]
    adapter: String,
}

#[derive(Debug, Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    content: Option<&'a RawValue>,
}

/// The properties of a chat request that routing uses, and the body to forward.
#[derive(Debug)]
pub(crate) struct Chat {
    pub(crate) model: String,
    pub(crate) stream: bool,
    pub(crate) key: ChatKey,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
    pub(crate) body: Bytes,
}

/// Parses a chat request of `account`.
pub(crate) fn parse(account: &str, body: &Bytes) -> Result<Chat, ChatError> {
    let request: ChatRequest<'_> = serde_json::from_slice(body)?;
    check(&request)?;
    let is_streamed = match request.stream {
        Some(stream) => serde_json::from_str(stream.get())?,
        None => false,
    };
    let bytes: usize = request.messages.iter().map(Message::len).sum();
    Ok(Chat {
        key: ChatKey::new(
            account,
            &chat_name(&request),
            &request.model,
            &request.adapter,
        ),
        stream: is_streamed,
        prompt_tokens: u32::try_from(bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
        output_tokens: request.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS),
        body: if is_streamed {
            body.clone()
        } else {
            with_stream_set(body, request.stream)
        },
        model: request.model,
    })
}

fn check(request: &ChatRequest<'_>) -> Result<(), ChatError> {
    let require = |condition: bool, field, reason| {
        if condition {
            return Ok(());
        }
        FieldSnafu { field, reason }.fail()
    };
    require(!request.model.is_empty(), "model", "must not be empty")?;
    require(
        !request.messages.is_empty(),
        "messages",
        "must not be empty",
    )?;
    let tokens = request.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
    let fits = (1..=MAX_OUTPUT_TOKENS).contains(&tokens);
    require(fits, "max_tokens", "must be from 1 to 1000000")
}

/// Returns the body with the field `stream`, which has this value, set to true.
fn with_stream_set(body: &Bytes, value: Option<&RawValue>) -> Bytes {
    let (at, replaced, inserted) = match value {
        Some(value) => {
            let at = value.get().as_ptr() as usize - body.as_ptr() as usize;
            (at, value.get().len(), "true")
        }
        None => {
            let brace = body.iter().position(|byte| *byte == b'{');
            (brace.map_or(0, |at| at + 1), 0, "\"stream\":true,")
        }
    };
    let mut set = Vec::with_capacity(body.len() + inserted.len());
    set.extend_from_slice(&body[..at]);
    set.extend_from_slice(inserted.as_bytes());
    set.extend_from_slice(&body[at + replaced..]);
    set.into()
}

/// Returns the caller's cache key for the chat, or its first message, which each turn repeats.
fn chat_name(request: &ChatRequest<'_>) -> String {
    if !request.prompt_cache_key.is_empty() {
        return request.prompt_cache_key.clone();
    }
    request
        .messages
        .first()
        .map_or_else(String::new, Message::text)
}

impl Message<'_> {
    /// The content as JSON, in the same form each time.
    fn text(&self) -> String {
        match self.string() {
            Some(text) => Value::from(text).to_string(),
            None => self.content.map_or("null", RawValue::get).to_owned(),
        }
    }

    /// Length of the content: of the text itself, if it is one.
    fn len(&self) -> usize {
        let raw = self.content.map_or("null", RawValue::get);
        self.string().map_or(raw.len(), |text| text.len())
    }

    fn string(&self) -> Option<String> {
        let raw = self.content?.get();
        serde_json::from_str(raw).ok()
    }
}

#[cfg(test)]
#[path = "chat_tests.rs"]
mod chat_tests;
