//! Resumes a chat's answer when its engine or home fails during the answer.
//!
//! The answer continues at the same engine by offset if that still has the stream, otherwise at
//! another engine with the text already delivered as a forced prefix. The router that received the
//! request counts the chunks, so none is lost or sent twice.

use std::time::Duration;

use futures_util::future::{Either, select};
use futures_util::pin_mut;
use rand::Rng;
use serde_json::Value;
use tokio::sync::mpsc;

use crate::decide::refusal::RunState;
use crate::event::Kind;
use crate::front::body::recv_while_open;
use crate::peers::{Frames, refuse};
use crate::schema::peer::frame::Body;
use crate::schema::peer::{End, Forward, Refusal};
use crate::serve::SharedCtx;
use crate::serve::home::suspects;
use crate::serve::route::dispatch::{Dispatch, Started};

const CHANNEL_CAPACITY: usize = 64;

/// How often one answer may be resumed. The quarantine stops a request that crashes its engines
/// long before; this bounds the work for one that meets a faulty network or engines that answer
/// with another request's id.
const MAX_RESUMES: u32 = 4;

/// Spreads the resumptions of all streams that one engine's failure interrupts at once.
const BACKOFF_MS: u64 = 100;

/// Routes an idempotent request, and retries it if it fails before its first chunk: nothing was
/// delivered, so two runs cannot be joined in one answer.
pub(crate) async fn route(
    ctx: &SharedCtx,
    dispatch: &Dispatch,
    mut forward: Forward,
) -> Result<Started, Refusal> {
    let start_ms = ctx.clock.now_ms();
    let budget_ms = forward.remaining_ms;
    let mut tries = 0;
    let mut may_have_run = false;
    loop {
        let refused = match dispatch.route(forward.clone()).await {
            Ok(Started {
                first: Body::Refused(refused),
                ..
            }) => refused,
            Ok(started) => return Ok(resumable(ctx, dispatch, forward, started)),
            Err(refused) => refused,
        };
        let spent_ms = ctx.clock.now_ms() - start_ms;
        tries += 1;
        forward.suspicion = refused.suspicion.as_deref().cloned();
        // The dispatcher has already tried all upstreams if the request was not run.
        let is_final = refuse::is_not_run(&refused) || suspects::is_quarantined(&refused);
        may_have_run |= !refuse::is_not_run(&refused);
        if is_final || tries > MAX_RESUMES || spent_ms >= budget_ms {
            return Err(final_refusal(refused, may_have_run));
        }
        backoff(tries - 1).await;
        forward.attempt += 1;
        forward.remaining_ms = budget_ms - spent_ms;
        emit_retried(ctx, &forward, &refused.detail);
    }
}

/// Returns the last attempt's refusal with a run state that holds for all attempts. If an earlier
/// one may have run, the caller must not receive "not run" only because the last one was not.
fn final_refusal(mut refused: Refusal, may_have_run: bool) -> Refusal {
    if may_have_run && refuse::is_not_run(&refused) {
        refused.run_state = RunState::Unknown.to_string();
    }
    refused
}

/// Waits with exponential backoff and full jitter.
async fn backoff(tries: u32) {
    let pause_ms = rand::rng().random_range(0..BACKOFF_MS << tries.min(MAX_RESUMES));
    compio::time::sleep(Duration::from_millis(pause_ms)).await;
}

fn emit_retried(ctx: &SharedCtx, forward: &Forward, detail: &str) {
    ctx.events.emit_request(Kind::RequestRetried, forward, |e| {
        detail.clone_into(&mut e.detail);
    });
}

/// Wraps an answer that has started, so that it is resumed if it is interrupted.
fn resumable(ctx: &SharedCtx, dispatch: &Dispatch, forward: Forward, started: Started) -> Started {
    let Body::Head(head) = &started.first else {
        return started;
    };
    let (tx, rest) = mpsc::channel(CHANNEL_CAPACITY);
    let task = Resume {
        ctx: ctx.clone(),
        dispatch: dispatch.clone(),
        started_ms: ctx.clock.now_ms(),
        forward,
        upstream: head.upstream.clone(),
        home: head.home.clone(),
        chunks: Vec::new(),
        quarantined: None,
        tx,
    };
    compio::runtime::spawn(task.run(started.rest)).detach();
    Started {
        first: started.first,
        rest,
    }
}

struct Resume {
    ctx: SharedCtx,
    dispatch: Dispatch,
    started_ms: u64,
    forward: Forward,
    upstream: String,
    home: String,
    chunks: Vec<Vec<u8>>,
    /// The refusal that quarantined the request.
    quarantined: Option<Refusal>,
    tx: mpsc::Sender<Body>,
}

/// How one part of an answer ended.
enum PartEnd {
    Complete,
    CallerDisconnected,
    Interrupted(Option<Refusal>),
}

impl Resume {
    async fn run(mut self, mut frames: Frames) {
        let mut resumes = 0;
        loop {
            let refused = match self.relay_part(frames).await {
                PartEnd::Complete => {
                    let chunks = self.chunks.len() as u64;
                    // Fails only if the caller has disconnected.
                    let _ = self.tx.send(Body::End(End { chunks })).await;
                    return;
                }
                PartEnd::CallerDisconnected => return,
                PartEnd::Interrupted(refused) => refused,
            };
            if let Some(refused) = &refused {
                self.record_suspicion(refused);
            }
            let mut next = None;
            // A resumption can fail before its own first chunk, for example when two connections
            // are reset in a row. It counts, but does not end the answer.
            while next.is_none() && resumes < MAX_RESUMES && self.quarantined.is_none() {
                resumes += 1;
                next = self.resume(resumes).await;
            }
            match next {
                Some(rest) => frames = rest,
                None => {
                    if let Some(refused) = self.quarantined.take().or(refused) {
                        let _ = self.tx.send(Body::Refused(refused)).await;
                    }
                    return;
                }
            }
        }
    }

    /// Records what the home knows against the request, and whether it is quarantined.
    fn record_suspicion(&mut self, refused: &Refusal) {
        self.forward.suspicion = refused.suspicion.as_deref().cloned();
        if suspects::is_quarantined(refused) {
            self.quarantined = Some(refused.clone());
        }
    }

    /// Relays chunks until the part ends.
    async fn relay_part(&mut self, mut frames: Frames) -> PartEnd {
        while let Some(body) = self.next(&mut frames).await {
            match body {
                Body::Chunk(data) => {
                    self.chunks.push(data.clone());
                    if self.tx.send(Body::Chunk(data)).await.is_err() {
                        return PartEnd::CallerDisconnected;
                    }
                }
                Body::End(_) => return PartEnd::Complete,
                Body::Refused(refused) => return PartEnd::Interrupted(Some(refused)),
                Body::Head(_) => {}
            }
        }
        if self.tx.is_closed() {
            return PartEnd::CallerDisconnected;
        }
        PartEnd::Interrupted(None)
    }

    /// Returns the next frame, or `None` once the caller has disconnected or the home is dead. A
    /// frozen home keeps its connections open, so the caller would otherwise wait until its
    /// deadline.
    async fn next(&self, frames: &mut Frames) -> Option<Body> {
        let next = recv_while_open(frames, &self.tx);
        let dead = self.ctx.host_dead(&self.home);
        pin_mut!(next, dead);
        match select(next, dead).await {
            Either::Left((body, _)) => body,
            Either::Right(_) => None,
        }
    }

    /// Routes the request again, to continue after the delivered chunks.
    async fn resume(&mut self, resumes: u32) -> Option<Frames> {
        backoff(resumes - 1).await;
        let mut forward = self.forward.clone();
        let spent_ms = self.ctx.clock.now_ms() - self.started_ms;
        forward.remaining_ms = forward.remaining_ms.checked_sub(spent_ms)?;
        forward.attempt = self.forward.attempt + 1;
        forward.resume_upstream.clone_from(&self.upstream);
        forward.delivered_chunks = u32::try_from(self.chunks.len()).ok()?;
        forward.delivered_text = delivered_text(&self.chunks);
        self.forward.attempt += 1;
        let detail = format!("interrupted after {} chunks", self.chunks.len());
        emit_retried(&self.ctx, &forward, &detail);
        let (first, rest) = match self.dispatch.route(forward).await {
            Ok(started) => (started.first, started.rest),
            Err(refused) => {
                self.record_suspicion(&refused);
                return None;
            }
        };
        let (upstream, status) = match first {
            Body::Head(head) => {
                self.home = head.home;
                (head.upstream, head.status)
            }
            Body::Refused(refused) => {
                self.record_suspicion(&refused);
                return None;
            }
            _ => return None,
        };
        self.upstream = upstream;
        (status == u32::from(http::StatusCode::OK.as_u16())).then_some(rest)
    }
}

fn delivered_text(chunks: &[Vec<u8>]) -> String {
    let values = chunks.iter().filter_map(|c| serde_json::from_slice(c).ok());
    let pieces = values.filter_map(|value: Value| {
        let piece = value.pointer("/choices/0/delta/content")?;
        Some(piece.as_str()?.to_owned())
    });
    pieces.collect()
}
