//! Admission queues, in which requests wait until their service has free capacity, and the permits
//! of admitted requests.

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

/// Admission queues of all services at one router.
pub(crate) struct AdmissionQueues {
    queues: RefCell<HashMap<Name, ServiceQueue>>,
    next: Cell<u64>,
    clock: Clock,
}

/// Admission queue of one service.
#[derive(Default)]
struct ServiceQueue {
    admission: Admission,
    waiting: HashMap<JobId, oneshot::Sender<Verdict>>,
    /// Requests that all routers together may have at the upstreams of the service, as of the last
    /// refresh; `None` if the upstreams do not report their slots.
    slots_open: Option<f64>,
    /// Demands of the other routers, as of the last refresh.
    others: Vec<u32>,
}

/// Permit of a request, or its position in the queue, for as long as it exists.
pub(crate) struct Permit {
    queues: Rc<AdmissionQueues>,
    service: Name,
    id: JobId,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.queues.release(&self.service, self.id);
    }
}

impl AdmissionQueues {
    pub(crate) fn open(clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            queues: RefCell::default(),
            next: Cell::new(0),
            clock,
        })
    }

    /// Returns a new id for a request.
    pub(crate) fn next_id(&self) -> JobId {
        let id = self.next.get();
        self.next.set(id + 1);
        JobId(id)
    }

    /// Waits until the request may start. The permit must be kept until the request ends.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        service: &Name,
        job: Job,
        objective_ms: u64,
    ) -> Result<Permit, Refusal> {
        let id = job.id;
        let request = AdmissionRequest { job, objective_ms };
        let now_ms = self.clock.now_ms();
        let verdict = {
            let mut queues = self.queues.borrow_mut();
            let queue = queues.entry(service.clone()).or_default();
            let quota = queue.quota();
            match queue
                .admission
                .offer(request, quota, now_ms, &mut rand::rng())
            {
                Offer::Start => None,
                Offer::Refused(refusal) => return Err(refusal),
                Offer::Wait => {
                    let (tx, rx) = oneshot::channel();
                    queue.waiting.insert(id, tx);
                    Some(rx)
                }
            }
        };
        let permit = Permit {
            queues: self.clone(),
            service: service.clone(),
            id,
        };
        let Some(verdict) = verdict else {
            return Ok(permit);
        };
        let verdict = verdict.await;
        stats::queue_wait(Duration::from_millis(
            self.clock.now_ms().saturating_sub(now_ms),
        ));
        match verdict {
            Ok(Err(refusal)) => Err(refusal),
            // The sender is dropped only together with the queue, which exists as long as the
            // router.
            Ok(Ok(())) | Err(_) => Ok(permit),
        }
    }

    /// Updates the capacity and the demand of other routers, and admits waiting requests. Returns
    /// the demand to publish to the other routers.
    pub(crate) fn refresh(&self, state: &RouterState) -> Vec<ServiceDemand> {
        let now_ms = self.clock.now_ms();
        let mut demands = Vec::new();
        for (service, queue) in self.queues.borrow_mut().iter_mut() {
            let slots_open = state.slots_open(service, now_ms);
            queue.slots_open =
                slots_open.map(|slots| f64::from(slots) * queue.admission.requests_per_slot());
            queue.others = state.demands_of_others(service);
            queue.poll(now_ms);
            let wanted = queue.admission.demand();
            if wanted > 0 {
                let service_digest = digest(service);
                demands.push(ServiceDemand {
                    service_digest,
                    wanted,
                });
            }
        }
        demands
    }

    /// Usual duration of a request to `service`, once some were observed.
    pub(crate) fn typical_ms(&self, service: &str) -> Option<f64> {
        let queues = self.queues.borrow();
        queues.get(service).and_then(|q| q.admission.typical_ms())
    }

    /// Describes the state that a refusal by the queue of `service` was based on.
    pub(crate) fn describe_state(&self, service: &str) -> String {
        let queues = self.queues.borrow();
        queues.get(service).map_or_else(String::new, |queue| {
            let demand_of_others: u32 = queue.others.iter().sum();
            format!(
                "demand here {} ({} waiting), {} allowed, demand of {} other routers {demand_of_others}, capacity {:.0}",
                queue.admission.demand(),
                queue.admission.waiting(),
                queue.quota().allowed,
                queue.others.len(),
                queue.slots_open.unwrap_or(0.0),
            )
        })
    }

    fn release(&self, service: &Name, id: JobId) {
        let now_ms = self.clock.now_ms();
        if let Some(queue) = self.queues.borrow_mut().get_mut(service) {
            queue.waiting.remove(&id);
            queue.admission.finish(id, now_ms);
            queue.poll(now_ms);
        }
    }
}

impl ServiceQueue {
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
                // A caller that disconnected has dropped the receiver, and its permit removes the
                // request.
                let _ = tx.send(verdict);
            }
        }
    }
}
