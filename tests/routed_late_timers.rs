//! A router that gets no processor time while answers arrive for it.

mod support;

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::TcpStream;

use futures_util::future::{join, join_all};
use serde_json::{Value, json};
use support::routed::{FleetSize, HOST, KEY, RoutedFleet, new_request_id};
use support::{Process, sleep_ms};
use test_case::test_case;

const REQUESTS: usize = 24;
/// Time that an upstream takes, well within that after which it counts as slow.
const DELAY_MS: u64 = 250;
/// When the router stands still, after the requests are sent, and for how long.
const BEGIN_MS: u64 = 150;
const STALL_MS: u64 = 900;

/// Counts the lines of the log of the first `routers` by kind of event.
async fn count_events(routed: &RoutedFleet, routers: u8) -> HashMap<String, usize> {
    let mut logs = String::new();
    for router in 0..routers {
        logs += &routed.log_until_now(router).await;
    }
    let mut counts = HashMap::new();
    for line in logs.lines() {
        let line: Value = serde_json::from_str(line).unwrap_or_default();
        if let Some(kind) = line["kind"].as_str() {
            *counts.entry(kind.to_owned()).or_default() += 1;
        }
    }
    counts
}

/// A router goes on after a stall in which its upstreams answered. If its timers count first, it gives up
/// answers that it has, holds them against its upstreams, and sends the requests once more.
#[test_case("/get/1", "1"; "repeatable requests")]
#[test_case("/resumed/stream", "1"; "streams")]
#[compio::test]
async fn answers_that_arrived_during_a_stall_are_not_given_up(path: &str, body: &str) {
    let routed = RoutedFleet::start(FleetSize {
        upstreams: 4,
        ..FleetSize::default()
    })
    .await;
    let knobs = json!({ "delay_ms": DELAY_MS });
    routed.upstream_knobs(knobs).await;
    let requests = join_all((0..REQUESTS).map(|_| routed.call(0, path, body)));
    let stall = async {
        sleep_ms(BEGIN_MS).await;
        routed.routers[0].freeze();
        sleep_ms(STALL_MS).await;
        routed.routers[0].unfreeze();
    };
    let (answers, ()) = join(requests, stall).await;
    let received = answers.iter().filter_map(|(_, received)| received.as_ref());
    let served = received.filter(|r| r.status == 200 && r.complete);
    let served = served.count();
    let runs: usize = answers.iter().map(|(id, _)| routed.runs_of(id)).sum();
    let events = count_events(&routed, 1).await;
    assert_eq!((served, runs), (REQUESTS, REQUESTS), "{events:?}");
    assert_eq!(events.get("request_retried"), None, "{events:?}");
}

/// No process of the machine gets processor time. When all go on, each router has requests that are due and
/// upstreams that answer a moment later: none may be given up, sent once more, ejected or declared dead.
#[test_case(900; "shorter than a suspicion")]
#[test_case(2_400; "longer than a suspicion")]
#[compio::test]
async fn stall_of_all_processes_ends_no_requests(stall_ms: u64) {
    const ROUTERS: u8 = 3;
    let routed = RoutedFleet::start(FleetSize {
        routers: ROUTERS,
        upstreams: 4,
        ..FleetSize::default()
    })
    .await;
    let knobs = json!({ "delay_ms": DELAY_MS });
    routed.upstream_knobs(knobs).await;
    let paths = ["/get/1", "/ticket/1", "/resumed/stream", "/once/stream"];
    let calls = (0..ROUTERS).flat_map(|router| paths.map(|path| (router, path)));
    let calls = calls.flat_map(|call| [call; REQUESTS / 4]);
    let requests = join_all(calls.map(|(router, path)| routed.call(router, path, "4")));
    let stall = async {
        sleep_ms(BEGIN_MS).await;
        let all = [&routed.routers, &routed.upstreams];
        let all = || all.iter().copied().flatten().chain([&routed.store]);
        all().for_each(Process::freeze);
        sleep_ms(stall_ms).await;
        all().for_each(Process::unfreeze);
    };
    let (answers, ()) = join(requests, stall).await;
    let received = answers.iter().filter_map(|(_, received)| received.as_ref());
    let served = received.filter(|r| r.status == 200 && r.complete).count();
    let runs: usize = answers.iter().map(|(id, _)| routed.runs_of(id)).sum();
    let events = count_events(&routed, ROUTERS).await;
    assert_eq!((served, runs), (answers.len(), answers.len()), "{events:?}");
    for kind in ["request_retried", "request_cut", "upstream_ejected"] {
        assert_eq!(events.get(kind), None, "{events:?}");
    }
    let logs: String = (0..ROUTERS).map(|i| routed.log(i)).collect();
    let is_death = |l: &&str| l.contains("member_changed") && l.contains(" dead ");
    let deaths: Vec<&str> = logs.lines().filter(is_death).collect();
    assert!(deaths.is_empty(), "{}", deaths.join("\n"));
}

/// What a caller has sent when the router stands still; the rest arrives meanwhile.
#[derive(Clone, Copy, Debug)]
enum Sent {
    Nothing,
    PartOfHead,
    PartOfBody,
}

/// A request with a head of more than one read of the router, in two parts.
fn request(sent: Sent) -> (String, String) {
    let (id, filler) = (new_request_id(), "x".repeat(40_000));
    let head = format!(
        "POST /get/1 HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {id}\r\n\
         authorization: Bearer {KEY}\r\nx-filler: {filler}\r\ncontent-length: 4\r\n\r\n"
    );
    let first = match sent {
        Sent::Nothing => 0,
        Sent::PartOfHead => 40,
        Sent::PartOfBody => head.len() + 1,
    };
    let mut request = head + "body";
    let rest = request.split_off(first);
    (request, rest)
}

/// Reads the next answer, whose body is JSON, and returns its status, or 0 if the connection was closed.
fn read_status(connection: &mut TcpStream) -> u16 {
    let mut text = String::new();
    let mut bytes = [0; 4 << 10];
    while !text.ends_with('}') {
        match connection.read(&mut bytes) {
            Ok(len) if len > 0 => text.push_str(&String::from_utf8_lossy(&bytes[..len])),
            _ => return 0,
        }
    }
    let status = text.get(9..12).and_then(|status| status.parse().ok());
    status.unwrap_or(0)
}

/// Callers send while the router stands still, and their limits run out meanwhile. A router that looks at its
/// timers first closes their connections with requests that have arrived whole.
#[test_case(Sent::Nothing; "on an idle connection")]
#[test_case(Sent::PartOfHead; "in the head")]
#[test_case(Sent::PartOfBody; "in the body")]
#[compio::test]
async fn requests_that_arrived_during_a_stall_are_answered(sent: Sent) {
    const IDLE_MS: u64 = 800;
    const STALL_MS: u64 = 1_900;
    let mut routed = RoutedFleet::start(FleetSize::default()).await;
    let limits = json!({
        "max_header_bytes": 64_000, "max_body_bytes": 100_000,
        "header_timeout_ms": 1_000, "idle_timeout_ms": 1_000,
    });
    let routes = json!([support::routed::route("get", "idempotent", json!({}))]);
    routed
        .configure(json!({ "limits": limits, "routes": routes }))
        .await;
    routed.wait_status(0, "/ticket/1", 404).await;
    let connect = |_| TcpStream::connect(routed.caller(0)).unwrap();
    let mut connections: Vec<TcpStream> = (0..REQUESTS).map(connect).collect();
    for connection in &mut connections {
        let (first, rest) = request(Sent::Nothing);
        connection.write_all((first + &rest).as_bytes()).unwrap();
        assert_eq!(read_status(connection), 200);
    }
    sleep_ms(IDLE_MS).await;
    let mut rests = Vec::new();
    for connection in &mut connections {
        let (first, rest) = request(sent);
        connection.write_all(first.as_bytes()).unwrap();
        rests.push(rest);
    }
    sleep_ms(100).await;
    routed.routers[0].freeze();
    for (connection, rest) in connections.iter_mut().zip(&rests) {
        connection.write_all(rest.as_bytes()).unwrap();
    }
    sleep_ms(STALL_MS).await;
    routed.routers[0].unfreeze();
    let statuses: Vec<u16> = connections.iter_mut().map(read_status).collect();
    let log = routed.log_until_now(0).await;
    let cuts: Vec<&str> = log.lines().filter(|l| l.contains("caller")).collect();
    assert_eq!(statuses, [200; REQUESTS], "{}", cuts.join("\n"));
}
