//! The platform's store is down, slow, returns wrong data or refuses single routers.

mod support;

use std::cell::RefCell;

use serde_json::json;
use support::routed::{FleetSize, RoutedFleet};
use support::{sleep_ms, wait_until};
use test_case::test_case;

/// The store fails in one way for a while. Callers are still served, and a change made right after
/// it is back is soon in force.
#[test_case(json!({ "fault": "busy" }); "busy")]
#[test_case(json!({ "fault": "many" }); "too many calls")]
#[test_case(json!({ "fault": "cut" }); "cuts connections")]
#[test_case(json!({ "fault": "silent" }); "silent")]
#[test_case(json!({ "delay_ms": 300 }); "slow")]
#[test_case(json!({ "forget": true }); "drops its history")]
#[test_case(json!({ "garble_reads": 3 }); "garbled records")]
#[compio::test]
async fn callers_are_served_while_the_store_fails(knobs: serde_json::Value) {
    let mut routed = RoutedFleet::start(FleetSize::default()).await;
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

/// The store is down so long that all upstream entries expire, and is back before the upstreams
/// have written again. They are alive, so no caller may be refused.
#[compio::test]
async fn expired_entries_of_live_upstreams_refuse_no_caller() {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    routed
        .store_knobs(json!({ "fault": "busy", "lapse_ms": 100 }))
        .await;
    wait_until("the store outage to be detected", || async {
        routed.log(0).contains("store lost")
    })
    .await;
    // Longer than the silence after which expired entries are suspected.
    sleep_ms(3_500).await;
    routed.store_knobs(json!({})).await;
    wait_until("the upstreams to be listed again", || async {
        routed.log(0).contains("store back")
    })
    .await;
    for _ in 0..20 {
        let (_, received) = routed.call(0, "/get/1", "1").await;
        assert_eq!(received.unwrap().status, 200);
    }
}

/// An upstream dies while the store is down, so its entry is not renewed. It must be considered
/// dead soon after the store is back.
#[compio::test]
async fn unrenewed_entry_is_removed() {
    let mut routed = RoutedFleet::start(FleetSize::default()).await;
    routed
        .store_knobs(json!({ "fault": "busy", "lapse_ms": 900 }))
        .await;
    routed.upstreams[0].kill();
    sleep_ms(3_500).await;
    routed.store_knobs(json!({ "lapse_ms": 900 })).await;
    wait_until("the upstream to be removed", || async {
        routed.log(0).contains("is gone")
    })
    .await;
}

/// The store drops its history while a router can't read it. The router must start again from the
/// newest records: repeated requests for the dropped ones would cost the store thousands of calls,
/// and upstreams that left meanwhile would keep getting work.
#[compio::test]
async fn dropped_history_restarts_the_read_once() {
    let size = FleetSize {
        store_relays: true,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    routed
        .relay_knobs(0, json!({ "refuse": true, "cut": true }))
        .await;
    wait_until("the store outage to be detected", || async {
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
    wait_until("all upstreams to be known", || async {
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
    let count = calls().await - first;
    // Four upstreams write three times a second each, and the router reads about twice.
    assert!(count < 40, "{count} store calls in one second");
}

/// The store refuses one router and serves the others. That router learns changes from its peers
/// within seconds, and its callers see no old configuration.
#[compio::test]
async fn refused_router_learns_from_its_peers() {
    let size = FleetSize {
        routers: 4,
        store_relays: true,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    for i in 0..4 {
        routed.wait_ready(i).await;
    }
    for router in 0..4 {
        routed.relay_knobs(router, json!({ "stall": true })).await;
        let routes = if router % 2 == 0 {
            json!([])
        } else {
            json!(support::routed::routes())
        };
        let status = if router % 2 == 0 { 404 } else { 200 };
        routed.configure(json!({ "routes": routes })).await;
        routed.wait_status(router, "/get/1", status).await;
        routed.relay_knobs(router, json!({})).await;
    }
}

/// A router is replaced while the store is down, with no state of its own. It gets the state from
/// its peers and serves.
#[compio::test]
async fn replaced_router_starts_from_its_peers() {
    let size = FleetSize {
        routers: 3,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    routed.store_knobs(json!({ "fault": "silent" })).await;
    routed.routers[2].kill();
    routed.spawn_router(2);
    routed.wait_status(2, "/get/1", 200).await;
}

/// Hundreds of routers start at once, and the store takes a second for each request. Routers
/// without state must not also request the whole state from their peers: over the peers' slow links
/// that stalled the whole fleet.
#[compio::test]
async fn slow_store_causes_no_full_state_requests_to_peers() {
    let size = FleetSize {
        routers: 2,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    routed.store_knobs(json!({ "delay_ms": 1_000 })).await;
    routed.routers[1].kill();
    routed.spawn_router(1);
    routed.wait_status(1, "/get/1", 200).await;
    let log = routed.log_until_now(1).await;
    let starts = log.matches("in force, from the store").count();
    assert_eq!(starts, 2, "{log}");
    assert!(!log.contains("in force, from 127."), "{log}");
}

/// If a router that is still loading refused its callers, all of them would be delayed, and some
/// have no retry left.
#[test_case(&[("deadline-ms", "8000")]; "with time left")]
#[test_case(&[]; "without a deadline")]
#[compio::test]
async fn requests_wait_for_the_first_load(headers: &[(&str, &str)]) {
    let mut routed = RoutedFleet::start(FleetSize::default()).await;
    routed.store_knobs(json!({ "delay_ms": 500 })).await;
    routed.routers[0].kill();
    routed.spawn_router(0);
    let response = RefCell::new(None);
    wait_until("an answer", || async {
        let (_, received) = routed.call_with(0, "/get/1", "1", headers).await;
        response.replace(received);
        response.borrow().is_some()
    })
    .await;
    assert_eq!(response.take().map(|r| r.status), Some(200));
}

/// A caller's deadline is shorter than the first load. It must not be kept waiting until its
/// deadline.
#[compio::test]
async fn short_deadlines_do_not_wait_for_a_long_load() {
    let mut routed = RoutedFleet::start(FleetSize::default()).await;
    routed.store_knobs(json!({ "delay_ms": 1_500 })).await;
    routed.routers[0].kill();
    routed.spawn_router(0);
    let response = RefCell::new(None);
    wait_until("an answer", || async {
        let headers = [("deadline-ms", "400")];
        let (_, received) = routed.call_with(0, "/get/1", "1", &headers).await;
        response.replace(received);
        response.borrow().is_some()
    })
    .await;
    let received = response.take().unwrap();
    assert_eq!(received.status, 503);
    assert!(received.not_run());
}

/// A router starts while the store is down and no peer is known: it must not refuse requests as
/// unknown when it has merely not loaded the routes.
#[compio::test]
async fn router_without_a_configuration_refuses_no_request_as_unknown() {
    let mut routed = RoutedFleet::start(FleetSize::default()).await;
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

/// An old version reaches a router after a newer one. If the router applied it, requests would be
/// handled by rules that the operator has replaced.
#[compio::test]
async fn older_version_is_not_applied() {
    let mut routed = RoutedFleet::start(FleetSize::default()).await;
    routed.configure(json!({ "routes": [] })).await;
    routed.wait_status(0, "/get/1", 404).await;
    routed.configure(json!({ "version": 1 })).await;
    sleep_ms(400).await;
    let (_, received) = routed.call(0, "/get/1", "1").await;
    assert_eq!(received.unwrap().status, 404);
}

/// A fleet starts at once: each router reads the list of routers before any other is registered, and
/// the next read is far off or fails. The routers must find each other by the seed hosts in their
/// settings: until then they know neither the others' load nor what upstreams announced to them.
#[compio::test]
async fn routers_find_each_other_without_the_list() {
    const ROUTERS: u8 = 3;
    let size = FleetSize {
        routers: 0,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    routed
        .store_knobs(json!({ "hidden": "keyed.routers" }))
        .await;
    for i in 0..ROUTERS {
        routed.spawn_router(i);
    }
    for i in 0..ROUTERS {
        wait_until("all routers in the entry answer", || async {
            routed.entry_addresses(i).await.len() == usize::from(ROUTERS)
        })
        .await;
    }
}
