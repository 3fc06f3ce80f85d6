//! Keeps a chat's answer whole when an engine or a home is lost midway.
//!
//! The caller would see a cut stream. Here the answer goes on: at the same engine by offset, while
//! that still has the stream, else at another one from the text already delivered as a forced
//! prefix. Chunks are counted at the router the caller reached, so none is lost or sent twice.

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

const CHANNEL: usize = 64;

/// How often one answer may be picked up again. A request that kills its engines is stopped by the
/// quarantine long before; this bounds the work for one that meets a broken network and
/// engines that cross some of their answers.
const RESUMES: u32 = 4;

/// Spreads the pick-ups of all the streams that one engine's death cuts at once.
const BACKOFF_MS: u64 = 100;

/// Routes a repeatable request, and again when it fails before its first chunk: nothing was
/// delivered, so that another run can't be spliced with the first.
pub(crate) async fn answer(
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
            Ok(started) => return Ok(whole(ctx, dispatch, forward, started)),
            Err(refused) => refused,
        };
        let spent_ms = ctx.clock.now_ms() - start_ms;
        tries += 1;
        forward.deaths = refused.deaths;
        // A refusal that says "not run" was already tried everywhere.
        let hopeless = refuse::is_not_run(&refused) || suspects::convicted(&refused);
        may_have_run |= !refuse::is_not_run(&refused);
        if hopeless || tries > RESUMES || spent_ms >= budget_ms {
            return Err(told(refused, may_have_run));
        }
        pause(tries - 1).await;
        forward.attempt += 1;
        forward.remaining_ms = budget_ms - spent_ms;
        retried(ctx, &forward, &refused.detail);
    }
}

/// The last try's refusal, as true of all tries: that the last one wasn't run says nothing of one
/// before it that broke off, and a caller told "not run" would count on it.
fn told(mut refused: Refusal, may_have_run: bool) -> Refusal {
    if may_have_run && refuse::is_not_run(&refused) {
        refused.run_state = RunState::Unknown.to_string();
    }
    refused
}

/// Waits with full jitter over a bound that doubles.
async fn pause(tries: u32) {
    let pause_ms = rand::rng().random_range(0..BACKOFF_MS << tries.min(RESUMES));
    compio::time::sleep(Duration::from_millis(pause_ms)).await;
}

fn retried(ctx: &SharedCtx, forward: &Forward, detail: &str) {
    ctx.events.emit_request(Kind::RequestRetried, forward, |e| {
        detail.clone_into(&mut e.detail);
    });
}

/// The answer that `started` began, picked up again when it breaks off.
fn whole(ctx: &SharedCtx, dispatch: &Dispatch, forward: Forward, started: Started) -> Started {
    let Body::Head(head) = &started.first else {
        return started;
    };
    let (tx, rest) = mpsc::channel(CHANNEL);
    let task = Resume {
        ctx: ctx.clone(),
        dispatch: dispatch.clone(),
        started_ms: ctx.clock.now_ms(),
        forward,
        upstream: head.upstream.clone(),
        home: head.home.clone(),
        chunks: Vec::new(),
        convicted: None,
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
    /// The refusal that held the request to have killed its upstreams.
    convicted: Option<Refusal>,
    tx: mpsc::Sender<Body>,
}

/// How one part of an answer ended.
enum Part {
    Whole,
    CallerGone,
    Broken(Option<Refusal>),
}

impl Resume {
    async fn run(mut self, mut frames: Frames) {
        let mut resumes = 0;
        loop {
            let refused = match self.pass_part(frames).await {
                Part::Whole => {
                    let chunks = self.chunks.len() as u64;
                    // The caller may have gone.
                    let _ = self.tx.send(Body::End(End { chunks })).await;
                    return;
                }
                Part::CallerGone => return,
                Part::Broken(refused) => refused,
            };
            if let Some(refused) = &refused {
                self.judge(refused);
            }
            let mut next = None;
            // A pick-up can meet the next failure before its own first chunk: two connections
            // reset in a row, say. It counts, but doesn't end the answer.
            while next.is_none() && resumes < RESUMES && self.convicted.is_none() {
                resumes += 1;
                next = self.pick_up(resumes).await;
            }
            match next {
                Some(rest) => frames = rest,
                None => {
                    if let Some(refused) = self.convicted.take().or(refused) {
                        let _ = self.tx.send(Body::Refused(refused)).await;
                    }
                    return;
                }
            }
        }
    }

    /// Counts the upstreams that died of the request; a convicted one isn't sent on.
    fn judge(&mut self, refused: &Refusal) {
        self.forward.deaths = refused.deaths;
        if suspects::convicted(refused) {
            self.convicted = Some(refused.clone());
        }
    }

    /// Passes chunks on until the part ends.
    async fn pass_part(&mut self, mut frames: Frames) -> Part {
        while let Some(body) = self.next(&mut frames).await {
            match body {
                Body::Chunk(data) => {
                    self.chunks.push(data.clone());
                    if self.tx.send(Body::Chunk(data)).await.is_err() {
                        return Part::CallerGone;
                    }
                }
                Body::End(_) => return Part::Whole,
                Body::Refused(refused) => return Part::Broken(Some(refused)),
                Body::Head(_) => {}
            }
        }
        if self.tx.is_closed() {
            return Part::CallerGone;
        }
        Part::Broken(None)
    }

    /// The next frame, or nothing once the caller went or the home was given up: a home that is
    /// frozen keeps its connections, and would be waited for until the caller's deadline.
    async fn next(&self, frames: &mut Frames) -> Option<Body> {
        let next = recv_while_open(frames, &self.tx);
        let dead = self.ctx.host_dead(&self.home);
        pin_mut!(next, dead);
        match select(next, dead).await {
            Either::Left((body, _)) => body,
            Either::Right(_) => None,
        }
    }

    /// Routes the request again, from what was delivered.
    async fn pick_up(&mut self, resumes: u32) -> Option<Frames> {
        pause(resumes - 1).await;
        let mut forward = self.forward.clone();
        let spent_ms = self.ctx.clock.now_ms() - self.started_ms;
        forward.remaining_ms = forward.remaining_ms.checked_sub(spent_ms)?;
        forward.attempt = self.forward.attempt + 1;
        forward.resume_upstream.clone_from(&self.upstream);
        forward.delivered_chunks = u32::try_from(self.chunks.len()).ok()?;
        forward.delivered_text = delivered_text(&self.chunks);
        self.forward.attempt += 1;
        let detail = format!("broke off after {} chunks", self.chunks.len());
        retried(&self.ctx, &forward, &detail);
        let (first, rest) = match self.dispatch.route(forward).await {
            Ok(started) => (started.first, started.rest),
            Err(refused) => {
                self.judge(&refused);
                return None;
            }
        };
        let (upstream, status) = match first {
            Body::Head(head) => {
                self.home = head.home;
                (head.upstream, head.status)
            }
            Body::Refused(refused) => {
                self.judge(&refused);
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
