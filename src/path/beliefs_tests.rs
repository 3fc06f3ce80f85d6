use std::rc::Rc;

use super::beliefs::{Beliefs, RetryLimit, RunningGuard, Tried};
use super::regions::{Homes, Regions};
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

fn beliefs() -> Rc<Beliefs> {
    let (gossip, _, _) = Gossip::open();
    let limit = RetryLimit {
        share: 0.2,
        burst: 10.0,
    };
    let beliefs = Rc::new(Beliefs::new(
        limit,
        "north".into(),
        Regions::parse("north=home,south=abroad"),
        gossip,
    ));
    for i in 0..6 {
        beliefs.change_upstreams(|upstreams| upstreams.put(upstream(i)));
    }
    beliefs
}

/// Starts `each` requests at each of the six upstreams.
fn run(beliefs: &Rc<Beliefs>, each: u32) -> Vec<RunningGuard> {
    let everywhere = (0..6).flat_map(|i| (0..each).map(move |_| i));
    everywhere
        .map(|i| beliefs.start_request(&upstream(i), 0))
        .collect()
}

fn open(beliefs: &Beliefs) -> usize {
    let tried = Tried {
        upstreams: &[],
        may_repeat: false,
    };
    let (_, seats) = beliefs.pool("s", &tried, &[], u32::MAX, 1);
    seats.iter().filter(|s| !s.barred).count()
}

/// Demand exceeds the capacity of the pool, and upstreams answer late and reject requests. None may
/// be ejected for it: its load would move to the others and make them late too.
#[test]
fn late_upstreams_of_a_loaded_pool_are_not_ejected() {
    let beliefs = beliefs();
    let _running = run(&beliefs, SLOTS / 2);
    for i in 0..3 {
        for _ in 0..FAILURES {
            beliefs.record_overload(&upstream(i), "no answer in time", 0);
        }
    }
    assert_eq!(open(&beliefs), 6);
}

/// An upstream of an idle pool that rejects every request or never answers is ejected.
#[test]
fn late_upstream_of_an_idle_pool_is_ejected() {
    let beliefs = beliefs();
    let _running = run(&beliefs, 1);
    for _ in 0..FAILURES {
        beliefs.record_overload(&upstream(0), "rejected", 0);
    }
    assert_eq!(open(&beliefs), 5);
}

/// An upstream crashes, another one has its address for a moment, and it restarts under its id.
/// Earlier observations must not keep it from getting work.
#[test]
fn restarted_upstream_with_the_same_id_gets_work() {
    let beliefs = beliefs();
    for _ in 0..FAILURES {
        beliefs.record_failure(&upstream(0), "connection reset", 0);
    }
    beliefs.record_replaced(&upstream(1).id, 0);
    assert_eq!(open(&beliefs), 4);
    beliefs.record_restart(&upstream(0).id, 1);
    beliefs.record_restart(&upstream(1).id, 1);
    assert_eq!(open(&beliefs), 6);
}

/// All upstreams of a service are in an evacuated data centre. Nothing may be sent there, not even
/// as a last resort: the callers get an immediate refusal that says that the request did not run.
#[test]
fn evacuated_data_center_gets_nothing() {
    let beliefs = beliefs();
    beliefs.change_upstreams(|upstreams| {
        upstreams.put(Upstream {
            data_center: "south".into(),
            ..upstream(0)
        })
    });
    beliefs.change_evacuations(|e| e.set(1, "north", true));
    assert_eq!(open(&beliefs), 1);
    assert_eq!(beliefs.places("s", 1), Some(SLOTS));
    beliefs.change_evacuations(|e| e.set(2, "south", true));
    assert_eq!(open(&beliefs), 0);
    assert_eq!(beliefs.places("s", 1), None);
    beliefs.change_evacuations(|e| e.set(3, "north", false));
    assert_eq!(open(&beliefs), 5);
}

/// Requests of a route bound to a region must not leave it, even if the region has no upstream
/// left.
#[test]
fn requests_stay_in_their_allowed_regions() {
    let beliefs = beliefs();
    let abroad = Some(["abroad".into()].into());
    let home = Some(["home".into()].into());
    let tried = Tried {
        upstreams: &[],
        may_repeat: false,
    };
    let open = |homes: &[&Homes]| {
        let (_, seats) = beliefs.pool("s", &tried, homes, u32::MAX, 1);
        seats.iter().filter(|s| !s.barred).count()
    };
    assert_eq!(open(&[&home, &None]), 6);
    assert_eq!(open(&[&home, &abroad]), 0);
    beliefs.change_upstreams(|upstreams| {
        upstreams.put(Upstream {
            data_center: "south".into(),
            ..upstream(0)
        })
    });
    assert_eq!(open(&[&abroad, &None]), 1);
}
