//! Validates requests beyond what the HTTP parser checks, in the same way for all callers.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{Either, select};
use futures_util::pin_mut;
use http::header::{CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Version};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming};
use snafu::{ResultExt, Snafu};

use crate::decide::refusal::{Cause, jittered_ms};
use crate::front::memory::{Arrival, ByteBudget, Held, NoRoom};
use crate::time_limit::within;

/// Retry delay of a caller whose body has no room: the largest bodies that are sent at once leave within a second
/// or are given up.
pub(crate) const NO_ROOM_RETRY_MS: u64 = 500;
/// Bytes of a body that don't count towards the budget: each connection has room for them, so that small
/// requests are served whatever others send.
pub(crate) const FREE_BODY_BYTES: usize = 8 << 10;

/// Why a request is rejected before any of it is forwarded.
#[derive(Debug, Snafu)]
pub(crate) enum RequestError {
    /// HTTP/1.0 ends a streamed answer by closing the connection, so a cut answer would look
    /// complete.
    #[snafu(display("{version:?} is not supported: use HTTP/1.1"))]
    Version { version: Version },
    #[snafu(display("host: must be given exactly once"))]
    Host,
    /// Parsers that prefer different headers would split the same bytes into different requests
    /// (request smuggling).
    #[snafu(display("content-length and transfer-encoding: must not both be given"))]
    TwoLengths,
    #[snafu(display("body: exceeds the limit of {max_bytes} bytes"))]
    TooLarge { max_bytes: usize },
    #[snafu(display("body: not received completely within {timeout_ms} ms"))]
    TooSlow { timeout_ms: u128 },
    #[snafu(display("body: {source}"))]
    NoRoom { source: NoRoom },
    #[snafu(display("body: reading failed: {detail}"))]
    Broken { detail: String },
}

impl RequestError {
    /// Returns the cause of the refusal.
    pub(crate) fn cause(&self) -> Cause {
        match self {
            Self::Version { .. } | Self::Host | Self::TwoLengths | Self::Broken { .. } => {
                Cause::BadRequest
            }
            Self::TooLarge { .. } => Cause::TooLarge,
            Self::TooSlow { .. } => Cause::TooSlow,
            Self::NoRoom { .. } => Cause::MemoryLimit,
        }
    }

    /// Returns when the caller may try again, in milliseconds; 0 if that can't help.
    pub(crate) fn retry_after_ms(&self) -> u64 {
        match self {
            Self::NoRoom { .. } => jittered_ms(NO_ROOM_RETRY_MS, &mut rand::rng()),
            _ => 0,
        }
    }
}

/// Checks the version, the `host` header and the framing of the body.
pub(crate) fn head(parts: &Parts) -> Result<(), RequestError> {
    let headers = &parts.headers;
    if parts.version != Version::HTTP_11 {
        let version = parts.version;
        return VersionSnafu { version }.fail();
    }
    if headers.get_all(HOST).iter().count() != 1 {
        return HostSnafu.fail();
    }
    if has_two_lengths(headers) {
        return TwoLengthsSnafu.fail();
    }
    Ok(())
}

/// Whether the body's length is ambiguous, so that the connection can't be reused.
pub(crate) fn has_two_lengths(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) && headers.contains_key(TRANSFER_ENCODING)
}

/// Reads a body within limits on size and time, and within what all callers' requests may hold.
pub(crate) async fn body(
    headers: &HeaderMap,
    body: &mut Incoming,
    max_bytes: usize,
    timeout: Duration,
    budget: &ByteBudget,
) -> Result<Bytes, RequestError> {
    let declared = declared_length(headers);
    if declared.is_some_and(|bytes| bytes > max_bytes as u64) {
        return TooLargeSnafu { max_bytes }.fail();
    }
    let expected_bytes = declared.map_or(max_bytes, |bytes| bytes as usize);
    let arrival = budget.receive(FREE_BODY_BYTES);
    let collected = within(timeout, collect(body, max_bytes, expected_bytes, arrival)).await;
    let (bytes, held) = collected.unwrap_or_else(|_| {
        let timeout_ms = timeout.as_millis();
        TooSlowSnafu { timeout_ms }.fail()
    })?;
    Ok(held.attach(bytes))
}

/// Reads a message of another router, all of which counts, and returns what it holds beside it.
pub(crate) async fn message(
    body: &mut Incoming,
    max_bytes: usize,
    budget: &ByteBudget,
) -> Result<(Vec<u8>, Held), RequestError> {
    let announced = body.size_hint().upper().map(|bytes| bytes as usize);
    let expected_bytes = announced.unwrap_or(max_bytes).min(max_bytes);
    collect(body, max_bytes, expected_bytes, budget.receive(0)).await
}

/// Copies a body into one buffer. A list of its pieces could take dozens of times the size of a body
/// that arrives in chunks of one byte.
async fn collect(
    body: &mut Incoming,
    max_bytes: usize,
    expected_bytes: usize,
    mut arrival: Arrival,
) -> Result<(Vec<u8>, Held), RequestError> {
    while let Some(frame) = next_frame(body, &arrival).await? {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if arrival.len() + data.len() > max_bytes {
            return TooLargeSnafu { max_bytes }.fail();
        }
        let pushed = arrival.push(&data, expected_bytes).await;
        pushed.context(NoRoomSnafu)?;
    }
    Ok(arrival.complete())
}

/// Returns the next frame, unless the body is given up for another one.
async fn next_frame(
    body: &mut Incoming,
    arrival: &Arrival,
) -> Result<Option<Frame<Bytes>>, RequestError> {
    let next = body.frame();
    let evicted = arrival.evicted();
    pin_mut!(next, evicted);
    match select(next, evicted).await {
        Either::Left((frame, _)) => frame.transpose().map_err(|e| RequestError::Broken {
            detail: e.to_string(),
        }),
        Either::Right(_) => Err(NoRoom).context(NoRoomSnafu),
    }
}

/// Reads the rest of a body within limits on size and time without keeping it. Returns whether it
/// was complete.
///
/// Failure guarded against: a request is refused while its body is still arriving, and the
/// connection is closed with unread bytes. This resets it, and the caller could lose the refusal.
pub(crate) async fn discard(body: &mut Incoming, max_bytes: usize, timeout: Duration) -> bool {
    if body.size_hint().lower() > max_bytes as u64 {
        return false;
    }
    let mut body = Limited::new(body, max_bytes);
    let read = async {
        while let Some(frame) = body.frame().await {
            if frame.is_err() {
                return false;
            }
        }
        true
    };
    within(timeout, read).await.unwrap_or(false)
}

/// Whether the caller sends its body only after `100 Continue`.
pub(crate) fn waits_to_continue(headers: &HeaderMap) -> bool {
    let expected = headers.get(EXPECT).map(HeaderValue::as_bytes);
    expected.is_some_and(|value| value.eq_ignore_ascii_case(b"100-continue"))
}

/// Returns the body's length by the `content-length` header.
fn declared_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
