//! Streams that pass through another router, as their caller's router reaches no upstream, and break off
//! between the two.

mod support;

use std::collections::HashSet;

use futures_util::future::{join, join_all};
use serde_json::{Value, json};
use support::routed::{FleetSize, RoutedFleet, route};
use support::{Process, Received, sleep_ms};

/// Path of a resumable stream.
const PATH: &str = "/resumed/stream";
/// Time within which routers hear of each other's loads.
const REPORTS_MS: u64 = 600;
/// The router that reaches no upstream.
const CUT_OFF: u8 = 1;
/// Routers that have connections to the upstreams from before the cut.
const CONNECTED: [u8; 2] = [0, 2];
/// Number of streams, and of connections that each connected router has to the upstreams.
const STREAMS: usize = 4;
const EVENT_MS: u64 = 50;
/// Time after which a router is killed or stopped: streams are in the middle.
const MID_STREAM_MS: u64 = 600;
/// Attempts of a request on the routes of every test.
const MAX_ATTEMPTS: usize = 3;

/// Three routers before upstreams of these versions, which refuse new connections for `cut_ms` and treat
/// requests as `knobs` say.
async fn start(versions: &[&str], cut_ms: u64, knobs: Value) -> RoutedFleet {
    start_with(versions, (&CONNECTED, STREAMS), cut_ms, knobs).await
}

/// The same, with so many connections from each of these routers to each upstream.
async fn start_with(
    versions: &[&str],
    (connected, connections): (&[u8], usize),
    cut_ms: u64,
    knobs: Value,
) -> RoutedFleet {
    let size = FleetSize {
        routers: 0,
        upstreams: 0,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    for (i, version) in versions.iter().enumerate() {
        routed.spawn_upstream_of(u8::try_from(i).unwrap(), version);
    }
    for i in 0..3 {
        routed.spawn_router(i);
    }
    for i in 0..3 {
        routed.wait_ready(i).await;
    }
    sleep_ms(REPORTS_MS).await;
    routed.upstream_knobs(json!({ "delay_ms": 100 })).await;
    let count = connections * versions.len();
    let opened = connected.iter().flat_map(|i| vec![*i; count]);
    join_all(opened.map(|i| routed.call(i, "/get/1", "1"))).await;
    let mut cut = json!({ "delay_ms": EVENT_MS });
    cut.as_object_mut()
        .unwrap()
        .extend(knobs.as_object().unwrap().clone());
    cut["refuses_connections_ms"] = json!(cut_ms);
    routed.upstream_knobs(cut).await;
    sleep_ms(100).await;
    routed
}

/// The router that a request was first delegated to, by the log of the router that is cut off.
fn delegate_in(log: &str, id: &str) -> Option<usize> {
    let mut lines = log.lines().filter(|l| l.contains(id));
    let host = lines.find_map(|l| l.split_once("delegated to router-"))?.1;
    host[..1].parse().ok()
}

/// Whether the caller got events 1 to `last`, each once and in order, and the end mark.
fn has_all_events(received: Option<&Received>, last: usize) -> bool {
    let wanted: Vec<String> = (1..=last).map(|n| format!("{n} of {last}")).collect();
    received.is_some_and(|r| r.status == 200 && r.complete && r.data() == wanted)
}

/// Sends resumable streams of `last` events through other routers, and ends one that runs some of them by
/// `end` in mid stream. Returns the answers.
async fn stream_through(
    routed: &RoutedFleet,
    last: usize,
    end: impl FnOnce(&Process),
) -> Vec<(String, Option<Received>)> {
    let body = last.to_string();
    let streams = join_all((0..STREAMS).map(|_| routed.call(CUT_OFF, PATH, &body)));
    let ended = async {
        sleep_ms(MID_STREAM_MS).await;
        let log = routed.log_until_now(CUT_OFF).await;
        let delegate = delegate_in(&log, "delegated to").expect("no stream was delegated");
        end(&routed.routers[delegate]);
    };
    join(streams, ended).await.0
}

/// Fails with the log lines about the first stream that isn't whole.
async fn assert_whole(routed: &RoutedFleet, answers: &[(String, Option<Received>)], last: usize) {
    let failed: Vec<_> = answers
        .iter()
        .filter(|(_, received)| !has_all_events(received.as_ref(), last))
        .collect();
    let Some((id, received)) = failed.first() else {
        return;
    };
    let log = routed.log_until_now(CUT_OFF).await;
    let lines: Vec<&str> = log.lines().filter(|l| l.contains(id)).collect();
    let (count, lines) = (failed.len(), lines.join("\n"));
    panic!("{count} failed; the first: {received:?}\n{lines}");
}

/// The router that runs a stream for another one dies, and the stream ends though the third router could go
/// on with it.
#[compio::test]
async fn resumable_stream_goes_on_after_the_death_of_the_other_router() {
    const EVENTS: usize = 40;
    let routed = start(&["1", "2"], 4_000, json!({})).await;
    let answers = stream_through(&routed, EVENTS, |router| router.handle().kill()).await;
    assert_whole(&routed, &answers, EVENTS).await;
    let runs = routed.runs();
    for (id, _) in &answers {
        let versions: HashSet<&str> = runs[id].iter().map(|run| run.software.as_str()).collect();
        assert_eq!(versions.len(), 1, "a stream of two versions");
        assert!(runs[id].len() <= MAX_ATTEMPTS);
    }
}

/// The router that runs a stream for another one is stopped as planned, and the stream outlasts its grace
/// time.
#[compio::test]
async fn resumable_stream_goes_on_after_the_stop_of_the_other_router() {
    const EVENTS: usize = 130;
    let routed = start(&["1"], 3_000, json!({})).await;
    let answers = stream_through(&routed, EVENTS, |router| router.terminate()).await;
    assert_whole(&routed, &answers, EVENTS).await;
}

/// Every upstream breaks off in mid stream. The caller's router and the other ones each resume the stream,
/// and together run it more often than its route allows.
#[compio::test]
async fn stream_through_another_router_keeps_to_the_attempts_of_its_route() {
    let knobs = json!({ "spoil": "half", "spoilt": 100 });
    let routed = start(&["1", "1"], 4_000, knobs).await;
    let (id, received) = routed.call(CUT_OFF, PATH, "8").await;
    assert!(!has_all_events(received.as_ref(), 8));
    assert_eq!(routed.runs_of(&id), MAX_ATTEMPTS);
    let log = routed.log_until_now(CUT_OFF).await;
    assert!(delegate_in(&log, &id).is_some(), "{log}");
}

/// A router has run requests for another one that reads their answers late, and its process ends with parts
/// of them in its memory.
#[compio::test]
async fn answers_for_another_router_are_sent_to_their_end_before_the_process_exits() {
    const CALLS: usize = 10;
    // The echo has six bytes for each: together a little more than the 5 MiB that the other router admits on a
    // link before it reads, so that the last answer is in the link's buffer and no request is in flight.
    const BODY_BYTES: usize = 90_000;
    const RUN_MS: u64 = 300;
    const UNREAD_MS: u64 = 1_200;
    const RUNNING: u8 = 0;
    let mut routed = start_with(
        &["1"],
        (&[RUNNING], CALLS),
        4_000,
        json!({ "delay_ms": RUN_MS }),
    )
    .await;
    let single = route("single", "idempotent", json!({ "max_attempts": 1 }));
    routed.configure(json!({ "routes": [single] })).await;
    routed.wait_status(CUT_OFF, "/single/1", 200).await;
    let body = "\u{1}".repeat(BODY_BYTES);
    let calls = join_all((0..CALLS).map(|_| routed.call(CUT_OFF, "/single/1", &body)));
    let stop = async {
        sleep_ms(RUN_MS / 2).await;
        routed.routers[usize::from(RUNNING)].terminate();
        routed.routers[usize::from(CUT_OFF)].freeze();
        sleep_ms(UNREAD_MS).await;
        routed.routers[usize::from(CUT_OFF)].unfreeze();
    };
    let (answers, ()) = join(calls, stop).await;
    let statuses = answers
        .iter()
        .map(|(_, received)| received.as_ref().map_or(0, |r| r.status));
    assert_eq!(statuses.collect::<Vec<u16>>(), [200; CALLS]);
}
