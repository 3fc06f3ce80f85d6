//! A request at its upstream's home: quarantine, the account's share, the queue, the call.

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
use crate::peers::{Frames, PeerClient, refuse};
use crate::schema::config::Upstream;
use crate::schema::peer;
use crate::schema::peer::Forward;
use crate::schema::peer::frame::Body;
use crate::serve::SharedCtx;
use crate::serve::home::limits::Accounts;
use crate::serve::home::messages::Permit;
use crate::serve::home::suspects::{self, Suspects};
use crate::serve::home::upstream::Call;
use crate::serve::home::{Homes, kv};
use crate::{stats, util};

const CHANNEL: usize = 64;
const DEFAULT_WEIGHT: f64 = 1.0;

/// Admits requests to the upstreams that this router is home to.
pub(crate) struct Admission {
    ctx: SharedCtx,
    homes: Homes,
    accounts: Accounts,
    suspects: Suspects,
    http: cyper::Client,
    next_job: Cell<u64>,
}

/// How a call ended.
enum Ended {
    Whole,
    /// It was refused or failed, and nothing broke.
    Refused,
    /// The connection broke off midway.
    Broken(peer::Refusal),
    CallerGone,
}

impl Admission {
    pub(crate) fn new(
        ctx: SharedCtx,
        homes: Homes,
        accounts: Accounts,
        peers: PeerClient,
        http: cyper::Client,
    ) -> Self {
        Self {
            suspects: Suspects::new(ctx.clone(), peers),
            ctx,
            homes,
            accounts,
            http,
            next_job: Cell::new(0),
        }
    }

    /// Takes a conviction that another router tells.
    pub(crate) fn told(&self, suspicion: &peer::Suspicion) -> peer::Done {
        self.suspects.told(suspicion)
    }

    /// Runs `forward` here, or tells why not.
    pub(crate) async fn run(&self, forward: Forward, tx: mpsc::Sender<Body>) {
        if let Err(mut refused) = self.admit(&forward, &tx).await {
            refused.load = self.homes.load(&forward.upstream);
            // The caller may have gone: then nobody needs the refusal.
            let _ = tx.send(Body::Refused(refused)).await;
        }
    }

    async fn admit(&self, forward: &Forward, tx: &mpsc::Sender<Body>) -> Result<(), peer::Refusal> {
        let config = self.ctx.config();
        let upstream = config.upstream(&forward.service, &forward.upstream);
        let unknown = || refuse::not_run(Cause::NoUpstream, 1_000, "the upstream isn't known here");
        let upstream = upstream.cloned().ok_or_else(unknown)?;
        self.check_stays(forward)?;
        let suspect = self.check(forward)?;
        let running = self.accounts.begin(&forward.account);
        let _running =
            running.map_err(|r| refuse::message(&r, "the account has too many at once"))?;
        let waited = Instant::now();
        let job = self.job(forward, suspect);
        let permit = {
            let admit = self.homes.admit(&upstream, job);
            let gone = tx.closed();
            pin_mut!(admit, gone);
            match select(admit, gone).await {
                Either::Left((verdict, _)) => verdict.map_err(|r| told(&r))?,
                // Dropping the wait takes the job out of the queue.
                Either::Right(_) => return Ok(()),
            }
        };
        stats::queue_wait(waited.elapsed());
        // It may have left while the request waited.
        self.check_stays(forward)?;
        self.ctx
            .events
            .emit_request(Kind::RequestStarted, forward, |e| {
                e.took_us = util::micros(waited.elapsed());
            });
        self.import(forward, &upstream).await;
        self.call(forward, upstream, suspect, permit, tx).await
    }

    /// Refuses when the upstream takes no new work: by the configuration, by the platform's list
    /// or by its own word. The sender may not know yet, so the home looks again.
    fn check_stays(&self, forward: &Forward) -> Result<(), peer::Refusal> {
        let config = self.ctx.config();
        let upstream = config.upstream(&forward.service, &forward.upstream);
        let takes_work = upstream.is_some_and(|u| config.takes_work(u));
        if !takes_work || self.ctx.fleet().is_leaving(&forward.upstream) {
            let detail = format!("{} takes no new work", forward.upstream);
            return Err(refuse::not_run(Cause::NoUpstream, 0, detail));
        }
        Ok(())
    }

    /// Whether the request is a suspect; refuses a convict.
    fn check(&self, forward: &Forward) -> Result<bool, peer::Refusal> {
        let fingerprint = suspects::fingerprint(forward);
        match self.suspects.status(fingerprint, forward.deaths) {
            QuarantineStatus::Free => Ok(false),
            QuarantineStatus::Suspect => Ok(true),
            QuarantineStatus::Quarantined { left_ms } => {
                let refusal = Quarantine::refusal(left_ms, &mut rand::rng());
                let detail = "upstreams died each time they ran this request";
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

    /// Brings a displaced chat's cache along. A failure costs a prefill, so it only gets a log line.
    async fn import(&self, forward: &Forward, to: &Upstream) {
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
            Err(e) => log::debug!("cache not moved from {}: {e}", from.name),
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
        let (inner, frames) = mpsc::channel(CHANNEL);
        let call = Call {
            ctx: self.ctx.clone(),
            http: self.http.clone(),
            upstream: upstream.clone(),
            engine: service.is_some_and(|s| s.kind == "engine"),
            forward: forward.clone(),
            tx: inner,
        };
        let ((), ended) = join(call.run(), self.pass_on(forward, frames, tx)).await;
        match ended {
            Ended::Whole => {
                let fingerprint = suspects::fingerprint(forward);
                self.suspects.succeeded(fingerprint);
                Ok(())
            }
            Ended::CallerGone => Ok(()),
            Ended::Refused => {
                permit.failed();
                Ok(())
            }
            Ended::Broken(refused) => {
                permit.failed();
                let suspects = &self.suspects;
                Err(suspects
                    .broke_off(forward, &upstream, suspect, refused)
                    .await)
            }
        }
    }

    /// Passes an answer on to its caller, all but a break, which is judged first.
    async fn pass_on(
        &self,
        forward: &Forward,
        mut frames: Frames,
        tx: &mpsc::Sender<Body>,
    ) -> Ended {
        while let Some(mut body) = recv_while_open(&mut frames, tx).await {
            let ended = match &mut body {
                Body::Head(head) => {
                    head.load = self.homes.load(&forward.upstream);
                    None
                }
                Body::Chunk(_) => None,
                Body::End(_) => Some(Ended::Whole),
                Body::Refused(refused) if !refuse::is_not_run(refused) => {
                    return Ended::Broken(std::mem::take(refused));
                }
                Body::Refused(_) => Some(Ended::Refused),
            };
            if tx.send(body).await.is_err() {
                return Ended::CallerGone;
            }
            if let Some(ended) = ended {
                return ended;
            }
        }
        Ended::CallerGone
    }
}

/// What the request is expected to cost, with nothing cached.
pub(crate) fn cost(forward: &Forward) -> Cost {
    Cost {
        prompt_tokens: forward.prompt_tokens,
        cached_tokens: 0,
        output_tokens: forward.output_tokens,
    }
}

fn told(refusal: &Refusal) -> peer::Refusal {
    refuse::explained(refusal)
}
