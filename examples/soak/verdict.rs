//! What callers were told, held against what upstreams recorded.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use standins::backend::Run;

use crate::callers::Told;
use crate::support::routed::RoutedFleet;
use crate::support::{Received, sleep_ms};

/// All must flow again this long after the last fault's end.
const RECOVERY: Duration = Duration::from_secs(12);
/// Requests that each router must serve in a row by then.
const IN_A_ROW: u32 = 10;
/// Answers that promise that the request didn't run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Share of the requests by which runs may exceed them, and runs beyond that: the fleet's limits.
const RETRY_SHARE: f64 = 0.2;
const RETRY_BURST: f64 = 50.0;

/// Every router serves again soon after the last fault.
pub(crate) async fn recovery(routed: &RoutedFleet) -> Vec<String> {
    let mut found = Vec::new();
    for i in 0..routed.routers.len() {
        let i = u8::try_from(i).unwrap_or_default();
        let until = Instant::now() + RECOVERY;
        let mut in_a_row = 0;
        let mut last = None;
        while in_a_row < IN_A_ROW && Instant::now() < until {
            let (_, received) = routed.call(i, "/get/1", "1").await;
            last = received.as_ref().map(|r| r.status);
            in_a_row = if last == Some(200) { in_a_row + 1 } else { 0 };
            sleep_ms(50).await;
        }
        if in_a_row < IN_A_ROW {
            found.push(format!(
                "router {i} doesn't serve again, last answer {last:?}"
            ));
        }
    }
    found
}

/// Every promise that callers and upstreams can see.
pub(crate) fn check(routed: &RoutedFleet, told: &[Told]) -> Vec<String> {
    let runs = routed.runs();
    let mut found = Vec::new();
    let mut extra = 0;
    for one in told {
        let own = runs.get(&one.id).map_or(&[][..], Vec::as_slice);
        extra += own.len().saturating_sub(1);
        found.extend(
            faults(one, own)
                .into_iter()
                .map(|f| format!("{}: {f}", one.id)),
        );
    }
    let most = told.len() as f64 * RETRY_SHARE + RETRY_BURST;
    if extra as f64 > most {
        found.push(format!(
            "{extra} runs beyond the first, of {} requests",
            told.len()
        ));
    }
    found.extend(versions_step_back(routed));
    found
}

fn faults(one: &Told, runs: &[Run]) -> Vec<String> {
    let mut found = Vec::new();
    if one.ask.runs_once() && runs.len() > 1 {
        found.push(format!("{:?} ran {} times", one.ask, runs.len()));
    }
    if runs
        .iter()
        .any(|r| r.account != "workshop" || r.had_key || r.body != one.body)
    {
        found.push("ran changed, for another account or with its key".to_owned());
    }
    let Some(received) = &one.received else {
        return found;
    };
    if received.status == 401 || received.status == 404 {
        found.push(format!("denied with {}", received.status));
    }
    if one.ask.runs_once() && PROMISES.contains(&received.status) && !runs.is_empty() {
        found.push(format!("{:?} told {}, and ran", one.ask, received.status));
    }
    if received.status == 200 && received.complete {
        found.extend(wrong_answer(one, received, runs));
    }
    found
}

fn wrong_answer(one: &Told, received: &Received, runs: &[Run]) -> Option<String> {
    if received.header("attempt-id") != one.id {
        return Some("got another request's answer".to_owned());
    }
    if received.header("server-signature").is_empty() || runs.is_empty() {
        return Some("got a success that no upstream gave".to_owned());
    }
    if !one.ask.is_stream() {
        let echo = format!("\"echo\":\"{}\"", one.body);
        return (!received.body.contains(&echo)).then(|| format!("wrong body {}", received.body));
    }
    let last: u32 = one.body.parse().unwrap_or(0);
    let wanted: Vec<String> = (1..=last).map(|n| format!("{n} of {last}")).collect();
    (received.data() != wanted)
        .then(|| format!("stream of {last} looks whole: {:?}", received.data()))
}

/// Within one process, a version in force never gives way to an older one.
fn versions_step_back(routed: &RoutedFleet) -> Vec<String> {
    const MARK: &str = "\"message\":\"configuration ";
    let mut found = Vec::new();
    for i in 0..routed.routers.len() {
        let mut last = 0;
        for line in routed.log(u8::try_from(i).unwrap_or_default()).lines() {
            if line.contains("\"message\":\"started, ") {
                last = 0;
            }
            let Some(at) = line.find(MARK) else { continue };
            let rest = &line[at + MARK.len()..];
            let version: u64 = rest
                .split(' ')
                .next()
                .and_then(|v| v.parse().ok())
                .unwrap_or(0);
            if rest.contains("in force") && version < last {
                found.push(format!("router {i} went from version {last} to {version}"));
            }
            last = last.max(version);
        }
    }
    found
}

/// How the requests ended, in one line.
pub(crate) fn summary(told: &[Told]) -> String {
    let count = |is: &dyn Fn(&Told) -> bool| told.iter().filter(|t| is(t)).count();
    let statuses: HashSet<u16> = told
        .iter()
        .filter_map(|t| Some(t.received.as_ref()?.status))
        .collect();
    let mut statuses: Vec<u16> = statuses.into_iter().collect();
    statuses.sort_unstable();
    let mut parts = vec![format!("{} requests", told.len())];
    for status in statuses {
        let with = count(&|t| {
            t.received
                .as_ref()
                .is_some_and(|r| r.status == status && r.complete)
        });
        parts.push(format!("{with} with {status}"));
    }
    parts.push(format!(
        "{} cut",
        count(&|t| t.received.as_ref().is_some_and(|r| !r.complete))
    ));
    parts.push(format!(
        "{} without an answer",
        count(&|t| t.received.is_none())
    ));
    parts.join(", ")
}
