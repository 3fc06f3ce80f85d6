//! Unrepeatable requests: at most one run a key, whichever routers the caller tries.
//!
//! The key is claimed on the log before any byte leaves; see [`crate::log::claims`]. The run goes on
//! when its caller goes, so that a re-send finds the kept answer.

use tokio::sync::{mpsc, oneshot};

use crate::decide::refusal::{Cause, Refusal, RunState};
use crate::event::Kind;
use crate::log::claims::{self, KeyStatus, Verdict};
use crate::log::group::LogDown;
use crate::log::slot;
use crate::peers::{Frames, PeerClient, refuse};
use crate::schema::config::Service;
use crate::schema::peer;
use crate::schema::peer::frame::Body;
use crate::schema::peer::{ClaimUpdate, Forward};
use crate::schema::records::claim_record::Body as Record;
use crate::schema::records::{Claim, Outcome, Release};
use crate::serve::SharedCtx;
use crate::serve::route::claim_link::ClaimLink;
use crate::serve::route::dispatch::{Dispatch, Started};
use crate::serve::route::kept;
use crate::serve::route::keys::{
    fingerprint, in_doubt, is_unknown, key_age, lost, mint_key, not_a_uuid, unreached,
    unrepeatable, uuid_ms,
};
use crate::serve::route::tokens::{RunKey, TOKEN_MS};
use crate::util::wall_ms;

const CHANNEL: usize = 64;
const STILL_RUNNING_RETRY_MS: u64 = 1_000;
const LOG_DOWN_RETRY_MS: u64 = 2_000;
/// Until when a run key may be sent, with what clocks may differ.
const RUN_KEY_USABLE_MS: u64 = TOKEN_MS + 2 * claims::CLOCK_MARGIN_MS;
/// A holder's run may end this much later than its deadline.
const RUN_GRACE_MS: u64 = 5_000;

/// Runs unrepeatable requests.
#[derive(Clone)]
pub(crate) struct Once {
    ctx: SharedCtx,
    dispatch: Dispatch,
    peers: PeerClient,
    link: ClaimLink,
}

/// A key as the caller sent it, scoped to its account.
struct Key {
    scoped: String,
    at_ms: u64,
}

/// What decides which claim of a key is first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Arbiter {
    /// The platform's log.
    Log,
    /// The memory of the one incarnation that may run the key.
    Memory,
}

impl Once {
    pub(crate) fn new(ctx: SharedCtx, dispatch: Dispatch) -> Self {
        let peers = dispatch.peers();
        let link = ClaimLink::new(ctx.clone(), peers.clone());
        Self {
            link,
            ctx,
            dispatch,
            peers,
        }
    }

    /// Routes `forward`, at most once for its key if `service` marks it non-idempotent.
    pub(crate) async fn route(
        &self,
        service: &Service,
        mut forward: Forward,
    ) -> Result<Started, peer::Refusal> {
        if !unrepeatable(service, &forward) {
            return self.dispatch.route(forward).await;
        }
        if forward.idempotency_key.is_empty() {
            // Nobody else can present a key minted here, so no other router can run it: the log
            // has nothing to decide. The dispatcher never tries again after a byte left.
            mint_key(&mut forward);
            return self.dispatch.route(forward).await;
        }
        if let Some(run_key) = RunKey::parse(&forward.idempotency_key) {
            let at_ms = uuid_ms(run_key.id).ok_or_else(not_a_uuid)?;
            return self.by_run_key(&run_key, at_ms, forward.clone()).await;
        }
        let key = self.key(&forward)?;
        self.usable(&key)?;
        let mut claim = slot::new_claim(
            &key.scoped,
            &self.ctx.host,
            fingerprint(&forward),
            forward.remaining_ms,
        );
        match self.link.claim(&mut claim, key.at_ms).await {
            Ok(Verdict::Won) => self.won(&key, claim, forward).await,
            Ok(Verdict::Lost(status)) => {
                self.note_event(Kind::ClaimLost, &claim, &forward.request_id);
                self.resent(&claim, status)
            }
            Err(LogDown) => Err(in_doubt(refuse::not_run(
                Cause::LogUnavailable,
                LOG_DOWN_RETRY_MS,
                "the platform's log can't be asked",
            ))),
        }
    }

    async fn won(
        &self,
        key: &Key,
        claim: Claim,
        forward: Forward,
    ) -> Result<Started, peer::Refusal> {
        self.note_event(Kind::ClaimWon, &claim, &forward.request_id);
        // This router may have been paused since it read the log.
        if let Err(refused) = self.usable(key) {
            self.release(&claim, Arbiter::Log, &forward.request_id)
                .await;
            return Err(refused);
        }
        self.start(claim, Arbiter::Log, forward).await
    }

    /// Only the incarnation that the key names may run it.
    async fn by_run_key(
        &self,
        run_key: &RunKey<'_>,
        at_ms: u64,
        mut forward: Forward,
    ) -> Result<Started, peer::Refusal> {
        let own = run_key.prefix == self.ctx.tokens.prefix();
        if own {
            return self.run_own(at_ms, forward).await;
        }
        let fleet = self.ctx.fleet();
        let member = fleet.get(run_key.host);
        let Some(member) = member.filter(|m| m.host != self.ctx.host) else {
            return self.of_gone_router(at_ms, &forward).await;
        };
        forward.upstream = String::new();
        let mut rest = self.peers.forward(&member.peer_addr, &forward).await;
        match rest.recv().await {
            // This try reached nobody, but an earlier one may have.
            Some(Body::Refused(r)) if unreached(&r) || is_unknown(&r) => {
                self.of_gone_router(at_ms, &forward).await
            }
            // Refused before it looked at the key.
            Some(Body::Refused(r)) if r.cause.parse() == Ok(Cause::Draining) => Err(in_doubt(r)),
            Some(first) => Ok(Started { first, rest }),
            None => self.of_gone_router(at_ms, &forward).await,
        }
    }

    /// What the router that a run key names left on the log: its answer, or nothing.
    async fn of_gone_router(
        &self,
        at_ms: u64,
        forward: &Forward,
    ) -> Result<Started, peer::Refusal> {
        key_age(claims::age(at_ms, wall_ms(), RUN_KEY_USABLE_MS))?;
        let claim = self.scoped_claim(forward);
        match self.ctx.claims.lookup(&claim.key, at_ms).await {
            Ok(status @ KeyStatus::Done(..)) => self.resent(&claim, status),
            _ => Err(lost(
                "the router that this key names is gone; nobody knows whether it ran",
            )),
        }
    }

    fn scoped_claim(&self, forward: &Forward) -> Claim {
        let scoped = format!("{}/{}", forward.account, forward.idempotency_key);
        slot::new_claim(
            &scoped,
            &self.ctx.host,
            fingerprint(forward),
            forward.remaining_ms,
        )
    }

    async fn run_own(&self, at_ms: u64, forward: Forward) -> Result<Started, peer::Refusal> {
        key_age(claims::age(at_ms, wall_ms(), RUN_KEY_USABLE_MS))?;
        let claim = self.scoped_claim(&forward);
        match self.ctx.tokens.claim(&claim) {
            Verdict::Won => self.start(claim, Arbiter::Memory, forward).await,
            Verdict::Lost(status) => self.resent(&claim, status),
        }
    }

    /// Runs a request under a run key that a peer passed on.
    pub(crate) async fn relayed(&self, forward: Forward) -> Frames {
        let (tx, rx) = mpsc::channel(CHANNEL);
        let run_key = RunKey::parse(&forward.idempotency_key);
        let own = run_key.filter(|k| k.prefix == self.ctx.tokens.prefix());
        let Some(at_ms) = own.and_then(|k| uuid_ms(k.id)) else {
            return refuse::frames(lost("this router was replaced since it named this key"));
        };
        let mut started = match self.run_own(at_ms, forward).await {
            Ok(started) => started,
            Err(refused) => return refuse::frames(refused),
        };
        compio::runtime::spawn(async move {
            let mut next = Some(started.first);
            while let Some(body) = next {
                if tx.send(body).await.is_err() {
                    return;
                }
                next = started.rest.recv().await;
            }
        })
        .detach();
        rx
    }

    async fn start(
        &self,
        claim: Claim,
        arbiter: Arbiter,
        forward: Forward,
    ) -> Result<Started, peer::Refusal> {
        let (reply, started) = oneshot::channel();
        let this = self.clone();
        // A planned stop waits for the run, also when its caller has gone.
        let in_flight = self.ctx.drain.begin();
        compio::runtime::spawn(async move {
            this.run(claim, arbiter, forward, reply).await;
            drop(in_flight);
        })
        .detach();
        started.await.unwrap_or_else(|_| Err(lost("the run ended")))
    }

    /// Runs the claimed request to its end, whether or not the caller stays.
    async fn run(
        &self,
        claim: Claim,
        arbiter: Arbiter,
        forward: Forward,
        reply: oneshot::Sender<Result<Started, peer::Refusal>>,
    ) {
        let request_id = forward.request_id.clone();
        let started = match self.dispatch.route(forward).await {
            Ok(started) => started,
            Err(refused) => {
                if refuse::is_not_run(&refused) {
                    self.release(&claim, arbiter, &request_id).await;
                } else {
                    let outcome = kept::unknown(&claim);
                    self.keep(arbiter, claim, outcome).await;
                }
                let _ = reply.send(Err(refused));
                return;
            }
        };
        let (tx, rest) = mpsc::channel(CHANNEL);
        let mut kept = kept::Kept::new(&started.first);
        let mut frames = started.rest;
        let first = started.first;
        let _ = reply.send(Ok(Started { first, rest }));
        while let Some(body) = frames.recv().await {
            kept.take(&body);
            // The caller may have gone: the run goes on, for its answer is to be kept.
            let _ = tx.send(body).await;
        }
        drop(tx);
        let outcome = kept.outcome(&claim);
        self.keep(arbiter, claim, outcome).await;
    }

    /// Answers a request whose key another claim holds or held.
    fn resent(&self, claim: &Claim, status: KeyStatus) -> Result<Started, peer::Refusal> {
        match status {
            KeyStatus::Held(holder) | KeyStatus::Done(holder, _)
                if holder.fingerprint != claim.fingerprint =>
            {
                let detail = "idempotency-key: was used for another request";
                Err(refuse::not_run(Cause::BadRequest, 0, detail))
            }
            KeyStatus::Done(_, outcome) if outcome.status > 0 => Ok(kept::answer(outcome)),
            KeyStatus::Done(..) => Err(lost("an earlier try of this key has no known outcome")),
            KeyStatus::Held(holder) => Err(self.held(&holder)),
            // The holder's release came between: free again.
            KeyStatus::Free => Err(refuse::not_run(
                Cause::StillRunning,
                STILL_RUNNING_RETRY_MS,
                "an earlier try was not run; send again",
            )),
        }
    }

    /// The holder may be running, or may have died. The key's own time bounds how long it may run.
    fn held(&self, holder: &Claim) -> peer::Refusal {
        let begun_ms = uuid_ms(&holder.id).unwrap_or(0);
        let ends_ms = begun_ms + holder.run_ms + RUN_GRACE_MS + claims::CLOCK_MARGIN_MS;
        if wall_ms() > ends_ms {
            return lost("the router that ran this key is gone");
        }
        let refusal = Refusal {
            cause: Cause::StillRunning,
            run: RunState::Unknown,
            retry_after_ms: STILL_RUNNING_RETRY_MS,
        };
        refuse::message(&refusal, format!("{} is running this key", holder.host))
    }

    fn key(&self, forward: &Forward) -> Result<Key, peer::Refusal> {
        let at_ms = uuid_ms(&forward.idempotency_key).ok_or_else(not_a_uuid)?;
        Ok(Key {
            scoped: format!("{}/{}", forward.account, forward.idempotency_key),
            at_ms,
        })
    }

    fn usable(&self, key: &Key) -> Result<(), peer::Refusal> {
        let platform = self.ctx.settings.platform.clone().unwrap_or_default();
        key_age(claims::age(key.at_ms, wall_ms(), platform.retention_ms))
    }

    async fn release(&self, claim: &Claim, arbiter: Arbiter, request_id: &str) {
        self.note_event(Kind::ClaimReleased, claim, request_id);
        let release = Release {
            id: claim.id.clone(),
            key: claim.key.clone(),
        };
        if arbiter == Arbiter::Memory {
            self.ctx.tokens.note(Record::Release(release));
            return;
        }
        let note = ClaimUpdate {
            release: Some(release),
            ..ClaimUpdate::default()
        };
        self.link.note(&claim.key, note).await;
    }

    /// Keeps an outcome. That of a run key goes to the log too, for when this router is gone; its
    /// claim goes before it, though this router's memory has decided.
    async fn keep(&self, arbiter: Arbiter, claim: Claim, outcome: Outcome) {
        let key = claim.key.clone();
        let mut note = ClaimUpdate {
            outcome: Some(outcome.clone()),
            ..ClaimUpdate::default()
        };
        if arbiter == Arbiter::Memory {
            self.ctx.tokens.note(Record::Outcome(outcome));
            note.claim = Some(claim);
        }
        self.link.note(&key, note).await;
    }

    fn note_event(&self, kind: Kind, claim: &Claim, request_id: &str) {
        self.ctx.events.emit(kind, |e| {
            request_id.clone_into(&mut e.request_id);
            e.detail.clone_from(&claim.key);
        });
    }
}
