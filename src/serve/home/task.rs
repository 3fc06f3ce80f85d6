//! The home task of one upstream, which owns its queue, in-flight work and limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{FutureExt, pin_mut, select_biased};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{mpsc, oneshot};

use crate::decide::concurrency::Concurrency;
use crate::decide::home::{Home, HomePolicy, Offer, Ready};
use crate::decide::loads::{Slots, UpstreamLoad};
use crate::decide::refusal::{Cause, Refusal};
use crate::decide::{Job, JobId, PoolView, Priority};
use crate::event::Kind;
use crate::fleet::gossip::Publish;
use crate::fleet::homes;
use crate::log::view::ConfigView;
use crate::schema::config::{Policy, Upstream};
use crate::schema::peer::Load;
use crate::serve::SharedCtx;
use crate::serve::home::loads::{DEFAULT_SLOTS, SharedLoads, pool_slots};
use crate::serve::home::messages::{Admitted, HomeLoad, HomeMsg, Permit, Tasks};
use crate::serve::home::reports::{self, Report};
use crate::stats;
use crate::util::Name;

/// How often the queue is polled when no message arrives.
const TICK: Duration = Duration::from_millis(20);
/// How often an engine is polled for its load and cache events. A router polls only the few engines
/// it is home to, and the polls count towards its control traffic budget.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Retry delay for an upstream that takes no work.
const LEAVING_RETRY_MS: u64 = 1_000;

/// Starts the home task of `upstream`.
pub(crate) fn spawn(
    ctx: SharedCtx,
    http: cyper::Client,
    loads: SharedLoads,
    tasks: Tasks,
    upstream: &Upstream,
) -> mpsc::UnboundedSender<HomeMsg> {
    let (tx, rx) = mpsc::unbounded_channel();
    let config = ctx.config();
    let service = config.service(&upstream.service);
    let engine = service.is_some_and(|s| s.kind == "engine");
    let adaptive = (!engine && upstream.slots == 0).then(Concurrency::default);
    let reports = engine.then(|| reports::spawn(http, &upstream.addr, REPORT_INTERVAL));
    let mut home = Home::new(policy(&config, upstream));
    if let Some(load) = loads.get(&upstream.name) {
        home.inherit(load.in_flight, load.work_ms, ctx.clock.now_ms());
    }
    let mut task = Task {
        name: upstream.name.as_str().into(),
        upstream: upstream.clone(),
        engine,
        pool: Vec::new(),
        config: None,
        publish_seq: 0,
        leaving: false,
        home,
        adaptive,
        started_ms: HashMap::new(),
        waiting: HashMap::new(),
        rng: SmallRng::from_os_rng(),
        tx: tx.downgrade(),
        ctx,
        loads,
        tasks,
    };
    task.reconfigure();
    let name = task.name.to_string();
    task.ctx
        .events
        .emit(Kind::HomeGained, |e| e.upstream = name);
    compio::runtime::spawn(task.run(rx, reports)).detach();
    tx
}

type Reports = Option<mpsc::Receiver<Option<Report>>>;

struct Task {
    ctx: SharedCtx,
    loads: SharedLoads,
    tasks: Tasks,
    name: Name,
    upstream: Upstream,
    engine: bool,
    pool: Vec<Slots>,
    config: Option<Arc<ConfigView>>,
    publish_seq: u64,
    leaving: bool,
    home: Home,
    /// The concurrency limit of a plain service without configured slots.
    adaptive: Option<Concurrency>,
    started_ms: HashMap<JobId, u64>,
    waiting: HashMap<JobId, oneshot::Sender<Admitted>>,
    rng: SmallRng,
    tx: mpsc::WeakUnboundedSender<HomeMsg>,
}

enum Wakeup {
    Msg(Option<HomeMsg>),
    Report(Option<Report>),
    Tick,
}

impl Task {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<HomeMsg>, mut reports: Reports) {
        loop {
            match next_wakeup(&mut rx, &mut reports, !self.waiting.is_empty()).await {
                Wakeup::Msg(Some(msg)) => self.handle(msg),
                Wakeup::Msg(None) => return,
                Wakeup::Report(report) => {
                    self.apply_report(report);
                    if self.can_stop() && rx.is_empty() {
                        self.tasks.borrow_mut().remove(&self.name);
                        let name = self.name.to_string();
                        self.ctx.events.emit(Kind::HomeLost, |e| e.upstream = name);
                        return;
                    }
                }
                Wakeup::Tick => self.poll(),
            }
            self.publish();
        }
    }

    fn handle(&mut self, msg: HomeMsg) {
        match msg {
            HomeMsg::Offer(job, reply) => self.offer(*job, reply),
            HomeMsg::Finish(id, ok) => {
                self.finish(id, ok);
                self.poll();
            }
            HomeMsg::Load(reply) => {
                let load = HomeLoad {
                    in_flight: self.home.in_flight(),
                    queued: self.home.queued(),
                    work_ms: self.home.work_ms(),
                };
                let _ = reply.send(load);
            }
        }
    }

    fn offer(&mut self, job: Job, reply: oneshot::Sender<Admitted>) {
        self.reconfigure();
        if self.leaving {
            let refusal = Refusal::not_run(Cause::NoUpstream, LEAVING_RETRY_MS);
            let _ = reply.send(Err(refusal));
            return;
        }
        let id = job.id;
        let pool = self.pool_view();
        let now_ms = self.ctx.clock.now_ms();
        match self.home.offer(job, pool, now_ms, &mut self.rng) {
            Offer::Start => self.start(id, reply),
            Offer::Queued => {
                self.waiting.insert(id, reply);
                self.poll();
            }
            Offer::OverBound => {
                let _ = reply.send(Err(Refusal::not_run(Cause::OverBound, 0)));
            }
            Offer::Full => {
                let _ = reply.send(Err(Refusal::not_run(Cause::Full, 0)));
            }
            Offer::Refused(refusal) => {
                let _ = reply.send(Err(refusal));
            }
        }
    }

    fn finish(&mut self, id: JobId, ok: bool) {
        let now_ms = self.ctx.clock.now_ms();
        let in_flight = u32::try_from(self.home.in_flight()).unwrap_or(u32::MAX);
        self.home.finish(id, now_ms);
        self.waiting.remove(&id);
        let Some(started_ms) = self.started_ms.remove(&id) else {
            return;
        };
        if let Some(adaptive) = &mut self.adaptive {
            adaptive.ended(now_ms - started_ms, ok, in_flight);
            self.home.set_slots(adaptive.limit());
        }
    }

    /// Applies an engine's report; `None` means that the poll failed.
    fn apply_report(&mut self, report: Option<Report>) {
        let Some(report) = report else {
            return;
        };
        let load = report.load;
        if load.leaving && !self.leaving {
            let name = self.name.to_string();
            self.ctx
                .events
                .emit(Kind::UpstreamLeaving, |e| e.upstream = name);
        }
        self.leaving = load.leaving;
        self.ctx.gossip.publish(Publish::UpstreamLeaving {
            upstream: self.name.clone(),
            leaving: load.leaving,
        });
        let now_ms = self.ctx.clock.now_ms();
        self.home.reported(load.running + load.waiting, now_ms);
        if report.full {
            self.home.clear_cached();
        }
        for hint in report.cached {
            self.home.set_cached(hint.chat, hint.tokens);
        }
        self.poll();
    }

    fn poll(&mut self) {
        loop {
            let now_ms = self.ctx.clock.now_ms();
            match self.home.poll(now_ms, &mut self.rng) {
                None => return,
                Some(Ready::Start(id)) => {
                    if let Some(reply) = self.waiting.remove(&id) {
                        self.start(id, reply);
                    }
                }
                Some(Ready::Refused(id, refusal)) => {
                    if let Some(reply) = self.waiting.remove(&id) {
                        let _ = reply.send(Err(refusal));
                    }
                }
            }
        }
    }

    /// Sends the permit. If the receiver has closed, the permit is dropped, which ends the job.
    fn start(&mut self, id: JobId, reply: oneshot::Sender<Admitted>) {
        self.started_ms.insert(id, self.ctx.clock.now_ms());
        if let Some(tx) = self.tx.upgrade() {
            let _ = reply.send(Ok(Permit::new(id, tx)));
        }
    }

    /// Whether the upstream was removed or its home has moved, and no work is left here.
    fn can_stop(&self) -> bool {
        if self.home.in_flight() > 0 || self.home.queued() > 0 {
            return false;
        }
        let fleet = self.ctx.fleet();
        let home = homes::home(&fleet, &self.name, &self.upstream.data_center);
        let config = self.ctx.config();
        let configured = config.upstream(&self.upstream.service, &self.name);
        configured.is_none() || home.is_some_and(|home| home.host != self.ctx.host)
    }

    /// Returns the pool's view. A plain service has no load bound: its requests all cost the same,
    /// and moving them to another upstream gains nothing.
    fn pool_view(&self) -> PoolView {
        let mut view = self
            .loads
            .bounded_view(&self.pool, (&self.name, self.current_load()));
        if !self.engine {
            view.mean_work_ms = f64::INFINITY;
        }
        view
    }

    fn current_load(&self) -> UpstreamLoad {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        UpstreamLoad {
            work_ms: self.home.work_ms(),
            in_flight: count(self.home.in_flight()),
            queued: count(self.home.queued()),
        }
    }

    fn publish(&mut self) {
        self.publish_seq += 1;
        let current = self.current_load();
        let load = Load {
            upstream: self.name.to_string(),
            work_ms: current.work_ms,
            in_flight: current.in_flight,
            queued: current.queued,
            seq: self.publish_seq,
        };
        self.loads.set(&self.name, current);
        stats::upstream(&load);
        self.ctx.gossip.publish(Publish::Loads(vec![load]));
    }

    fn reconfigure(&mut self) {
        let config = self.ctx.config();
        if self
            .config
            .as_ref()
            .is_some_and(|c| Arc::ptr_eq(c, &config))
        {
            return;
        }
        self.pool = pool_slots(&config, &self.upstream.service);
        if let Some(upstream) = config.upstream(&self.upstream.service, &self.name) {
            self.upstream = Upstream::clone(upstream);
        }
        self.home.set_policy(policy(&config, &self.upstream));
        if let Some(adaptive) = &self.adaptive {
            self.home.set_slots(adaptive.limit());
        }
        self.config = Some(config);
    }
}

/// Returns the policy configured for the upstream's service; zero values mean the default.
fn policy(config: &ConfigView, upstream: &Upstream) -> HomePolicy {
    let mut policy = HomePolicy {
        slots: DEFAULT_SLOTS,
        ..HomePolicy::default()
    };
    if upstream.slots > 0 {
        policy.slots = upstream.slots;
    }
    if let Some(set) = config.policy(&upstream.service) {
        apply_overrides(&mut policy, set);
    }
    policy
}

fn apply_overrides(policy: &mut HomePolicy, set: &Policy) {
    if set.epsilon > 0.0 {
        policy.epsilon = set.epsilon;
    }
    if set.queue_limit > 0 {
        policy.queue_limit = set.queue_limit as usize;
    }
    if set.queue_wait_ms > 0 {
        policy.queue_wait_ms = set.queue_wait_ms.into();
    }
    if !set.shed_order.is_empty() {
        let order = set.shed_order.iter().filter_map(|p| p.parse().ok());
        policy.shed_order = order.collect::<Vec<Priority>>();
    }
}

async fn next_wakeup(
    rx: &mut mpsc::UnboundedReceiver<HomeMsg>,
    reports: &mut Reports,
    waiting: bool,
) -> Wakeup {
    let msg = rx.recv().fuse();
    let report = next_report(reports).fuse();
    let tick = tick(waiting).fuse();
    pin_mut!(msg, report, tick);
    select_biased! {
        msg = msg => Wakeup::Msg(msg),
        report = report => Wakeup::Report(report),
        () = tick => Wakeup::Tick,
    }
}

async fn next_report(reports: &mut Reports) -> Option<Report> {
    if let Some(reports) = reports
        && let Some(report) = reports.recv().await
    {
        return report;
    }
    std::future::pending().await
}

async fn tick(waiting: bool) {
    if waiting {
        compio::time::sleep(TICK).await;
    } else {
        std::future::pending::<()>().await;
    }
}
