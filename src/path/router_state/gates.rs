//! What this router may send to brittle upstreams, as their home.

use std::collections::HashMap;

use crate::decide::brittle::Gate;
use crate::fleet::in_flight::FleetInFlight;
use crate::fleet::loads::digest;
use crate::path::router_state::{RouterState, RunningGuard};
use crate::path::upstreams::Upstream;
use crate::schema::peer::InFlightCount;
use crate::util::Name;

impl RouterState {
    /// Whether some upstream says that it is brittle.
    pub(crate) fn has_brittle(&self) -> bool {
        !self.brittle.borrow().is_empty() || !self.told_frailty.borrow().is_empty()
    }

    /// Rejections in a second that `upstream` bears, if it is brittle.
    pub(crate) fn borne(&self, upstream: &Upstream, now_ms: u64) -> Option<u32> {
        if !self.has_brittle() {
            return None;
        }
        self.apply_told_frailty(now_ms);
        let brittle = self.brittle.borrow();
        brittle.borne(&upstream.incarnation(), &upstream.service)
    }

    /// Whether a request may be sent to `upstream`, which bears `borne` rejections in a second, by its home.
    pub(crate) fn is_gate_open(&self, upstream: &Upstream, borne: u32, now_ms: u64) -> bool {
        self.with_gate(upstream, borne, |gate| gate.is_open(now_ms))
    }

    /// Drops what is known of the requests that `upstream` takes, as another router is its home.
    pub(crate) fn hand_over(&self, upstream: &Upstream) {
        if let Some(gate) = self.gates.borrow_mut().get_mut(&upstream.incarnation()) {
            gate.hand_over();
        }
    }

    /// Counts the request of `running` at the gate of `upstream`, if it is brittle; returns whether it may be
    /// sent.
    pub(crate) fn enter_gate(
        &self,
        upstream: &Upstream,
        running: &RunningGuard,
        now_ms: u64,
    ) -> bool {
        let Some(borne) = self.borne(upstream, now_ms) else {
            return true;
        };
        if running.is_at_gate.get() {
            return true;
        }
        let may_send = self.with_gate(upstream, borne, |gate| gate.send(now_ms));
        running.is_at_gate.set(may_send);
        may_send
    }

    /// Records that the upstream rejected the request of `running`.
    pub(crate) fn record_rejected(&self, running: &RunningGuard, now_ms: u64) {
        self.leave_gate(running, |gate| gate.rejected(now_ms));
    }

    pub(super) fn leave_gate(&self, running: &RunningGuard, leave: impl FnOnce(&mut Gate)) {
        if !running.is_at_gate.take() {
            return;
        }
        let upstream = running.upstream.incarnation();
        if let Some(gate) = self.gates.borrow_mut().get_mut(&upstream) {
            leave(gate);
        }
    }

    /// Takes up which upstreams told other routers that they are brittle.
    pub(crate) fn merge_frailty(&self, now_ms: u64) {
        let fleet: &FleetInFlight = &self.gossip.in_flight();
        if fleet.borne.is_empty() {
            return;
        }
        let upstreams = self.upstreams.borrow();
        let mut brittle = self.brittle.borrow_mut();
        for (digest, borne) in &fleet.borne {
            if let Some(u) = upstreams.by_digest(*digest) {
                brittle.report(&u.incarnation(), &u.service, *borne, now_ms);
            }
        }
    }

    /// Takes up what another router knows of brittle upstreams, which may not be listed here yet.
    pub(crate) fn take_frailty(&self, told: Vec<InFlightCount>) {
        self.told_frailty.borrow_mut().extend(told);
    }

    fn apply_told_frailty(&self, now_ms: u64) {
        let mut told = self.told_frailty.borrow_mut();
        if told.is_empty() {
            return;
        }
        let upstreams = self.upstreams.borrow();
        let mut brittle = self.brittle.borrow_mut();
        for count in told.drain(..) {
            if let Some(u) = upstreams.by_digest(count.upstream_digest) {
                let borne = count.borne.unwrap_or(u32::MAX);
                brittle.report(&u.incarnation(), &u.service, borne, now_ms);
            }
        }
    }

    /// What this router knows of brittle upstreams, for one that has started.
    pub(crate) fn known_frailty(&self) -> Vec<InFlightCount> {
        let brittle = self.brittle.borrow();
        let all = brittle.all().map(|(upstream, borne)| InFlightCount {
            upstream_digest: digest(&upstream.id),
            borne: Some(borne),
            ..InFlightCount::default()
        });
        all.collect()
    }

    /// What brittle upstreams told this router.
    pub(super) fn own_frailty(&self) -> HashMap<Name, u32> {
        let brittle = self.brittle.borrow();
        let own = brittle.own();
        own.map(|(upstream, borne)| (upstream.id.clone(), borne))
            .collect()
    }

    fn with_gate<T>(&self, upstream: &Upstream, borne: u32, ask: impl FnOnce(&mut Gate) -> T) -> T {
        let slots = if upstream.slots == 0 {
            u32::MAX
        } else {
            upstream.slots
        };
        let mut gates = self.gates.borrow_mut();
        let gate = gates.entry(upstream.incarnation());
        let gate = gate.or_insert_with(|| Gate::new(slots, borne));
        gate.set_borne(borne);
        ask(gate)
    }
}
