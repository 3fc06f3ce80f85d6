//! The router's view of upstream loads, shared by the tasks that place and admit work.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use crate::decide::PoolView;
use crate::decide::loads::{LoadView, Slots, UpstreamLoad};
use crate::fleet::gossip::{Gossip, Loads};
use crate::log::view::ConfigView;
use crate::schema::peer::{Load, LoadNow};
use crate::util::{Clock, Name};

/// Slots of an upstream whose configuration sets none.
pub(crate) const DEFAULT_SLOTS: u32 = 32;

/// Returns the upstreams of a service that take work, with their slots.
pub(crate) fn pool_slots(config: &ConfigView, service: &str) -> Vec<Slots> {
    let Some(pool) = config.pool(service) else {
        return Vec::new();
    };
    let slots = |name: &Name| Slots {
        name: name.clone(),
        slots: match pool.upstreams.get(name).map_or(0, |u| u.slots) {
            0 => DEFAULT_SLOTS,
            slots => slots,
        },
    };
    pool.names.iter().map(slots).collect()
}

/// Known loads that give a usable mean for a pool of any size: the standard error of the mean of 16
/// is a quarter of the standard deviation.
const MIN_KNOWN_LOADS: u32 = 16;

/// A handle to the shared view.
#[derive(Clone)]
pub(crate) struct SharedLoads {
    gossip: Gossip,
    clock: Clock,
    state: Rc<RefCell<State>>,
}

#[derive(Default)]
struct State {
    view: LoadView,
    applied: Option<Arc<Loads>>,
}

impl SharedLoads {
    pub(crate) fn new(gossip: Gossip, clock: Clock) -> Self {
        Self {
            gossip,
            clock,
            state: Rc::default(),
        }
    }

    /// Records the load that an upstream's home attached to its reply.
    pub(crate) fn record_reply(&self, upstream: &Name, load: &LoadNow) {
        let reported = UpstreamLoad {
            work_ms: load.work_ms,
            in_flight: load.in_flight,
            queued: load.queued,
        };
        self.set(upstream, reported);
    }

    /// Records the exact load of an upstream that this router is home to.
    pub(crate) fn set(&self, upstream: &Name, load: UpstreamLoad) {
        let now_ms = self.clock.now_ms();
        self.state
            .borrow_mut()
            .view
            .set_exact(upstream, load, now_ms);
    }

    /// Adds a job that was just sent to `upstream`.
    pub(crate) fn record_sent(&self, upstream: &Name, work_ms: f64) {
        self.state.borrow_mut().view.sent(upstream, work_ms);
    }

    pub(crate) fn get(&self, upstream: &str) -> Option<UpstreamLoad> {
        self.refresh();
        self.state.borrow().view.get(upstream)
    }

    pub(crate) fn pool_view(&self, pool: &[Slots], own: Option<(&str, UpstreamLoad)>) -> PoolView {
        self.refresh();
        self.state.borrow().view.pool_view(pool, own)
    }

    /// Returns the pool's view, with no load bound while too few loads are known.
    ///
    /// A home that has no reports from other homes yet would take its own upstreams' mean for the
    /// pool's, and send work to homes with a higher load.
    pub(crate) fn bounded_view(&self, pool: &[Slots], own: (&str, UpstreamLoad)) -> PoolView {
        let mut view = self.pool_view(pool, Some(own));
        if view.known < MIN_KNOWN_LOADS && view.known * 2 < view.upstreams {
            view.mean_work_ms = f64::INFINITY;
            view.free_slots = 0;
        }
        view
    }

    fn refresh(&self) {
        let latest = self.gossip.loads();
        let mut state = self.state.borrow_mut();
        if state
            .applied
            .as_ref()
            .is_some_and(|a| Arc::ptr_eq(a, &latest))
        {
            return;
        }
        for (name, load) in &latest.by_upstream {
            state.view.reported(name, upstream_load(load), load.seq);
        }
        state.applied = Some(latest);
    }
}

fn upstream_load(load: &Load) -> UpstreamLoad {
    UpstreamLoad {
        work_ms: load.work_ms,
        in_flight: load.in_flight,
        queued: load.queued,
    }
}
