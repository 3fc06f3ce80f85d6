//! Routers that can't open connections to upstreams, while others still reach them.

mod support;

use std::net::Shutdown;

use serde_json::json;
use support::raw::Raw;
use support::routed::{FleetSize, HOST, KEY, RoutedFleet, new_request_id};
use support::{get, set_knobs, sleep_ms, wait_until};
use test_case::test_case;

/// Time for which the upstream refuses new connections.
const CUT_MS: u64 = 2_000;
/// Time within which routers hear of each other's loads.
const REPORTS_MS: u64 = 600;
/// Router that has a connection to the upstream from before the cut.
const CONNECTED: u8 = 0;
/// Router that has none.
const CUT_OFF: u8 = 1;

/// Two routers before one upstream that refuses new connections and takes `delay_ms` for a request. Only
/// one router has an open connection.
async fn fleet_with_one_router_cut_off(delay_ms: u64) -> RoutedFleet {
    let size = FleetSize {
        routers: 2,
        upstreams: 1,
        ..FleetSize::default()
    };
    let routed = RoutedFleet::start(size).await;
    sleep_ms(REPORTS_MS).await;
    let knobs = json!({ "refuses_connections_ms": CUT_MS, "delay_ms": delay_ms });
    let (_, received) = routed.call(CONNECTED, "/get/1", "1").await;
    assert_eq!(received.map(|r| r.status), Some(200));
    set_knobs(routed.upstreams[0].addr, &knobs).await;
    sleep_ms(100).await;
    routed
}

/// A router that reaches no upstream refused its callers, though the router beside it served the same
/// requests.
#[test_case("/get/1"; "idempotent")]
#[test_case("/resumed/stream"; "resumable stream")]
#[compio::test]
async fn router_that_reaches_no_upstream_serves_through_another(path: &str) {
    let routed = fleet_with_one_router_cut_off(0).await;
    for _ in 0..3 {
        let (id, received) = routed.call(CUT_OFF, path, "3").await;
        let received = received.expect("no answer");
        assert_eq!(received.status, 200, "{}", received.body);
        assert_eq!(routed.runs_of(&id), 1);
        assert!(
            routed
                .log_until_now(CUT_OFF)
                .await
                .contains("delegated to router-0")
        );
    }
}

/// The paths are back. The router must use them again within a second.
#[compio::test]
async fn router_uses_upstreams_again_after_a_cut() {
    let routed = fleet_with_one_router_cut_off(0).await;
    let (_, received) = routed.call(CUT_OFF, "/get/1", "1").await;
    assert_eq!(received.map(|r| r.status), Some(200));
    sleep_ms(CUT_MS + 1_000).await;
    let before = routed.log_until_now(CUT_OFF).await.len();
    let (id, received) = routed.call(CUT_OFF, "/get/1", "1").await;
    assert_eq!(received.map(|r| r.status), Some(200));
    assert_eq!(routed.runs_of(&id), 1);
    let log = routed.log_until_now(CUT_OFF).await;
    assert!(
        !log[before..].contains("delegated to"),
        "{}",
        &log[before..]
    );
}

/// Number of requests that router `i` serves, by its metrics.
async fn in_flight(routed: &RoutedFleet, i: u8) -> Option<u32> {
    let page = get(routed.admin(i), "/metrics").await?;
    let mut lines = page.lines();
    lines.find_map(|l| {
        l.strip_prefix("cassiagrade_requests_in_flight ")?
            .parse()
            .ok()
    })
}

/// A caller leaves while its request runs through another router. The other router must notice, or the
/// upstream works on for nobody.
#[test_case("/get/1"; "buffered answer")]
#[test_case("/resumed/stream"; "stream")]
#[compio::test]
async fn request_of_a_caller_that_left_ends_at_the_other_router(path: &str) {
    let routed = fleet_with_one_router_cut_off(1_000).await;
    let id = new_request_id();
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\nattempt-id: {id}\r\n\
         deadline-ms: 8000\r\ncontent-length: 1\r\n\r\n9"
    );
    let mut caller = Raw::open(routed.caller(CUT_OFF));
    caller.send(&request);
    wait_until("the run", || async { routed.runs_of(&id) == 1 }).await;
    assert_eq!(in_flight(&routed, CONNECTED).await, Some(1));
    caller.0.shutdown(Shutdown::Both).unwrap();
    sleep_ms(400).await;
    assert_eq!(in_flight(&routed, CONNECTED).await, Some(0));
}

/// No router reaches the upstream. A request may not go from router to router, and is refused as not
/// run, at once.
#[compio::test]
async fn request_that_no_router_can_send_is_refused_at_once() {
    let size = FleetSize {
        routers: 3,
        upstreams: 1,
        ..FleetSize::default()
    };
    let routed = RoutedFleet::start(size).await;
    sleep_ms(REPORTS_MS).await;
    let knobs = json!({ "refuses_connections_ms": CUT_MS });
    set_knobs(routed.upstreams[0].addr, &knobs).await;
    sleep_ms(100).await;
    for path in ["/get/1", "/ticket/1"] {
        let started = std::time::Instant::now();
        let (id, received) = routed.call(CUT_OFF, path, "1").await;
        assert_eq!(received.map(|r| r.status), Some(503), "{path}");
        assert!(started.elapsed().as_millis() < 1_000, "{path}");
        assert_eq!(routed.runs_of(&id), 0);
    }
    sleep_ms(CUT_MS).await;
    wait_until("the upstream", || async {
        let (_, received) = routed.call(CUT_OFF, "/get/1", "1").await;
        received.is_some_and(|r| r.status == 200)
    })
    .await;
}
