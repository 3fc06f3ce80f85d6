//! What routers ask one another on this path: news of the log, and who is there.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Response, StatusCode};
use hyper::body::Incoming;
use rand::seq::IteratorRandom;

use crate::fleet::gossip::GossipCommand;
use crate::fleet::member::Member;
use crate::front::body::Answer;
use crate::path::Path;
use crate::path::dialect::{Dialect, Records};
use crate::peers::server::{self, PeerHandler};
use crate::peers::{LOG_SYNC, MEMBERS, PeerClient};
use crate::schema::peer::{LogSyncReply, LogSyncRequest, MembersReply, MembersRequest};
use crate::util::Name;

/// A router that starts asks this many for news before it has any.
const START_ASKS: usize = 3;
/// Pause between two looks whether another must be asked, while nothing is known.
const START_PAUSE: Duration = Duration::from_millis(400);
/// How long a router that starts waits for the log alone, unless the log fails. A large configuration over a thin link
/// takes a part of that; a log that went silent fails only after some seconds, and peers know what it would say.
const LOG_ALONE_MS: u64 = 2_000;
/// When a router that has started asks another for its members. Of a fleet that starts for the first time at once, the
/// first to read the list find few in it; what they miss would take the probes' rumours many seconds.
const FILL_PAUSES: [Duration; 2] = [Duration::from_millis(700), Duration::from_secs(2)];

/// Answers other routers at `addr`.
pub(crate) async fn bind<D: Dialect + Records>(
    addr: SocketAddr,
    key: Name,
    path: Rc<Path<D>>,
) -> io::Result<SocketAddr> {
    let drain = path.drain.clone();
    server::bind(addr, key, drain, path).await
}

impl<D: Dialect + Records> PeerHandler for Rc<Path<D>> {
    async fn answer(&self, path: &str, body: Incoming) -> Response<Answer> {
        match path {
            LOG_SYNC => {
                server::reply(LOG_SYNC, body, async |ask: LogSyncRequest| {
                    self.replica.give(&ask)
                })
                .await
            }
            MEMBERS => {
                server::reply(MEMBERS, body, async |ask| {
                    server::members(&self.gossip, ask).await
                })
                .await
            }
            _ => server::status(StatusCode::NOT_FOUND),
        }
    }
}

/// Takes what other routers say they know, and asks those that know more.
pub(crate) async fn follow<D: Dialect + Records>(path: Rc<Path<D>>, client: PeerClient) {
    let mut peer_positions = path.gossip.peer_positions();
    while peer_positions.changed().await.is_ok() {
        let heard = peer_positions.borrow_and_update().clone();
        path.replica.heard(&heard.position);
        if path.replica.is_behind(&heard.position)
            && !(leaves_it_to_the_log(&path) || path.replica.awaits_log())
            && let Some(addr) = path.peer_addr(&heard.host)
        {
            ask(&path, &client, &addr).await;
        }
    }
}

/// Asks another for everything, one at a time, until something is known: the log may be out of reach of a router that
/// starts.
///
/// Failure guarded against: hundreds of routers that start at once before thousands of upstreams have read half of the log
/// when they begin to ask. If each asks several others for all of it, those that are ready first, and the few that all
/// are told of, are jammed for long, and callers with them.
pub(crate) async fn join<D: Dialect + Records>(
    path: Rc<Path<D>>,
    client: PeerClient,
    seeds: Vec<Name>,
) {
    let mut knows_members = false;
    while path.unready().is_some() && !path.drain.is_stopping() {
        compio::time::sleep(START_PAUSE).await;
        if path.unready().is_none() || leaves_it_to_the_log(&path) {
            continue;
        }
        let known = others(&path);
        let Some(addr) = known.iter().chain(&seeds).choose(&mut rand::rng()) else {
            continue;
        };
        ask(&path, &client, addr).await;
        if !knows_members {
            knows_members = ask_members(&path, &client, addr).await;
        }
    }
    for pause in FILL_PAUSES {
        compio::time::sleep(pause).await;
        if let Some(addr) = others(&path).first() {
            ask_members(&path, &client, addr).await;
        }
    }
}

/// Asks others anew each time that this router was suspended.
pub(crate) async fn ask_after_suspend<D: Dialect + Records>(path: Rc<Path<D>>, client: PeerClient) {
    let resumed = path.replica.suspend().resumed();
    loop {
        resumed.notified().await;
        for addr in others(&path) {
            if !path.replica.needs_refresh() {
                break;
            }
            ask(&path, &client, &addr).await;
        }
    }
}

/// Whether this router has just started and the log will tell it everything.
fn leaves_it_to_the_log<D: Dialect + Records>(path: &Path<D>) -> bool {
    let has_started = path.clock.now_ms() >= LOG_ALONE_MS;
    path.unready().is_some() && !has_started && !path.replica.log_fails()
}

async fn ask_members<D>(path: &Path<D>, client: &PeerClient, addr: &Name) -> bool {
    match client
        .query::<_, MembersReply>(addr, MEMBERS, &MembersRequest {})
        .await
    {
        Ok(MembersReply { members }) => {
            let members = members.into_iter().map(Member::from).collect();
            path.gossip.send(GossipCommand::MembersReceived(members));
            true
        }
        Err(e) => {
            log::debug!("{addr} tells no members: {e}");
            false
        }
    }
}

async fn ask<D: Dialect + Records>(path: &Path<D>, client: &PeerClient, addr: &Name) {
    let ask = LogSyncRequest {
        config_version: path.state.deployment().version,
        upstreams_at: path.replica.upstreams_at(),
        takes_all: path.replica.log_fails() || path.unready().is_some(),
        orders_at: path.replica.orders_at(),
    };
    let asked_ms = path.clock.now_ms();
    match client.query::<_, LogSyncReply>(addr, LOG_SYNC, &ask).await {
        Ok(give) => path.replica.take(give, addr, asked_ms),
        Err(e) => log::debug!("{addr} gives no news: {e}"),
    }
}

fn others<D>(path: &Path<D>) -> Vec<Name> {
    let fleet = path.fleet.borrow();
    let others = fleet.members.iter().filter(|m| m.host != path.host);
    let live = others.filter(|m| m.takes_work());
    let addrs = live.map(|m| m.peer_addr.clone());
    addrs.choose_multiple(&mut rand::rng(), START_ASKS)
}
