//! Who of those that one router wants to send to a service starts now, who waits, who is refused.
//!
//! Load pattern: callers want more than a service's upstreams can run, for a burst or for long. Sent on
//! regardless, requests fill the upstreams' own queues until these turn callers away at random: three of
//! four arrivals are wasted, the most urgent kind fares like the least, answers come after their callers
//! stopped waiting, and prompts' shared parts are read anew wherever a place happens to be free.
//!
//! So each router runs no more than its part of the service's places (see `allowance`), and the rest
//! waits here:
//!
//! - By urgency first, then by account and work: see `classes`. An account at ten times its usual waits
//!   behind itself.
//! - For as long as the caller's time leaves room, as long as the queue is a burst. Once it has stood for
//!   [`STANDING_MS`], only for as long as the answer could still be in time: otherwise all would be
//!   late, each served after the wait of all before it (Maurer, "Fail at Scale", 2015, shortens the
//!   wait of a standing queue in the same way).
//! - Short requests queue at the upstreams too (see `allowance`). What that takes is taken off the wait here, in a burst as
//!   well: given half of the objective here and half there, each of them is late, and so are those behind it.
//! - Whoever can't start within that is refused at once, truly, and told when room is expected. Nobody
//!   is refused while places are free that another router doesn't ask for.
//!
//! Every request sends `charge` or `push` once and `pop` once: a scan over the flows that wait.

use std::collections::HashMap;

use rand::Rng;

use crate::decide::allowance;
use crate::decide::classes::ClassQueue;
use crate::decide::refusal::{Cause, Refusal, jittered_ms};
use crate::decide::{Job, JobId, Priority, Rates};

/// A queue that was never empty for this long isn't a burst: some times what a request takes.
pub const STANDING_MS: u64 = 1_000;
/// Part of the objective that may pass in a standing queue; the rest is for the upstream to read the
/// prompt and answer.
const IN_TIME_SHARE: f64 = 0.5;
/// Part of the time left that may pass in a burst's queue.
const BURST_SHARE: f64 = 0.4;
/// Requests that wait at most, each with its body: more than a router starts within a second.
const MAX_WAITING: usize = 256;
/// The shortest time to come back: less would only add load.
const MIN_RETRY_MS: u64 = 100;
/// Weight of the newest request in the running estimate of the pace.
const PACE_GAIN: f64 = 1.0 / 16.0;
/// Part of that weight in what a request usually takes, if it took longer: a queue at the upstreams must
/// not pass for longer requests.
const SLOW_PART: f64 = 0.25;
/// Requests to see before the pace may refuse anybody.
const PACE_SAMPLES: u32 = 8;

/// How much of a service one router may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Quota {
    /// Requests that it may run.
    pub allowed: u32,
    /// The others leave places free: this router gets more of them as soon as it has told that it
    /// wants them.
    pub has_spare: bool,
}

/// A request that asks to start.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Who, how urgent, how much.
    pub job: Job,
    /// Time until its answer or a stream's first event that its caller wants kept.
    pub objective_ms: u64,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Offer {
    /// Send it now.
    Start,
    /// It waits; [`Admission::poll`] says how its wait ends.
    Wait,
    /// Given up at once.
    Refused(Refusal),
}

/// How a wait ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ready {
    /// Send it now.
    Start(JobId),
    /// Given up.
    Refused(JobId, Refusal),
}

#[derive(Clone, Copy, Debug)]
struct Started {
    work_ms: f64,
    at_ms: u64,
}

/// Until when a request may wait.
#[derive(Clone, Copy, Debug)]
struct Patience {
    in_time_ms: u64,
    burst_ms: u64,
}

/// One service at one router.
#[derive(Debug, Default)]
pub struct Admission {
    queue: ClassQueue,
    patience: HashMap<JobId, Patience>,
    running: HashMap<JobId, Started>,
    pushed_out: Vec<JobId>,
    waiting_since_ms: Option<u64>,
    /// Milliseconds of a place that a unit of work takes.
    pace: f64,
    paced: u32,
    /// What a request usually takes.
    usual_ms: f64,
    /// The shortest objective of all that asked.
    objective_ms: Option<u64>,
}

impl Admission {
    /// Requests that run and wait: what the other routers are told.
    ///
    /// ```
    /// use cassiagrade::decide::admission::Admission;
    /// assert_eq!(Admission::default().demand(), 0);
    /// ```
    pub fn demand(&self) -> u32 {
        let wanted = self.running.len() + self.queue.len();
        u32::try_from(wanted).unwrap_or(u32::MAX)
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// How long a request usually takes, once enough were seen.
    pub fn usual_ms(&self) -> Option<f64> {
        (self.paced >= PACE_SAMPLES).then_some(self.usual_ms)
    }

    /// Requests for each place of the service that are worth sending; see `allowance`.
    pub fn fill(&self) -> f64 {
        let objective_ms = self.objective_ms.unwrap_or(0) as f64;
        allowance::fill(self.usual_ms, objective_ms * IN_TIME_SHARE)
    }

    /// Decides on a request that isn't known here yet.
    pub fn offer<R: Rng>(
        &mut self,
        ask: AdmissionRequest,
        quota: Quota,
        now_ms: u64,
        rng: &mut R,
    ) -> Offer {
        let AdmissionRequest { job, objective_ms } = ask;
        let shortest_ms = self.objective_ms.get_or_insert(objective_ms);
        *shortest_ms = objective_ms.min(*shortest_ms);
        let work_ms = work_ms(&job);
        if self.queue.is_empty() && self.has_place(quota) {
            self.queue.charge(&job, work_ms);
            self.start(job.id, work_ms, now_ms);
            return Offer::Start;
        }
        let patience = self.patience(&job, objective_ms, now_ms);
        let latest_ms = patience.latest_ms(self.must_be_in_time(quota, now_ms));
        let start_ms = now_ms as f64 + self.wait_ms(&job, quota);
        if !quota.has_spare && start_ms > latest_ms as f64 {
            return Offer::Refused(self.refusal(Cause::Full, work_ms, quota, rng));
        }
        if self.queue.len() >= MAX_WAITING {
            match self.queue.push_out(&job, work_ms) {
                Some(out) => self.pushed_out.push(out.job.id),
                None => return Offer::Refused(self.refusal(Cause::QueueFull, work_ms, quota, rng)),
            }
        }
        self.patience.insert(job.id, patience);
        self.queue.push(job, work_ms, now_ms);
        self.waiting_since_ms.get_or_insert(now_ms);
        Offer::Wait
    }

    /// The next request whose wait is over; call until `None`.
    pub fn poll<R: Rng>(&mut self, quota: Quota, now_ms: u64, rng: &mut R) -> Option<Ready> {
        let ready = self.next(quota, now_ms, rng);
        self.forget_empty_queue();
        if let Some(Ready::Start(id) | Ready::Refused(id, _)) = &ready {
            self.patience.remove(id);
        }
        ready
    }

    fn next<R: Rng>(&mut self, quota: Quota, now_ms: u64, rng: &mut R) -> Option<Ready> {
        if let Some(id) = self.pushed_out.pop() {
            let refusal = self.refusal(Cause::QueueFull, 0.0, quota, rng);
            return Some(Ready::Refused(id, refusal));
        }
        let in_time = self.must_be_in_time(quota, now_ms);
        let patience = &self.patience;
        let is_lost = |id: &JobId| {
            patience
                .get(id)
                .is_some_and(|p| now_ms > p.latest_ms(in_time))
        };
        if let Some(lost) = self.queue.take_lost(|w| is_lost(&w.job.id)) {
            let refusal = self.refusal(Cause::Full, lost.work_ms, quota, rng);
            return Some(Ready::Refused(lost.job.id, refusal));
        }
        if !self.has_place(quota) {
            return None;
        }
        let next = self.queue.pop()?;
        self.start(next.job.id, next.work_ms, now_ms);
        Some(Ready::Start(next.job.id))
    }

    /// A request ended, or its caller went.
    pub fn finish(&mut self, id: JobId, now_ms: u64) {
        if let Some(started) = self.running.remove(&id) {
            self.learn_pace(started, now_ms);
        }
        if self.queue.remove(id).is_some() {
            self.patience.remove(&id);
        }
        self.forget_empty_queue();
    }

    fn patience(&self, job: &Job, objective_ms: u64, now_ms: u64) -> Patience {
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
        Patience {
            in_time_ms: now_ms + in_time_ms as u64,
            burst_ms: now_ms + burst_ms as u64,
        }
    }

    /// How long an upstream takes for a request that queues there and then runs longer than usual; `None` where requests
    /// don't queue there, or nothing was seen yet.
    fn upstream_ms(&self) -> Option<f64> {
        let queues_there = self.usual_ms().is_some_and(allowance::is_short);
        queues_there.then(|| (self.fill() + 1.0) * self.usual_ms)
    }

    fn forget_empty_queue(&mut self) {
        if self.queue.is_empty() {
            self.waiting_since_ms = None;
        }
    }

    fn has_place(&self, quota: Quota) -> bool {
        self.running.len() < quota.allowed as usize
    }

    fn start(&mut self, id: JobId, work_ms: f64, at_ms: u64) {
        self.running.insert(id, Started { work_ms, at_ms });
    }

    /// Whether the queue stands, and its requests may wait only while they could still be in time.
    fn must_be_in_time(&self, quota: Quota, now_ms: u64) -> bool {
        let since_ms = self.waiting_since_ms.unwrap_or(now_ms);
        !quota.has_spare && now_ms.saturating_sub(since_ms) >= STANDING_MS
    }

    /// How long `job` would wait at the measured pace, with all places at work.
    fn wait_ms(&self, job: &Job, quota: Quota) -> f64 {
        self.drain_ms(self.queue.work_before_ms(job), quota)
    }

    /// How long this router's places take for `work_ms`; zero until enough was seen.
    fn drain_ms(&self, work_ms: f64, quota: Quota) -> f64 {
        if self.paced < PACE_SAMPLES {
            return 0.0;
        }
        work_ms * self.pace / f64::from(quota.allowed.max(1))
    }

    fn refusal<R: Rng>(&self, cause: Cause, work_ms: f64, quota: Quota, rng: &mut R) -> Refusal {
        let drain_ms = self.drain_ms(self.queue.work_ms() + work_ms, quota);
        let base_ms = (drain_ms as u64).max(MIN_RETRY_MS);
        Refusal::not_run(cause, jittered_ms(base_ms, rng))
    }

    fn learn_pace(&mut self, started: Started, now_ms: u64) {
        let took_ms = now_ms.saturating_sub(started.at_ms) as f64;
        let pace = took_ms / started.work_ms.max(1.0);
        let gain = PACE_GAIN.max(1.0 / f64::from(self.paced + 1));
        self.pace += gain * (pace - self.pace);
        let gain = if took_ms > self.usual_ms && self.paced > PACE_SAMPLES {
            gain * SLOW_PART
        } else {
            gain
        };
        self.usual_ms += gain * (took_ms - self.usual_ms);
        self.paced = self.paced.saturating_add(1);
    }
}

impl Patience {
    fn latest_ms(self, in_time: bool) -> u64 {
        if in_time {
            self.in_time_ms
        } else {
            self.burst_ms
        }
    }
}

/// The class of a request that `rank` kinds of request to its service go before.
pub fn class(rank: u8) -> Priority {
    match rank {
        0 => Priority::Urgent,
        1 => Priority::Normal,
        _ => Priority::Batch,
    }
}

/// Work is used in proportion only: rates of any engine do.
fn work_ms(job: &Job) -> f64 {
    job.cost.work_ms(&Rates::default())
}
