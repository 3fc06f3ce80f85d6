//! Requests that a router answers or refuses while a planned stop is under way.

mod support;

use std::io::Write;
use std::net::TcpStream;

use serde_json::json;
use support::routed::{FleetSize, HOST, KEY, RoutedFleet, new_request_id};
use support::{sleep_ms, wait_until};

/// Longer than the copy of the configuration may be old.
const STALL_MS: u64 = 2_200;

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
