//! Messages between the tasks that admit work and an upstream's home task.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::{mpsc, oneshot};

use crate::decide::refusal::Refusal;
use crate::decide::{Job, JobId};
use crate::util::Name;

/// Permission to call the upstream; dropping it reports to the home that the job ended.
#[derive(Debug)]
pub(crate) struct Permit {
    id: JobId,
    ok: bool,
    tx: Option<mpsc::UnboundedSender<HomeMsg>>,
}

impl Permit {
    pub(crate) fn new(id: JobId, tx: mpsc::UnboundedSender<HomeMsg>) -> Self {
        Self {
            id,
            ok: true,
            tx: Some(tx),
        }
    }

    /// Marks the call as failed.
    pub(crate) fn set_failed(&mut self) {
        self.ok = false;
    }

    pub(crate) fn disarm(mut self) {
        self.tx = None;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(tx) = self.tx.take() {
            // The home outlives its permits unless the router stops.
            let _ = tx.send(HomeMsg::Finish(self.id, self.ok));
        }
    }
}

pub(crate) type Admitted = Result<Permit, Refusal>;

/// A request to a home task.
#[derive(Debug)]
pub(crate) enum HomeMsg {
    Offer(Box<Job>, oneshot::Sender<Admitted>),
    Finish(JobId, bool),
    Load(oneshot::Sender<HomeLoad>),
}

/// A home's current load.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HomeLoad {
    pub(crate) in_flight: usize,
    pub(crate) queued: usize,
    pub(crate) work_ms: f64,
}

pub(crate) type Tasks = Rc<RefCell<HashMap<Name, mpsc::UnboundedSender<HomeMsg>>>>;
