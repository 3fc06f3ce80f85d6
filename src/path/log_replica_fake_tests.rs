//! Model of a platform's log: the records of operators and upstreams, their times, and the expired
//! ones.

use std::collections::{BTreeMap, BTreeSet};

use crate::path::cursor::{Order, ReadRange, Record};
use crate::path::position::StreamPosition;
use crate::util::Name;

/// Entries expire after an outage of three write intervals of an upstream.
pub(super) const ENTRY_EXPIRY_MS: u64 = 3_600;
/// Time after the return of the log by which live upstreams have written their entries again.
const REWRITE_MS: u64 = 2_000;

/// Entry of an upstream: whether it drains.
pub(super) type Entry = bool;

#[derive(Clone, Debug)]
struct Written {
    at_ms: u64,
    id: String,
    entry: Option<Entry>,
}

/// Answer to a reader: records of upstreams or of operators.
#[derive(Clone, Debug)]
pub(super) enum Answer<T> {
    All(Vec<T>, StreamPosition),
    Changes(StreamPosition, Vec<T>),
    Expired,
}

/// The log, and the upstreams that write to it.
#[derive(Debug, Default)]
pub(super) struct FakeStore {
    log: Vec<Written>,
    first_kept: usize,
    /// Records of operators, with their times.
    orders: Vec<(u64, Order)>,
    first_order_kept: usize,
    live: BTreeMap<String, Entry>,
    down_since_ms: Option<u64>,
    /// Expired entries of live upstreams, with the times at which these write them again.
    expired: BTreeMap<String, u64>,
    started: u64,
}

impl FakeStore {
    pub(super) fn is_available(&self) -> bool {
        self.down_since_ms.is_none()
    }

    fn write(&mut self, now_ms: u64, id: &str, entry: Option<Entry>) {
        self.log.push(Written {
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
            let version = self.newest_version(u64::MAX) + step;
            self.orders
                .push((now_ms, Order::Configure(version.to_string().into())));
        }
    }

    /// Operators evacuate or readmit a data centre.
    pub(super) fn evacuate(&mut self, now_ms: u64, n: u8, evacuated: bool) {
        if !self.is_available() {
            return;
        }
        let data_center = format!("dc-{}", n % 3).into();
        let order = if evacuated {
            Order::Evacuate(data_center)
        } else {
            Order::Readmit(data_center)
        };
        self.orders.push((now_ms, order));
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
        for id in self.entries(self.log.len()).into_keys() {
            self.write(now_ms, &id, None);
            if self.live.contains_key(&id) {
                self.expired.insert(id, now_ms + REWRITE_MS);
            }
        }
    }

    /// Live upstreams with expired entries write them again.
    pub(super) fn tick(&mut self, now_ms: u64) {
        if !self.is_available() {
            return;
        }
        let due = self.expired.extract_if(.., |_, at_ms| *at_ms <= now_ms);
        for (id, _) in due.collect::<Vec<_>>() {
            let entry = self.live.get(&id).copied();
            self.write(now_ms, &id, entry);
        }
    }

    /// Live upstreams whose entries have expired.
    pub(super) fn expired(&self) -> BTreeSet<&str> {
        self.expired.keys().map(String::as_str).collect()
    }

    pub(super) fn delete_history(&mut self) {
        self.first_kept = self.log.len();
        self.first_order_kept = self.orders.len();
    }

    /// Answers a reader of the records of operators.
    pub(super) fn answer_orders(&self, range: ReadRange) -> Answer<Order> {
        let end = self.orders.len();
        match range {
            ReadRange::All => {
                let version = self.newest_version(u64::MAX).to_string();
                let evacuated = self.evacuated(end).into_iter().map(Order::Evacuate);
                let config = std::iter::once(Order::Configure(version.into()));
                Answer::All(config.chain(evacuated).collect(), position(end))
            }
            ReadRange::From(from) => {
                let at = usize::try_from(from.offset).unwrap();
                if at < self.first_order_kept {
                    return Answer::Expired;
                }
                let records = self.orders.get(at..).unwrap_or_default().iter();
                Answer::Changes(from, records.map(|(_, order)| order.clone()).collect())
            }
        }
    }

    pub(super) fn answer(&self, range: ReadRange) -> Answer<Record> {
        let record = |w: &Written| Record {
            key: w.id.clone(),
            value: w.entry.map(encode),
        };
        match range {
            ReadRange::All => {
                let entries = self.entries(self.log.len()).into_iter();
                let records = entries.map(|(key, entry)| Record {
                    key,
                    value: Some(encode(entry)),
                });
                Answer::All(records.collect(), position(self.log.len()))
            }
            ReadRange::From(from) => {
                let at = usize::try_from(from.offset).unwrap();
                if at < self.first_kept {
                    return Answer::Expired;
                }
                let records = self.log.get(at..).unwrap_or_default();
                Answer::Changes(from, records.iter().map(record).collect())
            }
        }
    }

    /// Newest configuration written by `at_ms`.
    pub(super) fn newest_version(&self, at_ms: u64) -> u64 {
        let by_then = self.orders.iter().filter(|(ms, _)| *ms <= at_ms);
        let versions = by_then.filter_map(|(_, order)| match order {
            Order::Configure(record) => std::str::from_utf8(record).ok()?.parse().ok(),
            _ => None,
        });
        versions.max().unwrap_or(0)
    }

    /// Data centres that are evacuated as of offset `end`.
    pub(super) fn evacuated(&self, end: usize) -> BTreeSet<Name> {
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
    pub(super) fn orders_end_at(&self, at_ms: u64) -> usize {
        self.orders.partition_point(|(ms, _)| *ms <= at_ms)
    }

    /// Entries as of offset `end`.
    pub(super) fn entries(&self, end: usize) -> BTreeMap<String, Entry> {
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
    pub(super) fn end_at(&self, at_ms: u64) -> usize {
        self.log.partition_point(|w| w.at_ms <= at_ms)
    }

    pub(super) fn end(&self) -> usize {
        self.log.len()
    }
}

/// Record that an upstream writes.
#[derive(Clone, Copy, Debug)]
pub(super) enum UpstreamWrite {
    Heartbeat,
    Drain,
    Leave,
}

fn position(end: usize) -> StreamPosition {
    StreamPosition::new(1, end as u64)
}

fn encode(draining: Entry) -> bytes::Bytes {
    let text: &[u8] = if draining { b"draining" } else { b"ready" };
    bytes::Bytes::from_static(text)
}
