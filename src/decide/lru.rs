//! A bounded memory of chats: which were served last, where, and how long their prefix is.
//!
//! Load pattern: millions of chats return after pauses, most within minutes. Without a memory of
//! where a chat was served last, a chat that was once displaced or levelled away would be sent to
//! the first engine of its order again and be prefilled anew there.
//!
//! The memory is a hint: an entry may be wrong, and then costs one prefill. It forgets the chats
//! that were used longest ago, as the engines' prefix caches do. One look-up or insert costs one
//! hash table access; an insert may drop old entries, each of which was inserted once.

use std::collections::{HashMap, VecDeque};

use crate::decide::ChatKey;

#[derive(Clone, Debug)]
struct Entry<V> {
    value: V,
    size: u64,
    stamp: u64,
}

/// What is known of the chats used last, up to a total size.
#[derive(Clone, Debug)]
pub struct LruCache<V> {
    entries: HashMap<ChatKey, Entry<V>>,
    by_age: VecDeque<(ChatKey, u64)>,
    stamp: u64,
    size: u64,
    limit: u64,
}

impl<V> LruCache<V> {
    /// An empty memory that keeps entries up to a total size of `limit`.
    ///
    /// ```
    /// use cassiagrade::decide::{ChatKey, lru::LruCache};
    /// let mut warm = LruCache::new(2);
    /// warm.put(ChatKey(1), "a", 1);
    /// warm.put(ChatKey(2), "b", 1);
    /// warm.put(ChatKey(3), "c", 1);
    /// assert_eq!(warm.get(ChatKey(1)), None);
    /// assert_eq!(warm.get(ChatKey(3)), Some(&"c"));
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

    /// What is known of `chat`. Doesn't make it younger.
    pub fn get(&self, chat: ChatKey) -> Option<&V> {
        self.entries.get(&chat).map(|e| &e.value)
    }

    /// Remembers `chat` as the youngest, and forgets the oldest that no longer fit.
    pub fn put(&mut self, chat: ChatKey, value: V, size: u64) {
        self.remove(chat);
        self.stamp += 1;
        let stamp = self.stamp;
        let entry = Entry { value, size, stamp };
        self.entries.insert(chat, entry);
        self.by_age.push_back((chat, stamp));
        self.size += size;
        while self.size > self.limit && self.drop_oldest() {}
        self.compact();
    }

    /// Forgets `chat`.
    pub fn remove(&mut self, chat: ChatKey) {
        if let Some(entry) = self.entries.remove(&chat) {
            self.size -= entry.size;
        }
    }

    /// Forgets everything, for instance when the upstream restarted.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.by_age.clear();
        self.size = 0;
    }

    /// Chats remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The chats remembered, youngest first.
    pub fn recent(&self) -> impl Iterator<Item = (ChatKey, &V)> {
        let live = self.by_age.iter().rev();
        live.filter_map(|(chat, stamp)| {
            let entry = self.entries.get(chat).filter(|e| e.stamp == *stamp)?;
            Some((*chat, &entry.value))
        })
    }

    fn drop_oldest(&mut self) -> bool {
        let Some((chat, stamp)) = self.by_age.pop_front() else {
            return false;
        };
        if self.entries.get(&chat).is_some_and(|e| e.stamp == stamp) {
            self.remove(chat);
        }
        true
    }

    /// Chats put again leave their older place in the list behind: sweep when half of it is stale.
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
