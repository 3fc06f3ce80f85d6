//! Exchange of log state between routers.

use std::collections::HashSet;

use bytes::Bytes;

use crate::fleet::log_reads::Freshness;
use crate::mutation::{Mutation, mutated};
use crate::path::dialect::Records;
use crate::path::freshness::{Evidence, StreamFreshness};
use crate::path::log_replica::{LogReplica, Snapshot};
use crate::path::position::StreamPosition;
use crate::peers::{compression, frames};
use crate::schema::peer::{LogPosition, LogSyncReply, LogSyncRequest, UpstreamChange};
use crate::stats;
use crate::util::Name;

/// Age up to which a snapshot is sent though there have been changes since: well below that at which
/// requests wait for newer state.
const MAX_SNAPSHOT_AGE_MS: u64 = 600;
/// Age sent for the upstreams if the sender has newer ones that it does not send.
const NOT_SENT_MS: u32 = u32::MAX;
/// Age of state that the sender does not have: older than any clock, so that it confirms nothing.
const UNKNOWN_MS: u32 = u32::MAX - 1;

impl LogPosition {
    /// Position up to which the upstreams match the log.
    pub(crate) fn upstreams(&self) -> StreamPosition {
        self.upstreams_at.unwrap_or_default()
    }

    /// Position up to which configuration and evacuations match the log.
    pub(crate) fn orders(&self) -> StreamPosition {
        self.orders_at.unwrap_or_default()
    }
}

impl<D: Records> LogReplica<D> {
    /// Returns the versions, offsets and ages of the state of this router.
    pub(crate) fn position(&self) -> LogPosition {
        let now_ms = self.clock.now_ms();
        let age = |fresh: &StreamFreshness| age_ms(fresh.get(), now_ms);
        LogPosition {
            config_version: self.state.deployment().version,
            config_age_ms: age(&self.config_fresh),
            upstreams_at: Some(self.upstreams_at.get()),
            upstreams_age_ms: age(&self.upstreams_fresh),
            orders_at: Some(self.orders_at()),
            at_ms: now_ms,
        }
    }

    /// Whether a router that published `position` has newer state.
    pub(crate) fn is_behind(&self, position: &LogPosition) -> bool {
        position.config_version > self.state.deployment().version
            || position.upstreams() > self.upstreams_at.get()
            || position.orders() > self.orders_at()
    }

    /// Handles the state that another router published by gossip; its ages are as of `as_of_ms`.
    pub(crate) fn receive_position(&self, position: &LogPosition, as_of_ms: u64) {
        let as_of_ms = if mutated(Mutation::DateReportsByArrival) {
            self.clock.now_ms()
        } else {
            as_of_ms
        };
        self.confirm(position, as_of_ms, Evidence::Report);
    }

    /// Confirms the state of this router by that of another one at `as_of_ms`, as far as the other
    /// has nothing newer.
    fn confirm(&self, position: &LogPosition, as_of_ms: u64, evidence: Evidence) {
        let at = |age_ms: u32| as_of_ms.saturating_sub(age_ms.into());
        let has_orders = position.orders() == self.orders_at();
        if has_orders && position.config_version == self.state.deployment().version {
            self.confirm_config(at(position.config_age_ms), evidence);
        }
        if position.upstreams() == self.upstreams_at.get() {
            self.confirm_upstreams(at(position.upstreams_age_ms), evidence);
        }
    }

    /// Returns the state that the requester lacks.
    pub(crate) fn reply_to(&self, request: &LogSyncRequest) -> LogSyncReply {
        let has_newer = self.state.deployment().version > request.config_version;
        let known = request.upstreams_at.unwrap_or_default();
        let missed = self.changes.borrow().since(known);
        if missed.is_none() && !request.takes_all {
            return self.reply_config_only(request, has_newer);
        }
        let mut reply = LogSyncReply {
            config: self.compressed_config(has_newer),
            mark: Some(self.position()),
            evacuated: self.evacuated(request),
            loaded_at: Some(self.era_loaded_at.get()),
            ..LogSyncReply::default()
        };
        let Some(changes) = missed else {
            return self.reply_with_snapshot(request, reply);
        };
        if !changes.is_empty() {
            reply.changes = compress(&changes);
            if reply.changes.is_empty() {
                return self.reply_config_only(request, has_newer);
            }
        }
        reply
    }

    /// Adds all upstreams to `reply`, unless too many others are being sent them.
    fn reply_with_snapshot(&self, request: &LogSyncRequest, reply: LogSyncReply) -> LogSyncReply {
        if !self.upstreams_at.get().is_known() {
            return reply;
        }
        let snapshot = self.snapshot();
        if snapshot.bytes.is_empty() {
            return self.reply_config_only(request, !reply.config.is_empty());
        }
        let now_ms = self.clock.now_ms();
        let bytes = snapshot.bytes.len();
        if self.snapshot_sends.reserve(bytes, now_ms).is_none() {
            stats::snapshot_refused();
            let position = LogPosition {
                upstreams_at: request.upstreams_at,
                upstreams_age_ms: UNKNOWN_MS,
                ..self.position()
            };
            return LogSyncReply {
                mark: Some(position),
                ..reply
            };
        }
        let position = LogPosition {
            upstreams_at: Some(snapshot.at),
            upstreams_age_ms: age_of(snapshot.confirmed_ms, now_ms),
            ..self.position()
        };
        LogSyncReply {
            all_upstreams: snapshot.bytes.to_vec(),
            mark: Some(position),
            ..reply
        }
    }

    /// Returns the answer for a requester that must read the upstreams from the log. It reports no
    /// newer upstreams.
    ///
    /// Failure guarded against: hundreds of routers start at once while upstreams start and stop.
    /// Each keeps only the changes since its own read, so those that read earlier would be sent all
    /// upstreams again and again by those that read later, over links that callers need. The log
    /// sends them the few changes that they lack.
    fn reply_config_only(&self, request: &LogSyncRequest, has_newer: bool) -> LogSyncReply {
        let position = LogPosition {
            upstreams_at: request.upstreams_at,
            upstreams_age_ms: NOT_SENT_MS,
            ..self.position()
        };
        LogSyncReply {
            config: self.compressed_config(has_newer),
            mark: Some(position),
            evacuated: self.evacuated(request),
            ..LogSyncReply::default()
        }
    }

    fn compressed_config(&self, is_wanted: bool) -> Vec<u8> {
        if is_wanted {
            self.compressed_config.borrow().to_vec()
        } else {
            Vec::new()
        }
    }

    fn evacuated(&self, request: &LogSyncRequest) -> Vec<String> {
        let evacuations = self.state.evacuations();
        if evacuations.position() <= request.orders_at.unwrap_or_default() {
            return Vec::new();
        }
        evacuations.names().map(ToString::to_string).collect()
    }

    /// All upstreams, compressed. A copy that is somewhat older than the state is sent too: the
    /// requester then asks for the few changes since.
    ///
    /// Failure guarded against: thousands of records take hundreds of kilobytes. A fleet that
    /// starts at once sends them from router to router over slow links, and delays the requests of
    /// callers on those links. While upstreams write records, each request would find another position,
    /// and compressing anew for each takes a slow host longer than sending.
    fn snapshot(&self) -> Snapshot {
        let now_ms = self.clock.now_ms();
        let current = self.upstreams_at.get();
        let mut kept = self.snapshot.borrow_mut();
        let is_recent = now_ms < kept.confirmed_ms + MAX_SNAPSHOT_AGE_MS;
        let is_continued = kept.at.is_known() && self.changes.borrow().since(kept.at).is_some();
        if kept.at != current && !(is_recent && is_continued) {
            kept.bytes = self.compress_upstreams().into();
            kept.at = current;
        }
        if kept.at == current {
            kept.confirmed_ms = self.upstreams_fresh.get().confirmed_ms();
        }
        kept.clone()
    }

    fn compress_upstreams(&self) -> Vec<u8> {
        let upstreams = self.upstreams.borrow();
        let change = |(id, record): (&Name, &Bytes)| UpstreamChange {
            at: Some(self.upstreams_at.get()),
            id: id.to_string(),
            record: record.to_vec(),
        };
        let all: Vec<UpstreamChange> = upstreams.iter().map(change).collect();
        compress(&all)
    }

    /// Applies the answer of another router to `request`, sent at `asked_ms`.
    pub(crate) fn apply_reply(
        &self,
        request: &LogSyncRequest,
        reply: LogSyncReply,
        source: &str,
        asked_ms: u64,
    ) {
        self.check_clock();
        let position = reply.mark.unwrap_or_default();
        if !reply.config.is_empty() {
            self.configure_compressed(&reply.config, source);
        }
        if position.orders() > self.orders_at() {
            let evacuated = reply.evacuated.iter().map(|name| name.as_str().into());
            self.replace_evacuated(position.orders(), evacuated.collect(), source);
        }
        if is_newer(position.upstreams(), self.upstreams_at.get()) {
            if self.is_overtaken(request, &reply)
                || !self.apply_upstreams(&reply, position.upstreams(), source)
            {
                return;
            }
            if !reply.all_upstreams.is_empty() {
                self.keep_snapshot(reply.all_upstreams, &position, asked_ms);
            }
        } else if position.upstreams_age_ms == NOT_SENT_MS {
            self.request_read();
        }
        self.confirm(&position, asked_ms, Evidence::Reply);
    }

    /// Whether an answer leads from the requested position to a new era, and this router is elsewhere by
    /// now. The changes between eras are those from the one state to the other: applied to a third
    /// state, they would leave what differs there for good.
    fn is_overtaken(&self, request: &LogSyncRequest, reply: &LogSyncReply) -> bool {
        let asked_at = request.upstreams_at.unwrap_or_default();
        let at = reply.mark.unwrap_or_default().upstreams();
        reply.all_upstreams.is_empty()
            && at.era > asked_at.era
            && self.upstreams_at.get() != asked_at
    }

    /// Applies the upstreams of an answer, and returns whether they could be decoded.
    fn apply_upstreams(&self, reply: &LogSyncReply, at: StreamPosition, source: &str) -> bool {
        let is_all = !reply.all_upstreams.is_empty();
        let compressed = if is_all {
            &reply.all_upstreams
        } else {
            &reply.changes
        };
        let changes = match decompress(compressed) {
            Ok(changes) => changes,
            Err(e) => {
                log::error!("upstreams from {source} can't be decompressed and are ignored: {e}");
                return false;
            }
        };
        self.end_silence();
        let loaded_at = reply.loaded_at.unwrap_or(at);
        if is_all {
            self.apply_all(changes, at, source);
        } else {
            self.apply_changes(changes, loaded_at, source);
            self.enter_era_at(at, loaded_at, source);
            self.upstreams_at.set(at);
        }
        true
    }

    /// Keeps all upstreams as received, for other routers.
    fn keep_snapshot(&self, all_upstreams: Vec<u8>, position: &LogPosition, asked_ms: u64) {
        self.snapshot.replace(Snapshot {
            bytes: all_upstreams.into(),
            at: position.upstreams(),
            confirmed_ms: asked_ms.saturating_sub(position.upstreams_age_ms.into()),
        });
    }

    fn apply_all(&self, all: Vec<UpstreamChange>, at: StreamPosition, source: &str) {
        self.is_bulk.set(true);
        self.enter_era_at(at, at, source);
        self.start_at(at);
        let listed: HashSet<&str> = all.iter().map(|u| u.id.as_str()).collect();
        let known: Vec<Name> = self.upstreams.borrow().keys().cloned().collect();
        for id in known.iter().filter(|id| !listed.contains(&***id)) {
            self.remove(at, id);
        }
        self.apply_changes(all, at, source);
        self.upstreams_at.set(at);
        self.finish_bulk_update(source);
    }

    fn apply_changes(&self, changes: Vec<UpstreamChange>, loaded_at: StreamPosition, source: &str) {
        for change in changes {
            let at = change.position();
            self.enter_era_at(at, loaded_at, source);
            if change.record.is_empty() {
                self.remove(at, &change.id);
            } else {
                self.put(at, &change.id, change.record.into());
            }
        }
    }
}

fn is_newer(at: StreamPosition, than: StreamPosition) -> bool {
    at > than || (mutated(Mutation::CompareOffsetsOnly) && at.offset > than.offset)
}

fn age_ms(fresh: Freshness, now_ms: u64) -> u32 {
    age_of(fresh.confirmed_ms(), now_ms)
}

/// Age of state that was confirmed at `confirmed_ms`, 0 if it never was.
fn age_of(confirmed_ms: u64, now_ms: u64) -> u32 {
    if confirmed_ms == 0 {
        return UNKNOWN_MS;
    }
    let age_ms = now_ms.saturating_sub(confirmed_ms);
    u32::try_from(age_ms).map_or(UNKNOWN_MS, |ms| ms.min(UNKNOWN_MS))
}

/// Compresses upstreams for another router. A failure is logged, and the result is empty.
fn compress(changes: &Vec<UpstreamChange>) -> Vec<u8> {
    let listed = frames::to_vec(changes).map_err(|e| e.to_string());
    let compressed =
        listed.and_then(|listed| compression::compress(&listed).map_err(|e| e.to_string()));
    compressed
        .inspect_err(|e| {
            log::error!(
                "upstreams can't be compressed for peers, which get none from this router: {e}"
            )
        })
        .unwrap_or_default()
        .to_vec()
}

fn decompress(compressed: &[u8]) -> Result<Vec<UpstreamChange>, String> {
    if compressed.is_empty() {
        return Ok(Vec::new());
    }
    let listed = compression::decompress(compressed).map_err(|e| e.to_string())?;
    frames::from_slice(&listed).map_err(|e| e.to_string())
}
