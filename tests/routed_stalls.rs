//! Every process stands still for a while, as on a machine without processor time, and goes on.

mod support;

use std::net::SocketAddr;

use futures_util::future::{join, join_all};
use serde_json::json;
use support::routed::{FleetSize, HOST, KEY, RoutedFleet, new_request_id};
use support::{Caller, ProcessHandle, Received, sleep_ms, wall_ms};
use test_case::test_case;

/// Burst of retries of the routers.
const RETRY_BURST: u32 = 10;
/// Number of streams whose resumptions at once exceed the retry budget.
const STREAMS: usize = 24;
/// Duration of a stream without a stall.
const STREAM_MS: u64 = 2_000;
/// Time after which the processes are stopped: streams are in the middle.
const STALL_AT_MS: u64 = 1_000;
/// Time between the stops of two processes, and between their continuations.
const STAGGER_MS: u64 = 2;
/// Time between a planned stop of a router and the beginning or the end of the stall.
const STOP_DISTANCE_MS: u64 = 300;
/// Interval between changes of the configuration or reloads of the settings.
const CHANGE_MS: u64 = 200;
/// Interval between calls.
const CALL_MS: u64 = 50;
/// Time after the stall until which calls are sent.
const CALLS_AFTER_MS: u64 = 300;
/// Time after a planned stop in which callers still use the router's address: less than three lifetimes of
/// an entry answer.
const LEAVING_MS: u64 = 600;
/// Time limit of callers; the route's own is 10 s.
const DEADLINE_MS: u64 = 15_000;
/// The router that streams go to and that is stopped.
const STOPPED: u8 = 0;

/// The processes in the order in which they are stopped and continued.
#[derive(Clone, Copy, Debug)]
enum Order {
    RoutersFirst,
    UpstreamsFirst,
    /// Routers are stopped first and continued last.
    RoutersLongest,
}

/// What happens beside the stall.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Beside {
    Nothing,
    /// A planned stop of a router before, within or after the stall.
    StopBefore,
    StopWithin,
    StopAfter,
    Versions,
    Reloads,
}

/// A request and what its caller received.
#[derive(Debug)]
struct Answer {
    id: String,
    #[expect(dead_code, reason = "shown by failed checks")]
    path: &'static str,
    #[expect(dead_code, reason = "shown by failed checks")]
    sent_ms: u64,
    #[expect(dead_code, reason = "shown by failed checks")]
    ended_ms: u64,
    received: Option<Received>,
}

impl Beside {
    /// Time at which a router is stopped as planned, if it is.
    fn stop_at_ms(self, stall_ms: u64) -> Option<u64> {
        match self {
            Self::StopBefore => Some(STALL_AT_MS - STOP_DISTANCE_MS),
            Self::StopWithin => Some(STALL_AT_MS + STOP_DISTANCE_MS),
            Self::StopAfter => Some(STALL_AT_MS + stall_ms + STOP_DISTANCE_MS),
            Self::Nothing | Self::Versions | Self::Reloads => None,
        }
    }
}

impl Answer {
    /// Whether the caller got events 1 to `last`, each once and in order, and the end mark.
    fn has_all_events(&self, last: u64) -> bool {
        let wanted: Vec<String> = (1..=last).map(|n| format!("{n} of {last}")).collect();
        let received = self.received.as_ref();
        received.is_some_and(|r| r.status == 200 && r.complete && r.data() == wanted)
    }

    /// Whether the caller got the whole answer, or knows that the request didn't run.
    fn is_whole(&self) -> bool {
        let received = self.received.as_ref();
        received.is_some_and(|r| r.complete && (r.status == 200 || r.not_run()))
    }
}

async fn send(router: SocketAddr, path: &'static str, body: &str) -> Answer {
    let id = new_request_id();
    let deadline = DEADLINE_MS.to_string();
    let headers = [
        ("attempt-id", id.as_str()),
        ("host", HOST),
        ("deadline-ms", deadline.as_str()),
    ];
    let caller = Caller::new(KEY);
    let sent_ms = wall_ms();
    let received = caller.call(router, "POST", path, &headers, body).await;
    Answer {
        id,
        path,
        sent_ms,
        ended_ms: wall_ms(),
        received,
    }
}

/// Sends calls and tickets by turns until `until_ms`.
async fn send_calls(router: SocketAddr, until_ms: u64) -> Vec<Answer> {
    let calls = (0..until_ms / CALL_MS).map(|n| async move {
        sleep_ms(n * CALL_MS).await;
        let paths = ["/get/1", "/ticket/1"];
        send(router, paths[usize::from(n % 2 == 1)], "1").await
    });
    join_all(calls).await
}

/// The processes of the fleet, in the orders in which they are stopped and continued.
fn orders(routed: &RoutedFleet, order: Order) -> [Vec<ProcessHandle>; 2] {
    let routers: Vec<ProcessHandle> = routed.routers.iter().map(|r| r.handle()).collect();
    let others = routed.upstreams.iter().chain([&routed.store]);
    let others: Vec<ProcessHandle> = others.map(|p| p.handle()).collect();
    let routers_first = [routers.clone(), others.clone()].concat();
    let routers_last = [others, routers].concat();
    match order {
        Order::RoutersFirst => [routers_first.clone(), routers_first],
        Order::UpstreamsFirst => [routers_last.clone(), routers_last],
        Order::RoutersLongest => [routers_first, routers_last],
    }
}

async fn stall([stopped, continued]: [Vec<ProcessHandle>; 2], stall_ms: u64) {
    sleep_ms(STALL_AT_MS).await;
    for process in stopped {
        process.freeze();
        sleep_ms(STAGGER_MS).await;
    }
    sleep_ms(stall_ms).await;
    for process in continued {
        process.unfreeze();
        sleep_ms(STAGGER_MS).await;
    }
}

async fn act_beside(routed: &mut RoutedFleet, beside: Beside, stall_ms: u64) {
    if let Some(at_ms) = beside.stop_at_ms(stall_ms) {
        sleep_ms(at_ms).await;
        routed.routers[usize::from(STOPPED)].terminate();
        return;
    }
    let span_ms = STALL_AT_MS + stall_ms + STREAM_MS;
    for version in 0..usize::try_from(span_ms / CHANGE_MS).unwrap() {
        match beside {
            Beside::Versions => {
                routed.write_version(version).await;
            }
            Beside::Reloads => routed.routers.iter().for_each(|r| r.signal_reload()),
            _ => return,
        }
        sleep_ms(CHANGE_MS).await;
    }
}

/// Panics if some answers failed, with what the router logged about the first of them.
fn assert_none_failed(routed: &RoutedFleet, failed: &[&Answer], sent: usize) {
    let Some(first) = failed.first() else {
        return;
    };
    let logs = (0..routed.routers.len()).map(|i| routed.log(u8::try_from(i).unwrap()));
    let logs: Vec<String> = logs.collect();
    let lines = logs.iter().flat_map(|log| log.lines());
    let lines: Vec<&str> = lines.filter(|l| l.contains(&first.id)).collect();
    let lines = lines.join("\n");
    let count = failed.len();
    panic!("{count} of {sent} failed; the first: {first:?}\n{lines}");
}

/// Every process stands still with requests in flight. Afterwards timers have run out at each router
/// while the events that it waits for arrive, and a router that trusts its timers breaks off streams
/// and calls of upstreams that are as sound as itself.
#[test_case(1_400, 36, Order::RoutersFirst, Beside::Nothing; "short stall, routers first")]
#[test_case(1_400, 100, Order::RoutersLongest, Beside::Nothing; "short stall, routers longest")]
#[test_case(2_400, 36, Order::RoutersLongest, Beside::Nothing; "long stall, routers longest")]
#[test_case(2_400, 100, Order::UpstreamsFirst, Beside::Nothing; "long stall, upstreams first")]
#[test_case(1_400, 100, Order::UpstreamsFirst, Beside::StopBefore; "planned stop before a short stall")]
#[test_case(2_400, 36, Order::RoutersFirst, Beside::StopBefore; "planned stop before a long stall")]
#[test_case(1_400, 36, Order::RoutersLongest, Beside::StopWithin; "planned stop within a short stall")]
#[test_case(2_400, 100, Order::RoutersFirst, Beside::StopWithin; "planned stop within a long stall")]
#[test_case(1_400, 36, Order::UpstreamsFirst, Beside::StopAfter; "planned stop after a short stall")]
#[test_case(2_400, 100, Order::RoutersLongest, Beside::StopAfter; "planned stop after a long stall")]
#[test_case(1_400, 36, Order::RoutersFirst, Beside::Versions; "versions beside a short stall")]
#[test_case(2_400, 100, Order::UpstreamsFirst, Beside::Versions; "versions beside a long stall")]
#[test_case(1_400, 100, Order::RoutersLongest, Beside::Reloads; "reloads beside a short stall")]
#[test_case(2_400, 36, Order::RoutersFirst, Beside::Reloads; "reloads beside a long stall")]
#[compio::test]
async fn requests_are_answered_after_a_stall(
    stall_ms: u64,
    event_ms: u64,
    order: Order,
    beside: Beside,
) {
    let events = STREAM_MS / event_ms;
    let size = FleetSize {
        routers: 2,
        upstreams: 4,
        retry_burst: Some(RETRY_BURST),
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    routed.upstream_knobs(json!({ "delay_ms": event_ms })).await;
    let (router, other) = (routed.caller(STOPPED), routed.caller(STOPPED + 1));
    let body = events.to_string();
    let streams = join_all((0..STREAMS).map(|_| send(router, "/resumed/stream", &body)));
    let calls_ms = STALL_AT_MS + stall_ms + CALLS_AFTER_MS;
    let used_ms = beside.stop_at_ms(stall_ms).map(|at| at + LEAVING_MS);
    let used_ms = used_ms.unwrap_or(calls_ms).min(calls_ms);
    let calls = join(send_calls(router, used_ms), send_calls(other, calls_ms));
    let stall = stall(orders(&routed, order), stall_ms);
    let trouble = join(stall, act_beside(&mut routed, beside, stall_ms));
    let ((streams, calls), _) = join(join(streams, calls), trouble).await;
    let failed: Vec<&Answer> = streams
        .iter()
        .filter(|s| !s.has_all_events(events))
        .collect();
    assert_none_failed(&routed, &failed, streams.len());
    let calls: Vec<Answer> = calls.0.into_iter().chain(calls.1).collect();
    let failed: Vec<&Answer> = calls.iter().filter(|c| !c.is_whole()).collect();
    assert_none_failed(&routed, &failed, calls.len());
}
