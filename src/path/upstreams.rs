//! Table of the upstreams as they last reported to the platform. No I/O.

mod pool;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use crate::decide::{Incarnation, Origin};
use crate::fleet::leaving::incarnation_digest;
use crate::fleet::loads::digest;
use crate::path::leaving::LeavingUpstreams;
use crate::util::{self, Name};

pub use pool::Pool;

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
    /// Version of the software that it runs; `None` if its record names none.
    pub software: Option<Name>,
}

impl Upstream {
    /// Its id and start.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.id.clone(),
            started_ms: self.started_ms,
        }
    }

    /// Origin of the streams that it begins.
    pub(crate) fn origin(&self) -> Origin {
        Origin {
            service: self.service.clone(),
            software: self.software.clone(),
        }
    }

    /// Whether it may go on with a stream that began at `origin`.
    pub(crate) fn continues(&self, origin: &Origin) -> bool {
        self.service == origin.service && self.software == origin.software
    }

    /// Whether this is another start of the upstream that was listed as `before`: its start time or
    /// its software differs.
    ///
    /// The clock of its host may have stepped back in between, so any different start time is a
    /// restart.
    pub(crate) fn is_restart_of(&self, before: &Self) -> bool {
        let has_starts = self.started_ms > 0 && before.started_ms > 0;
        let has_versions = self.software.is_some() && before.software.is_some();
        has_starts && self.started_ms != before.started_ms
            || has_versions && self.software != before.software
    }

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
    data_center: Option<Name>,
    by_id: HashMap<Name, Rc<Upstream>>,
    by_digest: HashMap<u32, Rc<Upstream>>,
    pools: HashMap<Name, Rc<Pool>>,
    leaving: LeavingUpstreams,
}

impl Upstreams {
    /// Creates the empty table of a router in `data_center`.
    pub fn local_to(data_center: Name) -> Self {
        Self {
            data_center: Some(data_center),
            ..Self::default()
        }
    }

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
    ///     software: None,
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
        self.by_digest
            .insert(digest(&upstream.id), upstream.clone());
        let is_local = self.data_center.as_ref() == Some(&upstream.data_center);
        let takes_work = self.takes_work(&upstream);
        let pool = self.pools.entry(upstream.service.clone()).or_default();
        Rc::make_mut(pool).insert(upstream, is_local, takes_work);
        true
    }

    /// Whether `upstream` is not shutting down, by its record and by its answers.
    pub fn takes_work(&self, upstream: &Upstream) -> bool {
        !upstream.draining && !self.leaving.contains(&upstream.incarnation())
    }

    /// Records that an upstream announced its shutdown in an answer, and returns whether this is
    /// its first announcement. Nothing that the log says later of this start restores it.
    ///
    /// Failure guarded against: an upstream shuts down while the log is away. Its record still says
    /// that it takes work, and requests are sent to it until it has ended.
    ///
    /// ```
    /// use cassiagrade::path::upstreams::{Upstream, Upstreams};
    /// let one = Upstream {
    ///     id: "i-1".into(),
    ///     service: "s".into(),
    ///     addr: "10.0.0.1:80".parse().unwrap(),
    ///     data_center: "north".into(),
    ///     slots: 8,
    ///     started_ms: 5,
    ///     draining: false,
    ///     cold_ms: 0,
    ///     software: None,
    /// };
    /// let mut upstreams = Upstreams::default();
    /// upstreams.put(one.clone());
    /// assert!(upstreams.record_leaving(&one, 100));
    /// upstreams.remove("i-1");
    /// upstreams.put(one.clone());
    /// assert!(upstreams.shared_pool("s").candidates()[0].excluded);
    /// upstreams.put(Upstream { started_ms: 6, ..one });
    /// assert!(!upstreams.shared_pool("s").candidates()[0].excluded);
    /// ```
    pub fn record_leaving(&mut self, upstream: &Upstream, now_ms: u64) -> bool {
        let is_first = self.leaving.record(upstream.incarnation(), now_ms);
        if is_first {
            self.update_takes_work(&upstream.id);
        }
        is_first
    }

    /// Applies which upstreams other routers report as leaving, by the digests of their starts.
    /// Costs a comparison for each upstream while any is reported.
    pub(crate) fn set_reported_leaving(&mut self, digests: &HashSet<u32>) {
        let reported = if digests.is_empty() {
            HashSet::new()
        } else {
            self.find_incarnations(digests)
        };
        for upstream in self.leaving.set_reported(reported) {
            self.update_takes_work(&upstream.id);
        }
    }

    /// Number of upstreams that are leaving by the reports of other routers alone.
    pub(crate) fn reported_leaving(&self) -> usize {
        self.leaving.reported_only()
    }

    fn find_incarnations(&self, digests: &HashSet<u32>) -> HashSet<Incarnation> {
        let pools = self.pools.values();
        let all = pools.flat_map(|pool| pool.candidates().iter().zip(pool.upstreams()));
        let found = all.filter(|(candidate, upstream)| {
            digests.contains(&incarnation_digest(candidate.id_hash, upstream.started_ms))
        });
        found.map(|(_, upstream)| upstream.incarnation()).collect()
    }

    /// Digests of the starts of those upstreams that announced their shutdown to this router and
    /// whose records don't say so.
    pub(crate) fn announced_digests(&self) -> HashSet<u32> {
        let announced = self.leaving.announced();
        let unlisted = announced.filter(|upstream| {
            let listed = self.by_id.get(&upstream.id);
            listed.is_some_and(|u| u.started_ms == upstream.started_ms && !u.draining)
        });
        let digest = |upstream: &Incarnation| {
            let id_hash = util::hash_bytes(upstream.id.as_bytes());
            incarnation_digest(id_hash, upstream.started_ms)
        };
        unlisted.map(digest).collect()
    }

    /// Time since `upstream` first announced its shutdown in an answer.
    pub fn leaving_ms(&self, upstream: &Upstream, now_ms: u64) -> Option<u64> {
        self.leaving.age_ms(&upstream.incarnation(), now_ms)
    }

    /// Drops the announcements that have expired.
    pub fn sweep(&mut self, now_ms: u64) {
        let by_id = &self.by_id;
        let is_listed = |upstream: &Incarnation| {
            let listed = by_id.get(&upstream.id);
            listed.is_some_and(|u| u.started_ms == upstream.started_ms)
        };
        let expired = self.leaving.sweep(is_listed, now_ms);
        for upstream in expired {
            self.update_takes_work(&upstream.id);
        }
    }

    fn update_takes_work(&mut self, id: &str) {
        let Some(upstream) = self.by_id.get(id) else {
            return;
        };
        let takes_work = self.takes_work(upstream);
        if let Some(pool) = self.pools.get_mut(&upstream.service)
            && let Some(at) = pool.position(id)
        {
            Rc::make_mut(pool).set_takes_work(at, takes_work);
        }
    }

    /// Removes an upstream, and returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(removed) = self.by_id.remove(id) else {
            return false;
        };
        let digest = digest(id);
        if self
            .by_digest
            .get(&digest)
            .is_some_and(|u| u.id == removed.id)
        {
            self.by_digest.remove(&digest);
        }
        if let Some(pool) = self.pools.get_mut(&removed.service) {
            Rc::make_mut(pool).remove(id);
        }
        true
    }

    /// Upstreams of `service`, including draining ones, in the order of their ids.
    pub fn pool(&self, service: &str) -> &[Rc<Upstream>] {
        self.pools.get(service).map_or(&[], |p| p.upstreams())
    }

    /// Pool of `service`; empty if none of its upstreams is known.
    ///
    /// ```
    /// use cassiagrade::path::upstreams::{Upstream, Upstreams};
    /// let upstream = |id: &str, draining| Upstream {
    ///     id: id.into(),
    ///     service: "s".into(),
    ///     addr: "10.0.0.1:80".parse().unwrap(),
    ///     data_center: "north".into(),
    ///     slots: 8,
    ///     started_ms: 0,
    ///     draining,
    ///     cold_ms: 0,
    ///     software: None,
    /// };
    /// let mut upstreams = Upstreams::local_to("north".into());
    /// upstreams.put(upstream("i-2", true));
    /// upstreams.put(upstream("i-1", false));
    /// let pool = upstreams.shared_pool("s");
    /// assert_eq!(pool.position("i-2"), Some(1));
    /// assert!(pool.candidates()[0].is_local && pool.candidates()[1].excluded);
    /// assert_eq!(pool.slots()["north"], 8);
    /// ```
    pub fn shared_pool(&self, service: &str) -> Rc<Pool> {
        self.pools.get(service).cloned().unwrap_or_default()
    }

    /// Pools of all services.
    pub fn pools(&self) -> impl Iterator<Item = (&Name, &Pool)> {
        self.pools.iter().map(|(service, pool)| (service, &**pool))
    }

    /// Upstream by the digest that stands for its id between routers. Of two with the same digest
    /// it is the one added last.
    pub fn by_digest(&self, digest: u32) -> Option<&Rc<Upstream>> {
        self.by_digest.get(&digest)
    }

    /// Upstream `id`, also while it drains.
    pub fn get(&self, id: &str) -> Option<&Rc<Upstream>> {
        self.by_id.get(id)
    }

    /// Ids of all upstreams.
    pub fn ids(&self) -> Vec<Name> {
        self.by_id.keys().cloned().collect()
    }

    /// Upstreams whose records say that they drain.
    pub(crate) fn draining(&self) -> Vec<Incarnation> {
        let draining = self.by_id.values().filter(|u| u.draining);
        draining.map(|u| u.incarnation()).collect()
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
