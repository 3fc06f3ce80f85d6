//! Upstreams that asked this router to send them nothing for a while (server pushback).
//!
//! Load pattern: an upstream has more work than it can do and rejects what arrives, with a time after
//! which it will take work again. Requests sent to it before cost it the work of rejecting them,
//! their callers a round trip, and the fleet one of its retries each, until none are left and
//! callers are refused although other upstreams are idle. Ejection doesn't prevent that: it needs
//! several failures, spares most of a pool, and ends by its own clock.
//!
//! So such an upstream gets nothing until its time has passed, however many of its pool ask for it.
//! If all do, callers are refused at once and come back when the first one takes work again. The
//! time is this router's alone, as the upstream may still take what others send. A decision costs a
//! search for each upstream that has asked.

use std::collections::HashMap;

use crate::decide::Incarnation;

/// The times until which upstreams want no request from this router.
#[derive(Clone, Debug, Default)]
pub struct Pushbacks {
    until_ms: HashMap<Incarnation, u64>,
}

impl Pushbacks {
    /// Records that `upstream` wants no request for `pushback_ms`, and returns whether it took
    /// requests before. Of several times, the latest end holds.
    ///
    /// ```
    /// use cassiagrade::decide::{Incarnation, pushback::Pushbacks};
    /// let upstream = Incarnation { id: "up-1".into(), started_ms: 7 };
    /// let mut pushbacks = Pushbacks::default();
    /// assert!(pushbacks.record(upstream.clone(), 3_000, 100));
    /// assert!(!pushbacks.record(upstream.clone(), 500, 200));
    /// assert_eq!(pushbacks.left_ms(&upstream, 2_100), Some(1_000));
    /// assert_eq!(pushbacks.left_ms(&upstream, 3_100), None);
    /// ```
    pub fn record(&mut self, upstream: Incarnation, pushback_ms: u64, now_ms: u64) -> bool {
        let until_ms = now_ms.saturating_add(pushback_ms);
        let known_ms = self.until_ms.entry(upstream).or_insert(0);
        let is_new = *known_ms <= now_ms;
        *known_ms = until_ms.max(*known_ms);
        is_new
    }

    /// Remaining time for which `upstream` wants no request.
    pub fn left_ms(&self, upstream: &Incarnation, now_ms: u64) -> Option<u64> {
        let until_ms = *self.until_ms.get(upstream)?;
        (until_ms > now_ms).then(|| until_ms - now_ms)
    }

    /// The upstreams that want no request now.
    pub fn active(&self, now_ms: u64) -> impl Iterator<Item = &Incarnation> {
        let active = self.until_ms.iter();
        let active = active.filter(move |(_, until_ms)| **until_ms > now_ms);
        active.map(|(upstream, _)| upstream)
    }

    /// Drops the times that are over.
    pub fn sweep(&mut self, now_ms: u64) {
        self.until_ms.retain(|_, until_ms| *until_ms > now_ms);
    }
}
