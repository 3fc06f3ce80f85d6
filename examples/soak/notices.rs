//! Checks that no router sent requests to upstreams that had announced their shutdown to it, or had
//! asked it for a time without any.

use std::collections::HashMap;

use standins::backend::Arrival;

use crate::callers::RequestRecord;
use crate::faults::Interruptions;
use crate::support::routed::RoutedFleet;

/// Time within which a router must stop sending after it passed on the announcement of a shutdown.
const LEAVING_BOUND_MS: u64 = 2_000;
/// Time after an upstream asked for a time without requests from which they count.
const PUSHBACK_GRACE_MS: u64 = 500;
/// Number of requests that may reach an upstream in its time without any.
const MAX_IN_PUSHBACK: usize = 2;

/// One start of an upstream, as seen by one router.
type Pair = (usize, String, u64);

/// A request, the router that received it, and its arrival at an upstream.
struct Delivery<'a> {
    router: usize,
    upstream: usize,
    record: &'a RequestRecord,
    arrival: Arrival,
}

impl Delivery<'_> {
    fn pair(&self) -> Pair {
        let arrival = &self.arrival;
        (self.router, arrival.arrived_at.clone(), arrival.started_ms)
    }

    /// Time at which the caller had an answer of this upstream that announces its shutdown.
    fn announced_ms(&self) -> Option<u64> {
        let received = self.record.received.as_ref()?;
        let is_announced = received.header("server-leaving") == "1";
        let is_sender = received.header("server-signature") == self.arrival.arrived_at;
        (is_announced && is_sender).then_some(self.record.ended_ms)
    }
}

impl Interruptions {
    fn router_between(&self, router: usize, from_ms: u64, to_ms: u64) -> bool {
        let mut interruptions = self.routers.iter();
        interruptions.any(|(i, at_ms)| *i == router && (from_ms..=to_ms).contains(at_ms))
    }

    fn upstream_between(&self, upstream: usize, from_ms: u64, to_ms: u64) -> bool {
        let mut interruptions = self.upstreams.iter();
        interruptions.any(|(i, at_ms)| *i == upstream && (from_ms..=to_ms).contains(at_ms))
    }
}

/// Checks the requests of each router that reached each start of an upstream.
pub(crate) fn check(
    routed: &RoutedFleet,
    records: &[RequestRecord],
    interruptions: &Interruptions,
) -> Vec<String> {
    let by_id: HashMap<&str, &RequestRecord> = records.iter().map(|r| (r.id.as_str(), r)).collect();
    let upstreams = 0..routed.upstreams.len();
    let arrivals = upstreams.flat_map(|i| {
        let arrivals = routed.arrivals(u8::try_from(i).unwrap_or_default());
        arrivals.into_iter().map(move |arrival| (i, arrival))
    });
    let deliveries = arrivals.filter_map(|(upstream, arrival)| {
        let record = *by_id.get(arrival.request_id.as_str())?;
        let router = index_of(routed, record)?;
        Some(Delivery {
            router,
            upstream,
            record,
            arrival,
        })
    });
    let mut by_pair: HashMap<Pair, Vec<Delivery<'_>>> = HashMap::new();
    for delivery in deliveries {
        by_pair.entry(delivery.pair()).or_default().push(delivery);
    }
    let pairs = by_pair.values();
    let violations = pairs.flat_map(|deliveries| {
        let mut violations = after_announcement(deliveries, interruptions);
        violations.extend(in_pushback(deliveries, interruptions));
        violations
    });
    violations.collect()
}

/// Index of the router that a request was sent to.
pub(crate) fn index_of(routed: &RoutedFleet, record: &RequestRecord) -> Option<usize> {
    let mut routers = 0..routed.routers.len();
    routers.find(|i| routed.caller(u8::try_from(*i).unwrap_or_default()) == record.router)
}

fn after_announcement(deliveries: &[Delivery<'_>], interruptions: &Interruptions) -> Vec<String> {
    let announced = deliveries.iter().filter_map(Delivery::announced_ms);
    let Some(announced_ms) = announced.min() else {
        return Vec::new();
    };
    let is_late = |delivery: &&Delivery<'_>| {
        let sent_ms = delivery.record.sent_ms;
        sent_ms > announced_ms + LEAVING_BOUND_MS
            && !interruptions.router_between(delivery.router, announced_ms, sent_ms)
    };
    let late = deliveries.iter().filter(is_late);
    let violation = |delivery: &Delivery<'_>| {
        format!(
            "{}: sent {} ms after router {} had passed on that upstream {} shuts down",
            delivery.record.id,
            delivery.record.sent_ms - announced_ms,
            delivery.router,
            delivery.arrival.arrived_at
        )
    };
    late.map(violation).collect()
}

fn in_pushback(deliveries: &[Delivery<'_>], interruptions: &Interruptions) -> Vec<String> {
    let asked = deliveries.iter().filter(|d| d.arrival.pushback_ms > 0);
    let violation = |asked: &Delivery<'_>| {
        let from_ms = asked.arrival.at_ms + PUSHBACK_GRACE_MS;
        let to_ms = asked.arrival.at_ms + asked.arrival.pushback_ms;
        let reached = deliveries.iter();
        let reached = reached.filter(|d| (from_ms..to_ms).contains(&d.arrival.at_ms));
        let count = reached.count();
        let is_excused = interruptions.router_between(asked.router, asked.arrival.at_ms, to_ms)
            || interruptions.upstream_between(asked.upstream, asked.arrival.at_ms, to_ms);
        (count > MAX_IN_PUSHBACK && !is_excused).then(|| {
            format!(
                "{}: upstream {} wanted nothing from router {} for {} ms and got {count} requests",
                asked.record.id, asked.arrival.arrived_at, asked.router, asked.arrival.pushback_ms
            )
        })
    };
    asked.filter_map(violation).collect()
}
