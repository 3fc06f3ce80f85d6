//! What a router that starts asks of one that runs: everyone the other knows of.
//!
//! The platform's list names hosts that are gone and not yet those that just came. Without this,
//! a new router takes dead ones for homes until its own probes failed, one after the other.

use std::time::Duration;

use rand::seq::IteratorRandom;

use crate::fleet::gossip::GossipCommand;
use crate::fleet::member::Member;
use crate::peers::{MEMBERS, PeerClient};
use crate::schema::peer::{MembersReply, MembersRequest};
use crate::serve::SharedCtx;
use crate::util::Name;

/// How many are asked, one after the other, until one answers.
const TRIES: usize = 5;
/// After this long without a list the router starts on its own.
const LIST_WAIT: Duration = Duration::from_secs(10);

/// Asks in the background.
pub(crate) fn spawn(ctx: SharedCtx, peers: PeerClient) {
    compio::runtime::spawn(async move { join(&ctx, &peers).await }).detach();
}

async fn join(ctx: &SharedCtx, peers: &PeerClient) {
    let mut fleet = ctx.fleet.clone();
    let listed = fleet.wait_for(|view| view.members.len() > 1);
    if !matches!(compio::time::timeout(LIST_WAIT, listed).await, Ok(Ok(_))) {
        return;
    }
    for addr in others(ctx) {
        let asked = peers.query(&addr, MEMBERS, &MembersRequest {}).await;
        match asked {
            Ok(MembersReply { members }) => {
                let members = members.into_iter().map(Member::from).collect();
                ctx.gossip.send(GossipCommand::MembersReceived(members));
                return;
            }
            Err(e) => log::debug!("{addr} tells no members: {e}"),
        }
    }
}

fn others(ctx: &SharedCtx) -> Vec<Name> {
    let view = ctx.fleet();
    let others = view.members.iter().filter(|m| m.host != ctx.host);
    let addrs = others.map(|m| m.peer_addr.clone());
    addrs.choose_multiple(&mut rand::rng(), TRIES)
}
