//! State that routers exchange by gossip: loads of upstreams, suspicions of requests, and
//! configuration versions.
//!
//! Other tasks publish through [`Gossip`] and read the latest state from it; the membership task
//! sends and receives the datagrams. Without any gossip a router still knows the loads of its own
//! upstreams.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::{mpsc, oneshot, watch};

use crate::decide::PoolView;
use crate::fleet::in_flight::FleetInFlight;
use crate::fleet::member::Member;
use crate::fleet::swim::Listed;
use crate::path::position::StreamPosition;
use crate::schema::peer::{InFlightCount, Load, LogPosition, ServiceDemand, Suspicion, datagram};
use crate::util::Name;

/// The latest known load of each upstream.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    /// By upstream name; in large fleets a random sample.
    pub by_upstream: HashMap<Name, Load>,
}

impl Loads {
    /// Returns the work and size of the pool of upstreams `names`: the mean over those whose load
    /// is known.
    ///
    /// A home publishes its idle upstreams too, so an upstream without an entry is unknown, not
    /// idle.
    pub fn pool_view(&self, names: &[Name]) -> PoolView {
        let mut known = 0_u32;
        let mut sum_ms = 0.0;
        for load in names.iter().filter_map(|n| self.by_upstream.get(n)) {
            known += 1;
            sum_ms += load.work_ms;
        }
        PoolView {
            mean_work_ms: sum_ms / f64::from(known.max(1)),
            upstreams: u32::try_from(names.len()).unwrap_or(u32::MAX),
            known,
            free_slots: 0,
        }
    }
}

/// Load of this router.
#[derive(Clone, Debug, Default)]
pub struct OwnLoad {
    /// Requests that it runs at each upstream.
    pub counts: Vec<InFlightCount>,
    /// Its demand for each service.
    pub demands: Vec<ServiceDemand>,
    /// Digests of the services of which it reaches no upstream.
    pub unreached: Vec<u32>,
}

/// An update that a task publishes to the other routers.
#[derive(Clone, Debug)]
pub enum Publish {
    /// Loads of the upstreams this router is home to.
    Loads(Vec<Load>),
    /// What this router observed for or against requests.
    Suspicions(Vec<Suspicion>),
    /// What this router runs and reaches, and the versions of its state.
    InFlight(OwnLoad, LogPosition),
    /// Digests of the upstreams that announced to this router that they are leaving, in place of
    /// those published before.
    AnnouncedLeaving(HashSet<u32>),
    /// An upstream reported to this router, its home, whether it is leaving.
    UpstreamLeaving {
        /// Name of the upstream.
        upstream: Name,
        /// Whether it takes no new work.
        leaving: bool,
    },
}

/// The newest configuration that another router has announced.
#[derive(Clone, Debug)]
pub struct NewestConfig {
    /// Position up to which the configuration stream was applied.
    pub at: StreamPosition,
    /// Digest of the state at that position.
    pub digest: u64,
    /// Peer address of the router that has it.
    pub peer_addr: Name,
}

impl Default for NewestConfig {
    fn default() -> Self {
        Self {
            at: StreamPosition::default(),
            digest: 0,
            peer_addr: "".into(),
        }
    }
}

/// Versions that another router announced.
#[derive(Clone, Debug, Default)]
pub struct PeerPosition {
    /// Name of that router; empty before the first announcement.
    pub host: String,
    /// Versions of its state.
    pub position: LogPosition,
    /// Time of this router's clock as of which the ages in `position` are to be taken.
    pub as_of_ms: u64,
}

/// Channels on which the membership task publishes what it receives.
#[derive(Debug)]
pub(crate) struct GossipSenders {
    pub(crate) loads: watch::Sender<Arc<Loads>>,
    pub(crate) suspicions: watch::Sender<Arc<Vec<Suspicion>>>,
    pub(crate) config: watch::Sender<Arc<NewestConfig>>,
    pub(crate) in_flight: watch::Sender<Arc<FleetInFlight>>,
    pub(crate) peer_positions: watch::Sender<Arc<PeerPosition>>,
}

/// Inputs of the membership task.
#[derive(Debug)]
pub(crate) enum GossipCommand {
    /// Another task publishes an update.
    Publish(Publish),
    /// An authenticated datagram arrived.
    Datagram(SocketAddr, Box<datagram::Body>),
    /// The platform's host list was read: routers, and upstreams that are leaving.
    Listed(Vec<Listed>, Vec<Name>),
    /// A peer answered with all members it knows.
    MembersReceived(Vec<Member>),
    /// A peer asks for all known members.
    Members(oneshot::Sender<Vec<Member>>),
    /// This router begins a planned stop.
    Leave,
    /// This router has stopped taking work; answered once the other routers have been notified.
    Finish(oneshot::Sender<()>),
}

/// A handle to the state exchanged by gossip.
#[derive(Clone, Debug)]
pub struct Gossip {
    tx: mpsc::UnboundedSender<GossipCommand>,
    loads: watch::Receiver<Arc<Loads>>,
    suspicions: watch::Receiver<Arc<Vec<Suspicion>>>,
    config: watch::Receiver<Arc<NewestConfig>>,
    in_flight: watch::Receiver<Arc<FleetInFlight>>,
    peer_positions: watch::Receiver<Arc<PeerPosition>>,
}

impl Gossip {
    /// Creates a handle, and the channel ends that the membership task uses.
    pub(crate) fn open() -> (Self, mpsc::UnboundedReceiver<GossipCommand>, GossipSenders) {
        let (tx, rx) = mpsc::unbounded_channel();
        let senders = GossipSenders {
            loads: watch::channel(Arc::default()).0,
            suspicions: watch::channel(Arc::default()).0,
            config: watch::channel(Arc::default()).0,
            in_flight: watch::channel(Arc::default()).0,
            peer_positions: watch::channel(Arc::default()).0,
        };
        let gossip = Self {
            tx,
            loads: senders.loads.subscribe(),
            suspicions: senders.suspicions.subscribe(),
            config: senders.config.subscribe(),
            in_flight: senders.in_flight.subscribe(),
            peer_positions: senders.peer_positions.subscribe(),
        };
        (gossip, rx, senders)
    }

    /// Queues an update for the next datagrams.
    pub fn publish(&self, publish: Publish) {
        self.send(GossipCommand::Publish(publish));
    }

    pub(crate) fn send(&self, command: GossipCommand) {
        // The task ends only with the router.
        let _ = self.tx.send(command);
    }

    /// Returns the latest loads.
    pub fn loads(&self) -> Arc<Loads> {
        self.loads.borrow().clone()
    }

    /// Suspicions of this router and of the others.
    pub fn suspicions(&self) -> watch::Receiver<Arc<Vec<Suspicion>>> {
        self.suspicions.clone()
    }

    /// Returns the other routers' counts of running requests and their demand.
    pub fn in_flight(&self) -> Arc<FleetInFlight> {
        self.in_flight.borrow().clone()
    }

    /// The versions that arrived last; successive values may be from different routers.
    pub fn peer_positions(&self) -> watch::Receiver<Arc<PeerPosition>> {
        self.peer_positions.clone()
    }

    /// The newest configuration announced by any router.
    pub fn newest_config(&self) -> watch::Receiver<Arc<NewestConfig>> {
        self.config.clone()
    }
}
