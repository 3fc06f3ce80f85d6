//! Probes: which member is probed when, and what follows if it doesn't answer.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};

use crate::fleet::member::{Member, MemberState};
use crate::fleet::swim::entry::Entry;
use crate::fleet::swim::{Message, Outgoing, Probe, Relay, Swim, SwimPolicy};
use crate::util::Name;

/// One probe in this many goes to a dead member, so that the end of a partition is detected.
const DEAD_PROBE_INTERVAL: u32 = 8;
/// Number of probes per tick to members that are known only from the platform's list.
const LISTED_PROBES_PER_TICK: usize = 4;
/// Number of these probes after a read of the list.
///
/// Failure guarded against: when a fleet of a thousand routers starts, each probes all others, and a
/// million probes and answers take the processor time of the hosts for many seconds. With this
/// number each listed host is still probed by dozens of routers within the first two seconds, and
/// the others learn from them if it is dead.
pub(super) const LISTED_PROBES: usize = 64;

impl Swim {
    /// Handles late probes and expired suspicions, and starts the next probe.
    pub fn tick<R: Rng>(&mut self, now_ms: u64, rng: &mut R) -> Vec<Outgoing> {
        self.detect_pause(now_ms);
        let mut out = Vec::new();
        self.expire_probes(now_ms, rng, &mut out);
        self.expire_suspicions(now_ms);
        let unconfirmed: Vec<Name> = self.unconfirmed(rng);
        for host in unconfirmed {
            out.extend(self.probe(&host, now_ms));
        }
        if now_ms >= self.next_probe_ms {
            self.next_probe_ms = now_ms + self.policy.probe_interval_ms;
            if let Some(host) = self.next_target(rng) {
                out.extend(self.probe(&host, now_ms));
            }
        }
        out
    }

    /// A late tick means that this process was paused: its open probes and suspicions prove nothing
    /// about others, and after a long pause others may have declared it dead.
    fn detect_pause(&mut self, now_ms: u64) {
        let paused_ms = now_ms.saturating_sub(self.last_tick_ms);
        self.last_tick_ms = now_ms;
        if paused_ms > self.policy.probe_timeout_ms {
            self.probes.clear();
            self.members.for_each(|entry| {
                entry.silent_since_ms = entry.silent_since_ms.map(|since| since + paused_ms);
                // A refutation may wait in the socket.
                if entry.member.state == MemberState::Suspect {
                    entry.since_ms += paused_ms;
                }
            });
        }
        if paused_ms > self.policy.suspicion_ms && self.live() > 1 {
            self.doubt_until_ms = Some(now_ms + self.policy.suspicion_ms);
            self.next_probe_ms = now_ms;
            self.members.mark_changed(&self.me);
        }
        if self.doubt_until_ms.is_some_and(|until| now_ms >= until) {
            self.doubt_until_ms = None;
            self.members.mark_changed(&self.me);
        }
    }

    fn expire_probes<R: Rng>(&mut self, now_ms: u64, rng: &mut R, out: &mut Vec<Outgoing>) {
        let SwimPolicy {
            probe_timeout_ms,
            probe_interval_ms,
            ..
        } = self.policy;
        let age = |p: &Probe| now_ms.saturating_sub(p.sent_ms);
        let late = |p: &Probe| !p.indirect && age(p) >= probe_timeout_ms;
        let direct: Vec<u32> = self
            .probes
            .iter()
            .filter(|(_, p)| late(p))
            .map(|(seq, _)| *seq)
            .collect();
        for seq in direct {
            self.probe_indirectly(seq, rng, out);
        }
        let limit_ms = probe_timeout_ms + probe_interval_ms;
        let failed = self.probes.extract_if(|_, p| age(p) >= limit_ms);
        let failed: Vec<Probe> = failed.map(|(_, p)| p).collect();
        for probe in failed {
            self.probe_failed(&probe, now_ms, out);
        }
        self.relays
            .retain(|_, r| now_ms.saturating_sub(r.sent_ms) < limit_ms);
    }

    fn probe_indirectly<R: Rng>(&mut self, seq: u32, rng: &mut R, out: &mut Vec<Outgoing>) {
        let Some(probe) = self.probes.get_mut(&seq) else {
            return;
        };
        probe.indirect = true;
        let target = probe.target.clone();
        for host in self.random_members(self.policy.relays, Some(&target), rng) {
            let message = Message::Ping {
                seq,
                target: target.clone(),
            };
            out.extend(self.send(&host, message));
        }
    }

    /// Handles a probe that was answered neither directly nor through others.
    ///
    /// Failure guarded against: a host is replaced while a probe of its predecessor is under way,
    /// and the new process is suspected because the old one didn't answer. Any message that came
    /// from the host since the probe was sent proves that it is alive.
    fn probe_failed(&mut self, probe: &Probe, now_ms: u64, out: &mut Vec<Outgoing>) {
        let host = &probe.target;
        let Some(entry) = self.members.get(host) else {
            return;
        };
        if entry.last_received_ms >= probe.sent_ms {
            return;
        }
        let Member {
            state, incarnation, ..
        } = entry.member;
        self.members.update(host, |entry| {
            entry.silent_since_ms.get_or_insert(now_ms);
        });
        match state {
            // Known only from the list, it needs no time to refute.
            MemberState::Alive if incarnation == 0 => {
                self.set_state(host, 0, MemberState::Dead, now_ms);
            }
            MemberState::Alive => {
                self.set_state(host, incarnation, MemberState::Suspect, now_ms);
                // Notifies the suspect, so that it can refute at once.
                out.extend(self.ping(host, now_ms));
            }
            MemberState::Suspect | MemberState::Leaving | MemberState::Dead => {}
        }
    }

    fn expire_suspicions(&mut self, now_ms: u64) {
        let limit_ms = self.suspicion_ms();
        let is_over = |since: u64| now_ms.saturating_sub(since) >= limit_ms;
        let is_expired = |e: &Entry| match e.member.state {
            MemberState::Suspect => is_over(e.since_ms),
            MemberState::Leaving => e.silent_since_ms.is_some_and(is_over),
            MemberState::Alive | MemberState::Dead => false,
        };
        let expired: Vec<(Name, u64)> = self
            .members
            .ending()
            .filter(|e| e.member.host != self.me && is_expired(e))
            .map(|e| (e.member.host.clone(), e.member.incarnation))
            .collect();
        for (host, incarnation) in expired {
            self.set_state(&host, incarnation, MemberState::Dead, now_ms);
        }
    }

    /// A refutation needs a few rounds to reach all routers; their number grows with the logarithm
    /// of the fleet's size.
    fn suspicion_ms(&self) -> u64 {
        let rounds = u64::from(self.live().max(2).ilog2());
        self.policy.suspicion_ms * rounds.max(4) / 4
    }

    fn unconfirmed<R: Rng>(&mut self, rng: &mut R) -> Vec<Name> {
        let max = self.listed_probes.min(LISTED_PROBES_PER_TICK);
        if max == 0 {
            return Vec::new();
        }
        let probed = |host: &Name| self.probes.values().any(|p| p.target == *host);
        let is_unconfirmed = |e: &&Entry| {
            let host = &e.member.host;
            e.is_listed_only() && *host != self.me && !probed(host)
        };
        let unconfirmed = self.members.values().filter(is_unconfirmed);
        let hosts = unconfirmed.map(|e| &e.member.host);
        let hosts: Vec<Name> = hosts
            .choose_multiple(rng, max)
            .into_iter()
            .cloned()
            .collect();
        self.listed_probes -= hosts.len();
        hosts
    }

    /// Returns each member once in random order before any is repeated: some router probes a
    /// crashed member within one round, however large the fleet.
    fn next_target<R: Rng>(&mut self, rng: &mut R) -> Option<Name> {
        self.probe_count = self.probe_count.wrapping_add(1);
        if self.probe_count.is_multiple_of(DEAD_PROBE_INTERVAL)
            && let Some(dead) = self.random_dead(rng)
        {
            return Some(dead);
        }
        if self.round.is_empty() {
            let live = |e: &&Entry| e.member.state != MemberState::Dead;
            let hosts = self.members.values().filter(live);
            let others = hosts.map(|e| &e.member.host).filter(|h| **h != self.me);
            self.round = others.cloned().collect();
            self.round.shuffle(rng);
        }
        while let Some(host) = self.round.pop() {
            if self.members.get(&host).is_some_and(Entry::is_live) {
                return Some(host);
            }
        }
        None
    }

    fn random_dead<R: Rng>(&self, rng: &mut R) -> Option<Name> {
        if self.members.live() == self.members.len() {
            return None;
        }
        let dead = self.members.values().filter(|e| !e.is_live() && e.listed);
        dead.map(|e| &e.member.host).choose(rng).cloned()
    }

    pub(super) fn random_members<R: Rng>(
        &self,
        n: usize,
        except: Option<&Name>,
        rng: &mut R,
    ) -> Vec<Name> {
        let is_eligible = |e: &Entry| {
            let host = &e.member.host;
            e.is_live() && e.member.incarnation > 0 && *host != self.me && Some(host) != except
        };
        let chosen = self.members.choose(n, is_eligible, rng);
        chosen.into_iter().map(|e| e.member.host.clone()).collect()
    }

    fn probe(&mut self, host: &Name, now_ms: u64) -> Option<Outgoing> {
        let out = self.ping(host, now_ms)?;
        if let Message::Ping { seq, .. } = &out.message {
            let probe = Probe {
                target: host.clone(),
                sent_ms: now_ms,
                indirect: false,
            };
            self.probes.insert(*seq, probe);
        }
        Some(out)
    }

    pub(super) fn ping(&mut self, host: &Name, _now_ms: u64) -> Option<Outgoing> {
        let seq = self.seq();
        let target = Name::from("");
        self.send(host, Message::Ping { seq, target })
    }

    fn send(&self, host: &Name, message: Message) -> Option<Outgoing> {
        Some(Outgoing {
            to: self.members.get(host)?.addr?,
            host: Some(host.clone()),
            message,
        })
    }

    fn seq(&mut self) -> u32 {
        self.next_seq = self.next_seq.wrapping_add(1);
        self.next_seq
    }

    /// Handles one message from `from`, after [`Swim::record_contact`] and [`Swim::merge`].
    pub fn receive(&mut self, from: SocketAddr, message: Message, now_ms: u64) -> Vec<Outgoing> {
        match message {
            Message::Ping { seq, target } if target.is_empty() || target == self.me => {
                let host = self.me.clone();
                vec![Outgoing {
                    to: from,
                    host: None,
                    message: Message::Ack { seq, host },
                }]
            }
            Message::Ping { seq, target } => {
                let Some(out) = self.ping(&target, now_ms) else {
                    return Vec::new();
                };
                if let Message::Ping { seq: own, .. } = &out.message {
                    let relay = Relay {
                        requester: from,
                        requester_seq: seq,
                        sent_ms: now_ms,
                    };
                    self.relays.insert(*own, relay);
                }
                vec![out]
            }
            Message::Ack { seq, host } => self.acked(seq, host, now_ms),
        }
    }

    fn acked(&mut self, seq: u32, host: Name, now_ms: u64) -> Vec<Outgoing> {
        // An answer of another host at the target's address proves nothing about the target.
        if self.probes.get(&seq).is_some_and(|p| p.target == host) {
            self.probes.remove(&seq);
            self.answered(&host);
            if self.doubt_until_ms.take().is_some() {
                self.next_probe_ms = now_ms;
                self.members.mark_changed(&self.me);
            }
        }
        match self.relays.remove(&seq) {
            Some(relay) => vec![Outgoing {
                to: relay.requester,
                host: None,
                message: Message::Ack {
                    seq: relay.requester_seq,
                    host,
                },
            }],
            None => Vec::new(),
        }
    }

    fn answered(&mut self, host: &Name) {
        self.members
            .update(host, |entry| entry.silent_since_ms = None);
    }
}
