//! Membership by probing, as in SWIM: a state machine without sockets, clock or randomness of its
//! own.
//!
//! Each round one member is probed: directly, then through others, so that one bad path doesn't
//! count as a failure of the member. A member that answers neither is suspected and has time to
//! refute; only then is it declared dead. Incarnations order the states of a member: a refutation
//! raises the member's own, and a replaced host starts with a higher one, so old states of its
//! address are ignored.

mod entry;
mod merge;
mod probing;
mod table;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use rand::Rng;

use crate::fleet::member::{Member, MemberState, View};
use crate::fleet::swim::entry::Entry;
use crate::fleet::swim::probing::LISTED_PROBES;
use crate::fleet::swim::table::Table;
use crate::util::Name;

/// Timing of probes and suspicions.
#[derive(Clone, Copy, Debug)]
pub struct SwimPolicy {
    /// Interval between two probes that this router starts.
    pub probe_interval_ms: u64,
    /// How long a direct probe may take before indirect ones are sent.
    pub probe_timeout_ms: u64,
    /// How long a suspect may refute, in a fleet of up to 16 routers; it grows with the logarithm
    /// of the size.
    pub suspicion_ms: u64,
    /// Number of routers that send indirect probes on this router's behalf.
    pub relays: usize,
    /// How long a dead member stays in the table, so that old states don't bring it back.
    pub forget_ms: u64,
}

impl Default for SwimPolicy {
    fn default() -> Self {
        Self {
            probe_interval_ms: 500,
            probe_timeout_ms: 200,
            suspicion_ms: 2_000,
            relays: 3,
            forget_ms: 600_000,
        }
    }
}

/// A protocol message, without the gossip sent along with it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Requests a [`Message::Ack`], from the receiver or from a third host on behalf of the sender.
    Ping {
        /// Sequence number, returned in the answer.
        seq: u32,
        /// Empty, or the host to probe.
        target: Name,
    },
    /// Answer to a probe.
    Ack {
        /// Sequence number of the probe.
        seq: u32,
        /// The host that is alive.
        host: Name,
    },
}

/// A message to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outgoing {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// The host that is expected at that address, if known.
    pub host: Option<Name>,
    /// The message.
    pub message: Message,
}

/// An entry of the platform's host list.
#[derive(Clone, Debug)]
pub struct Listed {
    /// The host; its incarnation is zero, as the list doesn't have it.
    pub member: Member,
    /// Whether the platform is removing the host.
    pub leaving: bool,
}

/// A change is sent this many times, multiplied by the logarithm of the fleet's size.
const RETRANSMIT_FACTOR: u32 = 3;

#[derive(Debug)]
struct Probe {
    target: Name,
    sent_ms: u64,
    indirect: bool,
}

#[derive(Debug)]
struct Relay {
    requester: SocketAddr,
    requester_seq: u32,
    sent_ms: u64,
}

/// Membership state of one router.
#[derive(Debug)]
pub struct Swim {
    policy: SwimPolicy,
    me: Name,
    members: Table,
    round: Vec<Name>,
    probes: HashMap<u32, Probe>,
    relays: HashMap<u32, Relay>,
    next_seq: u32,
    next_probe_ms: u64,
    probe_count: u32,
    started_ms: u64,
    last_tick_ms: u64,
    /// Set when this process was paused: until another router answers, or until this time.
    doubt_until_ms: Option<u64>,
    replaced: bool,
    /// Number of further probes to hosts that are known only from the list.
    listed_probes: usize,
}

impl Swim {
    /// Creates the state of a router that knows only itself.
    pub fn new(me: Member, policy: SwimPolicy, now_ms: u64) -> Self {
        let name = me.host.clone();
        let mut members = Table::default();
        members.insert(Entry::new(me, now_ms));
        Self {
            policy,
            me: name,
            members,
            round: Vec::new(),
            probes: HashMap::new(),
            relays: HashMap::new(),
            next_seq: 0,
            next_probe_ms: now_ms,
            probe_count: 0,
            started_ms: now_ms,
            last_tick_ms: now_ms,
            doubt_until_ms: None,
            replaced: false,
            listed_probes: 0,
        }
    }

    /// Returns this router's own member entry, as it is sent to others.
    pub fn me(&self) -> &Member {
        &self.own().member
    }

    fn own(&self) -> &Entry {
        let own = self.members.get(&self.me);
        own.expect("the own entry is never dropped")
    }

    /// Whether another process has this router's name; this one must not take work again.
    pub fn replaced(&self) -> bool {
        self.replaced
    }

    /// Whether this process was paused and it is unknown whether others have declared it dead.
    ///
    /// Failure guarded against: a router resumes after its host was paused for seconds, and
    /// admits work to upstreams that have another home by now. It stays in doubt until another
    /// router answers a probe sent after the pause; the answer carries its state if it was declared
    /// dead.
    pub fn in_doubt(&self) -> bool {
        self.doubt_until_ms.is_some()
    }

    /// Returns the hosts whose state in the view has changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<Name> {
        self.members.take_changed()
    }

    /// Returns all members. While in doubt or replaced, this router is `Leaving` in it.
    pub fn view(&self) -> View {
        let members = self.members.values().map(|e| self.effective(e)).collect();
        View {
            members,
            ..View::default()
        }
    }

    /// Returns the member `host` as it is in the view.
    pub fn member(&self, host: &str) -> Option<Member> {
        self.members.get(host).map(|e| self.effective(e))
    }

    fn effective(&self, entry: &Entry) -> Member {
        let mut member = entry.effective();
        if (self.in_doubt() || self.replaced) && member.host == self.me {
            member.state = MemberState::Leaving;
        }
        member
    }

    /// Returns all members whose incarnation is known, as they are sent to others.
    pub fn all(&self) -> Vec<Member> {
        let known = self.members.values().filter(|e| e.member.incarnation > 0);
        known.map(|e| e.member.clone()).collect()
    }

    /// Returns the number of members that are not dead, this router included.
    pub fn live(&self) -> usize {
        self.members.live()
    }

    /// Merges the platform's host list. A host that is new here starts as alive: a wrong entry
    /// costs a few probes, and all routers that read the same list agree at once.
    pub fn merge_listed(&mut self, hosts: Vec<Listed>, now_ms: u64) {
        self.members.for_each(|entry| entry.listed = false);
        for Listed { member, leaving } in hosts {
            let host = member.host.clone();
            if !self.members.contains(&host) {
                self.members.insert(Entry::new(member, now_ms));
                self.listed_probes = LISTED_PROBES;
            }
            self.members.update(&host, |entry| {
                entry.listed = true;
                if !leaving || entry.leaving_up_to.is_none() {
                    entry.leaving_up_to = leaving.then_some(entry.member.incarnation);
                }
            });
        }
        let forget_ms = self.policy.forget_ms;
        let me = self.me.clone();
        self.members.retain(|e| {
            let dead = e.member.state == MemberState::Dead;
            e.member.host == me || !dead || now_ms.saturating_sub(e.since_ms) < forget_ms
        });
    }

    /// Begins a planned stop: this router takes no new work.
    pub fn leave(&mut self, now_ms: u64) {
        self.set_own_state(MemberState::Leaving, now_ms);
    }

    /// Ends a planned stop. The returned messages notify a few other routers at once.
    pub fn finish<R: Rng>(&mut self, now_ms: u64, rng: &mut R) -> Vec<Outgoing> {
        self.set_own_state(MemberState::Dead, now_ms);
        self.random_members(self.policy.relays, None, rng)
            .into_iter()
            .filter_map(|host| self.ping(&host, now_ms))
            .collect()
    }

    fn set_own_state(&mut self, state: MemberState, now_ms: u64) {
        let me = self.me.clone();
        self.members.update(&me, |entry| {
            entry.member.state = state;
            entry.since_ms = now_ms;
            entry.sends = 0;
        });
    }

    /// Returns at most `max` members to send to `to`: first the state of `to` if it must be refuted
    /// or accepted, then the least sent and newest changes. If there are none, one random member,
    /// which compensates for lost datagrams.
    pub fn updates_for<R: Rng>(
        &mut self,
        to: Option<&Name>,
        max: usize,
        rng: &mut R,
    ) -> Vec<Member> {
        let limit = RETRANSMIT_FACTOR * (self.live().max(2).ilog2() + 1);
        let mut updates = Vec::with_capacity(max);
        if let Some(entry) = to.and_then(|to| self.members.get(to))
            && matches!(entry.member.state, MemberState::Suspect | MemberState::Dead)
        {
            updates.push(entry.member.clone());
        }
        let room = max.saturating_sub(updates.len());
        updates.extend(self.members.take_updates(room, limit));
        if updates.is_empty() {
            let known = self.members.choose(1, Entry::is_sendable, rng);
            updates.extend(known.into_iter().map(|e| e.member.clone()));
        }
        updates
    }
}
