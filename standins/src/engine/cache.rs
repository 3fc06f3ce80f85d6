//! The prefix cache, with least-recently-used eviction. Its event log may have gaps; its digest is
//! complete.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

const MAX_EVENTS: usize = 4_096;

/// One change of the cache; `tokens` is 0 if the chat was evicted.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct CacheEvent {
    seq: u64,
    key: u64,
    tokens: u32,
}

/// One cached chat.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct CachedChat {
    key: u64,
    tokens: u32,
}

#[derive(Default)]
pub(super) struct Cache {
    chats: HashMap<u64, (u32, u64)>,
    by_last_use: BTreeMap<u64, u64>,
    total_tokens: usize,
    use_count: u64,
    seq: u64,
    events: Vec<CacheEvent>,
}

impl Cache {
    pub(super) fn tokens(&self, key: u64) -> u32 {
        self.chats.get(&key).map_or(0, |(tokens, _)| *tokens)
    }

    pub(super) fn insert(&mut self, key: u64, tokens: u32, limit: usize, event_gap: u64) {
        self.remove(key);
        self.use_count += 1;
        self.chats.insert(key, (tokens, self.use_count));
        self.by_last_use.insert(self.use_count, key);
        self.total_tokens += tokens as usize;
        self.record_event(key, tokens, event_gap);
        while self.total_tokens > limit {
            let Some((_, oldest)) = self.by_last_use.first_key_value() else {
                return;
            };
            let oldest = *oldest;
            self.remove(oldest);
            self.record_event(oldest, 0, event_gap);
        }
    }

    pub(super) fn events(&self, from: u64) -> Vec<CacheEvent> {
        let newer = self.events.iter().filter(|e| e.seq >= from);
        newer.copied().collect()
    }

    /// Returns the `max` most recently used chats, newest first.
    pub(super) fn digest(&self, max: usize) -> Vec<CachedChat> {
        let keys = self.by_last_use.values().rev().take(max);
        keys.map(|key| CachedChat {
            key: *key,
            tokens: self.tokens(*key),
        })
        .collect()
    }

    fn remove(&mut self, key: u64) {
        if let Some((tokens, last_use)) = self.chats.remove(&key) {
            self.by_last_use.remove(&last_use);
            self.total_tokens -= tokens as usize;
        }
    }

    fn record_event(&mut self, key: u64, tokens: u32, event_gap: u64) {
        self.seq += 1;
        if event_gap > 0 && self.seq.is_multiple_of(event_gap) {
            return;
        }
        let seq = self.seq;
        self.events.push(CacheEvent { seq, key, tokens });
        if self.events.len() > MAX_EVENTS {
            self.events.drain(..MAX_EVENTS / 2);
        }
    }
}
