//! Compares the responses that callers received with the runs that upstreams recorded.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use serde_json::Value;
use standins::backend::Run;

use crate::callers::RequestRecord;
use crate::outages::{Outage, Outages};
use crate::support::routed::RoutedFleet;
use crate::support::{Received, sleep_ms};

/// Time within which every router must serve again after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Number of consecutive requests that each router must serve by then.
const REQUIRED_SUCCESSES: u32 = 10;
/// Statuses that guarantee that the request did not run and will not run later.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// The fleet's retry limits: runs may exceed requests by this share of the requests plus the burst.
const RETRY_SHARE: f64 = 0.2;
const RETRY_BURST: f64 = 50.0;

/// Checks that every router serves again soon after the last fault.
pub(crate) async fn recovery(routed: &RoutedFleet) -> Vec<String> {
    let mut violations = Vec::new();
    for i in 0..routed.routers.len() {
        let i = u8::try_from(i).unwrap_or_default();
        let until = Instant::now() + RECOVERY_TIMEOUT;
        let mut successes = 0;
        let mut last = None;
        while successes < REQUIRED_SUCCESSES && Instant::now() < until {
            let (_, received) = routed.call(i, "/get/1", "1").await;
            last = received.as_ref().map(|r| r.status);
            successes = if last == Some(200) { successes + 1 } else { 0 };
            sleep_ms(50).await;
        }
        if successes < REQUIRED_SUCCESSES {
            violations.push(format!("router {i} did not recover; last status {last:?}"));
        }
    }
    violations
}

/// Checks every guarantee that is visible to callers and upstreams.
pub(crate) fn check(
    routed: &RoutedFleet,
    records: &[RequestRecord],
    outages: &Outages,
) -> Vec<String> {
    let runs = routed.runs();
    let mut violations = Vec::new();
    let mut extra_runs = 0;
    for record in records {
        let request_runs = runs.get(&record.id).map_or(&[][..], Vec::as_slice);
        extra_runs += request_runs.len().saturating_sub(1);
        violations.extend(
            request_violations(record, request_runs)
                .into_iter()
                .map(|violation| format!("{}: {violation}", record.id)),
        );
    }
    let max_extra_runs = records.len() as f64 * RETRY_SHARE + RETRY_BURST;
    if extra_runs as f64 > max_extra_runs {
        violations.push(format!(
            "{extra_runs} runs beyond the first for {} requests",
            records.len()
        ));
    }
    violations.extend(version_regressions(routed, outages));
    violations
}

fn request_violations(record: &RequestRecord, runs: &[Run]) -> Vec<String> {
    let mut violations = Vec::new();
    if record.kind.is_at_most_once() && runs.len() > 1 {
        violations.push(format!("{:?} ran {} times", record.kind, runs.len()));
    }
    if runs
        .iter()
        .any(|r| r.account != "workshop" || r.had_key || r.body != record.body)
    {
        violations.push(
            "ran with a changed body, for another account or with the caller's key".to_owned(),
        );
    }
    let Some(received) = &record.received else {
        return violations;
    };
    if matches!(received.status, 401 | 403 | 404) {
        violations.push(format!("rejected with status {}", received.status));
    }
    if record.kind.is_at_most_once()
        && NOT_RUN_STATUSES.contains(&received.status)
        && !runs.is_empty()
    {
        violations.push(format!(
            "{:?} got status {}, but ran",
            record.kind, received.status
        ));
    }
    if received.status == 200 && received.complete {
        violations.extend(wrong_answer(record, received, runs));
    }
    violations
}

fn wrong_answer(record: &RequestRecord, received: &Received, runs: &[Run]) -> Option<String> {
    if received.header("attempt-id") != record.id {
        return Some("got the response to another request".to_owned());
    }
    if received.header("server-signature").is_empty() || runs.is_empty() {
        return Some("got a success that no upstream sent".to_owned());
    }
    if !record.kind.is_stream() {
        let echo = format!("\"echo\":\"{}\"", record.body);
        return (!received.body.contains(&echo)).then(|| format!("wrong body {}", received.body));
    }
    let last: u32 = record.body.parse().unwrap_or(0);
    let expected: Vec<String> = (1..=last).map(|n| format!("{n} of {last}")).collect();
    (received.data() != expected).then(|| {
        format!(
            "stream of {last} events ended normally with other events: {:?}",
            received.data()
        )
    })
}

/// Finds routers whose version in force decreased without a restart.
fn version_regressions(routed: &RoutedFleet, outages: &Outages) -> Vec<String> {
    const VERSION_PREFIX: &str = "\"message\":\"configuration ";
    let mut violations = Vec::new();
    for i in 0..routed.routers.len() {
        // A new process may have a configuration before it logs its start.
        let down = outages.of(Outage::RouterDown(i));
        let mut last = 0;
        let mut last_start = 0;
        for line in routed.log(u8::try_from(i).unwrap_or_default()).lines() {
            let Some(at) = line.find(VERSION_PREFIX) else {
                continue;
            };
            let start = down.iter().skip(1).filter(|s| s.to_ms <= at_ms(line));
            let start = start.count();
            if start != last_start {
                (last, last_start) = (0, start);
            }
            let rest = &line[at + VERSION_PREFIX.len()..];
            let version: u64 = rest
                .split(' ')
                .next()
                .and_then(|v| v.parse().ok())
                .unwrap_or(0);
            if rest.contains("in force") && version < last {
                violations.push(format!(
                    "router {i} went back from version {last} to {version}"
                ));
            }
            last = last.max(version);
        }
    }
    violations
}

/// The time of a router's log line, in Unix milliseconds.
fn at_ms(line: &str) -> u64 {
    let line: Value = serde_json::from_str(line).unwrap_or_default();
    line["at_ms"].as_u64().unwrap_or(0)
}

/// Summarises the outcomes of all requests in one line.
pub(crate) fn summary(records: &[RequestRecord]) -> String {
    let count = |predicate: &dyn Fn(&RequestRecord) -> bool| {
        records.iter().filter(|t| predicate(t)).count()
    };
    let statuses: HashSet<u16> = records
        .iter()
        .filter_map(|t| Some(t.received.as_ref()?.status))
        .collect();
    let mut statuses: Vec<u16> = statuses.into_iter().collect();
    statuses.sort_unstable();
    let mut parts = vec![format!("{} requests", records.len())];
    for status in statuses {
        let matching = count(&|t| {
            t.received
                .as_ref()
                .is_some_and(|r| r.status == status && r.complete)
        });
        parts.push(format!("{matching} with {status}"));
    }
    parts.push(format!(
        "{} cut",
        count(&|t| t.received.as_ref().is_some_and(|r| !r.complete))
    ));
    parts.push(format!(
        "{} without a response",
        count(&|t| t.received.is_none())
    ));
    parts.join(", ")
}
