//! Brittle upstreams, which fall when they turn too many requests away for want of room.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use serde_json::{Value, json};
use standins::backend::BRITTLE_NOTICE;
use support::routed::{FleetSize, HOST, KEY, RoutedFleet, new_request_id};
use support::{Caller, Received, sleep_ms, wait_until};

const SLOTS: u32 = 2;

/// A store and one upstream, which has the given knobs from its start on.
async fn start(knobs: &Value) -> RoutedFleet {
    let size = FleetSize {
        routers: 0,
        upstreams: 0,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    routed.spawn_upstream_with_knobs(0, SLOTS, knobs);
    wait_until("the upstream", || async {
        call(routed.upstreams[0].addr).await.is_some()
    })
    .await;
    routed
}

/// Sends a request to the upstream itself.
async fn call(upstream: SocketAddr) -> Option<Received> {
    let id = new_request_id();
    let headers = [
        ("attempt-id", id.as_str()),
        ("host", HOST),
        ("deadline-ms", "8000"),
    ];
    let caller = Caller::new(KEY);
    let answer = caller.call(upstream, "POST", "/get/1", &headers, "1");
    let answer = compio::time::timeout(Duration::from_secs(8), answer).await;
    answer.ok().flatten()
}

/// Sends `count` requests to the upstream at once and returns the statuses of the answers, sorted; 0 stands
/// for none.
async fn statuses(upstream: SocketAddr, count: usize) -> Vec<u16> {
    let answers = join_all((0..count).map(|_| call(upstream))).await;
    let status = |answer: Option<Received>| answer.map_or(0, |a| a.status);
    let mut statuses: Vec<u16> = answers.into_iter().map(status).collect();
    statuses.sort_unstable();
    statuses
}

/// A stand-in that bears any number of rejections, or never comes back, would show nothing about routers
/// before brittle upstreams.
#[compio::test]
async fn brittle_upstream_falls_beyond_its_number_and_comes_back() {
    let knobs = json!({ "delay_ms": 600, "brittle": "2", "down_ms": 2_000 });
    let routed = start(&knobs).await;
    let (upstream, name) = (routed.upstreams[0].addr, &routed.upstream_names[0]);

    assert_eq!(statuses(upstream, 4).await, [200, 200, 503, 503]);
    assert!(routed.falls_of(name).is_empty(), "it bears two");
    sleep_ms(1_000).await;
    assert_eq!(statuses(upstream, 4).await, [200, 200, 503, 503]);
    assert!(
        routed.falls_of(name).is_empty(),
        "they are counted for a second"
    );

    sleep_ms(1_000).await;
    let answers = statuses(upstream, 5).await;
    assert!(!answers.contains(&200), "{answers:?} of one that fell");
    let falls = routed.falls_of(name);
    assert_eq!(falls.len(), 1);
    assert_eq!((falls[0].turned_away, falls[0].borne), (3, 2));
    assert!(call(upstream).await.is_none(), "it is away");
    wait_until("the next start", || async {
        let answer = call(upstream).await;
        answer.is_some_and(|a| a.status == 200 && a.header("server-brittle") == "2")
    })
    .await;
    let arrivals = routed.arrivals_at(name);
    let last = arrivals.last().unwrap();
    assert_ne!(last.arrived_at, falls[0].fallen);
    assert!(last.started_ms >= falls[0].at_ms + 2_000);
    assert_eq!(arrivals.iter().filter(|a| a.found_no_room).count(), 7);
}

/// Routers learn how much an upstream takes while it has many places to wait. If it kept them, a limit that
/// never shrinks would pass.
#[compio::test]
async fn brittle_upstream_has_fewer_places_later() {
    let knobs = json!({ "delay_ms": 500, "places": 3, "brittle": "5", "brittle_places": 1 });
    let routed = start(&knobs).await;
    let upstream = routed.upstreams[0].addr;
    assert_eq!(
        statuses(upstream, 6).await,
        [200, 200, 200, 200, 200, 503],
        "two slots and three places"
    );
    compio::time::sleep(BRITTLE_NOTICE).await;
    assert_eq!(
        statuses(upstream, 6).await,
        [200, 200, 200, 503, 503, 503],
        "two slots and one place"
    );
    assert!(routed.falls_of(&routed.upstream_names[0]).is_empty());
}

/// A stand-in whose announcement can't be read must bear everything, as routers can't keep to it.
#[compio::test]
async fn unreadable_number_lets_nothing_fall() {
    let routed = start(&json!({ "delay_ms": 500, "brittle": "few" })).await;
    let upstream = routed.upstreams[0].addr;
    let answers = statuses(upstream, 12).await;
    assert_eq!(answers.iter().filter(|status| **status == 503).count(), 10);
    assert!(routed.falls_of(&routed.upstream_names[0]).is_empty());
}
