//! The membership task's handling of time, datagrams and inputs from other tasks.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compio::BufResult;
use compio::net::UdpSocket;
use rand::rngs::SmallRng;
use rand::seq::index;
use tokio::sync::{mpsc, watch};

use crate::event::{Events, Kind};
use crate::fleet::gossip::{
    GossipCommand, GossipSenders, Loads, NewestConfig, OwnLoad, PeerPosition, Publish,
};
use crate::fleet::homes;
use crate::fleet::in_flight::{self, InFlightTable, MAX_REPORTED};
use crate::fleet::leaving::LeavingTable;
use crate::fleet::loads::{self, LoadTable};
use crate::fleet::member::{Member, MemberState, View};
use crate::fleet::suspects::SuspectTable;
use crate::fleet::swim::{Message, Outgoing, Swim};
use crate::fleet::transit::TransitTimes;
use crate::log::view::ConfigView;
use crate::path::position::StreamPosition;
use crate::peers::frames;
use crate::peers::probes::auth::{DatagramAuth, TAG_BYTES};
use crate::peers::probes::count;
use crate::peers::probes::liveness::Liveness;
use crate::schema::peer::datagram::Body;
use crate::schema::peer::{
    self, Ack, Datagram, InFlightReport, LogPosition, Ping, SuspicionReport,
};
use crate::stats;
use crate::time_limit::within;
use crate::util::{Clock, Name};

/// Four datagrams of this size per second stay under 2 KB/s with their IP and UDP headers.
const MAX_DATAGRAM_BYTES: usize = 400;
/// Short enough for probe timeouts of 100 ms and more.
const TICK: Duration = Duration::from_millis(50);
/// Entries that fit together into [`MAX_DATAGRAM_BYTES`]; loads fill the rest.
const MAX_MEMBERS: usize = 2;
/// Suspicions and their deaths.
const MAX_SUSPICIONS: usize = 9;
/// Suspicions and their deaths in a report that contains nothing else.
const MAX_REPORTED_SUSPICIONS: usize = 24;
const MAX_LEAVING: usize = 4;
const MAX_LOADS: usize = 28;
/// Above this number, simultaneous member changes are reported as counts: a router that starts
/// among 195 would write 390 lines, which took a host with an eighth of a core 60 ms before its
/// first request.
const MAX_LISTED_CHANGES: usize = 4;
/// Number of members from which the receivers of a report are drawn: enough for
/// [`MAX_REPORTED`] live ones while three quarters of the fleet are down.
const MAX_SAMPLED: usize = 4 * MAX_REPORTED;
/// Number of times that each router sends a suspicion it received.
const SUSPICION_SENDS: u32 = 12;

/// State of the membership task.
pub(super) struct Task {
    pub(super) socket: UdpSocket,
    pub(super) auth: DatagramAuth,
    pub(super) swim: Swim,
    pub(super) loads: LoadTable,
    pub(super) suspects: SuspectTable,
    pub(super) leaving: LeavingTable,
    pub(super) in_flight: InFlightTable,
    pub(super) transit: TransitTimes,
    pub(super) in_flight_seq: u64,
    pub(super) names: HashMap<u32, Name>,
    pub(super) config: watch::Receiver<Arc<ConfigView>>,
    pub(super) clock: Clock,
    pub(super) events: Events,
    pub(super) rng: SmallRng,
    pub(super) view_tx: watch::Sender<Arc<View>>,
    pub(super) senders: GossipSenders,
    pub(super) liveness: Liveness,
    pub(super) loads_changed: bool,
    pub(super) suspects_changed: bool,
}

impl Task {
    pub(super) async fn run(mut self, mut rx: mpsc::UnboundedReceiver<GossipCommand>) {
        self.config_changed();
        let mut next_tick_ms = 0;
        loop {
            let now_ms = self.clock.now_ms();
            if now_ms >= next_tick_ms {
                next_tick_ms = now_ms + u64::try_from(TICK.as_millis()).unwrap_or_default();
                self.tick(now_ms).await;
            }
            let wait = Duration::from_millis(next_tick_ms.saturating_sub(now_ms));
            match within(wait, rx.recv()).await {
                Ok(Some(command)) => self.handle(command).await,
                Ok(None) => return,
                Err(_) => {}
            }
        }
    }

    async fn tick(&mut self, now_ms: u64) {
        let out = self.swim.tick(now_ms, &mut self.rng);
        self.liveness.last_run_ms.set(now_ms);
        if self.config.has_changed().unwrap_or(false) {
            self.config_changed();
        }
        let leaving = self.leaving.known(now_ms);
        if leaving != self.view_tx.borrow().leaving {
            self.leaving_changed(leaving);
        }
        let changed = self.swim.take_changed();
        if !changed.is_empty() {
            self.liveness
                .in_doubt
                .set(self.swim.in_doubt() || self.swim.replaced());
            self.members_changed(changed);
        }
        if std::mem::take(&mut self.loads_changed) {
            let by_upstream = self.loads.known(&self.names, now_ms);
            self.senders
                .loads
                .send_replace(Arc::new(Loads { by_upstream }));
        }
        if std::mem::take(&mut self.suspects_changed) {
            let all = self.suspects.all(now_ms);
            self.senders.suspicions.send_replace(Arc::new(all));
        }
        self.report_suspicions(now_ms).await;
        self.send_all(out).await;
    }

    async fn handle(&mut self, command: GossipCommand) {
        let now_ms = self.clock.now_ms();
        match command {
            GossipCommand::Publish(Publish::Loads(loads)) => {
                for load in &loads {
                    self.loads.publish(load);
                }
                self.loads_changed = true;
            }
            GossipCommand::Publish(Publish::InFlight(load, position)) => {
                self.publish_in_flight(load, position, now_ms).await;
            }
            GossipCommand::Publish(Publish::Suspicions(suspicions)) => {
                self.suspect(&suspicions, now_ms);
            }
            GossipCommand::Publish(Publish::UpstreamLeaving { upstream, leaving }) => {
                self.leaving.set_signalled(&upstream, leaving);
            }
            GossipCommand::Publish(Publish::AnnouncedLeaving(digests)) => {
                self.leaving.set_announced(digests);
            }
            GossipCommand::Datagram(from, body) => self.receive(from, *body, now_ms).await,
            GossipCommand::Listed(hosts, leaving) => {
                self.swim.merge_listed(hosts, now_ms);
                self.leaving.set_listed(&leaving);
            }
            GossipCommand::MembersReceived(members) => self.swim.merge_full_list(members, now_ms),
            GossipCommand::Members(reply) => {
                // The requester may have disconnected.
                let _ = reply.send(self.swim.all());
            }
            GossipCommand::Leave => self.swim.leave(now_ms),
            GossipCommand::Finish(done) => {
                let out = self.swim.finish(now_ms, &mut self.rng);
                self.send_all(out).await;
                // The router may have stopped waiting.
                let _ = done.send(());
            }
        }
    }

    /// Publishes the counts of running requests. In a large fleet each publication goes to random
    /// routers.
    async fn publish_in_flight(&mut self, load: OwnLoad, position: LogPosition, now_ms: u64) {
        let view = self.view_tx.borrow().clone();
        let is_live = |m: &&Member| m.state != MemberState::Dead;
        let live = view.members.iter().filter(is_live).count();
        let totals = self.in_flight.fleet_counts(live, now_ms);
        self.senders.in_flight.send_replace(Arc::new(totals));
        self.in_flight_seq += 1;
        let me = self.swim.me();
        let body = Body::Flights(InFlightReport {
            from_host: me.host.to_string(),
            from_incarnation: me.incarnation,
            seq: self.in_flight_seq,
            flights: load.counts,
            mark: Some(position),
            wishes: load.demands,
            unreached: load.unreached,
        });
        self.publish(&view, live, body).await;
    }

    /// Reports news about requests. A harmful request that is sent again at once crashes an upstream
    /// in less time than gossip takes to reach all routers.
    async fn report_suspicions(&mut self, now_ms: u64) {
        let suspicions = self.suspects.report(MAX_REPORTED_SUSPICIONS, now_ms);
        if suspicions.is_empty() {
            return;
        }
        let view = self.view_tx.borrow().clone();
        let is_live = |m: &&Member| m.state != MemberState::Dead;
        let live = view.members.iter().filter(is_live).count();
        let body = Body::Suspicions(SuspicionReport { suspicions });
        self.publish(&view, live, body).await;
    }

    /// Sends a datagram to random ones of `live` routers.
    async fn publish(&mut self, view: &View, live: usize, body: Body) {
        let Ok(payload) = frames::to_vec(&Datagram {
            body: Some(body.clone()),
        }) else {
            return;
        };
        let datagram = self.auth.sign(&payload);
        for addr in self.report_addrs(view, in_flight::receivers(live)) {
            count("sent", &body, datagram.len());
            let BufResult(sent, _) = self.socket.send_to(datagram.clone(), addr).await;
            if let Err(e) = sent {
                // The next publication makes up for it.
                log::debug!("sending a publication to {addr} failed: {e}");
            }
        }
    }

    /// Returns the addresses of random live routers that this router's counts are sent to.
    fn report_addrs(&mut self, view: &View, receivers: usize) -> Vec<SocketAddr> {
        let me = &self.swim.me().host;
        let is_receiver = |m: &&Member| m.state != MemberState::Dead && m.host != *me;
        let members = view.members.len();
        // A sample of a large fleet, so that the cost doesn't grow with it.
        let sampled = index::sample(&mut self.rng, members, members.min(MAX_SAMPLED));
        let sampled = sampled.iter().map(|at| &view.members[at]);
        let chosen = sampled.filter(is_receiver).take(receivers);
        chosen.filter_map(|m| m.peer_addr.parse().ok()).collect()
    }

    async fn receive(&mut self, from: SocketAddr, body: Body, now_ms: u64) {
        let (gossip, message) = match body {
            Body::Ping(Ping {
                seq,
                target,
                gossip,
            }) => {
                let target = target.into();
                (gossip, Message::Ping { seq, target })
            }
            Body::Ack(Ack { seq, host, gossip }) => {
                let host = host.into();
                (gossip, Message::Ack { seq, host })
            }
            Body::Suspicions(report) => return self.suspect(&report.suspicions, now_ms),
            Body::Flights(mut counts) => {
                let position = counts.mark.take().unwrap_or_default();
                let host = counts.from_host.clone();
                let incarnation = counts.from_incarnation;
                self.swim.record_contact(&host, incarnation, now_ms);
                let as_of_ms =
                    self.transit
                        .sent_as_of_ms(&host, incarnation, position.at_ms, now_ms);
                self.senders
                    .peer_positions
                    .send_replace(Arc::new(PeerPosition {
                        host,
                        position,
                        as_of_ms,
                    }));
                return self.in_flight.record(counts, now_ms);
            }
        };
        self.merge(gossip.unwrap_or_default(), now_ms);
        let out = self.swim.receive(from, message, now_ms);
        self.send_all(out).await;
    }

    fn merge(&mut self, gossip: peer::Gossip, now_ms: u64) {
        self.events.observe(gossip.stamp.as_ref());
        let members = gossip.members.into_iter().map(Member::from).collect();
        self.swim.merge(members, now_ms);
        self.swim
            .record_contact(&gossip.from_host, gossip.from_incarnation, now_ms);
        self.leaving.merge(&gossip.leaving, now_ms);
        self.loads.merge(&gossip.loads, now_ms);
        self.loads_changed |= !gossip.loads.is_empty();
        self.suspect(&gossip.suspicions, now_ms);
        self.record_config(
            &gossip.from_host,
            gossip.config_at.unwrap_or_default(),
            gossip.config_digest,
        );
    }

    fn suspect(&mut self, received: &[peer::Suspicion], now_ms: u64) {
        self.suspects_changed |= self.suspects.merge(received, now_ms);
    }

    fn record_config(&self, host: &str, at: StreamPosition, digest: u64) {
        if at <= self.senders.config.borrow().at {
            return;
        }
        let view = self.view_tx.borrow();
        let Some(member) = view.get(host) else {
            return;
        };
        let peer_addr = member.peer_addr.clone();
        self.senders.config.send_replace(Arc::new(NewestConfig {
            at,
            digest,
            peer_addr,
        }));
    }

    fn config_changed(&mut self) {
        let config = self.config.borrow_and_update().clone();
        let names = config.state.upstreams.iter().map(|u| u.name.as_str());
        self.names = names.map(|n| (loads::digest(n), n.into())).collect();
        self.view_changed();
    }

    /// Publishes a new view of all members.
    fn view_changed(&mut self) {
        let members = self.swim.view().members;
        let hosts = members.into_iter().map(|m| m.host);
        self.members_changed(hosts.collect());
    }

    /// Publishes the members that changed, and recomputes which upstreams this router is home to.
    /// Costs a search for each change, as a large fleet has some at almost every tick.
    fn members_changed(&mut self, hosts: BTreeSet<Name>) {
        let config = self.config.borrow().clone();
        let is_drained = |host: &str| {
            let mut drained = config.state.hosts.iter();
            drained.any(|m| m.draining && m.host == host)
        };
        let effective = |host: &Name| {
            let mut member = self.swim.member(host)?;
            if member.takes_work() && is_drained(host) {
                member.state = MemberState::Leaving;
            }
            Some(member)
        };
        let changed: Vec<(Name, Option<Member>)> = hosts
            .into_iter()
            .map(|h| (h.clone(), effective(&h)))
            .collect();
        self.report_changes(&changed);
        self.view_tx.send_modify(|view| {
            let view = Arc::make_mut(view);
            for (host, member) in changed {
                view.set(&host, member);
            }
        });
        let view = self.view_tx.borrow().clone();
        let me = &self.swim.me().host;
        let upstreams = config.state.upstreams.iter();
        let own = upstreams
            .filter(|u| homes::home(&view, &u.name, &u.data_center).is_some_and(|h| h.host == *me))
            .filter_map(|u| self.names.get(&loads::digest(&u.name)));
        self.loads.set_own(own);
        self.leaving
            .retain_signals(|digest| self.loads.is_own(digest));
        self.loads_changed = true;
    }

    fn leaving_changed(&self, leaving: HashSet<u32>) {
        for name in self
            .names
            .iter()
            .filter(|(digest, _)| leaving.contains(digest))
        {
            if !self.view_tx.borrow().leaving.contains(name.0) {
                self.events
                    .emit(Kind::UpstreamLeaving, |e| e.upstream = name.1.to_string());
            }
        }
        self.view_tx
            .send_modify(|view| Arc::make_mut(view).leaving = leaving);
    }

    fn report_changes(&self, changed: &[(Name, Option<Member>)]) {
        let before = self.view_tx.borrow();
        let is_changed = |member: &&Member| {
            let known = before.get(&member.host).map(|m| (m.incarnation, m.state));
            known != Some((member.incarnation, member.state))
        };
        let present = changed.iter().filter_map(|(_, member)| member.as_ref());
        let changed: Vec<&Member> = present.filter(is_changed).collect();
        for member in &changed {
            stats::member_changed(member.state.into());
        }
        if changed.len() > MAX_LISTED_CHANGES {
            let counts = counts_by_state(&changed);
            self.events.emit(Kind::MemberChanged, |e| e.detail = counts);
            return;
        }
        for member in changed {
            let state: &'static str = member.state.into();
            self.events.emit(Kind::MemberChanged, |e| {
                e.detail = format!("{} {state} {}", member.host, member.incarnation);
            });
        }
    }

    async fn send_all(&mut self, out: Vec<Outgoing>) {
        for out in out {
            self.send(out).await;
        }
    }

    async fn send(&mut self, out: Outgoing) {
        let mut gossip = self.gossip(out.host.as_ref());
        let body = loop {
            let body = body(&out.message, gossip.clone());
            let datagram = Datagram { body: Some(body) };
            let Ok(payload) = frames::to_vec(&datagram) else {
                return;
            };
            if payload.len() + TAG_BYTES <= MAX_DATAGRAM_BYTES || gossip.loads.is_empty() {
                break datagram.body.map(|body| (body, payload));
            }
            let over = payload.len() + TAG_BYTES - MAX_DATAGRAM_BYTES;
            let keep = gossip.loads.len().saturating_sub(over.div_ceil(LOAD_BYTES));
            gossip.loads.truncate(keep);
        };
        let Some((body, payload)) = body else { return };
        let datagram = self.auth.sign(&payload);
        count("sent", &body, datagram.len());
        let BufResult(sent, _) = self.socket.send_to(datagram, out.to).await;
        if let Err(e) = sent {
            // Equivalent to a lost datagram: the probe's timeout handles it.
            log::debug!("sending a datagram to {} failed: {e}", out.to);
        }
    }

    fn gossip(&mut self, to: Option<&Name>) -> peer::Gossip {
        let now_ms = self.clock.now_ms();
        let config = self.config.borrow();
        let me = self.swim.me();
        let (from_host, from_incarnation) = (me.host.to_string(), me.incarnation);
        let updates = self.swim.updates_for(to, MAX_MEMBERS, &mut self.rng);
        peer::Gossip {
            from_host,
            from_incarnation,
            config_at: Some(config.at),
            config_digest: config.digest,
            members: updates.iter().map(peer::Member::from).collect(),
            loads: self.loads.sample(MAX_LOADS, now_ms, &mut self.rng),
            suspicions: self
                .suspects
                .updates_to_send(MAX_SUSPICIONS, SUSPICION_SENDS, now_ms),
            stamp: self.events.stamp(),
            leaving: self.leaving.sample(MAX_LEAVING, now_ms, &mut self.rng),
        }
    }
}

/// Counts the members by their new state, as in "190 alive, 5 suspect".
fn counts_by_state(members: &[&Member]) -> String {
    let mut counts: BTreeMap<&'static str, usize> = BTreeMap::new();
    for member in members {
        *counts.entry(member.state.into()).or_default() += 1;
    }
    let counts = counts.iter().map(|(state, n)| format!("{n} {state}"));
    counts.collect::<Vec<_>>().join(", ")
}

/// Smallest encoded size of a load.
const LOAD_BYTES: usize = 9;

fn body(message: &Message, gossip: peer::Gossip) -> Body {
    let gossip = Some(gossip);
    match message {
        Message::Ping { seq, target } => Body::Ping(Ping {
            seq: *seq,
            target: target.to_string(),
            gossip,
        }),
        Message::Ack { seq, host } => Body::Ack(Ack {
            seq: *seq,
            host: host.to_string(),
            gossip,
        }),
    }
}
