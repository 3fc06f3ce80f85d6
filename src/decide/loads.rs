//! One router's view of the load of each upstream.
//!
//! Load pattern: reports are a second old and some get lost, while each of many routers places work
//! by them. With reports alone, all routers send to the engine that was idle a second ago. Two
//! corrections cost nothing: every answer of a home carries its exact load at that moment, and the
//! work that this router has placed since the last report is added.
//!
//! A view costs one table look-up per upstream when it is rebuilt, and nothing in between.

use std::collections::HashMap;

use crate::decide::{Name, PoolView};

/// Load of one upstream at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamLoad {
    /// Work in flight and waiting, in engine milliseconds.
    pub work_ms: f64,
    /// Jobs running at the upstream.
    pub in_flight: u32,
    /// Jobs queued for it.
    pub queued: u32,
}

/// One upstream of a pool.
#[derive(Clone, Debug)]
pub struct Slots {
    /// Name of the upstream.
    pub name: Name,
    /// Jobs that it runs at once.
    pub slots: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    load: UpstreamLoad,
    seq: u64,
}

/// Latest known load by upstream.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    loads: HashMap<Name, Entry>,
}

impl LoadView {
    /// Takes a load report received by gossip, unless it isn't newer than the last one.
    pub fn reported(&mut self, upstream: &Name, load: UpstreamLoad, seq: u64) {
        let known = self.loads.entry(upstream.clone()).or_default();
        if seq > known.seq {
            *known = Entry { load, seq };
        }
    }

    /// Takes the exact load that a home's answer carried at `seq`, on this router's clock.
    ///
    /// ```
    /// use cassiagrade::decide::{Name, loads::{LoadView, UpstreamLoad}};
    /// let mut view = LoadView::default();
    /// let engine = Name::from("engine-1");
    /// view.set_exact(&engine, UpstreamLoad { work_ms: 300.0, in_flight: 2, queued: 0 }, 8);
    /// view.sent(&engine, 50.0);
    /// // A report that is older than the answer is ignored.
    /// view.reported(&engine, UpstreamLoad { work_ms: 900.0, in_flight: 5, queued: 0 }, 7);
    /// assert_eq!(view.get(&engine).unwrap().work_ms, 350.0);
    /// ```
    pub fn set_exact(&mut self, upstream: &Name, load: UpstreamLoad, seq: u64) {
        let entry = Entry { load, seq };
        self.loads.insert(upstream.clone(), entry);
    }

    /// Adds a job that this router has just sent to `upstream`.
    pub fn sent(&mut self, upstream: &Name, work_ms: f64) {
        let known = self.loads.entry(upstream.clone()).or_default();
        known.load.work_ms += work_ms;
        known.load.in_flight += 1;
    }

    /// Returns the latest known load of `upstream`.
    pub fn get(&self, upstream: &str) -> Option<UpstreamLoad> {
        self.loads.get(upstream).map(|entry| entry.load)
    }

    /// Keeps only the upstreams for which `keep` is true.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.loads.retain(|name, _| keep(name));
    }

    /// Returns the pool's load as seen from the home of the upstream `own` with its exact load, or
    /// from any router without `own`. The mean covers only upstreams whose load is known.
    pub fn pool_view(&self, pool: &[Slots], own: Option<(&str, UpstreamLoad)>) -> PoolView {
        let mut known = 0_u32;
        let mut sum_ms = 0.0;
        let mut free_slots = 0;
        for upstream in pool {
            let exact = own.filter(|(name, _)| *name == &*upstream.name);
            let Some(load) = exact.map(|o| o.1).or_else(|| self.get(&upstream.name)) else {
                continue;
            };
            known += 1;
            sum_ms += load.work_ms;
            if exact.is_none() {
                free_slots += upstream.free(load);
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
    /// Returns how many jobs it could start at once at the given load.
    pub fn free(&self, load: UpstreamLoad) -> u32 {
        self.slots.saturating_sub(load.in_flight + load.queued)
    }
}
