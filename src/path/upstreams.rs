//! Table of the upstreams as they last reported to the platform. No I/O.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::util::Name;

/// Upstream as it last reported itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Id, which a restart may keep.
    pub id: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Data centre.
    pub data_center: Name,
    /// Number of requests that it runs at once; 0 if not reported.
    pub slots: u32,
    /// Start time in Unix milliseconds; 0 if not reported. An upstream that restarts under its id
    /// has lost its earlier state.
    pub started_ms: u64,
    /// Whether it is shutting down and accepts no new work.
    pub draining: bool,
    /// Remaining time that it stays cold, as of its report.
    pub cold_ms: u64,
}

impl Upstream {
    /// Whether `next` adds nothing of relevance to this record: it differs at most in a shorter
    /// remaining cold time.
    ///
    /// Failure guarded against: a cold upstream writes its remaining cold time every second. If
    /// these records counted as changes, the start of thousands of upstreams would be sent between
    /// hundreds of routers several times over.
    fn makes_redundant(&self, next: &Self) -> bool {
        let counts_down = next.cold_ms > 0 && next.cold_ms <= self.cold_ms;
        let rest = Self {
            cold_ms: self.cold_ms,
            ..next.clone()
        };
        rest == *self && (counts_down || next.cold_ms == self.cold_ms)
    }
}

/// All known upstreams.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    by_id: HashMap<Name, Rc<Upstream>>,
    pools: HashMap<Name, Vec<Rc<Upstream>>>,
}

impl Upstreams {
    /// Adds or updates an upstream, and returns whether anything relevant to routing changed.
    ///
    /// ```
    /// use cassiagrade::path::upstreams::{Upstream, Upstreams};
    /// let one = Upstream {
    ///     id: "i-1".into(),
    ///     service: "s".into(),
    ///     addr: "10.0.0.1:80".parse().unwrap(),
    ///     data_center: "north".into(),
    ///     slots: 8,
    ///     started_ms: 0,
    ///     draining: false,
    ///     cold_ms: 0,
    /// };
    /// let mut upstreams = Upstreams::default();
    /// assert!(upstreams.put(one.clone()));
    /// assert!(!upstreams.put(one.clone()));
    /// assert!(upstreams.put(Upstream { draining: true, ..one }));
    /// assert!(upstreams.pool("s")[0].draining);
    /// // Cold, still cold, warm.
    /// let cold = |cold_ms| Upstream { cold_ms, ..(*upstreams.pool("s")[0]).clone() };
    /// let (first, second, warm) = (cold(3_000), cold(1_800), cold(0));
    /// assert!(upstreams.put(first));
    /// assert!(!upstreams.put(second));
    /// assert!(upstreams.put(warm));
    /// assert!(upstreams.remove("i-1"));
    /// ```
    pub fn put(&mut self, upstream: Upstream) -> bool {
        if self
            .by_id
            .get(&upstream.id)
            .is_some_and(|u| u.makes_redundant(&upstream))
        {
            return false;
        }
        self.remove(&upstream.id.clone());
        let upstream = Rc::new(upstream);
        self.by_id.insert(upstream.id.clone(), upstream.clone());
        let pool = self.pools.entry(upstream.service.clone()).or_default();
        let (Ok(at) | Err(at)) = position(pool, &upstream.id);
        pool.insert(at, upstream);
        true
    }

    /// Removes an upstream, and returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(removed) = self.by_id.remove(id) else {
            return false;
        };
        if let Some(pool) = self.pools.get_mut(&removed.service)
            && let Ok(at) = position(pool, id)
        {
            pool.remove(at);
        }
        true
    }

    /// Upstreams of `service`, including draining ones, in the order of their ids.
    pub fn pool(&self, service: &str) -> &[Rc<Upstream>] {
        self.pools.get(service).map_or(&[], Vec::as_slice)
    }

    /// Pools of all services.
    pub fn pools(&self) -> impl Iterator<Item = &[Rc<Upstream>]> {
        self.pools.values().map(Vec::as_slice)
    }

    /// Upstream `id`, also while it drains.
    pub fn get(&self, id: &str) -> Option<&Rc<Upstream>> {
        self.by_id.get(id)
    }

    /// Ids of all upstreams.
    pub fn ids(&self) -> Vec<Name> {
        self.by_id.keys().cloned().collect()
    }

    /// Number of known upstreams.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

/// Returns the position of `id` in a pool, or its insertion point. Pools are sorted: adding each of
/// 3,000 upstreams that start together costs a search instead of a sort of the whole pool.
fn position(pool: &[Rc<Upstream>], id: &str) -> Result<usize, usize> {
    pool.binary_search_by(|u| (*u.id).cmp(id))
}
