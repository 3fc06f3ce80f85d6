//! Sends claims from the router that received a request to the router that reads the claim's slot.

use std::time::Duration;

use crate::fleet::homes;
use crate::log::claimant::ClaimOptions;
use crate::log::claims::{self, KeyStatus, Verdict};
use crate::log::group::LogDown;
use crate::log::slot;
use crate::peers::PeerClient;
use crate::schema::peer::{ClaimReply, ClaimRequest, ClaimUpdate, Done};
use crate::schema::records::claim_record::Body as Record;
use crate::schema::records::{Claim, Release};
use crate::schema::settings::Platform;
use crate::serve::SharedCtx;
use crate::util::Name;

pub(crate) const CLAIM: &str = "/claim";
pub(crate) const CLAIM_UPDATE: &str = "/claim-note";

/// Sends claims, releases and outcomes to the reader of their slot.
#[derive(Clone)]
pub(crate) struct ClaimLink {
    ctx: SharedCtx,
    peers: PeerClient,
}

impl ClaimLink {
    pub(crate) fn new(ctx: SharedCtx, peers: PeerClient) -> Self {
        Self { ctx, peers }
    }

    /// Claims the key through the router that reads its slot, so that one router reads and groups
    /// each slot. If that router does not answer, reads the slot here. Either way the log decides.
    ///
    /// A claim whose answer was lost is released and replaced by one with a new id. If it were
    /// retried under the old id, it could be won here while the first reader, which did not find
    /// it, releases it; a third claim could then run the request a second time.
    pub(crate) async fn claim(&self, claim: &mut Claim, key_ms: u64) -> Result<Verdict, LogDown> {
        if let Some(addr) = self.reader(&claim.key) {
            let request = ClaimRequest {
                claim: Some(claim.clone()),
                key_ms,
            };
            match self.peers.query(&addr, CLAIM, &request).await {
                Ok(reply) => return from_reply(reply),
                Err(e) => log::debug!("claim at reader {addr} failed, reading the slot here: {e}"),
            }
            let abandoned = std::mem::replace(&mut claim.id, slot::new_claim_id());
            let release = Release {
                id: abandoned,
                key: claim.key.clone(),
            };
            self.ctx
                .claims
                .append_later(&claim.key, Record::Release(release));
        }
        self.ctx.claims.claim(claim.clone(), key_ms).await
    }

    /// Returns the address of the router that reads the key's slot, if it is not this one.
    fn reader(&self, key: &str) -> Option<Name> {
        let stream = claims::stream(claims::slot(key));
        let fleet = self.ctx.fleet();
        let reader = homes::home(&fleet, &stream, "")?;
        (reader.host != self.ctx.host).then(|| reader.peer_addr.clone())
    }

    /// Appends a release or an outcome through the slot's reader, or here if it does not answer.
    pub(crate) async fn append_update(&self, key: &str, update: ClaimUpdate) {
        if let Some(addr) = self.reader(key)
            && self
                .peers
                .query::<_, Done>(&addr, CLAIM_UPDATE, &update)
                .await
                .is_ok()
        {
            return;
        }
        handle_update(&self.ctx, update);
    }
}

/// Handles a peer's claim.
pub(crate) async fn handle_claim(ctx: &SharedCtx, request: ClaimRequest) -> ClaimReply {
    let Some(claim) = request.claim else {
        return to_reply(Err(LogDown));
    };
    to_reply(ctx.claims.claim(claim, request.key_ms).await)
}

/// Queues a peer's claim, release or outcome for the log.
pub(crate) fn handle_update(ctx: &SharedCtx, update: ClaimUpdate) -> Done {
    if let Some(claim) = update.claim {
        let key = claim.key.clone();
        ctx.claims.append_later(&key, Record::Claim(claim));
    }
    if let Some(release) = update.release {
        let key = release.key.clone();
        ctx.claims.append_later(&key, Record::Release(release));
    }
    if let Some(outcome) = update.outcome {
        let key = outcome.key.clone();
        ctx.claims.append_later(&key, Record::Outcome(outcome));
    }
    Done {}
}

fn to_reply(result: Result<Verdict, LogDown>) -> ClaimReply {
    match result {
        Ok(Verdict::Won) => ClaimReply {
            won: true,
            ..ClaimReply::default()
        },
        Ok(Verdict::Lost(KeyStatus::Free)) => ClaimReply::default(),
        Ok(Verdict::Lost(KeyStatus::Held(holder))) => ClaimReply {
            holder: Some(holder),
            ..ClaimReply::default()
        },
        Ok(Verdict::Lost(KeyStatus::Done(holder, outcome))) => ClaimReply {
            holder: Some(holder),
            outcome: Some(outcome),
            ..ClaimReply::default()
        },
        Err(LogDown) => ClaimReply {
            log_down: true,
            ..ClaimReply::default()
        },
    }
}

fn from_reply(reply: ClaimReply) -> Result<Verdict, LogDown> {
    if reply.log_down {
        return Err(LogDown);
    }
    if reply.won {
        return Ok(Verdict::Won);
    }
    let status = match (reply.holder, reply.outcome) {
        (Some(holder), Some(outcome)) => KeyStatus::Done(holder, outcome),
        (Some(holder), None) => KeyStatus::Held(holder),
        _ => KeyStatus::Free,
    };
    Ok(Verdict::Lost(status))
}

/// Returns the settings for grouping claims.
pub(crate) fn grouping(platform: &Platform) -> ClaimOptions {
    ClaimOptions {
        window: Duration::from_millis(platform.claim_window_ms.into()),
        retention_ms: platform.retention_ms,
    }
}
