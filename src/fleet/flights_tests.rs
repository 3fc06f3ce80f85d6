use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::index::sample;
use test_case::test_case;

use super::in_flight::{InFlightTable, KEEP_MS, MAX_REPORTED, REPORT_INTERVAL_MS};
use crate::schema::peer::{InFlightCount, InFlightReport, ServiceDemand};

fn told(host: &str, seq: u64, running: u32) -> InFlightReport {
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
    }
}

/// Two routers send to one upstream; each alone would see half of its load and send on.
#[test]
fn counts_of_all_routers_add_up() {
    let mut table = InFlightTable::default();
    table.heard(told("a", 1, 2), 0);
    table.heard(told("b", 1, 3), 0);
    assert_eq!(table.picture(3, 1).upstreams[&9].running, 5.0);
}

/// A datagram overtakes an older one; taking the older count for the newer would show load that is
/// gone.
#[test]
fn late_datagram_changes_nothing() {
    let mut table = InFlightTable::default();
    table.heard(told("a", 2, 1), 0);
    table.heard(told("a", 1, 50), 1);
    assert_eq!(table.picture(2, 2).upstreams[&9].running, 1.0);
}

/// A router dies with requests in flight; its upstreams have dropped them, so they must not stay
/// counted.
#[test]
fn dead_router_is_forgotten() {
    let mut table = InFlightTable::default();
    table.heard(told("a", 1, 4), 0);
    assert!(table.picture(2, KEEP_MS).upstreams.is_empty());
}

/// Each of two routers sees one upstream fail once or twice; together they tell that it fails a share.
/// A datagram that comes twice must not count twice.
#[test]
fn outcomes_of_all_routers_add_up() {
    let mut table = InFlightTable::default();
    let told = |host: &str, failed| InFlightReport {
        flights: vec![InFlightCount {
            upstream_digest: 9,
            running: 0,
            ended: 4,
            failed,
        }],
        ..told(host, 1, 0)
    };
    table.heard(told("a", 1), 0);
    table.heard(told("b", 2), 0);
    table.heard(told("b", 2), 0);
    let sums = table.picture(3, 0).upstreams;
    assert_eq!(sums[&9].outcomes.share(), 3.0 / 8.0);
    assert_eq!(sums[&9].running, 0.0);
}

/// Two routers have more than they may run. A third one computes its part from what they want; one that
/// dies wants nothing any more.
#[test]
fn wishes_of_living_routers_are_known() {
    let mut table = InFlightTable::default();
    let wish = |wanted| ServiceDemand {
        service_digest: 3,
        wanted,
    };
    let told = |host: &str, wanted| InFlightReport {
        wishes: vec![wish(wanted)],
        ..told(host, 1, 0)
    };
    table.heard(told("a", 40), 0);
    table.heard(told("b", 7), 1_000);
    let mut wishes = table.picture(3, 1_000).wishes[&3].clone();
    wishes.sort_unstable();
    assert_eq!(wishes, [7, 40]);
    assert_eq!(table.picture(2, KEEP_MS).wishes[&3], [7]);
}

/// Every router of a large fleet runs two requests at one upstream and wants seven of its service, and tells some of the
/// others. Whoever sums up what it heard as if that were all takes the upstream for half idle, and twice its part of
/// the service.
#[test_case(3; "three")]
#[test_case(30; "a small fleet")]
#[test_case(195; "a large fleet")]
#[test_case(390; "the fleet to come")]
fn sums_are_those_of_the_whole_fleet(routers: usize) {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut table = InFlightTable::default();
    let (mut sums, mut wanted) = (Vec::new(), Vec::new());
    for seq in 1..=50 {
        let now_ms = seq * REPORT_INTERVAL_MS;
        for from in 1..routers {
            let to = sample(&mut rng, routers - 1, MAX_REPORTED.min(routers - 1));
            if to.iter().any(|to| to == 0) {
                let wishes = vec![ServiceDemand {
                    service_digest: 3,
                    wanted: 7,
                }];
                let told = told(&format!("router-{from}"), seq, 2);
                table.heard(InFlightReport { wishes, ..told }, now_ms);
            }
        }
        if now_ms >= KEEP_MS {
            let picture = table.picture(routers, now_ms);
            sums.push(picture.upstreams[&9].running);
            wanted.push(f64::from(picture.wishes[&3].iter().sum::<u32>()));
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
