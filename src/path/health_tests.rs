use std::collections::HashMap;
use std::rc::Rc;

use super::health::Health;
use super::upstreams::Upstream;
use crate::decide::ejection::{Change, EJECTION_MS, FAILURES};
use crate::decide::grey::Outcomes;
use crate::fleet::in_flight::UpstreamTotals;
use crate::fleet::loads::digest;
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
    };
    (0..6).map(|i| Rc::new(upstream(i))).collect()
}

fn names(pool: &[Rc<Upstream>]) -> Vec<Name> {
    pool.iter().map(|u| u.id.clone()).collect()
}

/// An upstream was left out and its hold is over: one request tries it, and the others stay away
/// until that one is answered. Then it is back for all, and one more failure is no reason to leave it
/// out again.
#[test]
fn one_request_tries_an_upstream_again() {
    let (pool, mut health) = (pool(), Health::default());
    let names = names(&pool);
    for _ in 1..FAILURES {
        assert_eq!(health.failed(&pool[0], &names, 0), Change::None);
    }
    assert_eq!(health.failed(&pool[0], &names, 0), Change::Ejected);
    assert!(health.is_out(&pool[0], EJECTION_MS - 1));
    assert!(!health.is_out(&pool[0], EJECTION_MS));
    health.begin(&pool[0], EJECTION_MS);
    assert!(health.is_out(&pool[0], EJECTION_MS + 1), "the probe is out");
    let answered = health.answered(&pool[0], 20, &names, EJECTION_MS + 20);
    assert_eq!(answered, Change::Restored);
    assert_eq!(
        health.failed(&pool[0], &names, EJECTION_MS + 30),
        Change::None
    );
    assert!(!health.is_out(&pool[0], EJECTION_MS + 31));
}

/// This router saw one failure of an upstream, the others some more: together they are a share that
/// the rest of the pool doesn't fail, and it is left out here too.
#[test]
fn what_others_saw_counts() {
    let (pool, mut health) = (pool(), Health::default());
    let names = names(&pool);
    for upstream in &pool {
        health.answered(upstream, 20, &names, 0);
    }
    health.failed(&pool[2], &names, 0);
    assert!(health.judge(&pool, &HashMap::new(), 0).is_empty());
    let mut outcomes = Outcomes::default();
    outcomes.add(6, 3, 0);
    let told = UpstreamTotals {
        running: 0.0,
        outcomes,
    };
    let told = HashMap::from([(digest(&pool[2].id), told)]);
    let ejected = health.judge(&pool, &told, 0);
    assert_eq!(ejected, [(names[2].clone(), 0.5)]);
    assert!(health.is_out(&pool[2], 1));
    assert!(
        health.is_source(&pool[2], 1),
        "it still hands on what it holds"
    );
}

/// Half of a pool dies at once. Ejection spares two thirds of a pool, whatever it fails; still none of
/// the dead may get a request as long as they refuse connections, or their callers are refused beside
/// idle upstreams.
#[test]
fn half_of_a_pool_that_refuses_connections_gets_no_work() {
    let (pool, mut health) = (pool(), Health::default());
    for dead in &pool[..3] {
        health.unreachable(&dead.id, 0);
    }
    let open = |health: &Health, now_ms| {
        let open = pool.iter().filter(|u| !health.is_unreachable(u, now_ms));
        open.count()
    };
    assert_eq!(open(&health, 999), 3);
    assert!(!health.is_source(&pool[0], 999));
    assert_eq!(open(&health, 1_000), 6, "each is asked again after a while");
}

/// Lookups fail one in seven by their nature, so each upstream fails three in a row every few seconds. None
/// may be left out for that; but one that failed its way out and fails its probe too stays out.
#[test]
fn failures_that_a_service_answers_count_by_their_share() {
    let (pool, mut health) = (pool(), Health::default());
    let names = names(&pool);
    for _ in 0..=FAILURES {
        health.answered_failure(&pool[0], &names, 0);
    }
    assert!(!health.is_out(&pool[0], 1));
    assert_eq!(
        health.judge(&pool, &HashMap::new(), 0).len(),
        1,
        "the others fail none"
    );
    health.begin(&pool[0], EJECTION_MS);
    health.answered_failure(&pool[0], &names, EJECTION_MS + 1);
    assert!(health.is_out(&pool[0], EJECTION_MS + 2));
    assert!(health.is_out(&pool[0], 2 * EJECTION_MS));
}
