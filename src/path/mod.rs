//! The path of a request that this router sends to its upstream itself.
//!
//! Read in the order of a request's way: `callers` holds the connection, `request` checks it
//! and finds its route and account, `gate` holds it until its service has room, `attempts` picks upstreams until one answers, `call` sends
//! it there over a `link`, `answer` passes the answer on and picks it up where it breaks off.
//! [`routes`], [`upstreams`] and `state` are what it reads; a [`dialect`] knows the names of
//! the headers.

pub(crate) mod answer;
pub(crate) mod attempts;
pub(crate) mod call;
pub(crate) mod callers;
mod changes;
pub(crate) mod cursor;
pub mod dialect;
pub mod evacuations;
pub mod events;
pub(crate) mod gate;
pub(crate) mod health;
pub(crate) mod link;
pub(crate) mod log_replica;
pub(crate) mod peers;
pub(crate) mod refusal;
pub mod regions;
pub(crate) mod request;
pub(crate) mod router_state;
pub mod routes;
pub(crate) mod stop;
pub(crate) mod suspects;
pub(crate) mod suspend;
pub mod upstreams;

#[cfg(test)]
mod beliefs_tests;
#[cfg(test)]
mod health_tests;
#[cfg(test)]
mod news_fake_tests;
#[cfg(test)]
mod news_fleet_tests;
#[cfg(test)]
mod news_fuzz_tests;
#[cfg(test)]
mod news_tests;
#[cfg(test)]
mod news_world_tests;
#[cfg(test)]
mod regions_tests;
#[cfg(test)]
mod suspects_tests;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::sync::watch;

use crate::event::Events;
use crate::fleet::gossip::Gossip;
use crate::fleet::in_flight::{self, REPORT_INTERVAL_MS};
use crate::fleet::member::{Member, MemberState, View};
use crate::front::Drain;
use crate::path::dialect::Records;
use crate::path::gate::Gates;
use crate::path::link::Links;
use crate::path::log_replica::LogReplica;
use crate::path::router_state::RouterState;
use crate::stats;
use crate::util::{Clock, Name};

/// Until then a router may not have heard of the others yet.
pub(crate) const SETTLE_MS: u64 = 3_000;
/// How often the other routers are told what runs here.
const TELL: Duration = Duration::from_millis(REPORT_INTERVAL_MS);
/// How often what belongs to gone upstreams is thrown away, in tellings.
const SWEEP_TELLINGS: u32 = 10;

/// What a caller says when it asks where to connect.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Entry<'a> {
    /// The host name that it will ask for.
    pub(crate) name: Option<&'a str>,
    /// Where it is.
    pub(crate) region: Option<&'a str>,
}

/// What the tasks of the path share.
pub(crate) struct Path<D> {
    pub(crate) state: Rc<RouterState>,
    pub(crate) replica: LogReplica<D>,
    pub(crate) gates: Rc<Gates>,
    pub(crate) links: Links,
    pub(crate) clock: Clock,
    pub(crate) drain: Drain,
    pub(crate) events: Events,
    pub(crate) gossip: Gossip,
    pub(crate) fleet: watch::Receiver<Arc<View>>,
    pub(crate) host: Name,
}

impl<D> Path<D> {
    /// How many routers share the fleet's limits.
    pub(crate) fn routers(&self) -> usize {
        let fleet = self.fleet.borrow();
        let live = fleet
            .members
            .iter()
            .filter(|m| m.state != MemberState::Dead);
        live.count().max(1)
    }

    /// How many routers can reach one another here, this one among them.
    pub(crate) fn reachable_routers(&self) -> usize {
        in_flight::reachable(self.gossip.in_flight().reporting, self.routers())
    }

    /// Where other routers reach `host`.
    pub(crate) fn peer_addr(&self, host: &str) -> Option<Name> {
        let fleet = self.fleet.borrow();
        fleet.get(host).map(|m| m.peer_addr.clone())
    }

    /// Settles which cold upstreams this router may send to. One that has just started knows few of the others, and
    /// leaves it to them.
    fn assign_cold(&self) {
        let now_ms = self.clock.now_ms();
        if now_ms < SETTLE_MS {
            return;
        }
        let fleet = self.fleet.borrow();
        let hosts: Vec<Name> = fleet.members.iter().map(|m| m.host.clone()).collect();
        self.state.assign_cold(&self.host, &hosts, now_ms);
    }

    /// Where callers of `entry` should connect: routers that take work, in a random order, at most `max`.
    ///
    /// Where routes have homes, these are routers of the caller's region or of one that all of the name's routes allow: a
    /// request that starts elsewhere would leave its homes before any of them has a say.
    pub(crate) fn entry_addrs(&self, entry: &Entry<'_>, max: usize) -> Vec<Name> {
        let fleet = self.fleet.borrow();
        let deployment = self.state.deployment();
        let allowed_regions = entry
            .name
            .map_or_else(Vec::new, |n| deployment.allowed_regions(n));
        let regions = self.state.regions();
        let is_stopping = self.drain.is_stopping();
        let open = |m: &&Member| m.takes_work() && !(is_stopping && m.host == self.host);
        let may_start =
            |m: &&Member| regions.may_start(entry.region, &allowed_regions, &m.data_center);
        let open = fleet.members.iter().filter(open).filter(may_start);
        open.map(|m| m.caller_addr.clone())
            .choose_multiple(&mut rand::rng(), max)
    }

    /// Why this router shouldn't get callers' connections, if it shouldn't.
    pub(crate) fn unready(&self) -> Option<&'static str> {
        if self.drain.is_stopping() {
            return Some("a planned stop is under way");
        }
        if self.state.deployment().version == 0 {
            return Some("no configuration yet");
        }
        if self.state.upstreams_known() == 0 {
            return Some("no upstream yet");
        }
        None
    }
}

/// Tells the others what runs here, and keeps house.
pub(crate) async fn tend<D: Records>(path: Rc<Path<D>>) {
    let mut tellings = 0_u32;
    loop {
        compio::time::sleep(TELL).await;
        let wishes = path.gates.refresh(&path.state);
        path.state
            .publish_in_flight(wishes, path.replica.position());
        tellings = tellings.wrapping_add(1);
        path.replica.look();
        path.replica.settle();
        path.state.merge_suspicions(path.clock.now_ms());
        path.state.judge(path.clock.now_ms());
        path.assign_cold();
        if tellings.is_multiple_of(SWEEP_TELLINGS) {
            path.links.sweep(|id| path.state.knows_upstream(id));
            path.state.sweep();
            stats::upstreams_known(path.state.upstreams_known());
        }
    }
}
