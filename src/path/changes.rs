//! Recent changes of upstreams, kept for routers that missed them.

use std::collections::VecDeque;
use std::ops::RangeInclusive;

use crate::path::position::StreamPosition;
use crate::schema::peer::UpstreamChange;

/// Number of changes kept, about one megabyte. A router that missed more is sent all upstreams. The
/// start of thousands of upstreams within seconds stays below this number: with fewer, each router
/// would be sent all upstreams repeatedly.
pub(super) const MAX_CHANGES: usize = 4_096;

impl UpstreamChange {
    /// Position after the record.
    pub(super) fn position(&self) -> StreamPosition {
        self.at.unwrap_or_default()
    }
}

/// Changes in the order of the log.
#[derive(Debug, Default)]
pub(super) struct Changes {
    kept: VecDeque<UpstreamChange>,
    /// Changes of the log's era up to this position are not kept.
    base: StreamPosition,
    /// Positions of the era before from which the kept changes lead here.
    former: Option<RangeInclusive<StreamPosition>>,
}

impl Changes {
    /// Position as of which the log's era was loaded, or later if changes were evicted since.
    pub(super) fn base(&self) -> StreamPosition {
        self.base
    }

    /// Restarts at `at` after a full read: earlier changes are unknown here.
    pub(super) fn start_at(&mut self, at: StreamPosition) {
        self.base = at;
        self.former = None;
        self.kept.clear();
    }

    /// Continues at `at` in a new era. The changes that follow lead there from the state as of
    /// `before`, the last position known of the era before.
    ///
    /// Failure guarded against: the log is restored, and hundreds of routers load all upstreams from
    /// it at the same time, though little has changed.
    pub(super) fn enter_era(&mut self, before: StreamPosition, at: StreamPosition) {
        self.former = Some(self.base..=before);
        self.base = at;
    }

    pub(super) fn push(&mut self, change: UpstreamChange) {
        self.kept.push_back(change);
        if self.kept.len() > MAX_CHANGES
            && let Some(evicted) = self.kept.pop_front()
        {
            self.evict_to(evicted.position());
        }
    }

    fn evict_to(&mut self, at: StreamPosition) {
        let former = self.former.take();
        let former = former.filter(|former| at <= *former.end());
        self.former = former.map(|former| at.max(*former.start())..=*former.end());
        self.base = self.base.max(at);
    }

    /// Returns the changes after `at`, or `None` if some of them are no longer kept.
    pub(super) fn since(&self, at: StreamPosition) -> Option<Vec<UpstreamChange>> {
        let is_of_former = self.former.as_ref().is_some_and(|f| f.contains(&at));
        if !at.is_known() || (at < self.base && !is_of_former) {
            return None;
        }
        let missed = self.kept.iter().filter(|c| c.position() > at);
        Some(missed.cloned().collect())
    }
}
