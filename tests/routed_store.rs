//! The platform's store away, slow, lying or turning single routers away.

mod support;

use std::cell::RefCell;

use serde_json::json;
use support::routed::{Routed, Size};
use support::{sleep_ms, wait_until};
use test_case::test_case;

/// The store fails in one way for a while. Callers are served all the same, and a change that was
/// made right after it came back is in force soon.
#[test_case(json!({ "fault": "busy" }); "busy")]
#[test_case(json!({ "fault": "many" }); "too many calls")]
#[test_case(json!({ "fault": "cut" }); "cuts connections")]
#[test_case(json!({ "fault": "silent" }); "silent")]
#[test_case(json!({ "delay_ms": 300 }); "slow")]
#[test_case(json!({ "forget": true }); "forgets its history")]
#[test_case(json!({ "garble_reads": 3 }); "garbled records")]
#[compio::test]
async fn callers_are_served_while_the_store_fails(knobs: serde_json::Value) {
    let mut routed = Routed::start(Size::default()).await;
    routed.store_knobs(knobs).await;
    for _ in 0..10 {
        let (_, received) = routed.call(0, "/get/1", "1").await;
        assert_eq!(received.unwrap().status, 200);
        sleep_ms(50).await;
    }
    routed.store_knobs(json!({})).await;
    routed.configure(json!({ "routes": [] })).await;
    routed.wait_status(0, "/get/1", 404).await;
}

/// The store is away so long that all entries of upstreams lapse, and is back before they have written
/// again. They live: nobody may be refused for that.
#[compio::test]
async fn lapsed_entries_of_living_upstreams_refuse_nobody() {
    let routed = Routed::start(Size::default()).await;
    routed
        .store_knobs(json!({ "fault": "busy", "lapse_ms": 100 }))
        .await;
    wait_until("the loss", || async {
        routed.log(0).contains("store lost")
    })
    .await;
    // Longer than the silence after which lapsed entries are doubted.
    sleep_ms(3_500).await;
    routed.store_knobs(json!({})).await;
    wait_until("the return", || async {
        routed.log(0).contains("store back")
    })
    .await;
    for _ in 0..20 {
        let (_, received) = routed.call(0, "/get/1", "1").await;
        assert_eq!(received.unwrap().status, 200);
    }
}

/// An upstream dies while the store is away; its entry doesn't come back. It must be taken for gone
/// soon after the store's return.
#[compio::test]
async fn entry_that_does_not_come_back_is_gone() {
    let mut routed = Routed::start(Size::default()).await;
    routed
        .store_knobs(json!({ "fault": "busy", "lapse_ms": 900 }))
        .await;
    routed.upstreams[0].kill();
    sleep_ms(3_500).await;
    routed.store_knobs(json!({ "lapse_ms": 900 })).await;
    wait_until("the removal", || async {
        routed.log(0).contains("is gone")
    })
    .await;
}

/// The store forgets its history while a router can't read it. The router must start anew from the
/// newest records; asking for what is gone again and again would cost the store thousands of calls,
/// and upstreams that left meanwhile would get work for ever.
#[compio::test]
async fn forgotten_history_is_read_anew_once() {
    let size = Size {
        store_relays: true,
        ..Size::default()
    };
    let mut routed = Routed::start(size).await;
    routed
        .relay_knobs(0, json!({ "refuse": true, "cut": true }))
        .await;
    wait_until("the loss", || async {
        routed.log(0).contains("store lost")
    })
    .await;
    let before = routed.upstreams.len();
    routed.spawn_upstream(2);
    routed.spawn_upstream(3);
    sleep_ms(600).await;
    routed.store_knobs(json!({ "forget": true })).await;
    routed.relay_knobs(0, json!({})).await;
    let wanted = format!("cassiagrade_upstreams_known {}", before + 2);
    wait_until("the upstreams", || async {
        let page = support::get(routed.admin(0), "/metrics")
            .await
            .unwrap_or_default();
        page.lines().any(|l| l == wanted)
    })
    .await;
    let calls = || async {
        let text = support::get(routed.store.addr, "/calls").await.unwrap();
        text.parse::<u64>().unwrap()
    };
    let first = calls().await;
    sleep_ms(1_000).await;
    let made = calls().await - first;
    // Four upstreams write three times a second each, and the router reads about twice.
    assert!(made < 40, "{made} calls in a second");
}

/// The store turns one router away and serves the others. It learns from them what changes, within
/// seconds, and its callers see no old configuration.
#[compio::test]
async fn router_that_is_turned_away_learns_from_the_others() {
    let size = Size {
        routers: 4,
        store_relays: true,
        ..Size::default()
    };
    let mut routed = Routed::start(size).await;
    for i in 0..4 {
        routed.wait_ready(i).await;
    }
    for away in 0..4 {
        routed.relay_knobs(away, json!({ "stall": true })).await;
        let routes = if away % 2 == 0 {
            json!([])
        } else {
            json!(support::routed::routes())
        };
        let status = if away % 2 == 0 { 404 } else { 200 };
        routed.configure(json!({ "routes": routes })).await;
        routed.wait_status(away, "/get/1", status).await;
        routed.relay_knobs(away, json!({})).await;
    }
}

/// A router is replaced while the store is away: it knows nothing of its own. Its peers tell it, and
/// it serves.
#[compio::test]
async fn replaced_router_starts_from_its_peers() {
    let size = Size {
        routers: 3,
        ..Size::default()
    };
    let mut routed = Routed::start(size).await;
    routed.store_knobs(json!({ "fault": "silent" })).await;
    routed.routers[2].kill();
    routed.spawn_router(2);
    routed.wait_status(2, "/get/1", 200).await;
}

/// Hundreds of routers start at once, and the store takes a second for all that they ask. Those that know nothing yet
/// must not ask their peers for everything beside it: over the peers' slow links that held up the whole fleet.
#[compio::test]
async fn slow_store_sends_nobody_to_its_peers() {
    let size = Size {
        routers: 2,
        ..Size::default()
    };
    let mut routed = Routed::start(size).await;
    routed.store_knobs(json!({ "delay_ms": 1_000 })).await;
    routed.routers[1].kill();
    routed.spawn_router(1);
    routed.wait_status(1, "/get/1", 200).await;
    let log = routed.log_until_now(1).await;
    let starts = log.matches("in force, from the store").count();
    assert_eq!(starts, 2, "{log}");
    assert!(!log.contains("in force, from 127."), "{log}");
}

/// A router that is still loading refuses its callers: all of them come back late, and some have no retry left.
#[test_case(&[("deadline-ms", "8000")]; "with time left")]
#[test_case(&[]; "without a deadline")]
#[compio::test]
async fn requests_wait_for_the_first_load(headers: &[(&str, &str)]) {
    let mut routed = Routed::start(Size::default()).await;
    routed.store_knobs(json!({ "delay_ms": 500 })).await;
    routed.routers[0].kill();
    routed.spawn_router(0);
    let answered = RefCell::new(None);
    wait_until("an answer", || async {
        let (_, received) = routed.call_with(0, "/get/1", "1", headers).await;
        answered.replace(received);
        answered.borrow().is_some()
    })
    .await;
    assert_eq!(answered.take().map(|r| r.status), Some(200));
}

/// A caller has less time than the first load takes. It must not be held until its time is up.
#[compio::test]
async fn short_deadlines_do_not_wait_for_a_long_load() {
    let mut routed = Routed::start(Size::default()).await;
    routed.store_knobs(json!({ "delay_ms": 1_500 })).await;
    routed.routers[0].kill();
    routed.spawn_router(0);
    let answered = RefCell::new(None);
    wait_until("an answer", || async {
        let headers = [("deadline-ms", "400")];
        let (_, received) = routed.call_with(0, "/get/1", "1", &headers).await;
        answered.replace(received);
        answered.borrow().is_some()
    })
    .await;
    let received = answered.take().unwrap();
    assert_eq!(received.status, 503);
    assert!(received.not_run());
}

/// A router starts while the store is away and knows no peer either: it must not call requests
/// unknown that it merely hasn't heard of.
#[compio::test]
async fn router_without_a_configuration_denies_nothing() {
    let mut routed = Routed::start(Size::default()).await;
    routed.store_knobs(json!({ "fault": "silent" })).await;
    routed.routers[0].kill();
    routed.spawn_router(0);
    wait_until("an answer", || async {
        let (_, received) = routed.call(0, "/get/1", "1").await;
        received.is_some()
    })
    .await;
    let (id, received) = routed.call(0, "/get/1", "1").await;
    let received = received.unwrap();
    assert_eq!(received.status, 503);
    assert!(received.not_run());
    assert_eq!(routed.runs_of(&id), 0);
    assert!(support::get(routed.ready(0), "/readyz").await.is_none());
}

/// An old version reaches a router after a newer one: taken, requests would be handled again as an
/// operator no longer allows.
#[compio::test]
async fn older_version_never_comes_back() {
    let mut routed = Routed::start(Size::default()).await;
    routed.configure(json!({ "routes": [] })).await;
    routed.wait_status(0, "/get/1", 404).await;
    routed.configure(json!({ "version": 1 })).await;
    sleep_ms(400).await;
    let (_, received) = routed.call(0, "/get/1", "1").await;
    assert_eq!(received.unwrap().status, 404);
}
