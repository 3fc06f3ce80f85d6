//! Requests that end without a whole answer: the router's log names each of them, and why it ended.

mod support;

use std::io::Write;
use std::net::TcpStream;

use serde_json::{Value, json};
use support::routed::{FleetSize, HOST, KEY, RoutedFleet, new_request_id};
use support::{sleep_ms, wait_until};
use test_case::test_case;

/// Sends a request without reading its answer.
fn send(routed: &RoutedFleet, path: &str, body: &str) -> (String, TcpStream) {
    let (id, length) = (new_request_id(), body.len());
    let mut connection = TcpStream::connect(routed.caller(0)).unwrap();
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {id}\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    connection.write_all(request.as_bytes()).unwrap();
    (id, connection)
}

/// The events about a request in router 0's log.
fn events(routed: &RoutedFleet, id: &str) -> Vec<Value> {
    let log = routed.log(0);
    let lines = log
        .lines()
        .filter_map(|l| serde_json::from_str::<Value>(l).ok());
    lines.filter(|l| l["request_id"] == id).collect()
}

/// Waits for an event of `kind` about a request whose detail contains `reason`.
async fn wait_event(routed: &RoutedFleet, id: &str, kind: &str, reason: &str) {
    wait_until(&format!("{kind} of {id}: {reason}"), || async {
        let events = events(routed, id);
        events.iter().any(|e| {
            let detail = e["detail"].as_str().unwrap_or_default();
            e["kind"] == kind && detail.contains(reason)
        })
    })
    .await;
}

/// A process ends with requests in flight, and its log names none of them: which answers a stop cut can't be
/// told from what callers report.
#[test_case("/once/stream", "100", "answering"; "during its answer")]
#[test_case("/ticket/1", "100", "sent"; "before its answer")]
#[compio::test]
async fn request_that_outlasts_a_stop_is_named(path: &str, body: &str, stage: &str) {
    let mut routed = RoutedFleet::start(FleetSize::default()).await;
    let delay_ms = if path.ends_with("stream") { 100 } else { 9_000 };
    routed.upstream_knobs(json!({ "delay_ms": delay_ms })).await;
    let (id, _connection) = send(&routed, path, body);
    sleep_ms(300).await;
    routed.routers[0].terminate();
    routed.routers[0].wait_exit().await;
    let log = routed.log(0);
    assert!(log.contains("stopped, 1 in flight"), "{log}");
    wait_event(&routed, &id, "request_cut", "the process ends").await;
    wait_event(&routed, &id, "request_cut", stage).await;
}

/// A caller's connection ends before its request is answered, and nothing in the log says that the router
/// had the request.
#[compio::test]
async fn request_whose_connection_ends_is_named() {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    routed.upstream_knobs(json!({ "delay_ms": 1_000 })).await;
    let (id, connection) = send(&routed, "/ticket/1", "1");
    sleep_ms(300).await;
    drop(connection);
    wait_event(&routed, &id, "request_cancelled", "closed by its other end").await;
}

/// A request that is answered is reported once, as answered.
#[test_case("/ticket/1"; "buffered")]
#[test_case("/resumed/stream"; "streamed")]
#[compio::test]
async fn answered_request_is_not_reported_as_unanswered(path: &str) {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    let (id, received) = routed.call(0, path, "5").await;
    assert!(received.unwrap().complete);
    routed.log_until_now(0).await;
    let kinds: Vec<Value> = events(&routed, &id)
        .iter()
        .map(|e| e["kind"].clone())
        .collect();
    assert_eq!(kinds, ["request_answered"]);
}
