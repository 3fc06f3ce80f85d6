//! Where streams began, of those that began lately.

use std::collections::{HashMap, VecDeque};

use crate::decide::Origin;
use crate::decide::versions::WINDOW_MS;
use crate::util::Name;

/// Largest number of streams that are kept. With some 100 bytes each they take 7 MB.
pub(crate) const MAX_STREAMS: usize = 1 << 16;

#[derive(Debug)]
struct Entry {
    origin: Origin,
    at_ms: u64,
    /// Whether the stream began or went on at this router.
    is_own: bool,
}

/// Origins of streams by the digest of the id of the request that brought the first event. Each expires
/// after [`WINDOW_MS`], and the oldest make room for new ones.
#[derive(Debug, Default)]
pub(crate) struct OriginTable {
    entries: HashMap<u64, Entry>,
    by_age: VecDeque<(u64, u64)>,
}

impl OriginTable {
    pub(crate) fn insert(&mut self, stream: u64, origin: Origin, is_own: bool, now_ms: u64) {
        self.remove_expired(now_ms);
        if self.by_age.len() >= MAX_STREAMS {
            self.remove_oldest();
        }
        let entry = Entry {
            origin,
            at_ms: now_ms,
            is_own,
        };
        self.entries.insert(stream, entry);
        self.by_age.push_back((stream, now_ms));
    }

    pub(crate) fn get(&self, stream: u64, now_ms: u64) -> Option<&Origin> {
        self.get_with_age(stream, now_ms).map(|(origin, _)| origin)
    }

    /// Where the stream began, and the time since that was recorded.
    pub(crate) fn get_with_age(&self, stream: u64, now_ms: u64) -> Option<(&Origin, u64)> {
        let entry = self.entries.get(&stream)?;
        let age_ms = now_ms.saturating_sub(entry.at_ms);
        (age_ms < WINDOW_MS).then_some((&entry.origin, age_ms))
    }

    /// Returns the wanted streams that began or went on at this router, by their origin.
    pub(crate) fn own(
        &mut self,
        is_wanted: impl Fn(&Name, u64) -> bool,
        now_ms: u64,
    ) -> HashMap<Origin, Vec<u64>> {
        self.remove_expired(now_ms);
        let mut own: HashMap<Origin, Vec<u64>> = HashMap::new();
        let entries = self.entries.iter().filter(|(_, entry)| entry.is_own);
        for (stream, entry) in entries.filter(|(s, e)| is_wanted(&e.origin.service, **s)) {
            own.entry(entry.origin.clone()).or_default().push(*stream);
        }
        own
    }

    fn remove_expired(&mut self, now_ms: u64) {
        let is_expired = |at_ms: u64| now_ms.saturating_sub(at_ms) >= WINDOW_MS;
        while self.by_age.front().is_some_and(|(_, at)| is_expired(*at)) {
            self.remove_oldest();
        }
    }

    /// A stream that was recorded again is kept for its later record.
    fn remove_oldest(&mut self) {
        let Some((stream, at_ms)) = self.by_age.pop_front() else {
            return;
        };
        if self.entries.get(&stream).is_some_and(|e| e.at_ms == at_ms) {
            self.entries.remove(&stream);
        }
    }
}
