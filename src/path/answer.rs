//! Forwards answers to callers: buffered, or event by event with resumption of streams that break
//! off.

use std::io;
use std::time::Duration;

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
use crate::path::events::Splitter;
use crate::stats::Tally;

/// Number of chunks buffered for a caller that reads slowly.
const CHANNEL_CAPACITY: usize = 16;
/// A silent upstream is abandoned after this multiple of the objective for the gap between events,
/// if another upstream can resume the stream.
const GAP_TIMEOUT_FACTOR: u64 = 3;
/// Lower bound of that time: an upstream that processes a long prompt pauses all its streams.
const MIN_GAP_TIMEOUT: Duration = Duration::from_millis(900);

/// Forwards an upstream's answer to the caller.
pub(crate) fn forward<D: Dialect + Records>(
    attempts: Attempts<D>,
    answered: UpstreamAnswer,
    mut tally: Tally,
) -> Response<Answer> {
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
            respond(reply.parts, Answer::whole(reply.body))
        }
        UpstreamAnswer::Stream(reply) => stream(attempts, reply, tally),
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

fn stream<D: Dialect + Records>(
    attempts: Attempts<D>,
    reply: Reply,
    tally: Tally,
) -> Response<Answer> {
    tally.first_byte();
    let parts = clone_parts(&reply.parts);
    let (tx, rx) = mpsc::channel(CHANNEL_CAPACITY);
    compio::runtime::spawn(async move {
        let mut relay = StreamRelay::new(attempts, tx, tally);
        if let Err(reason) = relay.run(reply).await {
            // The body ends without its terminator, so the caller detects the truncation.
            let _ = relay.tx.send(Err(io::Error::other(reason))).await;
        }
    })
    .detach();
    respond(parts, Answer::Stream(rx))
}

fn clone_parts(parts: &Parts) -> Parts {
    let mut response = Response::new(());
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers.clone();
    response.into_parts().0
}

/// Streamed answer, which several upstreams may produce in turn.
struct StreamRelay<D> {
    attempts: Attempts<D>,
    splitter: Splitter,
    tx: mpsc::Sender<io::Result<Bytes>>,
    resume_after: Option<u64>,
    tally: Tally,
}

/// How the part of a stream that one upstream produced ended.
enum StreamEnd {
    Complete,
    Broken(String),
    CallerDisconnected,
    DeadlineExceeded,
}

impl<D: Dialect + Records> StreamRelay<D> {
    fn new(attempts: Attempts<D>, tx: mpsc::Sender<io::Result<Bytes>>, tally: Tally) -> Self {
        let resume_after = attempts.context.head.resume_after;
        Self {
            attempts,
            splitter: Splitter::after(resume_after),
            tx,
            resume_after,
            tally,
        }
    }

    /// Forwards events until the stream is complete. The error is the reason for aborting it.
    async fn run(&mut self, mut reply: Reply) -> Result<(), &'static str> {
        loop {
            let (upstream, sender) = (reply.upstream().cloned(), reply.sender().clone());
            match self.forward_events(&mut reply).await {
                StreamEnd::Complete => {
                    reply.finish();
                    self.tally.ended(true);
                    self.attempts.record_answered();
                    self.attempts
                        .emit(Kind::RequestAnswered, &sender, "stream complete");
                    return Ok(());
                }
                StreamEnd::CallerDisconnected => {
                    self.attempts.emit(
                        Kind::RequestCancelled,
                        &sender,
                        "caller closed its connection",
                    );
                    return Ok(());
                }
                StreamEnd::DeadlineExceeded => {
                    self.abort(&sender, "deadline passed during the stream");
                    return Err("deadline passed during the stream");
                }
                StreamEnd::Broken(reason) => {
                    // Releases the slot at the upstream before another one resumes the stream.
                    drop(reply);
                    if let Some(upstream) = upstream {
                        self.attempts.record_broken_answer(&upstream, &reason);
                    }
                    self.attempts.emit(Kind::RequestRetried, &sender, &reason);
                }
            }
            let may_resume = self.attempts.context.path.state.decisions().resume;
            if !may_resume || !self.attempts.may_retry() {
                self.abort(
                    &sender,
                    "stream broke off and may not be resumed at another upstream",
                );
                return Err("stream broke off and was not resumed");
            }
            reply = self.resume().await?;
        }
    }

    /// Continues the stream at another upstream, after the last event that was forwarded.
    async fn resume(&mut self) -> Result<Reply, &'static str> {
        self.splitter.discard_partial();
        let after = self.splitter.last_id().or(self.resume_after);
        match self.attempts.next(after).await {
            Ok(reply) if reply.parts.status.is_success() => {
                self.attempts.emit(
                    Kind::RequestResumed,
                    reply.sender(),
                    &format!("after event {after:?}"),
                );
                Ok(reply)
            }
            Ok(reply) => {
                let status = reply.parts.status;
                self.abort(reply.sender(), status.as_str());
                Err("upstream answered the attempt to resume the stream with an error status")
            }
            Err(refused) => {
                let cause: &'static str = refused.cause.into();
                self.abort("", cause);
                Err("no upstream available to resume the stream")
            }
        }
    }

    fn abort(&mut self, upstream: &str, reason: &str) {
        self.tally.ended(false);
        self.attempts.emit(Kind::RequestCut, upstream, reason);
    }

    async fn forward_events(&mut self, reply: &mut Reply) -> StreamEnd {
        loop {
            let timeout = self.event_timeout();
            let next = {
                let next = compio::time::timeout(timeout, reply.next());
                let closed = self.tx.closed();
                pin_mut!(next, closed);
                match select(next, closed).await {
                    Either::Left((next, _)) => next,
                    Either::Right(_) => return StreamEnd::CallerDisconnected,
                }
            };
            let bytes = match next {
                Ok(Some(Ok(bytes))) => bytes,
                Ok(Some(Err(e))) => return StreamEnd::Broken(e.to_string()),
                Ok(None) if self.splitter.has_partial() => {
                    return StreamEnd::Broken("stream ended within an event".to_owned());
                }
                Ok(None) => return StreamEnd::Complete,
                Err(_) if self.attempts.remaining().is_zero() => {
                    return StreamEnd::DeadlineExceeded;
                }
                Err(_) => {
                    return StreamEnd::Broken(format!(
                        "no data from the upstream for {} ms",
                        timeout.as_millis()
                    ));
                }
            };
            let Some(events) = self.splitter.push(bytes) else {
                return StreamEnd::Broken("an event exceeds the size limit".to_owned());
            };
            if events.is_empty() {
                continue;
            }
            if let Some(upstream) = reply.upstream() {
                self.attempts.record_first_event(upstream);
            }
            if self.tx.send(Ok(events)).await.is_err() {
                return StreamEnd::CallerDisconnected;
            }
        }
    }

    /// Returns the time limit for the next event.
    fn event_timeout(&self) -> Duration {
        let remaining = self.attempts.remaining();
        if !self.attempts.may_retry() {
            return remaining;
        }
        let gap_ms = self.attempts.context.route.gap_objective_ms;
        let timeout = Duration::from_millis(gap_ms * GAP_TIMEOUT_FACTOR);
        timeout.max(MIN_GAP_TIMEOUT).min(remaining)
    }
}
