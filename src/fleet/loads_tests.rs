use std::collections::HashMap;

use rand::rngs::SmallRng;
use rand::seq::index;
use rand::{Rng, SeedableRng};

use crate::fleet::gossip::Loads;
use crate::fleet::loads::{LOAD_TTL_MS, LoadTable, digest};
use crate::schema::peer::{Load, LoadUpdate};
use crate::util::Name;

fn names(n: usize) -> Vec<Name> {
    (0..n).map(|i| format!("engine-{i}").into()).collect()
}

fn digests(names: &[Name]) -> HashMap<u32, Name> {
    names.iter().map(|n| (digest(n), n.clone())).collect()
}

fn load(upstream: &Name, work_ms: f64) -> Load {
    Load {
        upstream: upstream.to_string(),
        work_ms,
        ..Load::default()
    }
}

/// Lets each table send `max` loads to two random others and get as many back, as routers do every
/// half second.
fn gossip(tables: &mut [LoadTable], max: usize, now_ms: u64, rng: &mut SmallRng) {
    let n = tables.len();
    for i in 0..n {
        for k in index::sample(rng, n, 2) {
            if k == i {
                continue;
            }
            let there = tables[i].sample(max, now_ms, rng);
            tables[k].merge(&there, now_ms + 1);
            let back = tables[k].sample(max, now_ms + 1, rng);
            tables[i].merge(&back, now_ms + 2);
        }
    }
}

/// In a small fleet every router must know the load of every upstream within seconds.
#[test]
fn small_fleet_knows_every_load() {
    let mut rng = SmallRng::seed_from_u64(1);
    let names = names(21);
    let mut tables: Vec<LoadTable> = (0..9).map(|_| LoadTable::default()).collect();
    for (i, table) in tables.iter_mut().enumerate() {
        table.set_own(names.iter().skip(i).step_by(9));
    }
    for (k, name) in names.iter().enumerate() {
        tables[k % 9].publish(&load(name, 100.0));
    }
    for round in 0..4 {
        gossip(&mut tables, 24, 1_000 + 500 * round, &mut rng);
    }
    for table in &tables {
        let by_upstream = table.known(&digests(&names), 3_000);
        assert_eq!(by_upstream.len(), 21);
        let view = Loads { by_upstream }.pool_view(&names);
        assert!((view.mean_work_ms - 100.0).abs() < 1e-9, "{view:?}");
    }
}

/// 390 routers before 2,200 engines of uneven load. Each router receives only a part of the loads,
/// and the mean over that part must be near the true one.
#[test]
fn large_fleet_knows_the_mean() {
    let mut rng = SmallRng::seed_from_u64(2);
    let names = names(2_200);
    let mut tables: Vec<LoadTable> = (0..390).map(|_| LoadTable::default()).collect();
    for (i, table) in tables.iter_mut().enumerate() {
        table.set_own(names.iter().skip(i).step_by(390));
    }
    let mut sum_ms = 0.0;
    for (k, name) in names.iter().enumerate() {
        let work_ms = f64::from(rng.random_range(0..4_000_u32));
        sum_ms += work_ms;
        tables[k % 390].publish(&load(name, work_ms));
    }
    for round in 0..12 {
        gossip(&mut tables, 20, 1_000 + 500 * round, &mut rng);
    }
    let mean_ms = sum_ms / 2_200.0;
    for table in &tables {
        let by_upstream = table.known(&digests(&names), 6_600);
        assert!(by_upstream.len() > 150, "{}", by_upstream.len());
        let seen = Loads { by_upstream }.pool_view(&names).mean_work_ms;
        assert!((seen / mean_ms - 1.0).abs() < 0.3, "{seen} of {mean_ms}");
    }
}

/// A home crashes and its upstream's load is no longer repeated: the load must expire.
#[test]
fn load_of_dead_home_expires() {
    let mut table = LoadTable::default();
    let names = names(1);
    let update = LoadUpdate {
        upstream_digest: digest(&names[0]),
        work_ms: 7,
        ..LoadUpdate::default()
    };
    table.merge(&[update], 1_000);
    let digests = digests(&names);
    assert_eq!(table.known(&digests, 1_100).len(), 1);
    assert!(table.known(&digests, 1_100 + LOAD_TTL_MS).is_empty());
}

/// An upstream's home moves to another router while jobs of the former home still end. The former
/// home must stop sending the load, or the values of the two homes would alternate.
#[test]
fn former_home_stops_publishing() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut table = LoadTable::default();
    let names = names(2);
    table.set_own(names.iter());
    table.publish(&load(&names[0], 50.0));
    table.set_own(names[1..].iter());
    table.publish(&load(&names[0], 40.0));
    let updates = table.sample(10, 1_000, &mut rng);
    assert!(
        updates
            .iter()
            .all(|b| b.upstream_digest == digest(&names[1]))
    );
}

/// Two homes send a load of one upstream, and the older one arrives last through a third router:
/// the newer one must win.
#[test]
fn newest_load_wins() {
    let mut table = LoadTable::default();
    let names = names(1);
    let update = |work_ms, age_ms| LoadUpdate {
        upstream_digest: digest(&names[0]),
        work_ms,
        age_ms,
        ..LoadUpdate::default()
    };
    table.merge(&[update(9, 0)], 1_000);
    table.merge(&[update(5, 300)], 1_010);
    let known = table.known(&digests(&names), 1_020);
    assert!((known[&names[0]].work_ms - 9.0).abs() < 1e-9);
}
