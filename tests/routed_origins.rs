//! Streams that broke off, taken up at routers that didn't begin them, while upstreams of several software
//! versions serve.

mod support;

use std::time::Duration;

use serde_json::json;
use support::routed::RoutedFleet;
use support::streams::{
    Broken, EVENTS, PATH, STREAMS, break_streams, restart_all, resumed, spawn_upstream, start,
    take_up, versions_of, wait_all_ready, wait_versions_in_use,
};
use support::{Received, get, set_knobs, sleep_ms, wait_until};
use test_case::test_case;

/// Time after which the platform holds where streams began.
const STORED_MS: u64 = 1_500;

/// Ends all upstreams from the third on, and waits until all routers know it.
async fn end_upstreams(routed: &mut RoutedFleet) {
    for i in 2..routed.upstreams.len() {
        set_knobs(routed.upstreams[i].addr, &json!({ "withdrawn": true })).await;
        routed.wait_entry(u8::try_from(i).unwrap(), "").await;
    }
    routed.upstreams.truncate(2);
    wait_all_ready(routed).await;
}

/// Takes up a stream at router `i` that no router and no record knows.
async fn take_up_unknown(routed: &RoutedFleet, i: u8) -> (String, Option<Received>) {
    let unknown = Broken {
        path: PATH.to_owned(),
        id: "unheard-of".to_owned(),
        last: 10,
    };
    take_up(routed, i, &unknown).await
}

/// The records about versions in the store.
async fn stored_versions(routed: &RoutedFleet) -> String {
    let stored = "/log-newest?stream_name=keyed.versions&part=0";
    get(routed.store.addr, stored).await.unwrap()
}

/// The router that began the streams is killed. Those that are left must know where each of them began,
/// whichever they are.
#[test_case(1)]
#[test_case(2)]
#[compio::test]
async fn streams_of_a_killed_router_go_on_at_their_version(router: u8) {
    let mut routed = start(&["v1", "v1", "v2", "v2"]).await;
    let streams = break_streams(&mut routed, async |r| r.routers[0].kill()).await;
    assert_eq!(resumed(&routed, router, &streams).await, STREAMS);
}

/// The streams began when there was one version, and nobody was told of them. A second one is listed, and
/// then the router that began them is killed.
#[compio::test]
async fn streams_in_progress_when_a_second_version_is_listed_go_on() {
    let mut routed = start(&["v1", "v1"]).await;
    let cut = async |routed: &mut RoutedFleet| {
        spawn_upstream(routed, "v2").await;
        wait_all_ready(routed).await;
        sleep_ms(300).await;
        routed.routers[0].kill();
    };
    let streams = break_streams(&mut routed, cut).await;
    assert_eq!(resumed(&routed, 1, &streams).await, STREAMS);
}

/// The routers that were told where the streams began restart, and then the one that began them is killed:
/// routers restart one after the other.
#[compio::test]
async fn streams_go_on_after_their_keepers_restarted() {
    let mut routed = start(&["v1", "v1", "v2", "v2"]).await;
    let cut = async |routed: &mut RoutedFleet| {
        for i in 1..3 {
            routed.routers[usize::from(i)].kill();
            routed.spawn_router(i);
        }
        wait_all_ready(routed).await;
        sleep_ms(500).await;
        routed.routers[0].kill();
    };
    let streams = break_streams(&mut routed, cut).await;
    assert_eq!(resumed(&routed, 1, &streams).await, STREAMS);
}

/// On an ordinary day streams would cost messages between routers, and records on the platform. There is one of
/// the version.
#[compio::test]
async fn streams_of_the_only_version_cost_no_message() {
    let mut routed = start(&["v1", "v1"]).await;
    let at = routed.admin(0);
    let cut = async |routed: &mut RoutedFleet| {
        let page = get(at, "/metrics").await.unwrap();
        assert!(page.contains("cassiagrade_control_bytes_total"));
        assert!(!page.contains("kind=\"origin\""));
        routed.routers[0].kill();
    };
    break_streams(&mut routed, cut).await;
    let stored = stored_versions(&routed).await;
    assert_eq!(stored.matches("\"key\"").count(), 1, "{stored}");
    let stored = "/log-newest?stream_name=keyed.origins&part=0";
    let stored = get(routed.store.addr, stored).await.unwrap();
    assert!(!stored.contains("\"key\""), "{stored}");
}

/// A router whose list of upstreams is old and that reaches no other router. A second version may have been
/// listed meanwhile, so it may not take the one that it knows for the only one.
#[compio::test]
async fn router_that_is_cut_off_resumes_no_stream_of_unknown_origin() {
    let mut routed = start(&["v1", "v1"]).await;
    let headers = [("last-event-id", "38"), ("resumes", "unheard-of")];
    let (_, received) = routed.call_with(1, PATH, "40", &headers).await;
    assert_eq!(received.map(|r| r.status), Some(200));
    routed.store.kill();
    routed.routers[0].kill();
    routed.routers[2].kill();
    sleep_ms(4_000).await;
    let (id, received) = routed.call_with(1, PATH, "40", &headers).await;
    let received = received.unwrap();
    assert_eq!(received.status, 503, "{}", received.body);
    assert_eq!(routed.runs_of(&id), 0);
    let (_, received) = routed.call(1, PATH, "2").await;
    assert_eq!(received.map(|r| r.status), Some(200));
}

/// The store is away, which all routers know of each other. Nothing can be listed meanwhile that one of
/// them knows, and streams go on.
#[compio::test]
async fn streams_go_on_while_the_store_is_away() {
    let mut routed = start(&["v1", "v1"]).await;
    let cut = async |routed: &mut RoutedFleet| {
        routed.store.kill();
        sleep_ms(3_000).await;
        for upstream in &routed.upstreams {
            set_knobs(upstream.addr, &json!({ "delay_ms": 20 })).await;
        }
        routed.routers[0].kill();
    };
    let streams = break_streams(&mut routed, cut).await;
    assert_eq!(resumed(&routed, 1, &streams).await, STREAMS);
}

/// All routers restart, and none knows where the streams began. Those of each version must go on there; only
/// the platform can tell.
#[compio::test]
async fn streams_of_several_versions_go_on_after_a_restart_of_all() {
    let mut routed = start(&["v1", "v1", "v2", "v2", "v3", "v3"]).await;
    let cut = async |routed: &mut RoutedFleet| {
        sleep_ms(STORED_MS).await;
        restart_all(routed).await;
    };
    let streams = break_streams(&mut routed, cut).await;
    assert_eq!(resumed(&routed, 1, &streams).await, STREAMS);
}

/// All routers restart, and neither they nor the platform know where a stream began. With a second version it
/// may not go on anywhere.
#[compio::test]
async fn stream_of_unknown_version_is_refused_after_a_restart_of_all() {
    let mut routed = start(&["v1", "v1", "v2", "v2"]).await;
    let cut = async |routed: &mut RoutedFleet| {
        sleep_ms(STORED_MS).await;
        restart_all(routed).await;
    };
    break_streams(&mut routed, cut).await;
    for i in 0..3 {
        let (id, received) = take_up_unknown(&routed, i).await;
        assert_eq!(received.map(|r| r.status), Some(503), "router {i}");
        assert_eq!(routed.runs_of(&id), 0);
    }
}

/// The platform stores nothing while the streams begin. Those of which it knows nothing may not go on
/// anywhere after a restart of all routers.
#[compio::test]
async fn streams_that_were_not_stored_are_refused_after_a_restart_of_all() {
    let mut routed = start(&["v1", "v1", "v2", "v2"]).await;
    routed.store.freeze();
    let cut = async |routed: &mut RoutedFleet| {
        for router in &mut routed.routers {
            router.kill();
        }
        routed.store.unfreeze();
        restart_all(routed).await;
    };
    let streams = break_streams(&mut routed, cut).await;
    for i in 0..3 {
        assert_eq!(resumed(&routed, i, &streams).await, 0, "router {i}");
    }
}

/// All routers restart after the last upstream of one version was removed. The other one, the only one
/// that is listed, may not go on with streams of the removed one, nor with those of unknown origin.
#[compio::test]
async fn removed_version_is_known_after_a_restart_of_all() {
    let mut routed = start(&["v2", "v2", "v1", "v1"]).await;
    let cut = async |routed: &mut RoutedFleet| {
        end_upstreams(routed).await;
        let stored = stored_versions(routed).await;
        assert!(stored.contains("\"key\""), "{stored}");
        sleep_ms(STORED_MS).await;
        restart_all(routed).await;
    };
    let streams = break_streams(&mut routed, cut).await;
    let is_left = |stream: &&Broken| versions_of(&routed, &stream.id) == ["v2"];
    let left = streams.iter().filter(is_left).count();
    assert!(0 < left && left < STREAMS, "{left} streams began at v2");
    for i in 0..3 {
        let (id, received) = take_up_unknown(&routed, i).await;
        assert_eq!(received.map(|r| r.status), Some(503), "router {i}");
        assert_eq!(routed.runs_of(&id), 0);
        assert_eq!(resumed(&routed, i, &streams).await, left, "router {i}");
    }
}

/// All routers restart on an ordinary day. Streams would be refused for two minutes though nothing else
/// than the only version can have begun them.
#[compio::test]
async fn streams_of_the_only_version_go_on_after_a_restart_of_all() {
    let mut routed = start(&["v1", "v1", "v1"]).await;
    let streams = break_streams(&mut routed, restart_all).await;
    for i in 0..3 {
        let routed = &routed;
        assert_eq!(resumed(routed, i, &streams).await, STREAMS, "router {i}");
    }
}

/// A stream whose first request is unknown, as its caller names none or one that never was.
#[test_case(&[]; "none")]
#[test_case(&[("resumes", "unheard-of")]; "unknown")]
#[compio::test]
async fn stream_of_unknown_origin_goes_on_only_if_there_is_one_version(more: &[(&str, &str)]) {
    let mut routed = start(&["v1", "v1"]).await;
    let mut headers = vec![("last-event-id", "38")];
    headers.extend_from_slice(more);
    let (id, received) = routed.call_with(1, PATH, "40", &headers).await;
    assert_eq!(received.map(|r| r.status), Some(200));
    assert_eq!(versions_of(&routed, &id), ["v1"]);
    spawn_upstream(&mut routed, "v2").await;
    wait_all_ready(&routed).await;
    wait_versions_in_use(&routed).await;
    let (id, received) = routed.call_with(1, PATH, "40", &headers).await;
    assert_eq!(received.map(|r| r.status), Some(503));
    assert_eq!(routed.runs_of(&id), 0);
}

/// A router is restarted while a second version is listed, and learns from the others that a version was
/// removed. It may not take the one that is left for the only one.
#[compio::test]
async fn restarted_router_learns_of_a_removed_version() {
    let mut routed = start(&["v2", "v2", "v1", "v1"]).await;
    end_upstreams(&mut routed).await;
    routed.routers[1].kill();
    routed.spawn_router(1);
    let headers = [("last-event-id", "38"), ("resumes", "unheard-of")];
    wait_until("an answer of the restarted router", || async {
        let (id, received) = routed.call_with(1, PATH, "40", &headers).await;
        assert_eq!(routed.runs_of(&id), 0);
        received.is_some_and(|r| r.status == 503 && r.body.contains("version"))
    })
    .await;
}

/// A stream that has ended at all routers is forgotten, but not while its caller may resume it.
#[compio::test]
async fn stream_is_resumed_again_and_again() {
    let mut routed = start(&["v1", "v2"]).await;
    let streams = break_streams(&mut routed, async |r| r.routers[0].kill()).await;
    let stream = &streams[0];
    let began = versions_of(&routed, &stream.id);
    for router in [1, 2, 1] {
        let later = Broken {
            path: stream.path.clone(),
            id: stream.id.clone(),
            last: EVENTS - 1,
        };
        let (id, received) = take_up(&routed, router, &later).await;
        assert_eq!(received.map(|r| r.status), Some(200), "router {router}");
        assert_eq!(versions_of(&routed, &id), began);
        compio::time::sleep(Duration::from_millis(50)).await;
    }
}
