//! The membership task: it owns membership, loads and suspicions, and exchanges them with other
//! routers over UDP.
//!
//! A router sends a fixed number of datagrams per second, each of bounded size, whatever the size
//! of the fleet: its own probes, and answers to those of others, which arrive at the same rate.

mod auth;
mod liveness;
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
use crate::fleet::transit::TransitTimes;
use crate::log::view::ConfigView;
use crate::peers::frames;
use crate::schema::peer::Datagram;
use crate::schema::peer::datagram::Body;
use crate::stats;
use crate::util::Clock;

use auth::DatagramAuth;
pub(crate) use liveness::Liveness;
use task::Task;

const RECEIVE_BUFFER_BYTES: usize = 2_048;
/// Sufficient on a machine most of whose ports are taken.
const FREE_PORT_TRIES: usize = 64;

/// Parameters of [`Probes::spawn`].
pub(crate) struct Options {
    pub(crate) socket: UdpSocket,
    pub(crate) fleet_key: String,
    pub(crate) me: Member,
    pub(crate) policy: SwimPolicy,
    pub(crate) config: watch::Receiver<Arc<ConfigView>>,
    pub(crate) clock: Clock,
    pub(crate) events: Events,
}

/// Handles to the running membership task.
pub(crate) struct Probes {
    pub(crate) gossip: Gossip,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) liveness: Liveness,
}

impl Probes {
    /// Starts the membership task on the current runtime.
    pub(crate) fn spawn(options: Options) -> Self {
        let (gossip, rx, senders) = Gossip::open();
        let auth = DatagramAuth::new(&options.fleet_key);
        let listener = listen(options.socket.clone(), auth.clone(), gossip.clone());
        compio::runtime::spawn(listener).detach();
        let now_ms = options.clock.now_ms();
        let liveness = Liveness {
            limit_ms: options.policy.suspicion_ms,
            ..Liveness::default()
        };
        liveness.last_run_ms.set(now_ms);
        let swim = Swim::new(options.me, options.policy, now_ms);
        let (view_tx, view) = watch::channel(Arc::new(swim.view()));
        let task = Task {
            socket: options.socket,
            auth,
            swim,
            loads: LoadTable::default(),
            suspects: SuspectTable::default(),
            leaving: LeavingTable::default(),
            in_flight: InFlightTable::default(),
            transit: TransitTimes::default(),
            in_flight_seq: 0,
            names: HashMap::new(),
            config: options.config,
            clock: options.clock,
            events: options.events,
            rng: SmallRng::from_os_rng(),
            view_tx,
            senders,
            liveness: liveness.clone(),
            loads_changed: true,
            suspects_changed: false,
        };
        compio::runtime::spawn(task.run(rx)).detach();
        Self {
            gossip,
            view,
            liveness,
        }
    }
}

async fn listen(socket: UdpSocket, auth: DatagramAuth, gossip: Gossip) {
    let mut buffer = Vec::with_capacity(RECEIVE_BUFFER_BYTES);
    loop {
        buffer.clear();
        let BufResult(received, filled) = socket.recv_from(buffer).await;
        buffer = filled;
        match received {
            Ok((_, from)) => match open(&auth, &buffer) {
                Some(body) => {
                    count("received", &body, buffer.len());
                    gossip.send(GossipCommand::Datagram(from, Box::new(body)));
                }
                None => stats::unauthenticated_datagram(),
            },
            // An unreachable peer can cause an error on the socket; the probe's timeout handles it.
            Err(e) => log::debug!("receiving a datagram failed: {e}"),
        }
    }
}

fn open(auth: &DatagramAuth, datagram: &[u8]) -> Option<Body> {
    let payload = auth.verify(datagram)?;
    let datagram: Datagram = frames::from_slice(payload).ok()?;
    datagram.body
}

fn count(way: &'static str, body: &Body, bytes: usize) {
    let kind = match body {
        Body::Ping(ping) if ping.target.is_empty() => "ping",
        Body::Ping(_) => "ping_for_other",
        Body::Ack(_) => "ack",
        Body::Flights(_) => "flights",
        Body::Suspicions(_) => "suspicions",
    };
    stats::control_bytes(way, kind, bytes);
}

/// Binds the UDP socket for probes.
pub(crate) async fn bind(addr: SocketAddr) -> io::Result<UdpSocket> {
    let mut socket = UdpSocket::bind(addr).await?;
    if addr.port() != 0 {
        return Ok(socket);
    }
    // A port that is free for UDP may be occupied by an ended TCP connection. The streams need the
    // same port, and without it the router would not start.
    for _ in 0..FREE_PORT_TRIES {
        if TcpListener::bind(socket.local_addr()?).await.is_ok() {
            break;
        }
        socket = UdpSocket::bind(addr).await?;
    }
    Ok(socket)
}
