//! Asks other routers for the configuration when the log can't tell it.

use tokio::sync::mpsc;

use crate::fleet::member::Member;
use crate::log::config_task::PeerQuery;
use crate::peers::{CONFIG, PeerClient};
use crate::schema::peer::{ConfigReply, ConfigRequest};
use crate::serve::SharedCtx;

/// Peers asked for one question, in turn from one question to the next.
const ASKED: usize = 2;

/// Answers the keeper's questions until the router stops.
pub(crate) async fn answer(
    ctx: SharedCtx,
    peers: PeerClient,
    mut questions: mpsc::Receiver<PeerQuery>,
) {
    let mut turn = 0;
    while let Some((ask, reply)) = questions.recv().await {
        let give = ask_some(&ctx, &peers, ask, &mut turn).await;
        // The keeper ends only with the router.
        let _ = reply.send(give);
    }
}

/// The newest of a few answers.
async fn ask_some(
    ctx: &SharedCtx,
    peers: &PeerClient,
    ask: ConfigRequest,
    turn: &mut usize,
) -> Option<ConfigReply> {
    let fleet = ctx.fleet();
    let other = |m: &&Member| m.host != ctx.host && m.takes_work();
    let others: Vec<&Member> = fleet.members.iter().filter(other).collect();
    let mut best: Option<ConfigReply> = None;
    for _ in 0..ASKED.min(others.len()) {
        let member = others[*turn % others.len()];
        *turn = turn.wrapping_add(1);
        match peers
            .query::<_, ConfigReply>(&member.peer_addr, CONFIG, &ask)
            .await
        {
            Ok(give) if best.as_ref().is_none_or(|b| give.offset > b.offset) => best = Some(give),
            Ok(_) => {}
            Err(e) => log::debug!("{} gave no configuration: {e}", member.host),
        }
    }
    best
}
