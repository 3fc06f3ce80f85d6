//! Finds answers that routers lost around stops, reloads and versions, from what callers and upstreams
//! saw, and what the routers' logs say of them.

use std::collections::{HashMap, HashSet};

use serde_json::Value;
use standins::backend::{Arrival, RunEnd};

use crate::lost_answers::{self, Beside, History, Period, Request, Work};
use crate::notices::index_of;
use crate::outages::Span;
use crate::probes;
use crate::promises::{Evidence, Finding, Sent, context};
use crate::support::routed::{ROUTE_TIMEOUT_MS, RoutedFleet};

/// A request by its id, and what it asked for.
struct Ended<'a> {
    id: &'a str,
    what: String,
    request: Request,
}

/// No answer is lost around a stop, a reload or a version.
pub(crate) fn check(evidence: &Evidence<'_>) -> Finding {
    let mut finding = Finding::new("losses");
    let history = history(evidence);
    let ended = ended(evidence);
    let requests: Vec<Request> = ended.iter().map(|e| e.request.clone()).collect();
    for request in &requests {
        if history.judges(request) {
            finding.checked += 1;
        } else {
            finding.excused += usize::from(!request.is_answered);
        }
    }
    for (index, beside) in lost_answers::lost(&requests, &history) {
        finding
            .violations
            .push(describe(evidence, &ended[index], beside));
    }
    finding
}

fn history(evidence: &Evidence<'_>) -> History {
    let outages = evidence.outages;
    let versions = evidence.versions.iter().map(|version| Period {
        from_ms: version.sent_ms,
        to_ms: version.acked_ms,
    });
    History {
        disruptions: outages.disruptions().into_iter().map(period).collect(),
        stops: outages.stops(),
        reloads: outages.reloads(),
        versions: versions.collect(),
    }
}

fn period(span: Span) -> Period {
    Period {
        from_ms: span.from_ms,
        to_ms: span.to_ms,
    }
}

fn ended<'a>(evidence: &'a Evidence<'_>) -> Vec<Ended<'a>> {
    let work = work(evidence.routed);
    let work_of = |id: &str| work.get(id).cloned().unwrap_or_default();
    let requests = evidence.requests.iter().filter_map(|record| {
        let request = Request {
            router: index_of(evidence.routed, record)?,
            sent_ms: record.sent_ms,
            ended_ms: record.ended_ms,
            limit_ms: record.limit_ms.min(ROUTE_TIMEOUT_MS),
            is_answered: record.received.as_ref().is_some_and(|r| r.complete),
            work: work_of(&record.id),
        };
        let what = format!("{:?} of {}", record.kind, record.body);
        let id = record.id.as_str();
        Some(Ended { id, what, request })
    });
    let deadline_ms = u64::try_from(probes::DEADLINE.as_millis()).unwrap_or(u64::MAX);
    let probes = evidence.probes.iter().map(|record| Ended {
        id: &record.id,
        what: format!("probe of route {:?}", record.route),
        request: Request {
            router: record.router,
            sent_ms: record.sent_ms,
            ended_ms: record.ended_ms,
            limit_ms: deadline_ms.min(ROUTE_TIMEOUT_MS),
            is_answered: record.is_complete,
            work: work_of(&record.id),
        },
    });
    requests.chain(probes).collect()
}

/// What upstreams did, by the id of the request.
fn work(routed: &RoutedFleet) -> HashMap<String, Vec<Work>> {
    let upstreams = 0..routed.upstreams.len();
    let last: HashSet<&String> = upstreams
        .filter_map(|i| {
            let prefix = format!("upstream-{i}-");
            let mut names = routed.upstream_names.iter();
            names.rfind(|name| name.starts_with(&prefix))
        })
        .collect();
    let mut work: HashMap<String, Vec<Work>> = HashMap::new();
    for name in &routed.upstream_names {
        let ends = routed.run_ends_at(name);
        for arrival in routed.arrivals_at(name) {
            let end = ends.iter().find(|end| is_of(end, &arrival));
            let done = Work {
                period: Period {
                    from_ms: arrival.at_ms,
                    to_ms: end.map_or(u64::MAX, |end| end.ended_ms),
                },
                // One that was killed broke off what it had not ended.
                is_broken_off: end.map_or(!last.contains(name), |end| end.was_spoilt),
            };
            work.entry(arrival.request_id).or_default().push(done);
        }
    }
    work
}

fn is_of(end: &RunEnd, arrival: &Arrival) -> bool {
    end.request_id == arrival.request_id && end.ended_ms >= arrival.at_ms
}

fn describe(evidence: &Evidence<'_>, ended: &Ended<'_>, beside: Beside) -> String {
    let Ended { id, what, request } = ended;
    let (change, before_ms) = match beside {
        Beside::Stop { before_ms } => ("SIGTERM", before_ms),
        Beside::Reload { before_ms } => ("SIGHUP", before_ms),
        Beside::Version { before_ms } => ("a version", before_ms),
    };
    let relative = |at_ms: u64| i128::from(at_ms) - i128::from(request.sent_ms);
    let work = request.work.iter().map(|w| {
        if w.period.to_ms == u64::MAX {
            format!("{:+}..", relative(w.period.from_ms))
        } else {
            format!(
                "{:+}..{:+}",
                relative(w.period.from_ms),
                relative(w.period.to_ms)
            )
        }
    });
    let work: Vec<String> = work.collect();
    let sent = Sent {
        router: request.router,
        sent_ms: request.sent_ms,
        ended_ms: request.ended_ms,
    };
    format!(
        "seed {} losses {id}: {what} ended at router {} without its answer after {} ms, at {}, {before_ms} \
         ms after {change}; at upstreams {work:?}; log: {}; outages relative to the request: {}",
        evidence.seed,
        request.router,
        relative(request.ended_ms),
        request.ended_ms,
        log_of(evidence.routed, request.router, id),
        context(evidence, sent, request.sent_ms),
    )
}

/// What the log of a router says of a request.
fn log_of(routed: &RoutedFleet, router: usize, id: &str) -> String {
    let log = routed.log(u8::try_from(router).unwrap_or_default());
    let lines = log.lines().filter(|line| line.contains(id));
    let events = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let texts: Vec<String> = events
        .filter(|event| event["request_id"] == *id)
        .map(|event| format!("{} {} {}", event["at_ms"], event["kind"], event["detail"]))
        .collect();
    if texts.is_empty() {
        "nothing".to_owned()
    } else {
        texts.join(", ")
    }
}
