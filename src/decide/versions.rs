//! Software versions that each service had lately.
//!
//! Load pattern: upstreams of two versions serve side by side, and what they write doesn't fit together.
//! A stream that broke off may go on only at the version that began it, and the router that is to resume
//! it may not be the one that began it. On most days a service has had one version for longer than any
//! stream lasts, which settles it without asking anybody.
//!
//! A version that is not known would be taken for the only one, so a history says nothing unless it
//! reaches back over the whole [`WINDOW_MS`]. Histories of several routers are merged by ages, which
//! need no synchronised clocks.

use std::collections::HashMap;

use crate::decide::Name;

/// Time after which no stream that was in progress is resumed any more: twice the time limit of callers
/// that state none.
pub const WINDOW_MS: u64 = 120_000;
/// Time without a look at the listed versions after which some may have been missed.
pub const MAX_GAP_MS: u64 = 10_000;

/// One version of a service, and the time since it was last listed.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Listing {
    /// The service.
    pub service: Name,
    /// Version of the software; `None` if upstreams name none.
    pub software: Option<Name>,
    /// Time since some upstream of this version was last listed.
    pub age_ms: u64,
}

/// What one router tells another of its history.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Time over which the sender knows all versions, up to now.
    pub reach_ms: u64,
    /// The versions that it knows.
    pub listings: Vec<Listing>,
}

/// A version, and the time at which it was last listed. That may be before the start of the clock.
#[derive(Clone, Debug)]
struct Version {
    software: Option<Name>,
    listed_ms: i64,
}

#[derive(Clone, Debug, Default)]
struct Service {
    /// Time from which on its versions are known, if that is earlier than for all services.
    since_ms: Option<i64>,
    versions: Vec<Version>,
}

/// Versions of each service in the last [`WINDOW_MS`].
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// Time from which on the versions of all services are known.
    since_ms: Option<i64>,
    looked_ms: u64,
    services: HashMap<Name, Service>,
}

impl VersionHistory {
    /// Begins a look at all listed versions, each of which is passed to [`Self::record_listed`]. Drops
    /// what has expired.
    ///
    /// ```
    /// use cassiagrade::decide::versions::{VersionHistory, WINDOW_MS};
    /// let mut history = VersionHistory::default();
    /// for now_ms in (0..WINDOW_MS).step_by(1_000) {
    ///     assert_eq!(history.only("s", now_ms), None);
    ///     history.record_refresh(now_ms);
    ///     history.record_listed(&"s".into(), Some(&"v1".into()), now_ms);
    /// }
    /// history.record_refresh(WINDOW_MS);
    /// assert_eq!(history.only("s", WINDOW_MS), Some(Some("v1".into())));
    /// history.record_listed(&"s".into(), Some(&"v2".into()), WINDOW_MS);
    /// assert_eq!(history.only("s", WINDOW_MS), None);
    /// ```
    pub fn record_refresh(&mut self, now_ms: u64) {
        self.reach_back(0, now_ms);
        let oldest_ms = before(now_ms, WINDOW_MS);
        self.services.retain(|_, service| {
            service.versions.retain(|v| v.listed_ms > oldest_ms);
            !service.versions.is_empty()
        });
    }

    /// Records that some upstream of `service` with this version is listed.
    pub fn record_listed(&mut self, service: &Name, software: Option<&Name>, now_ms: u64) {
        self.record(service, software, before(now_ms, 0));
    }

    /// Records that all versions of the whole window are known.
    pub fn complete(&mut self, now_ms: u64) {
        self.reach_back(WINDOW_MS, now_ms);
    }

    /// Whether all versions of the whole window are known, of all services.
    pub fn is_complete(&self, now_ms: u64) -> bool {
        self.reach_ms(None, now_ms) == WINDOW_MS
    }

    /// The only version at which a stream of `service` that is in progress can have begun, if that is
    /// known.
    pub fn only(&self, service: &str, now_ms: u64) -> Option<Option<Name>> {
        if self.reach_ms(Some(service), now_ms) < WINDOW_MS {
            return None;
        }
        let mut listings = self.listings(service, now_ms);
        let first = listings.next()?;
        listings.next().is_none().then_some(first.software)
    }

    /// Services that had several versions in the window.
    pub fn mixed(&self, now_ms: u64) -> impl Iterator<Item = &Name> {
        let services = self.services.keys();
        services.filter(move |service| self.listings(service, now_ms).nth(1).is_some())
    }

    /// The versions of `service` in the window.
    pub fn listings(&self, service: &str, now_ms: u64) -> impl Iterator<Item = Listing> {
        let known = self.services.get_key_value(service).into_iter();
        let all =
            known.flat_map(|(service, known)| known.versions.iter().map(move |v| (service, v)));
        let listings = all.map(move |(service, version)| Listing {
            service: service.clone(),
            software: version.software.clone(),
            age_ms: age(version.listed_ms, now_ms),
        });
        listings.filter(|listing| listing.age_ms < WINDOW_MS)
    }

    /// The whole history, for another router.
    pub fn report(&self, now_ms: u64) -> Report {
        let services = self.services.keys();
        let listings = services.flat_map(|service| self.listings(service, now_ms));
        Report {
            reach_ms: self.reach_ms(None, now_ms),
            listings: listings.collect(),
        }
    }

    /// The history of one service, for another router.
    pub fn report_of(&self, service: &str, now_ms: u64) -> Report {
        Report {
            reach_ms: self.reach_ms(Some(service), now_ms),
            listings: self.listings(service, now_ms).collect(),
        }
    }

    /// Adds these versions.
    pub fn add(&mut self, listings: &[Listing], now_ms: u64) {
        for listing in listings.iter().filter(|l| l.age_ms < WINDOW_MS) {
            let listed_ms = before(now_ms, listing.age_ms);
            self.record(&listing.service, listing.software.as_ref(), listed_ms);
        }
    }

    /// Applies the whole history of another router.
    pub fn merge(&mut self, report: &Report, now_ms: u64) {
        self.add(&report.listings, now_ms);
        self.reach_back(report.reach_ms.min(WINDOW_MS), now_ms);
    }

    /// Applies the history of one service of another router.
    pub fn merge_service(&mut self, service: &str, report: &Report, now_ms: u64) {
        self.add(&report.listings, now_ms);
        let has_gap = self.has_gap(now_ms);
        if let Some(known) = self.services.get_mut(service) {
            let from_ms = before(now_ms, report.reach_ms.min(WINDOW_MS));
            let since_ms = known.since_ms.filter(|_| !has_gap);
            known.since_ms = Some(since_ms.map_or(from_ms, |since_ms| since_ms.min(from_ms)));
        }
    }

    fn record(&mut self, service: &Name, software: Option<&Name>, listed_ms: i64) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Service::default());
        }
        let Some(known) = self.services.get_mut(service) else {
            return;
        };
        let mut versions = known.versions.iter_mut();
        match versions.find(|v| v.software.as_ref() == software) {
            Some(version) => version.listed_ms = version.listed_ms.max(listed_ms),
            None => known.versions.push(Version {
                software: software.cloned(),
                listed_ms,
            }),
        }
    }

    /// Records that all versions from `reach_ms` ago until now are known.
    fn reach_back(&mut self, reach_ms: u64, now_ms: u64) {
        if self.has_gap(now_ms) {
            self.since_ms = None;
            for service in self.services.values_mut() {
                service.since_ms = None;
            }
        }
        let from_ms = before(now_ms, reach_ms);
        let since_ms = self.since_ms.unwrap_or(from_ms);
        self.since_ms = Some(since_ms.min(from_ms));
        self.looked_ms = self.looked_ms.max(now_ms);
    }

    /// Time over which all versions are known, at most the window: those of `service`, or of all services.
    fn reach_ms(&self, service: Option<&str>, now_ms: u64) -> u64 {
        if self.has_gap(now_ms) {
            return 0;
        }
        let of_service = service.and_then(|service| self.services.get(service)?.since_ms);
        let since_ms = self.since_ms.into_iter().chain(of_service).min();
        since_ms.map_or(0, |since_ms| age(since_ms, now_ms).min(WINDOW_MS))
    }

    fn has_gap(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.looked_ms) > MAX_GAP_MS
    }
}

fn before(now_ms: u64, age_ms: u64) -> i64 {
    now_ms.cast_signed().saturating_sub_unsigned(age_ms)
}

fn age(at_ms: i64, now_ms: u64) -> u64 {
    let age_ms = now_ms.cast_signed().saturating_sub(at_ms);
    u64::try_from(age_ms).unwrap_or(0)
}
