//! What every router has running at every upstream, and how its calls there ended: a table without
//! sockets or clock of its own.
//!
//! Each router counts its own requests exactly and tells the others several times a second, so the
//! sum is an upstream's load a fifth of a second ago, and its outcomes those of the whole fleet. Reports of upstreams are older, and asking
//! for them costs the upstream work.

use std::collections::HashMap;

use crate::decide::grey::Outcomes;
use crate::schema::peer::{InFlightReport, ServiceDemand};
use crate::util::Name;

/// What a router told is forgotten after this long: it is gone, or cut off. Several times the pause
/// between two tellings, so that lost datagrams don't show.
pub const KEEP_MS: u64 = 1_500;

/// Routers that one telling of what runs where goes to.
pub const MAX_REPORTED: usize = 16;
/// The pause between two tellings of a router: what others see of its counts is at most this and a datagram's way old.
pub const REPORT_INTERVAL_MS: u64 = 200;

/// How many of `live` routers can reach this one, which has heard `heard` of the others within [`KEEP_MS`]. All of a
/// small fleet are heard all the time; in a large one each telling goes to some, and a part is heard by chance.
///
/// ```
/// use cassiagrade::fleet::in_flight::reachable;
/// assert_eq!(reachable(8, 9), 9);
/// assert_eq!(reachable(0, 195), 1);
/// // Of 195, some 92 are heard within the time that a telling is kept; half of that is half of the fleet.
/// assert_eq!(reachable(120, 195), 195);
/// assert!((90..=110).contains(&reachable(46, 195)));
/// ```
pub fn reachable(heard: usize, live: usize) -> usize {
    let others = live.saturating_sub(1);
    let share = heard as f64 / expected_heard(others).max(1.0);
    1 + (others as f64 * share.min(1.0)).round() as usize
}

/// How many of `others` are heard within [`KEEP_MS`], if all live.
fn expected_heard(others: usize) -> f64 {
    let told = MAX_REPORTED.min(others) as f64 / others.max(1) as f64;
    let tellings = KEEP_MS as f64 / REPORT_INTERVAL_MS as f64;
    others as f64 * (1.0 - (1.0 - told).powf(tellings))
}

#[derive(Debug)]
struct Row {
    incarnation: u64,
    seq: u64,
    at_ms: u64,
    running: HashMap<u32, u32>,
    wishes: Vec<ServiceDemand>,
}

/// What the other routers told of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamTotals {
    /// Requests that run there now, by what those that were heard told.
    pub running: f64,
    /// How calls of the last seconds ended.
    pub outcomes: Outcomes,
}

/// What the other routers told, put together.
#[derive(Clone, Debug, Default)]
pub struct FleetInFlight {
    /// By the digest of the upstream.
    pub upstreams: HashMap<u32, UpstreamTotals>,
    /// How many requests each router that wants any wants to run, by the digest of the service.
    pub wishes: HashMap<u32, Vec<u32>>,
    /// Routers that were heard lately.
    pub heard: usize,
    /// The share of all that can be reached that these are.
    pub share: f64,
    /// How old their counts are on the mean while this picture holds.
    pub age_ms: f64,
}

/// The other routers' counts.
#[derive(Debug, Default)]
pub struct InFlightTable {
    rows: HashMap<Name, Row>,
    outcomes: HashMap<u32, Outcomes>,
}

impl InFlightTable {
    /// Takes what a router told, unless something newer of it is known.
    pub fn heard(&mut self, told: InFlightReport, now_ms: u64) {
        let stamp = (told.from_incarnation, told.seq);
        let known = self.rows.get(&*told.from_host);
        if known.is_some_and(|row| (row.incarnation, row.seq) >= stamp) {
            return;
        }
        for flight in told.flights.iter().filter(|f| f.ended > 0) {
            let outcomes = self.outcomes.entry(flight.upstream_digest).or_default();
            outcomes.add(flight.ended, flight.failed, now_ms);
        }
        let flights = told.flights.into_iter().filter(|f| f.running > 0);
        let row = Row {
            incarnation: told.from_incarnation,
            seq: told.seq,
            at_ms: now_ms,
            running: flights.map(|f| (f.upstream_digest, f.running)).collect(),
            wishes: told.wishes,
        };
        self.rows.insert(told.from_host.into(), row);
    }

    /// What all `live` routers run and want, this one left out, by those of them that were heard lately.
    ///
    /// Failure guarded against: in a large fleet half of the routers are heard at a time. Summed as if they were all, upstreams
    /// look half as loaded as they are, and each router takes twice its part of a full service's places.
    pub fn picture(&mut self, live: usize, now_ms: u64) -> FleetInFlight {
        let mut upstreams = self.sums(now_ms);
        let heard = self.rows.len();
        let scale = (reachable(heard, live) - 1).max(heard) as f64 / heard.max(1) as f64;
        for told in upstreams.values_mut() {
            told.running *= scale;
        }
        let mut wishes: HashMap<u32, Vec<u32>> = HashMap::new();
        for wish in self.rows.values().flat_map(|row| &row.wishes) {
            let of_service = wishes.entry(wish.service_digest).or_default();
            of_service.push(wish.wanted);
        }
        for of_service in wishes.values_mut() {
            // Those that weren't heard want what those that were do.
            let all = (of_service.len() as f64 * scale).round() as usize;
            *of_service = of_service.iter().copied().cycle().take(all).collect();
        }
        FleetInFlight {
            upstreams,
            wishes,
            heard,
            share: 1.0 / scale,
            age_ms: self.mean_age_ms(now_ms) + REPORT_INTERVAL_MS as f64 / 2.0,
        }
    }

    fn mean_age_ms(&self, now_ms: u64) -> f64 {
        let ages = self
            .rows
            .values()
            .map(|row| now_ms.saturating_sub(row.at_ms));
        ages.sum::<u64>() as f64 / self.rows.len().max(1) as f64
    }

    /// The sums over all routers that were heard lately, by the digest of the upstream.
    fn sums(&mut self, now_ms: u64) -> HashMap<u32, UpstreamTotals> {
        self.rows
            .retain(|_, row| now_ms.saturating_sub(row.at_ms) < KEEP_MS);
        self.outcomes.retain(|_, o| o.at(now_ms).is_significant());
        let outcomes = self.outcomes.iter();
        let told = |outcomes: Outcomes| UpstreamTotals {
            outcomes: outcomes.at(now_ms),
            ..UpstreamTotals::default()
        };
        let mut sums: HashMap<u32, UpstreamTotals> =
            outcomes.map(|(d, o)| (*d, told(*o))).collect();
        for (digest, running) in self.rows.values().flat_map(|row| &row.running) {
            sums.entry(*digest).or_default().running += f64::from(*running);
        }
        sums
    }
}
