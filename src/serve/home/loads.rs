//! The loads that this router believes in, shared by the tasks that place and admit work.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use crate::decide::PoolView;
use crate::decide::loads::{LoadView, Slots, UpstreamLoad};
use crate::fleet::gossip::{Gossip, Loads};
use crate::log::view::ConfigView;
use crate::schema::peer::{Load, LoadNow};
use crate::util::{Clock, Name};

/// Slots of an upstream whose configuration names none.
pub(crate) const DEFAULT_SLOTS: u32 = 32;

/// The upstreams of a service that take work, with their slots.
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

/// Upstreams whose load is known that make a mean of a pool worth believing, however large it is:
/// the error of the mean of 16 is a quarter of the spread.
const ENOUGH_KNOWN: u32 = 16;

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
    taken: Option<Arc<Loads>>,
}

impl SharedLoads {
    pub(crate) fn new(gossip: Gossip, clock: Clock) -> Self {
        Self {
            gossip,
            clock,
            state: Rc::default(),
        }
    }

    /// Takes what an upstream's home said of it.
    pub(crate) fn heard(&self, upstream: &Name, load: &LoadNow) {
        let seen = UpstreamLoad {
            work_ms: load.work_ms,
            in_flight: load.in_flight,
            queued: load.queued,
        };
        self.set(upstream, seen);
    }

    /// Takes the exact load of an upstream that this router is home to.
    pub(crate) fn set(&self, upstream: &Name, seen: UpstreamLoad) {
        let now_ms = self.clock.now_ms();
        self.state
            .borrow_mut()
            .view
            .set_exact(upstream, seen, now_ms);
    }

    /// Counts a job that was just sent to `upstream`.
    pub(crate) fn sent(&self, upstream: &Name, work_ms: f64) {
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

    /// The pool, with no bound while too little of it is known.
    ///
    /// Guards against a home that has heard no other home yet and takes its own slice for the
    /// pool: it would send work away to others that hold more.
    pub(crate) fn bounded_view(&self, pool: &[Slots], own: (&str, UpstreamLoad)) -> PoolView {
        let mut view = self.pool_view(pool, Some(own));
        if view.known < ENOUGH_KNOWN && view.known * 2 < view.upstreams {
            view.mean_work_ms = f64::INFINITY;
            view.free_slots = 0;
        }
        view
    }

    fn refresh(&self) {
        let latest = self.gossip.loads();
        let mut state = self.state.borrow_mut();
        if state
            .taken
            .as_ref()
            .is_some_and(|t| Arc::ptr_eq(t, &latest))
        {
            return;
        }
        for (name, load) in &latest.by_upstream {
            state.view.reported(name, seen(load), load.seq);
        }
        state.taken = Some(latest);
    }
}

fn seen(load: &Load) -> UpstreamLoad {
    UpstreamLoad {
        work_ms: load.work_ms,
        in_flight: load.in_flight,
        queued: load.queued,
    }
}
