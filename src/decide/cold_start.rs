//! How much new work an upstream gets while it is cold: it has just started, or must warm up again.
//!
//! Load pattern: an upstream starts with nothing running, and every router finds that it has the least. All send there
//! at once; cold, it bears some requests a second, and crashes of more. It starts again, cold, with nothing running, and
//! is sent the same herd: it never comes back. No router sees that rate, as each sends a sliver of it.
//!
//! So few routers send to a cold upstream at all: the first of its own order of all hosts (highest random weight, alike
//! on every router), each one request at a time with a pause. What they send together stays below what it bears,
//! and nothing need be asked or told. Hosts that are down stay in the order: where views of the fleet differ, as
//! in a partition, the senders are still about the same, and some of the work that an upstream could bear for these few
//! seconds is left unused. A router that doesn't know the fleet yet sends nothing.

use std::collections::HashMap;

use crate::util::{self, Name};

/// Part of what a cold upstream bears that the fleet sends: the rest is for routers that don't know yet that it is
/// cold, or whose view of the fleet differs.
pub const FLEET_SHARE: f64 = 0.75;

/// The upstreams that are cold, as one router knows them.
#[derive(Clone, Debug, Default)]
pub struct ColdStarts {
    cold: HashMap<Name, Cold>,
}

#[derive(Clone, Debug)]
struct Cold {
    service: Name,
    until_ms: u64,
    /// Pause between two requests of this router; `None` while it isn't one of those that send.
    pause_ms: Option<u64>,
    /// When this router may send the next.
    next_ms: u64,
}

impl ColdStarts {
    /// An upstream of `service` says that it stays cold for `remaining_ms`; zero ends it.
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

    /// Settles to which upstreams `host` may send, as one of `hosts`; `per_s` is how many requests a second a cold
    /// upstream of a service bears, if the service says. Costs a hash a host for each cold upstream.
    pub fn assign(
        &mut self,
        host: &str,
        hosts: &[Name],
        per_s: impl Fn(&str) -> Option<f64>,
        now_ms: u64,
    ) {
        self.cold
            .retain(|_, cold| cold.until_ms > now_ms && per_s(&cold.service).is_some());
        for (upstream, cold) in &mut self.cold {
            let budget_per_s = per_s(&cold.service).unwrap_or(0.0) * FLEET_SHARE;
            let senders = (budget_per_s as usize).clamp(1, hosts.len().max(1));
            let pause_ms = senders as f64 * 1_000.0 / budget_per_s;
            let is_sender = rank(upstream, host, hosts) < senders;
            cold.pause_ms = is_sender.then_some(pause_ms.ceil() as u64);
        }
    }

    /// Whether `upstream` is cold.
    pub fn is_cold(&self, upstream: &str, now_ms: u64) -> bool {
        let cold = self.cold.get(upstream);
        cold.is_some_and(|cold| cold.until_ms > now_ms)
    }

    /// Whether this router may send a request to `upstream` now.
    ///
    /// ```
    /// use cassiagrade::decide::cold_start::ColdStarts;
    /// let mut cold = ColdStarts::default();
    /// cold.reported(&"up-1".into(), &"s".into(), 3_000, 0);
    /// assert!(!cold.admits("up-1", 1), "not settled yet");
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

    /// A request is sent to `upstream`.
    pub fn sent(&mut self, upstream: &str, now_ms: u64) {
        if let Some(cold) = self.cold.get_mut(upstream)
            && let Some(pause_ms) = cold.pause_ms
        {
            cold.next_ms = now_ms + pause_ms;
        }
    }
}

/// How many of `hosts` come before `host` in the order of `upstream`.
fn rank(upstream: &str, host: &str, hosts: &[Name]) -> usize {
    let seed = util::hash_bytes(upstream.as_bytes());
    let weight = |host: &str| util::mix(seed, util::hash_bytes(host.as_bytes()));
    let own = weight(host);
    let others = hosts.iter().filter(|other| ***other != *host);
    others.filter(|other| weight(other) > own).count()
}
