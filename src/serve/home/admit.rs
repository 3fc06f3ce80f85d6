//! Admission of a request at its upstream's home: quarantine check, account limit, queue, call.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Instant;

use futures_util::future::{Either, join, select};
use futures_util::pin_mut;
use tokio::sync::mpsc;

use crate::decide::quarantine::{Quarantine, QuarantineStatus};
use crate::decide::refusal::{Cause, Refusal};
use crate::decide::{ChatKey, Cost, Job, JobId, Name};
use crate::event::Kind;
use crate::front::body::recv_while_open;
use crate::http1::Client;
use crate::peers::{Frames, PeerClient, refuse};
use crate::schema::config::Upstream;
use crate::schema::peer;
use crate::schema::peer::Forward;
use crate::schema::peer::frame::Body;
use crate::serve::SharedCtx;
use crate::serve::home::limits::AccountLimits;
use crate::serve::home::messages::Permit;
use crate::serve::home::suspects::{self, Suspects};
use crate::serve::home::upstream::Call;
use crate::serve::home::{Homes, kv};
use crate::{stats, util};

const CHANNEL_CAPACITY: usize = 64;
const DEFAULT_WEIGHT: f64 = 1.0;

/// Admits requests to the upstreams that this router is home to.
pub(crate) struct Admission {
    ctx: SharedCtx,
    homes: Homes,
    accounts: AccountLimits,
    suspects: Suspects,
    http: Client,
    next_job: Cell<u64>,
}

/// How a call ended.
enum CallEnd {
    Complete,
    /// The request was refused or failed, and was surely not run.
    Refused,
    /// The connection was lost and the request may have run.
    Interrupted(peer::Refusal),
    CallerDisconnected,
}

impl Admission {
    pub(crate) fn new(
        ctx: SharedCtx,
        homes: Homes,
        accounts: AccountLimits,
        peers: PeerClient,
    ) -> Self {
        Self {
            suspects: Suspects::new(ctx.clone(), peers),
            ctx,
            homes,
            accounts,
            http: Client::default(),
            next_job: Cell::new(0),
        }
    }

    /// Records a conviction received from another router.
    pub(crate) fn add_conviction(&self, suspicion: &peer::Suspicion) -> peer::Done {
        self.suspects.add_conviction(suspicion)
    }

    /// Admits and runs `forward` here, or sends a refusal.
    pub(crate) async fn run(&self, forward: Forward, tx: mpsc::Sender<Body>) {
        if let Err(mut refused) = self.admit(&forward, &tx).await {
            refused.load = self.homes.load(&forward.upstream);
            // Fails only if the caller has disconnected.
            let _ = tx.send(Body::Refused(refused)).await;
        }
    }

    async fn admit(&self, forward: &Forward, tx: &mpsc::Sender<Body>) -> Result<(), peer::Refusal> {
        let config = self.ctx.config();
        let upstream = config.upstream(&forward.service, &forward.upstream);
        let absent = || {
            refuse::not_run(
                Cause::NoUpstream,
                1_000,
                "the upstream is not configured at this router",
            )
        };
        let upstream = upstream.cloned().ok_or_else(absent)?;
        self.check_takes_work(forward)?;
        let suspect = self.check_quarantine(forward)?;
        let running = self.accounts.begin(&forward.account);
        let _running = running
            .map_err(|r| refuse::message(&r, "the account's concurrency limit is reached"))?;
        let queued = Instant::now();
        let job = self.job(forward, suspect);
        let permit = {
            let admit = self.homes.admit(&upstream, job);
            let closed = tx.closed();
            pin_mut!(admit, closed);
            match select(admit, closed).await {
                Either::Left((admitted, _)) => admitted.map_err(|r| with_default_detail(&r))?,
                // Dropping `admit` removes the job from the queue.
                Either::Right(_) => return Ok(()),
            }
        };
        stats::queue_wait(queued.elapsed());
        // The upstream may have started leaving while the request was queued.
        self.check_takes_work(forward)?;
        self.ctx
            .events
            .emit_request(Kind::RequestStarted, forward, |e| {
                e.took_us = util::micros(queued.elapsed());
            });
        self.import_cache(forward, &upstream).await;
        self.call(forward, upstream, suspect, permit, tx).await
    }

    /// Refuses if the upstream takes no new work, according to the configuration, the platform's
    /// list or its own report. The forwarding router's view may be stale, so the home checks again.
    fn check_takes_work(&self, forward: &Forward) -> Result<(), peer::Refusal> {
        let config = self.ctx.config();
        let upstream = config.upstream(&forward.service, &forward.upstream);
        let takes_work = upstream.is_some_and(|u| config.takes_work(u));
        if !takes_work || self.ctx.fleet().is_leaving(&forward.upstream) {
            let detail = format!("{} takes no new work", forward.upstream);
            return Err(refuse::not_run(Cause::NoUpstream, 0, detail));
        }
        Ok(())
    }

    /// Returns whether the request is a suspect; refuses it if it is convicted.
    fn check_quarantine(&self, forward: &Forward) -> Result<bool, peer::Refusal> {
        let fingerprint = suspects::fingerprint(forward);
        match self
            .suspects
            .status(fingerprint, forward.suspicion.as_ref())
        {
            QuarantineStatus::Free => Ok(false),
            QuarantineStatus::Suspect => Ok(true),
            QuarantineStatus::Quarantined { left_ms } => {
                let refusal = Quarantine::refusal(left_ms, &mut rand::rng());
                let detail = "upstreams crashed while running this request";
                Err(refuse::message(&refusal, detail))
            }
        }
    }

    fn job(&self, forward: &Forward, suspect: bool) -> Job {
        let id = self.next_job.get() + 1;
        self.next_job.set(id);
        let config = self.ctx.config();
        let weight = config.account(&forward.account).map(|a| a.weight);
        Job {
            id: JobId(id),
            account: Name::from(forward.account.as_str()),
            weight: weight.filter(|w| *w > 0.0).unwrap_or(DEFAULT_WEIGHT),
            priority: forward.priority.parse().unwrap_or_default(),
            chat: ChatKey(forward.chat_key),
            cost: cost(forward),
            deadline_ms: self.ctx.clock.now_ms() + forward.remaining_ms,
            last_choice: forward.last_choice,
            suspect,
        }
    }

    /// Transfers the cache of a chat that moved here. A failure costs only a prefill, so it is
    /// logged and ignored.
    async fn import_cache(&self, forward: &Forward, to: &Upstream) {
        let config = self.ctx.config();
        let from = config.upstream(&forward.service, &forward.warm_at);
        let is_evacuated = |u: &Upstream| !u.draining && !config.takes_work(u);
        let Some(from) = from.filter(|u| !is_evacuated(u)) else {
            return;
        };
        let chat = ChatKey(forward.chat_key);
        match kv::export(&self.http, &from.addr, &to.addr, chat).await {
            Ok(tokens) => self.ctx.events.emit_request(Kind::KvMoved, forward, |e| {
                e.detail = format!("{tokens} tokens from {}", from.name);
            }),
            Err(e) => log::debug!("cache transfer from {} failed: {e}", from.name),
        }
    }

    async fn call(
        &self,
        forward: &Forward,
        upstream: Arc<Upstream>,
        suspect: bool,
        mut permit: Permit,
        tx: &mpsc::Sender<Body>,
    ) -> Result<(), peer::Refusal> {
        let config = self.ctx.config();
        let service = config.service(&forward.service);
        let suspect = suspect.then(|| self.suspects.begin(&upstream.name));
        let (inner, frames) = mpsc::channel(CHANNEL_CAPACITY);
        let call = Call {
            ctx: self.ctx.clone(),
            http: self.http.clone(),
            upstream: upstream.clone(),
            engine: service.is_some_and(|s| s.kind == "engine"),
            forward: forward.clone(),
            tx: inner,
        };
        let ((), end) = join(call.run(), self.relay(forward, frames, tx)).await;
        match end {
            CallEnd::Complete => {
                let fingerprint = suspects::fingerprint(forward);
                self.suspects.clear(fingerprint);
                Ok(())
            }
            CallEnd::CallerDisconnected => Ok(()),
            CallEnd::Refused => {
                permit.set_failed();
                Ok(())
            }
            CallEnd::Interrupted(refused) => {
                permit.set_failed();
                let suspects = &self.suspects;
                Err(suspects
                    .connection_lost(forward, &upstream, suspect, refused)
                    .await)
            }
        }
    }

    /// Relays an answer to its caller. Returns an interruption instead, for the quarantine check.
    async fn relay(
        &self,
        forward: &Forward,
        mut frames: Frames,
        tx: &mpsc::Sender<Body>,
    ) -> CallEnd {
        while let Some(mut body) = recv_while_open(&mut frames, tx).await {
            let end = match &mut body {
                Body::Head(head) => {
                    head.load = self.homes.load(&forward.upstream);
                    None
                }
                Body::Chunk(_) => None,
                Body::End(_) => Some(CallEnd::Complete),
                Body::Refused(refused) if !refuse::is_not_run(refused) => {
                    return CallEnd::Interrupted(std::mem::take(refused));
                }
                Body::Refused(_) => Some(CallEnd::Refused),
            };
            if tx.send(body).await.is_err() {
                return CallEnd::CallerDisconnected;
            }
            if let Some(end) = end {
                return end;
            }
        }
        CallEnd::CallerDisconnected
    }
}

/// Returns the request's expected cost, with nothing cached.
pub(crate) fn cost(forward: &Forward) -> Cost {
    Cost {
        prompt_tokens: forward.prompt_tokens,
        cached_tokens: 0,
        output_tokens: forward.output_tokens,
    }
}

fn with_default_detail(refusal: &Refusal) -> peer::Refusal {
    refuse::with_default_detail(refusal)
}
