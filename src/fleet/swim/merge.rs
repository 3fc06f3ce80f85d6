//! Merging of received member states: which are newer, and which concern this router itself.

use crate::fleet::member::{Member, MemberState};
use crate::fleet::swim::Swim;
use crate::fleet::swim::entry::{Entry, rank};
use crate::util::Name;

/// For this long after its start, a router refutes any state that is received for its name; later,
/// a higher incarnation of its name is another process that has replaced it.
const START_GRACE_MS: u64 = 10_000;

/// Value of `sends` for an entry that needs no further sending.
const SENT_ENOUGH: u32 = u32::MAX;

impl Swim {
    /// Records a message of `host`, which was alive at this incarnation when it sent it.
    pub fn record_contact(&mut self, host: &str, incarnation: u64, now_ms: u64) {
        let Some(entry) = self.members.get_mut(host) else {
            return;
        };
        entry.silent_since_ms = None;
        entry.last_received_ms = now_ms;
        if incarnation > entry.member.incarnation {
            let state = MemberState::Alive;
            let host = entry.member.host.clone();
            self.set_state(&host, incarnation, state, now_ms);
        }
    }

    /// Merges the full member list of another router. The fleet knows it already, so it isn't sent
    /// on.
    pub fn merge_full_list(&mut self, known: Vec<Member>, now_ms: u64) {
        let hosts: Vec<Name> = known.iter().map(|m| m.host.clone()).collect();
        self.merge(known, now_ms);
        for host in hosts.iter().filter(|host| **host != self.me) {
            if let Some(entry) = self.members.get_mut(host) {
                entry.sends = SENT_ENOUGH;
            }
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
        let Some(entry) = self.members.get_mut(&received.host) else {
            // Dead members that are unknown here needn't be stored.
            if received.state != MemberState::Dead {
                self.members
                    .insert(received.host.clone(), Entry::new(received, now_ms));
                self.changed = true;
            }
            return;
        };
        let known = (entry.member.incarnation, rank(entry.member.state));
        if (received.incarnation, rank(received.state)) <= known {
            return;
        }
        if received.incarnation > entry.member.incarnation {
            entry.addr = received.peer_addr.parse().ok();
            entry.member.peer_addr = received.peer_addr;
            entry.member.caller_addr = received.caller_addr;
            entry.member.data_center = received.data_center;
        }
        self.set_state(&received.host, received.incarnation, received.state, now_ms);
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
            self.changed = true;
        } else if (wrong || newer)
            && !self.replaced
            && let Some(entry) = self.members.get_mut(&self.me)
        {
            entry.member.incarnation = received.incarnation + 1;
            entry.sends = 0;
            self.changed = true;
        }
    }

    pub(super) fn set_state(
        &mut self,
        host: &Name,
        incarnation: u64,
        state: MemberState,
        now_ms: u64,
    ) {
        let Some(entry) = self.members.get_mut(host) else {
            return;
        };
        let before = entry.effective();
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
        entry.silent_since_ms = None;
        entry.sends = if confirmed { SENT_ENOUGH } else { 0 };
        self.changed |= entry.effective() != before;
    }
}
