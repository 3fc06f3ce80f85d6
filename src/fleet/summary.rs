//! What a router that starts needs to know of a large fleet: its size, and some of its routers. No I/O
//! and no clock.
//!
//! Failure guarded against: a thousand routers start at once and each reads the registrations of all. What
//! the platform's log sends grows with the square of the fleet's size, and takes seconds in which
//! nothing else is answered.

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::fleet::log_reads::READERS;
use crate::fleet::member::{Member, MemberState, View};
use crate::schema::peer::{self, FleetSummary};

/// Smallest fleet that has a summary: the registrations of fewer routers fit on one page.
pub const MIN_ROUTERS: usize = 250;
/// Number of routers that a summary names: if most of them are gone, some are left.
const SAMPLE: usize = 100;

impl FleetSummary {
    /// Draws a summary of the routers in `view`; `None` if they are too few to need one.
    pub fn draw<R: Rng>(view: &View, rng: &mut R) -> Option<Self> {
        let live = view.members.iter();
        let live = live.filter(|m| m.state == MemberState::Alive);
        let routers = live.clone().count();
        if routers < MIN_ROUTERS {
            return None;
        }
        let sample = live.choose_multiple(rng, SAMPLE);
        Some(Self {
            routers: u32::try_from(routers).unwrap_or(u32::MAX),
            sample: sample.into_iter().map(peer::Member::from).collect(),
        })
    }

    /// Returns the named routers, whose state now is unknown.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        self.sample.iter().map(|member| Member {
            incarnation: 0,
            state: MemberState::Alive,
            ..Member::from(member.clone())
        })
    }

    /// Whether `host` is one of the few that load at once what a fleet needs that starts as a whole.
    pub fn loads_first(&self, host: &str) -> bool {
        self.sample.iter().take(READERS).any(|m| m.host == host)
    }
}
