//! Malformed, unknown and oversized requests: each gets a typed refusal, and its resources are
//! released.

mod support;

use std::io::Write;
use std::net::Shutdown;

use cassiagrade::schema::config::change::Op;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use support::raw::{Raw, head, wait_connections, wait_in_flight, wait_serving};
use support::{ACCOUNT_KEY, Fleet, Received, Shape, account, call, chat_body};
use test_case::test_case;

const SHAPE: Shape = Shape {
    routers: 1,
    engines: 1,
    plains: 1,
};

const CHAT: &str = "/v1/chat/completions";

const SEED: u64 = 3;
const MUTATED_REQUESTS: u32 = 400;

/// Method, path, headers, body, and the field that the refusal names.
type Case<'a> = (&'a str, &'a str, &'a [(&'a str, &'a str)], &'a str, &'a str);

async fn fleet(limits: Value) -> Fleet {
    Fleet::start_with_limits(SHAPE, limits).await
}

/// Checks that a refusal has all its fields and carries the request's id twice.
fn refusal(received: &Received, status: u16, cause: &str) -> Value {
    assert_eq!(received.status, status, "{received:?}");
    assert_eq!(received.header("content-type"), "application/json");
    let json: Value = serde_json::from_str(&received.body).unwrap();
    let error = &json["error"];
    assert_eq!(error["cause"], cause, "{received:?}");
    assert_eq!(error["run_state"], "not_run");
    assert!(error["retry_after_ms"].is_u64());
    assert_eq!(error["request_id"], received.header("x-request-id"));
    error.clone()
}

#[compio::test]
async fn bad_requests_are_refused_by_field() {
    let fleet = fleet(json!({})).await;
    let addr = fleet.caller(0);
    let good = chat_body("c", "p", 2);
    let cases: [Case; 11] = [
        ("POST", CHAT, &[], "", "body"),
        ("POST", CHAT, &[], "\u{fffd}{", "body"),
        ("POST", CHAT, &[], "{\"model\":7,\"messages\":[]}", "body"),
        (
            "POST",
            CHAT,
            &[],
            "{\"model\":\"small\",\"messages\":[]}",
            "messages",
        ),
        (
            "POST",
            CHAT,
            &[("x-priority", "highest")],
            &good,
            "x-priority",
        ),
        (
            "POST",
            CHAT,
            &[("x-deadline-ms", "soon")],
            &good,
            "x-deadline-ms",
        ),
        (
            "POST",
            CHAT,
            &[("x-deadline-ms", "0")],
            &good,
            "x-deadline-ms",
        ),
        (
            "POST",
            CHAT,
            &[("x-deadline-ms", "3600001")],
            &good,
            "x-deadline-ms",
        ),
        (
            "POST",
            CHAT,
            &[("idempotency-key", "")],
            &good,
            "idempotency-key",
        ),
        (
            "POST",
            "/records/t",
            &[("x-priority", "0")],
            "t",
            "x-priority",
        ),
        ("DELETE", CHAT, &[], "", "DELETE"),
    ];
    for (method, path, headers, body, field) in cases {
        let received = call(addr, method, path, headers, body).await.unwrap();
        let error = refusal(&received, 400, "bad_request");
        let message = error["message"].as_str().unwrap();
        assert!(message.starts_with(field), "{message}");
    }
}

#[compio::test]
async fn unknown_names_are_refused() {
    let fleet = fleet(json!({})).await;
    let addr = fleet.caller(0);
    let body = chat_body("c", "p", 2).replace("small", "huge");
    let received = call(addr, "POST", CHAT, &[], &body).await.unwrap();
    let error = refusal(&received, 404, "unknown_service");
    assert_eq!(error["message"], "model: no service has \"huge\"");
    let received = call(addr, "GET", "/nowhere", &[], "").await.unwrap();
    refusal(&received, 404, "unknown_service");
}

#[compio::test]
async fn unknown_and_suspended_accounts_are_refused() {
    let fleet = fleet(json!({})).await;
    let addr = fleet.caller(0);
    for key in [
        "",
        "authorization: Bearer wrong\r\n",
        "authorization: Basic eDp5\r\n",
    ] {
        let request =
            format!("GET /v1/entry HTTP/1.1\r\nhost: r\r\n{key}connection: close\r\n\r\n");
        let text = Raw::open(addr).send(&request).read_to_close();
        assert!(text.starts_with("HTTP/1.1 401 "), "{text}");
        assert!(text.contains("\"cause\":\"unauthorized\""), "{text}");
    }
    let mut suspended = account("acme", ACCOUNT_KEY);
    suspended.suspended = true;
    let reply = fleet.accept(Op::PutAccount(suspended)).await;
    fleet.wait_version(0, reply.version).await;
    let received = call(addr, "POST", CHAT, &[], &chat_body("c", "p", 2)).await;
    refusal(&received.unwrap(), 403, "account_suspended");
}

/// The limit on bodies applies to announced and to chunked bodies, and the refusal arrives while
/// the caller is still sending.
#[compio::test]
async fn bodies_beyond_the_bound_are_refused() {
    let fleet = fleet(json!({ "max_body_bytes": 10_000 })).await;
    let addr = fleet.caller(0);
    let long = "x".repeat(3_000_000);
    let received = call(addr, "POST", "/records/t", &[], &long).await.unwrap();
    refusal(&received, 413, "too_large");
    let fits = "x".repeat(10_000);
    let received = call(addr, "POST", "/records/t", &[], &fits).await.unwrap();
    assert_eq!(received.status, 200);
    let chunked = format!(
        "POST /records/t HTTP/1.1\r\nhost: r\r\nauthorization: Bearer {ACCOUNT_KEY}\r\n\
         connection: close\r\ntransfer-encoding: chunked\r\n\r\n2dc6c0\r\n{long}\r\n0\r\n\r\n"
    );
    let text = Raw::open(addr).send(&chunked).read_to_close();
    assert!(text.starts_with("HTTP/1.1 413 "), "{text}");
}

#[compio::test]
async fn headers_beyond_the_bound_are_refused() {
    let fleet = fleet(json!({ "max_header_bytes": 4_096 })).await;
    let addr = fleet.caller(0);
    let long = "v".repeat(5_000);
    let received = call(addr, "GET", "/v1/entry", &[("x-long", &long)], "").await;
    refusal(&received.unwrap(), 413, "too_large");
    let names: Vec<String> = (0..70).map(|i| format!("x-{i}")).collect();
    let many: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "v")).collect();
    let received = call(addr, "GET", "/v1/entry", &many, "").await;
    refusal(&received.unwrap(), 413, "too_large");
    // Beyond the parser's own limit there is no parsed request for a typed refusal.
    let huge = format!(
        "GET /v1/entry HTTP/1.1\r\nx-long: {}\r\n\r\n",
        "v".repeat(100_000)
    );
    let mut raw = Raw::open(addr);
    let _ = raw.0.write_all(huge.as_bytes());
    let text = raw.read_to_close();
    assert!(
        text.is_empty() || text.starts_with("HTTP/1.1 431 "),
        "{text}"
    );
}

#[test_case("\x16\x03\x01\x02\x00\x01\r\n\r\n", "400"; "TLS to a plain port")]
#[test_case("GET\r\n\r\n", "400"; "no path")]
#[test_case("GET /v1/entry HTTP/1.1\r\nbad header\r\n\r\n", "400"; "no colon")]
#[test_case("POST /v1/entry HTTP/1.1\r\ncontent-length: -1\r\n\r\n", "400"; "negative length")]
#[test_case("POST /v1/entry HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n", "400"; "two lengths")]
#[test_case("GET /v1/entry HTTP/1.0\r\n\r\n", "400"; "HTTP 1.0")]
fn malformed_bytes_close_the_connection(bytes: &str, status: &str) {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let fleet = fleet(json!({})).await;
        let text = Raw::open(fleet.caller(0)).send(bytes).read_to_close();
        let version = "HTTP/1.1".len();
        assert_eq!(&text[version..][..5], format!(" {status} "), "{text}");
        wait_serving(&fleet).await;
    });
}

/// Valid requests with bytes flipped, removed, duplicated and inserted: the connection always ends,
/// its resources are released, and the router keeps serving.
#[compio::test]
async fn mutated_requests_close_the_connection() {
    let fleet = fleet(json!({ "header_timeout_ms": 500, "body_timeout_ms": 500 })).await;
    let addr = fleet.caller(0);
    let mut rng = SmallRng::seed_from_u64(SEED);
    for _ in 0..MUTATED_REQUESTS {
        let body = chat_body("c", "p", 1);
        let good = format!("{}connection: close\r\n\r\n{body}", head(CHAT, body.len()));
        let bytes = mutate(good.into_bytes(), &mut rng);
        let mut raw = Raw::open(addr);
        // The router may close the connection before everything is sent.
        let _ = raw.0.write_all(&bytes);
        let _ = raw.0.shutdown(Shutdown::Write);
        raw.read_to_close();
    }
    wait_connections(&fleet, 0).await;
    wait_in_flight(&fleet, 0).await;
    wait_serving(&fleet).await;
}

fn mutate(mut bytes: Vec<u8>, rng: &mut SmallRng) -> Vec<u8> {
    for _ in 0..rng.random_range(1..8) {
        let at = rng.random_range(0..bytes.len());
        match rng.random_range(0..4) {
            0 => bytes[at] = rng.random(),
            1 => bytes.insert(at, rng.random()),
            2 => bytes.truncate(at.max(1)),
            _ => bytes.extend_from_within(at..),
        }
    }
    bytes
}

/// With two lengths, parsers may disagree on where the body ends and the next request begins
/// (request smuggling); without a host, the site is ambiguous. Each such request gets one refusal,
/// and the bytes after it are not read.
#[test_case("content-length: 5\r\ntransfer-encoding: chunked\r\nhost: router\r\n", "content-length"; "two lengths")]
#[test_case("content-length: 0\r\n", "host"; "no host")]
#[compio::test]
async fn ambiguous_request_is_refused(headers: &str, field: &str) {
    let fleet = fleet(json!({})).await;
    let inner = head(CHAT, 0);
    let text = format!(
        "POST {CHAT} HTTP/1.1\r\nauthorization: Bearer {ACCOUNT_KEY}\r\n{headers}\
         connection: close\r\n\r\n0\r\n\r\n{inner}\r\n"
    );
    let received = Raw::open(fleet.caller(0)).send(&text).read_to_close();
    assert!(received.starts_with("HTTP/1.1 400 "), "{received}");
    assert!(received.contains(field), "{received}");
    let answers = received.lines().filter(|l| l.starts_with("HTTP/1."));
    assert_eq!(answers.count(), 1, "{received}");
}
