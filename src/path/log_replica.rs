//! What the platform's log says, as far as this router knows: read from it, or told by another.

mod orders;
mod sync;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::marker::PhantomData;
use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::Notify;

use crate::fleet::log_reads::{Freshness, ReadSchedule};
use crate::mutation::{Mutation, mutated};
use crate::path::changes::Changes;
use crate::path::cursor::Record;
use crate::path::dialect::Records;
use crate::path::router_state::RouterState;
use crate::path::suspend::SuspendGuard;
use crate::peers::compression;
use crate::schema::peer::UpstreamChange;
use crate::util::{Clock, Name};

/// Silence of the log for which entries of upstreams lapse: three of their writes.
const LAPSE_MS: u64 = 3_000;
/// An upstream whose entry lapsed while the log was away is back within two seconds of its return,
/// if it lives; one that is missing after this is gone.
const RETURN_SLACK_MS: u64 = 2_300;

/// When to read which stream of the log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadSchedules {
    pub(crate) config: ReadSchedule,
    pub(crate) upstreams: ReadSchedule,
}

/// What was packed, and the offset that it is as of.
#[derive(Default)]
struct Packed {
    bytes: Bytes,
    at: u64,
}

/// Configuration and upstreams with what other routers need of them.
pub(crate) struct LogReplica<D> {
    state: Rc<RouterState>,
    clock: Clock,
    schedules: Cell<ReadSchedules>,
    /// The configuration in force as other routers are told it.
    packed_config: RefCell<Bytes>,
    packed_upstreams: RefCell<Packed>,
    config_fresh: Cell<Freshness>,
    upstreams: RefCell<HashMap<Name, Bytes>>,
    upstreams_at: Cell<u64>,
    upstreams_fresh: Cell<Freshness>,
    changes: RefCell<Changes>,
    /// Until then, upstreams whose entries went are held for alive.
    doubt_until_ms: Cell<u64>,
    missing: RefCell<HashSet<Name>>,
    /// Everything is being taken at once: it is logged as counts.
    is_bulk: Cell<bool>,
    log_fails: Cell<bool>,
    suspend: SuspendGuard,
    load_settled: Rc<Notify>,
    records: PhantomData<D>,
}

impl<D: Records> LogReplica<D> {
    pub(crate) fn new(state: Rc<RouterState>, clock: Clock, schedules: ReadSchedules) -> Self {
        Self {
            state,
            clock,
            schedules: Cell::new(schedules),
            packed_config: RefCell::default(),
            packed_upstreams: RefCell::default(),
            config_fresh: Cell::default(),
            upstreams: RefCell::default(),
            upstreams_at: Cell::default(),
            upstreams_fresh: Cell::default(),
            changes: RefCell::default(),
            doubt_until_ms: Cell::default(),
            missing: RefCell::default(),
            is_bulk: Cell::default(),
            log_fails: Cell::default(),
            suspend: SuspendGuard::new(clock),
            load_settled: Rc::default(),
            records: PhantomData,
        }
    }

    /// Looks at the clock; if this router was suspended, all that it knows is stale.
    pub(crate) fn look(&self) {
        if self.suspend.look() {
            self.config_fresh.set(self.config_fresh.get().invalidated());
            self.upstreams_fresh
                .set(self.upstreams_fresh.get().invalidated());
        }
    }

    /// Whether nobody was asked yet since this router was suspended.
    pub(crate) fn needs_refresh(&self) -> bool {
        self.look();
        self.suspend.needs_refresh()
    }

    pub(crate) fn suspend(&self) -> &SuspendGuard {
        &self.suspend
    }

    /// Takes a configuration. One that can't be read is refused, and the old one stays in force.
    pub(crate) fn configure(&self, record: Bytes, source: &str) {
        match D::deployment(&record) {
            Ok(deployment) => {
                let version = deployment.version;
                if self.state.configure(deployment) {
                    self.pack_config(&record);
                    log::info!("configuration {version} in force, from {source}");
                    self.notify_loaded();
                }
            }
            Err(e) => log::error!("configuration from {source} refused: {e}"),
        }
    }

    /// Failure guarded against: a configuration of a thousand routes takes hundreds of kilobytes. Dozens of routers ask the
    /// first that have it, over thin links: each gives to a few in a second, the rest wait, and a change is in force too
    /// late. Packed, it takes some hundredths of that.
    fn pack_config(&self, record: &[u8]) {
        let packed = compression::compress(record);
        let packed = packed.inspect_err(|e| log::error!("configuration can't be told: {e}"));
        self.packed_config.replace(packed.unwrap_or_default());
    }

    /// Takes a configuration that another router told.
    fn configure_packed(&self, config: &[u8], source: &str) {
        match compression::decompress(config) {
            Ok(record) => self.configure(record, source),
            Err(e) => log::error!("configuration from {source} can't be unpacked: {e}"),
        }
    }

    /// Whether both configuration and upstreams were loaded since the start of this router, or there are none.
    pub(crate) fn is_loaded(&self) -> bool {
        let has_config =
            self.state.deployment().version > 0 || self.config_fresh.get().confirmed_ms() > 0;
        let has_upstreams =
            self.state.upstreams_known() > 0 || self.upstreams_fresh.get().confirmed_ms() > 0;
        has_config && has_upstreams
    }

    /// Notified once both are, and when a read of the log fails.
    pub(crate) fn load_settled(&self) -> Rc<Notify> {
        self.load_settled.clone()
    }

    /// The configuration is the newest there was at `at_ms`.
    pub(crate) fn confirm_config(&self, at_ms: u64) {
        let mut fresh = self.config_fresh.get();
        fresh.confirm(at_ms, &mut rand::rng());
        self.config_fresh.set(fresh);
        self.notify_loaded();
    }

    /// The upstreams are all there were at `at_ms`.
    pub(crate) fn confirm_upstreams(&self, at_ms: u64) {
        let mut fresh = self.upstreams_fresh.get();
        fresh.confirm(at_ms, &mut rand::rng());
        self.upstreams_fresh.set(fresh);
        self.notify_loaded();
    }

    fn notify_loaded(&self) {
        if self.is_loaded() {
            self.load_settled.notify_waiters();
        }
    }

    /// How fresh the configuration is.
    pub(crate) fn config_fresh(&self) -> Freshness {
        self.config_fresh.get()
    }

    /// How fresh the upstreams are.
    pub(crate) fn upstreams_fresh(&self) -> Freshness {
        self.upstreams_fresh.get()
    }

    /// Another knows more of the upstreams than it can tell: this router reads the log at once.
    fn read_anew(&self) {
        self.upstreams_fresh
            .set(self.upstreams_fresh.get().invalidated());
    }

    /// Whether the log, which is in reach, is about to tell this router what others can't.
    pub(crate) fn awaits_log(&self) -> bool {
        self.upstreams_fresh.get().is_invalidated() && !self.log_fails.get()
    }

    /// Whether this router's last read of the log failed.
    pub(crate) fn log_fails(&self) -> bool {
        self.log_fails.get()
    }

    pub(crate) fn set_log_fails(&self, fails: bool) {
        self.log_fails.set(fails);
        if fails {
            self.load_settled.notify_waiters();
        }
    }

    /// When to read what.
    pub(crate) fn schedules(&self) -> ReadSchedules {
        self.schedules.get()
    }

    pub(crate) fn set_schedules(&self, schedules: ReadSchedules) {
        self.schedules.set(schedules);
    }

    /// The offset up to which the upstreams are those of the log; 0 if nothing is known.
    pub(crate) fn upstreams_at(&self) -> u64 {
        self.upstreams_at.get()
    }

    /// Everything that the log says of upstreams up to offset `end`.
    pub(crate) fn read_all(&self, records: Vec<Record>, end: u64, asked_ms: u64) {
        self.look();
        self.returned();
        if end < self.upstreams_at.get() {
            // Others have told more meanwhile.
            return;
        }
        // What was written and dropped again since the last read is in nobody's changes here.
        if !mutated(Mutation::KeepChangesAcrossGap) {
            self.start_at(end);
        }
        self.is_bulk.set(true);
        let there: HashSet<&str> = records.iter().map(|r| r.key.as_str()).collect();
        let known: Vec<Name> = self.upstreams.borrow().keys().cloned().collect();
        for id in known.iter().filter(|id| !there.contains(&***id)) {
            self.remove(end, id);
        }
        for record in records {
            self.record(end, record);
        }
        self.start_at(end);
        self.took_all("the store");
        self.confirm_upstreams(asked_ms);
        self.suspend.told_anew(asked_ms);
    }

    /// What the log says of upstreams from offset `from` on: all there was at `seen_ms`.
    pub(crate) fn read_on(&self, from: u64, records: Vec<Record>, asked_ms: u64, seen_ms: u64) {
        self.look();
        self.returned();
        for (at, record) in (from + 1..).zip(records) {
            if at > self.upstreams_at.get() || mutated(Mutation::AcceptOldRecords) {
                self.record(at, record);
            }
        }
        self.confirm_upstreams(seen_ms);
        self.suspend.told_anew(asked_ms);
    }

    fn record(&self, at: u64, record: Record) {
        match record.value {
            Some(value) => self.put(at, &record.key, value),
            None => self.remove(at, &record.key),
        }
    }

    /// Takes what an upstream wrote; `at` is the offset after its record.
    pub(crate) fn put(&self, at: u64, id: &str, record: Bytes) {
        let upstream = match D::upstream(id, &record) {
            Ok(upstream) => upstream,
            Err(e) => return log::warn!("upstream {id} refused: {e}"),
        };
        let draining = upstream.draining;
        let started_ms = upstream.started_ms;
        let before_ms = self.state.started_ms(id);
        // Its host's clock may have stepped back between the two: any other time is another start. Zero isn't known.
        let is_other = |before_ms| before_ms != started_ms && before_ms > 0 && started_ms > 0;
        let is_restart = before_ms.is_some_and(is_other);
        let is_new = !self.state.knows_upstream(id) && self.upstreams_at.get() > 0;
        self.missing.borrow_mut().remove(id);
        let now_ms = self.clock.now_ms();
        let told = upstream.clone();
        let is_change = self.state.change_upstreams(|u| u.put(upstream));
        let was_listed = self.upstreams.borrow().contains_key(id);
        if !is_change && was_listed {
            return;
        }
        self.state.report_cold(&told, now_ms);
        if is_restart {
            log::info!("upstream {id} started again");
            self.state.restarted(&id.into(), now_ms);
        }
        if is_new || is_restart {
            self.state.joined(id, now_ms);
        }
        if !self.is_bulk.get() {
            log::info!("upstream {id} is there, draining: {draining}, offset {at}");
        }
        self.upstreams
            .borrow_mut()
            .insert(id.into(), record.clone());
        self.changed(at, id, record);
    }

    /// News come again. If none came for long, entries that went meanwhile are doubted for a while.
    ///
    /// Failure guarded against: the log comes back, all entries have lapsed, and a router that takes
    /// every upstream for gone refuses all requests until they have written again. Each router
    /// doubts for itself and tells the others what the log says: one that held back a removal from
    /// the others would leave them sending work to an upstream that left.
    pub(crate) fn returned(&self) {
        let now_ms = self.clock.now_ms();
        let silence_ms = self.upstreams_fresh.get().age_ms(now_ms);
        if self.upstreams_at.get() > 0
            && silence_ms > LAPSE_MS
            && !mutated(Mutation::RemoveExpiredAtOnce)
        {
            log::info!("news of upstreams again after {silence_ms} ms");
            self.doubt_until_ms.set(now_ms + RETURN_SLACK_MS);
        }
    }

    /// An upstream's entry went.
    pub(crate) fn remove(&self, at: u64, id: &str) {
        if self.upstreams.borrow_mut().remove(id).is_none() {
            return;
        }
        let in_doubt = self.clock.now_ms() < self.doubt_until_ms.get();
        if !(in_doubt && mutated(Mutation::WithholdUnconfirmedRemovals)) {
            self.changed(at, id, Bytes::new());
        }
        if in_doubt {
            self.missing.borrow_mut().insert(id.into());
        } else {
            self.gone(at, id);
        }
    }

    /// Takes those that didn't come back for gone, once the doubt is over.
    pub(crate) fn settle(&self) {
        if self.clock.now_ms() < self.doubt_until_ms.get() {
            return;
        }
        for id in self.missing.take() {
            self.gone(self.upstreams_at.get(), &id);
        }
    }

    fn gone(&self, at: u64, id: &str) {
        if self.state.change_upstreams(|u| u.remove(id)) {
            if !self.is_bulk.get() {
                log::info!("upstream {id} is gone, offset {at}");
            }
            self.state.found_dead(id, self.clock.now_ms());
        }
    }

    /// Everything was taken at once, from `source`.
    ///
    /// Failure guarded against: a router that starts logs a line for each upstream, serves nobody meanwhile, and a
    /// fleet that starts together writes as many lines as it has pairs of router and upstream.
    fn took_all(&self, source: &str) {
        self.is_bulk.set(false);
        let known = self.state.upstreams_known();
        let missing = self.missing.borrow().len();
        let offset = self.upstreams_at.get();
        log::info!(upstreams = known, missing, offset, source; "all upstreams taken");
        self.notify_loaded();
    }

    /// All upstreams were read as of offset `at`: changes before it are known by nobody here.
    pub(crate) fn start_at(&self, at: u64) {
        if at > self.upstreams_at.get() {
            self.upstreams_at.set(at);
            self.changes.borrow_mut().start_at(at);
        }
    }

    fn changed(&self, at: u64, id: &str, record: Bytes) {
        self.upstreams_at.set(at.max(self.upstreams_at.get()));
        self.changes.borrow_mut().push(UpstreamChange {
            at,
            id: id.to_owned(),
            record: record.into(),
        });
    }
}

/// What tests hold against the log.
#[cfg(test)]
impl<D: Records> LogReplica<D> {
    /// The entries known to be listed, by id, and whether each drains.
    pub(super) fn listed(&self) -> std::collections::BTreeMap<String, bool> {
        let upstreams = self.upstreams.borrow();
        let drains = |id: &Name, record: &Bytes| D::upstream(id, record).is_ok_and(|u| u.draining);
        let listed = upstreams.iter();
        listed
            .map(|(id, r)| (id.to_string(), drains(id, r)))
            .collect()
    }

    pub(super) fn doubted_ids(&self) -> Vec<String> {
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
