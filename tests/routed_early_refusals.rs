//! Requests that are refused while their body is still arriving: the refusal reaches the caller.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::json;
use support::routed::{FleetSize, HOST, KEY, RoutedFleet, new_request_id};
use support::{sleep_ms, wait_until};
use test_case::test_case;

/// Size of a request body: more than the router reads at once.
const BODY_BYTES: usize = 60_000;
/// Time between the two halves of a request.
const PAUSE_MS: u64 = 150;
/// Upper limit that ends a hanging test.
const READ_LIMIT: Duration = Duration::from_secs(15);

fn connect(routed: &RoutedFleet) -> TcpStream {
    let stream = TcpStream::connect(routed.caller(0)).unwrap();
    stream.set_read_timeout(Some(READ_LIMIT)).unwrap();
    stream
}

fn head(path: &str, key: &str, more: &str) -> String {
    let id = new_request_id();
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {id}\r\n\
         authorization: Bearer {key}\r\n{more}\r\n"
    )
}

fn with_length(path: &str, key: &str, bytes: usize) -> String {
    head(path, key, &format!("content-length: {bytes}\r\n"))
}

/// Sends `head` and half of a body, and the other half after a pause.
async fn send_in_halves(stream: &mut TcpStream, head: &str, bytes: usize) {
    let half = vec![b'x'; bytes / 2];
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&half).unwrap();
    sleep_ms(PAUSE_MS).await;
    stream.write_all(&half).unwrap();
}

/// Reads one answer with a length.
fn read_answer(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    let mut byte = [0];
    while !received.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        received.extend_from_slice(&byte);
    }
    let head = String::from_utf8(received).unwrap();
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    let mut body = vec![0; length.unwrap().parse().unwrap()];
    stream.read_exact(&mut body).unwrap();
    head + &String::from_utf8(body).unwrap()
}

/// The router refuses by the head alone and closes the connection with the body unread. The reset
/// that follows discards the refusal before the caller has read it.
#[test_case("/no-route", KEY, 404; "no route")]
#[test_case("/ticket/1", "wrong-key", 401; "no key")]
#[compio::test]
async fn refusal_waits_for_the_rest_of_the_body(path: &str, key: &str, status: u16) {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    let mut stream = connect(&routed);
    let refused = with_length(path, key, BODY_BYTES);
    send_in_halves(&mut stream, &refused, BODY_BYTES).await;
    let answer = read_answer(&mut stream);
    let status_line = format!("HTTP/1.1 {status} ");
    assert!(answer.starts_with(&status_line), "{answer}");
    assert!(answer.contains("\"run_state\":\"not_run\""), "{answer}");
    let next = with_length("/ticket/1", KEY, 1) + "1";
    stream.write_all(next.as_bytes()).unwrap();
    let answer = read_answer(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
}

/// The same as above with a body in chunks, whose length is unknown.
#[compio::test]
async fn refusal_waits_for_the_last_chunk() {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    let mut stream = connect(&routed);
    let refused = head("/no-route", KEY, "transfer-encoding: chunked\r\n");
    stream.write_all(refused.as_bytes()).unwrap();
    stream.write_all(b"3\r\nabc\r\n").unwrap();
    sleep_ms(PAUSE_MS).await;
    stream.write_all(b"2\r\nde\r\n0\r\n\r\n").unwrap();
    let answer = read_answer(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 404 "), "{answer}");
    let next = with_length("/ticket/1", KEY, 1) + "1";
    stream.write_all(next.as_bytes()).unwrap();
    let answer = read_answer(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
}

/// A router that is stopping refuses a request and closes the connection with the body unread: the
/// caller sees a reset and doesn't learn that the request did not run.
#[compio::test]
async fn refusal_of_a_stopping_router_waits_for_the_rest_of_the_body() {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    routed.upstream_knobs(json!({ "delay_ms": 100 })).await;
    let mut in_flight = connect(&routed);
    let long = with_length("/once/stream", KEY, 3) + "100";
    in_flight.write_all(long.as_bytes()).unwrap();
    let mut stream = connect(&routed);
    routed.routers[0].terminate();
    wait_until("the phase of refusals", || async {
        routed.log(0).contains("refusing, ")
    })
    .await;
    let refused = with_length("/ticket/1", KEY, BODY_BYTES);
    send_in_halves(&mut stream, &refused, BODY_BYTES).await;
    let answer = read_answer(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("this router is stopping"), "{answer}");
    assert!(answer.contains("connection: close\r\n"), "{answer}");
}

/// A caller waits for `100 Continue` before it sends its body. It is refused at once, without being
/// asked for the body, and the connection is closed, as the body could still follow.
#[compio::test]
async fn caller_that_waits_to_continue_is_refused_at_once() {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    let mut stream = connect(&routed);
    let more = format!("content-length: {BODY_BYTES}\r\nexpect: 100-continue\r\n");
    let refused = head("/no-route", KEY, &more);
    stream.write_all(refused.as_bytes()).unwrap();
    let answer = read_answer(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 404 "), "{answer}");
    assert!(answer.contains("connection: close\r\n"), "{answer}");
    assert_eq!(stream.read(&mut [0]).unwrap(), 0);
}

/// A body or a head exceeds the limit, and the router closes the connection while the caller still
/// sends. The reset that follows discards the refusal before the caller has read it.
#[test_case("content-length: 200000\r\n\r\n", 200_000, 413; "body")]
#[test_case("x-wide: ", 200_000, 431; "head")]
#[compio::test]
async fn refusal_of_an_oversized_request_arrives(more: &str, bytes: usize, status: u16) {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    let mut stream = connect(&routed);
    let oversized = head("/ticket/1", KEY, "");
    let oversized = oversized.trim_end().to_owned() + "\r\n" + more;
    send_in_halves(&mut stream, &oversized, bytes).await;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    let status_line = format!("HTTP/1.1 {status} ");
    assert!(answer.starts_with(&status_line), "{answer}");
}
