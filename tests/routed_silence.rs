//! Upstreams that fall silent: sound ones that go on after a second or two, and ones that never do.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::{join, join_all};
use serde_json::json;
use support::routed::{FleetSize, HOST, KEY, RoutedFleet, new_request_id, route};
use support::{Caller, Received, set_knobs, sleep_ms};
use test_case::test_case;

/// Burst of retries of the router.
const RETRY_BURST: u32 = 10;
/// Number of streams whose resumptions at once exceed the retry budget.
const STREAMS: usize = 24;
/// Number of events of a stream, and the interval between them.
const EVENTS: u32 = 30;
const EVENT_MS: u64 = 100;
/// Time after which upstreams fall silent: streams are in the middle.
const MID_STREAM_MS: u64 = 1_000;
/// Time limit of callers of streams and tickets; the route's own is 10 s.
const LONG_MS: u64 = 15_000;
/// Time without an event after which a caller gives up.
const PATIENCE: Duration = Duration::from_secs(3);

/// A request and what its caller received.
struct Answer {
    id: String,
    received: Option<Received>,
}

impl Answer {
    fn status(&self) -> u16 {
        self.received.as_ref().map_or(0, |r| r.status)
    }

    /// Whether the caller got events 1 to `last`, each once and in order, and the end mark.
    fn has_all_events(&self, last: u32) -> bool {
        let wanted: Vec<String> = (1..=last).map(|n| format!("{n} of {last}")).collect();
        let received = self.received.as_ref();
        received.is_some_and(|r| r.status == 200 && r.complete && r.data() == wanted)
    }
}

async fn start(upstreams: u8) -> RoutedFleet {
    RoutedFleet::start(FleetSize {
        upstreams,
        retry_burst: Some(RETRY_BURST),
        ..FleetSize::default()
    })
    .await
}

async fn send(router: SocketAddr, path: &str, body: &str, deadline_ms: u64) -> Answer {
    let id = new_request_id();
    let deadline = deadline_ms.to_string();
    let headers = [
        ("attempt-id", id.as_str()),
        ("host", HOST),
        ("deadline-ms", deadline.as_str()),
    ];
    let caller = Caller::new(KEY);
    let received = caller.call(router, "POST", path, &headers, body).await;
    Answer { id, received }
}

/// Sends `count` resumable streams of `last` events at once.
async fn stream_all(router: SocketAddr, count: usize, last: u32) -> Vec<Answer> {
    let body = last.to_string();
    join_all((0..count).map(|_| send(router, "/resumed/stream", &body, LONG_MS))).await
}

async fn set_delay(routed: &RoutedFleet, delay_ms: u64) {
    routed.upstream_knobs(json!({ "delay_ms": delay_ms })).await;
}

/// Lets upstreams fall silent together for `silent_ms`, after `after_ms`.
async fn fall_silent(upstreams: &[SocketAddr], after_ms: u64, silent_ms: u64) {
    sleep_ms(after_ms).await;
    let knobs = json!({ "silent_ms": silent_ms });
    join_all(upstreams.iter().map(|at| set_knobs(*at, &knobs))).await;
}

fn upstream_addrs(routed: &RoutedFleet) -> Vec<SocketAddr> {
    routed.upstreams.iter().map(|u| u.addr).collect()
}

/// Panics if some answers failed, with what the router logged about the first of them.
async fn assert_none_failed(routed: &RoutedFleet, failed: &[&Answer], sent: usize) {
    let Some(first) = failed.first() else {
        return;
    };
    let log = routed.log_until_now(0).await;
    let lines: Vec<&str> = log.lines().filter(|l| l.contains(&first.id)).collect();
    let lines = lines.join("\n");
    let received = &first.received;
    panic!(
        "{} of {sent} failed; the first: {received:?}\n{lines}",
        failed.len()
    );
}

async fn assert_all_events(routed: &RoutedFleet, answers: &[Answer], last: u32) {
    let failed = answers.iter().filter(|a| !a.has_all_events(last));
    assert_none_failed(routed, &failed.collect::<Vec<_>>(), answers.len()).await;
}

/// All upstreams stall at once, and none can take over a stream. Giving up each of them for another
/// uses up the retry budget, and callers get broken streams that would have gone on.
#[compio::test]
async fn streams_go_on_after_a_silence_of_all_upstreams() {
    let routed = start(2).await;
    set_delay(&routed, EVENT_MS).await;
    let all = upstream_addrs(&routed);
    let streams = stream_all(routed.caller(0), STREAMS, EVENTS);
    let (answers, ()) = join(streams, fall_silent(&all, MID_STREAM_MS, 1_400)).await;
    assert_all_events(&routed, &answers, EVENTS).await;
}

/// Half of the upstreams stall, and their streams together exceed the retry budget. Those that can't
/// be resumed elsewhere must wait rather than break off.
#[compio::test]
async fn streams_go_on_after_a_silence_of_half_of_the_upstreams() {
    let routed = start(4).await;
    set_delay(&routed, EVENT_MS).await;
    let half = &upstream_addrs(&routed)[..2];
    let streams = stream_all(routed.caller(0), 2 * STREAMS, EVENTS);
    let (answers, ()) = join(streams, fall_silent(half, MID_STREAM_MS, 1_400)).await;
    assert_all_events(&routed, &answers, EVENTS).await;
}

/// A stall beside changes of the configuration, which must not end streams that wait for its end.
#[compio::test]
async fn streams_go_on_after_a_silence_beside_configuration_changes() {
    const CHANGES: usize = 20;
    let mut routed = start(2).await;
    set_delay(&routed, EVENT_MS).await;
    let all = upstream_addrs(&routed);
    let streams = stream_all(routed.caller(0), STREAMS, EVENTS);
    let changes = async {
        for version in 0..CHANGES {
            routed.write_version(version).await;
            sleep_ms(200).await;
        }
    };
    let silence = fall_silent(&all, MID_STREAM_MS, 1_400);
    let (answers, _) = join(streams, join(silence, changes)).await;
    assert_all_events(&routed, &answers, EVENTS).await;
}

/// A stream that may not run twice can only wait for its upstream; a router that gives it up breaks
/// it off for nothing.
#[test_case(EVENT_MS, MID_STREAM_MS; "in mid stream")]
#[test_case(400, 200; "before its first event")]
#[compio::test]
async fn stream_that_may_not_be_resumed_goes_on_after_a_silence(delay_ms: u64, after_ms: u64) {
    const LAST: u32 = 15;
    let routed = start(2).await;
    set_delay(&routed, delay_ms).await;
    let all = upstream_addrs(&routed);
    let stream = send(routed.caller(0), "/once/stream", "15", LONG_MS);
    let (answer, ()) = join(stream, fall_silent(&all, after_ms, 1_800)).await;
    assert_all_events(&routed, std::slice::from_ref(&answer), LAST).await;
    assert_eq!(routed.runs_of(&answer.id), 1);
}

/// A request that may not run twice runs at an upstream that stalls before its answer. Giving it up
/// leaves its caller without the answer that comes.
#[compio::test]
async fn ticket_is_answered_after_a_silence() {
    let routed = start(2).await;
    set_delay(&routed, 400).await;
    let all = upstream_addrs(&routed);
    let ticket = send(routed.caller(0), "/ticket/1", "1", LONG_MS);
    let (answer, ()) = join(ticket, fall_silent(&all, 200, 1_800)).await;
    let failed: Vec<&Answer> = [&answer]
        .into_iter()
        .filter(|a| a.status() != 200)
        .collect();
    assert_none_failed(&routed, &failed, 1).await;
    assert_eq!(routed.runs_of(&answer.id), 1);
}

/// All upstreams stall before they answer requests that may run again. Repeating each of them at
/// another silent upstream uses up the retry budget, and callers are refused long before their
/// deadline.
#[test_case(0, 0; "before it reads them")]
#[test_case(300, 100; "while it runs them")]
#[compio::test]
async fn idempotent_requests_are_answered_after_a_silence(delay_ms: u64, after_ms: u64) {
    const REQUESTS: usize = 20;
    const DEADLINE_MS: u64 = 8_000;
    let routed = start(2).await;
    set_delay(&routed, delay_ms).await;
    let all = upstream_addrs(&routed);
    let requests = async {
        if after_ms == 0 {
            fall_silent(&all, 0, 1_000).await;
        }
        let router = routed.caller(0);
        join_all((0..REQUESTS).map(|_| send(router, "/get/1", "1", DEADLINE_MS))).await
    };
    let silence = async {
        if after_ms > 0 {
            fall_silent(&all, after_ms, 1_000).await;
        }
    };
    let (answers, ()) = join(requests, silence).await;
    let failed: Vec<&Answer> = answers.iter().filter(|a| a.status() != 200).collect();
    assert_none_failed(&routed, &failed, REQUESTS).await;
}

/// An upstream never answers, and its calls are given up when half of the objective is left. A router that
/// demands the whole objective for another attempt fails requests that others answer in milliseconds.
#[compio::test]
async fn request_with_little_time_left_is_answered_elsewhere() {
    const COUNT: usize = 6;
    let mut routed = start(2).await;
    let limits = json!({ "timeout_ms": 3_000, "target_latency_ms": 1_200 });
    let routes = json!([
        route("get", "idempotent", json!({})),
        route("tight", "idempotent", limits)
    ]);
    routed.configure(json!({ "routes": routes })).await;
    routed.wait_status(0, "/tight/1", 200).await;
    let silent = json!({ "spoil": "silent", "spoilt": 100 });
    set_knobs(routed.upstreams[0].addr, &silent).await;
    let router = routed.caller(0);
    let answers = join_all((0..COUNT).map(|_| send(router, "/tight/1", "1", 3_000))).await;
    let failed: Vec<&Answer> = answers.iter().filter(|a| a.status() != 200).collect();
    assert_none_failed(&routed, &failed, COUNT).await;
}

/// An upstream falls silent for good in mid stream. A router that only waits for it loses the caller,
/// who gives up after a while without an event.
#[compio::test]
async fn stream_of_an_upstream_silent_for_good_is_resumed_elsewhere() {
    const COUNT: usize = 6;
    let routed = start(2).await;
    let faults = [
        json!({ "delay_ms": 50, "spoil": "silent", "spoilt": 100 }),
        json!({ "delay_ms": 50 }),
    ];
    for (upstream, knobs) in routed.upstreams.iter().zip(&faults) {
        set_knobs(upstream.addr, knobs).await;
    }
    let answers = stream_all(routed.caller(0), COUNT, 12).await;
    assert_all_events(&routed, &answers, 12).await;
    let runs = answers.iter().map(|a| routed.runs_of(&a.id));
    assert!(runs.sum::<usize>() > COUNT, "no stream was resumed");
    for answer in &answers {
        let gap = answer.received.as_ref().unwrap().longest_gap;
        assert!(gap < PATIENCE - Duration::from_millis(500), "{gap:?}");
    }
}

/// A stream's upstream breaks off after the head, and no other is left. The caller hasn't received
/// anything yet and must be told of the failure; a connection that just closes tells it nothing.
#[test_case("/resumed/stream"; "resumable")]
#[test_case("/once/stream"; "may not be resumed")]
#[compio::test]
async fn stream_without_any_event_is_refused_with_a_status(path: &str) {
    let routed = start(1).await;
    let knobs = json!({ "spoil": "head_only", "spoilt": 100 });
    set_knobs(routed.upstreams[0].addr, &knobs).await;
    let answer = send(routed.caller(0), path, "5", LONG_MS).await;
    let failed: Vec<&Answer> = [&answer]
        .into_iter()
        .filter(|a| a.status() != 502)
        .collect();
    assert_none_failed(&routed, &failed, 1).await;
}
