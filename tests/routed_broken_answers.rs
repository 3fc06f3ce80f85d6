//! Upstreams whose bytes are no whole answer of the protocol, on the keyed log: no caller may take them for
//! one.

mod support;

use std::time::Duration;

use futures_util::future::join_all;
use serde_json::json;
use support::Received;
use support::routed::{FleetSize, RoutedFleet, SERVICE};
use support::scripted::{Reads, ScriptedUpstream, Step, head};
use test_case::test_case;

/// Size of a long upload: far more than the sockets on its way hold.
const UPLOAD_BYTES: usize = 3 << 20;
const MAX_BODY_BYTES: usize = 4 << 20;
/// Number of requests that are sent at once.
const REQUESTS: usize = 12;
const MAX_ROUNDS: usize = 20;
/// A path of each kind of route.
const ALL_PATHS: [&str; 4] = ["/ticket/1", "/get/1", "/once/stream", "/resumed/stream"];
const SOFTWARE: &str = "1";
const SHORT: &str = "12";
const EVENTS: &str = "id: 1\ndata: 1 of 12\n\nid: 2\ndata: 2 of 12\n\n";

fn send(text: &str) -> Step {
    Step::Send(text.to_owned())
}

fn pause(ms: u64) -> Step {
    Step::Pause(Duration::from_millis(ms))
}

fn part() -> Step {
    Step::Send("part".repeat(500))
}

/// Starts a router before a sound upstream and one that treats all requests in this way.
async fn start(reads: Reads, steps: Vec<Step>) -> (RoutedFleet, ScriptedUpstream) {
    let size = FleetSize {
        routers: 0,
        upstreams: 0,
        retry_burst: Some(1_000),
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    routed
        .configure(json!({ "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
        }}))
        .await;
    routed.spawn_upstream_of(0, SOFTWARE);
    routed.spawn_router(0);
    routed.wait_ready(0).await;
    let scripted = ScriptedUpstream::bind(reads, steps);
    let entry = json!({
        "service": SERVICE, "address": scripted.addr.to_string(), "zone": "dc-0", "slots": 64,
        "state": "ready", "cold_remaining_ms": 0, "born": 1, "version": SOFTWARE,
    });
    routed
        .write_kept_record("keyed.servers", "i-scripted", entry.to_string().as_bytes())
        .await;
    support::wait_until("a request at the scripted upstream", || async {
        routed.call(0, "/get/1", SHORT).await;
        scripted.has_met_any()
    })
    .await;
    scripted.spoil();
    (routed, scripted)
}

/// Sends requests to each path at once, and returns what the callers of those received that met the scripted
/// upstream. Repeats this until some did.
async fn meet(
    routed: &RoutedFleet,
    scripted: &ScriptedUpstream,
    paths: &[&'static str],
    body: &str,
) -> Vec<(&'static str, Received)> {
    for _ in 0..MAX_ROUNDS {
        let paths = paths.iter().flat_map(|path| [*path; REQUESTS]);
        let calls = paths.map(async |path| (path, routed.call(0, path, body).await));
        let received = join_all(calls).await.into_iter();
        let met = received.filter(|(_, (id, _))| scripted.has_met(id));
        let met: Vec<_> = met.map(|(path, (_, r))| (path, r.unwrap())).collect();
        if !met.is_empty() {
            return met;
        }
    }
    panic!("no request reached the scripted upstream");
}

/// Asserts that none of the callers holds bytes of a broken answer as a whole one, or is told that a request
/// has not run that may have.
fn assert_not_whole(received: &[(&str, Received)]) {
    for (path, received) in received {
        assert!(!received.not_run(), "{path}: {received:?}");
        let is_whole = received.status == 200 && received.complete;
        if path.starts_with("/get") && is_whole {
            assert!(received.body.contains("\"echo\""), "{path}: {received:?}");
        } else if path.starts_with("/resumed") && is_whole {
            let wanted: Vec<String> = (1..=12).map(|n| format!("{n} of 12")).collect();
            assert_eq!(received.data(), wanted, "{path}: {received:?}");
        } else {
            assert!(!is_whole, "{path}: {received:?}");
            assert!(
                [200, 502].contains(&received.status),
                "{path}: {received:?}"
            );
        }
    }
}

/// Asserts that the idempotent requests were answered by the sound upstream.
fn assert_repeated(received: &[(&str, Received)]) {
    for (path, received) in received {
        let is_whole = received.status == 200 && received.complete;
        assert!(
            is_whole || !path.starts_with("/get"),
            "{path}: {received:?}"
        );
    }
}

fn unframed(kind: &str) -> Step {
    head("200 OK", &format!("content-type: {kind}\r\n"))
}

/// An upstream answers a long upload at once, without a length, and resets the connection while the upload is
/// still written. Its caller gets a part as the whole answer.
#[test_case("/ticket/1", part(), 0, 0; "reset alone")]
#[test_case("/ticket/1", part(), 5, 0; "reset alone after 5 ms")]
#[test_case("/ticket/1", part(), 0, 3; "end of its side and reset 3 ms later")]
#[test_case("/ticket/1", part(), 50, 3; "end of its side after 50 ms and reset 3 ms later")]
#[test_case("/get/1", part(), 5, 3; "idempotent")]
#[test_case("/ticket/1", send(""), 0, 3; "nothing after the head")]
#[test_case("/once/stream", send(EVENTS), 0, 3; "stream that may not be resumed")]
#[compio::test]
async fn early_answer_that_is_reset_is_not_whole(
    path: &'static str,
    body: Step,
    pause_ms: u64,
    reset_ms: u64,
) {
    let mut steps = vec![unframed("text/event-stream"), body, pause(pause_ms)];
    if reset_ms > 0 {
        steps.extend([Step::EndSending, pause(reset_ms)]);
    }
    steps.push(Step::Reset);
    let (routed, scripted) = start(Reads::Head, steps).await;
    let received = meet(&routed, &scripted, &[path], &"x".repeat(UPLOAD_BYTES)).await;
    assert_not_whole(&received);
}

/// An upstream has read a short request, answers without a length, ends its side and resets the connection.
#[test_case("/ticket/1"; "non idempotent")]
#[test_case("/get/1"; "idempotent")]
#[test_case("/once/stream"; "stream that may not be resumed")]
#[test_case("/resumed/stream"; "stream that may be resumed")]
#[compio::test]
async fn answer_that_is_reset_after_its_end_is_not_whole(path: &'static str) {
    let steps = vec![
        unframed("text/event-stream"),
        send(EVENTS),
        Step::EndSending,
        pause(3),
        Step::Reset,
    ];
    let (routed, scripted) = start(Reads::Whole, steps).await;
    let received = meet(&routed, &scripted, &[path], SHORT).await;
    assert_not_whole(&received);
    assert_repeated(&received);
}

/// Answers without a length whose connection ends in order are refused as if they had broken off.
#[test_case(Reads::Head, UPLOAD_BYTES; "early answer to a long upload that is read on")]
#[test_case(Reads::Whole, UPLOAD_BYTES; "answer to a long upload")]
#[test_case(Reads::Whole, 2; "answer to a short request")]
#[compio::test]
async fn answer_that_ends_in_order_is_whole(reads: Reads, bytes: usize) {
    let steps = vec![
        unframed("text/plain"),
        part(),
        Step::EndSending,
        Step::ReadToEnd,
    ];
    let (routed, scripted) = start(reads, steps).await;
    let received = meet(&routed, &scripted, &["/ticket/1"], &"x".repeat(bytes)).await;
    for (_, received) in received {
        assert_eq!((received.status, received.complete), (200, true));
        assert_eq!(received.body, "part".repeat(500));
    }
}

/// Bytes of an upstream that are no head of a final answer are passed on as one.
#[test_case("HTTP/1.1 000 OK", ""; "status 000")]
#[test_case("HTTP/1.1 099 OK", ""; "status 099")]
#[test_case("HTTP/1.1 20 OK", ""; "status of two digits")]
#[test_case("HTTP/1.1 1000 OK", ""; "status of four digits")]
#[test_case("HTTP/1.1 101 Switching Protocols", "connection: upgrade\r\nupgrade: x\r\n"; "status 101")]
#[test_case("HTTP/1.1 600 Odd", ""; "status 600")]
#[test_case("HTTP/1.1 999 Odd", ""; "status 999")]
#[test_case("HTTP/2.0 200 OK", ""; "another version")]
#[test_case("HTTP/1.1 200 OK", "x odd: 1\r\n"; "blank in a field name")]
#[test_case("HTTP/1.1 200 OK", "x\todd: 1\r\n"; "tab in a field name")]
#[test_case("HTTP/1.1 200 OK", "x-odd : 1\r\n"; "blank before the colon")]
#[test_case("HTTP/1.1 200 OK", "x\u{1}odd: 1\r\n"; "control byte in a field name")]
#[test_case("HTTP/1.1 200 OK", "x\0odd: 1\r\n"; "zero byte in a field name")]
#[test_case("HTTP/1.1 200 OK", "x\u{7f}odd: 1\r\n"; "delete in a field name")]
#[test_case("HTTP/1.1 200 OK", ": 1\r\n"; "no field name")]
#[test_case("HTTP/1.1 200 OK", "odd\r\n"; "no colon")]
#[test_case("HTTP/1.1 200 OK", "x-odd: a\u{1}b\r\n"; "control byte in a value")]
#[test_case("HTTP/1.1 200 OK", "x-odd: a\rb\r\n"; "bare carriage return in a value")]
#[test_case("HTTP/1.1 200 OK", "x-odd: a\r\n b\r\n"; "folded line")]
#[test_case("HTTP/1.1 200 OK", "content-length: 4\r\ncontent-length: 5\r\n"; "two lengths")]
#[test_case("HTTP/1.1 200 OK", "content-length: +4\r\n"; "length with a sign")]
#[test_case("HTTP/1.1 200 OK", "transfer-encoding: zip\r\n"; "unknown transfer coding")]
#[test_case("HTTP/1.1 200 OK", "transfer-encoding: chunked, zip\r\n"; "unknown coding after chunks")]
#[test_case("HTTP/1.1 200 OK", "transfer-encoding: zip, chunked\r\n"; "unknown coding before chunks")]
#[test_case("HTTP/1.1 200 OK", "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n"; "chunked twice")]
#[test_case("HTTP/1.1 200 OK", "transfer-encoding: chunked\r\ncontent-length: 4\r\n"; "length and chunks")]
#[test_case("HTTP/1.1 200 OK", "content-encoding: gzip\r\n"; "content coding")]
#[compio::test]
async fn bytes_that_are_no_answer_are_not_passed_on(status_line: &str, headers: &str) {
    let body = if headers.contains("chunked") {
        "4\r\nfake\r\n0\r\n\r\n"
    } else {
        "fake"
    };
    let head = format!(
        "{status_line}\r\nattempt-id: {{id}}\r\nserver-signature: scripted\r\n{headers}\r\n{body}"
    );
    let steps = vec![Step::Send(head), Step::EndSending, Step::ReadToEnd];
    let (routed, scripted) = start(Reads::Whole, steps).await;
    let received = meet(&routed, &scripted, &ALL_PATHS, SHORT).await;
    for (path, received) in &received {
        assert!(!received.body.contains("fake"), "{path}: {received:?}");
    }
    assert_not_whole(&received);
    assert_repeated(&received);
}

/// An upstream stops in the head of its answer and closes. Its caller gets an empty or short success.
#[test_case("HTTP/1.1 20"; "in the status line")]
#[test_case("HTTP/1.1 200 OK\r\n"; "after the status line")]
#[test_case("HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nserver-signature: s\r\n"; "after a field")]
#[test_case("HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nserver-signature: s\r\ncontent-length: 4"; "in a length")]
#[test_case("HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nserver-signature: s\r\n\r"; "before the last byte")]
#[compio::test]
async fn answer_that_stops_in_its_head_is_not_passed_on(head: &str) {
    let steps = vec![send(head), Step::EndSending, Step::ReadToEnd];
    let (routed, scripted) = start(Reads::Whole, steps).await;
    let received = meet(&routed, &scripted, &ALL_PATHS, SHORT).await;
    assert_not_whole(&received);
    assert_repeated(&received);
}

/// A length or chunks say that more follows, and the connection ends. Its caller gets a part as the whole
/// answer.
#[test_case("content-length: 9000\r\n", "part", false; "length")]
#[test_case("content-length: 9000\r\n", "part", true; "length and a reset")]
#[test_case("transfer-encoding: chunked\r\n", "9\r\npart", false; "chunk")]
#[test_case("transfer-encoding: chunked\r\n", "4\r\npart\r\n", true; "chunks without an end and a reset")]
#[test_case("transfer-encoding: chunked\r\n", "4\r\npart\r\n0\r\n", false; "last chunk that is cut")]
#[test_case("transfer-encoding: chunked\r\n", "g\r\npart\r\n0\r\n\r\n", false; "size that is no number")]
#[compio::test]
async fn answer_shorter_than_announced_is_not_whole(framing: &str, body: &str, is_reset: bool) {
    let mut steps = vec![head("200 OK", framing), send(body)];
    if is_reset {
        steps.extend([pause(5), Step::Reset]);
    } else {
        steps.extend([Step::EndSending, Step::ReadToEnd]);
    }
    let (routed, scripted) = start(Reads::Whole, steps).await;
    let received = meet(&routed, &scripted, &["/ticket/1", "/get/1"], SHORT).await;
    assert_not_whole(&received);
    assert_repeated(&received);
}
