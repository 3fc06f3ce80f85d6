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
    /// Digests of the upstreams that are leaving: of their names, or of their starts where these are
    /// known.
    pub leaving: HashSet<u32>,
    /// Number of changes of the members that it reflects.
    pub version: u64,
}

impl View {
    /// Whether `upstream` is leaving and takes no new work.
    pub fn is_leaving(&self, upstream: &str) -> bool {
        self.leaving.contains(&loads::digest(upstream))
    }

    /// Returns the member named `host`, by binary search.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.search(host).ok().map(|at| &self.members[at])
    }

    /// Replaces the member named `host`, or removes it.
    ///
    /// ```
    /// use cassiagrade::fleet::member::{Member, MemberState, View};
    /// let member = |host: &str, state| Member {
    ///     host: host.into(),
    ///     data_center: "north".into(),
    ///     incarnation: 1,
    ///     state,
    ///     peer_addr: "10.0.0.1:80".into(),
    ///     caller_addr: "10.0.0.1:81".into(),
    /// };
    /// let mut view = View::default();
    /// for host in ["b", "a"] {
    ///     view.set(host, Some(member(host, MemberState::Alive)));
    /// }
    /// view.set("a", Some(member("a", MemberState::Dead)));
    /// assert_eq!(view.get("a").unwrap().state, MemberState::Dead);
    /// view.set("a", None);
    /// assert_eq!(view.members.len(), 1);
    /// ```
    pub fn set(&mut self, host: &str, member: Option<Member>) {
        self.version += 1;
        match (self.search(host), member) {
            (Ok(at), Some(member)) => self.members[at] = member,
            (Ok(at), None) => {
                self.members.remove(at);
            }
            (Err(at), Some(member)) => self.members.insert(at, member),
            (Err(_), None) => {}
        }
    }

    fn search(&self, host: &str) -> Result<usize, usize> {
        self.members.binary_search_by(|m| (*m.host).cmp(host))
    }
}
