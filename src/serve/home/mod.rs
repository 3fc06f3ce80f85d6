//! The home of an upstream: the router that admits all work to it.
//!
//! A request passes through `admit`, which checks it and requests a slot, `task`, which owns the
//! upstream's queue and grants slots, and `upstream`, which makes the call. [`Homes`] holds the
//! handles to the tasks, one per upstream that this router admits work to.

pub(crate) mod admit;
pub(crate) mod kv;
pub(crate) mod limits;
pub(crate) mod loads;
pub(crate) mod messages;
pub(crate) mod reports;
pub(crate) mod suspects;
mod task;
pub(crate) mod upstream;

#[cfg(test)]
mod reports_tests;
#[cfg(test)]
mod suspects_tests;

use std::rc::Rc;

use tokio::sync::{mpsc, oneshot};

use crate::decide::Job;
use crate::decide::refusal::{Cause, Refusal};
use crate::schema::config::Upstream;
use crate::schema::peer::LoadNow;
use crate::serve::SharedCtx;
use crate::serve::home::loads::SharedLoads;
use crate::serve::home::messages::{Admitted, HomeLoad, HomeMsg, Permit, Tasks};
use crate::util::Name;

/// Handles to this router's home tasks.
#[derive(Clone)]
pub(crate) struct Homes {
    ctx: SharedCtx,
    http: cyper::Client,
    loads: SharedLoads,
    tasks: Tasks,
}

impl Homes {
    pub(crate) fn new(ctx: SharedCtx, http: cyper::Client) -> Self {
        Self {
            loads: SharedLoads::new(ctx.gossip.clone(), ctx.clock),
            ctx,
            http,
            tasks: Rc::default(),
        }
    }

    /// Offers `job` to `upstream`'s home and waits for a permit or a refusal.
    pub(crate) async fn admit(&self, upstream: &Upstream, job: Job) -> Admitted {
        let stopping = || Refusal::not_run(Cause::Draining, 1_000);
        let tx = self.task(upstream);
        let (reply, admitted) = oneshot::channel();
        let id = job.id;
        if tx.send(HomeMsg::Offer(Box::new(job), reply)).is_err() {
            return Err(stopping());
        }
        // Dropped if the caller disconnects while waiting, which removes the job from the queue.
        let guard = Permit::new(id, tx);
        let admitted = admitted.await;
        guard.disarm();
        admitted.unwrap_or_else(|_| Err(stopping()))
    }

    /// Returns the load of each upstream that has a home task here.
    pub(crate) async fn loads(&self) -> Vec<(Name, HomeLoad)> {
        let tasks: Vec<_> = {
            let tasks = self.tasks.borrow();
            tasks.iter().map(|(k, v)| (k.clone(), v.clone())).collect()
        };
        let mut loads = Vec::with_capacity(tasks.len());
        for (name, tx) in tasks {
            let (reply, load) = oneshot::channel();
            if tx.send(HomeMsg::Load(reply)).is_ok() {
                loads.push((name, load.await.unwrap_or_default()));
            }
        }
        loads
    }

    /// The router's shared view of upstream loads.
    pub(crate) fn view(&self) -> &SharedLoads {
        &self.loads
    }

    /// Returns the upstream's load as last recorded by its home task here.
    pub(crate) fn load(&self, upstream: &str) -> Option<LoadNow> {
        let load = self.loads.get(upstream)?;
        Some(LoadNow {
            work_ms: load.work_ms,
            in_flight: load.in_flight,
            queued: load.queued,
        })
    }

    fn task(&self, upstream: &Upstream) -> mpsc::UnboundedSender<HomeMsg> {
        let mut tasks = self.tasks.borrow_mut();
        if let Some(tx) = tasks.get(upstream.name.as_str()) {
            return tx.clone();
        }
        let name = Name::from(upstream.name.as_str());
        let (ctx, http) = (self.ctx.clone(), self.http.clone());
        let tx = task::spawn(ctx, http, self.loads.clone(), self.tasks.clone(), upstream);
        tasks.insert(name, tx.clone());
        tx
    }
}
