//! Fetches the configuration from peers when the log is unavailable or has a gap.

use tokio::sync::mpsc;

use crate::fleet::member::Member;
use crate::log::config_task::PeerQuery;
use crate::peers::{CONFIG, PeerClient};
use crate::schema::peer::{ConfigReply, ConfigRequest};
use crate::serve::SharedCtx;

/// Peers queried per request, in rotation from one request to the next.
const PEERS_PER_QUERY: usize = 2;

/// Serves the configuration task's requests until the router stops.
pub(crate) async fn answer(
    ctx: SharedCtx,
    peers: PeerClient,
    mut questions: mpsc::Receiver<PeerQuery>,
) {
    let mut next_peer = 0;
    while let Some((request, reply)) = questions.recv().await {
        let newest = newest_reply(&ctx, &peers, request, &mut next_peer).await;
        // The receiver closes only when the router stops.
        let _ = reply.send(newest);
    }
}

/// Queries a few peers and returns the newest configuration.
async fn newest_reply(
    ctx: &SharedCtx,
    peers: &PeerClient,
    request: ConfigRequest,
    next_peer: &mut usize,
) -> Option<ConfigReply> {
    let fleet = ctx.fleet();
    let other = |m: &&Member| m.host != ctx.host && m.takes_work();
    let candidates: Vec<&Member> = fleet.members.iter().filter(other).collect();
    let mut best: Option<ConfigReply> = None;
    for _ in 0..PEERS_PER_QUERY.min(candidates.len()) {
        let member = candidates[*next_peer % candidates.len()];
        *next_peer = next_peer.wrapping_add(1);
        match peers
            .query::<_, ConfigReply>(&member.peer_addr, CONFIG, &request)
            .await
        {
            Ok(reply) if best.as_ref().is_none_or(|b| reply.at > b.at) => best = Some(reply),
            Ok(_) => {}
            Err(e) => log::debug!(
                "fetching the configuration from {} failed: {e}",
                member.host
            ),
        }
    }
    best
}
