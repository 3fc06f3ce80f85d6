use super::flights::{FlightTable, KEEP_MS};
use crate::schema::peer::{Flight, Flights, Wish};

fn told(host: &str, seq: u64, running: u32) -> Flights {
    Flights {
        from_host: host.to_owned(),
        from_incarnation: 1,
        seq,
        flights: vec![Flight {
            upstream_digest: 9,
            running,
            ..Flight::default()
        }],
        mark: None,
        wishes: Vec::new(),
    }
}

/// Two routers send to one upstream; each alone would see half of its load and send on.
#[test]
fn counts_of_all_routers_add_up() {
    let mut table = FlightTable::default();
    table.heard(told("a", 1, 2), 0);
    table.heard(told("b", 1, 3), 0);
    assert_eq!(table.picture(1).upstreams[&9].running, 5);
}

/// A datagram overtakes an older one; taking the older count for the newer would show load that is
/// gone.
#[test]
fn late_datagram_changes_nothing() {
    let mut table = FlightTable::default();
    table.heard(told("a", 2, 1), 0);
    table.heard(told("a", 1, 50), 1);
    assert_eq!(table.picture(2).upstreams[&9].running, 1);
}

/// A router dies with requests in flight; its upstreams have dropped them, so they must not stay
/// counted.
#[test]
fn dead_router_is_forgotten() {
    let mut table = FlightTable::default();
    table.heard(told("a", 1, 4), 0);
    assert!(table.picture(KEEP_MS).upstreams.is_empty());
}

/// Each of two routers sees one upstream fail once or twice; together they tell that it fails a share.
/// A datagram that comes twice must not count twice.
#[test]
fn outcomes_of_all_routers_add_up() {
    let mut table = FlightTable::default();
    let told = |host: &str, failed| Flights {
        flights: vec![Flight {
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
    let sums = table.picture(0).upstreams;
    assert_eq!(sums[&9].outcomes.share(), 3.0 / 8.0);
    assert_eq!(sums[&9].running, 0);
}

/// Two routers have more than they may run. A third one computes its part from what they want; one that
/// dies wants nothing any more.
#[test]
fn wishes_of_living_routers_are_known() {
    let mut table = FlightTable::default();
    let wish = |wanted| Wish {
        service_digest: 3,
        wanted,
    };
    let told = |host: &str, wanted| Flights {
        wishes: vec![wish(wanted)],
        ..told(host, 1, 0)
    };
    table.heard(told("a", 40), 0);
    table.heard(told("b", 7), 1_000);
    let mut wishes = table.picture(1_000).wishes[&3].clone();
    wishes.sort_unstable();
    assert_eq!(wishes, [7, 40]);
    assert_eq!(table.picture(KEEP_MS).wishes[&3], [7]);
}
