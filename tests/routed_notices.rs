//! What upstreams announce in their answers: a shutdown, or a time without requests.

mod support;

use serde_json::{Value, json};
use support::routed::{FleetSize, RoutedFleet};
use support::{Received, set_knobs, sleep_ms, wait_until, wall_ms};
use test_case::test_case;

/// One path for each way in which a request may be repeated.
const PATHS: [&str; 4] = ["/get/1", "/ticket/1", "/resumed/stream", "/once/stream"];

/// Sends request `n` of a series over all kinds of requests and different shared prompt parts.
async fn call(routed: &RoutedFleet, router: u8, n: usize) -> (String, Received) {
    let parts = format!("{:x}:100,{n:x}:10", n % 16);
    let headers = [("deadline-ms", "8000"), ("prompt-prefix", parts.as_str())];
    let path = PATHS[n % PATHS.len()];
    let (id, received) = routed.call_with(router, path, "3", &headers).await;
    (id, received.unwrap())
}

/// Sends requests until an answer that announces a shutdown was passed on.
async fn wait_for_announcement(routed: &RoutedFleet, router: u8) {
    wait_until("an announced shutdown", || async {
        let (_, received) = routed.call(router, "/get/1", "1").await;
        received.is_some_and(|r| r.header("server-leaving") == "1")
    })
    .await;
}

/// An upstream announces its shutdown in its answers, and its entry in the store doesn't say so, or
/// can't be read. Further requests would reach it after its end.
#[test_case(&json!({}); "store reachable")]
#[test_case(&json!({ "fault": "silent" }); "store away")]
#[compio::test]
async fn announced_shutdown_ends_new_work(store: &Value) {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    routed.store_knobs(store.clone()).await;
    set_knobs(routed.upstreams[0].addr, &json!({ "leaving": "1" })).await;
    wait_for_announcement(&routed, 0).await;
    let before = routed.arrivals(0).len();
    for n in 0..64 {
        let (_, received) = call(&routed, 0, n).await;
        assert!(received.status == 200 && received.complete, "{received:?}");
    }
    assert_eq!(routed.arrivals(0).len(), before);
}

/// One upstream has announced its shutdown and the others fail. A retry or a resumed stream must not
/// be sent to it, even if no other upstream is left.
#[test_case("reject", "/ticket/1"; "retry of a rejected request")]
#[test_case("fail", "/get/1"; "retry of a failed request")]
#[test_case("half", "/resumed/stream"; "resumed stream")]
#[compio::test]
async fn retries_avoid_an_announced_shutdown(fault: &str, path: &str) {
    let size = FleetSize {
        upstreams: 3,
        ..FleetSize::default()
    };
    let routed = RoutedFleet::start(size).await;
    set_knobs(routed.upstreams[0].addr, &json!({ "leaving": "1" })).await;
    wait_for_announcement(&routed, 0).await;
    let before = routed.arrivals(0).len();
    for upstream in &routed.upstreams[1..] {
        set_knobs(upstream.addr, &json!({ "spoil": fault, "spoilt": 1_000 })).await;
    }
    for _ in 0..30 {
        routed.call(0, path, "4").await;
    }
    assert_eq!(routed.arrivals(0).len(), before);
    assert!(!routed.arrivals(1).is_empty());
}

/// The store is away, and an upstream has announced its shutdown to one router only. The other
/// routers must hear of it and send it nothing either.
#[compio::test]
async fn other_routers_learn_of_an_announced_shutdown() {
    let size = FleetSize {
        routers: 3,
        ..FleetSize::default()
    };
    let routed = RoutedFleet::start(size).await;
    routed.store_knobs(json!({ "fault": "silent" })).await;
    set_knobs(routed.upstreams[0].addr, &json!({ "leaving": "1" })).await;
    wait_for_announcement(&routed, 0).await;
    for router in [1, 2] {
        wait_until("the report of another router", || async {
            let log = routed.log(router);
            log.contains("known from other routers alone")
        })
        .await;
    }
    let before = routed.arrivals(0).len();
    for n in 0..64 {
        let router = if n % 2 == 0 { 1 } else { 2 };
        let (_, received) = call(&routed, router, n).await;
        assert!(received.status == 200 && received.complete, "{received:?}");
    }
    assert_eq!(routed.arrivals(0).len(), before);
}

/// An upstream that announced its shutdown starts again under its id, at its address. The later
/// start has announced nothing and must get work.
#[compio::test]
async fn later_start_under_the_same_id_gets_work() {
    let mut routed = RoutedFleet::start(FleetSize::default()).await;
    routed.upstreams[0].kill();
    routed.spawn_upstream_as(0, "i-same");
    wait_until("work for the upstream", || async {
        routed.call(0, "/get/1", "1").await;
        routed.arrivals(0).iter().any(|a| a.arrived_at == "i-same")
    })
    .await;
    set_knobs(routed.upstreams[0].addr, &json!({ "leaving": "1" })).await;
    wait_for_announcement(&routed, 0).await;
    routed.upstreams[0].kill();
    routed.spawn_upstream_as(0, "i-same");
    let later = routed.upstream_names.last().cloned().unwrap();
    wait_until("work for the later start", || async {
        routed.call(0, "/get/1", "1").await;
        !routed.arrivals_at(&later).is_empty()
    })
    .await;
}

/// An upstream sends an invalid announcement. It must keep its work.
#[test_case("0")]
#[test_case("yes")]
#[compio::test]
async fn invalid_announcement_changes_nothing(value: &str) {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    set_knobs(routed.upstreams[0].addr, &json!({ "leaving": value })).await;
    for n in 0..64 {
        call(&routed, 0, n).await;
    }
    let reached = routed.arrivals(0).len();
    assert!(reached > 10, "{reached} of 64 requests");
}

/// An overloaded upstream rejects a request and names a time to come back. Further requests would
/// keep it busy with rejections and use up the fleet's retries; after that time it takes work again.
#[test_case(&json!({}); "store reachable")]
#[test_case(&json!({ "fault": "silent" }); "store away")]
#[compio::test]
async fn pushback_is_respected_until_it_ends(store: &Value) {
    const PUSHBACK_MS: u64 = 2_000;
    let routed = RoutedFleet::start(FleetSize::default()).await;
    routed.store_knobs(store.clone()).await;
    let knobs = json!({ "spoil": "reject", "spoilt": 1_000, "retry_after": "2" });
    set_knobs(routed.upstreams[0].addr, &knobs).await;
    wait_until("a pushback", || async {
        routed.call(0, "/get/1", "1").await;
        !routed.arrivals(0).is_empty()
    })
    .await;
    let until_ms = routed.arrivals(0)[0].at_ms + PUSHBACK_MS;
    let before = routed.arrivals(0).len();
    let mut n = 0;
    while wall_ms() + 200 < until_ms {
        let (_, received) = call(&routed, 0, n).await;
        assert!(received.status == 200 && received.complete, "{received:?}");
        n += 1;
        sleep_ms(10).await;
    }
    // The last request may have waited for newer state beyond the end of the pushback.
    let arrivals = routed.arrivals(0).into_iter();
    let early = arrivals.filter(|a| a.at_ms < until_ms).count();
    assert_eq!(early, before, "of {n} requests");
    wait_until("work after the pushback", || async {
        call(&routed, 0, 0).await;
        routed.arrivals(0).len() > before
    })
    .await;
    assert!(routed.arrivals(0)[before].at_ms >= until_ms);
}

/// An upstream rejects one request with an invalid time to come back. It must keep its work.
#[test_case("soon")]
#[test_case("-3")]
#[test_case("1e999")]
#[test_case("Thu, 03 Dec 2099 16:00:00 GMT"; "a time of day")]
#[compio::test]
async fn invalid_pushback_changes_nothing(value: &str) {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    let knobs = json!({ "spoil": "reject", "spoilt": 1, "retry_after": value });
    set_knobs(routed.upstreams[0].addr, &knobs).await;
    for n in 0..64 {
        let (_, received) = call(&routed, 0, n).await;
        assert!(received.status == 200 && received.complete, "{received:?}");
    }
    let reached = routed.arrivals(0).len();
    assert!(reached > 10, "{reached} of 64 requests");
}

/// All upstreams of a service want no requests for a while. A caller must be told at once that its
/// request did not run, and a time at which coming back can help.
#[test_case("/ticket/1")]
#[test_case("/resumed/stream")]
#[compio::test]
async fn pushback_of_all_upstreams_is_passed_on(path: &str) {
    const PUSHBACK_MS: u64 = 4_000;
    let routed = RoutedFleet::start(FleetSize::default()).await;
    let knobs = json!({ "spoil": "reject", "spoilt": 1_000, "retry_after": "4" });
    routed.upstream_knobs(knobs).await;
    wait_until("pushbacks of all upstreams", || async {
        routed.call(0, path, "1").await;
        !routed.arrivals(0).is_empty() && !routed.arrivals(1).is_empty()
    })
    .await;
    let first_end_ms = [0, 1]
        .map(|i| routed.arrivals(i)[0].at_ms)
        .into_iter()
        .min();
    let first_end_ms = first_end_ms.unwrap() + PUSHBACK_MS;
    let (id, received) = routed.call(0, path, "1").await;
    let left_ms = first_end_ms.saturating_sub(wall_ms());
    let received = received.unwrap();
    assert_eq!(received.status, 503);
    assert!(received.not_run(), "{received:?}");
    let reached = [0, 1].map(|i| routed.arrivals(i));
    assert!(!reached.iter().flatten().any(|a| a.request_id == id));
    let retry_after_s: f64 = received.header("retry-after").parse().unwrap();
    let retry_after_ms = (retry_after_s * 1_000.0) as u64;
    assert!(
        (left_ms..=2 * PUSHBACK_MS).contains(&retry_after_ms),
        "{retry_after_ms} ms, {left_ms} ms left"
    );
}
