//! State of the platform's log as known to this router: read from the log, or received from a peer.

mod orders;
mod restore;
mod sync;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::marker::PhantomData;
use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::{Notify, watch};

use crate::fleet::log_reads::ReadSchedule;
use crate::mutation::{Mutation, mutated};
use crate::path::change_log::{Change, ChangeLog};
use crate::path::changes::Changes;
use crate::path::cursor::Record;
use crate::path::departures::{Departure, Departures};
use crate::path::dialect::Records;
use crate::path::freshness::{Evidence, StreamFreshness};
use crate::path::position::StreamPosition;
use crate::path::router_state::RouterState;
use crate::path::send_budget::SendBudget;
use crate::path::start_report::{Part, StartReport};
use crate::path::suspend::SuspendGuard;
use crate::peers::compression;
use crate::schema::peer::UpstreamChange;
use crate::stats;
use crate::util::{Clock, Name};

/// Silence of the log after which entries of upstreams expire: three of their write intervals.
const ENTRY_EXPIRY_MS: u64 = 3_000;
/// An upstream whose entry expired while the log was unavailable writes it again within two seconds
/// of the log's return, if it is alive. One whose entry is still missing after this time is
/// removed.
const REMOVAL_DELAY_MS: u64 = 2_300;

/// Intervals at which each stream of the log is read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadSchedules {
    pub(crate) config: ReadSchedule,
    pub(crate) upstreams: ReadSchedule,
}

/// All upstreams as of a position of the log, compressed.
#[derive(Clone, Default)]
struct Snapshot {
    bytes: Bytes,
    at: StreamPosition,
    /// When it was last known to be complete.
    confirmed_ms: u64,
}

/// While it exists, this router waits for peers to send a stream.
pub(crate) struct AwaitedOfPeers(Rc<Cell<u32>>);

impl AwaitedOfPeers {
    fn new(count: Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for AwaitedOfPeers {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Configuration and upstreams, with the data that is sent to other routers.
pub(crate) struct LogReplica<D> {
    state: Rc<RouterState>,
    clock: Clock,
    /// Configuration in force, compressed for other routers.
    compressed_config: RefCell<Bytes>,
    snapshot: RefCell<Snapshot>,
    snapshot_sends: SendBudget,
    config_fresh: StreamFreshness,
    upstreams: RefCell<HashMap<Name, Bytes>>,
    upstreams_at: Cell<StreamPosition>,
    /// Position at which the log's era was loaded, by this router or the one that it learned from.
    era_loaded_at: Cell<StreamPosition>,
    upstreams_fresh: StreamFreshness,
    changes: RefCell<Changes>,
    /// Time until which upstreams with removed entries are assumed to be alive.
    removals_delayed_until_ms: Cell<u64>,
    missing: RefCell<HashSet<Name>>,
    departures: RefCell<Departures>,
    /// Whether all upstreams are being replaced at once, which is logged as counts.
    is_bulk: Cell<bool>,
    change_log: ChangeLog,
    log_fails: Cell<bool>,
    /// Number of streams that peers are to send.
    awaited_of_peers: Rc<Cell<u32>>,
    suspend: Rc<SuspendGuard>,
    refresh_wanted: Rc<Notify>,
    load_settled: Rc<Notify>,
    start: Rc<StartReport>,
    /// Era of the log, 0 before it is known.
    era: watch::Sender<u64>,
    records: PhantomData<D>,
}

impl<D: Records> LogReplica<D> {
    pub(crate) fn new(state: Rc<RouterState>, clock: Clock, schedules: ReadSchedules) -> Self {
        let suspend = Rc::new(SuspendGuard::new(clock));
        let refresh_wanted: Rc<Notify> = Rc::default();
        let fresh = |name, schedule| {
            let (suspend, wanted) = (suspend.clone(), refresh_wanted.clone());
            StreamFreshness::new(name, clock, suspend, schedule, wanted)
        };
        Self {
            state,
            clock,
            compressed_config: RefCell::default(),
            snapshot: RefCell::default(),
            snapshot_sends: SendBudget::default(),
            config_fresh: fresh("configuration", schedules.config),
            upstreams: RefCell::default(),
            upstreams_at: Cell::default(),
            era_loaded_at: Cell::default(),
            upstreams_fresh: fresh("upstreams", schedules.upstreams),
            changes: RefCell::default(),
            removals_delayed_until_ms: Cell::default(),
            missing: RefCell::default(),
            departures: RefCell::default(),
            is_bulk: Cell::default(),
            change_log: ChangeLog::default(),
            log_fails: Cell::default(),
            awaited_of_peers: Rc::default(),
            suspend,
            refresh_wanted,
            load_settled: Rc::default(),
            start: Rc::new(StartReport::new(clock)),
            era: watch::Sender::new(0),
            records: PhantomData,
        }
    }

    /// Checks the clock for a suspension of this router, after which its state may be too old.
    pub(crate) fn check_clock(&self) {
        if self.suspend.check_clock() {
            self.config_fresh.refresh_if_needed();
            self.upstreams_fresh.refresh_if_needed();
        }
    }

    /// Notified when requests wait for newer state.
    pub(crate) fn refresh_wanted(&self) -> Rc<Notify> {
        self.refresh_wanted.clone()
    }

    /// Whether requests wait for newer state, or did so in vain.
    pub(crate) fn is_refresh_wanted(&self) -> bool {
        self.config_fresh.is_wanted() || self.upstreams_fresh.is_wanted()
    }

    /// Records that peers which were asked at `asked_ms` have answered, or had the time to.
    pub(crate) fn record_peers_asked(&self, asked_ms: u64) {
        if asked_ms >= self.suspend.stalled_ms() {
            self.config_fresh.record_peers_asked(asked_ms);
            self.upstreams_fresh.record_peers_asked(asked_ms);
        }
    }

    /// Whether this router did not run for a part of the time since `from_ms`.
    pub(crate) fn has_stalled_since(&self, from_ms: u64) -> bool {
        self.check_clock();
        self.suspend.stalled_ms() > from_ms
    }

    /// Returns the earliest time at which something may have happened that this router notices now.
    pub(crate) fn earliest_ms(&self) -> u64 {
        self.check_clock();
        self.suspend.earliest_ms()
    }

    /// Whether requests may be decided by the configuration and by the upstreams.
    pub(crate) fn is_usable(&self) -> bool {
        self.config_fresh.is_usable() && self.upstreams_fresh.is_usable()
    }

    /// Returns when this router was last resumed from a suspension; 0 if it never was suspended.
    pub(crate) fn resumed_ms(&self) -> u64 {
        self.suspend.resumed_ms()
    }

    /// Applies a configuration. An invalid one is refused, and the current one stays in force.
    pub(crate) fn configure(&self, record: Bytes, source: &str) {
        match D::deployment(&record) {
            Ok(deployment) => {
                let version = deployment.version;
                if self.state.configure(deployment) {
                    self.compress_config(&record);
                    log::info!("configuration {version} in force, from {source}");
                    self.start.record_arrival(Part::Configuration, source);
                    self.notify_loaded();
                }
            }
            Err(e) => log::error!("configuration from {source} refused: {e}"),
        }
    }

    /// Compresses a configuration for other routers.
    ///
    /// Failure guarded against: a configuration of a thousand routes takes hundreds of kilobytes.
    /// Dozens of routers request it from the first ones that have it, over slow links: each serves
    /// only a few per second, and the change takes effect too late. Compression reduces it to some
    /// hundredths of that size.
    fn compress_config(&self, record: &[u8]) {
        let compressed = compression::compress(record);
        let compressed = compressed.inspect_err(|e| {
            log::error!(
                "configuration can't be compressed for peers, which get none from this router: {e}"
            )
        });
        self.compressed_config
            .replace(compressed.unwrap_or_default());
    }

    /// Applies a compressed configuration from another router.
    fn configure_compressed(&self, config: &[u8], source: &str) {
        match compression::decompress(config) {
            Ok(record) => self.configure(record, source),
            Err(e) => {
                log::error!("configuration from {source} can't be decompressed and is ignored: {e}")
            }
        }
    }

    /// Whether both configuration and upstreams were loaded since this router started, or confirmed
    /// to be empty.
    pub(crate) fn is_loaded(&self) -> bool {
        self.has_config() && self.has_upstreams()
    }

    /// Whether the configuration was loaded, or confirmed to be missing.
    pub(crate) fn has_config(&self) -> bool {
        self.state.deployment().version > 0 || self.config_fresh.get().confirmed_ms() > 0
    }

    /// Whether the upstreams were loaded, or confirmed to be none.
    pub(crate) fn has_upstreams(&self) -> bool {
        self.state.upstream_count() > 0 || self.upstreams_fresh.get().confirmed_ms() > 0
    }

    /// Notified once both are loaded, and when a read of the log fails.
    pub(crate) fn load_settled(&self) -> Rc<Notify> {
        self.load_settled.clone()
    }

    /// The newest era of the log that the upstreams reflect.
    pub(crate) fn era(&self) -> watch::Receiver<u64> {
        self.era.subscribe()
    }

    /// Confirms that the configuration was the newest one at `at_ms`.
    pub(crate) fn confirm_config(&self, at_ms: u64, evidence: Evidence) {
        self.config_fresh.confirm(at_ms, evidence);
        self.notify_loaded();
    }

    /// Confirms that the upstreams were complete at `at_ms`.
    pub(crate) fn confirm_upstreams(&self, at_ms: u64, evidence: Evidence) {
        self.upstreams_fresh.confirm(at_ms, evidence);
        self.notify_loaded();
    }

    /// What this router waits for, or waited for, at its start.
    pub(crate) fn start_report(&self) -> &Rc<StartReport> {
        &self.start
    }

    /// Logs the progress of the start.
    pub(crate) fn log_start(&self) {
        if self.state.upstream_count() > 0 {
            // They have registered one by one since the start.
            self.start
                .record_arrival(Part::Upstreams, "records of the log");
        }
        self.start.log_progress();
    }

    fn notify_loaded(&self) {
        if self.is_loaded() {
            self.load_settled.notify_waiters();
        }
    }

    /// Describes the state that a decision is based on: versions, ages, what confirmed each, and the
    /// last suspension.
    pub(crate) fn describe(&self) -> String {
        let resumed = self.suspend.since_resumed_ms();
        let resumed = resumed.map(|ms| format!(", resumed {ms} ms ago"));
        format!(
            "configuration {} at {} {}, upstreams at {} {}{}",
            self.state.deployment().version,
            self.orders_at(),
            self.config_fresh.describe(),
            self.upstreams_at.get(),
            self.upstreams_fresh.describe(),
            resumed.unwrap_or_default(),
        )
    }

    /// Freshness of the configuration.
    pub(crate) fn config_fresh(&self) -> &StreamFreshness {
        &self.config_fresh
    }

    /// Freshness of the upstreams.
    pub(crate) fn upstreams_fresh(&self) -> &StreamFreshness {
        &self.upstreams_fresh
    }

    /// Makes this router read the log at once, because a peer has newer upstreams that it doesn't
    /// send.
    fn request_read(&self) {
        self.upstreams_fresh.invalidate();
    }

    /// Whether this router is about to read from the log what its peers cannot send. False while
    /// the log fails.
    pub(crate) fn awaits_log(&self) -> bool {
        self.upstreams_fresh.get().is_invalidated() && !self.log_fails.get()
    }

    /// Whether this router waits for peers to send what it would load from the log otherwise.
    pub(crate) fn awaits_peers(&self) -> bool {
        self.awaited_of_peers.get() > 0
    }

    /// Marks this router as waiting for peers until the returned guard is dropped.
    pub(crate) fn await_peers(&self) -> AwaitedOfPeers {
        AwaitedOfPeers::new(self.awaited_of_peers.clone())
    }

    /// Whether the last read of the log failed.
    pub(crate) fn log_fails(&self) -> bool {
        self.log_fails.get()
    }

    pub(crate) fn set_log_fails(&self, fails: bool) {
        self.log_fails.set(fails);
        if fails {
            self.load_settled.notify_waiters();
        }
    }

    pub(crate) fn set_schedules(&self, schedules: ReadSchedules) {
        self.config_fresh.set_schedule(schedules.config);
        self.upstreams_fresh.set_schedule(schedules.upstreams);
    }

    /// Position of the log that the upstreams reflect.
    pub(crate) fn upstreams_at(&self) -> StreamPosition {
        self.upstreams_at.get()
    }

    /// Applies all upstreams of the log as of `end`.
    pub(crate) fn apply_snapshot(&self, records: Vec<Record>, end: StreamPosition, asked_ms: u64) {
        self.check_clock();
        self.end_silence();
        if end < self.upstreams_at.get() {
            // Peers have sent newer records since.
            return;
        }
        self.enter_era_at(end, end, "the store");
        // Records that were written and removed again since the last read are missing from the
        // changes kept here.
        if !mutated(Mutation::KeepChangesAcrossGap) {
            self.start_at(end);
        }
        self.is_bulk.set(true);
        let listed: HashSet<&str> = records.iter().map(|r| r.key.as_str()).collect();
        let known: Vec<Name> = self.upstreams.borrow().keys().cloned().collect();
        for id in known.iter().filter(|id| !listed.contains(&***id)) {
            self.remove(end, id);
        }
        for record in records {
            self.record(end, record);
        }
        self.start_at(end);
        self.finish_bulk_update("the store");
        self.confirm_upstreams(asked_ms, Evidence::Log);
    }

    /// Applies the records of upstreams from `from` on: all that the log had at `seen_ms`. They show
    /// nothing if peers have told of a newer era meanwhile.
    pub(crate) fn apply_records(&self, from: StreamPosition, records: Vec<Record>, seen_ms: u64) {
        self.check_clock();
        self.end_silence();
        if from.era < self.upstreams_at.get().era {
            return;
        }
        for (count, record) in (1..).zip(records) {
            let at = from.after(count);
            if at > self.upstreams_at.get() || mutated(Mutation::AcceptOldRecords) {
                self.record(at, record);
            }
        }
        self.confirm_upstreams(seen_ms, Evidence::Log);
    }

    fn record(&self, at: StreamPosition, record: Record) {
        match record.value {
            Some(value) => self.put(at, &record.key, value),
            None => self.remove(at, &record.key),
        }
    }

    /// Applies the record of an upstream; `at` is the position after it.
    pub(crate) fn put(&self, at: StreamPosition, id: &str, record: Bytes) {
        let mut upstream = match D::upstream(id, &record) {
            Ok(upstream) => upstream,
            Err(e) => return self.reject(at, id, &e),
        };
        let held = self.held_departure(&upstream.incarnation(), at);
        match held {
            Some(Departure::Gone) => return self.list(at, id, record),
            Some(Departure::Draining) => upstream.draining = true,
            None => self.departures.borrow_mut().forget(&upstream.incarnation()),
        }
        let draining = upstream.draining;
        let before = self.state.upstream(id);
        let restarted = before.filter(|before| upstream.is_restart_of(before));
        let is_restart = restarted.is_some();
        let is_new = !self.state.has_upstream(id) && self.upstreams_at.get().is_known();
        self.missing.borrow_mut().remove(id);
        let now_ms = self.clock.now_ms();
        let cold = upstream.clone();
        let is_change = self.state.change_upstreams(|u| u.put(upstream));
        let was_listed = self.upstreams.borrow().contains_key(id);
        if !is_change && was_listed && held.is_none() {
            return;
        }
        self.state.report_cold(&cold, now_ms);
        if let Some(before) = restarted {
            log::info!("upstream {id} restarted");
            self.state.record_restart(&before.incarnation(), now_ms);
        }
        if is_new || is_restart {
            self.state.record_join(id, now_ms);
        }
        let change = if draining {
            Change::Draining
        } else {
            Change::Ready
        };
        self.log_change(id, change, at);
        self.list(at, id, record);
    }

    /// Lists the record of an upstream as the log has it, for other routers.
    fn list(&self, at: StreamPosition, id: &str, record: Bytes) {
        self.upstreams
            .borrow_mut()
            .insert(id.into(), record.clone());
        self.push_change(at, id, record);
    }

    /// Handles a record that can't be decoded: it names no upstream to use, also if a valid record
    /// had the same key.
    fn reject(&self, at: StreamPosition, id: &str, error: &D::Error) {
        stats::invalid_record();
        if self.state.has_upstream(id) {
            log::warn!("upstream {id} is removed, its record is invalid: {error}");
        } else {
            log::debug!("record {id} is invalid and is ignored: {error}");
        }
        self.remove(at, id);
    }

    /// Handles the arrival of records. After a long outage, upstreams whose entries were removed stay
    /// in use for a while. A pause of this router is no outage: the entries of live upstreams were
    /// renewed in it, and one that is missing has left.
    ///
    /// Failure guarded against: the log returns and all entries have expired. A router that removed
    /// every upstream would refuse all requests until they have written their entries again. Each
    /// router delays removals for itself only and still sends them to its peers: otherwise peers
    /// would send work to an upstream that has left.
    pub(crate) fn end_silence(&self) {
        let now_ms = self.clock.now_ms();
        let silence_ms = self.upstreams_fresh.age_ms();
        if self.upstreams_at.get().is_known()
            && silence_ms > ENTRY_EXPIRY_MS
            && self.upstreams_fresh.has_failed()
            && !mutated(Mutation::RemoveExpiredAtOnce)
        {
            log::info!(
                "upstream records received again after {silence_ms} ms; removals are delayed by {REMOVAL_DELAY_MS} ms"
            );
            self.removals_delayed_until_ms
                .set(now_ms + REMOVAL_DELAY_MS);
        }
    }

    /// Handles the removal of the entry of an upstream.
    pub(crate) fn remove(&self, at: StreamPosition, id: &str) {
        if self.upstreams.borrow_mut().remove(id).is_none() {
            return;
        }
        let is_delayed = self.clock.now_ms() < self.removals_delayed_until_ms.get();
        if !(is_delayed && mutated(Mutation::WithholdUnconfirmedRemovals)) {
            self.push_change(at, id, Bytes::new());
        }
        if is_delayed {
            self.missing.borrow_mut().insert(id.into());
        } else {
            self.drop_upstream(at, id);
        }
    }

    /// Removes upstreams that have not written their entries again by the end of the delay. Time in
    /// which the log is away doesn't count, as nobody can write to it; a pause of this router does.
    pub(crate) fn remove_missing(&self) {
        let now_ms = self.clock.now_ms();
        let is_away = self.upstreams_fresh.is_old() && self.upstreams_fresh.has_failed();
        if is_away && !self.missing.borrow().is_empty() {
            self.removals_delayed_until_ms
                .set(now_ms + REMOVAL_DELAY_MS);
        }
        if now_ms < self.removals_delayed_until_ms.get() {
            return;
        }
        for id in self.missing.take() {
            self.drop_upstream(self.upstreams_at.get(), &id);
        }
    }

    fn drop_upstream(&self, at: StreamPosition, id: &str) {
        let Some(incarnation) = self.state.upstream(id).map(|u| u.incarnation()) else {
            return;
        };
        let now_ms = self.clock.now_ms();
        self.state.change_upstreams(|u| u.remove(id));
        self.log_change(id, Change::Gone, at);
        self.state.record_death(&incarnation, now_ms);
        let mut departures = self.departures.borrow_mut();
        departures.record_gone(incarnation, now_ms);
    }

    fn log_change(&self, id: &str, change: Change, at: StreamPosition) {
        if !self.is_bulk.get() {
            self.change_log.record(id, change, at);
        }
    }

    /// Logs the changes of upstreams since the last call that have no line of their own.
    pub(crate) fn flush_change_log(&self) {
        self.change_log.flush(self.upstreams_at.get());
    }

    /// Completes the replacement of all upstreams, received from `source`.
    ///
    /// Failure guarded against: a router that starts logs a line for each upstream and meanwhile
    /// serves nobody, and a fleet that starts together writes a line for each pair of router and
    /// upstream.
    fn finish_bulk_update(&self, source: &str) {
        self.is_bulk.set(false);
        let known = self.state.upstream_count();
        let missing = self.missing.borrow().len();
        let position = self.upstreams_at.get();
        log::info!(upstreams = known, missing, position:%, source; "all upstreams replaced");
        if known > 0 {
            self.start.record_arrival(Part::Upstreams, source);
        }
        self.notify_loaded();
    }

    /// Notes that all upstreams were read as of `at`: earlier changes are unknown here.
    pub(crate) fn start_at(&self, at: StreamPosition) {
        if at > self.upstreams_at.get() {
            self.publish_era(at.era);
            self.upstreams_at.set(at);
            self.changes.borrow_mut().start_at(at);
        }
    }

    fn publish_era(&self, era: u64) {
        self.era
            .send_if_modified(|known| std::mem::replace(known, era) != era);
    }

    fn push_change(&self, at: StreamPosition, id: &str, record: Bytes) {
        self.upstreams_at.set(at.max(self.upstreams_at.get()));
        self.changes.borrow_mut().push(UpstreamChange {
            at: Some(at),
            id: id.to_owned(),
            record: record.into(),
        });
    }
}

/// State that tests compare with the log.
#[cfg(test)]
impl<D: Records> LogReplica<D> {
    /// Ids of the listed upstreams, and whether each of them drains.
    pub(super) fn listed(&self) -> std::collections::BTreeMap<String, bool> {
        let upstreams = self.upstreams.borrow();
        let drains = |id: &Name, record: &Bytes| D::upstream(id, record).is_ok_and(|u| u.draining);
        let listed = upstreams.iter();
        listed
            .map(|(id, r)| (id.to_string(), drains(id, r)))
            .collect()
    }

    pub(super) fn missing_ids(&self) -> Vec<String> {
        let missing = self.missing.borrow();
        missing.iter().map(ToString::to_string).collect()
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    pub(super) fn config_confirmed_ms(&self) -> u64 {
        self.config_fresh.get().confirmed_ms()
    }

    pub(super) fn upstreams_confirmed_ms(&self) -> u64 {
        self.upstreams_fresh.get().confirmed_ms()
    }
}
