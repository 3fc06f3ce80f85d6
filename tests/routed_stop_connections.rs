//! What callers find on their open connections while a planned stop is under way.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::json;
use support::routed::{FleetSize, HOST, KEY, RoutedFleet, new_request_id, route};
use support::{sleep_ms, wait_until};
use test_case::test_case;

/// A stream that takes longer than the grace time of five seconds.
const LONG_STREAM: &str = "130";
const EVENT_MS: u64 = 40;
/// Requests that a router sends to the only upstream at once, and those that wait behind them.
const SLOTS: usize = 58;
const WAITING: usize = 8;
/// Upper limit that ends a hanging test.
const READ_LIMIT: Duration = Duration::from_secs(15);

fn connect(routed: &RoutedFleet) -> TcpStream {
    let connection = TcpStream::connect(routed.caller(0)).unwrap();
    connection.set_read_timeout(Some(READ_LIMIT)).unwrap();
    connection
}

fn request(id: &str, path: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {id}\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Sends a request and returns its id.
fn send(mut connection: &TcpStream, path: &str, body: &str) -> String {
    let id = new_request_id();
    let request = request(&id, path, body);
    connection.write_all(request.as_bytes()).unwrap();
    id
}

/// Everything received until the router closes the connection, without a reset.
fn read_to_end(mut connection: &TcpStream) -> String {
    let mut answer = Vec::new();
    connection.read_to_end(&mut answer).unwrap();
    String::from_utf8(answer).unwrap()
}

/// Reads one answer with a length.
fn read_answer(mut connection: &TcpStream) -> String {
    let mut answer = String::new();
    let mut piece = [0; 4_096];
    while !is_whole(&answer) {
        let read = connection.read(&mut piece).unwrap();
        assert!(read > 0, "connection closed after {answer:?}");
        answer.push_str(std::str::from_utf8(&piece[..read]).unwrap());
    }
    answer
}

/// Whether an answer with a length is there to its end.
fn is_whole(answer: &str) -> bool {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return false;
    };
    let mut lines = head.lines();
    let length = lines.find_map(|l| l.strip_prefix("content-length: "));
    length == Some(body.len().to_string().as_str())
}

/// Starts one router with a stream in flight that outlasts the grace time.
async fn fleet_with_stream() -> (RoutedFleet, TcpStream) {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    routed.upstream_knobs(json!({ "delay_ms": EVENT_MS })).await;
    let stream = connect(&routed);
    send(&stream, "/once/stream", LONG_STREAM);
    sleep_ms(300).await;
    (routed, stream)
}

async fn wait_refusing(routed: &RoutedFleet) {
    wait_until("the phase of refusals", || async {
        routed.log(0).contains("refusing, ")
    })
    .await;
}

/// A request's body is still arriving when the announcement ends. Its caller gets no answer before the exit, or
/// the request is taken although the router refuses.
#[test_case(true, false; "begun before the stop")]
#[test_case(false, false; "begun while the router refuses")]
#[test_case(true, true; "begun before the stop and ended while the router refuses")]
#[compio::test]
async fn request_whose_body_is_late_is_refused(begins_before: bool, ends: bool) {
    let (mut routed, _stream) = fleet_with_stream().await;
    let mut late = connect(&routed);
    let id = new_request_id();
    let whole = request(&id, "/ticket/1", "1234");
    let (first, rest) = whole.split_at(whole.len() - 2);
    if begins_before {
        late.write_all(first.as_bytes()).unwrap();
    }
    routed.routers[0].terminate();
    wait_refusing(&routed).await;
    if !begins_before {
        late.write_all(first.as_bytes()).unwrap();
    }
    if ends {
        late.write_all(rest.as_bytes()).unwrap();
    }
    let answer = read_to_end(&late);
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer:?}");
    assert!(is_whole(&answer), "{answer}");
    assert_eq!(routed.runs_of(&id), 0);
    routed.routers[0].wait_exit().await;
}

/// A router exits while requests wait for their turn, and their callers get no answer.
#[compio::test]
async fn request_that_waits_at_the_exit_is_refused() {
    let size = FleetSize {
        upstreams: 1,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    // With this objective requests wait for some seconds.
    let patient = json!({ "target_latency_ms": 20_000, "timeout_ms": 20_000, "max_attempts": 1 });
    let routes = [route("patient", "non_idempotent", patient)];
    routed.configure(json!({ "routes": routes })).await;
    // Once it knows that its requests are long, the router sends no more than there are slots.
    routed.upstream_knobs(json!({ "delay_ms": 1_500 })).await;
    routed.wait_status(0, "/patient/1", 200).await;
    routed.upstream_knobs(json!({ "delay_ms": 9_000 })).await;
    let running: Vec<TcpStream> = (0..SLOTS).map(|_| connect(&routed)).collect();
    for connection in &running {
        send(connection, "/patient/1", "1");
    }
    routed.routers[0].terminate();
    sleep_ms(700).await;
    let waiting: Vec<TcpStream> = (0..WAITING).map(|_| connect(&routed)).collect();
    let send_one = |c| send(c, "/patient/1", "1");
    let ids: Vec<String> = waiting.iter().map(send_one).collect();
    for (connection, id) in waiting.iter().zip(&ids) {
        let answer = read_to_end(connection);
        assert!(answer.starts_with("HTTP/1.1 503 "), "{id}: {answer:?}");
        assert!(answer.contains("this router is stopping"), "{answer}");
        assert!(is_whole(&answer), "{answer}");
        assert_eq!(routed.runs_of(id), 0, "{id}");
    }
    routed.routers[0].wait_exit().await;
    let log = routed.log(0);
    let of_waiting = |l: &&str| ids.iter().any(|id| l.contains(id.as_str()));
    let refused = log.lines().filter(|l| l.contains("request_refused"));
    assert_eq!(refused.filter(of_waiting).count(), WAITING, "{log}");
}

/// An answer says that the connection ends, and it doesn't; or it ends with a reset, which may lose the answer.
#[compio::test]
async fn answer_of_a_leaving_router_is_the_last_of_its_connection() {
    let (routed, _stream) = fleet_with_stream().await;
    let connection = connect(&routed);
    send(&connection, "/ticket/1", "1");
    let before = read_answer(&connection);
    assert!(!before.contains("connection: close"), "{before}");
    routed.routers[0].terminate();
    sleep_ms(200).await;
    send(&connection, "/ticket/1", "1");
    let answer = read_to_end(&connection);
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(is_whole(&answer), "{answer}");
}

/// A caller sends a request while the answer before it closes the connection. The request is run although no
/// answer to it can follow.
#[test_case(true; "pipelined")]
#[test_case(false; "crosses the close")]
#[compio::test]
async fn request_behind_the_last_answer_does_not_run(pipelined: bool) {
    let (routed, _stream) = fleet_with_stream().await;
    let connection = connect(&routed);
    routed.routers[0].terminate();
    sleep_ms(200).await;
    let first = new_request_id();
    let second = new_request_id();
    let mut bytes = request(&first, "/ticket/1", "1");
    if pipelined {
        bytes.push_str(&request(&second, "/ticket/1", "2"));
    }
    (&connection).write_all(bytes.as_bytes()).unwrap();
    if !pipelined {
        connection.peek(&mut [0]).unwrap();
        let late = request(&second, "/ticket/1", "2");
        (&connection).write_all(late.as_bytes()).unwrap();
    }
    let answer = read_to_end(&connection);
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(is_whole(&answer), "{answer}");
    sleep_ms(200).await;
    assert_eq!(routed.runs_of(&first), 1);
    assert_eq!(routed.runs_of(&second), 0);
}

/// A connection without a request at the exit gets an answer that nobody asked for.
#[compio::test]
async fn idle_connection_ends_without_a_byte() {
    let (mut routed, _stream) = fleet_with_stream().await;
    let (fresh, used) = (connect(&routed), connect(&routed));
    send(&used, "/ticket/1", "1");
    read_answer(&used);
    routed.routers[0].terminate();
    wait_refusing(&routed).await;
    routed.routers[0].wait_exit().await;
    assert_eq!(read_to_end(&fresh), "");
    assert_eq!(read_to_end(&used), "");
}

/// A caller that uses an idle connection again late in the stop gets no answer.
#[compio::test]
async fn idle_connection_is_answered_until_the_exit() {
    let (routed, _stream) = fleet_with_stream().await;
    let connection = connect(&routed);
    routed.routers[0].terminate();
    wait_refusing(&routed).await;
    sleep_ms(2_000).await;
    let id = send(&connection, "/ticket/1", "1");
    let answer = read_to_end(&connection);
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert_eq!(routed.runs_of(&id), 0);
}
