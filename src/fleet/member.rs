//! A router of the fleet as the others know it.

use std::collections::HashSet;

use strum::{Display, EnumString, IntoStaticStr};

use crate::fleet::loads;
use crate::schema::peer;
use crate::util::Name;

/// State of a router in the membership view.
#[derive(
    Clone, Copy, Debug, Display, EnumString, Eq, Hash, IntoStaticStr, Ord, PartialEq, PartialOrd,
)]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer a probe, and has time to refute.
    Suspect,
    /// It is in a planned stop and takes no new work.
    Leaving,
    /// It has stopped or failed.
    Dead,
}

/// One router of the fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Host name, unique in the fleet.
    pub host: Name,
    /// Data centre it runs in.
    pub data_center: Name,
    /// Start time in milliseconds since the epoch, so that a replaced host has a higher one.
    pub incarnation: u64,
    /// Its state.
    pub state: MemberState,
    /// Address for other routers, over TCP and UDP.
    pub peer_addr: Name,
    /// Address for callers.
    pub caller_addr: Name,
}

impl Member {
    /// Whether it can be the home of an upstream.
    pub fn takes_work(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }
}

impl From<peer::Member> for Member {
    fn from(received: peer::Member) -> Self {
        Self {
            host: received.host.into(),
            data_center: received.data_center.into(),
            incarnation: received.incarnation,
            // An unknown state comes from a newer release, so the member is running.
            state: received.state.parse().unwrap_or(MemberState::Alive),
            peer_addr: received.peer_addr.into(),
            caller_addr: received.caller_addr.into(),
        }
    }
}

impl From<&Member> for peer::Member {
    fn from(member: &Member) -> Self {
        Self {
            host: member.host.to_string(),
            data_center: member.data_center.to_string(),
            incarnation: member.incarnation,
            state: member.state.to_string(),
            peer_addr: member.peer_addr.to_string(),
            caller_addr: member.caller_addr.to_string(),
        }
    }
}

/// All routers that one router knows, itself included, sorted by host name.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// All members that have not been dropped.
    pub members: Vec<Member>,
    /// Digests of the upstreams that are leaving.
    pub leaving: HashSet<u32>,
}

impl View {
    /// Whether `upstream` is leaving and takes no new work.
    pub fn is_leaving(&self, upstream: &str) -> bool {
        self.leaving.contains(&loads::digest(upstream))
    }

    /// Returns the member named `host`.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.members.iter().find(|m| &*m.host == host)
    }
}
