//! A router that gets no processor time while answers arrive for it.

mod support;

use std::collections::HashMap;

use futures_util::future::{join, join_all};
use serde_json::{Value, json};
use support::routed::{FleetSize, RoutedFleet};
use support::sleep_ms;
use test_case::test_case;

const REQUESTS: usize = 24;
/// Time that an upstream takes, well within that after which it counts as slow.
const DELAY_MS: u64 = 250;
/// When the router stands still, after the requests are sent, and for how long.
const BEGIN_MS: u64 = 150;
const STALL_MS: u64 = 900;

/// Counts the lines of router 0's log by kind of event.
async fn count_events(routed: &RoutedFleet) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for line in routed.log_until_now(0).await.lines() {
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
    let events = count_events(&routed).await;
    assert_eq!((served, runs), (REQUESTS, REQUESTS), "{events:?}");
    assert_eq!(events.get("request_retried"), None, "{events:?}");
}
