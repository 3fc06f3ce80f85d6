//! Which heads are those of a final answer.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderMap, HeaderValue, StatusCode};
use snafu::{Snafu, ensure};

const CHUNKED: &[u8] = b"chunked";
/// First status beyond the classes that HTTP defines.
const END_OF_STATUSES: u16 = 600;

/// Why a head is none of a final answer, or its body has no known extent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub(crate) enum NoAnswer {
    #[snafu(display("status {status} is none of a final answer"))]
    Status { status: StatusCode },
    #[snafu(display("the transfer coding isn't chunked alone"))]
    TransferCoding,
    #[snafu(display("the body has both a length and a transfer coding"))]
    TwoFramings,
}

/// Checks what the HTTP library leaves to its user.
///
/// Failure guarded against: an upstream in trouble sends a status outside the classes, switches to another
/// protocol unasked, or names a coding that nobody undoes, and its caller gets the bytes as an answer.
pub(crate) fn check(parts: &Parts) -> Result<(), NoAnswer> {
    let status = parts.status;
    let is_final = (StatusCode::OK.as_u16()..END_OF_STATUSES).contains(&status.as_u16());
    ensure!(is_final, StatusSnafu { status });
    check_framing(&parts.headers)
}

fn check_framing(headers: &HeaderMap) -> Result<(), NoAnswer> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return Ok(());
    };
    ensure!(
        is_chunked(coding) && codings.next().is_none(),
        TransferCodingSnafu
    );
    ensure!(!headers.contains_key(CONTENT_LENGTH), TwoFramingsSnafu);
    Ok(())
}

fn is_chunked(coding: &HeaderValue) -> bool {
    coding.as_bytes().trim_ascii().eq_ignore_ascii_case(CHUNKED)
}
