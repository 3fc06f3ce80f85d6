//! Which requests a router takes and which it refuses while a planned stop is under way.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use futures_util::future::join_all;
use serde_json::json;
use support::routed::{FleetSize, HOST, KEY, RoutedFleet, new_request_id};
use support::{CallOutcome, sleep_ms, wait_until};
use test_case::test_case;

/// Events of a stream that takes longer than the grace time of five seconds, and their interval.
const LONG_STREAM: &str = "130";
const EVENT_MS: u64 = 40;
/// Duration of a request that takes longer than the grace time.
const LONG_MS: u64 = 5_200;
/// Answers that a router has given on a route before it judges by them.
const ANSWERS_BEFORE: usize = 12;
/// Upper limit that ends a hanging test.
const READ_LIMIT: Duration = Duration::from_secs(15);

async fn fleet(routers: u8) -> RoutedFleet {
    let size = FleetSize {
        routers,
        ..FleetSize::default()
    };
    let routed = RoutedFleet::start(size).await;
    for i in 0..routers {
        wait_until("the addresses of all routers", || async {
            routed.entry_addresses(i).await.len() == usize::from(routers)
        })
        .await;
    }
    routed.upstream_knobs(json!({ "delay_ms": EVENT_MS })).await;
    routed
}

/// Opens a connection to router 0 that sends nothing yet.
fn connect(routed: &RoutedFleet) -> TcpStream {
    let connection = TcpStream::connect(routed.caller(0)).unwrap();
    connection.set_read_timeout(Some(READ_LIMIT)).unwrap();
    connection
}

fn send(connection: &mut TcpStream, path: &str, body: &str) -> String {
    let (id, length) = (new_request_id(), body.len());
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {id}\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    connection.write_all(request.as_bytes()).unwrap();
    id
}

fn read_to_end(mut connection: &TcpStream) -> String {
    let mut answer = Vec::new();
    connection.read_to_end(&mut answer).unwrap();
    String::from_utf8(answer).unwrap()
}

/// A router that is leaving takes streams that can't end before it exits, and its exit cuts them.
#[compio::test]
async fn streams_that_outlast_a_stop_are_refused_for_another_router() {
    let routed = fleet(2).await;
    routed.routers[0].terminate();
    sleep_ms(800).await;
    let streams = (0..24).map(|_| routed.call(0, "/once/stream", LONG_STREAM));
    for (id, received) in join_all(streams).await {
        let outcome = received.unwrap().outcome();
        let CallOutcome::Refused {
            cause,
            run_state,
            retry_after_ms,
        } = outcome
        else {
            panic!("{id}: {outcome:?}");
        };
        assert_eq!((&*cause, &*run_state), ("draining", "not_run"), "{id}");
        assert!((1..=100).contains(&retry_after_ms), "{id}");
        assert_eq!(routed.runs_of(&id), 0, "{id}");
    }
    let (_, received) = routed.call(1, "/once/stream", LONG_STREAM).await;
    assert!(received.unwrap().complete);
}

/// A router that is leaving takes requests by their objective alone, though the answers of their route take
/// longer than it has left.
#[compio::test]
async fn requests_whose_answers_take_long_are_refused_for_another_router() {
    let routed = fleet(2).await;
    routed.upstream_knobs(json!({ "delay_ms": LONG_MS })).await;
    let answers = (0..ANSWERS_BEFORE).map(|_| routed.call(0, "/ticket/1", "1"));
    for (_, received) in join_all(answers).await {
        assert_eq!(received.unwrap().status, 200);
    }
    routed.routers[0].terminate();
    sleep_ms(100).await;
    let (id, received) = routed.call(0, "/ticket/1", "1").await;
    let received = received.unwrap();
    assert!(received.not_run(), "{received:?}");
    assert_eq!(routed.runs_of(&id), 0);
    let (_, received) = routed.call(1, "/ticket/1", "1").await;
    assert_eq!(received.unwrap().status, 200);
}

/// Requests whose answers took little time lately are refused for a stop, though they would have ended
/// long before it.
#[compio::test]
async fn short_requests_are_served_during_the_announcement() {
    let routed = fleet(2).await;
    for _ in 0..ANSWERS_BEFORE {
        let (_, received) = routed.call(0, "/once/stream", "2").await;
        assert!(received.unwrap().complete);
    }
    routed.routers[0].terminate();
    sleep_ms(100).await;
    for path in ["/once/stream", "/ticket/1"] {
        let (_, received) = routed.call(0, path, "2").await;
        let received = received.unwrap();
        assert_eq!(received.status, 200, "{path}: {}", received.body);
        assert!(received.complete, "{path}");
    }
}

/// The last router refuses for its stop what no other router can take.
#[compio::test]
async fn router_without_others_takes_what_may_outlast_its_stop() {
    let routed = fleet(1).await;
    routed.routers[0].terminate();
    sleep_ms(100).await;
    let (_, received) = routed.call(0, "/once/stream", "2").await;
    let received = received.unwrap();
    assert_eq!(received.status, 200, "{}", received.body);
    assert!(received.complete);
}

/// A router has no processor time when its stop is requested, and takes new work as if the time had not
/// passed.
#[compio::test]
async fn stop_counts_from_its_signal_not_from_when_it_is_noticed() {
    let routed = fleet(1).await;
    let mut in_flight = connect(&routed);
    send(&mut in_flight, "/once/stream", LONG_STREAM);
    sleep_ms(300).await;
    routed.routers[0].freeze();
    routed.routers[0].terminate();
    // Longer than the announcement.
    sleep_ms(1_500).await;
    let mut late = connect(&routed);
    routed.routers[0].unfreeze();
    sleep_ms(100).await;
    let id = send(&mut late, "/ticket/1", "1");
    let answer = read_to_end(&late);
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("this router is stopping"), "{answer}");
    assert_eq!(routed.runs_of(&id), 0);
}

/// A router has no processor time at the end of its announcement, and takes a request that arrived after it.
#[compio::test]
async fn announcement_ends_by_the_clock() {
    let routed = fleet(1).await;
    let mut in_flight = connect(&routed);
    send(&mut in_flight, "/once/stream", LONG_STREAM);
    let mut late: Vec<TcpStream> = (0..8).map(|_| connect(&routed)).collect();
    sleep_ms(300).await;
    routed.routers[0].terminate();
    sleep_ms(500).await;
    routed.routers[0].freeze();
    sleep_ms(700).await;
    let ids: Vec<String> = late
        .iter_mut()
        .map(|late| send(late, "/ticket/1", "1"))
        .collect();
    sleep_ms(100).await;
    routed.routers[0].unfreeze();
    for (late, id) in late.iter().zip(&ids) {
        let answer = read_to_end(late);
        assert!(answer.starts_with("HTTP/1.1 503 "), "{id}: {answer}");
        assert_eq!(routed.runs_of(id), 0, "{id}");
    }
}

/// Requests that come late in the grace time are taken and passed on, and the exit cuts them.
#[test_case(1, "/ticket/1"; "non idempotent at the only router")]
#[test_case(2, "/ticket/1"; "non idempotent beside another router")]
#[test_case(2, "/get/1"; "idempotent beside another router")]
#[compio::test]
async fn requests_late_in_the_grace_time_end_before_the_exit(routers: u8, path: &'static str) {
    const DELAY_MS: u64 = 1_600;
    const INTERVAL_MS: u64 = 150;
    const CALLERS: u64 = 32;
    let routed = fleet(routers).await;
    routed.upstream_knobs(json!({ "delay_ms": DELAY_MS })).await;
    let mut callers = Vec::new();
    for n in 0..CALLERS {
        let mut connection = connect(&routed);
        callers.push(std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(n * INTERVAL_MS));
            let id = new_request_id();
            let request = format!(
                "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {id}\r\n\
                 authorization: Bearer {KEY}\r\ncontent-length: 1\r\n\r\n1"
            );
            let mut answer = Vec::new();
            // The router closes connections at its exit, and idle ones before.
            let _ = connection.write_all(request.as_bytes());
            let _ = connection.read_to_end(&mut answer);
            (id, String::from_utf8(answer).unwrap())
        }));
    }
    routed.routers[0].terminate();
    let mut served = 0;
    for caller in callers {
        let (id, answer) = caller.join().unwrap();
        let is_served = answer.starts_with("HTTP/1.1 200") && answer.ends_with('}');
        let is_not_run = answer.starts_with("HTTP/1.1 503") && answer.contains("not_run");
        let has_run = routed.runs_of(&id) > 0;
        assert!(is_served || is_not_run || !has_run, "{id}: {answer:?}");
        assert!(!is_not_run || !has_run, "{id}: {answer:?}");
        served += usize::from(is_served);
    }
    assert!(served > 0);
}
