//! Requests that a router answers or refuses while a planned stop is under way.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::json;
use support::raw::connect_narrow;
use support::routed::{FleetSize, HOST, KEY, RoutedFleet, new_request_id};
use support::{sleep_ms, wait_until};

/// Longer than the copy of the configuration may be old.
const STALL_MS: u64 = 2_200;
/// Number of reads of the slow caller, and the time between two: together longer than a stop
/// without requests takes.
const SLOW_READS: u32 = 40;
const SLOW_READ_MS: u64 = 50;
/// Upper limit that ends a hanging test.
const READ_LIMIT: Duration = Duration::from_secs(15);

async fn wait_refusing(routed: &RoutedFleet) {
    wait_until("the phase of refusals", || async {
        routed.log(0).contains("refusing, ")
    })
    .await;
}

fn request(path: &str, body: &str) -> String {
    let (id, length) = (new_request_id(), body.len());
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {id}\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// A router that refuses requests holds one for a newer configuration first, and the process ends
/// meanwhile. It is refused for the stop, without a wait for a configuration that doesn't matter.
#[compio::test]
async fn stopping_router_refuses_without_waiting_for_the_configuration() {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    routed.upstream_knobs(json!({ "delay_ms": 100 })).await;
    let mut in_flight = TcpStream::connect(routed.caller(0)).unwrap();
    let long = request("/once/stream", "100");
    in_flight.write_all(long.as_bytes()).unwrap();
    routed.routers[0].terminate();
    wait_refusing(&routed).await;
    routed.store.freeze();
    routed.routers[0].freeze();
    sleep_ms(STALL_MS).await;
    routed.routers[0].unfreeze();
    let (_, refused) = routed.call(0, "/ticket/1", "1").await;
    let refused = refused.unwrap();
    assert_eq!(refused.status, 503);
    assert!(
        refused.body.contains("this router is stopping"),
        "{}",
        refused.body
    );
}

/// A caller reads its answer slowly while the router stops. The process ends with the answer still
/// in its memory, and the caller gets a part of it, although the grace time has not passed.
#[compio::test]
async fn answer_is_sent_to_its_end_before_the_process_exits() {
    let mut routed = RoutedFleet::start(FleetSize::default()).await;
    let mut slow = connect_narrow(routed.caller(0));
    slow.set_read_timeout(Some(READ_LIMIT)).unwrap();
    // The echo has six bytes for each.
    let body = "\u{1}".repeat(99_000);
    slow.write_all(request("/ticket/1", &body).as_bytes())
        .unwrap();
    slow.peek(&mut [0]).unwrap();
    routed.routers[0].terminate();
    let mut answer = Vec::new();
    for _ in 0..SLOW_READS {
        let mut piece = [0; 1_000];
        let read = slow.read(&mut piece).unwrap();
        answer.extend_from_slice(&piece[..read]);
        sleep_ms(SLOW_READ_MS).await;
    }
    slow.read_to_end(&mut answer).unwrap();
    let answer = String::from_utf8(answer).unwrap();
    let (head, received) = answer.split_once("\r\n\r\n").unwrap();
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    assert_eq!(length, Some(received.len().to_string().as_str()), "{head}");
    wait_until("the router's exit", || {
        let ended = routed.routers[0].exited().is_some();
        async move { ended }
    })
    .await;
}
