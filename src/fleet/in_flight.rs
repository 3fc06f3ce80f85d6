//! Requests that each router runs at each upstream, and how its calls there ended: a table without
//! sockets or a clock of its own.
//!
//! Each router counts its own requests exactly and publishes the counts several times a second, so
//! the sum is an upstream's load at most a fifth of a second ago, and the outcomes are those of the
//! whole fleet. An upstream's own reports are older, and asking for them costs it work.

use std::collections::HashMap;

use crate::decide::grey::Outcomes;
use crate::schema::peer::{InFlightReport, ServiceDemand};
use crate::util::Name;

/// A router's counts expire after this time: it has stopped or is cut off. Several times the
/// publishing interval, so that lost datagrams have no effect.
pub const COUNTS_TTL_MS: u64 = 1_500;

/// Largest number of routers that each publication is sent to.
pub const MAX_REPORTED: usize = 16;
/// Smallest number in a fleet of more than that: what is published still reaches thousands of
/// routers in four or five rounds.
const MIN_REPORTED: usize = 8;
/// Datagrams of all routers together in one round of publications, above [`MIN_REPORTED`] of each.
/// In a fleet of more than 250, whose routers handle a request or two a second each, the reports
/// would otherwise cost them more than their requests.
const MAX_DATAGRAMS_A_ROUND: usize = 4_000;
/// Interval between two publications of a router. The counts that others see are at most this old,
/// plus the travel time of a datagram.
pub const REPORT_INTERVAL_MS: u64 = 200;

/// Number of routers to which a publication is sent by each of `live` routers.
///
/// ```
/// use cassiagrade::fleet::in_flight::receivers;
/// assert_eq!([2, 9, 195, 390, 985, 2_000].map(receivers), [1, 8, 16, 10, 8, 8]);
/// ```
pub fn receivers(live: usize) -> usize {
    let most = MAX_DATAGRAMS_A_ROUND / live.max(1);
    let most = most.clamp(MIN_REPORTED, MAX_REPORTED);
    most.min(live.saturating_sub(1))
}

/// Estimates how many of `live` routers can reach this one, given that counts of `reporting` others
/// arrived within [`COUNTS_TTL_MS`].
///
/// In a small fleet the counts of all others arrive; in a large one each publication goes to a few
/// random [`receivers`], so only a part arrives in time.
///
/// ```
/// use cassiagrade::fleet::in_flight::reachable;
/// assert_eq!(reachable(8, 9), 9);
/// assert_eq!(reachable(0, 195), 1);
/// // Of 195, about 92 arrive before they expire; half of that means half of the fleet.
/// assert_eq!(reachable(120, 195), 195);
/// assert!((90..=110).contains(&reachable(46, 195)));
/// ```
pub fn reachable(reporting: usize, live: usize) -> usize {
    let others = live.saturating_sub(1);
    let share = reporting as f64 / expected_received(others).max(1.0);
    1 + (others as f64 * share.min(1.0)).round() as usize
}

/// Number of `others` whose counts arrive within [`COUNTS_TTL_MS`] if all are alive.
fn expected_received(others: usize) -> f64 {
    let reached = receivers(others + 1) as f64 / others.max(1) as f64;
    let publications = COUNTS_TTL_MS as f64 / REPORT_INTERVAL_MS as f64;
    others as f64 * (1.0 - (1.0 - reached).powf(publications))
}

#[derive(Debug)]
struct Row {
    incarnation: u64,
    seq: u64,
    at_ms: u64,
    running: HashMap<u32, u32>,
    demands: Vec<ServiceDemand>,
    unreached: Vec<u32>,
    borne: Vec<(u32, u32)>,
}

/// Counts of the other routers for one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamTotals {
    /// Requests that run there now, scaled up from the routers whose counts arrived.
    pub running: f64,
    /// How the calls of the last seconds ended.
    pub outcomes: Outcomes,
}

/// Counts of all other routers, summed up.
#[derive(Clone, Debug, Default)]
pub struct FleetInFlight {
    /// By the digest of the upstream's name.
    pub upstreams: HashMap<u32, UpstreamTotals>,
    /// Number of requests each router runs or has waiting, by the digest of the service's name.
    /// Routers without any are left out.
    pub demands: HashMap<u32, Vec<u32>>,
    /// Routers whose counts have not expired, and the digests of the services of which each reaches no
    /// upstream.
    pub unreached: HashMap<Name, Vec<u32>>,
    /// Rejections in a second that brittle upstreams bear, as they told other routers, by the digest of the
    /// upstream's name.
    pub borne: HashMap<u32, u32>,
    /// Number of routers whose counts have not expired.
    pub reporting: usize,
    /// Share of the reachable routers that these are.
    pub share: f64,
    /// Mean age of their counts while this value is in use.
    pub age_ms: f64,
}

/// Latest counts of each other router.
#[derive(Debug, Default)]
pub struct InFlightTable {
    rows: HashMap<Name, Row>,
    outcomes: HashMap<u32, Outcomes>,
}

impl FleetInFlight {
    /// Routers that reported lately and did not report that they reach no upstream of the service with this
    /// digest.
    ///
    /// ```
    /// use cassiagrade::fleet::in_flight::FleetInFlight;
    /// let mut fleet = FleetInFlight::default();
    /// fleet.unreached.insert("r-1".into(), vec![7]);
    /// fleet.unreached.insert("r-2".into(), vec![]);
    /// let reaching: Vec<&str> = fleet.reaching(7).map(|host| &**host).collect();
    /// assert_eq!(reaching, ["r-2"]);
    /// ```
    pub fn reaching(&self, service_digest: u32) -> impl Iterator<Item = &Name> {
        let reaching = self.unreached.iter();
        let reaching = reaching.filter(move |(_, unreached)| !unreached.contains(&service_digest));
        reaching.map(|(host, _)| host)
    }
}

impl InFlightTable {
    /// Stores the counts of a router unless newer ones of it have arrived.
    pub fn record(&mut self, received: InFlightReport, now_ms: u64) {
        let stamp = (received.from_incarnation, received.seq);
        let known = self.rows.get(&*received.from_host);
        if known.is_some_and(|row| (row.incarnation, row.seq) >= stamp) {
            return;
        }
        for count in received.flights.iter().filter(|f| f.ended > 0) {
            let outcomes = self.outcomes.entry(count.upstream_digest).or_default();
            outcomes.add(count.ended, count.failed, now_ms);
        }
        let borne = received.flights.iter();
        let borne = borne.filter_map(|f| Some((f.upstream_digest, f.borne?)));
        let borne = borne.collect();
        let running = received.flights.into_iter().filter(|f| f.running > 0);
        let row = Row {
            incarnation: received.from_incarnation,
            seq: received.seq,
            at_ms: now_ms,
            running: running.map(|f| (f.upstream_digest, f.running)).collect(),
            demands: received.wishes,
            unreached: received.unreached,
            borne,
        };
        self.rows.insert(received.from_host.into(), row);
    }

    /// Returns the sums for all `live` routers but this one, estimated from those whose counts have
    /// not expired.
    ///
    /// Failure guarded against: in a large fleet the counts of only about half of the routers are
    /// present at a time. Without scaling, upstreams look half as loaded as they are, and each
    /// router takes twice its share of a full service's slots.
    pub fn fleet_counts(&mut self, live: usize, now_ms: u64) -> FleetInFlight {
        let mut upstreams = self.sums(now_ms);
        let reporting = self.rows.len();
        let scale =
            (reachable(reporting, live) - 1).max(reporting) as f64 / reporting.max(1) as f64;
        for counts in upstreams.values_mut() {
            counts.running *= scale;
        }
        let mut demands: HashMap<u32, Vec<u32>> = HashMap::new();
        for demand in self.rows.values().flat_map(|row| &row.demands) {
            let of_service = demands.entry(demand.service_digest).or_default();
            of_service.push(demand.wanted);
        }
        for of_service in demands.values_mut() {
            // The routers whose counts are missing are assumed to have the same demand as the
            // others.
            let all = (of_service.len() as f64 * scale).round() as usize;
            *of_service = of_service.iter().copied().cycle().take(all).collect();
        }
        let unreached = self.rows.iter();
        let unreached = unreached.map(|(host, row)| (host.clone(), row.unreached.clone()));
        FleetInFlight {
            upstreams,
            demands,
            unreached: unreached.collect(),
            borne: self.least_borne(),
            reporting,
            share: 1.0 / scale,
            age_ms: self.mean_age_ms(now_ms) + REPORT_INTERVAL_MS as f64 / 2.0,
        }
    }

    fn least_borne(&self) -> HashMap<u32, u32> {
        let mut least = HashMap::new();
        for (digest, borne) in self.rows.values().flat_map(|row| &row.borne) {
            let known = least.entry(*digest).or_insert(*borne);
            *known = u32::min(*known, *borne);
        }
        least
    }

    fn mean_age_ms(&self, now_ms: u64) -> f64 {
        let ages = self
            .rows
            .values()
            .map(|row| now_ms.saturating_sub(row.at_ms));
        ages.sum::<u64>() as f64 / self.rows.len().max(1) as f64
    }

    /// Sums over all routers whose counts have not expired, by the digest of the upstream's name.
    fn sums(&mut self, now_ms: u64) -> HashMap<u32, UpstreamTotals> {
        self.rows
            .retain(|_, row| now_ms.saturating_sub(row.at_ms) < COUNTS_TTL_MS);
        self.outcomes.retain(|_, o| o.at(now_ms).is_significant());
        let outcomes = self.outcomes.iter();
        let with_outcomes = |outcomes: Outcomes| UpstreamTotals {
            outcomes: outcomes.at(now_ms),
            ..UpstreamTotals::default()
        };
        let mut sums: HashMap<u32, UpstreamTotals> =
            outcomes.map(|(d, o)| (*d, with_outcomes(*o))).collect();
        for (digest, running) in self.rows.values().flat_map(|row| &row.running) {
            sums.entry(*digest).or_default().running += f64::from(*running);
        }
        sums
    }
}
