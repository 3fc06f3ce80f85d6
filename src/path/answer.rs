//! Answers on their way to the caller: whole, or event by event, picked up where one breaks off.

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
use crate::path::attempts::{Answered, Attempts};
use crate::path::call::Reply;
use crate::path::dialect::{Dialect, Records};
use crate::path::events::Splitter;
use crate::stats::Tally;

/// Pieces that may wait for a caller that reads slowly.
const CHANNEL: usize = 16;
/// Times the pause between events that callers want kept, after which a silent upstream is given up
/// if another can go on.
const SILENCE_FACTOR: u64 = 3;
/// Never sooner than this: an upstream that reads a long prompt pauses for all.
const MIN_SILENCE: Duration = Duration::from_millis(900);

/// Passes an upstream's answer on.
pub(crate) fn pass<D: Dialect + Records>(
    attempts: Attempts<D>,
    answered: Answered,
    mut tally: Tally,
) -> Response<Answer> {
    match answered {
        Answered::Whole(whole) => {
            attempts.note(
                Kind::RequestAnswered,
                &whole.upstream,
                whole.parts.status.as_str(),
            );
            tally.first_byte();
            tally.ended(true);
            let asked = &attempts.asked;
            asked.path.state.answered_request(asked.fingerprint);
            respond(whole.parts, Answer::whole(whole.body))
        }
        Answered::Stream(reply) => stream(attempts, reply, tally),
    }
}

fn respond(parts: Parts, body: Answer) -> Response<Answer> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers;
    drop_hop_headers(response.headers_mut());
    response
}

/// Takes out what concerns one connection only.
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
    let (tx, rx) = mpsc::channel(CHANNEL);
    compio::runtime::spawn(async move {
        let mut run = StreamRun::new(attempts, tx, tally);
        if let Err(why) = run.relay(reply).await {
            // No end mark follows: the caller sees that the answer is cut.
            let _ = run.tx.send(Err(io::Error::other(why))).await;
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

/// One streamed answer, over all upstreams that give parts of it.
struct StreamRun<D> {
    attempts: Attempts<D>,
    splitter: Splitter,
    tx: mpsc::Sender<io::Result<Bytes>>,
    events_from: Option<u64>,
    tally: Tally,
}

/// How one upstream's part of a stream ended.
enum Ended {
    Whole,
    Broken(String),
    CallerGone,
    OutOfTime,
}

impl<D: Dialect + Records> StreamRun<D> {
    fn new(attempts: Attempts<D>, tx: mpsc::Sender<io::Result<Bytes>>, tally: Tally) -> Self {
        let events_from = attempts.asked.head.resume_after;
        Self {
            attempts,
            splitter: Splitter::after(events_from),
            tx,
            events_from,
            tally,
        }
    }

    /// Passes events on until the stream is whole. The error says why it must be cut.
    async fn relay(&mut self, mut reply: Reply) -> Result<(), &'static str> {
        loop {
            let upstream = reply.upstream.clone();
            match self.pass_events(&mut reply).await {
                Ended::Whole => {
                    reply.ended();
                    self.tally.ended(true);
                    let asked = &self.attempts.asked;
                    asked.path.state.answered_request(asked.fingerprint);
                    self.attempts
                        .note(Kind::RequestAnswered, &upstream.id, "stream whole");
                    return Ok(());
                }
                Ended::CallerGone => {
                    self.attempts
                        .note(Kind::RequestCancelled, &upstream.id, "the caller went");
                    return Ok(());
                }
                Ended::OutOfTime => {
                    self.cut(&upstream.id, "no time left");
                    return Err("the deadline has passed");
                }
                Ended::Broken(why) => {
                    // Frees the upstream before another one goes on.
                    drop(reply);
                    let path = &self.attempts.asked.path;
                    let (fingerprint, now_ms) =
                        (self.attempts.asked.fingerprint, path.clock.now_ms());
                    path.state.failed(&upstream, &why, now_ms);
                    path.state.lost_answer(&upstream.id, fingerprint, now_ms);
                    self.attempts.note(Kind::RequestRetried, &upstream.id, &why);
                }
            }
            let may_resume = self.attempts.asked.path.state.decisions().resume;
            if !may_resume || !self.attempts.may_run_again() {
                self.cut(
                    &upstream.id,
                    "the stream broke off and may not go on elsewhere",
                );
                return Err("the stream broke off");
            }
            reply = self.resume().await?;
        }
    }

    /// Another upstream's stream from the event after the last that was passed on.
    async fn resume(&mut self) -> Result<Reply, &'static str> {
        self.splitter.drop_rest();
        let after = self.splitter.last_id().or(self.events_from);
        match self.attempts.next(after).await {
            Ok(reply) if reply.parts.status.is_success() => {
                self.attempts.note(
                    Kind::RequestResumed,
                    &reply.upstream.id,
                    &format!("after event {after:?}"),
                );
                Ok(reply)
            }
            Ok(reply) => {
                let status = reply.parts.status;
                self.cut(&reply.upstream.id, status.as_str());
                Err("the stream can't be resumed")
            }
            Err(refused) => {
                let cause: &'static str = refused.cause.into();
                self.cut("", cause);
                Err("no upstream resumes the stream")
            }
        }
    }

    fn cut(&mut self, upstream: &str, why: &str) {
        self.tally.ended(false);
        self.attempts.note(Kind::RequestCut, upstream, why);
    }

    async fn pass_events(&mut self, reply: &mut Reply) -> Ended {
        loop {
            let wait = self.wait();
            let next = {
                let next = compio::time::timeout(wait, reply.next());
                let gone = self.tx.closed();
                pin_mut!(next, gone);
                match select(next, gone).await {
                    Either::Left((next, _)) => next,
                    Either::Right(_) => return Ended::CallerGone,
                }
            };
            let bytes = match next {
                Ok(Some(Ok(bytes))) => bytes,
                Ok(Some(Err(e))) => return Ended::Broken(e.to_string()),
                Ok(None) if self.splitter.has_rest() => {
                    return Ended::Broken("ended in mid-event".to_owned());
                }
                Ok(None) => return Ended::Whole,
                Err(_) if self.attempts.remaining().is_zero() => return Ended::OutOfTime,
                Err(_) => return Ended::Broken(format!("silent for {} ms", wait.as_millis())),
            };
            let Some(whole) = self.splitter.push(bytes) else {
                return Ended::Broken("an event is too long".to_owned());
            };
            if !whole.is_empty() && self.tx.send(Ok(whole)).await.is_err() {
                return Ended::CallerGone;
            }
        }
    }

    /// How long the next event may take.
    fn wait(&self) -> Duration {
        let remaining = self.attempts.remaining();
        if !self.attempts.may_run_again() {
            return remaining;
        }
        let gap_ms = self.attempts.asked.route.gap_objective_ms;
        let silence = Duration::from_millis(gap_ms * SILENCE_FACTOR);
        silence.max(MIN_SILENCE).min(remaining)
    }
}
