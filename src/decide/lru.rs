//! Bounded LRU cache of per-chat data, such as where a chat was last served and its prefix length.
//!
//! Load pattern: millions of chats return after pauses, most within minutes. Without a record of
//! where a chat was served last, a chat that was once moved off the first engine of its order by
//! load would be sent there again, and its prompt prefilled anew.
//!
//! Entries are hints: a wrong one costs one prefill. The least recently used chats are evicted, as
//! in the engines' prefix caches. A look-up or insert costs one hash table access; an insert may
//! evict old entries, each of which was inserted once.

use std::collections::{HashMap, VecDeque};

use crate::decide::ChatKey;

#[derive(Clone, Debug)]
struct Entry<V> {
    value: V,
    size: u64,
    stamp: u64,
}

/// LRU cache of chats, bounded by the total size of its entries.
#[derive(Clone, Debug)]
pub struct LruCache<V> {
    entries: HashMap<ChatKey, Entry<V>>,
    by_age: VecDeque<(ChatKey, u64)>,
    stamp: u64,
    size: u64,
    limit: u64,
}

impl<V> LruCache<V> {
    /// Creates an empty cache with a total size of at most `limit`.
    ///
    /// ```
    /// use cassiagrade::decide::{ChatKey, lru::LruCache};
    /// let mut cache = LruCache::new(2);
    /// cache.put(ChatKey(1), "a", 1);
    /// cache.put(ChatKey(2), "b", 1);
    /// cache.put(ChatKey(3), "c", 1);
    /// assert_eq!(cache.get(ChatKey(1)), None);
    /// assert_eq!(cache.get(ChatKey(3)), Some(&"c"));
    /// ```
    pub fn new(limit: u64) -> Self {
        Self {
            entries: HashMap::new(),
            by_age: VecDeque::new(),
            stamp: 0,
            size: 0,
            limit,
        }
    }

    /// Returns the entry of `chat` without making it more recent.
    pub fn get(&self, chat: ChatKey) -> Option<&V> {
        self.entries.get(&chat).map(|e| &e.value)
    }

    /// Inserts `chat` as the most recent, and evicts the oldest entries beyond the limit.
    pub fn put(&mut self, chat: ChatKey, value: V, size: u64) {
        self.remove(chat);
        self.stamp += 1;
        let stamp = self.stamp;
        let entry = Entry { value, size, stamp };
        self.entries.insert(chat, entry);
        self.by_age.push_back((chat, stamp));
        self.size += size;
        while self.size > self.limit && self.evict_oldest() {}
        self.compact();
    }

    /// Removes `chat`.
    pub fn remove(&mut self, chat: ChatKey) {
        if let Some(entry) = self.entries.remove(&chat) {
            self.size -= entry.size;
        }
    }

    /// Removes all entries, for instance when the upstream restarted.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.by_age.clear();
        self.size = 0;
    }

    /// Number of chats.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the chats, most recent first.
    pub fn recent(&self) -> impl Iterator<Item = (ChatKey, &V)> {
        let live = self.by_age.iter().rev();
        live.filter_map(|(chat, stamp)| {
            let entry = self.entries.get(chat).filter(|e| e.stamp == *stamp)?;
            Some((*chat, &entry.value))
        })
    }

    fn evict_oldest(&mut self) -> bool {
        let Some((chat, stamp)) = self.by_age.pop_front() else {
            return false;
        };
        if self.entries.get(&chat).is_some_and(|e| e.stamp == stamp) {
            self.remove(chat);
        }
        true
    }

    /// Removes stale positions of chats that were inserted again, once half of the list is stale.
    fn compact(&mut self) {
        if self.by_age.len() > 2 * self.entries.len() + 16 {
            let entries = &self.entries;
            let live = |(chat, stamp): &(ChatKey, u64)| {
                entries.get(chat).is_some_and(|e| e.stamp == *stamp)
            };
            self.by_age.retain(live);
        }
    }
}
