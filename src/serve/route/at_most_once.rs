//! Non-idempotent requests: at most one run per key, whichever routers the caller tries.
//!
//! The key is claimed on the log before any byte is sent; see [`crate::log::claims`]. The run
//! continues if its caller disconnects, so that a re-send finds the stored answer.

use tokio::sync::{mpsc, oneshot};

use crate::decide::refusal::{Cause, Refusal, RunState};
use crate::event::Kind;
use crate::front::in_flight::ConnectionEnd;
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
use crate::serve::route::keys::{
    check_key_age, fingerprint, generate_key, invalid_key, is_non_idempotent, is_outcome_unknown,
    is_unreachable, outcome_unknown, run_state_unknown, uuid_ms,
};
use crate::serve::route::run_keys::{RUN_KEY_TTL_MS, RunKey};
use crate::serve::route::stored_answer;
use crate::util::wall_ms;

const CHANNEL_CAPACITY: usize = 64;
const STILL_RUNNING_RETRY_MS: u64 = 1_000;
const LOG_DOWN_RETRY_MS: u64 = 2_000;
/// How long a run key may be sent, including the maximum clock difference.
const RUN_KEY_USABLE_MS: u64 = RUN_KEY_TTL_MS + 2 * claims::CLOCK_MARGIN_MS;
/// How long a run may continue after its deadline.
const RUN_GRACE_MS: u64 = 5_000;

/// Runs non-idempotent requests.
#[derive(Clone)]
pub(crate) struct AtMostOnce {
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

/// Where the claims of a key are ordered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Arbiter {
    /// On the platform's log.
    Log,
    /// In memory, at the one incarnation that may run the key.
    Memory,
}

impl AtMostOnce {
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
        if !is_non_idempotent(service, &forward) {
            return self.dispatch.route(forward).await;
        }
        if forward.idempotency_key.is_empty() {
            // No caller knows a key generated here, so no other router can run it and no claim is
            // needed. The dispatcher never retries once a byte was sent.
            generate_key(&mut forward);
            return self.dispatch.route(forward).await;
        }
        if let Some(run_key) = RunKey::parse(&forward.idempotency_key) {
            let at_ms = uuid_ms(run_key.id).ok_or_else(invalid_key)?;
            return self.route_run_key(&run_key, at_ms, forward.clone()).await;
        }
        let key = self.key(&forward)?;
        self.check_age(&key)?;
        let mut claim = slot::new_claim(
            &key.scoped,
            &self.ctx.host,
            fingerprint(&forward),
            forward.remaining_ms,
        );
        match self.link.claim(&mut claim, key.at_ms).await {
            Ok(Verdict::Won) => self.won(&key, claim, forward).await,
            Ok(Verdict::Lost(status)) => {
                self.emit_claim(Kind::ClaimLost, &claim, &forward.request_id);
                self.answer_resend(&claim, status)
            }
            Err(LogDown) => Err(run_state_unknown(refuse::not_run(
                Cause::LogUnavailable,
                LOG_DOWN_RETRY_MS,
                "the platform's log is unavailable",
            ))),
        }
    }

    async fn won(
        &self,
        key: &Key,
        claim: Claim,
        forward: Forward,
    ) -> Result<Started, peer::Refusal> {
        self.emit_claim(Kind::ClaimWon, &claim, &forward.request_id);
        // This router may have been suspended since it read the log.
        if let Err(refused) = self.check_age(key) {
            self.release(&claim, Arbiter::Log, &forward.request_id)
                .await;
            return Err(refused);
        }
        self.start(claim, Arbiter::Log, forward).await
    }

    /// Routes a request to the incarnation named in its run key, the only one that may run it.
    async fn route_run_key(
        &self,
        run_key: &RunKey<'_>,
        at_ms: u64,
        mut forward: Forward,
    ) -> Result<Started, peer::Refusal> {
        let own = run_key.prefix == self.ctx.run_keys.prefix();
        if own {
            return self.run_own(at_ms, forward).await;
        }
        let fleet = self.ctx.fleet();
        let member = fleet.get(run_key.host);
        let Some(member) = member.filter(|m| m.host != self.ctx.host) else {
            return self.outcome_from_log(at_ms, &forward).await;
        };
        forward.upstream = String::new();
        let mut rest = self.peers.forward(&member.peer_addr, &forward).await;
        match rest.recv().await {
            // This attempt reached no router, but an earlier one may have.
            Some(Body::Refused(r)) if is_unreachable(&r) || is_outcome_unknown(&r) => {
                self.outcome_from_log(at_ms, &forward).await
            }
            // Refused before the key was checked.
            Some(Body::Refused(r)) if r.cause.parse() == Ok(Cause::Draining) => {
                Err(run_state_unknown(r))
            }
            Some(first) => Ok(Started { first, rest }),
            None => self.outcome_from_log(at_ms, &forward).await,
        }
    }

    /// Answers with the outcome that the router named in a run key stored on the log, if any.
    async fn outcome_from_log(
        &self,
        at_ms: u64,
        forward: &Forward,
    ) -> Result<Started, peer::Refusal> {
        check_key_age(claims::age(at_ms, wall_ms(), RUN_KEY_USABLE_MS))?;
        let claim = self.scoped_claim(forward);
        match self.ctx.claims.lookup(&claim.key, at_ms).await {
            Ok(status @ KeyStatus::Done(..)) => self.answer_resend(&claim, status),
            _ => Err(outcome_unknown(
                "the router named in this key gave no answer and no outcome was found on the log: \
                 it is unknown whether the request ran",
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
        check_key_age(claims::age(at_ms, wall_ms(), RUN_KEY_USABLE_MS))?;
        let claim = self.scoped_claim(&forward);
        match self.ctx.run_keys.claim(&claim) {
            Verdict::Won => self.start(claim, Arbiter::Memory, forward).await,
            Verdict::Lost(status) => self.answer_resend(&claim, status),
        }
    }

    /// Runs a request with a run key that a peer forwarded.
    pub(crate) async fn serve_forwarded(&self, forward: Forward) -> Frames {
        let (tx, rx) = mpsc::channel(CHANNEL_CAPACITY);
        let run_key = RunKey::parse(&forward.idempotency_key);
        let own = run_key.filter(|k| k.prefix == self.ctx.run_keys.prefix());
        let Some(at_ms) = own.and_then(|k| uuid_ms(k.id)) else {
            return refuse::frames(outcome_unknown(
                "this router has restarted since the run key was issued",
            ));
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
        // A planned stop waits for the run, even if its caller has disconnected.
        let in_flight = self.ctx.drain.begin(&ConnectionEnd::default());
        compio::runtime::spawn(async move {
            this.run(claim, arbiter, forward, reply).await;
            drop(in_flight);
        })
        .detach();
        started
            .await
            .unwrap_or_else(|_| Err(outcome_unknown("the run's task ended before it started")))
    }

    /// Runs the claimed request to completion, even if the caller disconnects.
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
                    let outcome = stored_answer::unknown(&claim);
                    self.store_outcome(arbiter, claim, outcome).await;
                }
                let _ = reply.send(Err(refused));
                return;
            }
        };
        let (tx, rest) = mpsc::channel(CHANNEL_CAPACITY);
        let mut recorder = stored_answer::Recorder::new(&started.first);
        let mut frames = started.rest;
        let first = started.first;
        let _ = reply.send(Ok(Started { first, rest }));
        while let Some(body) = frames.recv().await {
            recorder.record(&body);
            // Fails if the caller has disconnected; the run continues to store its answer.
            let _ = tx.send(body).await;
        }
        drop(tx);
        let outcome = recorder.outcome(&claim);
        self.store_outcome(arbiter, claim, outcome).await;
    }

    /// Answers a request whose key was claimed earlier.
    fn answer_resend(&self, claim: &Claim, status: KeyStatus) -> Result<Started, peer::Refusal> {
        match status {
            KeyStatus::Held(holder) | KeyStatus::Done(holder, _)
                if holder.fingerprint != claim.fingerprint =>
            {
                let detail = "idempotency-key: already used for a different request";
                Err(refuse::not_run(Cause::BadRequest, 0, detail))
            }
            KeyStatus::Done(_, outcome) if outcome.status > 0 => Ok(stored_answer::replay(outcome)),
            KeyStatus::Done(..) => Err(outcome_unknown(
                "the outcome of an earlier attempt with this key is unknown",
            )),
            KeyStatus::Held(holder) => Err(self.still_running(&holder)),
            // The holder released the claim in the meantime.
            KeyStatus::Free => Err(refuse::not_run(
                Cause::StillRunning,
                STILL_RUNNING_RETRY_MS,
                "an earlier attempt with this key was not run; send the request again",
            )),
        }
    }

    /// Returns the refusal for a key that another router claimed. Past the latest time at which the
    /// holder's run can end, the holder is presumed dead.
    fn still_running(&self, holder: &Claim) -> peer::Refusal {
        let begun_ms = uuid_ms(&holder.id).unwrap_or(0);
        let ends_ms = begun_ms + holder.run_ms + RUN_GRACE_MS + claims::CLOCK_MARGIN_MS;
        if wall_ms() > ends_ms {
            return outcome_unknown(
                "the router that ran the request with this key is presumed dead",
            );
        }
        let refusal = Refusal {
            cause: Cause::StillRunning,
            run: RunState::Unknown,
            retry_after_ms: STILL_RUNNING_RETRY_MS,
        };
        refuse::message(
            &refusal,
            format!(
                "router {} is running the request with this key",
                holder.host
            ),
        )
    }

    fn key(&self, forward: &Forward) -> Result<Key, peer::Refusal> {
        let at_ms = uuid_ms(&forward.idempotency_key).ok_or_else(invalid_key)?;
        Ok(Key {
            scoped: format!("{}/{}", forward.account, forward.idempotency_key),
            at_ms,
        })
    }

    fn check_age(&self, key: &Key) -> Result<(), peer::Refusal> {
        let platform = self.ctx.settings.platform.clone().unwrap_or_default();
        check_key_age(claims::age(key.at_ms, wall_ms(), platform.retention_ms))
    }

    async fn release(&self, claim: &Claim, arbiter: Arbiter, request_id: &str) {
        self.emit_claim(Kind::ClaimReleased, claim, request_id);
        let release = Release {
            id: claim.id.clone(),
            key: claim.key.clone(),
        };
        if arbiter == Arbiter::Memory {
            self.ctx.run_keys.record(Record::Release(release));
            return;
        }
        let update = ClaimUpdate {
            release: Some(release),
            ..ClaimUpdate::default()
        };
        self.link.append_update(&claim.key, update).await;
    }

    /// Stores an outcome. A run key's outcome is kept in memory and also goes to the log, preceded
    /// by its claim, so that other routers can answer once this one is gone.
    async fn store_outcome(&self, arbiter: Arbiter, claim: Claim, outcome: Outcome) {
        let key = claim.key.clone();
        let mut update = ClaimUpdate {
            outcome: Some(outcome.clone()),
            ..ClaimUpdate::default()
        };
        if arbiter == Arbiter::Memory {
            self.ctx.run_keys.record(Record::Outcome(outcome));
            update.claim = Some(claim);
        }
        self.link.append_update(&key, update).await;
    }

    fn emit_claim(&self, kind: Kind, claim: &Claim, request_id: &str) {
        self.ctx.events.emit(kind, |e| {
            request_id.clone_into(&mut e.request_id);
            e.detail.clone_from(&claim.key);
        });
    }
}
