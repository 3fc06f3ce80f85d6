//! Software versions that the services had lately, as known to this router, and at which of them streams may
//! begin.
//!
//! A few times a second it looks at the versions of the listed upstreams, of which each pool keeps a
//! count. What it can't have seen it learns from other routers, or from the platform if all of them have
//! just started. Each version has a record on the platform, written when it appears and when it goes.
//!
//! Cost: a call for each version that appears, and one when it goes, by each of the few routers that read the
//! log for the others. Every other router asks one of these for a version that is new to it until the platform has
//! its record: a message of some 15 bytes, answered by 20 and more for each version, a few times a version.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::decide::versions::{Beginning, LIST_AGE_MS, Listing, Report, VersionHistory, WINDOW_MS};
use crate::fleet::log_reads;
use crate::path::RequestPath;
use crate::path::dialect::Records;
use crate::path::router_state::RouterState;
use crate::path::stream_origins;
use crate::schema::peer::{OriginRequest, VersionListing, VersionReport};
use crate::stats;
use crate::time_limit::within;
use crate::util::{self, Name};

/// Time after which a version that isn't listed any more is stored as gone.
pub(super) const GONE_AFTER_MS: u64 = 5_000;
/// Age of a list of upstreams from which streams are shared as if there were several versions: that up to which
/// lists decide requests while the log can be read.
const AGEING_MS: u64 = 1_800;
/// Least time after which a router has a version stored itself if no other one has confirmed its record.
const STORE_AFTER_MS: u64 = 600;
/// Mean interval at which the routers of a fleet do so one after the other.
const STORE_SPACING_MS: u64 = 20;
/// Time for which a caller waits for a read of the records, or for a version at which its stream may begin.
const WAIT_LIMIT: Duration = Duration::from_millis(500);
/// Interval at which a waiting request looks again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A service and one of its versions.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct VersionKey {
    pub(crate) service: Name,
    pub(crate) software: Option<Name>,
}

/// A version, as it is stored on the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct VersionRecord {
    pub(crate) key: VersionKey,
    /// Whether some upstream of it is listed.
    pub(crate) is_listed: bool,
    /// Time since one was last listed.
    pub(crate) age_ms: u64,
    /// Time since the platform is known to have a record of it.
    pub(crate) stored_age_ms: u64,
}

/// Records that were written or could not be.
pub(crate) type Outcomes = Rc<RefCell<Vec<(VersionKey, bool)>>>;

/// Call to where versions are stored.
pub(crate) enum VersionCall {
    /// Writes a record, and adds to the outcomes whether that succeeded.
    Write(VersionRecord, Outcomes),
    /// Reads all records that have not expired; the reply is dropped if they can't be read.
    Read(oneshot::Sender<Vec<Listing>>),
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
    /// Versions in this router's list of upstreams.
    listed: RefCell<HashSet<VersionKey>>,
    /// Whether each version is listed by its record on the platform, as far as this router wrote or read it.
    written: RefCell<HashMap<VersionKey, bool>>,
    outcomes: Outcomes,
    /// Era of the log in which they were stored. One that is restored from an older copy may lack them.
    stored_in: Cell<u64>,
    /// Whether the log was restored from an older copy since this router started.
    is_restored: Cell<bool>,
    /// Where the versions go that are to outlive this router.
    store: RefCell<Option<mpsc::Sender<VersionCall>>>,
    /// When the list of upstreams was last confirmed.
    confirmed_ms: Cell<u64>,
    /// Since when the records have to be read again: the list wasn't confirmed for so long that a version
    /// can have come and gone.
    unread_since_ms: Cell<Option<u64>>,
    is_reading: Cell<bool>,
    read: Notify,
    /// Since when some listed version isn't known to be stored.
    unstored_since_ms: Cell<Option<u64>>,
    is_asking: Cell<bool>,
}

impl ServiceVersions {
    /// Records the versions of the listed upstreams, whose list was confirmed at `confirmed_ms`.
    pub(super) fn refresh(&self, state: &RouterState, confirmed_ms: u64, now_ms: u64) {
        let before_ms = self.confirmed_ms.replace(confirmed_ms);
        if before_ms > 0 && confirmed_ms.saturating_sub(before_ms) > LIST_AGE_MS {
            self.unread_since_ms.set(Some(now_ms));
        }
        let mut history = self.history.borrow_mut();
        history.record_refresh(now_ms);
        let mut listed = self.listed.borrow_mut();
        listed.clear();
        state.for_each_version(|service, software| {
            let missing_ms = Some(before_ms).filter(|at_ms| *at_ms > 0);
            history.record_listed_since(service, software, missing_ms, now_ms);
            listed.insert(VersionKey {
                service: service.clone(),
                software: software.cloned(),
            });
        });
        for (key, is_written) in self.outcomes.take() {
            if is_written {
                history.record_stored(&key.service, key.software.as_ref(), 0, now_ms);
            } else {
                self.written.borrow_mut().remove(&key);
            }
        }
    }

    /// Records that an upstream of this version has answered.
    pub(crate) fn record_answer(&self, service: &Name, software: Option<&Name>, now_ms: u64) {
        let mut history = self.history.borrow_mut();
        history.record_used(service, software, now_ms);
    }

    /// Whether all versions are known at which a stream in progress can have begun.
    pub(crate) fn is_complete(&self, now_ms: u64) -> bool {
        self.history.borrow().is_complete(now_ms)
    }

    /// The only version that `service` has or had lately, if that is known.
    pub(crate) fn only(&self, service: &str, now_ms: u64) -> Option<Option<Name>> {
        self.history.borrow().only(service, now_ms)
    }

    /// The only version at which a stream of `service` that had begun by `begun_ms` can have begun, if that
    /// is known.
    pub(crate) fn only_used(
        &self,
        service: &str,
        begun_ms: u64,
        now_ms: u64,
    ) -> Option<Option<Name>> {
        self.history.borrow().only_used(service, begun_ms, now_ms)
    }

    /// Whether streams may begin at this version.
    pub(crate) fn beginning(
        &self,
        service: &str,
        software: Option<&Name>,
        now_ms: u64,
    ) -> Beginning {
        self.history.borrow().beginning(service, software, now_ms)
    }

    /// Whether the records have to be read before a version may be taken for the only one.
    pub(crate) fn must_read(&self, service: &str, now_ms: u64) -> bool {
        let reach_ms = self.report_of(service, now_ms).reach_ms;
        self.unread_since_ms.get().is_some() || reach_ms < WINDOW_MS
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
        self.history
            .borrow_mut()
            .merge(&current(report).into(), now_ms);
    }

    /// Applies what another router reports of one service.
    pub(crate) fn merge_service(&self, service: &str, report: VersionReport, now_ms: u64) {
        let mut history = self.history.borrow_mut();
        history.merge_service(service, &current(report).into(), now_ms);
    }

    /// Applies what was stored by `read_ms`, when the read began: all versions at which streams began.
    pub(crate) fn apply_stored(&self, stored: &[Listing], read_ms: u64, now_ms: u64) {
        let mut history = self.history.borrow_mut();
        history.apply_stored(stored, read_ms, now_ms);
        let mut written = self.written.borrow_mut();
        for listing in stored.iter().filter(|listing| listing.age_ms == 0) {
            written.entry(listing.into()).or_insert(true);
        }
        if self
            .unread_since_ms
            .get()
            .is_some_and(|since_ms| read_ms >= since_ms)
        {
            self.unread_since_ms.set(None);
        }
    }

    /// Sends versions that are to outlive this router to `store`.
    pub(crate) fn set_store(&self, store: mpsc::Sender<VersionCall>) {
        self.store.replace(Some(store));
    }

    /// Has the versions stored that have appeared or gone, and all of them in a new era of the log.
    pub(crate) fn store_changed(&self, era: u64, now_ms: u64) {
        let before = self.stored_in.replace(era);
        if before != era && before != 0 {
            self.written.borrow_mut().clear();
            self.is_restored.set(true);
        }
        let store = self.store.borrow();
        let Some(store) = store.as_ref() else {
            return;
        };
        for record in self.changed(now_ms) {
            let (key, is_listed) = (record.key.clone(), record.is_listed);
            let call = VersionCall::Write(record, self.outcomes.clone());
            match store.try_send(call) {
                Ok(()) => drop(self.written.borrow_mut().insert(key, is_listed)),
                Err(e) => {
                    log::warn!(service = &*key.service; "version not stored yet: {e}");
                    return;
                }
            }
        }
    }

    /// Versions whose records lack that they have appeared or gone.
    fn changed(&self, now_ms: u64) -> Vec<VersionRecord> {
        let listed = self.listed.borrow();
        let mut written = self.written.borrow_mut();
        let listings = self.report(now_ms).listings;
        if written.len() > listings.len() {
            let known: HashSet<VersionKey> = listings.iter().map(Into::into).collect();
            written.retain(|key, _| known.contains(key));
        }
        let is_current = now_ms.saturating_sub(self.confirmed_ms.get()) <= LIST_AGE_MS;
        // In a new era, the records of versions that have gone may be lost.
        let is_rewritten = self.is_restored.get() && is_current;
        let records = listings.into_iter().map(|listing| {
            let key = VersionKey::from(&listing);
            VersionRecord {
                is_listed: listed.contains(&key),
                age_ms: listing.age_ms,
                stored_age_ms: listing.stored_age_ms.unwrap_or(0),
                key,
            }
        });
        let is_changed = |record: &VersionRecord| match written.get(&record.key) {
            None => record.is_listed || is_rewritten,
            Some(false) => record.is_listed,
            Some(true) => !record.is_listed && is_current && record.age_ms >= GONE_AFTER_MS,
        };
        records.filter(is_changed).collect()
    }

    /// Services that have a listed version of which the platform may have no record.
    fn unstored(&self, now_ms: u64) -> Vec<Name> {
        let listings = self.report(now_ms).listings.into_iter();
        let unstored = listings.filter(|l| l.age_ms < GONE_AFTER_MS && l.stored_age_ms.is_none());
        let mut services: Vec<Name> = unstored.map(|l| l.service).collect();
        services.sort();
        services.dedup();
        services
    }

    /// Number of listed versions at which no stream may begin yet.
    fn unused(&self, now_ms: u64) -> usize {
        let listed = self.listed.borrow();
        let unused = listed.iter().filter(|key| {
            let software = key.software.as_ref();
            self.beginning(&key.service, software, now_ms) != Beginning::Allowed
        });
        unused.count()
    }

    /// Services that had several versions in the window.
    pub(crate) fn mixed(&self, now_ms: u64) -> Vec<Name> {
        self.history.borrow().mixed(now_ms).cloned().collect()
    }

    fn report(&self, now_ms: u64) -> Report {
        self.history.borrow().report(now_ms)
    }

    fn report_of(&self, service: &str, now_ms: u64) -> Report {
        self.history.borrow().report_of(service, now_ms)
    }
}

/// A report that reaches back only if the sender's list of upstreams was current.
fn current(report: VersionReport) -> VersionReport {
    let is_current = report.upstreams_age_ms <= LIST_AGE_MS;
    VersionReport {
        reach_ms: if is_current { report.reach_ms } else { 0 },
        ..report
    }
}

impl From<&Listing> for VersionKey {
    fn from(listing: &Listing) -> Self {
        Self {
            service: listing.service.clone(),
            software: listing.software.clone(),
        }
    }
}

impl From<VersionListing> for Listing {
    fn from(received: VersionListing) -> Self {
        Self {
            service: received.service.into(),
            software: received.software.map(Into::into),
            age_ms: received.age_ms,
            stored_age_ms: received.stored_age_ms,
        }
    }
}

impl From<Listing> for VersionListing {
    fn from(listing: Listing) -> Self {
        Self {
            service: listing.service.to_string(),
            software: listing.software.map(|software| software.to_string()),
            age_ms: listing.age_ms,
            stored_age_ms: listing.stored_age_ms,
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
        let confirmed_ms = path.replica.upstreams_fresh().get().confirmed_ms();
        let now_ms = path.clock.now_ms();
        path.versions.refresh(&path.state, confirmed_ms, now_ms);
    }
}

/// Looks at the listed versions, and has those stored that have changed if this router reads the
/// platform's log for the others. Otherwise it asks those routers for the versions that are new to it.
pub(crate) fn refresh_and_store<D: Records>(path: &Rc<RequestPath<D>>) {
    let now_ms = path.clock.now_ms();
    refresh(path);
    let unstored = path.versions.unstored(now_ms);
    if path.replica.is_loaded() {
        stats::versions_unused(path.versions.unused(now_ms));
    }
    let since_ms = if unstored.is_empty() {
        None
    } else {
        path.versions.unstored_since_ms.get().or(Some(now_ms))
    };
    path.versions.unstored_since_ms.set(since_ms);
    let limit_ms = store_after_ms(&path.host, path.routers());
    let is_overdue = since_ms.is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= limit_ms);
    let is_reader = path.is_reader();
    if is_reader || is_overdue {
        let era = *path.replica.era().borrow();
        path.versions.store_changed(era, now_ms);
    }
    if !is_reader && !unstored.is_empty() && !path.versions.is_asking.replace(true) {
        let path = path.clone();
        compio::runtime::spawn(async move {
            ask_readers(&path, &unstored).await;
            path.versions.is_asking.set(false);
        })
        .detach();
    }
}

/// Time after which the router on `host` has a version stored itself if no other one has confirmed its record.
///
/// Failure guarded against: the store takes no writes for a second while a version joins a large fleet, and then all
/// routers write its record at once.
pub(super) fn store_after_ms(host: &str, routers: usize) -> u64 {
    let spread_ms = (routers as u64).saturating_mul(STORE_SPACING_MS).max(1);
    STORE_AFTER_MS + util::hash_parts(&["version", host]) % spread_ms
}

/// Asks a router that reads the log for the others which versions of these services are stored.
async fn ask_readers<D: Records>(path: &Rc<RequestPath<D>>, services: &[Name]) {
    let addr = {
        let fleet = path.fleet.borrow();
        let readers = log_reads::readers(&fleet).into_iter();
        let others = readers.filter(|m| m.host != path.host);
        others.choose(&mut rand::rng()).map(|m| m.peer_addr.clone())
    };
    let Some(addr) = addr else {
        return;
    };
    for service in services {
        let request = OriginRequest {
            streams: Vec::new(),
            origin: None,
            service: service.to_string(),
        };
        let reply = within(WAIT_LIMIT, stream_origins::query(path, &addr, &request)).await;
        if let Ok(Some(reply)) = reply
            && let Some(report) = reply.versions
        {
            let now_ms = path.clock.now_ms();
            path.versions.merge_service(service, report, now_ms);
        }
    }
}

/// Versions of `service` at which no stream may begin yet.
pub(crate) fn unused<D>(path: &RequestPath<D>, service: &str) -> Vec<Option<Name>> {
    let now_ms = path.clock.now_ms();
    let pool = path.state.shared_pool(service);
    let versions = pool.versions();
    let unused = versions.filter(|software| {
        path.versions.beginning(service, *software, now_ms) != Beginning::Allowed
    });
    unused.map(Option::<&Name>::cloned).collect()
}

/// Waits a moment until streams may begin at some version of `service`: in a fleet that has just started, none
/// is stored yet.
pub(crate) async fn wait_for_first<D: Records>(path: &Rc<RequestPath<D>>, service: &str) {
    let is_open = || {
        let pool = path.state.shared_pool(service);
        let versions = pool.versions().count();
        versions == 0 || unused(path, service).len() < versions
    };
    if is_open() {
        return;
    }
    let opened = async {
        loop {
            refresh_and_store(path);
            if is_open() {
                return;
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
    };
    // After the time limit, the choice of an upstream refuses the request.
    let _ = within(WAIT_LIMIT, opened).await;
}

/// Reads the records if a version of `service` may have come and gone unseen. One read serves all that wait.
pub(crate) async fn read_if_needed<D: Records>(path: &Rc<RequestPath<D>>, service: &str) {
    if !path.versions.must_read(service, path.clock.now_ms()) {
        return;
    }
    let read = path.versions.read.notified();
    if !path.versions.is_reading.replace(true) {
        let path = path.clone();
        compio::runtime::spawn(async move {
            read_records(&path).await;
            path.versions.is_reading.set(false);
            path.versions.read.notify_waiters();
        })
        .detach();
    }
    // What was read before the time limit counts.
    let _ = within(WAIT_LIMIT, read).await;
}

async fn read_records<D: Records>(path: &RequestPath<D>) {
    let store = path.versions.store.borrow().clone();
    let Some(store) = store else {
        return;
    };
    let read_ms = path.clock.now_ms();
    let (reply, read) = oneshot::channel();
    if store.try_send(VersionCall::Read(reply)).is_err() {
        return log::warn!("the records of versions can't be read: too many calls wait");
    }
    if let Ok(stored) = read.await {
        let now_ms = path.clock.now_ms();
        path.versions.apply_stored(&stored, read_ms, now_ms);
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
    report.reach_ms >= WINDOW_MS && report.upstreams_age_ms <= LIST_AGE_MS
}

fn as_message<D: Records>(path: &RequestPath<D>, report: Report) -> VersionReport {
    let has_gap = path.versions.unread_since_ms.get().is_some();
    let fresh = path.replica.upstreams_fresh();
    let is_confirmed = path.replica.is_loaded() && fresh.get().confirmed_ms() > 0;
    VersionReport {
        reach_ms: if has_gap { 0 } else { report.reach_ms },
        listings: report.listings.into_iter().map(Into::into).collect(),
        upstreams_age_ms: if is_confirmed {
            fresh.age_ms()
        } else {
            u64::MAX
        },
    }
}

/// Whether a take-up may soon find the lists of upstreams of this and other routers too old to show all versions.
pub(crate) fn is_list_ageing<D: Records>(path: &RequestPath<D>) -> bool {
    path.replica.upstreams_fresh().age_ms() > AGEING_MS
}

/// Whether this router's list of upstreams shows all versions at which streams can have begun by `begun_ms`.
///
/// Failure guarded against: a router is cut off from the log, or stands still, while a second version of a service
/// begins to serve. It would take the first one for the only one.
pub(crate) fn is_current<D: Records>(path: &RequestPath<D>, begun_ms: u64) -> bool {
    let confirmed_ms = path.replica.upstreams_fresh().get().confirmed_ms();
    path.replica.is_loaded() && confirmed_ms > 0 && confirmed_ms + LIST_AGE_MS >= begun_ms
}
