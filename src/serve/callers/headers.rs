//! Parses and checks the headers with which a caller sets options of its request.

use http::HeaderMap;
use snafu::Snafu;
use strum::VariantNames;

use crate::decide::Priority;
use crate::schema::config::Account;

/// Identifies repeats of one request; at most [`MAX_KEY_BYTES`] of visible ASCII.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// "urgent", "normal" or "batch".
pub(crate) const PRIORITY: &str = "x-priority";
/// The request's deadline, in milliseconds from its receipt.
pub(crate) const DEADLINE_MS: &str = "x-deadline-ms";

/// The longest idempotency key. Keys are written to the platform's log with their claims.
pub(crate) const MAX_KEY_BYTES: usize = 255;
/// One hour: no caller waits longer, and a larger value is a mistake of units.
pub(crate) const MAX_DEADLINE_MS: u64 = 3_600_000;
/// More headers than common clients send.
pub(crate) const MAX_HEADERS: usize = 64;

/// Bytes that each header line needs beyond its name and value: colon, space and line end.
const LINE_BYTES: usize = 4;

/// Why a caller's headers are refused.
#[derive(Debug, PartialEq, Snafu)]
pub(crate) enum HeaderError {
    #[snafu(display("headers: {bytes} bytes exceed the limit of {max}"))]
    TooLarge { bytes: usize, max: usize },
    #[snafu(display("headers: {count} lines exceed the limit of {MAX_HEADERS}"))]
    TooMany { count: usize },
    #[snafu(display("{name}: given more than once"))]
    Repeated { name: &'static str },
    #[snafu(display("{name}: must be 1 to {MAX_KEY_BYTES} visible ASCII characters"))]
    NotText { name: &'static str },
    #[snafu(display("{PRIORITY}: must be one of {}", Priority::VARIANTS.join(", ")))]
    UnknownPriority,
    #[snafu(display("{DEADLINE_MS}: must be a whole number from 1 to {MAX_DEADLINE_MS}"))]
    BadDeadline,
}

impl HeaderError {
    /// Whether a size limit was exceeded, rather than a value malformed.
    pub(crate) fn is_size_limit(&self) -> bool {
        matches!(self, Self::TooLarge { .. } | Self::TooMany { .. })
    }
}

/// Options that a caller sets by header.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct RequestOptions {
    pub(crate) idempotency_key: String,
    pub(crate) priority: Priority,
    pub(crate) deadline_ms: u64,
}

/// Checks the limits on the number and size of a request's headers.
pub(crate) fn check_size(headers: &HeaderMap, max_bytes: usize) -> Result<(), HeaderError> {
    let count = headers.len();
    if count > MAX_HEADERS {
        return TooManySnafu { count }.fail();
    }
    let line = |name: &str, value: &[u8]| name.len() + value.len() + LINE_BYTES;
    let bytes: usize = headers
        .iter()
        .map(|(name, value)| line(name.as_str(), value.as_bytes()))
        .sum();
    if bytes > max_bytes {
        return TooLargeSnafu {
            bytes,
            max: max_bytes,
        }
        .fail();
    }
    Ok(())
}

/// Parses the caller's options; a priority above the account's own is lowered to it.
pub(crate) fn options(
    headers: &HeaderMap,
    account: &Account,
    default_deadline_ms: u64,
) -> Result<RequestOptions, HeaderError> {
    let requested = match single(headers, PRIORITY)? {
        None => Priority::default(),
        Some(text) => text.parse().map_err(|_| HeaderError::UnknownPriority)?,
    };
    let deadline_ms = match single(headers, DEADLINE_MS)? {
        None => default_deadline_ms,
        Some(text) => deadline(text)?,
    };
    Ok(RequestOptions {
        idempotency_key: single(headers, IDEMPOTENCY_KEY)?
            .unwrap_or_default()
            .to_owned(),
        // The order is from most to least urgent.
        priority: requested.max(allowed_priority(account)),
        deadline_ms,
    })
}

/// Returns the most urgent priority that `account` may use; "normal" if none is set.
pub(crate) fn allowed_priority(account: &Account) -> Priority {
    account.priority.parse().unwrap_or_default()
}

fn deadline(text: &str) -> Result<u64, HeaderError> {
    let digits = text.bytes().all(|b| b.is_ascii_digit());
    let ms = text.parse().ok().filter(|_| digits);
    ms.filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms))
        .ok_or(HeaderError::BadDeadline)
}

/// Returns the value of a header that may occur at most once.
fn single<'h>(headers: &'h HeaderMap, name: &'static str) -> Result<Option<&'h str>, HeaderError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return RepeatedSnafu { name }.fail();
    }
    let text = value.to_str().ok();
    let fits = |t: &&str| (1..=MAX_KEY_BYTES).contains(&t.len());
    text.filter(fits)
        .map(Some)
        .ok_or(HeaderError::NotText { name })
}

#[cfg(test)]
#[path = "headers_tests.rs"]
mod headers_tests;
