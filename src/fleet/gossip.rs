//! What routers tell one another in passing: loads of upstreams, suspicions of requests, and how
//! far their configuration is.
//!
//! Other tasks publish here and read the latest picture; the task that owns the probes carries
//! both. A router that hears nobody still knows its own upstreams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::{mpsc, oneshot, watch};

use crate::decide::PoolView;
use crate::fleet::in_flight::FleetInFlight;
use crate::fleet::member::Member;
use crate::fleet::swim::Listed;
use crate::schema::peer::{InFlightCount, Load, LogPosition, ServiceDemand, Suspicion, datagram};
use crate::util::Name;

/// The latest known load of each upstream.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    /// By upstream name; in large fleets a random part of all.
    pub by_upstream: HashMap<Name, Load>,
}

impl Loads {
    /// Work and size of the pool that `names` make up: the mean over those whose load is known.
    ///
    /// A home tells of its idle upstreams too, so those nobody told of are unknown, not idle.
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

/// Something to tell the others.
#[derive(Clone, Debug)]
pub enum Publish {
    /// Loads of the upstreams this router is home to.
    Loads(Vec<Load>),
    /// What this router holds of a request.
    Suspicion(Suspicion),
    /// What this router has running at all upstreams, and wants to run of each service.
    InFlight(Vec<InFlightCount>, Vec<ServiceDemand>, LogPosition),
    /// What an upstream says of itself to this router, its home.
    UpstreamLeaving {
        /// Its name.
        upstream: Name,
        /// It asks for no new work.
        leaving: bool,
    },
}

/// The newest configuration any router was heard to have.
#[derive(Clone, Debug)]
pub struct NewestConfig {
    /// Last record of the configuration stream it stands at.
    pub offset: u64,
    /// Digest of the state there.
    pub digest: u64,
    /// Where that router is asked for it.
    pub peer_addr: Name,
}

impl Default for NewestConfig {
    fn default() -> Self {
        Self {
            offset: 0,
            digest: 0,
            peer_addr: "".into(),
        }
    }
}

/// What another router said it knows.
#[derive(Clone, Debug, Default)]
pub struct PeerPosition {
    /// Who said so; empty before anyone did.
    pub host: String,
    /// How much it knows.
    pub position: LogPosition,
}

/// Where the task that owns the probes puts what it hears.
#[derive(Debug)]
pub(crate) struct GossipSenders {
    pub(crate) loads: watch::Sender<Arc<Loads>>,
    pub(crate) suspicions: watch::Sender<Arc<Vec<Suspicion>>>,
    pub(crate) config: watch::Sender<Arc<NewestConfig>>,
    pub(crate) flights: watch::Sender<Arc<FleetInFlight>>,
    pub(crate) peer_positions: watch::Sender<Arc<PeerPosition>>,
}

/// What the task that owns the probes is told.
#[derive(Debug)]
pub(crate) enum GossipCommand {
    /// Another task has something for the others.
    Publish(Publish),
    /// A datagram of the fleet came.
    Datagram(SocketAddr, Box<datagram::Body>),
    /// The platform's list was read: routers, and upstreams that are going away.
    Listed(Vec<Listed>, Vec<Name>),
    /// A peer told all it knows.
    MembersReceived(Vec<Member>),
    /// A peer asks for all that is known.
    Members(oneshot::Sender<Vec<Member>>),
    /// This router stops by plan.
    Leave,
    /// This router has finished; answered when the others were told.
    Goodbye(oneshot::Sender<()>),
}

/// A handle to what is told and heard.
#[derive(Clone, Debug)]
pub struct Gossip {
    tx: mpsc::UnboundedSender<GossipCommand>,
    loads: watch::Receiver<Arc<Loads>>,
    suspicions: watch::Receiver<Arc<Vec<Suspicion>>>,
    config: watch::Receiver<Arc<NewestConfig>>,
    flights: watch::Receiver<Arc<FleetInFlight>>,
    peer_positions: watch::Receiver<Arc<PeerPosition>>,
}

impl Gossip {
    /// A handle, and the ends that the task which owns the probes holds.
    pub(crate) fn open() -> (Self, mpsc::UnboundedReceiver<GossipCommand>, GossipSenders) {
        let (tx, rx) = mpsc::unbounded_channel();
        let heard = GossipSenders {
            loads: watch::channel(Arc::default()).0,
            suspicions: watch::channel(Arc::default()).0,
            config: watch::channel(Arc::default()).0,
            flights: watch::channel(Arc::default()).0,
            peer_positions: watch::channel(Arc::default()).0,
        };
        let gossip = Self {
            tx,
            loads: heard.loads.subscribe(),
            suspicions: heard.suspicions.subscribe(),
            config: heard.config.subscribe(),
            flights: heard.flights.subscribe(),
            peer_positions: heard.peer_positions.subscribe(),
        };
        (gossip, rx, heard)
    }

    /// Tells the others, at the next occasion.
    pub fn publish(&self, publish: Publish) {
        self.send(GossipCommand::Publish(publish));
    }

    pub(crate) fn send(&self, command: GossipCommand) {
        // The task ends only with the router.
        let _ = self.tx.send(command);
    }

    /// The latest loads.
    pub fn loads(&self) -> Arc<Loads> {
        self.loads.borrow().clone()
    }

    /// Suspicions heard and held.
    pub fn suspicions(&self) -> watch::Receiver<Arc<Vec<Suspicion>>> {
        self.suspicions.clone()
    }

    /// What the other routers run and want.
    pub fn in_flight(&self) -> Arc<FleetInFlight> {
        self.flights.borrow().clone()
    }

    /// What another router last said it knows; each change may be another's.
    pub fn peer_positions(&self) -> watch::Receiver<Arc<PeerPosition>> {
        self.peer_positions.clone()
    }

    /// The newest configuration heard of, and who has it.
    pub fn newest_config(&self) -> watch::Receiver<Arc<NewestConfig>> {
        self.config.clone()
    }
}
