//! The upstreams of one service, with what selecting one of them needs.

use std::collections::HashMap;
use std::rc::Rc;

use crate::decide::Incarnation;
use crate::decide::ejection;
use crate::decide::spread::Candidate;
use crate::path::upstreams::Upstream;
use crate::util::{self, Name};

/// Upstreams of one service, in the order of their ids, with what selecting one of them needs.
///
/// Load pattern: a pool of thousands of upstreams on each of a thousand routers, which handle a
/// request or two a second each. Whatever is computed for each upstream of the pool several times a
/// second costs more than the requests. So the pool keeps what depends on the records alone, and
/// the state that a router observes is applied to the few upstreams that it concerns.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    upstreams: Vec<Rc<Upstream>>,
    candidates: Vec<Candidate>,
    /// Never saturates, so that what is added can be subtracted again.
    slots: HashMap<Name, u64>,
    /// Number of upstreams of each software version, by its name.
    versions: HashMap<Option<Name>, u32>,
}

impl Pool {
    /// The upstreams, including draining ones.
    pub fn upstreams(&self) -> &[Rc<Upstream>] {
        &self.upstreams
    }

    /// A candidate for each upstream, as if all were idle and healthy.
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// Slots of the upstreams of each data centre that take work.
    pub fn slots(&self) -> &HashMap<Name, u64> {
        &self.slots
    }

    /// Software versions of the upstreams, draining ones included.
    pub fn versions(&self) -> impl Iterator<Item = Option<&Name>> {
        self.versions.keys().map(Option::as_ref)
    }

    /// Position of upstream `id` in the pool, by binary search.
    pub fn position(&self, id: &str) -> Option<usize> {
        self.search(id).ok()
    }

    /// Position of `upstream` in the pool, unless it was started again since.
    pub fn position_of(&self, upstream: &Incarnation) -> Option<usize> {
        let at = self.position(&upstream.id)?;
        (self.upstreams[at].started_ms == upstream.started_ms).then_some(at)
    }

    fn search(&self, id: &str) -> Result<usize, usize> {
        self.upstreams.binary_search_by(|u| (*u.id).cmp(id))
    }

    pub(super) fn insert(&mut self, upstream: Rc<Upstream>, is_local: bool, takes_work: bool) {
        let (Ok(at) | Err(at)) = self.search(&upstream.id);
        let candidate = Candidate {
            id_hash: util::hash_bytes(upstream.id.as_bytes()),
            slots: upstream.slots,
            is_local,
            excluded: true,
            has_parts: true,
            ..Candidate::default()
        };
        self.slots.entry(upstream.data_center.clone()).or_default();
        *self.versions.entry(upstream.software.clone()).or_default() += 1;
        self.candidates.insert(at, candidate);
        self.upstreams.insert(at, upstream);
        self.set_takes_work(at, takes_work);
    }

    /// Includes or excludes the upstream at position `at`.
    pub(super) fn set_takes_work(&mut self, at: usize, takes_work: bool) {
        let candidate = &mut self.candidates[at];
        let upstream = &self.upstreams[at];
        if candidate.excluded != takes_work {
            return;
        }
        candidate.excluded = !takes_work;
        if let Some(slots) = self.slots.get_mut(&upstream.data_center) {
            let changed = u64::from(upstream.slots);
            *slots = if takes_work {
                *slots + changed
            } else {
                slots.saturating_sub(changed)
            };
        }
    }

    pub(super) fn remove(&mut self, id: &str) {
        let Ok(at) = self.search(id) else {
            return;
        };
        self.set_takes_work(at, false);
        self.candidates.remove(at);
        let removed = self.upstreams.remove(at);
        if let Some(count) = self.versions.get_mut(&removed.software) {
            *count -= 1;
            if *count == 0 {
                self.versions.remove(&removed.software);
            }
        }
    }
}

impl ejection::Pool for Pool {
    fn size(&self) -> usize {
        self.upstreams.len()
    }

    fn contains(&self, upstream: &str) -> bool {
        self.position(upstream).is_some()
    }
}
