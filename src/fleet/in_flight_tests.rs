use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::index::sample;
use test_case::test_case;

use super::in_flight::{COUNTS_TTL_MS, InFlightTable, REPORT_INTERVAL_MS, receivers};
use crate::schema::peer::{InFlightCount, InFlightReport, ServiceDemand};

fn counts(host: &str, seq: u64, running: u32) -> InFlightReport {
    InFlightReport {
        from_host: host.to_owned(),
        from_incarnation: 1,
        seq,
        flights: vec![InFlightCount {
            upstream_digest: 9,
            running,
            ..InFlightCount::default()
        }],
        mark: None,
        wishes: Vec::new(),
        unreached: Vec::new(),
    }
}

/// Two routers send to one upstream. With its own count alone, each would see half of the load and
/// send on.
#[test]
fn counts_of_all_routers_add_up() {
    let mut table = InFlightTable::default();
    table.record(counts("a", 1, 2), 0);
    table.record(counts("b", 1, 3), 0);
    assert_eq!(table.fleet_counts(3, 1).upstreams[&9].running, 5.0);
}

/// A datagram arrives before an older one. Storing the older count would show load that has ended.
#[test]
fn late_datagram_changes_nothing() {
    let mut table = InFlightTable::default();
    table.record(counts("a", 2, 1), 0);
    table.record(counts("a", 1, 50), 1);
    assert_eq!(table.fleet_counts(2, 2).upstreams[&9].running, 1.0);
}

/// A router dies with requests in flight. Its upstreams have dropped them, so they must not stay
/// counted.
#[test]
fn counts_of_dead_router_expire() {
    let mut table = InFlightTable::default();
    table.record(counts("a", 1, 4), 0);
    assert!(table.fleet_counts(2, COUNTS_TTL_MS).upstreams.is_empty());
}

/// Each of two routers sees an upstream fail once or twice; only the sum shows the share that
/// fails. A duplicate datagram must not count twice.
#[test]
fn outcomes_of_all_routers_add_up() {
    let mut table = InFlightTable::default();
    let counts = |host: &str, failed| InFlightReport {
        flights: vec![InFlightCount {
            upstream_digest: 9,
            running: 0,
            ended: 4,
            failed,
            borne: None,
        }],
        ..counts(host, 1, 0)
    };
    table.record(counts("a", 1), 0);
    table.record(counts("b", 2), 0);
    table.record(counts("b", 2), 0);
    let sums = table.fleet_counts(3, 0).upstreams;
    assert_eq!(sums[&9].outcomes.share(), 3.0 / 8.0);
    assert_eq!(sums[&9].running, 0.0);
}

/// Only an upstream's home gets its answers. The others must know how little it bears, also if what they hear
/// differs, and forget it with the routers that said so.
#[test]
fn least_that_an_upstream_bears_is_known_to_all() {
    let mut table = InFlightTable::default();
    let report = |host: &str, borne| InFlightReport {
        flights: vec![InFlightCount {
            upstream_digest: 9,
            borne,
            ..InFlightCount::default()
        }],
        ..counts(host, 1, 0)
    };
    table.record(report("a", Some(7)), 0);
    table.record(report("b", Some(2)), 0);
    table.record(report("c", None), 0);
    assert_eq!(table.fleet_counts(4, 0).borne, [(9, 2)].into());
    assert!(table.fleet_counts(4, COUNTS_TTL_MS).borne.is_empty());
}

/// Two routers have more requests than they may run, and a third computes its share from their
/// demand. A dead router has no demand.
#[test]
fn demand_of_live_routers_is_known() {
    let mut table = InFlightTable::default();
    let demand = |wanted| ServiceDemand {
        service_digest: 3,
        wanted,
    };
    let counts = |host: &str, wanted| InFlightReport {
        wishes: vec![demand(wanted)],
        ..counts(host, 1, 0)
    };
    table.record(counts("a", 40), 0);
    table.record(counts("b", 7), 1_000);
    let mut demands = table.fleet_counts(3, 1_000).demands[&3].clone();
    demands.sort_unstable();
    assert_eq!(demands, [7, 40]);
    assert_eq!(table.fleet_counts(2, COUNTS_TTL_MS).demands[&3], [7]);
}

/// Every router of a large fleet runs two requests at one upstream and wants seven of its service,
/// and sends its counts to a part of the fleet. If the received counts were summed without scaling,
/// the upstream would look half idle, and each router would take twice its share of the service.
#[test_case(3; "three")]
#[test_case(30; "a small fleet")]
#[test_case(195; "a large fleet")]
#[test_case(390; "a very large fleet")]
#[test_case(985; "a thousand routers")]
#[test_case(2_000; "two thousand routers")]
fn sums_are_scaled_to_the_whole_fleet(routers: usize) {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut table = InFlightTable::default();
    let (mut sums, mut wanted) = (Vec::new(), Vec::new());
    for seq in 1..=50 {
        let now_ms = seq * REPORT_INTERVAL_MS;
        for from in 1..routers {
            let to = sample(&mut rng, routers - 1, receivers(routers));
            if to.iter().any(|to| to == 0) {
                let wishes = vec![ServiceDemand {
                    service_digest: 3,
                    wanted: 7,
                }];
                let counts = counts(&format!("router-{from}"), seq, 2);
                table.record(InFlightReport { wishes, ..counts }, now_ms);
            }
        }
        if now_ms >= COUNTS_TTL_MS {
            let fleet_counts = table.fleet_counts(routers, now_ms);
            sums.push(fleet_counts.upstreams[&9].running);
            wanted.push(f64::from(fleet_counts.demands[&3].iter().sum::<u32>()));
        }
    }
    let others = (routers - 1) as f64;
    for (what, each, true_sum) in [
        ("running", &sums, 2.0 * others),
        ("wanted", &wanted, 7.0 * others),
    ] {
        let mean = each.iter().sum::<f64>() / each.len() as f64;
        let error = mean / true_sum - 1.0;
        assert!(error.abs() < 0.05, "{what}: {mean} of {true_sum}");
    }
}
