//! The way of a claim from the router that a caller reached to the one that reads its slot.

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
pub(crate) const CLAIM_NOTE: &str = "/claim-note";

/// Carries claims and notes.
#[derive(Clone)]
pub(crate) struct ClaimLink {
    ctx: SharedCtx,
    peers: PeerClient,
}

impl ClaimLink {
    pub(crate) fn new(ctx: SharedCtx, peers: PeerClient) -> Self {
        Self { ctx, peers }
    }

    /// Asks the router that reads the key's slot, so that each slot is read and grouped by one; if
    /// that one doesn't answer, reads the slot here. Either way the log decides.
    ///
    /// A claim whose answer was lost is given up for good and a fresh one made. Asked for again
    /// under its old id, it could be won here while the first reader, having failed to find it,
    /// releases it: then a third claim would run the request beside this one.
    pub(crate) async fn claim(&self, claim: &mut Claim, key_ms: u64) -> Result<Verdict, LogDown> {
        if let Some(addr) = self.reader(&claim.key) {
            let ask = ClaimRequest {
                claim: Some(claim.clone()),
                key_ms,
            };
            match self.peers.query(&addr, CLAIM, &ask).await {
                Ok(give) => return verdict(give),
                Err(e) => log::debug!("claims reader {addr}: {e}"),
            }
            let given_up = std::mem::replace(&mut claim.id, slot::new_claim_id());
            let release = Release {
                id: given_up,
                key: claim.key.clone(),
            };
            self.ctx
                .claims
                .append_later(&claim.key, Record::Release(release));
        }
        self.ctx.claims.claim(claim.clone(), key_ms).await
    }

    /// The other router that reads the key's slot, if it isn't this one.
    fn reader(&self, key: &str) -> Option<Name> {
        let stream = claims::stream(claims::slot(key));
        let fleet = self.ctx.fleet();
        let reader = homes::home(&fleet, &stream, "")?;
        (reader.host != self.ctx.host).then(|| reader.peer_addr.clone())
    }

    /// Has a release or an outcome appended.
    pub(crate) async fn note(&self, key: &str, note: ClaimUpdate) {
        if let Some(addr) = self.reader(key)
            && self
                .peers
                .query::<_, Done>(&addr, CLAIM_NOTE, &note)
                .await
                .is_ok()
        {
            return;
        }
        take_note(&self.ctx, note);
    }
}

/// Settles a peer's claim here.
pub(crate) async fn give_claim(ctx: &SharedCtx, ask: ClaimRequest) -> ClaimReply {
    let Some(claim) = ask.claim else {
        return give(Err(LogDown));
    };
    give(ctx.claims.claim(claim, ask.key_ms).await)
}

/// Queues a peer's release or outcome here.
pub(crate) fn take_note(ctx: &SharedCtx, note: ClaimUpdate) -> Done {
    if let Some(claim) = note.claim {
        let key = claim.key.clone();
        ctx.claims.append_later(&key, Record::Claim(claim));
    }
    if let Some(release) = note.release {
        let key = release.key.clone();
        ctx.claims.append_later(&key, Record::Release(release));
    }
    if let Some(outcome) = note.outcome {
        let key = outcome.key.clone();
        ctx.claims.append_later(&key, Record::Outcome(outcome));
    }
    Done {}
}

fn give(settled: Result<Verdict, LogDown>) -> ClaimReply {
    match settled {
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

fn verdict(give: ClaimReply) -> Result<Verdict, LogDown> {
    if give.log_down {
        return Err(LogDown);
    }
    if give.won {
        return Ok(Verdict::Won);
    }
    let status = match (give.holder, give.outcome) {
        (Some(holder), Some(outcome)) => KeyStatus::Done(holder, outcome),
        (Some(holder), None) => KeyStatus::Held(holder),
        _ => KeyStatus::Free,
    };
    Ok(Verdict::Lost(status))
}

/// How the settings say that claims are grouped.
pub(crate) fn grouping(platform: &Platform) -> ClaimOptions {
    ClaimOptions {
        window: Duration::from_millis(platform.claim_window_ms.into()),
        retention_ms: platform.retention_ms,
    }
}
