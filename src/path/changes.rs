//! Recent changes of upstreams, kept for routers that missed them.

use std::collections::VecDeque;

use crate::schema::peer::UpstreamChange;

/// Number of changes kept, about one megabyte. A router that missed more is sent all upstreams. The
/// start of thousands of upstreams within seconds stays below this number: with fewer, each router
/// would be sent all upstreams repeatedly.
pub(super) const MAX_CHANGES: usize = 4_096;

/// Changes in the order of the log.
#[derive(Debug, Default)]
pub(super) struct Changes {
    kept: VecDeque<UpstreamChange>,
    /// Changes up to this offset are not kept.
    base: u64,
}

impl Changes {
    /// Restarts at offset `at` after a full read: earlier changes are unknown here.
    pub(super) fn start_at(&mut self, at: u64) {
        self.base = at;
        self.kept.clear();
    }

    pub(super) fn push(&mut self, change: UpstreamChange) {
        self.kept.push_back(change);
        if self.kept.len() > MAX_CHANGES
            && let Some(evicted) = self.kept.pop_front()
        {
            self.base = evicted.at;
        }
    }

    /// Returns the changes after offset `at`, or `None` if some of them are no longer kept.
    pub(super) fn since(&self, at: u64) -> Option<Vec<UpstreamChange>> {
        if at == 0 || at < self.base {
            return None;
        }
        let missed = self.kept.iter().filter(|c| c.at > at);
        Some(missed.cloned().collect())
    }
}
