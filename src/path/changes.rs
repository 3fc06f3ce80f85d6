//! The latest changes of upstreams, kept for routers that missed them.

use std::collections::VecDeque;

use crate::schema::peer::UpstreamChange;

/// Changes that are kept; a router that missed more is told everything. A start of thousands of upstreams
/// within seconds stays below: with fewer kept, each router is told everything, again and again. They take a megabyte.
pub(super) const MAX_CHANGES: usize = 4_096;

/// Changes in the order of the log.
#[derive(Debug, Default)]
pub(super) struct Changes {
    kept: VecDeque<UpstreamChange>,
    /// Changes up to this offset are not kept.
    after: u64,
}

impl Changes {
    /// Everything was read as of offset `at`: changes before it are known by nobody here.
    pub(super) fn start_at(&mut self, at: u64) {
        self.after = at;
        self.kept.clear();
    }

    pub(super) fn push(&mut self, change: UpstreamChange) {
        self.kept.push_back(change);
        if self.kept.len() > MAX_CHANGES
            && let Some(forgotten) = self.kept.pop_front()
        {
            self.after = forgotten.at;
        }
    }

    /// What changed after offset `at`; nothing if not all of that is kept.
    pub(super) fn since(&self, at: u64) -> Option<Vec<UpstreamChange>> {
        if at == 0 || at < self.after {
            return None;
        }
        let missed = self.kept.iter().filter(|c| c.at > at);
        Some(missed.cloned().collect())
    }
}
