//! Entry of one member in a router's member table.

use std::net::SocketAddr;

use crate::fleet::member::{Member, MemberState};

/// Number of pauses of this process that prolong one suspicion. One that lacks processor time for long still
/// notices the end of others.
const MAX_EXCUSED_PAUSES: u8 = 3;

#[derive(Debug)]
pub(super) struct Entry {
    pub(super) member: Member,
    pub(super) addr: Option<SocketAddr>,
    /// When its state last changed here.
    pub(super) since_ms: u64,
    /// Number of pauses of this process since then that prolonged a suspicion.
    pub(super) excused_pauses: u8,
    /// When its last message arrived.
    pub(super) last_received_ms: u64,
    /// Since when no probe has been answered, direct or indirect.
    pub(super) silent_since_ms: Option<u64>,
    /// Number of times the entry has been sent since it changed.
    pub(super) sends: u32,
    /// The highest incarnation that the platform's list marks as leaving.
    pub(super) leaving_up_to: Option<u64>,
    pub(super) listed: bool,
}

impl Entry {
    pub(super) fn new(member: Member, now_ms: u64) -> Self {
        Self {
            addr: member.peer_addr.parse().ok(),
            member,
            since_ms: now_ms,
            excused_pauses: 0,
            last_received_ms: 0,
            silent_since_ms: None,
            sends: 0,
            leaving_up_to: None,
            listed: false,
        }
    }

    /// Prolongs a suspicion by a pause of this process: a refutation may wait in its socket.
    pub(super) fn excuse_pause(&mut self, paused_ms: u64, now_ms: u64) {
        let is_suspect = self.member.state == MemberState::Suspect;
        if is_suspect && self.excused_pauses < MAX_EXCUSED_PAUSES {
            self.excused_pauses += 1;
            self.since_ms = (self.since_ms + paused_ms).min(now_ms);
        }
    }

    pub(super) fn is_live(&self) -> bool {
        self.member.state != MemberState::Dead
    }

    /// Whether it is known only from the platform's list.
    pub(super) fn is_listed_only(&self) -> bool {
        self.member.incarnation == 0 && self.member.state == MemberState::Alive
    }

    /// Whether its state means something to other routers. That a host is listed doesn't: they read
    /// the same list.
    pub(super) fn is_sendable(&self) -> bool {
        self.member.incarnation > 0 || self.member.state == MemberState::Dead
    }

    /// Returns the member as the rest of the router sees it. The list's "leaving" applies to the
    /// incarnation that was listed, not to one that started later.
    pub(super) fn effective(&self) -> Member {
        let mut member = self.member.clone();
        let leaving = self.leaving_up_to.is_some_and(|i| member.incarnation <= i);
        if leaving && member.takes_work() {
            member.state = MemberState::Leaving;
        }
        member
    }
}

/// Order of states of one incarnation: the higher one wins.
pub(super) fn rank(state: MemberState) -> u8 {
    match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Leaving => 2,
        MemberState::Dead => 3,
    }
}
