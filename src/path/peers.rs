//! Requests between routers on this path: log state and members.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use http::{Response, StatusCode};
use hyper::body::Incoming;
use rand::seq::IteratorRandom;

use crate::fleet::gossip::GossipCommand;
use crate::fleet::member::Member;
use crate::front::body::Answer;
use crate::front::in_flight::Tracker;
use crate::path::RequestPath;
use crate::path::catch_up;
use crate::path::delegate;
use crate::path::dialect::{Dialect, Records};
use crate::path::start_report::Part;
use crate::path::state_requests::StateRequests;
use crate::path::stream_origins;
use crate::peers::server::{self, PeerHandler};
use crate::peers::{DELEGATE, LOG_SYNC, MEMBERS, ORIGIN, PeerClient, SUSPICIONS};
use crate::schema::peer::{
    LogSyncReply, LogSyncRequest, MembersReply, MembersRequest, SuspicionsRequest,
};
use crate::time_limit::within;
use crate::util::Name;

/// Number of peers from which a router without state requests it.
const START_PEERS: usize = 3;
/// Time after start of the first request to a peer: by then the store has named the routers.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Pause between two requests to peers while nothing is known.
const START_PAUSE: Duration = Duration::from_millis(400);
/// Time for which a router that starts relies on the log alone, unless the log fails. Reading a
/// large configuration over a slow link takes part of it. A log that stopped answering is detected
/// only after some seconds, and by then peers can send its contents.
const LOG_ONLY_MS: u64 = 2_000;
/// Delays after which a router that has started requests the members from a peer. When a whole
/// fleet starts for the first time, the first routers to read the list find few members in it, and
/// learning the others by gossip probes would take many seconds.
const MEMBER_REQUEST_DELAYS: [Duration; 2] = [Duration::from_millis(700), Duration::from_secs(2)];
/// Time limit of a round of requests for newer state; peers answer within milliseconds.
const ROUND_LIMIT: Duration = Duration::from_millis(200);
/// Pause between two rounds of requests for newer state.
const REFRESH_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which a router that knows few others requests the members from a seed host.
const SEED_INTERVAL: Duration = Duration::from_secs(2);

/// Answers requests of other routers at `addr`.
pub(crate) async fn bind<D: Dialect + Records>(
    addr: SocketAddr,
    key: Name,
    max_unauthenticated: usize,
    path: Rc<RequestPath<D>>,
) -> io::Result<SocketAddr> {
    let drain = path.drain.clone();
    server::bind(addr, key, max_unauthenticated, drain, path).await
}

impl<D: Dialect + Records> PeerHandler for Rc<RequestPath<D>> {
    async fn answer(&self, path: &str, body: Incoming, tracker: Tracker) -> Response<Answer> {
        match path {
            LOG_SYNC => {
                server::reply(LOG_SYNC, body, async |request: LogSyncRequest| {
                    self.replica.reply_to(&request)
                })
                .await
            }
            MEMBERS => {
                server::reply(MEMBERS, body, async |request| {
                    server::members(&self.gossip, request).await
                })
                .await
            }
            SUSPICIONS => {
                server::reply(SUSPICIONS, body, async |SuspicionsRequest {}| {
                    catch_up::reply(self)
                })
                .await
            }
            ORIGIN => {
                server::reply(ORIGIN, body, async |request| {
                    stream_origins::reply(self, request).await
                })
                .await
            }
            DELEGATE => delegate::answer(self, body, tracker).await,
            _ => server::status(StatusCode::NOT_FOUND),
        }
    }
}

/// Handles the state published by other routers, and requests newer state from them.
pub(crate) async fn follow_positions<D: Dialect + Records>(
    path: Rc<RequestPath<D>>,
    client: PeerClient,
) {
    let mut peer_positions = path.gossip.peer_positions();
    let requests = Rc::new(StateRequests::default());
    while peer_positions.changed().await.is_ok() {
        let received = peer_positions.borrow_and_update().clone();
        path.replica
            .receive_position(&received.position, received.as_of_ms);
        if path.replica.is_behind(&received.position)
            && !(waits_for_log(&path) || awaits_log(&path))
            && let Some(addr) = path.peer_addr(&received.host)
            && requests.start(&received.host, path.clock.now_ms())
        {
            let (path, client, requests) = (path.clone(), client.clone(), requests.clone());
            compio::runtime::spawn(async move {
                request_state(&path, &client, &addr).await;
                requests.end(&received.host);
            })
            .detach();
        }
    }
}

/// Requests the whole state from one peer at a time until something is known: the log may be
/// unreachable for a router that starts.
///
/// Failure guarded against: when hundreds of routers start at once with thousands of upstreams,
/// they have read half of the log by the time they begin to send requests. If each requested all of
/// it from several peers, the peers that are ready first, and the few seeds that all routers know,
/// would be overloaded for long, and so would their callers.
pub(crate) async fn join<D: Dialect + Records>(
    path: Rc<RequestPath<D>>,
    client: PeerClient,
    seeds: Vec<Name>,
) {
    let mut has_members = false;
    let mut pause = FIRST_PAUSE;
    while path.unready_reason().is_some() && !path.drain.is_stopping() {
        compio::time::sleep(std::mem::replace(&mut pause, START_PAUSE)).await;
        if path.unready_reason().is_none() || waits_for_log(&path) {
            continue;
        }
        let known = live_peers(&path);
        if known.is_empty() && path.catch_up.awaits_list() {
            // All routers of a fleet know the same few seeds.
            continue;
        }
        let seeds = seeds.iter().take(if known.len() < START_PEERS {
            seeds.len()
        } else {
            0
        });
        let Some(addr) = known.iter().chain(seeds).choose(&mut rand::rng()) else {
            continue;
        };
        request_state(&path, &client, addr).await;
        if !has_members {
            has_members = request_members(&path, &client, addr).await;
        }
    }
    while !path.has_met_fleet() {
        if let Some(addr) = live_peers(&path).first() {
            request_members(&path, &client, addr).await;
        }
        compio::time::sleep(START_PAUSE).await;
    }
    for pause in MEMBER_REQUEST_DELAYS {
        compio::time::sleep(pause).await;
        if let Some(addr) = live_peers(&path).first() {
            request_members(&path, &client, addr).await;
        }
        request_members_of_seed(&path, &client, &seeds).await;
    }
    loop {
        compio::time::sleep(SEED_INTERVAL).await;
        request_members_of_seed(&path, &client, &seeds).await;
    }
}

/// Requests the members from a seed host that isn't known as a member, while few others are known.
///
/// Failure guarded against: a fleet starts at once, and routers read the list of routers before
/// others are registered. If the list can't be read again soon, the fleet consists of groups that
/// don't know each other, though the settings of all name hosts of the fleet.
async fn request_members_of_seed<D: Records>(
    path: &RequestPath<D>,
    client: &PeerClient,
    seeds: &[Name],
) {
    if live_peers(path).len() >= START_PEERS {
        return;
    }
    let unknown = {
        let fleet = path.fleet.borrow();
        let is_known = |seed: &Name| fleet.members.iter().any(|m| m.peer_addr == *seed);
        let unknown = seeds.iter().filter(|seed| !is_known(seed));
        unknown.choose(&mut rand::rng())
    };
    if let Some(addr) = unknown {
        request_members(path, client, addr).await;
    }
}

/// Requests the state from peers whenever requests wait for newer state: after a suspension of this
/// router, or if its own reads take too long.
pub(crate) async fn refresh_on_demand<D: Dialect + Records>(
    path: Rc<RequestPath<D>>,
    client: PeerClient,
) {
    let wanted = path.replica.refresh_wanted();
    loop {
        if !path.replica.is_refresh_wanted() {
            wanted.notified().await;
        }
        // A router that has loaded nothing yet is `join`'s concern.
        if path.unready_reason().is_none() {
            let asked_ms = path.clock.now_ms();
            let asked = ask_peers(&path, &client);
            // What is late is as good as not sent.
            let _ = within(ROUND_LIMIT, asked).await;
            path.replica.record_peers_asked(asked_ms);
        }
        compio::time::sleep(REFRESH_PAUSE).await;
    }
}

/// Requests the state from some peers at once, until this router's state may be used.
async fn ask_peers<D: Dialect + Records>(path: &RequestPath<D>, client: &PeerClient) {
    let addrs = live_peers(path);
    let requests = addrs.iter().map(|addr| request_state(path, client, addr));
    let mut requests: FuturesUnordered<_> = requests.collect();
    while !path.replica.is_usable() && requests.next().await.is_some() {}
}

/// Whether this router has just started and should wait for its read of the log.
fn waits_for_log<D: Dialect + Records>(path: &RequestPath<D>) -> bool {
    let has_started = path.clock.now_ms() >= LOG_ONLY_MS || path.replica.awaits_peers();
    path.unready_reason().is_some() && !has_started && !path.replica.log_fails()
}

/// Whether this router reads from the log what its peers cannot send.
fn awaits_log<D: Dialect + Records>(path: &RequestPath<D>) -> bool {
    path.replica.awaits_log() && !path.replica.awaits_peers()
}

async fn request_members<D: Records>(
    path: &RequestPath<D>,
    client: &PeerClient,
    addr: &Name,
) -> bool {
    match client
        .query::<_, MembersReply>(addr, MEMBERS, &MembersRequest {})
        .await
    {
        Ok(MembersReply { members }) => {
            let start = path.replica.start_report();
            start.record_arrival(Part::Routers, addr);
            let members = members.into_iter().map(Member::from).collect();
            path.gossip.send(GossipCommand::MembersReceived(members));
            true
        }
        Err(e) => {
            log::debug!("{addr}: request for members failed: {e}");
            false
        }
    }
}

async fn request_state<D: Dialect + Records>(
    path: &RequestPath<D>,
    client: &PeerClient,
    addr: &Name,
) {
    let request = LogSyncRequest {
        config_version: path.state.deployment().version,
        upstreams_at: Some(path.replica.upstreams_at()),
        takes_all: path.replica.log_fails()
            || path.replica.awaits_peers()
            || path.unready_reason().is_some(),
        orders_at: Some(path.replica.orders_at()),
    };
    let asked_ms = path.clock.now_ms();
    match client
        .query::<_, LogSyncReply>(addr, LOG_SYNC, &request)
        .await
    {
        Ok(reply) => path.replica.apply_reply(&request, reply, addr, asked_ms),
        Err(e) => log::debug!("{addr}: request for log state failed: {e}"),
    }
}

fn live_peers<D>(path: &RequestPath<D>) -> Vec<Name> {
    let fleet = path.fleet.borrow();
    let peers = fleet.members.iter().filter(|m| m.host != path.host);
    let live = peers.filter(|m| m.takes_work());
    let addrs = live.map(|m| m.peer_addr.clone());
    addrs.choose_multiple(&mut rand::rng(), START_PEERS)
}
