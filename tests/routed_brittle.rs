//! Brittle upstreams, which fall when they turn too many requests away for want of room.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use serde_json::{Value, json};
use standins::backend::BRITTLE_NOTICE;
use support::routed::{FleetSize, HOST, KEY, RoutedFleet, new_request_id};
use support::{Caller, Received, get, set_knobs, sleep_ms, wait_until};
use test_case::test_case;

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

/// On-call engineers see only logs and metrics: what an upstream says of itself must be there, each change
/// once, and what can't be read must change nothing.
#[compio::test]
async fn announcements_are_logged_as_they_change() {
    let size = FleetSize {
        upstreams: 1,
        ..FleetSize::default()
    };
    let routed = RoutedFleet::start(size).await;
    for brittle in ["7", "7", "few", "9", "", ""] {
        set_knobs(routed.upstreams[0].addr, &json!({ "brittle": brittle })).await;
        let (_, received) = routed.call(0, "/get/1", "1").await;
        assert_eq!(received.map(|r| r.status), Some(200));
    }
    let log = routed.log_until_now(0).await;
    let count = |text: &str| log.lines().filter(|line| line.contains(text)).count();
    assert_eq!(count("upstream ends when it rejects more"), 2);
    assert_eq!(count(r#""borne":7"#), 1);
    assert_eq!(count(r#""borne":9"#), 1);
    assert_eq!(count("upstream bears rejections again"), 1);
    let metrics = get(routed.admin(0), "/metrics").await.unwrap();
    assert!(metrics.contains(r#"cassiagrade_invalid_notices_total{field="brittle"} 1"#));
    assert!(metrics.contains("cassiagrade_brittle_notices_total 3"));
}

/// Requests that an upstream turned away for want of room in its worst second.
fn most_turned_away(routed: &RoutedFleet, upstream: u8) -> usize {
    let arrivals = routed.arrivals(upstream);
    let turned_away: Vec<u64> = arrivals
        .iter()
        .filter(|a| a.found_no_room)
        .map(|a| a.at_ms)
        .collect();
    let within = |from: u64| {
        let second = from..from + 1_000;
        turned_away.iter().filter(|at| second.contains(at)).count()
    };
    turned_away.iter().map(|at| within(*at)).max().unwrap_or(0)
}

/// Routers before brittle upstreams that have few slots and have announced themselves.
struct BrittleFleet {
    routed: RoutedFleet,
    path: &'static str,
    borne: [Option<usize>; UPSTREAMS],
}

const ROUTERS: u8 = 3;
const UPSTREAMS: usize = 3;

impl BrittleFleet {
    /// Starts upstreams that bear `borne` rejections in a second, or any number.
    async fn start(path: &'static str, borne: [Option<usize>; UPSTREAMS]) -> Self {
        let size = FleetSize {
            routers: 0,
            upstreams: 0,
            ..FleetSize::default()
        };
        let mut routed = RoutedFleet::start(size).await;
        for (i, borne) in (0..).zip(borne) {
            let brittle = borne.map(|n| n.to_string()).unwrap_or_default();
            let knobs = json!({ "delay_ms": 100, "places": 2, "brittle": brittle });
            routed.spawn_upstream_with_knobs(i, SLOTS, &knobs);
        }
        for i in 0..ROUTERS {
            routed.spawn_router(i);
        }
        for i in 0..ROUTERS {
            routed.wait_ready(i).await;
        }
        let fleet = Self {
            routed,
            path,
            borne,
        };
        // One at a time, until the upstreams have few places.
        let begun = Instant::now();
        while begun.elapsed() < BRITTLE_NOTICE + Duration::from_secs(1) {
            for i in 0..ROUTERS {
                fleet.routed.call(i, path, "1").await;
            }
        }
        fleet
    }

    /// Sends from 30 callers to `routers` and returns the answers.
    async fn load(&self, seconds: u64, routers: &[u8]) -> Vec<Received> {
        let callers = (0..30).map(|caller| async move {
            let begun = Instant::now();
            let mut answers = Vec::new();
            while begun.elapsed() < Duration::from_secs(seconds) {
                let router = routers[caller % routers.len()];
                let (_, received) = self.routed.call(router, self.path, "1").await;
                if received.as_ref().is_none_or(|r| r.status != 200) {
                    sleep_ms(100).await;
                }
                answers.extend(received);
            }
            answers
        });
        join_all(callers).await.into_iter().flatten().collect()
    }

    fn assert_up(&self) {
        for ((i, borne), name) in (0..).zip(self.borne).zip(&self.routed.upstream_names) {
            let falls = self.routed.falls_of(name);
            assert!(falls.is_empty(), "{falls:?}");
            let most = most_turned_away(&self.routed, i);
            println!("upstream {i}: {most} turned away in its worst second");
            let is_borne = borne.is_none_or(|borne| most <= borne);
            assert!(is_borne, "{most} in a second at upstream {i}");
        }
    }
}

/// Far more callers than places, at all routers: each router learns by rejections that an upstream is full,
/// and together they turn a brittle upstream over.
#[test_case("/get/1"; "may be repeated")]
#[test_case("/ticket/1"; "runs once")]
#[compio::test]
async fn routers_together_keep_brittle_upstreams_up(path: &'static str) {
    let fleet = BrittleFleet::start(path, [Some(4); UPSTREAMS]).await;
    let answers = fleet.load(6, &[0, 1, 2]).await;
    fleet.assert_up();
    let served = answers.iter().filter(|a| a.status == 200).count();
    println!("{served} of {} served", answers.len());
    assert!(served > 0);
    for refused in answers.iter().filter(|a| a.status != 200) {
        assert!(refused.status == 503 && refused.not_run(), "{refused:?}");
        assert!(!refused.header("retry-after").is_empty());
    }
}

/// A router is killed while it sends to the upstreams that it is home to, and comes back: the one that stands
/// in for it doesn't know what still runs there, and the one that is back not what is sent in its place.
#[compio::test]
async fn brittle_upstreams_stay_up_while_homes_change() {
    let mut fleet = BrittleFleet::start("/get/1", [Some(4); UPSTREAMS]).await;
    for router in 0..ROUTERS {
        let others: Vec<u8> = (0..ROUTERS).filter(|other| *other != router).collect();
        fleet.load(1, &[0, 1, 2]).await;
        let killed = fleet.routed.routers[usize::from(router)].handle();
        let kill = async {
            sleep_ms(500).await;
            killed.kill();
        };
        futures_util::join!(fleet.load(4, &others), kill);
        fleet.routed.spawn_router(router);
        fleet.load(4, &[0, 1, 2]).await;
        fleet.assert_up();
    }
}

/// One upstream of a service is brittle, and the others reject what they can't take: the requests that they
/// reject must not turn it over, and it must not lose its work either.
#[compio::test]
async fn brittle_upstream_beside_sturdy_ones_works_and_stays_up() {
    let fleet = BrittleFleet::start("/get/1", [Some(2), None, None]).await;
    let before = fleet.routed.arrivals(0).len();
    fleet.load(6, &[0, 1, 2]).await;
    fleet.assert_up();
    let reached = fleet.routed.arrivals(0).len() - before;
    println!("{reached} requests reached it");
    assert!(reached > 0);
}
