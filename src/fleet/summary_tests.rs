//! Summary of a large fleet.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use test_case::test_case;

use super::log_reads::READERS;
use super::member::{Member, MemberState, View};
use crate::schema::peer::FleetSummary;

fn view(routers: usize, state: MemberState) -> View {
    let member = |n: usize| Member {
        host: format!("host-{n}").into(),
        data_center: "dc".into(),
        incarnation: 7,
        state,
        peer_addr: format!("10.0.0.1:{n}").into(),
        caller_addr: format!("10.0.0.2:{n}").into(),
    };
    View {
        members: (0..routers).map(member).collect(),
        ..View::default()
    }
}

/// Guards against a start whose reads grow with the fleet: the summary doesn't.
#[test_case(249, MemberState::Alive, None; "a fleet that needs none")]
#[test_case(2_000, MemberState::Dead, None; "one that is gone")]
#[test_case(250, MemberState::Alive, Some(100); "a large fleet")]
#[test_case(2_000, MemberState::Alive, Some(100); "a fleet of twice the size")]
fn summary_does_not_grow_with_the_fleet(routers: usize, state: MemberState, named: Option<usize>) {
    let mut rng = SmallRng::seed_from_u64(1);
    let summary = FleetSummary::draw(&view(routers, state), &mut rng);
    let members = summary.as_ref().map(|s| s.members().count());
    assert_eq!(members, named);
    assert!(summary.is_none_or(|s| s.routers as usize == routers));
}

/// Guards against a fleet of which none or all load at once.
#[test]
fn few_of_the_named_routers_load_first() {
    let mut rng = SmallRng::seed_from_u64(1);
    let summary = FleetSummary::draw(&view(985, MemberState::Alive), &mut rng).unwrap();
    let first = summary.members().filter(|m| summary.loads_first(&m.host));
    assert_eq!(first.count(), READERS);
    assert!(summary.members().all(|m| m.incarnation == 0));
}
