//! Limit of informational responses before an answer.
//!
//! Failure guarded against: an upstream sends such responses without end. The HTTP library skips
//! them for as long as they arrive and doesn't yield meanwhile: the requests of all other callers
//! wait, and not even the time limit of the call is checked.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use http::{HeaderMap, Request};

use crate::http1::connection::MAX_HEAD_BYTES;

/// Most bytes of informational responses before one answer: those of the largest head. The router
/// asks for none, and an upstream that reports its progress in this way needs some 30 bytes a time.
const MAX_BYTES: usize = MAX_HEAD_BYTES;
/// Length of such a response without headers, and of what surrounds a header.
const STATUS_LINE_BYTES: usize = "HTTP/1.1 100 \r\n\r\n".len();
const SEPARATOR_BYTES: usize = ": \r\n".len();

/// Number of bytes of informational responses since the last request was sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Informational {
    bytes: Arc<AtomicUsize>,
}

impl Informational {
    /// Counts the responses before the answer to `request`, beginning with zero.
    pub(super) fn count_before_answer<B>(&self, request: &mut Request<B>) {
        self.bytes.store(0, Ordering::Relaxed);
        let bytes = self.bytes.clone();
        hyper::ext::on_informational(request, move |response| {
            bytes.fetch_add(head_bytes(response.headers()), Ordering::Relaxed);
        });
    }

    pub(super) fn is_excessive(&self) -> bool {
        self.bytes.load(Ordering::Relaxed) > MAX_BYTES
    }
}

fn head_bytes(headers: &HeaderMap) -> usize {
    let headers = headers.iter();
    let bytes = headers.map(|(name, value)| name.as_str().len() + value.len() + SEPARATOR_BYTES);
    STATUS_LINE_BYTES + bytes.sum::<usize>()
}
