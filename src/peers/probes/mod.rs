//! The UDP task: it owns the membership, the loads and the suspicions, and carries them round.
//!
//! A router sends a fixed number of datagrams a second, each of bounded size, whatever the size of
//! the fleet: its own probes, and answers to those of others, which come at the same rate.

mod liveness;
mod seal;
mod task;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use compio::BufResult;
use compio::net::{TcpListener, UdpSocket};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::watch;

use crate::event::Events;
use crate::fleet::gossip::{Gossip, GossipCommand};
use crate::fleet::in_flight::InFlightTable;
use crate::fleet::leaving::LeavingTable;
use crate::fleet::loads::LoadTable;
use crate::fleet::member::{Member, View};
use crate::fleet::suspects::SuspectTable;
use crate::fleet::swim::{Swim, SwimPolicy};
use crate::log::view::ConfigView;
use crate::peers::frames;
use crate::schema::peer::Datagram;
use crate::schema::peer::datagram::Body;
use crate::stats;
use crate::util::Clock;

pub(crate) use liveness::Liveness;
use seal::Seal;
use task::Task;

const RECEIVE_BYTES: usize = 2_048;
/// Enough for a machine most of whose ports are taken.
const FREE_PORT_TRIES: usize = 64;

/// What the task starts from.
pub(crate) struct Start {
    pub(crate) socket: UdpSocket,
    pub(crate) fleet_key: String,
    pub(crate) me: Member,
    pub(crate) policy: SwimPolicy,
    pub(crate) config: watch::Receiver<Arc<ConfigView>>,
    pub(crate) clock: Clock,
    pub(crate) events: Events,
}

/// Handles to the running task.
pub(crate) struct Probes {
    pub(crate) gossip: Gossip,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) liveness: Liveness,
}

impl Probes {
    /// Starts probing on the current runtime.
    pub(crate) fn spawn(start: Start) -> Self {
        let (gossip, rx, heard) = Gossip::open();
        let seal = Seal::new(&start.fleet_key);
        let listener = listen(start.socket.clone(), seal.clone(), gossip.clone());
        compio::runtime::spawn(listener).detach();
        let now_ms = start.clock.now_ms();
        let liveness = Liveness {
            limit_ms: start.policy.suspicion_ms,
            ..Liveness::default()
        };
        liveness.at_ms.set(now_ms);
        let swim = Swim::new(start.me, start.policy, now_ms);
        let (publish, view) = watch::channel(Arc::new(swim.view()));
        let task = Task {
            socket: start.socket,
            seal,
            swim,
            loads: LoadTable::default(),
            suspects: SuspectTable::default(),
            leaving: LeavingTable::default(),
            flights: InFlightTable::default(),
            flights_seq: 0,
            names: HashMap::new(),
            config: start.config,
            clock: start.clock,
            events: start.events,
            rng: SmallRng::from_os_rng(),
            publish,
            heard,
            liveness: liveness.clone(),
            loads_changed: true,
        };
        compio::runtime::spawn(task.run(rx)).detach();
        Self {
            gossip,
            view,
            liveness,
        }
    }
}

async fn listen(socket: UdpSocket, seal: Seal, gossip: Gossip) {
    let mut buffer = Vec::with_capacity(RECEIVE_BYTES);
    loop {
        buffer.clear();
        let BufResult(received, filled) = socket.recv_from(buffer).await;
        buffer = filled;
        match received {
            Ok((_, from)) => match open(&seal, &buffer) {
                Some(body) => {
                    count("received", &body, buffer.len());
                    gossip.send(GossipCommand::Datagram(from, Box::new(body)));
                }
                None => stats::stranger(),
            },
            // An unreachable peer shows as an error of the socket; the probe's timeout handles it.
            Err(e) => log::debug!("datagram not received: {e}"),
        }
    }
}

fn open(seal: &Seal, datagram: &[u8]) -> Option<Body> {
    let payload = seal.open(datagram)?;
    let datagram: Datagram = frames::from_slice(payload).ok()?;
    datagram.body
}

fn count(way: &'static str, body: &Body, bytes: usize) {
    let kind = match body {
        Body::Ping(ping) if ping.target.is_empty() => "ping",
        Body::Ping(_) => "ping_for_other",
        Body::Ack(_) => "ack",
        Body::Flights(_) => "flights",
    };
    stats::control_bytes(way, kind, bytes);
}

/// Binds the socket of the probes.
pub(crate) async fn bind(addr: SocketAddr) -> io::Result<UdpSocket> {
    let mut socket = UdpSocket::bind(addr).await?;
    if addr.port() != 0 {
        return Ok(socket);
    }
    // A port that is free for UDP may hold an ended TCP connection, and streams need the same one:
    // the router would not start.
    for _ in 0..FREE_PORT_TRIES {
        if TcpListener::bind(socket.local_addr()?).await.is_ok() {
            break;
        }
        socket = UdpSocket::bind(addr).await?;
    }
    Ok(socket)
}
