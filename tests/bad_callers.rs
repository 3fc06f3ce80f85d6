//! Slow, half-closed, silent and too many callers: each is disconnected or refused, and its
//! resources are released.

mod support;

use std::io::{Read, Write};
use std::net::Shutdown;
use std::time::Duration;

use serde_json::{Value, json};
use support::raw::{
    Raw, entry_status, head, wait_connections, wait_gauge, wait_in_flight, wait_serving,
};
use support::{Fleet, Shape, chat_body, get, wait_until};

const SHAPE: Shape = Shape {
    routers: 1,
    engines: 1,
    plains: 1,
};

const CHAT: &str = "/v1/chat/completions";

async fn fleet(limits: Value) -> Fleet {
    Fleet::start_with_limits(SHAPE, limits).await
}

/// A caller that sends its headers a byte at a time must not keep its connection.
#[compio::test]
async fn slow_headers_are_cut() {
    let fleet = fleet(json!({ "header_timeout_ms": 300 })).await;
    let mut raw = Raw::open(fleet.caller(0));
    raw.send("GET /v1/entry HTTP/1.1\r\nx-slow: ");
    while raw.0.write_all(b"v").is_ok() {
        compio::time::sleep(Duration::from_millis(20)).await;
    }
    wait_connections(&fleet, 0).await;
    wait_serving(&fleet).await;
}

/// A caller that sends its body a byte at a time is refused, and the connection is closed.
#[compio::test]
async fn slow_bodies_are_cut() {
    let fleet = fleet(json!({ "body_timeout_ms": 300 })).await;
    let mut raw = Raw::open(fleet.caller(0));
    raw.send(&head(CHAT, 1_000)).send("\r\n");
    raw.0
        .set_read_timeout(Some(Duration::from_millis(20)))
        .unwrap();
    let mut text = Vec::new();
    while !String::from_utf8_lossy(&text).contains("too_slow") {
        let _ = raw.0.write_all(b" ");
        let mut piece = [0; 4_096];
        if let Ok(read) = raw.0.read(&mut piece) {
            text.extend_from_slice(&piece[..read]);
        }
    }
    let text = String::from_utf8(text).unwrap();
    assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
    wait_connections(&fleet, 0).await;
}

/// A caller closes its sending side in the middle of its body: no request runs, and its resources
/// are released.
#[compio::test]
async fn half_closed_bodies_release_their_resources() {
    let fleet = fleet(json!({})).await;
    let mut raw = Raw::open(fleet.caller(0));
    raw.send(&head(CHAT, 1_000)).send("\r\n{\"model\":");
    raw.0.shutdown(Shutdown::Write).unwrap();
    raw.read_to_close();
    wait_connections(&fleet, 0).await;
    wait_in_flight(&fleet, 0).await;
}

/// A caller disconnects in the middle of a streamed answer: the engine's stream is cancelled
/// instead of run to its end.
#[compio::test]
async fn disconnected_callers_release_the_engine() {
    let fleet = fleet(json!({})).await;
    let body = chat_body("c", "p", 100_000);
    let mut raw = Raw::open(fleet.caller(0));
    raw.send(&head(CHAT, body.len())).send("\r\n").send(&body);
    let mut first = [0; 64];
    raw.0.read_exact(&mut first).unwrap();
    wait_in_flight(&fleet, 1).await;
    drop(raw);
    wait_in_flight(&fleet, 0).await;
    let engine = fleet.engines[0].addr;
    wait_until("the engine's slot", || async {
        let load = get(engine, "/load").await.unwrap_or_default();
        load.contains("\"running\":0")
    })
    .await;
}

/// A caller asks for a long answer and reads none of it: it is disconnected once its buffers are
/// full.
#[compio::test]
async fn callers_that_do_not_read_are_cut() {
    let fleet = fleet(json!({ "body_timeout_ms": 500 })).await;
    let mut raw = Raw::open(fleet.caller(0));
    let body = "x".repeat(3_000_000);
    for _ in 0..8 {
        // Pipelined echoes of large bodies, none of them read.
        let request = head("/records/t", body.len());
        if raw.0.write_all(request.as_bytes()).is_err() {
            break;
        }
        let _ = raw.0.write_all(b"\r\n");
        raw.0
            .set_write_timeout(Some(Duration::from_secs(1)))
            .unwrap();
        if raw.0.write_all(body.as_bytes()).is_err() {
            break;
        }
    }
    wait_connections(&fleet, 0).await;
    wait_gauge(&fleet, "cassiagrade_callers_cut_total", 1).await;
    wait_in_flight(&fleet, 0).await;
}

/// Idle callers take every connection. The next is refused at once and directed to another address;
/// after one disconnects, a new connection is accepted.
#[compio::test]
async fn connections_beyond_the_cap_are_answered_at_once() {
    let fleet = fleet(json!({ "max_connections": 2 })).await;
    let addr = fleet.caller(0);
    let idle = Raw::open(addr);
    let _other = Raw::open(addr);
    wait_connections(&fleet, 2).await;
    let text = Raw::open(addr).read_to_close();
    assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
    assert!(text.contains("retry-after: 1\r\n"), "{text}");
    assert!(text.contains("\"cause\":\"connection_limit\""), "{text}");
    assert!(text.contains("\"run_state\":\"not_run\""), "{text}");
    drop(idle);
    wait_until("a free connection", || async {
        entry_status(addr).await == Some(200)
    })
    .await;
}
