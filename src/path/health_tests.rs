use std::collections::HashMap;
use std::rc::Rc;

use super::health::Health;
use super::upstreams::{Pool, Upstream, Upstreams};
use crate::decide::ejection::{Change, EJECTION_MS, FAILURES};
use crate::decide::grey::Outcomes;
use crate::util::Name;

fn pool() -> Vec<Rc<Upstream>> {
    let upstream = |i: u8| Upstream {
        id: format!("i-{i}").into(),
        service: "s".into(),
        addr: ([127, 0, 0, 1], 80).into(),
        data_center: "north".into(),
        slots: 8,
        started_ms: 0,
        draining: false,
        cold_ms: 0,
        software: None,
    };
    (0..6).map(|i| Rc::new(upstream(i))).collect()
}

fn shared(pool: &[Rc<Upstream>]) -> Rc<Pool> {
    let mut upstreams = Upstreams::default();
    for upstream in pool {
        upstreams.put((**upstream).clone());
    }
    upstreams.shared_pool("s")
}

fn names(pool: &[Rc<Upstream>]) -> Vec<Name> {
    pool.iter().map(|u| u.id.clone()).collect()
}

/// After an ejection one request probes the upstream, and no other is sent until the probe is
/// answered. Then the upstream is fully restored, and one more failure does not eject it again.
#[test]
fn one_request_probes_an_ejected_upstream() {
    let (pool, mut health) = (pool(), Health::default());
    let names = names(&pool);
    for _ in 1..FAILURES {
        assert_eq!(health.record_failure(&pool[0], &names, 0), Change::None);
    }
    assert_eq!(health.record_failure(&pool[0], &names, 0), Change::Ejected);
    assert!(health.is_ejected(&pool[0], EJECTION_MS - 1));
    assert!(!health.is_ejected(&pool[0], EJECTION_MS));
    health.start_call(&pool[0], EJECTION_MS);
    assert!(
        health.is_ejected(&pool[0], EJECTION_MS + 1),
        "the probe is in flight"
    );
    let answered = health.record_answer(&pool[0], 20, &names, EJECTION_MS + 20);
    assert_eq!(answered, Change::Restored);
    assert_eq!(
        health.record_failure(&pool[0], &names, EJECTION_MS + 30),
        Change::None
    );
    assert!(!health.is_ejected(&pool[0], EJECTION_MS + 31));
}

/// This router observed one failure of an upstream and the other routers some more. Together they
/// are a failure share that the rest of the pool does not have, so the upstream is ejected here
/// too.
#[test]
fn outcomes_observed_by_other_routers_count() {
    let (pool, mut health) = (pool(), Health::default());
    let names = names(&pool);
    for upstream in &pool {
        health.record_answer(upstream, 20, &names, 0);
    }
    health.record_failure(&pool[2], &names, 0);
    let (service, shared) = ("s".into(), shared(&pool));
    let own = health.eject_failing(&service, &shared, &HashMap::new(), 0);
    assert!(own.is_empty());
    let mut outcomes = Outcomes::default();
    outcomes.add(6, 3, 0);
    let reported = HashMap::from([(names[2].clone(), outcomes)]);
    let ejected = health.eject_failing(&service, &shared, &reported, 0);
    assert_eq!(ejected, [(names[2].clone(), 0.5)]);
    assert!(health.is_ejected(&pool[2], 1));
    assert!(
        health.is_cache_source(&pool[2], 1),
        "its cached prompt parts can still be fetched"
    );
}

/// Half of a pool dies at once. Ejection spares two thirds of a pool, however much it fails. Still
/// no dead upstream may get requests while it refuses connections: callers would be refused
/// although other upstreams are idle.
#[test]
fn half_of_a_pool_that_refuses_connections_gets_no_work() {
    let (pool, mut health) = (pool(), Health::default());
    for dead in &pool[..3] {
        health.record_unreachable(&dead.id, 0);
    }
    let open = |health: &Health, now_ms| {
        let open = pool.iter().filter(|u| !health.is_unreachable(u, now_ms));
        open.count()
    };
    assert_eq!(open(&health, 999), 3);
    assert!(!health.is_cache_source(&pool[0], 999));
    assert_eq!(open(&health, 1_000), 6, "each is tried again after a while");
}

/// A lookup service fails one request in seven by its nature, so each upstream fails three in a row
/// every few seconds. None may be ejected for that, but one that was ejected for its failures and
/// fails its probe too stays ejected.
#[test]
fn error_answers_count_by_their_share() {
    let (pool, mut health) = (pool(), Health::default());
    let names = names(&pool);
    for _ in 0..=FAILURES {
        health.record_error_answer(&pool[0], &names, 0);
    }
    assert!(!health.is_ejected(&pool[0], 1));
    assert_eq!(
        health
            .eject_failing(&"s".into(), &shared(&pool), &HashMap::new(), 0)
            .len(),
        1,
        "the other upstreams have no failures"
    );
    health.start_call(&pool[0], EJECTION_MS);
    health.record_error_answer(&pool[0], &names, EJECTION_MS + 1);
    assert!(health.is_ejected(&pool[0], EJECTION_MS + 2));
    assert!(health.is_ejected(&pool[0], 2 * EJECTION_MS));
}
