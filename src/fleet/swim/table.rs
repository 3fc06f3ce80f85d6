//! Table of the members, with indexes that keep the cost of a datagram or a tick independent of the
//! size of the fleet.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use rand::seq::index;

use crate::fleet::member::{Member, MemberState};
use crate::fleet::swim::entry::Entry;
use crate::util::Name;

/// Value of `sends` for an entry that needs no further sending.
pub(super) const SENT_ENOUGH: u32 = u32::MAX;

/// Members by host name.
#[derive(Debug, Default)]
pub(super) struct Table {
    entries: BTreeMap<Name, Entry>,
    /// The same hosts, for random choice by index.
    hosts: Vec<Name>,
    live: usize,
    /// Hosts whose state is still to be sent to others.
    fresh: BTreeSet<Name>,
    /// Suspects and leaving members, which become dead after a while.
    ending: BTreeSet<Name>,
    /// Hosts whose effective state changed since the last [`Table::take_changed`].
    changed: BTreeSet<Name>,
}

impl Table {
    pub(super) fn get(&self, host: &str) -> Option<&Entry> {
        self.entries.get(host)
    }

    pub(super) fn contains(&self, host: &str) -> bool {
        self.entries.contains_key(host)
    }

    /// All entries, in the order of their host names.
    pub(super) fn values(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    pub(super) fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Number of members that are not dead.
    pub(super) fn live(&self) -> usize {
        self.live
    }

    pub(super) fn insert(&mut self, entry: Entry) {
        let host = entry.member.host.clone();
        self.changed.insert(host.clone());
        self.live += usize::from(entry.is_live());
        self.hosts.push(host.clone());
        self.entries.insert(host.clone(), entry);
        self.index(&host);
    }

    /// Modifies the entry of `host`, if it is known.
    pub(super) fn update(&mut self, host: &str, change: impl FnOnce(&mut Entry)) {
        let Some((host, entry)) = self.entries.get_key_value(host) else {
            return;
        };
        let host = host.clone();
        let (before, was_live) = (entry.effective(), entry.is_live());
        let Some(entry) = self.entries.get_mut(&host) else {
            return;
        };
        change(entry);
        if entry.effective() != before {
            self.changed.insert(host.clone());
        }
        self.live = self.live + usize::from(entry.is_live()) - usize::from(was_live);
        self.index(&host);
    }

    /// Modifies all entries in a way that changes neither their states nor their sends.
    pub(super) fn for_each(&mut self, change: impl FnMut(&mut Entry)) {
        self.entries.values_mut().for_each(change);
    }

    /// Keeps only the entries for which `keep` is true.
    pub(super) fn retain(&mut self, keep: impl Fn(&Entry) -> bool) {
        let dropped = self.entries.extract_if(.., |_, entry| !keep(entry));
        let dropped: Vec<Name> = dropped.map(|(host, _)| host).collect();
        if dropped.is_empty() {
            return;
        }
        for host in &dropped {
            self.fresh.remove(host);
            self.ending.remove(host);
        }
        self.changed.extend(dropped);
        self.hosts = self.entries.keys().cloned().collect();
        self.live = self.entries.values().filter(|e| e.is_live()).count();
    }

    /// Marks the effective state of `host` as changed.
    pub(super) fn mark_changed(&mut self, host: &Name) {
        self.changed.insert(host.clone());
    }

    pub(super) fn take_changed(&mut self) -> BTreeSet<Name> {
        std::mem::take(&mut self.changed)
    }

    /// Hosts that become dead after a while, with their entries.
    pub(super) fn ending(&self) -> impl Iterator<Item = &Entry> {
        self.ending.iter().filter_map(|host| self.entries.get(host))
    }

    /// Takes at most `max` members for the next datagram: the least sent and newest changes, each
    /// of which is sent fewer than `limit` times.
    pub(super) fn take_updates(&mut self, max: usize, limit: u32) -> Vec<Member> {
        let is_sent = |e: &Entry| e.sends >= limit || !e.is_sendable();
        let entries = &self.entries;
        self.fresh
            .retain(|host| entries.get(host).is_some_and(|e| !is_sent(e)));
        let mut fresh: Vec<(u32, u64, &Name)> = self
            .fresh
            .iter()
            .filter_map(|host| entries.get(host).map(|e| (e.sends, e.since_ms, host)))
            .collect();
        fresh.sort_unstable_by_key(|(sends, since_ms, _)| (*sends, std::cmp::Reverse(*since_ms)));
        let hosts: Vec<Name> = fresh.into_iter().take(max).map(|f| f.2.clone()).collect();
        let mut updates = Vec::with_capacity(hosts.len());
        for host in hosts {
            if let Some(entry) = self.entries.get_mut(&host) {
                entry.sends += 1;
                updates.push(entry.member.clone());
            }
        }
        updates
    }

    /// Returns at most `n` random entries for which `is_eligible` is true, from a sample that is
    /// large enough unless most entries aren't.
    pub(super) fn choose<R: Rng>(
        &self,
        n: usize,
        is_eligible: impl Fn(&Entry) -> bool,
        rng: &mut R,
    ) -> Vec<&Entry> {
        const SAMPLED_PER_CHOICE: usize = 8;
        const MIN_SAMPLE: usize = 32;
        let sample = (n * SAMPLED_PER_CHOICE).max(MIN_SAMPLE);
        let sampled = index::sample(rng, self.hosts.len(), sample.min(self.hosts.len()));
        let entries = sampled.iter().filter_map(|at| self.get(&self.hosts[at]));
        entries.filter(|e| is_eligible(e)).take(n).collect()
    }

    fn index(&mut self, host: &Name) {
        let Some(entry) = self.entries.get(host) else {
            return;
        };
        if entry.sends < SENT_ENOUGH {
            self.fresh.insert(host.clone());
        }
        let state = entry.member.state;
        if matches!(state, MemberState::Suspect | MemberState::Leaving) {
            self.ending.insert(host.clone());
        } else {
            self.ending.remove(host);
        }
    }
}
