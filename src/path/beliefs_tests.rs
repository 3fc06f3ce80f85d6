use std::rc::Rc;

use super::regions::{AllowedRegions, Regions};
use super::router_state::{RetryLimit, RouterState, Running, Tried};
use super::upstreams::Upstream;
use crate::decide::ejection::FAILURES;
use crate::fleet::gossip::Gossip;

const SLOTS: u32 = 8;

fn upstream(i: u8) -> Upstream {
    Upstream {
        id: format!("i-{i}").into(),
        service: "s".into(),
        addr: ([127, 0, 0, 1], 80).into(),
        data_center: "north".into(),
        slots: SLOTS,
        started_ms: 0,
        draining: false,
        cold_ms: 0,
    }
}

fn state() -> Rc<RouterState> {
    let (gossip, _, _) = Gossip::open();
    let limit = RetryLimit {
        share: 0.2,
        burst: 10.0,
    };
    let state = Rc::new(RouterState::new(
        limit,
        "north".into(),
        Regions::parse("north=home,south=abroad"),
        gossip,
    ));
    for i in 0..6 {
        state.change_upstreams(|upstreams| upstreams.put(upstream(i)));
    }
    state
}

/// As many requests at each of the six upstreams.
fn run(state: &Rc<RouterState>, each: u32) -> Vec<Running> {
    let everywhere = (0..6).flat_map(|i| (0..each).map(move |_| i));
    everywhere.map(|i| state.run(&upstream(i), 0)).collect()
}

fn open(state: &RouterState) -> usize {
    let tried = Tried {
        upstreams: &[],
        may_return: false,
    };
    let (_, candidates) = state.pool("s", &tried, &[], u32::MAX, 1);
    candidates.iter().filter(|s| !s.excluded).count()
}

/// More is wanted than the pool can run: upstreams answer late and turn requests away. None may be left
/// out for it, as its work would fall on the others and make them late too.
#[test]
fn upstreams_of_a_loaded_pool_are_not_left_out_for_being_late() {
    let state = state();
    let _running = run(&state, SLOTS / 2);
    for i in 0..3 {
        for _ in 0..FAILURES {
            state.overran(&upstream(i), "no answer in time", 0);
        }
    }
    assert_eq!(open(&state), 6);
}

/// An upstream of an idle pool turns every request away, or never answers: it is left out.
#[test]
fn upstream_of_an_idle_pool_is_left_out_for_being_late() {
    let state = state();
    let _running = run(&state, 1);
    for _ in 0..FAILURES {
        state.overran(&upstream(0), "rejected", 0);
    }
    assert_eq!(open(&state), 5);
}

/// An upstream crashes, another one gets its address for a moment, then it starts again under its id. It
/// must get work: what was seen of it before says nothing of it now.
#[test]
fn upstream_that_starts_again_under_its_id_gets_work() {
    let state = state();
    for _ in 0..FAILURES {
        state.failed(&upstream(0), "connection reset", 0);
    }
    state.found_replaced(&upstream(1).id, 0);
    assert_eq!(open(&state), 4);
    state.restarted(&upstream(0).id, 1);
    state.restarted(&upstream(1).id, 1);
    assert_eq!(open(&state), 6);
}

/// A data centre is evacuated in which all upstreams of a service are. Nothing is sent there, also not as a last
/// resort: its callers are told at once that nobody ran their requests.
#[test]
fn evacuated_data_center_gets_nothing() {
    let state = state();
    state.change_upstreams(|upstreams| {
        upstreams.put(Upstream {
            data_center: "south".into(),
            ..upstream(0)
        })
    });
    state.change_evacuations(|e| e.set(1, "north", true));
    assert_eq!(open(&state), 1);
    assert_eq!(state.slots_open("s", 1), Some(SLOTS));
    state.change_evacuations(|e| e.set(2, "south", true));
    assert_eq!(open(&state), 0);
    assert_eq!(state.slots_open("s", 1), None);
    state.change_evacuations(|e| e.set(3, "north", false));
    assert_eq!(open(&state), 5);
}

/// An operator binds a route to a region. Its requests go nowhere else, also where that region has no upstream left.
#[test]
fn requests_stay_in_their_homes() {
    let state = state();
    let abroad = Some(["abroad".into()].into());
    let home = Some(["home".into()].into());
    let tried = Tried {
        upstreams: &[],
        may_return: false,
    };
    let open = |allowed_regions: &[&AllowedRegions]| {
        let (_, candidates) = state.pool("s", &tried, allowed_regions, u32::MAX, 1);
        candidates.iter().filter(|s| !s.excluded).count()
    };
    assert_eq!(open(&[&home, &None]), 6);
    assert_eq!(open(&[&home, &abroad]), 0);
    state.change_upstreams(|upstreams| {
        upstreams.put(Upstream {
            data_center: "south".into(),
            ..upstream(0)
        })
    });
    assert_eq!(open(&[&abroad, &None]), 1);
}
