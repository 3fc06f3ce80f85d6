//! What routers tell one another of the log, and what one makes of it.

use std::cell::Cell;
use std::collections::HashSet;

use bytes::Bytes;

use crate::fleet::log_reads::Freshness;
use crate::path::dialect::Records;
use crate::path::log_replica::LogReplica;
use crate::peers::{compression, frames};
use crate::schema::peer::{LogPosition, LogSyncReply, LogSyncRequest, UpstreamChange};
use crate::util::Name;

/// The age of upstreams that the giver knows more of than it tells.
const UNTOLD_MS: u32 = u32::MAX;
/// The age of what the giver doesn't know at all: older than any clock, so that it confirms nothing.
const UNKNOWN_MS: u32 = u32::MAX - 1;

impl<D: Records> LogReplica<D> {
    /// How much is known here.
    pub(crate) fn position(&self) -> LogPosition {
        let now_ms = self.clock.now_ms();
        let age = |fresh: &Cell<Freshness>| age_ms(fresh.get(), now_ms);
        LogPosition {
            config_version: self.state.deployment().version,
            config_age_ms: age(&self.config_fresh),
            upstreams_at: self.upstreams_at.get(),
            upstreams_age_ms: age(&self.upstreams_fresh),
            orders_at: self.orders_at(),
        }
    }

    /// Whether a router with this mark knows more.
    pub(crate) fn is_behind(&self, mark: &LogPosition) -> bool {
        mark.config_version > self.state.deployment().version
            || mark.upstreams_at > self.upstreams_at.get()
            || mark.orders_at > self.orders_at()
    }

    /// Another router's mark, as it came in passing.
    pub(crate) fn heard(&self, mark: &LogPosition) {
        if !self.needs_refresh() {
            self.confirm(mark, self.clock.now_ms());
        }
    }

    /// What another router knew at `told_ms`: if that is no more than is known here, what it confirmed
    /// holds here too.
    fn confirm(&self, mark: &LogPosition, told_ms: u64) {
        let at = |age_ms: u32| told_ms.saturating_sub(age_ms.into());
        let has_orders = mark.orders_at == self.orders_at();
        if has_orders && mark.config_version == self.state.deployment().version {
            self.confirm_config(at(mark.config_age_ms));
        }
        if mark.upstreams_at == self.upstreams_at.get() {
            self.confirm_upstreams(at(mark.upstreams_age_ms));
        }
    }

    /// What an asker doesn't know yet.
    pub(crate) fn give(&self, ask: &LogSyncRequest) -> LogSyncReply {
        let has_newer = self.state.deployment().version > ask.config_version;
        let missed = self.changes.borrow().since(ask.upstreams_at);
        if missed.is_none() && !ask.takes_all {
            return self.give_config_alone(ask, has_newer);
        }
        let mut give = LogSyncReply {
            config: self.packed_config(has_newer),
            mark: Some(self.position()),
            evacuated: self.evacuated(ask),
            ..LogSyncReply::default()
        };
        let Some(changes) = missed else {
            give.all_upstreams = self.packed_upstreams();
            if give.all_upstreams.is_empty() {
                return self.give_config_alone(ask, has_newer);
            }
            return give;
        };
        if !changes.is_empty() {
            give.changes = pack(&changes);
            if give.changes.is_empty() {
                return self.give_config_alone(ask, has_newer);
            }
        }
        give
    }

    /// What an asker gets that must read the upstreams from the log: as far as this answer says, nothing came since.
    ///
    /// Failure guarded against: hundreds of routers start at once while upstreams come and go. Each keeps the changes since
    /// its own read alone, so those that read earlier would be given all upstreams again and again by those that read
    /// later, over links that callers need. The log gives them the few changes that they miss.
    fn give_config_alone(&self, ask: &LogSyncRequest, has_newer: bool) -> LogSyncReply {
        let mark = LogPosition {
            upstreams_at: ask.upstreams_at,
            upstreams_age_ms: UNTOLD_MS,
            ..self.position()
        };
        LogSyncReply {
            config: self.packed_config(has_newer),
            mark: Some(mark),
            evacuated: self.evacuated(ask),
            ..LogSyncReply::default()
        }
    }

    fn packed_config(&self, is_wanted: bool) -> Vec<u8> {
        if is_wanted {
            self.packed_config.borrow().to_vec()
        } else {
            Vec::new()
        }
    }

    fn evacuated(&self, ask: &LogSyncRequest) -> Vec<String> {
        let evacuations = self.state.evacuations();
        if evacuations.at() <= ask.orders_at {
            return Vec::new();
        }
        evacuations.names().map(ToString::to_string).collect()
    }

    /// All upstreams, packed once for all that ask at the same offset.
    ///
    /// Failure guarded against: thousands of records take hundreds of kilobytes. A fleet that starts at once hands them from
    /// router to router over thin links, and callers wait for those links.
    fn packed_upstreams(&self) -> Vec<u8> {
        let at = self.upstreams_at.get();
        let mut packed = self.packed_upstreams.borrow_mut();
        if packed.at != at {
            packed.bytes = self.pack_upstreams().into();
            packed.at = at;
        }
        packed.bytes.to_vec()
    }

    fn pack_upstreams(&self) -> Vec<u8> {
        let upstreams = self.upstreams.borrow();
        let change = |(id, record): (&Name, &Bytes)| UpstreamChange {
            at: self.upstreams_at.get(),
            id: id.to_string(),
            record: record.to_vec(),
        };
        let all: Vec<UpstreamChange> = upstreams.iter().map(change).collect();
        pack(&all)
    }

    /// Takes what another router gave when it was asked at `asked_ms`.
    pub(crate) fn take(&self, give: LogSyncReply, source: &str, asked_ms: u64) {
        self.look();
        let mark = give.mark.unwrap_or_default();
        if !give.config.is_empty() {
            self.configure_packed(&give.config, source);
        }
        if mark.orders_at > self.orders_at() {
            let evacuated = give.evacuated.iter().map(|name| name.as_str().into());
            self.take_evacuated(mark.orders_at, evacuated.collect(), source);
        }
        if mark.upstreams_at > self.upstreams_at.get() {
            if !self.take_upstreams(give, mark.upstreams_at, source) {
                return;
            }
        } else if mark.upstreams_age_ms == UNTOLD_MS {
            self.read_anew();
        }
        self.confirm(&mark, asked_ms);
        self.suspend.told_anew(asked_ms);
    }

    /// Tells whether what was given could be read.
    fn take_upstreams(&self, give: LogSyncReply, at: u64, source: &str) -> bool {
        let is_all = !give.all_upstreams.is_empty();
        let packed = if is_all {
            &give.all_upstreams
        } else {
            &give.changes
        };
        let changes = match unpack(packed) {
            Ok(changes) => changes,
            Err(e) => {
                log::error!("upstreams from {source} can't be unpacked: {e}");
                return false;
            }
        };
        self.returned();
        if is_all {
            self.take_all(changes, at, source);
        } else {
            self.take_changes(changes);
            self.upstreams_at.set(at);
        }
        true
    }

    fn take_all(&self, all: Vec<UpstreamChange>, at: u64, source: &str) {
        self.is_bulk.set(true);
        self.start_at(at);
        let there: HashSet<&str> = all.iter().map(|u| u.id.as_str()).collect();
        let known: Vec<Name> = self.upstreams.borrow().keys().cloned().collect();
        for id in known.iter().filter(|id| !there.contains(&***id)) {
            self.remove(at, id);
        }
        self.take_changes(all);
        self.upstreams_at.set(at);
        self.took_all(source);
    }

    fn take_changes(&self, changes: Vec<UpstreamChange>) {
        for change in changes {
            if change.record.is_empty() {
                self.remove(change.at, &change.id);
            } else {
                self.put(change.at, &change.id, change.record.into());
            }
        }
    }
}

/// Upstreams as they go between routers; nothing if they can't be packed, which is logged.
fn age_ms(fresh: Freshness, now_ms: u64) -> u32 {
    if fresh.confirmed_ms() == 0 {
        return UNKNOWN_MS;
    }
    u32::try_from(fresh.age_ms(now_ms)).map_or(UNKNOWN_MS, |ms| ms.min(UNKNOWN_MS))
}

fn pack(changes: &Vec<UpstreamChange>) -> Vec<u8> {
    let listed = frames::to_vec(changes).map_err(|e| e.to_string());
    let packed =
        listed.and_then(|listed| compression::compress(&listed).map_err(|e| e.to_string()));
    packed
        .inspect_err(|e| log::error!("upstreams can't be told: {e}"))
        .unwrap_or_default()
        .to_vec()
}

fn unpack(packed: &[u8]) -> Result<Vec<UpstreamChange>, String> {
    if packed.is_empty() {
        return Ok(Vec::new());
    }
    let listed = compression::decompress(packed).map_err(|e| e.to_string())?;
    frames::from_slice(&listed).map_err(|e| e.to_string())
}
