//! Admission of requests at one router: which start now, which wait and which are refused.
//!
//! Load pattern: callers want more than a service's upstreams can run, in a burst or for long. If
//! everything is sent on, requests fill the upstreams' own queues until the upstreams refuse
//! callers at random: three of four arrivals are wasted, the most urgent class fares like the
//! least urgent, answers arrive after their callers have given up, and shared prompt parts are
//! prefilled again wherever a slot happens to be free.
//!
//! So each router runs no more than its quota of the service's slots (see `allowance`), and the
//! rest waits here:
//!
//! - Ordered by priority class, then by account and work (see `classes`), so that an account at
//!   ten times its usual rate waits behind its own requests.
//! - While the queue is a burst, for as long as the deadline allows. Once the queue has stood for
//!   [`STANDING_MS`], only for as long as the answer can still meet its objective: otherwise all
//!   answers would be late, each by the wait of all before it (Maurer, "Fail at Scale", 2015,
//!   shortens the wait of a standing queue in the same way).
//! - Short requests also queue at the upstreams (see `allowance`). That time is subtracted from
//!   the wait here, also in a burst: with half of the objective spent here and half there, each
//!   request would be late, and so would those behind it.
//! - A request that can't start within that time is refused at once, with the time at which
//!   capacity is expected. No request is refused while slots are free that no other router wants.
//!
//! Each request costs one `charge` or `push` and one `pop`: a scan over the waiting flows.

use std::collections::HashMap;

use rand::Rng;

use crate::decide::allowance;
use crate::decide::classes::ClassQueue;
use crate::decide::refusal::{Cause, Refusal, jittered_ms};
use crate::decide::{Job, JobId, Priority, Rates};

/// A queue that has not been empty for this long, a few times a request's duration, is no burst.
pub const STANDING_MS: u64 = 1_000;
/// Share of the objective that may pass in a standing queue; the rest is for prefill and answer at
/// the upstream.
const IN_TIME_SHARE: f64 = 0.5;
/// Share of the remaining deadline that may pass in a burst's queue.
const BURST_SHARE: f64 = 0.4;
/// Most waiting requests, each of which holds its body: more than a router starts in a second.
const MAX_WAITING: usize = 256;
/// Shortest retry time: anything less would only add load.
const MIN_RETRY_MS: u64 = 100;
/// Weight of the newest request in the moving average of the time per work.
const EWMA_GAIN: f64 = 1.0 / 16.0;
/// Factor on that weight in the typical duration if the request took longer than typical: queueing
/// at the upstreams must not be mistaken for longer requests.
const SLOW_GAIN_FACTOR: f64 = 0.25;
/// Samples needed before the time per work may cause a refusal.
const MIN_SAMPLES: u32 = 8;

/// How much of a service one router may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Quota {
    /// Requests that it may run.
    pub allowed: u32,
    /// The other routers leave slots free: this router gets more of them once it has reported its
    /// demand.
    pub has_spare: bool,
}

/// A request for admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Account, priority and cost.
    pub job: Job,
    /// Latency objective for the answer, or for a stream's first event.
    pub objective_ms: u64,
}

/// The answer to a request for admission.
#[derive(Clone, Debug, PartialEq)]
pub enum Offer {
    /// Send it now.
    Start,
    /// It waits; [`Admission::poll`] returns the outcome.
    Wait,
    /// Refused at once.
    Refused(Refusal),
}

/// How a wait ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ready {
    /// Send it now.
    Start(JobId),
    /// Refused.
    Refused(JobId, Refusal),
}

#[derive(Clone, Copy, Debug)]
struct Started {
    work_ms: f64,
    at_ms: u64,
}

/// How long a request may wait, in a standing queue and in a burst.
#[derive(Clone, Copy, Debug)]
struct WaitLimit {
    in_time_ms: u64,
    burst_ms: u64,
}

/// Admission state of one service at one router.
#[derive(Debug, Default)]
pub struct Admission {
    queue: ClassQueue,
    wait_limits: HashMap<JobId, WaitLimit>,
    running: HashMap<JobId, Started>,
    evicted: Vec<JobId>,
    waiting_since_ms: Option<u64>,
    /// Slot time in milliseconds per unit of estimated work.
    time_per_work: f64,
    samples: u32,
    /// Moving average of a request's duration.
    typical_ms: f64,
    /// Shortest objective of all requests so far.
    objective_ms: Option<u64>,
}

impl Admission {
    /// Requests running and waiting, as reported to the other routers.
    ///
    /// ```
    /// use cassiagrade::decide::admission::Admission;
    /// assert_eq!(Admission::default().demand(), 0);
    /// ```
    pub fn demand(&self) -> u32 {
        let wanted = self.running.len() + self.queue.len();
        u32::try_from(wanted).unwrap_or(u32::MAX)
    }

    /// Requests waiting.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns a request's typical duration once there are enough samples.
    pub fn typical_ms(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.typical_ms)
    }

    /// Returns how many requests per slot of the service are worth sending; see `allowance`.
    pub fn requests_per_slot(&self) -> f64 {
        let objective_ms = self.objective_ms.unwrap_or(0) as f64;
        allowance::requests_per_slot(self.typical_ms, objective_ms * IN_TIME_SHARE)
    }

    /// Decides on a new request.
    pub fn offer<R: Rng>(
        &mut self,
        request: AdmissionRequest,
        quota: Quota,
        now_ms: u64,
        rng: &mut R,
    ) -> Offer {
        let AdmissionRequest { job, objective_ms } = request;
        let shortest_ms = self.objective_ms.get_or_insert(objective_ms);
        *shortest_ms = objective_ms.min(*shortest_ms);
        let work_ms = work_ms(&job);
        if self.queue.is_empty() && self.has_slot(quota) {
            self.queue.charge(&job, work_ms);
            self.start(job.id, work_ms, now_ms);
            return Offer::Start;
        }
        let wait_limits = self.wait_limits(&job, objective_ms, now_ms);
        let latest_ms = wait_limits.latest_ms(self.is_standing(quota, now_ms));
        let start_ms = now_ms as f64 + self.wait_ms(&job, quota);
        if !quota.has_spare && start_ms > latest_ms as f64 {
            return Offer::Refused(self.refusal(Cause::Full, work_ms, quota, rng));
        }
        if self.queue.len() >= MAX_WAITING {
            match self.queue.evict(&job, work_ms) {
                Some(out) => self.evicted.push(out.job.id),
                None => return Offer::Refused(self.refusal(Cause::QueueFull, work_ms, quota, rng)),
            }
        }
        self.wait_limits.insert(job.id, wait_limits);
        self.queue.push(job, work_ms, now_ms);
        self.waiting_since_ms.get_or_insert(now_ms);
        Offer::Wait
    }

    /// Returns the next request whose wait is over; call until `None`.
    pub fn poll<R: Rng>(&mut self, quota: Quota, now_ms: u64, rng: &mut R) -> Option<Ready> {
        let ready = self.next(quota, now_ms, rng);
        self.reset_if_empty();
        if let Some(Ready::Start(id) | Ready::Refused(id, _)) = &ready {
            self.wait_limits.remove(id);
        }
        ready
    }

    fn next<R: Rng>(&mut self, quota: Quota, now_ms: u64, rng: &mut R) -> Option<Ready> {
        if let Some(id) = self.evicted.pop() {
            let refusal = self.refusal(Cause::QueueFull, 0.0, quota, rng);
            return Some(Ready::Refused(id, refusal));
        }
        let in_time = self.is_standing(quota, now_ms);
        let wait_limits = &self.wait_limits;
        let is_overdue = |id: &JobId| {
            wait_limits
                .get(id)
                .is_some_and(|limit| now_ms > limit.latest_ms(in_time))
        };
        if let Some(overdue) = self.queue.take_matching(|w| is_overdue(&w.job.id)) {
            let refusal = self.refusal(Cause::Full, overdue.work_ms, quota, rng);
            return Some(Ready::Refused(overdue.job.id, refusal));
        }
        if !self.has_slot(quota) {
            return None;
        }
        let next = self.queue.pop()?;
        self.start(next.job.id, next.work_ms, now_ms);
        Some(Ready::Start(next.job.id))
    }

    /// Removes a request that ended or whose caller disconnected.
    pub fn finish(&mut self, id: JobId, now_ms: u64) {
        if let Some(started) = self.running.remove(&id) {
            self.update_time_per_work(started, now_ms);
        }
        if self.queue.remove(id).is_some() {
            self.wait_limits.remove(&id);
        }
        self.reset_if_empty();
    }

    fn wait_limits(&self, job: &Job, objective_ms: u64, now_ms: u64) -> WaitLimit {
        let left_ms = job.deadline_ms.saturating_sub(now_ms) as f64;
        let burst_ms = left_ms * BURST_SHARE;
        let half_ms = objective_ms as f64 * IN_TIME_SHARE;
        let (in_time_ms, burst_ms) = match self.upstream_ms() {
            None => (half_ms.min(burst_ms), burst_ms),
            Some(upstream_ms) => {
                let spare_ms = (objective_ms as f64 - upstream_ms).max(0.0);
                let in_time_ms = spare_ms.min(half_ms).min(burst_ms);
                (in_time_ms, in_time_ms)
            }
        };
        WaitLimit {
            in_time_ms: now_ms + in_time_ms as u64,
            burst_ms: now_ms + burst_ms as u64,
        }
    }

    /// Returns how long a longer than typical request takes at an upstream, queueing included;
    /// `None` if requests don't queue there or there are too few samples.
    fn upstream_ms(&self) -> Option<f64> {
        let queues_there = self.typical_ms().is_some_and(allowance::is_short);
        queues_there.then(|| (self.requests_per_slot() + 1.0) * self.typical_ms)
    }

    fn reset_if_empty(&mut self) {
        if self.queue.is_empty() {
            self.waiting_since_ms = None;
        }
    }

    fn has_slot(&self, quota: Quota) -> bool {
        self.running.len() < quota.allowed as usize
    }

    fn start(&mut self, id: JobId, work_ms: f64, at_ms: u64) {
        self.running.insert(id, Started { work_ms, at_ms });
    }

    /// Whether the queue is standing, so that requests may wait only while they can be in time.
    fn is_standing(&self, quota: Quota, now_ms: u64) -> bool {
        let since_ms = self.waiting_since_ms.unwrap_or(now_ms);
        !quota.has_spare && now_ms.saturating_sub(since_ms) >= STANDING_MS
    }

    /// Returns how long `job` would wait with all slots of the quota busy.
    fn wait_ms(&self, job: &Job, quota: Quota) -> f64 {
        self.drain_ms(self.queue.work_before_ms(job), quota)
    }

    /// Returns how long the quota takes to drain `work_ms`; zero until there are enough samples.
    fn drain_ms(&self, work_ms: f64, quota: Quota) -> f64 {
        if self.samples < MIN_SAMPLES {
            return 0.0;
        }
        work_ms * self.time_per_work / f64::from(quota.allowed.max(1))
    }

    fn refusal<R: Rng>(&self, cause: Cause, work_ms: f64, quota: Quota, rng: &mut R) -> Refusal {
        let drain_ms = self.drain_ms(self.queue.work_ms() + work_ms, quota);
        let base_ms = (drain_ms as u64).max(MIN_RETRY_MS);
        Refusal::not_run(cause, jittered_ms(base_ms, rng))
    }

    fn update_time_per_work(&mut self, started: Started, now_ms: u64) {
        let took_ms = now_ms.saturating_sub(started.at_ms) as f64;
        let time_per_work = took_ms / started.work_ms.max(1.0);
        let gain = EWMA_GAIN.max(1.0 / f64::from(self.samples + 1));
        self.time_per_work += gain * (time_per_work - self.time_per_work);
        let gain = if took_ms > self.typical_ms && self.samples > MIN_SAMPLES {
            gain * SLOW_GAIN_FACTOR
        } else {
            gain
        };
        self.typical_ms += gain * (took_ms - self.typical_ms);
        self.samples = self.samples.saturating_add(1);
    }
}

impl WaitLimit {
    fn latest_ms(self, in_time: bool) -> u64 {
        if in_time {
            self.in_time_ms
        } else {
            self.burst_ms
        }
    }
}

/// Returns the class of a request, given how many request types of its service have precedence.
pub fn class(rank: u8) -> Priority {
    match rank {
        0 => Priority::Urgent,
        1 => Priority::Normal,
        _ => Priority::Batch,
    }
}

/// Only proportions of work matter here, so the rates of any engine will do.
fn work_ms(job: &Job) -> f64 {
    job.cost.work_ms(&Rates::default())
}
