//! What upstreams announce in their answers: a shutdown, or a time without requests.

mod support;

use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use support::routed::{FleetSize, RoutedFleet};
use support::{Received, set_knobs, sleep_ms, wait_until};
use test_case::test_case;

/// One path for each way in which a request may be repeated.
const PATHS: [&str; 4] = ["/get/1", "/ticket/1", "/resumed/stream", "/once/stream"];

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(since.as_millis()).unwrap()
}

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
    assert_eq!(routed.arrivals(0).len(), before, "of {n} requests");
    wait_until("work after the pushback", || async {
        call(&routed, 0, 0).await;
        routed.arrivals(0).len() > before
    })
    .await;
    assert!(routed.arrivals(0)[before].at_ms >= until_ms);
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
