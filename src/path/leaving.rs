//! Upstreams that announced in an answer to this router, or to another one, that they are shutting
//! down. No I/O and no clock.

use std::collections::{HashMap, HashSet};

use crate::decide::Incarnation;

/// An announcement is kept for this long after the upstream was last listed or repeated it: its
/// entry may be missing for a while, and an upstream that doesn't report its start may be another
/// one by then.
pub(crate) const ANNOUNCEMENT_TTL_MS: u64 = 600_000;

#[derive(Clone, Copy, Debug)]
struct Announcement {
    /// Time of the first answer with it.
    since_ms: u64,
    /// Time at which the upstream last repeated it or was listed.
    confirmed_ms: u64,
}

/// Upstreams that are shutting down by their own answers.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeavingUpstreams {
    announced: HashMap<Incarnation, Announcement>,
    /// Announced to other routers, which repeat it.
    reported: HashSet<Incarnation>,
}

impl LeavingUpstreams {
    /// Records an announcement, and returns whether it is the first one of `upstream`.
    pub(crate) fn record(&mut self, upstream: Incarnation, now_ms: u64) -> bool {
        let mut is_first = false;
        let known = self.announced.entry(upstream).or_insert_with(|| {
            is_first = true;
            Announcement {
                since_ms: now_ms,
                confirmed_ms: now_ms,
            }
        });
        known.confirmed_ms = now_ms;
        is_first
    }

    /// Whether `upstream` announced its shutdown.
    pub(crate) fn contains(&self, upstream: &Incarnation) -> bool {
        self.announced.contains_key(upstream) || self.reported.contains(upstream)
    }

    /// The upstreams that announced it to this router.
    pub(crate) fn announced(&self) -> impl Iterator<Item = &Incarnation> {
        self.announced.keys()
    }

    /// Replaces the upstreams that announced it to other routers, and returns those that are new
    /// and those that other routers no longer report.
    pub(crate) fn set_reported(&mut self, reported: HashSet<Incarnation>) -> Vec<Incarnation> {
        let former = std::mem::replace(&mut self.reported, reported);
        former
            .symmetric_difference(&self.reported)
            .cloned()
            .collect()
    }

    /// Number of upstreams that announced it to other routers only.
    pub(crate) fn reported_only(&self) -> usize {
        let reported = self.reported.iter();
        reported
            .filter(|upstream| !self.announced.contains_key(upstream))
            .count()
    }

    /// Time since the first announcement of `upstream`.
    pub(crate) fn age_ms(&self, upstream: &Incarnation, now_ms: u64) -> Option<u64> {
        let announcement = self.announced.get(upstream)?;
        Some(now_ms.saturating_sub(announcement.since_ms))
    }

    /// Drops and returns expired announcements; those of upstreams for which `is_listed` is true
    /// don't expire.
    pub(crate) fn sweep(
        &mut self,
        is_listed: impl Fn(&Incarnation) -> bool,
        now_ms: u64,
    ) -> Vec<Incarnation> {
        let expired = self.announced.extract_if(|upstream, announcement| {
            // Without a start time, the listed upstream may be a later one with the same id.
            if upstream.started_ms > 0 && is_listed(upstream) {
                announcement.confirmed_ms = now_ms;
            }
            now_ms.saturating_sub(announcement.confirmed_ms) >= ANNOUNCEMENT_TTL_MS
        });
        expired.map(|(upstream, _)| upstream).collect()
    }
}
