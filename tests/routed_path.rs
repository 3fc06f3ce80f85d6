//! Requests on the keyed log: routes, accounts, and headers and answers passed unchanged.

mod support;

use std::collections::HashSet;

use serde_json::{Value, json};
use standins::backend::id_prefix;
use support::routed::{FleetSize, HOST, KEY, RoutedFleet, new_request_id, routes};
use support::{get, wait_until};

#[compio::test]
async fn request_and_answer_pass_unchanged() {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    let headers = [
        ("deadline-ms", "8000"),
        ("tenant-id", "forged"),
        ("pin-ms", "9"),
    ];
    let (id, received) = routed
        .call_with(0, "/ticket/7?x=%20y", "a body", &headers)
        .await;
    let received = received.unwrap();
    assert_eq!(received.status, 200);
    assert_eq!(received.header("attempt-id"), id);
    assert!(!received.header("server-signature").is_empty());
    let body: Value = serde_json::from_str(&received.body).unwrap();
    assert_eq!(body["echo"], "a body");
    let runs = routed.runs();
    let run = &runs[&id][0];
    assert_eq!(run.target, "/ticket/7?x=%20y");
    assert_eq!(run.account, "workshop");
    assert!(
        !run.had_key,
        "the caller's key was forwarded to the upstream"
    );
}

#[compio::test]
async fn stream_is_passed_event_by_event() {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    let (_, received) = routed.call(0, "/once/stream", "9").await;
    let received = received.unwrap();
    assert!(received.complete);
    let wanted: Vec<String> = (1..=9).map(|n| format!("{n} of 9")).collect();
    assert_eq!(received.data(), wanted);
}

/// A request that the configuration does not allow is refused and not run; one that only the newest
/// configuration allows is served by every router, including those that received the configuration
/// from a peer instead of the store.
#[compio::test]
async fn configuration_is_in_force_on_all_routers() {
    let size = FleetSize {
        routers: 5,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    for (path, key, status) in [("/nowhere/1", KEY, 404), ("/get/1", "wrong", 401)] {
        let id = new_request_id();
        let caller = support::Caller::new(key);
        let headers = [("attempt-id", id.as_str()), ("host", HOST)];
        let received = caller
            .call(routed.caller(0), "POST", path, &headers, "1")
            .await;
        assert_eq!(received.unwrap().status, status);
        assert_eq!(routed.runs_of(&id), 0);
    }
    let mut more = routes();
    more.push(json!({
        "name": "new", "host": HOST, "path_prefix": "/new/", "type": "idempotent", "service": "s1",
    }));
    routed.configure(json!({ "routes": more })).await;
    for i in 0..5 {
        routed.wait_status(i, "/new/1", 200).await;
    }
    // The account's key is removed.
    routed.configure(json!({ "tenants": [] })).await;
    for i in 0..5 {
        routed.wait_status(i, "/get/1", 401).await;
    }
}

/// A configuration that fails to parse must neither empty the routes nor block the next one.
#[compio::test]
async fn bad_configuration_leaves_the_old_one_in_force() {
    let mut routed = RoutedFleet::start(FleetSize::default()).await;
    routed
        .write_config("{ \"version\": 99, \"routes\": 7 }")
        .await;
    wait_until("the refused configuration", || async {
        routed.log(0).contains("refused")
    })
    .await;
    let (_, received) = routed.call(0, "/get/1", "1").await;
    assert_eq!(received.unwrap().status, 200);
    routed.configure(json!({ "routes": [] })).await;
    routed.wait_status(0, "/get/1", 404).await;
}

#[compio::test]
async fn entry_answers_name_all_ready_routers() {
    let size = FleetSize {
        routers: 3,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    wait_until("three addresses", || async {
        routed.entry_addresses(1).await.len() == 3
    })
    .await;
    routed.routers[2].kill();
    wait_until("two addresses", || async {
        routed.entry_addresses(1).await.len() == 2
    })
    .await;
    let removed = routed.caller(2).to_string();
    wait_until(
        "router 0 to drop router 2 from its entry answers",
        || async { !routed.entry_addresses(0).await.contains(&removed) },
    )
    .await;
}

/// An upstream announces that it is draining: it gets no new work, and its running stream
/// completes.
#[compio::test]
async fn leaving_upstream_gets_no_new_work() {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    let leaving = &routed.upstreams[0];
    support::set_knobs(leaving.addr, &json!({ "draining": true })).await;
    wait_until("router 0 to log the drain", || async {
        routed.log(0).contains("draining: true")
    })
    .await;
    let before = routed.runs().len();
    for _ in 0..20 {
        let (_, received) = routed.call(0, "/get/1", "1").await;
        assert_eq!(received.unwrap().status, 200);
    }
    let runs = routed.runs();
    assert_eq!(runs.len(), before + 20);
    assert_eq!(routed.upstream_names.len(), 2);
    let served: HashSet<_> = runs.values().flatten().map(|r| &r.upstream).collect();
    assert_eq!(served.len(), 1, "{served:?}");
    let staying = id_prefix(routed.upstreams[1].addr);
    assert!(
        served.iter().all(|id| id.starts_with(&staying)),
        "{served:?}"
    );
}

/// Some upstreams publish no version of their software, and a later start may have another version.
/// Both serve like any other.
#[compio::test]
async fn upstreams_of_any_software_version_serve() {
    let size = FleetSize {
        upstreams: 1,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    for software in ["v2", ""] {
        routed.upstreams[0].kill();
        routed.spawn_upstream_of(0, software);
        routed.wait_status(0, "/get/1", 200).await;
        let (id, _) = routed.call(0, "/get/1", "1").await;
        assert_eq!(routed.runs()[&id][0].software, software);
    }
}

#[compio::test]
async fn metrics_count_requests() {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    routed.call(0, "/get/1", "1").await;
    let wanted = "cassiagrade_requests_total{outcome=\"answered\",service=\"s1\"} 1";
    wait_until("the request counter", || async {
        let page = get(routed.admin(0), "/metrics").await.unwrap_or_default();
        page.lines().any(|l| l == wanted)
    })
    .await;
}
