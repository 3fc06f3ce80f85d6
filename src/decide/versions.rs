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
//!
//! A version is announced before it is used: streams begin at it no earlier than [`FIRST_USE_MS`] after the
//! platform has acknowledged its record. Every router that may decide by its list of upstreams, which is at most
//! [`LIST_AGE_MS`] old, has the version by then, and so has every router that reads the records.

use std::collections::HashMap;

use crate::decide::Name;

/// Time after which no stream that was in progress is resumed any more: twice the time limit of callers
/// that state none.
pub const WINDOW_MS: u64 = 120_000;
/// Age up to which a list of upstreams shows all versions at which streams can have begun.
pub const LIST_AGE_MS: u64 = 2_000;
/// Time between the acknowledged record of a version and the first stream that begins at it: more than
/// [`LIST_AGE_MS`] and a look at the list, so that no router with a newer list lacks the version.
pub const FIRST_USE_MS: u64 = 2_500;
/// Part of [`FIRST_USE_MS`] that isn't relied on.
const MARGIN_MS: u64 = 100;
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
    /// Time since the platform is known to have a record of it; `None` if that isn't known.
    pub stored_age_ms: Option<u64>,
}

/// What one router tells another of its history.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Time over which the sender knows all versions, up to now.
    pub reach_ms: u64,
    /// The versions that it knows.
    pub listings: Vec<Listing>,
}

/// Whether streams may begin at a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Beginning {
    /// They may.
    Allowed,
    /// Not before the platform has acknowledged a record of it.
    NotStored,
    /// Not before every router knows it, which is in this time.
    In {
        /// Time left, in milliseconds.
        left_ms: u64,
    },
}

/// A version, and the time at which it was last listed. That may be before the start of the clock.
#[derive(Clone, Debug)]
struct Version {
    software: Option<Name>,
    listed_ms: i64,
    /// Time from which on the platform is known to have a record of it.
    stored_ms: Option<i64>,
    /// Time until which no stream has begun at it anywhere, by a list or by records that lacked it.
    unused_until_ms: i64,
    /// Whether a stream may have begun at it all the same: somebody knows of one, or of a record.
    is_used: bool,
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
    /// When the last read of all records began.
    records_ms: Option<u64>,
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
        self.record_listed_since(service, software, None, now_ms);
    }

    /// Like [`Self::record_listed`]. If the version is new, the list that was confirmed at `missing_ms` lacked it.
    pub fn record_listed_since(
        &mut self,
        service: &Name,
        software: Option<&Name>,
        missing_ms: Option<u64>,
        now_ms: u64,
    ) {
        let unused_until_ms = missing_ms.map_or(i64::MIN, in_use_ms);
        self.record(service, software, before(now_ms, 0), unused_until_ms);
    }

    /// Records that a stream has begun at this version.
    pub fn record_used(&mut self, service: &Name, software: Option<&Name>, now_ms: u64) {
        let version = self.record(service, software, before(now_ms, 0), i64::MIN);
        version.is_used = true;
    }

    /// Records that the platform has a record of this version, for `age_ms` by now.
    pub fn record_stored(
        &mut self,
        service: &str,
        software: Option<&Name>,
        age_ms: u64,
        now_ms: u64,
    ) {
        let Some(known) = self.services.get_mut(service) else {
            return;
        };
        let mut versions = known.versions.iter_mut();
        if let Some(version) = versions.find(|v| v.software.as_ref() == software) {
            let at_ms = before(now_ms, age_ms);
            version.stored_ms = Some(version.stored_ms.map_or(at_ms, |known| known.min(at_ms)));
        }
    }

    /// Whether streams may begin at this version. The first version of a service is used at once: no router can
    /// take another one for it.
    pub fn beginning(&self, service: &str, software: Option<&Name>, now_ms: u64) -> Beginning {
        let known = self.services.get(service);
        let version = known.and_then(|known| {
            let mut versions = known.versions.iter();
            versions.find(|v| v.software.as_ref() == software)
        });
        let Some(stored_ms) = version.and_then(|v| v.stored_ms) else {
            return Beginning::NotStored;
        };
        let left_ms = FIRST_USE_MS.saturating_sub(age(stored_ms, now_ms));
        if left_ms == 0 || self.only(service, now_ms).is_some() {
            Beginning::Allowed
        } else {
            Beginning::In { left_ms }
        }
    }

    /// The only version at which a stream of `service` that had begun by `begun_ms` can have begun, if that is
    /// known. A version that nobody can have used by then doesn't count.
    pub fn only_used(&self, service: &str, begun_ms: u64, now_ms: u64) -> Option<Option<Name>> {
        if self.reach_ms(Some(service), now_ms) < WINDOW_MS {
            return None;
        }
        let oldest_ms = before(now_ms, WINDOW_MS);
        let versions = self.services.get(service)?.versions.iter();
        let is_used = |v: &&Version| {
            let is_late = v.unused_until_ms < begun_ms.cast_signed();
            v.listed_ms > oldest_ms && (v.is_used || is_late)
        };
        let mut used = versions.filter(is_used);
        let Some(first) = used.next() else {
            return self.only(service, now_ms);
        };
        used.next().is_none().then(|| first.software.clone())
    }

    /// Applies all records of the platform, as of a read that began at `read_ms`. A version without a record
    /// isn't used before others have had the time to learn of it.
    pub fn apply_stored(&mut self, stored: &[Listing], read_ms: u64, now_ms: u64) {
        self.records_ms = self.records_ms.max(Some(read_ms));
        let unused_until_ms = in_use_ms(read_ms);
        for version in self.services.values_mut().flat_map(|s| &mut s.versions) {
            if version.stored_ms.is_none() {
                version.unused_until_ms = version.unused_until_ms.max(unused_until_ms);
            }
        }
        self.add(stored, now_ms);
        self.complete(now_ms);
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
            stored_age_ms: version.stored_ms.map(|at_ms| age(at_ms, now_ms)),
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
            let (service, software) = (&listing.service, listing.software.as_ref());
            let listed_ms = before(now_ms, listing.age_ms);
            let version = self.record(service, software, listed_ms, i64::MIN);
            if let Some(age_ms) = listing.stored_age_ms {
                version.is_used = true;
                self.record_stored(service, software, age_ms, now_ms);
            }
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

    /// Records when a version was listed. One that wasn't known is unused until `unused_until_ms`.
    fn record(
        &mut self,
        service: &Name,
        software: Option<&Name>,
        listed_ms: i64,
        unused_until_ms: i64,
    ) -> &mut Version {
        let by_records_ms = self.records_ms.map_or(i64::MIN, in_use_ms);
        let versions = &mut self.services.entry(service.clone()).or_default().versions;
        let known = versions
            .iter()
            .position(|v| v.software.as_ref() == software);
        let at = known.unwrap_or_else(|| {
            versions.push(Version {
                software: software.cloned(),
                listed_ms,
                stored_ms: None,
                unused_until_ms: unused_until_ms.max(by_records_ms),
                is_used: false,
            });
            versions.len() - 1
        });
        let version = &mut versions[at];
        version.listed_ms = version.listed_ms.max(listed_ms);
        version
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

/// Time from which on a version may be in use that had not been listed, or stored, at `missing_ms`.
fn in_use_ms(missing_ms: u64) -> i64 {
    before(missing_ms, 0) + (FIRST_USE_MS - MARGIN_MS).cast_signed()
}

fn before(now_ms: u64, age_ms: u64) -> i64 {
    now_ms.cast_signed().saturating_sub_unsigned(age_ms)
}

fn age(at_ms: i64, now_ms: u64) -> u64 {
    let age_ms = now_ms.cast_signed().saturating_sub(at_ms);
    u64::try_from(age_ms).unwrap_or(0)
}
