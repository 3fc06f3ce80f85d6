//! Merging of received member states: which are newer, and which concern this router itself.

use crate::fleet::member::{Member, MemberState};
use crate::fleet::swim::Swim;
use crate::fleet::swim::entry::{Entry, rank};
use crate::fleet::swim::table::SENT_ENOUGH;
use crate::util::Name;

/// For this long after its start, a router refutes any state that is received for its name; later,
/// a higher incarnation of its name is another process that has replaced it.
const START_GRACE_MS: u64 = 10_000;

impl Swim {
    /// Records a message of `host`, which was alive at this incarnation when it sent it.
    pub fn record_contact(&mut self, host: &str, incarnation: u64, now_ms: u64) {
        let Some(entry) = self.members.get(host) else {
            return;
        };
        let is_newer = incarnation > entry.member.incarnation;
        let host = entry.member.host.clone();
        self.members.update(&host, |entry| {
            entry.silent_since_ms = None;
            entry.last_received_ms = now_ms;
        });
        if is_newer {
            self.set_state(&host, incarnation, MemberState::Alive, now_ms);
        }
    }

    /// Merges the full member list of another router. The fleet knows it already, so it isn't sent
    /// on.
    pub fn merge_full_list(&mut self, known: Vec<Member>, now_ms: u64) {
        let hosts: Vec<Name> = known.iter().map(|m| m.host.clone()).collect();
        self.merge(known, now_ms);
        for host in hosts.iter().filter(|host| **host != self.me) {
            self.members.update(host, |entry| entry.sends = SENT_ENOUGH);
        }
    }

    /// Merges received member states that are newer than the known ones.
    pub fn merge(&mut self, received: Vec<Member>, now_ms: u64) {
        for member in received {
            if member.host == self.me {
                self.merge_own(&member, now_ms);
            } else {
                self.merge_member(member, now_ms);
            }
        }
    }

    fn merge_member(&mut self, received: Member, now_ms: u64) {
        let Some(entry) = self.members.get(&received.host) else {
            // Dead members that are unknown here needn't be stored.
            if received.state != MemberState::Dead {
                self.members.insert(Entry::new(received, now_ms));
            }
            return;
        };
        let known = (entry.member.incarnation, rank(entry.member.state));
        if (received.incarnation, rank(received.state)) <= known {
            return;
        }
        let Member {
            host,
            incarnation,
            state,
            ..
        } = received.clone();
        self.members.update(&host, |entry| {
            if incarnation > entry.member.incarnation {
                entry.addr = received.peer_addr.parse().ok();
                entry.member.peer_addr = received.peer_addr;
                entry.member.caller_addr = received.caller_addr;
                entry.member.data_center = received.data_center;
            }
        });
        self.set_state(&host, incarnation, state, now_ms);
    }

    /// Handles a received state of this router that is wrong: refutes it, or steps down if another
    /// process has the name.
    fn merge_own(&mut self, received: &Member, now_ms: u64) {
        let me = self.me().clone();
        let same = received.incarnation == me.incarnation;
        let wrong = same && rank(received.state) > rank(me.state);
        let newer = received.incarnation > me.incarnation;
        let young = now_ms.saturating_sub(self.started_ms) < START_GRACE_MS;
        if newer && received.state == MemberState::Alive && !young {
            // Failure guarded against: a router is cut off or paused, its host is replaced under
            // the same name, and the old process comes back, so that two processes have one name.
            // Only a process that started later can have a higher incarnation.
            self.replaced = true;
            self.members.mark_changed(&self.me);
        } else if (wrong || newer) && !self.replaced {
            self.members.update(&self.me, |entry| {
                entry.member.incarnation = received.incarnation + 1;
                entry.sends = 0;
            });
        } else if received.incarnation < me.incarnation && rank(received.state) > rank(me.state) {
            // The sender knows this router only from the list, or before its restart.
            self.members.update(&self.me, |entry| entry.sends = 0);
        }
    }

    pub(super) fn set_state(
        &mut self,
        host: &Name,
        incarnation: u64,
        state: MemberState,
        now_ms: u64,
    ) {
        self.members.update(host, |entry| {
            // All routers read the same list, so a listed host that proves alive isn't sent on.
            // Otherwise the start of a whole fleet would fill the datagrams for minutes and delay
            // updates about a crash or a leave.
            let confirmed = entry.member.incarnation == 0 && state == MemberState::Alive;
            if entry.leaving_up_to == Some(0) {
                entry.leaving_up_to = Some(incarnation);
            }
            entry.member.incarnation = incarnation;
            entry.member.state = state;
            entry.since_ms = now_ms;
            entry.excused_pauses = 0;
            entry.silent_since_ms = None;
            entry.sends = if confirmed { SENT_ENOUGH } else { 0 };
        });
    }
}
