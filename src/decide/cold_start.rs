//! Limits new work for a cold upstream: one that has just started, or must warm up again.
//!
//! Load pattern: an upstream starts with nothing running, so every router sees it as the least
//! loaded one and sends to it. A cold upstream can handle only some requests a second and crashes
//! under more; it restarts cold and idle, gets the same burst, and never recovers. No router can
//! observe that rate, because each sends only a small part of it.
//!
//! So only a few routers send to a cold upstream: the first of the upstream's own order of all
//! hosts (highest random weight, the same on every router), each one request at a time with a
//! pause. Their total stays below the upstream's cold capacity without any coordination. Hosts that
//! are down stay in the order: if views of the fleet differ, as in a partition, the senders are
//! still about the same, and some capacity is left unused for these few seconds. A router that
//! doesn't know the fleet yet sends nothing.

use std::collections::HashMap;

use crate::util::{self, Name};

/// Share of a cold upstream's capacity that the fleet uses: the rest covers routers that don't know
/// yet that it is cold, or whose view of the fleet differs.
pub const FLEET_SHARE: f64 = 0.75;

/// The cold upstreams known to one router.
#[derive(Clone, Debug, Default)]
pub struct ColdStarts {
    cold: HashMap<Name, Cold>,
}

#[derive(Clone, Debug)]
struct Cold {
    service: Name,
    until_ms: u64,
    /// Pause between two requests of this router; `None` if it isn't one of the senders.
    pause_ms: Option<u64>,
    /// Earliest time of this router's next request.
    next_ms: u64,
}

impl ColdStarts {
    /// Records that an upstream of `service` stays cold for `remaining_ms`; zero ends it.
    pub fn reported(&mut self, upstream: &Name, service: &Name, remaining_ms: u64, now_ms: u64) {
        if remaining_ms == 0 {
            self.cold.remove(upstream);
            return;
        }
        let until_ms = now_ms + remaining_ms;
        let known = self.cold.entry(upstream.clone());
        let cold = known.or_insert_with(|| Cold {
            service: service.clone(),
            until_ms,
            pause_ms: None,
            next_ms: 0,
        });
        cold.until_ms = until_ms;
    }

    /// Determines the cold upstreams that `host` may send to, as one of `hosts`; `per_s` returns
    /// the requests a second that a cold upstream of a service can handle, if configured. Costs a
    /// hash per host for each cold upstream.
    pub fn assign(
        &mut self,
        host: &str,
        hosts: &[Name],
        per_s: impl Fn(&str) -> Option<f64>,
        now_ms: u64,
    ) {
        self.cold
            .retain(|_, cold| cold.until_ms > now_ms && per_s(&cold.service).is_some());
        if self.cold.is_empty() {
            return;
        }
        let hashes: Vec<u64> = hosts
            .iter()
            .map(|h| util::hash_bytes(h.as_bytes()))
            .collect();
        let own = util::hash_bytes(host.as_bytes());
        for (upstream, cold) in &mut self.cold {
            let budget_per_s = per_s(&cold.service).unwrap_or(0.0) * FLEET_SHARE;
            let senders = (budget_per_s as usize).clamp(1, hosts.len().max(1));
            let pause_ms = senders as f64 * 1_000.0 / budget_per_s;
            let is_sender = rank(upstream, own, &hashes) < senders;
            cold.pause_ms = is_sender.then_some(pause_ms.ceil() as u64);
        }
    }

    /// Whether no upstream is cold.
    pub fn is_empty(&self) -> bool {
        self.cold.is_empty()
    }

    /// The upstreams that are cold.
    pub fn cold(&self, now_ms: u64) -> impl Iterator<Item = &Name> {
        let cold = self.cold.iter();
        cold.filter(move |(_, cold)| cold.until_ms > now_ms)
            .map(|(upstream, _)| upstream)
    }

    /// The cold upstreams to which this router may not send now.
    pub fn refusing(&self, now_ms: u64) -> impl Iterator<Item = &Name> {
        self.cold(now_ms)
            .filter(move |upstream| !self.admits(upstream, now_ms))
    }

    /// Whether this router may send a request to `upstream` now.
    ///
    /// ```
    /// use cassiagrade::decide::cold_start::ColdStarts;
    /// let mut cold = ColdStarts::default();
    /// cold.reported(&"up-1".into(), &"s".into(), 3_000, 0);
    /// assert!(!cold.admits("up-1", 1), "no sender is assigned yet");
    /// cold.assign("host-1", &["host-1".into()], |_| Some(8.0), 1);
    /// assert!(cold.admits("up-1", 1) && cold.admits("up-2", 1));
    /// cold.sent("up-1", 1);
    /// assert!(!cold.admits("up-1", 2));
    /// assert!(cold.admits("up-1", 3_000));
    /// ```
    pub fn admits(&self, upstream: &str, now_ms: u64) -> bool {
        let Some(cold) = self.cold.get(upstream) else {
            return true;
        };
        let is_over = cold.until_ms <= now_ms;
        is_over || (cold.pause_ms.is_some() && cold.next_ms <= now_ms)
    }

    /// Records that a request is sent to `upstream`.
    pub fn sent(&mut self, upstream: &str, now_ms: u64) {
        if let Some(cold) = self.cold.get_mut(upstream)
            && let Some(pause_ms) = cold.pause_ms
        {
            cold.next_ms = now_ms + pause_ms;
        }
    }
}

/// Returns how many of the hosts with these `hashes` precede the one with hash `own` in the order
/// of `upstream`.
fn rank(upstream: &str, own: u64, hashes: &[u64]) -> usize {
    let seed = util::hash_bytes(upstream.as_bytes());
    let own = util::mix(seed, own);
    let weights = hashes.iter().map(|hash| util::mix(seed, *hash));
    weights.filter(|weight| *weight > own).count()
}
