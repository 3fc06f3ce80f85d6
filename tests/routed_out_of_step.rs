//! Streams that broke off, taken up at routers that lack a version that serves, or that have all just started.

mod support;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compio::runtime::JoinHandle;
use futures_util::future::{join, join_all};
use serde_json::json;
use support::routed::{HOST, KEY, RoutedFleet, new_request_id};
use support::streams::{
    Begun, Broken, STREAMS, TakenUp, assert_none_joined, begin, break_streams, kill_all,
    list_upstream, restart_all, resume, resumed, spawn_unlisted_upstream, spawn_upstream, start,
    start_with_store_relays, try_resume, versions_of, wait_all_ready,
};
use support::{Caller, set_knobs, sleep_ms, wait_until};
use test_case::test_case;

/// Share of the streams whose version still serves that must go on.
const LEAST_SHARE: f64 = 0.95;

/// Time for which callers try to take up streams at a router out of step.
const RETRIED_FOR: Duration = Duration::from_secs(5);
const RETRY_MS: u64 = 150;

/// Waits until a stream begins at this version at router 0.
async fn wait_begins_at(routed: &RoutedFleet, version: &str) {
    let at = routed.caller(0);
    let ids = RefCell::new(Vec::new());
    wait_until("a stream at the version that joined", || async {
        let id = new_request_id();
        ids.borrow_mut().push(id.clone());
        // An answer takes longer than it is to take until the next step.
        compio::runtime::spawn(probe(at, id)).detach();
        let mut runs = routed.runs();
        let ids = ids.borrow();
        let mut runs = ids.iter().filter_map(|id| runs.remove(id)).flatten();
        runs.any(|run| run.software == version)
    })
    .await;
}

async fn probe(at: SocketAddr, id: String) {
    let path = format!("/resumed/{id}/stream");
    let headers = [
        ("attempt-id", id.as_str()),
        ("host", HOST),
        ("deadline-ms", "2000"),
    ];
    let caller = Caller::new(KEY);
    caller.call(at, "POST", &path, &headers, "1").await;
}

/// The streams among these that had an event when they ended.
async fn with_events(begun: Vec<JoinHandle<Begun>>) -> Vec<Broken> {
    let ended = join_all(begun).await.into_iter();
    let ended = ended.map(|stream| Broken::from(stream.unwrap()));
    ended.filter(|stream| stream.last > 0).collect()
}

/// Has the rest of all streams sent quickly.
async fn send_fast(routed: &RoutedFleet) {
    routed.upstream_knobs(json!({ "delay_ms": 20 })).await;
}

fn assert_share(went_on: usize, of: usize) {
    let least = LEAST_SHARE * f64::from(u32::try_from(of).unwrap());
    let share_kept = f64::from(u32::try_from(went_on).unwrap()) >= least;
    assert!(share_kept, "{went_on} of {of} streams went on");
}

/// How router 1 gets out of step.
struct OutOfStep {
    older: &'static str,
    /// Time between the begin of the streams and the end of router 0.
    pause_ms: u64,
    /// Whether the store hangs from then on.
    is_store_away: bool,
    /// Whether router 2 gets out of step, too, and goes on. Otherwise it hangs when router 1 goes on.
    is_majority: bool,
}

const OUT_OF_STEP: OutOfStep = OutOfStep {
    older: "v1",
    pause_ms: 500,
    is_store_away: false,
    is_majority: false,
};

/// Two versions serve, and router 1, which stands still and lacks the store, knows only the older one. It
/// goes on when router 0 has ended, and gets all streams.
async fn resume_out_of_step(how: OutOfStep) {
    let mut routed = start_with_store_relays(&[how.older, how.older]).await;
    let mut newer = Vec::new();
    for _ in 0..2 {
        newer.push(spawn_unlisted_upstream(&mut routed, "v2").await);
    }
    let out_of_step = if how.is_majority { 1..3 } else { 1..2 };
    for i in out_of_step.clone() {
        let relay = &routed.store_relays[i];
        relay.set(json!({ "stall": true })).await;
        routed.routers[i].freeze();
    }
    join_all(newer.into_iter().map(list_upstream)).await;
    wait_begins_at(&routed, "v2").await;
    let at = routed.caller(0);
    let begun = (0..STREAMS).map(|n| compio::runtime::spawn(begin(at, n)));
    let begun: Vec<_> = begun.collect();
    sleep_ms(how.pause_ms).await;
    if how.is_store_away {
        routed.store.freeze();
    }
    routed.routers[0].kill();
    routed.routers[2].freeze();
    for router in &routed.routers[out_of_step] {
        router.unfreeze();
    }
    let streams = with_events(begun).await;
    let at_newer = |stream: &&Broken| versions_of(&routed, &stream.id) == ["v2"];
    let newer = streams.iter().filter(at_newer).count();
    assert!(newer > 0, "{} streams began, none at v2", streams.len());
    send_fast(&routed).await;
    let taken_up = join_all(
        streams
            .iter()
            .map(|stream| resume_for_long(&routed, stream)),
    )
    .await;
    assert_none_joined(&taken_up);
}

/// Takes up a stream at router 1 until it goes on. At first the router may refuse it as its state is too old,
/// and then decide by that nevertheless as it can't get a newer one.
async fn resume_for_long(routed: &RoutedFleet, stream: &Broken) -> TakenUp {
    let since = Instant::now();
    loop {
        let end = resume(routed, 1, stream).await;
        if end != TakenUp::Refused || since.elapsed() >= RETRIED_FOR {
            return end;
        }
        sleep_ms(RETRY_MS).await;
    }
}

/// The router that takes up the streams hasn't heard of the second version, and takes the one that it knows
/// for the only one.
#[test_case("v1", 200; "200 ms")]
#[test_case("v1", 500; "500 ms")]
#[test_case("v1", 1_000; "1000 ms")]
#[test_case("v1", 3_000; "3000 ms")]
#[test_case("", 500; "no version before")]
#[compio::test]
async fn taken_up_streams_are_not_joined_by_a_router_out_of_step(
    older: &'static str,
    pause_ms: u64,
) {
    resume_out_of_step(OutOfStep {
        older,
        pause_ms,
        ..OUT_OF_STEP
    })
    .await;
}

/// As above, and the store hangs, so nothing can be looked up there.
#[test_case("v1"; "version before")]
#[test_case(""; "no version before")]
#[compio::test]
async fn taken_up_streams_are_not_joined_out_of_step_without_the_store(older: &'static str) {
    resume_out_of_step(OutOfStep {
        older,
        is_store_away: true,
        ..OUT_OF_STEP
    })
    .await;
}

/// Most routers haven't heard of the second version, and confirm to one another that there is one.
#[test_case(500, false; "500 ms")]
#[test_case(3_000, false; "3000 ms")]
#[test_case(500, true; "store hangs")]
#[compio::test]
async fn taken_up_streams_are_not_joined_by_a_majority_out_of_step(
    pause_ms: u64,
    is_store_away: bool,
) {
    resume_out_of_step(OutOfStep {
        pause_ms,
        is_store_away,
        is_majority: true,
        ..OUT_OF_STEP
    })
    .await;
}

/// Streams that began just before all routers end are known to nobody but the platform, which was told
/// after their first event.
#[compio::test]
async fn taken_up_streams_that_began_just_before_a_restart_of_all_go_on() {
    const BEGUN: usize = 60;
    const SPREAD_MS: u64 = 1_500;

    let mut routed = start(&["v1", "v1", "v2", "v2"]).await;
    wait_begins_at(&routed, "v1").await;
    wait_begins_at(&routed, "v2").await;
    sleep_ms(3_000).await;
    let at = routed.caller(0);
    let mut begun = Vec::new();
    for n in 0..BEGUN {
        begun.push(compio::runtime::spawn(begin(at, n)));
        sleep_ms(SPREAD_MS / BEGUN as u64).await;
    }
    kill_all(&mut routed);
    let mut streams = with_events(begun).await;
    assert!(streams.len() >= BEGUN * 3 / 4, "{} began", streams.len());
    restart_all(&mut routed).await;
    send_fast(&routed).await;
    let began = streams.len();
    for i in 0..3 {
        let went_on = try_resume(&routed, i, &streams).await;
        let mut went_on = went_on.into_iter();
        streams.retain(|_| !went_on.next().unwrap());
    }
    assert_share(began - streams.len(), began);
}

/// Streams of the older version are in progress when all routers end, just after a second one joined that
/// no record may name yet.
#[test_case(300)]
#[test_case(700)]
#[test_case(2_500)]
#[compio::test]
async fn streams_go_on_after_a_restart_of_all_just_after_a_version_joined(pause_ms: u64) {
    let mut routed = start(&["v1", "v1"]).await;
    let cut = async |routed: &mut RoutedFleet| {
        spawn_upstream(routed, "v2").await;
        wait_all_ready(routed).await;
        sleep_ms(pause_ms).await;
        restart_all(routed).await;
    };
    let streams = break_streams(&mut routed, cut).await;
    send_fast(&routed).await;
    assert_share(resumed(&routed, 1, &streams).await, STREAMS);
}

/// A second version joins, all routers end, and the upstreams of the first one leave meanwhile. No record may
/// name it, as the store may have hung, and the second one isn't the only one that began streams.
#[test_case(50, false; "50 ms")]
#[test_case(700, false; "700 ms")]
#[test_case(700, true; "700 ms, store hangs")]
#[compio::test]
async fn streams_are_not_joined_if_their_version_leaves_in_a_restart_of_all(
    pause_ms: u64,
    is_store_away: bool,
) {
    let mut routed = start(&["v1", "v1"]).await;
    let cut = async |routed: &mut RoutedFleet| {
        spawn_upstream(routed, "v2").await;
        routed.wait_ready(0).await;
        if is_store_away {
            routed.store.freeze();
        }
        sleep_ms(pause_ms).await;
        kill_all(routed);
        routed.store.unfreeze();
        withdraw_first(routed, 2).await;
        restart_all(routed).await;
    };
    let streams = break_streams(&mut routed, cut).await;
    for i in 0..3 {
        assert_eq!(resumed(&routed, i, &streams).await, 0, "router {i}");
    }
}

/// All routers end, and upstreams of another version replace all others meanwhile. No router saw both, and
/// the listed one isn't the only one that began streams.
#[compio::test]
async fn taken_up_streams_are_not_joined_if_all_upstreams_are_replaced_in_a_restart_of_all() {
    let mut routed = start(&["v1", "v1"]).await;
    let cut = async |routed: &mut RoutedFleet| {
        kill_all(routed);
        spawn_upstream(routed, "v2").await;
        routed.wait_entry(2, "ready").await;
        withdraw_first(routed, 2).await;
        restart_all(routed).await;
    };
    let streams = break_streams(&mut routed, cut).await;
    for i in 0..3 {
        assert_eq!(resumed(&routed, i, &streams).await, 0, "router {i}");
    }
}

/// Has the first upstreams leave.
async fn withdraw_first(routed: &mut RoutedFleet, count: u8) {
    for i in 0..count {
        let at = routed.upstreams[usize::from(i)].addr;
        set_knobs(at, &json!({ "withdrawn": true })).await;
        routed.wait_entry(i, "").await;
    }
    routed.upstreams.drain(..usize::from(count));
}

/// The store hangs on an ordinary day, and the router that began the streams is killed meanwhile. Streams
/// would be refused though there is one version.
#[compio::test]
async fn streams_of_the_only_version_go_on_while_the_store_hangs() {
    let mut routed = start(&["v1", "v1"]).await;
    routed.store.freeze();
    sleep_ms(4_000).await;
    let streams = break_streams(&mut routed, async |r| r.routers[0].kill()).await;
    let store = routed.store.handle();
    let thaw = async {
        sleep_ms(1_000).await;
        store.unfreeze();
    };
    let (went_on, ()) = join(resumed(&routed, 1, &streams), thaw).await;
    assert_share(went_on, STREAMS);
}
