//! Streams of a service whose upstreams run several software versions: what two versions write
//! doesn't fit together.

mod support;

use std::collections::HashSet;

use futures_util::future::{join, join_all};
use serde_json::json;
use standins::backend::Run;
use support::routed::{FleetSize, RoutedFleet, routes};
use support::streams::wait_versions_in_use;
use support::{Received, get, set_knobs, sleep_ms, wait_until};

/// Number of events of each stream.
const EVENTS: u64 = 12;
const STREAMS: usize = 20;
/// Requests that earn the retry budget for two resumptions.
const REQUESTS_PER_STREAM: usize = 15;

/// Starts a router with as many upstreams of "v1" and then "v2".
async fn start(v1: u8, v2: u8) -> RoutedFleet {
    start_routers(1, v1, v2).await
}

async fn start_routers(routers: u8, v1: u8, v2: u8) -> RoutedFleet {
    let size = FleetSize {
        routers,
        upstreams: v1,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    for i in v1..v1 + v2 {
        routed.spawn_upstream_of(i, "v2");
    }
    for i in 0..routers {
        routed.wait_ready(i).await;
    }
    wait_versions_in_use(&routed).await;
    routed
}

fn data(events: std::ops::RangeInclusive<u64>) -> Vec<String> {
    events.map(|n| format!("{n} of {EVENTS}")).collect()
}

/// Requests the stream that began with request `id` after event `after`.
async fn resume(routed: &RoutedFleet, router: u8, id: &str, after: u64) -> (String, Received) {
    let after = after.to_string();
    let headers = [("last-event-id", after.as_str()), ("resumes", id)];
    let body = EVENTS.to_string();
    let (id, received) = routed
        .call_with(router, "/resumed/stream", &body, &headers)
        .await;
    (id, received.unwrap())
}

fn versions(runs: &[Run]) -> HashSet<&str> {
    runs.iter().map(|run| run.software.as_str()).collect()
}

/// All upstreams but one break off a stream in the middle. It must go on at the version that began
/// it, though upstreams of the other one are idle.
#[compio::test]
async fn broken_stream_goes_on_at_its_version() {
    let routed = start(2, 3).await;
    let (mut broken, mut begun) = (0, HashSet::new());
    for n in 0..2 * STREAMS {
        routed.upstream_knobs(json!({})).await;
        for _ in 0..REQUESTS_PER_STREAM {
            routed.call(0, "/get/1", "1").await;
        }
        for upstream in &routed.upstreams[..4] {
            set_knobs(upstream.addr, &json!({ "spoil": "half", "spoilt": 1 })).await;
        }
        let path = format!("/resumed/stream/{n}");
        let (id, received) = routed.call(0, &path, &EVENTS.to_string()).await;
        let received = received.unwrap();
        let runs = &routed.runs()[&id];
        assert!(received.complete, "stream {n}: {received:?}, {runs:?}");
        assert_eq!(received.data(), data(1..=EVENTS));
        assert_eq!(versions(runs).len(), 1, "stream {n}: {runs:?}");
        if runs.len() > 1 {
            broken += 1;
            begun.insert(runs[0].software.clone());
        }
    }
    assert!(broken >= STREAMS, "{broken} streams broke off");
    assert_eq!(begun.len(), 2, "{begun:?}");
}

/// The only upstream of a version is killed while it streams. Its streams must be cut: upstreams of
/// another version would answer, and a caller would get two answers joined in one.
#[compio::test]
async fn stream_without_its_version_is_cut() {
    let routed = start(1, 3).await;
    routed.upstream_knobs(json!({ "delay_ms": 200 })).await;
    let body = EVENTS.to_string();
    let streams = join_all((0..STREAMS).map(|_| routed.call(0, "/resumed/stream", &body)));
    let victim = routed.upstreams[0].handle();
    let kill = async {
        wait_until("all streams to run", || async {
            routed.runs().len() == STREAMS
        })
        .await;
        // Some events reach the callers first.
        sleep_ms(800).await;
        victim.kill();
    };
    let (streams, ()) = join(streams, kill).await;
    let runs = routed.runs();
    let mut cut = 0;
    for (id, received) in streams {
        let (received, runs) = (received.unwrap(), &runs[&id]);
        assert_eq!(versions(runs).len(), 1, "{runs:?}");
        if versions(runs).contains("v1") {
            assert!(!received.complete, "{received:?}");
            assert!(!received.data().is_empty());
            cut += 1;
        } else {
            assert!(received.complete, "{received:?}");
            assert_eq!(received.data(), data(1..=EVENTS));
        }
    }
    assert!(cut > 0, "no stream began at the upstream that was killed");
}

/// Callers take up streams at the same router. Each must go on at the version that began it.
#[compio::test]
async fn stream_taken_up_by_its_caller_goes_on_at_its_version() {
    let routed = start(2, 3).await;
    let mut begun = HashSet::new();
    for n in 0..STREAMS {
        let (first, received) = routed.call(0, "/resumed/stream", &EVENTS.to_string()).await;
        assert!(received.unwrap().complete);
        let (again, received) = resume(&routed, 0, &first, 4).await;
        assert_eq!(received.status, 200, "stream {n}: {received:?}");
        assert_eq!(received.data(), data(5..=EVENTS));
        let runs = routed.runs();
        let (first, again) = (&runs[&first], &runs[&again]);
        assert_eq!((again[0].after, first.len(), again.len()), (4, 1, 1));
        assert_eq!(again[0].software, first[0].software, "stream {n}");
        begun.insert(first[0].software.clone());
    }
    assert_eq!(begun.len(), 2, "{begun:?}");
}

/// Callers take up streams at a router that reaches no upstream, and another one sends them. It must
/// keep to the version that began each, as it is told where that was.
#[compio::test]
async fn stream_taken_up_through_another_router_goes_on_at_its_version() {
    let routed = start_routers(2, 1, 1).await;
    // The routers hear of each other's loads first.
    sleep_ms(600).await;
    let mut streams = Vec::new();
    for _ in 0..STREAMS {
        let (id, received) = routed.call(0, "/resumed/stream", &EVENTS.to_string()).await;
        assert!(received.unwrap().complete);
        streams.push(id);
    }
    // Router 0 has connections to both upstreams, the other one none.
    let refuses = json!({ "refuses_connections_ms": 3_000 });
    routed.upstream_knobs(refuses).await;
    sleep_ms(100).await;
    // Router 1 tries both upstreams and learns that it reaches neither.
    let (_, received) = routed.call(1, "/get/1", "1").await;
    assert_eq!(received.map(|r| r.status), Some(200));
    let mut begun = HashSet::new();
    for first in streams {
        let (again, received) = resume(&routed, 1, &first, 4).await;
        assert_eq!(received.data(), data(5..=EVENTS), "{received:?}");
        let runs = routed.runs();
        assert_eq!(runs[&again].len(), 1);
        assert_eq!(runs[&again][0].software, runs[&first][0].software);
        begun.insert(runs[&first][0].software.clone());
    }
    assert_eq!(begun.len(), 2, "{begun:?}");
    let log = routed.log_until_now(1).await;
    assert!(log.matches("delegated to router-0").count() >= STREAMS);
}

/// A new configuration leads the route to another service while a caller has part of a stream. Its
/// upstreams would go on with a stream that they didn't begin.
#[compio::test]
async fn stream_of_a_service_off_its_route_is_refused() {
    let mut routed = start(1, 0).await;
    let (first, received) = routed.call(0, "/resumed/stream", &EVENTS.to_string()).await;
    assert!(received.unwrap().complete);
    let mut routes = routes();
    for route in &mut routes {
        route["service"] = json!("s2");
    }
    let version = routed.configure(json!({ "routes": routes })).await;
    wait_until("the configuration", || async {
        let in_force = format!("configuration {version} in force");
        routed.log(0).contains(&in_force)
    })
    .await;
    let (id, received) = resume(&routed, 0, &first, 4).await;
    assert_eq!(received.status, 503, "{received:?}");
    assert!(received.not_run(), "{received:?}");
    let wanted = "the stream began at s1, where route resumed leads no more";
    assert!(received.body.contains(wanted), "{received:?}");
    assert_eq!(routed.runs_of(&id), 0);
}

/// A caller takes up a stream whose version has left. It must be refused at once as not run, with
/// the reason, rather than get events of another version.
#[compio::test]
async fn stream_of_a_version_that_left_is_refused() {
    let mut routed = start(1, 0).await;
    let (first, received) = routed.call(0, "/resumed/stream", &EVENTS.to_string()).await;
    assert!(received.unwrap().complete);
    routed.spawn_upstream_of(1, "v2");
    routed.wait_ready(0).await;
    set_knobs(routed.upstreams[0].addr, &json!({ "withdrawn": true })).await;
    wait_until("the removal of v1", || async {
        let page = get(routed.admin(0), "/metrics").await.unwrap_or_default();
        page.lines().any(|l| l == "cassiagrade_upstreams_known 1")
    })
    .await;
    let (id, received) = resume(&routed, 0, &first, 4).await;
    assert_eq!(received.status, 503, "{received:?}");
    assert!(received.not_run(), "{received:?}");
    let wanted = "no upstream of software version v1 of s1 is left";
    assert!(received.body.contains(wanted), "{received:?}");
    assert_eq!(routed.runs_of(&id), 0);
    wait_until("the count", || async {
        let page = get(routed.admin(0), "/metrics").await.unwrap_or_default();
        let counted = "cassiagrade_streams_not_resumed_total{reason=\"no_upstream\"} 1";
        page.lines().any(|l| l == counted)
    })
    .await;
}

/// A caller takes up a stream of which no router knows the version. Any upstream may be of the
/// wrong one. A caller that has received no event yet loses nothing and must be served.
#[compio::test]
async fn stream_of_unknown_version_is_refused() {
    let routed = start(1, 1).await;
    let (id, received) = resume(&routed, 0, "unknown", 4).await;
    assert_eq!(received.status, 503, "{received:?}");
    assert!(received.not_run(), "{received:?}");
    assert_eq!(routed.runs_of(&id), 0);
    let (_, received) = resume(&routed, 0, "unknown", 0).await;
    assert_eq!(received.data(), data(1..=EVENTS));
}
