//! Forwards answers to callers: buffered, or event by event.

use std::io;

use bytes::Bytes;
use futures_util::future::{Either, select};
use futures_util::pin_mut;
use http::header::{CONNECTION, CONTENT_LENGTH, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use http::response::Parts;
use http::{HeaderMap, Response};
use tokio::sync::mpsc;

use crate::event::Kind;
use crate::front::body::Answer;
use crate::path::attempts::{Attempts, UpstreamAnswer};
use crate::path::call::Reply;
use crate::path::dialect::{Dialect, Records};
use crate::path::refusal::Refused;
use crate::path::stream::{EventStream, clone_head, describe};
use crate::stats::Tally;

/// Number of chunks buffered for a caller that reads slowly.
const CHANNEL_CAPACITY: usize = 16;

/// Forwards an upstream's answer to the caller.
///
/// # Errors
/// Returns the refusal of a stream that broke off before its first event and can't go on.
pub(crate) async fn forward<D: Dialect + Records>(
    attempts: Attempts<D>,
    answered: UpstreamAnswer,
    tally: &mut Tally,
) -> Result<Response<Answer>, Refused> {
    match answered {
        UpstreamAnswer::Buffered(reply) => {
            attempts.emit(
                Kind::RequestAnswered,
                &reply.sender,
                reply.parts.status.as_str(),
            );
            tally.first_byte();
            tally.ended(true);
            // An upstream may fail a request that it hasn't begun to run.
            if !reply.parts.status.is_server_error() {
                attempts.record_answered();
            }
            if reply.parts.status.is_success() {
                attempts.record_duration();
            }
            let response = respond(reply.parts, Answer::whole(reply.body));
            Ok(with_delegated_head(response, &attempts))
        }
        UpstreamAnswer::Stream(reply) => stream(attempts, reply, tally).await,
    }
}

fn respond(parts: Parts, body: Answer) -> Response<Answer> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers;
    drop_hop_headers(response.headers_mut());
    response
}

/// Removes hop-by-hop headers.
pub(crate) fn drop_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        CONTENT_LENGTH,
    ] {
        headers.remove(name);
    }
    for name in [
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
    ] {
        headers.remove(name);
    }
}

/// Begins a streamed answer once its first events have arrived: until then, a refusal can be sent instead.
///
/// Failure guarded against: an upstream sends its head and breaks off. With the head already handed to the
/// connection, the caller's connection ends without an answer.
async fn stream<D: Dialect + Records>(
    attempts: Attempts<D>,
    reply: Reply,
    tally: &mut Tally,
) -> Result<Response<Answer>, Refused> {
    let mut events = EventStream::new(attempts, reply);
    let first = events.next().await?;
    events.leave_attempt_to_sender();
    let response = respond(clone_head(events.head()), Answer::Whole(None));
    let response = with_delegated_head(response, events.attempts());
    tally.first_byte();
    let (tx, rx) = mpsc::channel(CHANNEL_CAPACITY);
    let tally = tally.take();
    compio::runtime::spawn(relay(events, first, tx, tally)).detach();
    Ok(response.map(|_| Answer::Stream(rx)))
}

/// Adds what the router is told that delegated the request, if one did.
fn with_delegated_head<D: Dialect + Records>(
    mut response: Response<Answer>,
    attempts: &Attempts<D>,
) -> Response<Answer> {
    if let Some(head) = attempts.delegated_head() {
        response.extensions_mut().insert(head);
    }
    response
}

/// Forwards events, `next` first, until the stream ends or the caller disconnects.
async fn relay<D: Dialect + Records>(
    mut events: EventStream<D>,
    first: Option<Bytes>,
    tx: mpsc::Sender<io::Result<Bytes>>,
    mut tally: Tally,
) {
    let mut next = Ok(first);
    loop {
        match next {
            Ok(Some(bytes)) => {
                if tx.send(Ok(bytes)).await.is_err() {
                    break;
                }
            }
            Ok(None) => return tally.ended(true),
            Err(refused) => {
                tally.ended(false);
                events.emit(Kind::RequestCut, &describe(&refused));
                // The body ends without its terminator, so the caller detects the truncation.
                let _ = tx.send(Err(io::Error::other(refused.detail))).await;
                return;
            }
        }
        next = {
            let following = events.next();
            let closed = tx.closed();
            pin_mut!(following, closed);
            match select(following, closed).await {
                Either::Left((following, _)) => following,
                Either::Right(_) => break,
            }
        };
    }
    events.emit(Kind::RequestCancelled, "caller closed its connection");
}
