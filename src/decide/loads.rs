//! What one router believes of each upstream's work.
//!
//! Load pattern: reports are a second old and some get lost, while each of many routers places
//! work by them. Acting on the reports alone, all routers send to the engine that was idle a
//! second ago. Two corrections are free: every answer of a home carries its exact work at that
//! moment, and what this router itself has placed since the last report is added.
//!
//! A view costs one table look-up an upstream when it is rebuilt, and nothing in between.

use std::collections::HashMap;

use crate::decide::{Name, PoolView};

/// The load of one upstream at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamLoad {
    /// Work in flight and waiting, in engine milliseconds.
    pub work_ms: f64,
    /// Jobs at the upstream.
    pub in_flight: u32,
    /// Jobs that wait for it.
    pub queued: u32,
}

/// One upstream of a pool.
#[derive(Clone, Debug)]
pub struct Slots {
    /// Its name.
    pub name: Name,
    /// Jobs it runs at once.
    pub slots: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Belief {
    seen: UpstreamLoad,
    seq: u64,
}

/// Beliefs by upstream.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    beliefs: HashMap<Name, Belief>,
}

impl LoadView {
    /// Takes a gossiped report; one that isn't newer than the last changes nothing.
    pub fn reported(&mut self, upstream: &Name, seen: UpstreamLoad, seq: u64) {
        let known = self.beliefs.entry(upstream.clone()).or_default();
        if seq > known.seq {
            *known = Belief { seen, seq };
        }
    }

    /// Takes the exact load that a home's answer carried at `seq`, on this router's clock.
    ///
    /// ```
    /// use cassiagrade::decide::{Name, loads::{LoadView, UpstreamLoad}};
    /// let mut view = LoadView::default();
    /// let engine = Name::from("engine-1");
    /// view.heard(&engine, UpstreamLoad { work_ms: 300.0, in_flight: 2, queued: 0 }, 8);
    /// view.sent(&engine, 50.0);
    /// // A report that is older than the answer is ignored.
    /// view.reported(&engine, UpstreamLoad { work_ms: 900.0, in_flight: 5, queued: 0 }, 7);
    /// assert_eq!(view.get(&engine).unwrap().work_ms, 350.0);
    /// ```
    pub fn heard(&mut self, upstream: &Name, seen: UpstreamLoad, seq: u64) {
        let belief = Belief { seen, seq };
        self.beliefs.insert(upstream.clone(), belief);
    }

    /// Adds a job that this router has just sent there.
    pub fn sent(&mut self, upstream: &Name, work_ms: f64) {
        let known = self.beliefs.entry(upstream.clone()).or_default();
        known.seen.work_ms += work_ms;
        known.seen.in_flight += 1;
    }

    /// The believed load of `upstream`, if any router told of it.
    pub fn get(&self, upstream: &str) -> Option<UpstreamLoad> {
        self.beliefs.get(upstream).map(|b| b.seen)
    }

    /// Forgets upstreams that `keep` doesn't hold for.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.beliefs.retain(|name, _| keep(name));
    }

    /// The pool as seen from the home of `own`, whose exact load is `exact`; without `own`, as
    /// seen from anywhere. The mean is over those whose load is known: unknown isn't idle.
    pub fn pool_view(&self, pool: &[Slots], own: Option<(&str, UpstreamLoad)>) -> PoolView {
        let mut known = 0_u32;
        let mut sum_ms = 0.0;
        let mut free_slots = 0;
        for upstream in pool {
            let exact = own.filter(|(name, _)| *name == &*upstream.name);
            let Some(seen) = exact.map(|o| o.1).or_else(|| self.get(&upstream.name)) else {
                continue;
            };
            known += 1;
            sum_ms += seen.work_ms;
            if exact.is_none() {
                free_slots += upstream.free(seen);
            }
        }
        PoolView {
            mean_work_ms: sum_ms / f64::from(known.max(1)),
            upstreams: u32::try_from(pool.len()).unwrap_or(u32::MAX),
            known,
            free_slots,
        }
    }
}

impl Slots {
    /// Jobs it could start at once, at the load `seen`.
    pub fn free(&self, seen: UpstreamLoad) -> u32 {
        self.slots.saturating_sub(seen.in_flight + seen.queued)
    }
}
