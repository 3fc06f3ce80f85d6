//! Whether this router reaches the upstreams of a service.
//!
//! Load pattern: a router loses the paths to all upstreams while callers and other routers reach it.
//! Each of its requests would wait for one upstream after the other and be refused, though another
//! router could send it at once.
//!
//! A single upstream that can't be reached may have ended. Several in a row, with no connection to any
//! other in between, mean that this router is cut off from the service, or that the whole service is down:
//! the reports of the other routers tell which.

use std::collections::HashSet;

use crate::decide::Name;

/// Number of upstreams in a row that can't be reached from which a service counts as unreached; fewer if it
/// has fewer. One or two end at the same time by chance.
pub const UNREACHED: usize = 3;
/// Number of upstreams in a row that are reached from which it counts as reached again. A cut may leave out
/// single upstreams.
pub const REACHED: usize = 2;

/// Connections of this router to the upstreams of one service.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    /// Upstreams that could not be reached since the last connection that succeeded.
    failed: HashSet<Name>,
    /// Upstreams that were reached since the last connection that failed.
    reached: HashSet<Name>,
    is_cut_off: bool,
}

impl Reach {
    /// Whether the service counts as unreached from here.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Records that a connection to `upstream`, one of `pool_size`, was opened, and returns whether that ends
    /// a cut.
    pub fn record_connected(&mut self, upstream: &Name, pool_size: usize) -> bool {
        self.failed.clear();
        if !self.is_cut_off {
            return false;
        }
        self.reached.insert(upstream.clone());
        self.is_cut_off = self.reached.len() < REACHED.min(pool_size.max(1));
        !self.is_cut_off
    }

    /// Records that no connection to `upstream`, one of `pool_size`, could be opened, and returns whether
    /// the service counts as unreached from now on.
    ///
    /// ```
    /// use cassiagrade::decide::reach::Reach;
    /// let mut reach = Reach::default();
    /// assert!(!reach.record_unreachable(&"a".into(), 12));
    /// assert!(!reach.record_unreachable(&"a".into(), 12));
    /// assert!(!reach.record_unreachable(&"b".into(), 12));
    /// assert!(reach.record_unreachable(&"c".into(), 12));
    /// assert!(reach.is_cut_off());
    /// assert!(!reach.record_connected(&"a".into(), 12));
    /// assert!(reach.record_connected(&"b".into(), 12));
    /// assert!(!reach.is_cut_off());
    /// ```
    pub fn record_unreachable(&mut self, upstream: &Name, pool_size: usize) -> bool {
        self.reached.clear();
        self.failed.insert(upstream.clone());
        let needed = UNREACHED.min(pool_size.max(1));
        if self.failed.len() < needed || self.is_cut_off {
            return false;
        }
        self.is_cut_off = true;
        true
    }
}
