use std::cell::Cell;

use crate::decide::Name;
use crate::decide::ejection::{Change, EJECTION_MS, Ejector, Pool};

const MAX_SHARE: f64 = 0.34;

fn pool() -> Vec<Name> {
    (0..6).map(|i| Name::from(format!("engine-{i}"))).collect()
}

/// One engine answers ten times as slowly as its pool. It is ejected; otherwise its callers would
/// wait for as long as it takes.
#[test]
fn slow_upstream_is_ejected() {
    let (pool, mut ejector) = (pool(), Ejector::default());
    let mut ejected = Vec::new();
    for round in 0..20 {
        for (at, name) in pool.iter().enumerate() {
            let took_ms = if at == 2 { 1_000 } else { 100 };
            if ejector.answered(name, took_ms, &pool, MAX_SHARE, round) == Change::Ejected {
                ejected.push(at);
            }
        }
    }
    assert_eq!(ejected, [2]);
    assert!(!ejector.admits("engine-2", 20));
}

/// The whole pool becomes ten times slower, for instance with a new model or a full network.
/// Ejection would only move the load to the rest, so no upstream is ejected.
#[test]
fn pool_wide_slowdown_ejects_no_upstream() {
    let (pool, mut ejector) = (pool(), Ejector::default());
    for round in 0..60 {
        let took_ms = if round < 20 { 100 } else { 1_000 };
        for name in &pool {
            let change = ejector.answered(name, took_ms, &pool, MAX_SHARE, round);
            assert_eq!(change, Change::None);
        }
    }
}

/// All upstreams fail at once. At most a third is ejected.
#[test]
fn ejected_share_is_capped() {
    let (pool, mut ejector) = (pool(), Ejector::default());
    for _ in 0..10 {
        for name in &pool {
            ejector.failed(name, &pool, MAX_SHARE, 0);
        }
    }
    let out = pool
        .iter()
        .filter(|name| ejector.is_ejected(name, 1))
        .count();
    assert_eq!(out, 2);
}

/// An engine flaps: it fails, answers one probe and fails again. The time to its next probe
/// doubles, so that it affects fewer and fewer callers.
#[test]
fn flapping_upstream_is_ejected_for_longer_each_time() {
    let (pool, mut ejector) = (pool(), Ejector::default());
    let flapping = &pool[0];
    let (mut now_ms, mut ejections_ms) = (0, Vec::new());
    for _ in 0..4 {
        while ejector.failed(flapping, &pool, MAX_SHARE, now_ms) != Change::Ejected {}
        let ejected_ms = now_ms;
        while !ejector.admits(flapping, now_ms) {
            now_ms += 100;
        }
        ejections_ms.push(now_ms - ejected_ms);
        assert!(!ejector.admits(flapping, now_ms), "one probe at a time");
        let restored = ejector.answered(flapping, 100, &pool, MAX_SHARE, now_ms);
        assert_eq!(restored, Change::Restored);
    }
    assert_eq!(
        ejections_ms,
        [
            EJECTION_MS,
            2 * EJECTION_MS,
            4 * EJECTION_MS,
            8 * EJECTION_MS
        ]
    );
}

/// A healthy pool answers within a millisecond, and one engine takes 50 ms because KV caches are
/// moved to it. No caller notices; ejecting it would only load the others.
#[test]
fn quick_upstream_is_not_slow() {
    let pool = pool();
    let mut ejection = Ejector::default();
    for now_ms in 0..50 {
        for name in &pool {
            let took_ms = if *name == pool[0] { 50 } else { 1 };
            let change = ejection.answered(name, took_ms, &pool, 0.34, now_ms);
            assert_eq!(change, Change::None);
        }
    }
}

/// A pool that counts how often it is searched.
struct CountedPool {
    searches: Cell<usize>,
}

impl Pool for CountedPool {
    fn size(&self) -> usize {
        20_000
    }

    fn contains(&self, _: &str) -> bool {
        self.searches.set(self.searches.get() + 1);
        true
    }
}

/// A router calls a few of thousands of upstreams. An answer or a failure must cost by these few:
/// by the whole pool it would cost more than the request.
#[test]
fn one_call_costs_by_the_upstreams_observed() {
    const OBSERVED: usize = 6;
    const ROUNDS: u64 = 20;
    let (names, mut ejector) = (pool(), Ejector::default());
    let large = CountedPool {
        searches: Cell::new(0),
    };
    for round in 0..ROUNDS {
        for name in &names {
            ejector.answered(name, 100, &large, MAX_SHARE, round);
            ejector.failed(name, &large, MAX_SHARE, round);
        }
    }
    let calls = 2 * OBSERVED * ROUNDS as usize;
    assert!(large.searches.get() <= calls * OBSERVED);
}
