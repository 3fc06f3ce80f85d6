//! Software versions that the services had lately, as known to this router.
//!
//! A few times a second it looks at the versions of the listed upstreams, of which each pool keeps a
//! count. What it can't have seen it learns from other routers, or from the platform if all of them have
//! just started. Records on the platform are written for services with several versions alone.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use tokio::sync::mpsc;

use crate::decide::versions::{Listing, Report, VersionHistory, WINDOW_MS};
use crate::path::RequestPath;
use crate::path::dialect::Records;
use crate::path::router_state::RouterState;
use crate::schema::peer::{VersionListing, VersionReport};
use crate::util::Name;

/// Versions of one service, to be stored on the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct MixedService {
    pub(crate) service: Name,
    pub(crate) versions: Vec<VersionState>,
}

/// One version of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct VersionState {
    pub(crate) software: Option<Name>,
    /// Whether some upstream of it is listed.
    pub(crate) is_listed: bool,
    /// Time since one was last listed.
    pub(crate) age_ms: u64,
}

/// Versions that outlive a restart of all routers.
pub(crate) trait StoredVersions {
    /// Reads those that have not expired, or returns `None` if they can't be read.
    fn read(&self) -> impl Future<Output = Option<Vec<Listing>>>;
}

/// The versions that this router knows.
#[derive(Debug, Default)]
pub(crate) struct ServiceVersions {
    history: RefCell<VersionHistory>,
    /// Versions of each service as they were last sent to be stored.
    stored: RefCell<HashMap<Name, MixedService>>,
    /// Era of the log in which they were stored. One that is restored from an older copy may lack them.
    stored_in: Cell<u64>,
    /// Where the versions go that are to outlive this router.
    store: RefCell<Option<mpsc::Sender<MixedService>>>,
}

impl ServiceVersions {
    /// Records the versions of the listed upstreams.
    pub(super) fn refresh(&self, state: &RouterState, now_ms: u64) {
        let mut history = self.history.borrow_mut();
        history.record_refresh(now_ms);
        state.for_each_version(|service, software| {
            history.record_listed(service, software, now_ms);
        });
    }

    /// Records that an upstream of this version has answered.
    pub(crate) fn record_answer(&self, service: &Name, software: Option<&Name>, now_ms: u64) {
        let mut history = self.history.borrow_mut();
        history.record_listed(service, software, now_ms);
    }

    /// Whether all versions are known at which a stream in progress can have begun.
    pub(crate) fn is_complete(&self, now_ms: u64) -> bool {
        self.history.borrow().is_complete(now_ms)
    }

    /// The only version at which a stream of `service` that is in progress can have begun, if that is
    /// known.
    pub(crate) fn only(&self, service: &str, now_ms: u64) -> Option<Option<Name>> {
        self.history.borrow().only(service, now_ms)
    }

    /// Describes the versions that `service` had in the window, for the log.
    pub(crate) fn describe(&self, service: &str, now_ms: u64) -> String {
        let report = self.report_of(service, now_ms);
        let listings = report.listings.iter().map(|listing| {
            let software = listing.software.as_deref().unwrap_or("none");
            format!("{software} {} ms ago", listing.age_ms)
        });
        let listings: Vec<String> = listings.collect();
        format!("known for {} ms: {}", report.reach_ms, listings.join(", "))
    }

    /// Applies what another router reports of all services.
    pub(crate) fn merge(&self, report: VersionReport, now_ms: u64) {
        self.history.borrow_mut().merge(&report.into(), now_ms);
    }

    /// Applies what another router reports of one service.
    pub(crate) fn merge_service(&self, service: &str, report: VersionReport, now_ms: u64) {
        let mut history = self.history.borrow_mut();
        history.merge_service(service, &report.into(), now_ms);
    }

    /// Applies what was stored: all services that had several versions.
    pub(crate) fn apply_stored(&self, stored: &[Listing], now_ms: u64) {
        let mut history = self.history.borrow_mut();
        history.add(stored, now_ms);
        history.complete(now_ms);
    }

    /// Sends versions that are to outlive this router to `store`.
    pub(crate) fn set_store(&self, store: mpsc::Sender<MixedService>) {
        self.store.replace(Some(store));
    }

    /// Has the services with several versions stored whose versions have changed, and all of them in a new
    /// era of the log.
    pub(crate) fn store_changed(&self, era: u64, now_ms: u64) {
        if self.stored_in.replace(era) != era {
            self.stored.borrow_mut().clear();
        }
        let store = self.store.borrow();
        let Some(store) = store.as_ref() else {
            return;
        };
        for service in self.mixed(now_ms) {
            let mut stored = self.stored.borrow_mut();
            let known = stored.get(&service.service);
            if known.is_some_and(|known| known.is_same_set(&service)) {
                continue;
            }
            match store.try_send(service.clone()) {
                Ok(()) => drop(stored.insert(service.service.clone(), service)),
                Err(e) => log::warn!(service = &*service.service; "versions not stored yet: {e}"),
            }
        }
    }

    /// Services that had several versions in the window.
    pub(crate) fn mixed(&self, now_ms: u64) -> Vec<MixedService> {
        let history = self.history.borrow();
        let services = history.mixed(now_ms).map(|service| MixedService {
            service: service.clone(),
            versions: history.listings(service, now_ms).map(Into::into).collect(),
        });
        services.collect()
    }

    fn report(&self, now_ms: u64) -> Report {
        self.history.borrow().report(now_ms)
    }

    fn report_of(&self, service: &str, now_ms: u64) -> Report {
        self.history.borrow().report_of(service, now_ms)
    }
}

impl MixedService {
    /// Whether both have the same versions, listed or not.
    fn is_same_set(&self, other: &Self) -> bool {
        let key = |v: &VersionState| (v.software.clone(), v.is_listed);
        let mut sets = [self, other].map(|s| s.versions.iter().map(key).collect::<Vec<_>>());
        for set in &mut sets {
            set.sort();
        }
        sets[0] == sets[1]
    }
}

impl From<Listing> for VersionState {
    /// Just after a refresh of the listed versions, those have no age.
    fn from(listing: Listing) -> Self {
        Self {
            software: listing.software,
            is_listed: listing.age_ms == 0,
            age_ms: listing.age_ms,
        }
    }
}

impl From<VersionListing> for Listing {
    fn from(received: VersionListing) -> Self {
        Self {
            service: received.service.into(),
            software: received.software.map(Into::into),
            age_ms: received.age_ms,
        }
    }
}

impl From<Listing> for VersionListing {
    fn from(listing: Listing) -> Self {
        Self {
            service: listing.service.to_string(),
            software: listing.software.map(|software| software.to_string()),
            age_ms: listing.age_ms,
        }
    }
}

impl From<VersionReport> for Report {
    fn from(received: VersionReport) -> Self {
        Self {
            reach_ms: received.reach_ms,
            listings: received.listings.into_iter().map(Into::into).collect(),
        }
    }
}

/// Looks at the listed versions, once they are known.
pub(crate) fn refresh<D: Records>(path: &RequestPath<D>) {
    if path.replica.is_loaded() {
        path.versions.refresh(&path.state, path.clock.now_ms());
    }
}

/// Looks at the listed versions, and has those stored that have changed if this router reads the
/// platform's log for the others.
pub(crate) fn refresh_and_store<D: Records>(path: &RequestPath<D>) {
    let now_ms = path.clock.now_ms();
    refresh(path);
    if path.is_reader() {
        let era = *path.replica.era().borrow();
        path.versions.store_changed(era, now_ms);
    }
}

/// The versions of all services, for a router that has started.
pub(crate) fn report<D: Records>(path: &RequestPath<D>) -> VersionReport {
    refresh(path);
    as_message(path, path.versions.report(path.clock.now_ms()))
}

/// The versions of `service`, for a router that is to resume a stream.
pub(crate) fn report_of<D: Records>(path: &RequestPath<D>, service: &str) -> VersionReport {
    refresh(path);
    as_message(path, path.versions.report_of(service, path.clock.now_ms()))
}

/// Whether `report` is that of a router that knows all versions of the whole window.
pub(crate) fn is_whole(report: &VersionReport) -> bool {
    report.reach_ms >= WINDOW_MS
}

fn as_message<D: Records>(path: &RequestPath<D>, report: Report) -> VersionReport {
    let reach_ms = if is_current(path) { report.reach_ms } else { 0 };
    VersionReport {
        reach_ms,
        listings: report.listings.into_iter().map(Into::into).collect(),
    }
}

/// Whether this router has learned of all versions that are listed. While the log is away, no router
/// that it reaches knows more, and it must reach most of them.
///
/// Failure guarded against: a router is cut off from the log and the other routers while a second version
/// of a service begins to serve. It would take the first one for the only one.
pub(crate) fn is_current<D: Records>(path: &RequestPath<D>) -> bool {
    let members = path.fleet.borrow().members.len();
    !path.replica.upstreams_fresh().is_old() || path.reachable_routers() * 2 > members
}
