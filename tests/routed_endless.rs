//! Upstreams that answer without end: the router closes the connection, keeps its memory and serves
//! others, and answers or refuses the request as after any other lost answer.

mod support;

use std::time::{Duration, Instant};

use futures_util::future::{join, join_all};
use serde_json::json;
use standins::backend::EndlessResponse;
use support::raw::Raw;
use support::routed::{FleetSize, HOST, KEY, RoutedFleet};
use support::{Received, set_knobs, sleep_ms, wait_until};
use test_case::test_case;

/// Number of requests that are sent at once; about half of them get an endless answer.
const REQUESTS: usize = 16;
/// Fewest endless answers for which a test means anything.
const MIN_ENDLESS: usize = REQUESTS / 4;
/// Memory of a router of the smallest site. The endless answers may take a quarter of it.
const ROUTER_MEMORY_KB: u64 = 260 << 10;
const MAX_GROWTH_KB: u64 = ROUTER_MEMORY_KB / 4;
/// Time limit for closing the connection, and for answering others meanwhile: an eighth of the
/// callers' deadline.
const MAX_LASTED_MS: u64 = 1_000;
/// Number of other requests that are sent meanwhile.
const OTHERS: usize = 20;

/// Starts a fleet whose first upstream answers without end.
async fn start(fault: &str) -> RoutedFleet {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    let knobs = json!({ "spoil": { "endless": fault }, "spoilt": 1_000 });
    set_knobs(routed.upstreams[0].addr, &knobs).await;
    routed
}

/// Sends requests at once, checks the bounds, and returns what the callers received together with
/// whether each met the endless answer.
async fn send(routed: &RoutedFleet, path: &str, body: &str) -> Vec<(String, Received, bool)> {
    let before_kb = routed.routers[0].memory_kb("VmRSS");
    let calls = (0..REQUESTS).map(|_| routed.call(0, path, body));
    let (received, waited) = join(join_all(calls), longest_wait(routed)).await;
    let ends = wait_closed(routed).await;
    let growth_kb = routed.routers[0].memory_kb("VmHWM") - before_kb;
    assert!(ends.len() >= MIN_ENDLESS, "{path}: {} answers", ends.len());
    for end in &ends {
        assert!(end.lasted_ms <= MAX_LASTED_MS, "{path}: {end:?}");
    }
    assert!(
        waited.as_millis() <= u128::from(MAX_LASTED_MS),
        "{path}: others waited {waited:?}"
    );
    assert!(growth_kb <= MAX_GROWTH_KB, "{path}: {growth_kb} KB more");
    let met = |id: &String| ends.iter().any(|end| end.request_id == *id);
    let received = received.into_iter();
    received
        .map(|(id, r)| {
            let met = met(&id);
            (id, r.unwrap(), met)
        })
        .collect()
}

/// Returns the longest time that other requests waited for an answer.
async fn longest_wait(routed: &RoutedFleet) -> Duration {
    let mut longest = Duration::ZERO;
    for _ in 0..OTHERS {
        let sent = Instant::now();
        let (_, received) = routed.call(0, "/no-route", "").await;
        assert_eq!(received.unwrap().status, 404);
        longest = longest.max(sent.elapsed());
        sleep_ms(10).await;
    }
    longest
}

/// Waits until the connections of all endless answers are closed.
async fn wait_closed(routed: &RoutedFleet) -> Vec<EndlessResponse> {
    wait_until("the end of the endless answers", || async {
        routed.endless_responses().len() == routed.arrivals(0).len()
    })
    .await;
    routed.endless_responses()
}

/// Whether the router's log says that the first upstream failed.
async fn counts_as_failure(routed: &RoutedFleet) -> bool {
    let log = routed.log_until_now(0).await;
    let id = &routed.arrivals(0)[0].arrived_at;
    log.contains(&format!("upstream {id} Ejected"))
}

/// An upstream sends bytes without end in place of an answer. A repeatable request must be answered
/// by another upstream, and the connection be closed long before the deadline.
#[test_case("garbage"; "garbage")]
#[test_case("empty_lines"; "empty lines")]
#[test_case("status_line"; "status line")]
#[test_case("header_line"; "header line")]
#[test_case("headers"; "headers")]
#[test_case("informational"; "informational responses")]
#[test_case("chunks"; "chunks")]
#[test_case("unframed"; "body without a length")]
#[test_case("failure"; "server error")]
#[test_case("chunk_extension"; "chunk extension")]
#[test_case("trailers"; "trailers")]
#[test_case("event"; "event")]
#[test_case("event_pieces"; "event in small chunks")]
#[compio::test]
async fn repeatable_request_is_answered_elsewhere(fault: &str) {
    let wanted: Vec<String> = (1..=12).map(|n| format!("{n} of 12")).collect();
    for path in ["/get/1", "/resumed/stream"] {
        let routed = start(fault).await;
        for (_, received, _) in send(&routed, path, "12").await {
            assert_eq!(
                (received.status, received.complete),
                (200, true),
                "{received:?}"
            );
            if path == "/get/1" {
                assert!(received.body.contains("\"echo\":\"12\""), "{received:?}");
            } else {
                assert_eq!(received.data(), wanted);
            }
        }
        assert!(counts_as_failure(&routed).await);
    }
}

/// An upstream sends bytes without end in place of the answer to a request that may have run. Its
/// caller must be told so long before the deadline, and it must not run again.
#[test_case("garbage", "/ticket/1"; "garbage")]
#[test_case("empty_lines", "/ticket/1"; "empty lines")]
#[test_case("status_line", "/ticket/1"; "status line")]
#[test_case("header_line", "/ticket/1"; "header line")]
#[test_case("headers", "/ticket/1"; "headers")]
#[test_case("informational", "/ticket/1"; "informational responses")]
#[test_case("chunks", "/ticket/1"; "chunks")]
#[test_case("unframed", "/ticket/1"; "body without a length")]
#[test_case("failure", "/ticket/1"; "server error")]
#[test_case("chunk_extension", "/ticket/1"; "chunk extension")]
#[test_case("trailers", "/ticket/1"; "trailers")]
#[test_case("event", "/ticket/1"; "event")]
#[test_case("event_pieces", "/ticket/1"; "event in small chunks")]
#[test_case("header_line", "/once/stream"; "header line of a stream")]
#[test_case("informational", "/once/stream"; "informational responses before a stream")]
#[compio::test]
async fn request_that_may_have_run_is_refused_as_unknown(fault: &str, path: &str) {
    let routed = start(fault).await;
    for (id, received, met) in send(&routed, path, "12").await {
        let wanted = if met { 502 } else { 200 };
        assert_eq!(received.status, wanted, "{received:?}");
        assert!(!received.not_run(), "{received:?}");
        assert_eq!(routed.runs_of(&id), 1);
    }
    assert!(counts_as_failure(&routed).await);
}

/// A stream that may not be resumed turns into bytes without end before its first event. It must be refused
/// as of unknown run state long before the deadline, and run once.
#[test_case("chunks"; "chunks")]
#[test_case("unframed"; "body without a length")]
#[test_case("chunk_extension"; "chunk extension")]
#[test_case("trailers"; "trailers")]
#[test_case("event"; "event")]
#[test_case("event_pieces"; "event in small chunks")]
#[compio::test]
async fn stream_that_may_not_be_resumed_is_refused(fault: &str) {
    let routed = start(fault).await;
    for (id, received, met) in send(&routed, "/once/stream", "12").await {
        let wanted = if met { 502 } else { 200 };
        assert_eq!(
            (received.status, received.complete),
            (wanted, true),
            "{received:?}"
        );
        assert!(!received.not_run(), "{received:?}");
        assert_eq!(routed.runs_of(&id), 1);
    }
}

/// An upstream goes on sending after a whole answer. The caller gets that answer, and the connection
/// is closed before another request gets the bytes for its own.
#[test_case("/get/1"; "idempotent")]
#[test_case("/ticket/1"; "non idempotent")]
#[compio::test]
async fn answer_with_bytes_past_its_length_is_whole(path: &str) {
    let routed = start("past_length").await;
    for (_, received, met) in send(&routed, path, "12").await {
        assert_eq!((received.status, received.complete), (200, true));
        assert_eq!(received.body == "whole", met, "{received:?}");
    }
}

/// The body of a rejection has no end. The request runs at another upstream, and the router's memory
/// doesn't take in the body.
#[test_case("/get/1"; "idempotent")]
#[test_case("/ticket/1"; "non idempotent")]
#[test_case("/once/stream"; "stream")]
#[compio::test]
async fn request_with_an_endless_rejection_runs_elsewhere(path: &str) {
    let routed = start("rejection").await;
    for (id, received, _) in send(&routed, path, "12").await {
        assert_eq!((received.status, received.complete), (200, true));
        assert_eq!(routed.runs_of(&id), 1);
    }
}

/// A stream's events have no end, and their callers stop reading. They may not fill the router's
/// memory, and the upstream is left soon after its caller has closed the connection.
#[compio::test]
async fn endless_events_to_callers_that_stop_reading() {
    let routed = start("events").await;
    let before_kb = routed.routers[0].memory_kb("VmRSS");
    let callers: Vec<Raw> = (0..REQUESTS)
        .map(|n| {
            let mut caller = Raw::open(routed.caller(0));
            caller.send(&format!(
                "POST /once/stream HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n\
                 attempt-id: stopped-{n}\r\ndeadline-ms: 8000\r\ncontent-length: 2\r\n\r\n12"
            ));
            caller
        })
        .collect();
    let waited = longest_wait(&routed).await;
    sleep_ms(MAX_LASTED_MS).await;
    let growth_kb = routed.routers[0].memory_kb("VmHWM") - before_kb;
    assert!(routed.arrivals(0).len() >= MIN_ENDLESS);
    assert!(
        waited.as_millis() <= u128::from(MAX_LASTED_MS),
        "others waited {waited:?}"
    );
    assert!(growth_kb <= MAX_GROWTH_KB, "{growth_kb} KB more");
    let closed = Instant::now();
    drop(callers);
    wait_closed(&routed).await;
    assert!(
        closed.elapsed().as_millis() <= u128::from(MAX_LASTED_MS),
        "{:?}",
        closed.elapsed()
    );
}

/// An upstream sends one byte after the other of an answer or an event that never ends. A repeatable
/// request must be answered by another upstream before its deadline.
#[test_case("/get/1"; "answer")]
#[test_case("/resumed/stream"; "event")]
#[compio::test]
async fn slow_endless_answer_is_replaced(path: &str) {
    let routed = start("slow_event").await;
    for _ in 0..4 {
        let (_, received) = routed.call(0, path, "12").await;
        let received = received.unwrap();
        assert_eq!(
            (received.status, received.complete),
            (200, true),
            "{received:?}"
        );
    }
}
