//! Fetches the membership from a running router at start.
//!
//! The platform's list may contain dead hosts and lack new ones. Without the fetch, a new router
//! would use dead hosts as homes until its own probes to them fail, one after the other.

use std::time::Duration;

use rand::seq::IteratorRandom;

use crate::fleet::gossip::GossipCommand;
use crate::fleet::member::Member;
use crate::peers::{MEMBERS, PeerClient};
use crate::schema::peer::{MembersReply, MembersRequest};
use crate::serve::SharedCtx;
use crate::time_limit::within;
use crate::util::Name;

/// How many peers are tried in turn until one answers.
const MAX_PEERS: usize = 5;
/// The router starts without a fetch if the platform's list has not arrived by then.
const LIST_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts the fetch in the background.
pub(crate) fn spawn(ctx: SharedCtx, peers: PeerClient) {
    compio::runtime::spawn(async move { join(&ctx, &peers).await }).detach();
}

async fn join(ctx: &SharedCtx, peers: &PeerClient) {
    let mut fleet = ctx.fleet.clone();
    let listed = fleet.wait_for(|view| view.members.len() > 1);
    if !matches!(within(LIST_TIMEOUT, listed).await, Ok(Ok(_))) {
        return;
    }
    for addr in sample_peers(ctx) {
        let reply = peers.query(&addr, MEMBERS, &MembersRequest {}).await;
        match reply {
            Ok(MembersReply { members }) => {
                let members = members.into_iter().map(Member::from).collect();
                ctx.gossip.send(GossipCommand::MembersReceived(members));
                return;
            }
            Err(e) => log::debug!("fetching members from {addr} failed: {e}"),
        }
    }
}

fn sample_peers(ctx: &SharedCtx) -> Vec<Name> {
    let view = ctx.fleet();
    let peers = view.members.iter().filter(|m| m.host != ctx.host);
    let addrs = peers.map(|m| m.peer_addr.clone());
    addrs.choose_multiple(&mut rand::rng(), MAX_PEERS)
}
