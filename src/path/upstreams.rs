//! The upstreams that are there, as they last told the platform: a table without network.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::util::Name;

/// One upstream as it last told of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Its name; a restart may keep it.
    pub id: Name,
    /// The service it belongs to.
    pub service: Name,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_center: Name,
    /// Requests that it runs at once; 0 if it doesn't say.
    pub slots: u32,
    /// When it started, in Unix milliseconds; 0 if it doesn't say. One that starts again under its id has
    /// nothing of before.
    pub started_ms: u64,
    /// It is going away and takes no new work.
    pub draining: bool,
    /// How much longer it stayed cold when it said so.
    pub cold_ms: u64,
}

impl Upstream {
    /// Whether `next` says nothing that matters beyond this: at most that it is a little less cold.
    ///
    /// Failure guarded against: a cold upstream writes each second how much longer it stays so. Taken for changes, a start of
    /// thousands is told between hundreds of routers several times over.
    fn covers(&self, next: &Self) -> bool {
        let counts_down = next.cold_ms > 0 && next.cold_ms <= self.cold_ms;
        let rest = Self {
            cold_ms: self.cold_ms,
            ..next.clone()
        };
        rest == *self && (counts_down || next.cold_ms == self.cold_ms)
    }
}

/// All upstreams that are there.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    by_id: HashMap<Name, Rc<Upstream>>,
    pools: HashMap<Name, Vec<Rc<Upstream>>>,
}

impl Upstreams {
    /// Adds an upstream, or takes over what it says now. Tells whether anything changed that
    /// matters to where requests go.
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
            .is_some_and(|u| u.covers(&upstream))
        {
            return false;
        }
        self.remove(&upstream.id.clone());
        let upstream = Rc::new(upstream);
        self.by_id.insert(upstream.id.clone(), upstream.clone());
        let pool = self.pools.entry(upstream.service.clone()).or_default();
        let (Ok(at) | Err(at)) = place(pool, &upstream.id);
        pool.insert(at, upstream);
        true
    }

    /// Forgets an upstream; tells whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(gone) = self.by_id.remove(id) else {
            return false;
        };
        if let Some(pool) = self.pools.get_mut(&gone.service)
            && let Ok(at) = place(pool, id)
        {
            pool.remove(at);
        }
        true
    }

    /// The upstreams of `service`, also those that drain, in the order of their ids.
    pub fn pool(&self, service: &str) -> &[Rc<Upstream>] {
        self.pools.get(service).map_or(&[], Vec::as_slice)
    }

    /// The pools of all services.
    pub fn pools(&self) -> impl Iterator<Item = &[Rc<Upstream>]> {
        self.pools.values().map(Vec::as_slice)
    }

    /// The upstream `id`, also while it drains.
    pub fn get(&self, id: &str) -> Option<&Rc<Upstream>> {
        self.by_id.get(id)
    }

    /// The ids of all.
    pub fn ids(&self) -> Vec<Name> {
        self.by_id.keys().cloned().collect()
    }

    /// How many are known.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

/// Where `id` stands in a pool, or would. Pools are kept in order: putting each of 3,000 upstreams that
/// start together costs a search, not a sort of all.
fn place(pool: &[Rc<Upstream>], id: &str) -> Result<usize, usize> {
    pool.binary_search_by(|u| (*u.id).cmp(id))
}
