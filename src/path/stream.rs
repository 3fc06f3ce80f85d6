//! Events of one streamed answer, which several upstreams may produce in turn.
//!
//! An upstream that breaks off, or a router that its answer passes through, is replaced by one that resumes
//! after the last whole event. An upstream that falls silent may be alive: its answer is kept until another
//! upstream has begun to answer.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::{Either, select};
use futures_util::pin_mut;
use http::Response;
use http::response::Parts;

use crate::decide::refusal::Cause;
use crate::event::Kind;
use crate::path::attempts::Attempts;
use crate::path::call::{BodyError, Reply};
use crate::path::dialect::{Dialect, Records};
use crate::path::events::Splitter;
use crate::path::refusal::Refused;
use crate::stats;
use crate::time_limit::within;

/// Another upstream is sought after silence for this multiple of the objective for the gap between events.
const SILENCE_FACTOR: u64 = 3;
/// Lower bound of that time: a sound upstream may be silent for a second or so, and some callers give up
/// after two.
const MIN_SILENCE: Duration = Duration::from_millis(1_500);

/// An event that isn't complete after this multiple of that time never will be.
const EVENT_FACTOR: u32 = 2;

/// Streamed answer to one request.
pub(crate) struct EventStream<D> {
    attempts: Attempts<D>,
    /// Head of the answer that is or was read last.
    head: Parts,
    /// `None` once the stream has ended.
    reply: Option<Reply>,
    splitter: Splitter,
    resume_after: Option<u64>,
}

/// Next chunk of an answer, or `None` at its end.
type Chunk = Option<Result<Bytes, BodyError>>;

/// What an upstream's answer did next.
enum Progress {
    Bytes(Bytes),
    End,
    Broken(String),
    DeadlineExceeded,
}

/// What came first while an upstream was silent.
enum Sought {
    /// It sent this.
    WentOn(Chunk),
    /// Another attempt was answered or refused.
    Answered {
        answer: Result<Reply, Refused>,
        /// Whether the silent answer broke off meanwhile.
        is_broken: bool,
    },
}

impl<D: Dialect + Records> EventStream<D> {
    /// Creates the stream that `reply`, of which only the head has been read, begins.
    pub(crate) fn new(attempts: Attempts<D>, reply: Reply) -> Self {
        let resume_after = attempts.context.head.resume_after;
        Self {
            attempts,
            head: clone_head(&reply.parts),
            reply: Some(reply),
            splitter: Splitter::after(resume_after),
            resume_after,
        }
    }

    /// Head of the answer that is or was read last.
    pub(crate) fn head(&self) -> &Parts {
        &self.head
    }

    pub(crate) fn attempts(&self) -> &Attempts<D> {
        &self.attempts
    }

    pub(crate) fn leave_attempt_to_sender(&mut self) {
        self.attempts.leave_attempt_to_sender();
    }

    /// Returns the next whole events, or `None` once the stream is complete.
    ///
    /// # Errors
    /// Returns why the stream can't go on.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, Refused> {
        let started = Instant::now();
        loop {
            let reason = match self.progress().await? {
                Progress::End => {
                    self.finish();
                    return Ok(None);
                }
                Progress::Bytes(bytes) => match self.splitter.push(bytes) {
                    Some(events) if events.is_empty() => match self.unfinished(started) {
                        Some(reason) => reason,
                        None => continue,
                    },
                    Some(events) => {
                        self.record_first_event().await;
                        return Ok(Some(events));
                    }
                    None => "an event exceeds the size limit".to_owned(),
                },
                Progress::Broken(reason) => reason,
                Progress::DeadlineExceeded => {
                    let detail = "deadline passed during the stream".to_owned();
                    return Err(self.attempts.refuse(Cause::Deadline, detail));
                }
            };
            self.resume(reason).await?;
        }
    }

    /// Returns why the stream is given up if an event that began after `started` takes too long.
    ///
    /// Failure guarded against: an upstream sends an event that never ends, a byte at a time.
    fn unfinished(&self, started: Instant) -> Option<String> {
        let limit = self.silence_limit() * EVENT_FACTOR;
        let is_late = may_resume(&self.attempts) && started.elapsed() >= limit;
        is_late.then(|| format!("no whole event within {} ms", limit.as_millis()))
    }

    /// Binds the rest of the stream to the software version of the upstream that is read, unless an earlier
    /// event did.
    async fn record_first_event(&mut self) {
        let upstream = self.reply.as_ref().and_then(Reply::upstream).cloned();
        if let Some(upstream) = upstream {
            self.attempts.record_first_event(&upstream).await;
        }
    }

    /// Returns how long the sender may be silent before another one is sought. A router that runs the request
    /// in place of this one seeks another upstream itself.
    fn silence_limit(&self) -> Duration {
        let attempts = &self.attempts;
        let remaining = attempts.remaining();
        let is_upstream = self.reply.as_ref().is_some_and(|r| r.upstream().is_some());
        if !is_upstream || !may_resume(attempts) {
            return remaining;
        }
        let gap_ms = attempts.context.route.gap_objective_ms;
        let limit = Duration::from_millis(gap_ms * SILENCE_FACTOR);
        limit.max(MIN_SILENCE).min(remaining)
    }

    /// Waits until the upstream sends something or ends.
    async fn progress(&mut self) -> Result<Progress, Refused> {
        loop {
            let silence = self.silence_limit();
            let Some(reply) = &mut self.reply else {
                return Ok(Progress::End);
            };
            match within(silence, reply.next()).await {
                Ok(chunk) => return Ok(self.classify(chunk)),
                Err(_) if self.attempts.remaining().is_zero() => {
                    return Ok(Progress::DeadlineExceeded);
                }
                Err(_) => {}
            }
            if let Some(chunk) = self.seek_replacement(silence).await? {
                return Ok(self.classify(chunk));
            }
        }
    }

    fn classify(&self, chunk: Chunk) -> Progress {
        match chunk {
            Some(Ok(bytes)) => Progress::Bytes(bytes),
            Some(Err(e)) => Progress::Broken(e.to_string()),
            None if self.splitter.has_partial() => {
                Progress::Broken("stream ended within an event".to_owned())
            }
            None => Progress::End,
        }
    }

    /// Lets another upstream go on in place of one that has been silent for `silence`, if one can. Returns
    /// what the silent one sends meanwhile.
    ///
    /// Failure guarded against: the answer of a live upstream is dropped, and then the retry budget or the
    /// lack of an eligible upstream refuses the next attempt. The caller loses a stream that would have gone
    /// on.
    async fn seek_replacement(&mut self, silence: Duration) -> Result<Option<Chunk>, Refused> {
        // Two runs of a request that may crash its upstreams must not overlap.
        if self.attempts.is_isolated() {
            return Ok(None);
        }
        let sought = self.race().await;
        let reason = format!("no data from the upstream for {} ms", silence.as_millis());
        match sought {
            Sought::WentOn(chunk) => {
                self.attempts.abandon_call();
                stats::silent_answer("went_on");
                return Ok(Some(chunk));
            }
            Sought::Answered {
                answer: Ok(reply), ..
            } if reply.parts.status.is_success() => {
                stats::silent_answer("replaced");
                self.give_up(&reason);
                self.go_on_with(reply);
            }
            Sought::Answered {
                is_broken: true, ..
            } => self.resume(reason).await?,
            Sought::Answered { answer, .. } => self.keep(&reason, answer),
        }
        Ok(None)
    }

    /// Seeks another upstream while the current one is silent.
    async fn race(&mut self) -> Sought {
        let after = self.resume_point();
        let has_partial = self.splitter.has_partial();
        let Some(reply) = self.reply.as_mut() else {
            return Sought::WentOn(None);
        };
        let kept = reply.sender().clone();
        let sent = reply.next();
        let replacement = self.attempts.next_beside(kept, after);
        pin_mut!(sent, replacement);
        let replacement = match select(sent, replacement).await {
            Either::Right((answer, _)) => {
                return Sought::Answered {
                    answer,
                    is_broken: false,
                };
            }
            Either::Left((Some(Err(_)), replacement)) => replacement,
            Either::Left((None, replacement)) if has_partial => replacement,
            Either::Left((chunk, _)) => return Sought::WentOn(chunk),
        };
        Sought::Answered {
            answer: replacement.await,
            is_broken: true,
        }
    }

    /// Goes on waiting for an upstream that is silent, as no other one gave a usable `answer`.
    fn keep(&self, reason: &str, answer: Result<Reply, Refused>) {
        stats::silent_answer("kept");
        if let Some(upstream) = self.reply.as_ref().and_then(Reply::upstream) {
            self.attempts.record_silence(upstream, reason);
        }
        let refused = describe(&self.refused_replacement(answer));
        let detail = format!("{reason}, and no other upstream: {refused}");
        self.emit(Kind::RequestKept, &detail);
    }

    /// Continues the stream at another upstream after the current one broke off because of `reason`.
    async fn resume(&mut self, reason: String) -> Result<(), Refused> {
        // Releases the slot at the upstream before another one resumes the stream.
        self.give_up(&reason);
        if !may_resume(&self.attempts) {
            let detail = format!("{reason}; the stream may not be resumed");
            return Err(self.attempts.refuse(Cause::UpstreamFailed, detail));
        }
        let after = self.resume_point();
        match self.attempts.next(after).await {
            Ok(reply) if reply.parts.status.is_success() => {
                self.go_on_with(reply);
                Ok(())
            }
            answered => Err(self.refused_replacement(answered)),
        }
    }

    /// Drops the current answer and records that it broke off.
    fn give_up(&mut self, reason: &str) {
        let Some(reply) = self.reply.take() else {
            return;
        };
        let (upstream, sender) = (reply.upstream().cloned(), reply.sender().clone());
        drop(reply);
        if let Some(upstream) = upstream {
            self.attempts.record_broken_answer(&upstream, reason);
        }
        self.attempts.emit(Kind::RequestRetried, &sender, reason);
    }

    fn go_on_with(&mut self, reply: Reply) {
        self.splitter.discard_partial();
        let after = self.resume_point();
        let detail = format!("after event {after:?}");
        self.attempts
            .emit(Kind::RequestResumed, reply.sender(), &detail);
        self.head = clone_head(&reply.parts);
        self.reply = Some(reply);
    }

    fn refused_replacement(&self, answer: Result<Reply, Refused>) -> Refused {
        match answer {
            Err(refused) => refused,
            Ok(reply) => {
                let status = reply.parts.status;
                let detail = format!("{} answered {status}", reply.sender());
                self.attempts.refuse(Cause::UpstreamFailed, detail)
            }
        }
    }

    fn finish(&mut self) {
        let Some(reply) = self.reply.take() else {
            return;
        };
        let sender = reply.sender().clone();
        reply.finish();
        self.attempts.record_answered();
        self.attempts.record_duration();
        self.attempts
            .emit(Kind::RequestAnswered, &sender, "stream complete");
    }

    /// Last event that was forwarded, or that the caller received before.
    fn resume_point(&self) -> Option<u64> {
        self.splitter.last_id().or(self.resume_after)
    }

    /// Emits an event about the answer that is being read.
    pub(crate) fn emit(&self, kind: Kind, reason: &str) {
        let sender = self.reply.as_ref().map_or("", |reply| &**reply.sender());
        self.attempts.emit(kind, sender, reason);
    }
}

/// Describes why a stream can't go on.
pub(crate) fn describe(refused: &Refused) -> String {
    let cause: &'static str = refused.cause.into();
    format!("{cause}: {}", refused.detail)
}

fn may_resume<D: Dialect + Records>(attempts: &Attempts<D>) -> bool {
    attempts.context.path.state.decisions().resume && attempts.may_retry()
}

/// Copies status and headers.
pub(crate) fn clone_head(parts: &Parts) -> Parts {
    let mut response = Response::new(());
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers.clone();
    response.into_parts().0
}
