//! Checks on what a restore of the store from an older copy lost, and on evacuations.

use standins::backend::Arrival;

use crate::outages::{Outage, Outages};
use crate::promises::{DRAIN_BOUND_MS, Evidence, Finding, Sent, context, sent_by_id};

/// Time after the acknowledgement of an evacuation from which no request reaches the data centre.
const EVACUATION_BOUND_MS: u64 = 2_000;
/// Time after a restore for which a departure that it lost stays in force.
const HELD_MS: u64 = 6_000;
/// Time after a restore for which refusals are checked.
const REFUSAL_MS: u64 = 6_000;
/// Time before the store's absence from which an available upstream is undisturbed.
const AVAILABLE_MS: u64 = 2_000;

/// The start of the store's absence before a restore that `at_ms` is shortly after, if a change that
/// the store held from `from_ms` was known by then. The restore is no reason to forget it.
pub(crate) fn held_since(outages: &Outages, from_ms: u64, at_ms: u64) -> Option<u64> {
    let known_ms = from_ms + DRAIN_BOUND_MS;
    if outages.store_is_unstable_in(from_ms, known_ms) {
        return None;
    }
    let restores = outages.restores();
    let mut after = restores.iter().filter(|away| away.from_ms > known_ms);
    let covering = after.find(|away| away.from_ms <= at_ms && at_ms <= away.to_ms + HELD_MS);
    covering.map(|away| away.from_ms)
}

/// Whether the bounds of a request's router don't hold for a change that the store held from `from_ms`.
pub(crate) fn excuses(outages: &Outages, sent: Sent, from_ms: u64, at_ms: u64) -> bool {
    match held_since(outages, from_ms, at_ms) {
        Some(away_ms) => outages.excuses_alone(sent.router, away_ms, at_ms),
        None => outages.excuses(sent.router, sent.sent_ms, at_ms),
    }
}

/// No request reaches a data centre long after its evacuation was acknowledged.
pub(crate) fn evacuations(evidence: &Evidence<'_>, arrivals: &[(usize, Arrival)]) -> Finding {
    let mut finding = Finding::new("evacuations");
    let sent_by_id = sent_by_id(evidence);
    for (upstream, arrival) in arrivals {
        let Some(sent) = sent_by_id.get(arrival.request_id.as_str()) else {
            continue;
        };
        let mut all = evidence.evacuations.iter();
        let is_during = |from_ms, to_ms| from_ms < arrival.at_ms && arrival.at_ms < to_ms;
        let evacuation =
            all.find(|e| e.data_center == upstream % 3 && is_during(e.acked_ms, e.undone_ms));
        let Some(evacuation) = evacuation else {
            finding.checked += 1;
            continue;
        };
        let late_ms = arrival.at_ms - evacuation.acked_ms;
        let is_excused = excuses(evidence.outages, *sent, evacuation.acked_ms, arrival.at_ms)
            || evidence
                .outages
                .is_stopped(*upstream, sent.sent_ms, arrival.at_ms);
        finding.saw_late(late_ms, is_excused);
        if is_excused {
            finding.excused += 1;
        } else if late_ms <= EVACUATION_BOUND_MS {
            finding.in_between += 1;
        } else {
            finding.violations.push(format!(
                "seed {} evacuations {}: from router {} reached upstream {upstream} ({}) {late_ms} ms \
                 after the evacuation of its data centre, sent at {:+} ms; outages: {}",
                evidence.seed,
                arrival.request_id,
                sent.router,
                arrival.arrived_at,
                i128::from(sent.sent_ms) - i128::from(evacuation.acked_ms),
                context(evidence, *sent, evacuation.acked_ms),
            ));
        }
    }
    finding
}

/// No request is refused for lack of upstreams after a restore while one is available.
pub(crate) fn refusals(evidence: &Evidence<'_>) -> Finding {
    let mut finding = Finding::new("refusals after restores");
    let restores = evidence.outages.restores();
    for probe in evidence.probes {
        let mut restores = restores.iter();
        let is_after = |from_ms, to_ms| from_ms <= probe.sent_ms && probe.sent_ms <= to_ms;
        let Some(away) = restores.find(|r| is_after(r.to_ms, r.to_ms + REFUSAL_MS)) else {
            continue;
        };
        let from_ms = away.from_ms.saturating_sub(AVAILABLE_MS);
        let available = available(evidence, from_ms, probe.ended_ms);
        let outages = evidence.outages;
        if available == 0 || outages.excuses_alone(probe.router, from_ms, probe.ended_ms) {
            finding.excused += 1;
            continue;
        }
        finding.checked += 1;
        if !probe.lacks_upstreams {
            continue;
        }
        let sent = Sent {
            router: probe.router,
            sent_ms: probe.sent_ms,
            ended_ms: probe.ended_ms,
        };
        finding.violations.push(format!(
            "seed {} refusals after restores {}: router {} had none of {available} available \
             upstreams {} ms after a restore; outages: {}",
            evidence.seed,
            probe.id,
            probe.router,
            probe.sent_ms - away.to_ms,
            context(evidence, sent, away.to_ms),
        ));
    }
    finding
}

/// Number of upstreams that were undisturbed, and not evacuated, in this period.
fn available(evidence: &Evidence<'_>, from_ms: u64, to_ms: u64) -> usize {
    let upstreams = 0..evidence.routed.upstreams.len();
    let is_evacuated = |i: usize| {
        let mut all = evidence.evacuations.iter();
        all.any(|e| e.data_center == i % 3)
    };
    let is_disturbed = |i: usize| {
        let kinds = [Outage::UpstreamLeaving(i), Outage::UpstreamFault(i)];
        let mut kinds = kinds.iter();
        let outages = evidence.outages;
        outages.is_stopped(i, from_ms, to_ms)
            || kinds.any(|kind| outages.has(*kind, from_ms, to_ms))
    };
    let available = upstreams.filter(|i| !is_evacuated(*i) && !is_disturbed(*i));
    available.count()
}
