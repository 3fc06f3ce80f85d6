//! Checks that configurations and departures of upstreams are in force in time, measured from the
//! store's acknowledgement.

use std::collections::{BTreeMap, HashMap};

use standins::backend::{Arrival, Run};

use crate::callers::RequestRecord;
use crate::lost_answers::APPLY_BOUND_MS;
use crate::notices::index_of;
use crate::operator::{Evacuation, Version, account_of};
use crate::outages::{Outage, Outages, Span};
use crate::probes::ProbeRecord;
use crate::restored;
use crate::support::routed::RoutedFleet;

/// Time after the acknowledgement of a departure from which no request reaches the upstream.
pub(crate) const DRAIN_BOUND_MS: u64 = 2_000;
/// Time after a router showed the effect of a version from which it never goes back behind it.
const REVERT_BOUND_MS: u64 = 250;
/// The same bound while the router is short of processor.
const SHORT_REVERT_BOUND_MS: u64 = 2_000;
/// Time before a request for which its violation lists the router's outages.
const CONTEXT_MS: u64 = 5_000;
/// Statuses with which a router refuses what its configuration doesn't allow.
const REFUSED_STATUSES: [u16; 3] = [401, 403, 404];

/// What a run recorded.
pub(crate) struct Evidence<'a> {
    pub(crate) seed: u64,
    pub(crate) routed: &'a RoutedFleet,
    pub(crate) requests: &'a [RequestRecord],
    pub(crate) probes: &'a [ProbeRecord],
    pub(crate) versions: &'a [Version],
    pub(crate) evacuations: &'a [Evacuation],
    pub(crate) outages: &'a Outages,
}

/// Violations of one promise, and how many requests it was checked on.
#[derive(Default)]
pub(crate) struct Finding {
    name: &'static str,
    pub(crate) violations: Vec<String>,
    pub(crate) checked: usize,
    /// Requests at routers that are excused.
    pub(crate) excused: usize,
    /// Requests within the bound of a change.
    pub(crate) in_between: usize,
    /// Longest time from a change to a request that was handled as before it.
    longest_ms: u64,
    longest_excused_ms: u64,
}

impl Finding {
    pub(crate) fn new(name: &'static str) -> Self {
        Self {
            name,
            ..Self::default()
        }
    }

    pub(crate) fn saw_late(&mut self, late_ms: u64, is_excused: bool) {
        let longest = if is_excused {
            &mut self.longest_excused_ms
        } else {
            &mut self.longest_ms
        };
        *longest = late_ms.max(*longest);
    }

    /// One line on the outcome.
    pub(crate) fn summary(&self) -> String {
        format!(
            "{}: {} violations; {} checked, {} excused, {} in between; longest {} ms, excused {} ms",
            self.name,
            self.violations.len(),
            self.checked,
            self.excused,
            self.in_between,
            self.longest_ms,
            self.longest_excused_ms
        )
    }
}

/// Checks every promise.
pub(crate) fn check(evidence: &Evidence<'_>) -> Vec<Finding> {
    let arrivals = arrivals(evidence.routed);
    let runs = evidence.routed.runs();
    let decisions = decisions(evidence, &arrivals, &runs);
    vec![
        departures(evidence, &arrivals),
        restored::evacuations(evidence, &arrivals),
        restored::refusals(evidence),
        in_force(evidence, &decisions),
        stays_in_force(evidence, &decisions),
        lasting_denied(evidence),
        accounts(evidence, &runs),
    ]
}

/// All arrivals with the index of their upstream.
fn arrivals(routed: &RoutedFleet) -> Vec<(usize, Arrival)> {
    let upstreams = 0..routed.upstreams.len();
    let all = upstreams.flat_map(|i| {
        let arrivals = routed.arrivals(u8::try_from(i).unwrap_or_default());
        arrivals.into_iter().map(move |arrival| (i, arrival))
    });
    all.collect()
}

/// A request's router and the Unix times at which it was sent and ended.
#[derive(Clone, Copy)]
pub(crate) struct Sent {
    pub(crate) router: usize,
    pub(crate) sent_ms: u64,
    pub(crate) ended_ms: u64,
}

/// All requests by id.
pub(crate) fn sent_by_id<'a>(evidence: &'a Evidence<'_>) -> HashMap<&'a str, Sent> {
    let requests = evidence.requests.iter().filter_map(|r| {
        let sent = Sent {
            router: index_of(evidence.routed, r)?,
            sent_ms: r.sent_ms,
            ended_ms: r.ended_ms,
        };
        Some((r.id.as_str(), sent))
    });
    let probes = evidence.probes.iter().map(|p| {
        let sent = Sent {
            router: p.router,
            sent_ms: p.sent_ms,
            ended_ms: p.ended_ms,
        };
        (p.id.as_str(), sent)
    });
    requests.chain(probes).collect()
}

/// A period in which the store held no `ready` entry of an upstream that had one before.
struct NotReady {
    span: Span,
    /// Whether it began with the removal of the entry, otherwise with a `draining` entry.
    is_removed: bool,
}

/// The periods in which the store held no `ready` entry, by the upstream's id.
fn not_ready(routed: &RoutedFleet) -> HashMap<String, Vec<NotReady>> {
    let mut periods: HashMap<String, Vec<NotReady>> = HashMap::new();
    for change in routed.entry_changes() {
        let known = periods.entry(change.entry).or_default();
        let open = known.last_mut().filter(|p| p.span.to_ms == u64::MAX);
        match (open, change.state.as_str()) {
            (Some(period), "ready") => period.span.to_ms = change.stored_ms,
            (None, "draining" | "") => known.push(NotReady {
                span: Span {
                    from_ms: change.stored_ms,
                    to_ms: u64::MAX,
                },
                is_removed: change.state.is_empty(),
            }),
            _ => {}
        }
    }
    periods
}

/// No request reaches an upstream long after the store held its departure.
fn departures(evidence: &Evidence<'_>, arrivals: &[(usize, Arrival)]) -> Finding {
    let mut finding = Finding::new("departures");
    let sent_by_id = sent_by_id(evidence);
    let periods = not_ready(evidence.routed);
    for (upstream, arrival) in arrivals {
        let Some(sent) = sent_by_id.get(arrival.request_id.as_str()) else {
            continue;
        };
        let known = periods.get(&arrival.arrived_at);
        let mut known = known.into_iter().flatten();
        let is_during = |span: Span| span.from_ms < arrival.at_ms && arrival.at_ms < span.to_ms;
        let Some(NotReady { span, is_removed }) = known.find(|p| is_during(p.span)) else {
            continue;
        };
        let late_ms = arrival.at_ms - span.from_ms;
        // A frozen or silent upstream records what reached it once it goes on.
        let is_excused = restored::excuses(evidence.outages, *sent, span.from_ms, arrival.at_ms)
            || evidence
                .outages
                .is_stopped(*upstream, sent.sent_ms, arrival.at_ms)
            || evidence.outages.store_is_unstable(span.from_ms);
        finding.saw_late(late_ms, is_excused);
        if late_ms > DRAIN_BOUND_MS && !is_excused {
            finding.violations.push(format!(
                "seed {} departures {}: from router {} reached upstream {} {late_ms} ms after the store \
                 held {}, sent at {:+} ms; outages: {}",
                evidence.seed,
                arrival.request_id,
                sent.router,
                arrival.arrived_at,
                if *is_removed { "no entry of it" } else { "its draining" },
                i128::from(sent.sent_ms) - i128::from(span.from_ms),
                context(evidence, *sent, span.from_ms),
            ));
        }
    }
    count_departures(evidence, &sent_by_id, &mut finding);
    finding
}

/// Counts requests that could have reached an upstream which was leaving and still served.
fn count_departures(
    evidence: &Evidence<'_>,
    sent_by_id: &HashMap<&str, Sent>,
    finding: &mut Finding,
) {
    let upstreams = 0..evidence.routed.upstreams.len();
    let leaving: Vec<Span> = upstreams
        .flat_map(|i| evidence.outages.of(Outage::UpstreamLeaving(i)))
        .collect();
    for sent in sent_by_id.values() {
        let mut spans = leaving.iter();
        let during =
            spans.any(|s| s.from_ms + DRAIN_BOUND_MS < sent.sent_ms && sent.sent_ms < s.to_ms);
        let is_near = leaving
            .iter()
            .any(|s| s.overlaps(sent.sent_ms, sent.ended_ms));
        if !during {
            finding.in_between += usize::from(is_near);
        } else if evidence
            .outages
            .excuses(sent.router, sent.sent_ms, sent.ended_ms)
        {
            finding.excused += 1;
        } else {
            finding.checked += 1;
        }
    }
}

/// What a router did with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Handling {
    Ran,
    Refused(u16),
}

/// A request whose handling depends on the version in force.
struct Decision<'a> {
    probe: &'a ProbeRecord,
    handling: Handling,
    /// Unix time by which it was handled.
    ended_ms: u64,
}

impl Decision<'_> {
    fn sent(&self) -> Sent {
        Sent {
            router: self.probe.router,
            sent_ms: self.probe.sent_ms,
            ended_ms: self.ended_ms,
        }
    }

    fn is_as(&self, version: &Version) -> bool {
        let allows = version.allows(self.probe.route, self.probe.key);
        allows == (self.handling == Handling::Ran)
    }

    /// Number of versions sent before it was handled.
    fn sent_versions(&self, versions: &[Version]) -> usize {
        versions.partition_point(|v| v.sent_ms <= self.ended_ms)
    }

    fn describe(&self) -> String {
        let probe = self.probe;
        let (route, key) = (name(probe.route), name(probe.key));
        let took_ms = self.ended_ms - probe.sent_ms;
        format!(
            "router {}, route {route}, key {key}, {:?} within {took_ms} ms",
            probe.router, self.handling
        )
    }
}

fn name(number: Option<usize>) -> String {
    number.map_or_else(|| "lasting".to_owned(), |n| n.to_string())
}

/// The requests on changing routes or with changing keys that ran or were refused.
fn decisions<'a>(
    evidence: &Evidence<'a>,
    arrivals: &[(usize, Arrival)],
    runs: &HashMap<String, Vec<Run>>,
) -> Vec<Decision<'a>> {
    let mut arrived: HashMap<&str, u64> = HashMap::new();
    for (_, arrival) in arrivals {
        let at_ms = arrived.entry(arrival.request_id.as_str()).or_default();
        *at_ms = arrival.at_ms.max(*at_ms);
    }
    let changing = evidence.probes.iter();
    let changing = changing.filter(|p| p.route.is_some() || p.key.is_some());
    let decisions = changing.filter_map(|probe| {
        let handling = if probe.is_signed || runs.contains_key(&probe.id) {
            Handling::Ran
        } else {
            let status = probe.status.filter(|s| REFUSED_STATUSES.contains(s))?;
            Handling::Refused(status)
        };
        let arrived_ms = arrived.get(probe.id.as_str()).copied().unwrap_or(0);
        Some(Decision {
            probe,
            handling,
            ended_ms: probe.ended_ms.max(arrived_ms),
        })
    });
    decisions.collect()
}

/// No request is handled as only versions allow that were replaced long ago.
fn in_force(evidence: &Evidence<'_>, decisions: &[Decision<'_>]) -> Finding {
    let mut finding = Finding::new("versions in force");
    for decision in decisions {
        let sent = decision.sent();
        let is_excused = evidence
            .outages
            .excuses(sent.router, sent.sent_ms, sent.ended_ms);
        if is_excused {
            finding.excused += 1;
        } else if is_decidable(evidence.versions, decision) {
            finding.checked += 1;
        } else {
            finding.in_between += 1;
        }
        let Some((version, late_ms)) = late_by(evidence.versions, decision) else {
            continue;
        };
        finding.saw_late(late_ms, is_excused);
        if late_ms > APPLY_BOUND_MS && !is_excused {
            finding.violations.push(format!(
                "seed {} versions in force {}: {}, sent {late_ms} ms after version {} was acknowledged, \
                 against it and all later ones; outages: {}",
                evidence.seed,
                decision.probe.id,
                decision.describe(),
                version.version,
                context(evidence, sent, version.acked_ms),
            ));
        }
    }
    finding
}

/// Whether all versions that may be in force agree on the request.
fn is_decidable(versions: &[Version], decision: &Decision<'_>) -> bool {
    let sent_ms = decision.probe.sent_ms;
    let is_applied = |v: &Version| v.acked_ms.saturating_add(APPLY_BOUND_MS) < sent_ms;
    let from = versions.iter().rposition(is_applied).unwrap_or(0);
    let possible = &versions[from..decision.sent_versions(versions).max(from + 1)];
    let first = decision.is_as(&possible[0]);
    possible.iter().all(|v| decision.is_as(v) == first)
}

/// The oldest version such that it and all later ones contradict the request's handling, and the
/// time from its acknowledgement to the request.
fn late_by<'a>(versions: &'a [Version], decision: &Decision<'_>) -> Option<(&'a Version, u64)> {
    let sent = &versions[..decision.sent_versions(versions)];
    let older = sent.iter().rposition(|v| decision.is_as(v));
    let first = sent.get(older.map_or(0, |at| at + 1))?;
    let late_ms = decision.probe.sent_ms.checked_sub(first.acked_ms)?;
    Some((first, late_ms))
}

/// The oldest version that explains all that a process of a router showed up to a time.
#[derive(Clone, Copy)]
struct Shown {
    at_ms: u64,
    version: usize,
}

/// Once a process of a router showed a version, it never handles a request as only older ones allow.
fn stays_in_force(evidence: &Evidence<'_>, decisions: &[Decision<'_>]) -> Finding {
    let mut finding = Finding::new("versions stay");
    let mut by_process: BTreeMap<(usize, usize), Vec<&Decision<'_>>> = BTreeMap::new();
    for decision in decisions {
        let sent = decision.sent();
        let down = evidence.outages.of(Outage::RouterDown(sent.router));
        if down.iter().any(|s| s.overlaps(sent.sent_ms, sent.ended_ms)) {
            // Which process handled it is unknown.
            finding.excused += 1;
            continue;
        }
        let start = down.iter().filter(|s| s.to_ms < sent.sent_ms).count();
        by_process
            .entry((sent.router, start))
            .or_default()
            .push(decision);
    }
    for process in by_process.values_mut() {
        process.sort_by_key(|d| d.ended_ms);
        let mut shown: Vec<Shown> = Vec::new();
        for decision in process.iter() {
            check_stays(evidence, decision, &mut shown, &mut finding);
        }
    }
    finding
}

/// Checks one request against what its process showed before, and adds what it shows.
fn check_stays(
    evidence: &Evidence<'_>,
    decision: &Decision<'_>,
    shown: &mut Vec<Shown>,
    finding: &mut Finding,
) {
    let sent = decision.sent();
    let is_short = evidence.outages.is_short(
        sent.router,
        sent.sent_ms.saturating_sub(SHORT_REVERT_BOUND_MS),
        sent.ended_ms,
    );
    let bound_ms = if is_short {
        SHORT_REVERT_BOUND_MS
    } else {
        REVERT_BOUND_MS
    };
    let sent_versions = &evidence.versions[..decision.sent_versions(evidence.versions)];
    let newest_as = sent_versions.iter().rposition(|v| decision.is_as(v));
    let contradicts = |s: &Shown| newest_as.is_none_or(|newest| newest < s.version);
    let before = shown.partition_point(|s| s.at_ms < sent.sent_ms);
    // Versions shown only rise, so the first contradiction is the oldest.
    if let Some(first) = shown[..before].iter().find(|s| contradicts(s)) {
        let late_ms = sent.sent_ms - first.at_ms;
        finding.saw_late(late_ms, false);
        if late_ms > bound_ms {
            let version = &evidence.versions[first.version];
            finding.violations.push(format!(
                "seed {} versions stay {}: {}, sent {late_ms} ms after the router showed version {} \
                 and {} ms after its acknowledgement, bound {bound_ms} ms; outages: {}",
                evidence.seed,
                decision.probe.id,
                decision.describe(),
                version.version,
                i128::from(sent.sent_ms) - i128::from(version.acked_ms),
                context(evidence, sent, version.acked_ms),
            ));
        }
        return;
    }
    let settled = shown.partition_point(|s| s.at_ms + bound_ms < sent.sent_ms);
    let floor = shown[..settled].last().map_or(0, |s| s.version);
    if floor > 0 {
        finding.checked += 1;
    } else {
        finding.in_between += 1;
    }
    let explains = sent_versions.iter().enumerate().skip(floor);
    let Some((version, _)) = explains.into_iter().find(|(_, v)| decision.is_as(v)) else {
        return;
    };
    if shown.last().is_none_or(|s| s.version < version) {
        shown.push(Shown {
            at_ms: sent.ended_ms,
            version,
        });
    }
}

/// What every version allows is never refused, by any router.
fn lasting_denied(evidence: &Evidence<'_>) -> Finding {
    let mut finding = Finding::new("lasting routes");
    let lasting = evidence.probes.iter();
    let lasting = lasting.filter(|p| p.route.is_none() && p.key.is_none());
    for probe in lasting {
        finding.checked += 1;
        let refused = probe.status.filter(|s| REFUSED_STATUSES.contains(s));
        let Some(status) = refused.filter(|_| !probe.is_signed) else {
            continue;
        };
        let sent = Sent {
            router: probe.router,
            sent_ms: probe.sent_ms,
            ended_ms: probe.ended_ms,
        };
        finding.violations.push(format!(
            "seed {} lasting routes {}: router {} answered {status}; outages relative to the \
             request: {}",
            evidence.seed,
            probe.id,
            probe.router,
            context(evidence, sent, sent.sent_ms),
        ));
    }
    finding
}

/// Requests run for the account of their key, and without the key.
fn accounts(evidence: &Evidence<'_>, runs: &HashMap<String, Vec<Run>>) -> Finding {
    let mut finding = Finding::new("accounts");
    for probe in evidence.probes {
        let account = account_of(probe.key);
        for run in runs.get(&probe.id).into_iter().flatten() {
            finding.checked += 1;
            if run.account != account || run.had_key {
                finding.violations.push(format!(
                    "seed {} accounts {}: router {} sent it for account {:?} instead of {account:?}, \
                     with the caller's key: {}",
                    evidence.seed, probe.id, probe.router, run.account, run.had_key
                ));
            }
        }
    }
    finding
}

/// The outages of a request's router around it, relative to an acknowledgement.
pub(crate) fn context(evidence: &Evidence<'_>, sent: Sent, acked_ms: u64) -> String {
    let from_ms = sent.sent_ms.saturating_sub(CONTEXT_MS);
    evidence
        .outages
        .describe(sent.router, from_ms, sent.ended_ms, acked_ms)
}
