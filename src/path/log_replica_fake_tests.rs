//! Model of a platform's log: the records of operators and upstreams, their times, the expired ones,
//! and restores from older copies.

use std::collections::{BTreeMap, BTreeSet};

use crate::path::cursor::{Order, ReadRange, Record};
use crate::path::position::StreamPosition;
use crate::util::Name;

/// Entries expire after an outage of three write intervals of an upstream.
pub(super) const ENTRY_EXPIRY_MS: u64 = 3_600;
/// Time after the return of the log by which live upstreams have written their entries again.
const REWRITE_MS: u64 = 2_000;
/// Time after a restore at which operators write again what it lost.
const OPERATORS_REWRITE_MS: u64 = 1_500;
pub(super) const DATA_CENTERS: u8 = 3;
/// Number of entries on the first page of a load; a second one has the others.
const PAGE_RECORDS: usize = 2;

/// Entry of an upstream: whether it drains.
pub(super) type Entry = bool;

#[derive(Clone, Debug)]
struct Written {
    at_ms: u64,
    id: String,
    entry: Option<Entry>,
}

/// Answer to a reader: records of upstreams or of operators, and the era that it names.
#[derive(Clone, Debug)]
pub(super) struct Answer<T> {
    pub(super) era: u64,
    pub(super) content: Content<T>,
}

#[derive(Clone, Debug)]
pub(super) enum Content<T> {
    /// The newest records of all keys, and the offset to continue from.
    All(Vec<T>, u64),
    Changes(Vec<T>),
    /// The log does not have the offset: its records were deleted, or it lies beyond the end.
    Expired,
}

/// Both streams, in one era.
#[derive(Clone, Debug, Default)]
struct Streams {
    log: Vec<Written>,
    first_kept: usize,
    /// Records of operators, with their times.
    orders: Vec<(u64, Order)>,
    first_order_kept: usize,
}

impl Streams {
    /// Copy of the state as of `at_ms`.
    fn as_of(&self, at_ms: u64) -> Self {
        let (log_end, orders_end) = (self.end_at(at_ms), self.orders_end_at(at_ms));
        Self {
            log: self.log[..log_end].to_vec(),
            first_kept: self.first_kept.min(log_end),
            orders: self.orders[..orders_end].to_vec(),
            first_order_kept: self.first_order_kept.min(orders_end),
        }
    }

    /// Newest configuration written by `at_ms`.
    fn newest_version(&self, at_ms: u64) -> u64 {
        let by_then = self.orders.iter().filter(|(ms, _)| *ms <= at_ms);
        let versions = by_then.filter_map(|(_, order)| match order {
            Order::Configure(record) => std::str::from_utf8(record).ok()?.parse().ok(),
            _ => None,
        });
        versions.max().unwrap_or(0)
    }

    /// Data centres that are evacuated as of offset `end`.
    fn evacuated(&self, end: usize) -> BTreeSet<Name> {
        let mut evacuated = BTreeSet::new();
        for (_, order) in &self.orders[..end] {
            match order {
                Order::Evacuate(data_center) => evacuated.insert(data_center.clone()),
                Order::Readmit(data_center) => evacuated.remove(data_center),
                _ => false,
            };
        }
        evacuated
    }

    /// Number of records that operators had written by `at_ms`.
    fn orders_end_at(&self, at_ms: u64) -> usize {
        self.orders.partition_point(|(ms, _)| *ms <= at_ms)
    }

    /// Entries as of offset `end`.
    fn entries(&self, end: usize) -> BTreeMap<String, Entry> {
        let mut entries = BTreeMap::new();
        for written in &self.log[..end] {
            match written.entry {
                Some(entry) => entries.insert(written.id.clone(), entry),
                None => entries.remove(&written.id),
            };
        }
        entries
    }

    /// Number of records written by `at_ms`.
    fn end_at(&self, at_ms: u64) -> usize {
        self.log.partition_point(|w| w.at_ms <= at_ms)
    }
}

/// The log, and the upstreams and operators that write to it.
#[derive(Debug, Default)]
pub(super) struct FakeStore {
    streams: Streams,
    /// Streams of the eras before, and the times at which these ended.
    past: Vec<(Streams, u64)>,
    live: BTreeMap<String, Entry>,
    /// The newest version that operators wrote, and the data centres that they evacuated last,
    /// whether or not the log still has the records.
    version: u64,
    evacuated: BTreeSet<Name>,
    down_since_ms: Option<u64>,
    /// Expired entries of live upstreams, with the times at which these write them again.
    expired: BTreeMap<String, u64>,
    /// Upstreams that the log lists or lacks after a restore, with the times at which the live ones
    /// write their entries again, and those of the others expire.
    unrenewed: BTreeMap<String, u64>,
    /// Time at which operators write again what a restore lost.
    rewrite_ms: Option<u64>,
    started: u64,
}

impl FakeStore {
    pub(super) fn is_available(&self) -> bool {
        self.down_since_ms.is_none()
    }

    /// Current era; the first one is 1.
    pub(super) fn era(&self) -> u64 {
        self.past.len() as u64 + 1
    }

    fn write(&mut self, now_ms: u64, id: &str, entry: Option<Entry>) {
        self.streams.log.push(Written {
            at_ms: now_ms,
            id: id.to_owned(),
            entry,
        });
    }

    /// Starts a new upstream.
    pub(super) fn start_upstream(&mut self, now_ms: u64) {
        if !self.is_available() {
            return;
        }
        self.started += 1;
        let id = format!("i-{}", self.started);
        self.live.insert(id.clone(), false);
        self.write(now_ms, &id, Some(false));
    }

    /// The `n`th upstream writes its entry again, drains or leaves.
    pub(super) fn write_upstream(&mut self, now_ms: u64, n: u8, write: UpstreamWrite) {
        let nth = usize::from(n) % self.live.len().max(1);
        let Some(id) = self.live.keys().nth(nth).cloned() else {
            return;
        };
        if !self.is_available() || self.expired.contains_key(&id) {
            return;
        }
        self.unrenewed.remove(&id);
        match write {
            UpstreamWrite::Heartbeat => {
                let entry = self.live.get(&id).copied();
                self.write(now_ms, &id, entry);
            }
            UpstreamWrite::Drain => {
                self.live.insert(id.clone(), true);
                self.write(now_ms, &id, Some(true));
            }
            UpstreamWrite::Leave => {
                self.live.remove(&id);
                self.write(now_ms, &id, None);
            }
        }
    }

    pub(super) fn configure(&mut self, now_ms: u64, step: u64) {
        if self.is_available() {
            self.version += step;
            self.write_version(now_ms);
        }
    }

    fn write_version(&mut self, now_ms: u64) {
        let order = Order::Configure(self.version.to_string().into());
        self.streams.orders.push((now_ms, order));
    }

    /// Operators evacuate or readmit a data centre.
    pub(super) fn evacuate(&mut self, now_ms: u64, n: u8, evacuated: bool) {
        if !self.is_available() {
            return;
        }
        let data_center = data_center(n % DATA_CENTERS);
        let order = if evacuated {
            self.evacuated.insert(data_center.clone());
            Order::Evacuate(data_center)
        } else {
            self.evacuated.remove(&data_center);
            Order::Readmit(data_center)
        };
        self.streams.orders.push((now_ms, order));
    }

    pub(super) fn start_outage(&mut self, now_ms: u64) {
        self.down_since_ms.get_or_insert(now_ms);
    }

    /// Ends an outage. After a long one all entries have expired.
    pub(super) fn end_outage(&mut self, now_ms: u64) {
        let Some(since_ms) = self.down_since_ms.take() else {
            return;
        };
        if now_ms - since_ms < ENTRY_EXPIRY_MS {
            return;
        }
        for id in self.streams.entries(self.streams.log.len()).into_keys() {
            self.write(now_ms, &id, None);
            if self.live.contains_key(&id) {
                self.expired.insert(id, now_ms + REWRITE_MS);
            }
        }
    }

    /// Replaces the log by a copy that is `age_ms` old, as of the start of an outage that has not
    /// ended. Offsets after its end are given out again.
    pub(super) fn restore(&mut self, now_ms: u64, age_ms: u64) {
        let copied_ms = self.down_since_ms.unwrap_or(now_ms).saturating_sub(age_ms);
        let copy = self.streams.as_of(copied_ms);
        let lost = std::mem::replace(&mut self.streams, copy);
        self.past.push((lost, now_ms));
        self.expired.clear();
        let listed = self.streams.entries(self.streams.log.len()).into_keys();
        let gone = listed.map(|id| (id, now_ms + ENTRY_EXPIRY_MS));
        self.unrenewed = gone.collect();
        let live = self.live.len().max(1) as u64;
        let renewals = (1..).zip(self.live.keys());
        let renewals = renewals.map(|(n, id)| (id.clone(), now_ms + REWRITE_MS * n / live));
        self.unrenewed.extend(renewals);
        self.rewrite_ms = Some(now_ms + OPERATORS_REWRITE_MS);
    }

    /// Upstreams and operators write again what expired or was lost.
    pub(super) fn tick(&mut self, now_ms: u64) {
        if !self.is_available() {
            return;
        }
        let due = self.expired.extract_if(.., |_, at_ms| *at_ms <= now_ms);
        let due: Vec<_> = due.collect();
        let renewed = self.unrenewed.extract_if(.., |_, at_ms| *at_ms <= now_ms);
        let renewed: Vec<_> = renewed.collect();
        for (id, _) in due.into_iter().chain(renewed) {
            let entry = self.live.get(&id).copied();
            self.write(now_ms, &id, entry);
        }
        if self.rewrite_ms.is_some_and(|at_ms| at_ms <= now_ms) {
            self.rewrite_ms = None;
            self.rewrite_orders(now_ms);
        }
    }

    fn rewrite_orders(&mut self, now_ms: u64) {
        if self.streams.newest_version(u64::MAX) < self.version {
            self.write_version(now_ms);
        }
        let listed = self.streams.evacuated(self.streams.orders.len());
        let evacuate = self.evacuated.difference(&listed).cloned();
        let readmit = listed.difference(&self.evacuated).cloned();
        let lost = evacuate
            .map(Order::Evacuate)
            .chain(readmit.map(Order::Readmit));
        let lost = lost.map(|order| (now_ms, order));
        self.streams.orders.extend(lost);
    }

    /// Live upstreams whose entries have expired.
    pub(super) fn expired(&self) -> BTreeSet<&str> {
        self.expired.keys().map(String::as_str).collect()
    }

    pub(super) fn delete_history(&mut self) {
        self.streams.first_kept = self.streams.log.len();
        self.streams.first_order_kept = self.streams.orders.len();
    }

    /// Answers a reader of the records of operators.
    pub(super) fn answer_orders(&self, range: ReadRange) -> Answer<Order> {
        let Streams {
            orders,
            first_order_kept,
            ..
        } = &self.streams;
        let content = match range {
            ReadRange::All => {
                let version = self.streams.newest_version(u64::MAX).to_string();
                let evacuated = self.streams.evacuated(orders.len()).into_iter();
                let config = std::iter::once(Order::Configure(version.into()));
                let newest = config.chain(evacuated.map(Order::Evacuate));
                Content::All(newest.collect(), orders.len() as u64)
            }
            ReadRange::From(from) => {
                let orders = orders.iter().map(|(_, order)| order.clone());
                changes(orders, *first_order_kept, from)
            }
        };
        self.answer_with(content)
    }

    pub(super) fn answer(&self, range: ReadRange) -> Answer<Record> {
        let Streams {
            log, first_kept, ..
        } = &self.streams;
        let content = match range {
            ReadRange::All => {
                let entries = self.streams.entries(log.len()).into_iter();
                Content::All(entries.map(listed_record).collect(), log.len() as u64)
            }
            ReadRange::From(from) => {
                let records = log.iter().map(|w| Record {
                    key: w.id.clone(),
                    value: w.entry.map(encode),
                });
                changes(records, *first_kept, from)
            }
        };
        self.answer_with(content)
    }

    fn answer_with<T>(&self, content: Content<T>) -> Answer<T> {
        Answer {
            era: self.era(),
            content,
        }
    }

    /// Whether the keys of a load don't fit on its first page.
    pub(super) fn has_further_page(&self, load: &Answer<Record>) -> bool {
        matches!(&load.content, Content::All(records, _) if records.len() > PAGE_RECORDS)
    }

    /// Replaces the second page of a load by what the log lists now, if it was restored since it
    /// sent the first one. Within an era, the pages are consistent here.
    pub(super) fn continue_load(&self, load: &mut Answer<Record>) {
        if load.era == self.era() || !self.has_further_page(load) {
            return;
        }
        let Content::All(records, _) = &mut load.content else {
            return;
        };
        records.truncate(PAGE_RECORDS);
        let last = records.last().map(|r| r.key.clone());
        let entries = self.streams.entries(self.streams.log.len()).into_iter();
        let further = entries.filter(|(id, _)| Some(id) > last.as_ref());
        records.extend(further.map(listed_record));
    }

    /// Era at `at_ms`.
    fn era_at(&self, at_ms: u64) -> u64 {
        self.past
            .partition_point(|(_, ended_ms)| *ended_ms <= at_ms) as u64
            + 1
    }

    /// Time at which `era` began.
    pub(super) fn started_ms(&self, era: u64) -> u64 {
        let before = usize::try_from(era).unwrap().checked_sub(2);
        let before = before.and_then(|nth| self.past.get(nth));
        before.map_or(0, |(_, ended_ms)| *ended_ms)
    }

    fn streams_of(&self, era: u64) -> &Streams {
        let past = usize::try_from(era).unwrap().checked_sub(1);
        let past = past.and_then(|nth| self.past.get(nth));
        past.map_or(&self.streams, |(streams, _)| streams)
    }

    /// Newest configuration that the log had at `at_ms`.
    pub(super) fn newest_version(&self, at_ms: u64) -> u64 {
        self.streams_of(self.era_at(at_ms)).newest_version(at_ms)
    }

    /// The oldest of the newest configurations that the log had since `from_ms`: a restore may have
    /// lost a newer one.
    pub(super) fn oldest_version_since(&self, from_ms: u64) -> u64 {
        let restored = self.past.iter().map(|(_, ended_ms)| *ended_ms);
        let restored = restored.filter(|ended_ms| *ended_ms > from_ms);
        let versions = restored.map(|at_ms| self.newest_version(at_ms));
        versions.fold(self.newest_version(from_ms), u64::min)
    }

    /// Newest configuration that operators wrote.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Data centres that are evacuated as of `at`.
    pub(super) fn evacuated(&self, at: StreamPosition) -> BTreeSet<Name> {
        self.streams_of(at.era).evacuated(offset(at))
    }

    /// End of the records of operators at `at_ms`.
    pub(super) fn orders_at(&self, at_ms: u64) -> StreamPosition {
        let era = self.era_at(at_ms);
        let end = self.streams_of(era).orders_end_at(at_ms);
        StreamPosition::new(era, end as u64)
    }

    /// Entries as of `at`.
    pub(super) fn entries(&self, at: StreamPosition) -> BTreeMap<String, Entry> {
        self.streams_of(at.era).entries(offset(at))
    }

    /// End of the records of upstreams at `at_ms`.
    pub(super) fn upstreams_at(&self, at_ms: u64) -> StreamPosition {
        let era = self.era_at(at_ms);
        let end = self.streams_of(era).end_at(at_ms);
        StreamPosition::new(era, end as u64)
    }

    /// Upstreams with records after `at` in its era.
    pub(super) fn written_after(&self, at: StreamPosition) -> BTreeSet<&String> {
        let log = &self.streams_of(at.era).log;
        log.iter().skip(offset(at)).map(|w| &w.id).collect()
    }

    /// Whether an upstream has written that it is ready since the restore that began `era`.
    pub(super) fn is_renewed(&self, era: u64, id: &str) -> bool {
        let restored_ms = self.started_ms(era);
        let mut log = self.streams_of(era).log.iter();
        log.any(|w| w.at_ms >= restored_ms && w.id == id && w.entry == Some(false))
    }

    /// Whether operators have written for `data_center` since the restore that began the era of `at`,
    /// before `at`.
    pub(super) fn is_ordered_since_restore(&self, at: StreamPosition, data_center: &Name) -> bool {
        let orders = self.streams_of(at.era).orders.iter().take(offset(at));
        let restored_ms = self.started_ms(at.era);
        let mut since = orders.filter(|(at_ms, _)| *at_ms >= restored_ms);
        since.any(|(_, order)| match order {
            Order::Evacuate(name) | Order::Readmit(name) => name == data_center,
            _ => false,
        })
    }

    /// Live upstreams, and whether each of them drains.
    pub(super) fn live(&self) -> &BTreeMap<String, Entry> {
        &self.live
    }

    /// Data centres that operators evacuated last.
    pub(super) fn wanted_evacuated(&self) -> &BTreeSet<Name> {
        &self.evacuated
    }
}

/// Record that an upstream writes.
#[derive(Clone, Copy, Debug)]
pub(super) enum UpstreamWrite {
    Heartbeat,
    Drain,
    Leave,
}

pub(super) fn data_center(n: u8) -> Name {
    format!("dc-{n}").into()
}

fn offset(at: StreamPosition) -> usize {
    usize::try_from(at.offset).unwrap()
}

/// The records of a stream from `from` on, by its offset alone, if the stream has it.
fn changes<T>(
    records: impl ExactSizeIterator<Item = T>,
    first_kept: usize,
    from: StreamPosition,
) -> Content<T> {
    let from = offset(from);
    if from < first_kept || from > records.len() {
        return Content::Expired;
    }
    Content::Changes(records.skip(from).collect())
}

fn listed_record((key, entry): (String, Entry)) -> Record {
    Record {
        key,
        value: Some(encode(entry)),
    }
}

fn encode(draining: Entry) -> bytes::Bytes {
    let text: &[u8] = if draining { b"draining" } else { b"ready" };
    bytes::Bytes::from_static(text)
}
