//! Callers that send malformed, incomplete or slow requests.

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use serde_json::json;
use support::raw::connect_narrow;
use support::routed::{FleetSize, HOST, KEY, RoutedFleet, new_request_id, round_path, routes_of};
use test_case::test_case;

/// `header_timeout_ms` and `idle_timeout_ms` of the configuration that the routers run with.
const HEAD_LIMIT: Duration = Duration::from_secs(3);
const IDLE_LIMIT: Duration = Duration::from_secs(15);
/// Time limit of a router for reading a body.
const BODY_LIMIT: Duration = Duration::from_secs(10);

fn head(id: &str, more: &str) -> String {
    format!(
        "POST /ticket/1 HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {id}\r\n\
         authorization: Bearer {KEY}\r\n{more}"
    )
}

/// Everything received until the connection ends or is silent for a while.
fn exchange(routed: &RoutedFleet, sent: &str) -> String {
    let mut stream = TcpStream::connect(routed.caller(0)).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_millis(700)))
        .unwrap();
    stream.write_all(sent.as_bytes()).unwrap();
    let mut received = Vec::new();
    let mut buffer = [0; 4_096];
    while let Ok(read) = stream.read(&mut buffer) {
        if read == 0 {
            break;
        }
        received.extend_from_slice(&buffer[..read]);
    }
    String::from_utf8_lossy(&received).into_owned()
}

/// Request smuggling: two lengths, and a second request where one of them ends the body. Whichever
/// length the router uses, the hidden request must not run.
#[test_case("content-length: 5\r\ntransfer-encoding: chunked\r\n"; "length first")]
#[test_case("transfer-encoding: chunked\r\ncontent-length: 5\r\n"; "chunks first")]
#[compio::test]
async fn hidden_request_does_not_run(lengths: &str) {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    let (outer, hidden) = (new_request_id(), new_request_id());
    let inner = head(&hidden, "content-length: 0\r\n\r\n");
    let sent = head(&outer, &format!("{lengths}\r\n0\r\n\r\n{inner}"));
    exchange(&routed, &sent);
    assert_eq!(routed.runs_of(&hidden), 0);
}

#[test_case("POST /ticket/1 HTTP/1.1\r\nattempt-id: x\r\ncontent-length: 0\r\n\r\n", "400"; "no host")]
#[test_case("POST /ticket/1 HTTP/1.0\r\nhost: a.example\r\ncontent-length: 0\r\n\r\n", "400"; "HTTP 1 0")]
#[test_case("NONSENSE\r\n\r\n", "400"; "no request line")]
#[test_case("POST /ticket/1 HTTP/1.1\r\nhost: a.example\r\ncontent-length: -1\r\n\r\n", "400"; "negative length")]
#[compio::test]
async fn malformed_request_gets_one_clear_error(sent: &str, status: &str) {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    let received = exchange(&routed, sent);
    assert!(
        received
            .lines()
            .next()
            .unwrap()
            .ends_with(&format!(" {status} Bad Request")),
        "{received}"
    );
    let answers = received.lines().filter(|l| l.starts_with("HTTP/1."));
    assert_eq!(answers.count(), 1, "{received}");
}

#[compio::test]
async fn oversized_requests_are_refused() {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    let id = new_request_id();
    let long = exchange(&routed, &head(&id, "content-length: 200000\r\n\r\n"));
    assert!(long.starts_with("HTTP/1.1 413 "), "{long}");
    let filler = "x".repeat(20_000);
    let wide = exchange(
        &routed,
        &head(
            &id,
            &format!("x-wide: {filler}\r\ncontent-length: 0\r\n\r\n"),
        ),
    );
    assert!(
        wide.starts_with("HTTP/1.1 431 ") || wide.starts_with("HTTP/1.1 413 "),
        "{wide}"
    );
    assert_eq!(routed.runs_of(&id), 0);
}

/// Two requests are sent at once on one connection: both are answered in order, each with its own
/// answer.
#[compio::test]
async fn pipelined_requests_are_answered_in_order() {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    let (first, second) = (new_request_id(), new_request_id());
    let one = head(&first, "content-length: 1\r\n\r\n1");
    let two = head(&second, "content-length: 1\r\n\r\n2");
    let received = exchange(&routed, &format!("{one}{two}"));
    let at = |id: &str| received.find(&format!("attempt-id: {id}")).unwrap();
    assert!(at(&first) < at(&second), "{received}");
}

/// A chunked body with extensions is passed through unchanged.
#[compio::test]
async fn chunked_body_passes() {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    let id = new_request_id();
    let sent = head(
        &id,
        "transfer-encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
    );
    let received = exchange(&routed, &sent);
    assert!(received.starts_with("HTTP/1.1 200 "), "{received}");
    assert_eq!(routed.runs()[&id][0].body, "abcde");
}

/// A caller disconnects in the middle of its body: the request is incomplete and must not run.
#[compio::test]
async fn incomplete_request_does_not_run() {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    let id = new_request_id();
    let mut stream = TcpStream::connect(routed.caller(0)).unwrap();
    let sent = head(&id, "content-length: 100\r\n\r\nhalf");
    stream.write_all(sent.as_bytes()).unwrap();
    stream.shutdown(Shutdown::Both).unwrap();
    support::sleep_ms(300).await;
    assert_eq!(routed.runs_of(&id), 0);
}

/// A caller sends its head a few bytes at a time, for longer than the header timeout; many such
/// callers would exhaust the connections. It is disconnected by the header timeout, which is
/// shorter than the idle timeout.
#[compio::test]
async fn slow_head_is_cut() {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    let mut stream = TcpStream::connect(routed.caller(0)).unwrap();
    stream.set_nonblocking(true).unwrap();
    stream.write_all(b"POST /ticket/1 HTTP/1.1\r\n").unwrap();
    let started = Instant::now();
    while !is_closed(&mut stream) {
        assert!(
            started.elapsed() < HEAD_LIMIT * 2,
            "connection open past the header timeout"
        );
        support::sleep_ms(100).await;
        // The router may have closed it in between: the next check shows that.
        let _ = stream.write_all(b"x-more: 1\r\n");
    }
    assert!(
        started.elapsed() >= HEAD_LIMIT,
        "closed before the header timeout"
    );
}

/// Whether the peer has closed the connection.
fn is_closed(stream: &mut TcpStream) -> bool {
    match stream.read(&mut [0; 64]) {
        Ok(read) => read == 0,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    }
}

/// A connection is idle between two requests for longer than the header timeout: it is not a slow
/// head, and the second request is served.
#[compio::test]
async fn idle_connection_is_kept() {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    let mut stream = TcpStream::connect(routed.caller(0)).unwrap();
    stream.set_read_timeout(Some(IDLE_LIMIT)).unwrap();
    let ids = [new_request_id(), new_request_id()];
    for id in &ids {
        let sent = head(id, "content-length: 1\r\n\r\n1");
        stream.write_all(sent.as_bytes()).unwrap();
        support::sleep_ms(1_500 * HEAD_LIMIT.as_secs()).await;
    }
    stream.shutdown(Shutdown::Write).unwrap();
    let mut received = String::new();
    stream.read_to_string(&mut received).unwrap();
    let served = received.matches("HTTP/1.1 200 OK").count();
    assert_eq!(served, ids.len(), "{received}");
}

/// Idle callers take all connections that the router accepts; more would use up the file
/// descriptors that calls to upstreams need. Connected callers are served; one more is refused at
/// once, as not run, and directed to another router.
#[compio::test]
async fn connection_over_the_limit_is_refused() {
    const MAX_OPEN_FILES: u32 = 20;
    const MAX_CONNECTIONS: usize = 11;
    let size = FleetSize {
        max_open_files: MAX_OPEN_FILES,
        ..FleetSize::default()
    };
    let routed = RoutedFleet::start(size).await;
    let connect = || TcpStream::connect(routed.caller(0)).unwrap();
    let mut connections: Vec<TcpStream> = (0..MAX_CONNECTIONS).map(|_| connect()).collect();
    let received = exchange(&routed, "");
    assert!(received.starts_with("HTTP/1.1 503 "), "{received}");
    assert!(received.contains("\"run_state\":\"not_run\""), "{received}");
    let sent = head(
        &new_request_id(),
        "connection: close\r\ncontent-length: 1\r\n\r\n1",
    );
    connections[0].write_all(sent.as_bytes()).unwrap();
    let mut answer = String::new();
    connections[0].read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
}

/// A caller reads nothing for a few seconds in the middle of its answer, as its machine is busy. The
/// kernel has no room for the rest, takes the caller for dead and resets the connection.
#[compio::test]
async fn caller_that_pauses_gets_its_whole_answer() {
    const PAUSE_MS: u64 = 3_000;
    let routed = RoutedFleet::start(FleetSize::default()).await;
    let mut stream = connect_narrow(routed.caller(0));
    stream.set_read_timeout(Some(IDLE_LIMIT)).unwrap();
    // The echo has six bytes for each.
    let body = "\u{1}".repeat(99_000);
    let length = format!(
        "connection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let sent = head(&new_request_id(), &length) + &body;
    stream.write_all(sent.as_bytes()).unwrap();
    stream.peek(&mut [0]).unwrap();
    support::sleep_ms(PAUSE_MS).await;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    let (head, received) = answer.split_once("\r\n\r\n").unwrap();
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    assert_eq!(length, Some(received.len().to_string().as_str()), "{head}");
}

/// Callers send bytes without end in place of a request, as fast as the router takes them. They must
/// be cut off within the time limit of a head or of a body, may take no more memory than a quarter of
/// the 260 MB of a router of the smallest site, and others are served meanwhile.
#[test_case("POST /", "x", HEAD_LIMIT; "request line")]
#[test_case("", "\r\n", HEAD_LIMIT; "empty lines")]
#[test_case("", "\u{1}\u{2} no request at all\r\n", HEAD_LIMIT; "garbage")]
#[test_case("POST /ticket/1 HTTP/1.1\r\nx-filler: ", "x", HEAD_LIMIT; "header line")]
#[test_case("POST /ticket/1 HTTP/1.1\r\n", "x-filler: x\r\n", HEAD_LIMIT; "headers")]
#[test_case("WHOLE HEAD transfer-encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n", BODY_LIMIT; "body in tiny chunks")]
#[test_case("WHOLE HEAD transfer-encoding: chunked\r\n\r\n", "10\r\nxxxxxxxxxxxxxxxx\r\n", BODY_LIMIT; "body")]
#[test_case("WHOLE HEAD content-length: 99999999\r\n\r\n", "x", HEAD_LIMIT; "body of a declared length")]
#[test_case("WHOLE HEAD transfer-encoding: chunked\r\n\r\n5;", "x", HEAD_LIMIT; "chunk extension")]
#[test_case("WHOLE HEAD transfer-encoding: chunked\r\n\r\n1\r\n1\r\n0\r\n", "x-filler: x\r\n", HEAD_LIMIT; "trailers")]
#[test_case("WHOLE HEAD content-length: 1\r\n\r\n", "1", HEAD_LIMIT; "bytes past the length")]
#[compio::test]
async fn endless_request_is_cut(beginning: &str, repeated: &str, limit: Duration) {
    const CALLERS: usize = 8;
    const MAX_GROWTH_KB: u64 = (260 << 10) / 4;
    let routed = RoutedFleet::start(FleetSize::default()).await;
    let before_kb = routed.routers[0].memory_kb("VmRSS");
    let whole_head = head(&new_request_id(), "");
    let beginning = beginning.replace("WHOLE HEAD ", &whole_head);
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (addr, beginning) = (routed.caller(0), beginning.clone());
            let block = repeated.repeat((64 << 10) / repeated.len());
            std::thread::spawn(move || send_until_cut(addr, &beginning, &block, limit))
        })
        .collect();
    for _ in 0..20 {
        let sent = Instant::now();
        let (_, received) = routed.call(0, "/get/1", "1").await;
        let received = received.unwrap();
        assert_eq!(received.status, 200, "{received:?}");
        assert!(sent.elapsed() < HEAD_LIMIT, "{:?}", sent.elapsed());
    }
    for caller in callers {
        let lasted = caller.join().unwrap();
        assert!(lasted < limit, "{lasted:?}");
    }
    let growth_kb = routed.routers[0].memory_kb("VmHWM") - before_kb;
    assert!(growth_kb < MAX_GROWTH_KB, "{growth_kb} KB more");
}

/// Sends `beginning` and then `block` again and again; returns how long the router let it.
fn send_until_cut(addr: SocketAddr, beginning: &str, block: &str, limit: Duration) -> Duration {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_write_timeout(Some(limit)).unwrap();
    let started = Instant::now();
    let mut sent = stream.write_all(beginning.as_bytes());
    while sent.is_ok() && started.elapsed() < limit * 2 {
        sent = stream.write_all(block.as_bytes());
    }
    started.elapsed()
}

/// Callers send the largest bodies in chunks of one byte. Such a body may take no more memory than
/// any other.
#[compio::test]
async fn bodies_in_tiny_chunks_take_no_more_memory() {
    const CALLERS: usize = 4;
    const MAX_BODY_BYTES: usize = 4 << 20;
    let mut routed = RoutedFleet::start(FleetSize::default()).await;
    let limits = json!({
        "max_header_bytes": 16_384, "max_body_bytes": MAX_BODY_BYTES,
        "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
    });
    let routes = routes_of(1);
    routed
        .configure(json!({ "limits": limits, "routes": routes }))
        .await;
    routed.wait_status(0, &round_path(1), 200).await;
    let before_kb = routed.routers[0].memory_kb("VmRSS");
    let beginning = head(&new_request_id(), "transfer-encoding: chunked\r\n\r\n");
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (addr, beginning) = (routed.caller(0), beginning.clone());
            let block = "1\r\nx\r\n".repeat(10_000);
            std::thread::spawn(move || send_until_cut(addr, &beginning, &block, BODY_LIMIT))
        })
        .collect();
    for caller in callers {
        caller.join().unwrap();
    }
    let growth_kb = routed.routers[0].memory_kb("VmHWM") - before_kb;
    // A body's buffer doubles as it grows.
    let max_growth_kb = (CALLERS * MAX_BODY_BYTES * 2) >> 10;
    assert!(growth_kb < max_growth_kb as u64, "{growth_kb} KB more");
}

/// Limits with room for heads of [`LARGE_HEAD`].
fn wide_limits() -> serde_json::Value {
    json!({
        "max_header_bytes": 65_536, "max_body_bytes": 100_000,
        "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
    })
}

/// More than twice the header limit that the routers start with.
const LARGE_HEAD: usize = 40_000;
/// Time in which a router applies a configuration.
const CONFIG_TIME_MS: u64 = 2_000;

/// Sends a request with so many bytes of a header, in two parts `pause_ms` apart, and returns the status of
/// its answer, or 0 if there is none.
async fn send_head(stream: &mut TcpStream, filler: usize, pause_ms: u64) -> u16 {
    stream.set_read_timeout(Some(IDLE_LIMIT)).unwrap();
    let filler = format!("x-filler: {}\r\n", "x".repeat(filler));
    let sent = head(&new_request_id(), &filler) + "content-length: 1\r\n\r\n1";
    let (first, rest) = sent.split_at(sent.len() - 100);
    // The router may refuse what it has of the head.
    let _ = stream.write_all(first.as_bytes());
    support::sleep_ms(pause_ms).await;
    let _ = stream.write_all(rest.as_bytes());
    read_status(stream)
}

/// Reads an answer and returns its status, or 0 if there is none.
fn read_status(stream: &mut TcpStream) -> u16 {
    let mut received = String::new();
    let mut bytes = [0; 4 << 10];
    while !is_whole(&received) {
        match stream.read(&mut bytes) {
            Ok(len) if len > 0 => received.push_str(&String::from_utf8_lossy(&bytes[..len])),
            _ => return 0,
        }
    }
    let status = received.get(9..12).and_then(|status| status.parse().ok());
    status.unwrap_or(0)
}

fn is_whole(received: &str) -> bool {
    let Some((head, body)) = received.split_once("\r\n\r\n") else {
        return false;
    };
    let mut lines = head.lines();
    let length = lines.find_map(|l| l.strip_prefix("content-length: "));
    length.is_none_or(|length| length.parse() == Ok(body.len()))
}

/// Callers keep their connections while a configuration raises the limit of headers. Those that go by it are
/// refused on such a connection, whether their heads arrive at once or slowly.
#[test_case(0; "at once")]
#[test_case(500; "slowly")]
#[compio::test]
async fn raised_header_limit_reaches_open_connections(pause_ms: u64) {
    let mut routed = RoutedFleet::start(FleetSize::default()).await;
    let mut kept = TcpStream::connect(routed.caller(0)).unwrap();
    assert_eq!(send_head(&mut kept, 1, 0).await, 200);
    let mut unused = TcpStream::connect(routed.caller(0)).unwrap();
    let routes = routes_of(1);
    routed
        .configure(json!({ "limits": wide_limits(), "routes": routes }))
        .await;
    routed.wait_status(0, &round_path(1), 200).await;
    for stream in [&mut kept, &mut unused] {
        assert_eq!(send_head(stream, LARGE_HEAD, pause_ms).await, 200);
    }
}

/// Callers keep their connections while a configuration lowers the limit of headers. What it forbids is
/// accepted on them for as long as they live.
#[compio::test]
async fn lowered_header_limit_reaches_open_connections() {
    let mut routed = RoutedFleet::start(FleetSize::default()).await;
    let wide = json!({ "limits": wide_limits(), "routes": routes_of(1) });
    routed.configure(wide).await;
    routed.wait_status(0, &round_path(1), 200).await;
    let mut kept = TcpStream::connect(routed.caller(0)).unwrap();
    let mut endless = TcpStream::connect(routed.caller(0)).unwrap();
    assert_eq!(send_head(&mut kept, LARGE_HEAD, 0).await, 200);
    routed.configure(json!({ "routes": routes_of(2) })).await;
    routed.wait_status(0, &round_path(2), 200).await;
    assert_eq!(send_head(&mut kept, LARGE_HEAD / 2, 0).await, 413);
    let incomplete = head(&new_request_id(), &"x-filler: 1\r\n".repeat(100));
    let incomplete = incomplete + &"x".repeat(100_000);
    endless.write_all(incomplete.as_bytes()).unwrap();
    endless.set_read_timeout(Some(IDLE_LIMIT)).unwrap();
    assert_eq!(read_status(&mut endless), 431);
}

/// A caller connects to a router that has no configuration yet. The connection keeps the limits of none, and
/// its proper requests are refused on it for as long as it lives.
#[compio::test]
async fn first_configuration_reaches_open_connections() {
    let size = FleetSize {
        store_relays: true,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    let wide = json!({ "limits": wide_limits(), "routes": routes_of(1) });
    routed.configure(wide).await;
    routed.wait_status(0, &round_path(1), 200).await;
    routed.relay_knobs(0, json!({ "refuse": true })).await;
    routed.routers[0].kill();
    routed.spawn_router(0);
    let mut connections = Vec::new();
    while connections.len() < 2 {
        connections.extend(TcpStream::connect(routed.caller(0)));
        support::sleep_ms(20).await;
    }
    let early = send_head(&mut connections[0], LARGE_HEAD, 0).await;
    assert_eq!(early, 503, "no configuration is known yet");
    routed.relay_knobs(0, json!({ "refuse": false })).await;
    routed.wait_ready(0).await;
    for stream in &mut connections {
        assert_eq!(send_head(stream, LARGE_HEAD, 0).await, 200);
    }
}

/// A configuration raises or lowers the idle limit. A caller goes by the longer of the two that it may know
/// while its connection is idle, and finds it closed.
#[test_case(1_000, 6_000, 4_000; "raised")]
#[test_case(6_000, 1_000, 4_000; "lowered")]
#[compio::test]
async fn idle_connection_outlasts_a_change_of_its_limit(
    before_ms: u64,
    after_ms: u64,
    idle_ms: u64,
) {
    let mut routed = RoutedFleet::start(FleetSize::default()).await;
    let limits = |idle_ms: u64| {
        let mut limits = wide_limits();
        limits["idle_timeout_ms"] = json!(idle_ms);
        limits
    };
    let first = json!({ "limits": limits(before_ms), "routes": routes_of(1) });
    routed.configure(first).await;
    routed.wait_status(0, &round_path(1), 200).await;
    let mut kept = TcpStream::connect(routed.caller(0)).unwrap();
    assert_eq!(send_head(&mut kept, 1, 0).await, 200);
    let begun = Instant::now();
    let second = json!({ "limits": limits(after_ms), "routes": routes_of(2) });
    routed.configure(second).await;
    routed.wait_status(0, &round_path(2), 200).await;
    let changed = begun.elapsed();
    assert!(changed < Duration::from_millis(before_ms), "{changed:?}");
    support::sleep_ms(idle_ms - changed.as_millis() as u64).await;
    assert_eq!(send_head(&mut kept, 1, 0).await, 200);
    // The limit in force applies from the next time on.
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(after_ms) {
        stream_is_open(&mut kept);
        support::sleep_ms(100).await;
    }
    support::sleep_ms(CONFIG_TIME_MS).await;
    kept.set_nonblocking(true).unwrap();
    assert!(is_closed(&mut kept), "open past the idle limit");
}

fn stream_is_open(stream: &mut TcpStream) {
    stream.set_nonblocking(true).unwrap();
    assert!(!is_closed(stream), "closed before the idle limit");
    stream.set_nonblocking(false).unwrap();
}
