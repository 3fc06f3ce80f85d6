//! Where requests wait until their service has room, and the tickets that they hold.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::decide::admission::{Admission, AdmissionRequest, Offer, Quota, Ready};
use crate::decide::allowance;
use crate::decide::refusal::Refusal;
use crate::decide::{Job, JobId};
use crate::fleet::loads::digest;
use crate::path::router_state::RouterState;
use crate::schema::peer::ServiceDemand;
use crate::stats;
use crate::util::{Clock, Name};

type Verdict = Result<(), Refusal>;

/// The gates of all services at one router.
pub(crate) struct Gates {
    gates: RefCell<HashMap<Name, Gate>>,
    next: Cell<u64>,
    clock: Clock,
}

/// One service's.
#[derive(Default)]
struct Gate {
    admission: Admission,
    waiting: HashMap<JobId, oneshot::Sender<Verdict>>,
    /// As of the last telling; `None` if the upstreams don't say how much they run.
    slots_open: Option<f64>,
    others: Vec<u32>,
}

/// A request's place, or its wait for one, as long as it lives.
pub(crate) struct Ticket {
    gates: Rc<Gates>,
    service: Name,
    id: JobId,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.gates.leave(&self.service, self.id);
    }
}

impl Gates {
    pub(crate) fn open(clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            gates: RefCell::default(),
            next: Cell::new(0),
            clock,
        })
    }

    /// A name for a request at the gates.
    pub(crate) fn next_id(&self) -> JobId {
        let id = self.next.get();
        self.next.set(id + 1);
        JobId(id)
    }

    /// Waits until the request may start. What it holds until its end is the ticket.
    pub(crate) async fn enter(
        self: &Rc<Self>,
        service: &Name,
        job: Job,
        objective_ms: u64,
    ) -> Result<Ticket, Refusal> {
        let id = job.id;
        let ask = AdmissionRequest { job, objective_ms };
        let now_ms = self.clock.now_ms();
        let verdict = {
            let mut gates = self.gates.borrow_mut();
            let gate = gates.entry(service.clone()).or_default();
            let quota = gate.quota();
            match gate.admission.offer(ask, quota, now_ms, &mut rand::rng()) {
                Offer::Start => None,
                Offer::Refused(refusal) => return Err(refusal),
                Offer::Wait => {
                    let (tx, rx) = oneshot::channel();
                    gate.waiting.insert(id, tx);
                    Some(rx)
                }
            }
        };
        let ticket = Ticket {
            gates: self.clone(),
            service: service.clone(),
            id,
        };
        let Some(verdict) = verdict else {
            return Ok(ticket);
        };
        let verdict = verdict.await;
        stats::queue_wait(Duration::from_millis(
            self.clock.now_ms().saturating_sub(now_ms),
        ));
        match verdict {
            Ok(Err(refusal)) => Err(refusal),
            // The sender is dropped only with the gate, which lives as long as the router.
            Ok(Ok(())) | Err(_) => Ok(ticket),
        }
    }

    /// Takes how many places there are and what others want, and lets in who may start now. Returns
    /// what the others are to be told.
    pub(crate) fn refresh(&self, state: &RouterState) -> Vec<ServiceDemand> {
        let now_ms = self.clock.now_ms();
        let mut wishes = Vec::new();
        for (service, gate) in self.gates.borrow_mut().iter_mut() {
            let slots_open = state.slots_open(service, now_ms);
            gate.slots_open = slots_open.map(|p| f64::from(p) * gate.admission.requests_per_slot());
            gate.others = state.demands_of_others(service);
            gate.poll(now_ms);
            let wanted = gate.admission.demand();
            if wanted > 0 {
                let service_digest = digest(service);
                wishes.push(ServiceDemand {
                    service_digest,
                    wanted,
                });
            }
        }
        wishes
    }

    /// How long a request to `service` usually takes, once some were seen.
    pub(crate) fn typical_ms(&self, service: &str) -> Option<f64> {
        let gates = self.gates.borrow();
        gates.get(service).and_then(|g| g.admission.typical_ms())
    }

    /// What a refusal at the gate of `service` rests on.
    pub(crate) fn grounds(&self, service: &str) -> String {
        let gates = self.gates.borrow();
        gates.get(service).map_or_else(String::new, |gate| {
            let wanted_by_others: u32 = gate.others.iter().sum();
            format!(
                "{} wanted here, {} of them waiting, {} allowed, {wanted_by_others} wanted by {} others, {:.0} places",
                gate.admission.demand(),
                gate.admission.waiting(),
                gate.quota().allowed,
                gate.others.len(),
                gate.slots_open.unwrap_or(0.0),
            )
        })
    }

    fn leave(&self, service: &Name, id: JobId) {
        let now_ms = self.clock.now_ms();
        if let Some(gate) = self.gates.borrow_mut().get_mut(service) {
            gate.waiting.remove(&id);
            gate.admission.finish(id, now_ms);
            gate.poll(now_ms);
        }
    }
}

impl Gate {
    fn quota(&self) -> Quota {
        match self.slots_open {
            Some(slots_open) => allowance::quota(slots_open, self.admission.demand(), &self.others),
            None => Quota {
                allowed: u32::MAX,
                has_spare: true,
            },
        }
    }

    fn poll(&mut self, now_ms: u64) {
        if self.waiting.is_empty() {
            return;
        }
        let quota = self.quota();
        while let Some(ready) = self.admission.poll(quota, now_ms, &mut rand::rng()) {
            let (id, verdict) = match ready {
                Ready::Start(id) => (id, Ok(())),
                Ready::Refused(id, refusal) => (id, Err(refusal)),
            };
            if let Some(tx) = self.waiting.remove(&id) {
                // A caller that went has dropped its end; its ticket takes the request out.
                let _ = tx.send(verdict);
            }
        }
    }
}
