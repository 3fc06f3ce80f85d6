//! What one upstream's home admits, queues, sends elsewhere or refuses.
//!
//! Load pattern: one upstream of a pool gets more work than its share, in bursts, or for long.
//! Without a single place that knows the upstream's in-flight work exactly, many routers herd
//! onto it by lagging reports; without an early answer, callers wait for what can't be done in
//! time, and work is spent on answers that nobody waits for.
//!
//! - The load bound: a job that would lift the upstream over (1 + epsilon) times the pool's mean
//!   work is sent elsewhere. Only a job that was over the bound everywhere stays, so no upstream
//!   holds more than that plus one job. Short histories are sent elsewhere first.
//! - A job that would have to wait goes elsewhere while others of the pool have free slots, so that
//!   nobody queues while an upstream idles.
//! - A job that must wait is refused at once, with the time to come back, if it would not be
//!   answered by its deadline; and again as soon as that shows while it waits.
//! - The time to come back is the time that the queue takes to drain at the measured pace.
//! - A new home takes over work that it hasn't seen: it counts the last reported work as its own
//!   and lets it fade over [`crate::decide::take_over::TAKE_OVER_MS`].
//!
//! An offer costs one scan over the waiting accounts, at most the queue's limit.

use std::collections::HashMap;

use rand::Rng;

use crate::decide::fair::{FairQueue, Waiting};
use crate::decide::lru::LruCache;
use crate::decide::refusal::{Cause, Refusal, jittered_ms};
use crate::decide::shed::Shedder;
use crate::decide::take_over::Inherited;
use crate::decide::{ChatKey, Job, JobId, PoolView, Priority, Rates};

/// Weight of the newest job in the running estimate of the pace.
const PACE_GAIN: f64 = 1.0 / 16.0;
/// Jobs to see before the pace may be used to foretell a service time.
const PACE_SAMPLES: u32 = 8;
/// Share of epsilon that jobs are admitted up to; the rest absorbs the drift of a mean that is a
/// gossip round old.
const HEADROOM: f64 = 0.8;
/// Share of the admitted band that a chat with nothing cached may use; the rest is kept for long
/// histories, whose displacement costs most.
const NEW_SHARE: f64 = 0.7;
/// Cached tokens from which a history counts as long: a quarter of a second of prefill.
const LONG_TOKENS: f64 = 2_000.0;
/// For this long a suspect of a crash runs with no other suspect beside it; see `quarantine`.
pub const SUSPECT_ALONE_MS: u64 = 500;
/// The shortest time to come back: less would only add load.
const MIN_RETRY_MS: u64 = 100;

/// How one upstream is shared out.
#[derive(Clone, Debug)]
pub struct HomePolicy {
    /// Jobs the upstream runs at once.
    pub slots: u32,
    /// How far above the pool's mean work the upstream may go.
    pub epsilon: f64,
    /// Jobs that may wait here.
    pub queue_limit: usize,
    /// The longest wait that a job is queued for.
    pub queue_wait_ms: u64,
    /// Classes in the order in which they are shed in a brown-out.
    pub shed_order: Vec<Priority>,
    /// Prompt tokens the upstream is believed to cache.
    pub cache_tokens: u64,
    /// What a token costs.
    pub rates: Rates,
}

impl Default for HomePolicy {
    fn default() -> Self {
        Self {
            slots: 32,
            epsilon: 0.25,
            queue_limit: 128,
            queue_wait_ms: 30_000,
            shed_order: vec![Priority::Batch],
            cache_tokens: 600_000,
            rates: Rates::default(),
        }
    }
}

/// The answer to a job that is offered to a home.
#[derive(Clone, Debug, PartialEq)]
pub enum Offer {
    /// Send it to the upstream now.
    Start,
    /// It waits; [`Home::poll`] says when it starts or is given up.
    Queued,
    /// The upstream is over its bound: try the next in the chat's order.
    OverBound,
    /// It would have to wait here, but others of the pool have free slots: try those first.
    Full,
    /// Given up at once.
    Refused(Refusal),
}

/// A waiting job whose wait is over.
#[derive(Clone, Debug, PartialEq)]
pub enum Ready {
    /// Send it now.
    Start(JobId),
    /// Given up.
    Refused(JobId, Refusal),
}

#[derive(Clone, Debug)]
struct Running {
    work_ms: f64,
    since_ms: u64,
    suspect: bool,
}

/// The state of one upstream at its home.
#[derive(Debug)]
pub struct Home {
    policy: HomePolicy,
    running: HashMap<JobId, Running>,
    running_ms: f64,
    queue: FairQueue,
    pushed_out: Vec<JobId>,
    warm: LruCache<u32>,
    shedder: Shedder,
    pace: f64,
    paced: u32,
    inherited: Inherited,
}

impl Home {
    /// A home with nothing in flight.
    ///
    /// ```
    /// use cassiagrade::decide::home::{Home, HomePolicy};
    /// assert_eq!(Home::new(HomePolicy::default()).in_flight(), 0);
    /// ```
    pub fn new(policy: HomePolicy) -> Self {
        Self {
            running: HashMap::new(),
            running_ms: 0.0,
            queue: FairQueue::default(),
            pushed_out: Vec::new(),
            warm: LruCache::new(policy.cache_tokens),
            shedder: Shedder::new(policy.shed_order.clone()),
            pace: 1.0,
            paced: 0,
            inherited: Inherited::default(),
            policy,
        }
    }

    /// Takes over from an earlier home, whose last word was `jobs` in flight with `work_ms`.
    ///
    /// Guards against a new home that takes a busy upstream for an idle one and doubles its load.
    pub fn inherit(&mut self, jobs: u32, work_ms: f64, now_ms: u64) {
        self.inherited = Inherited::new(jobs, work_ms, now_ms);
    }

    /// Takes the upstream's own word on how many jobs it has, which lags: what this home didn't
    /// start is inherited.
    pub fn reported(&mut self, jobs: u32, now_ms: u64) {
        let own = self.running.len() as f64;
        self.inherited.correct(f64::from(jobs) - own, now_ms);
    }

    /// Changes how many jobs the upstream runs at once; those that run, run on.
    pub fn set_slots(&mut self, slots: u32) {
        self.policy.slots = slots.max(1);
    }

    /// Changes the policy; jobs in flight and the warm memory stay.
    pub fn set_policy(&mut self, policy: HomePolicy) {
        if policy.shed_order != self.policy.shed_order {
            self.shedder = Shedder::new(policy.shed_order.clone());
        }
        self.policy = policy;
    }

    /// Jobs at the upstream.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Jobs that the upstream could start at once.
    pub fn free_slots(&self) -> u32 {
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        self.policy.slots.saturating_sub(running)
    }

    /// Jobs that wait here.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Work at the upstream and waiting for it, in engine milliseconds.
    pub fn work_ms(&self) -> f64 {
        self.running_ms + self.queue.work_ms()
    }

    /// What is believed to be cached at the upstream, youngest first.
    pub fn warm_chats(&self) -> impl Iterator<Item = (ChatKey, u32)> {
        self.warm.recent().map(|(chat, tokens)| (chat, *tokens))
    }

    /// Believes that `chat` is cached at the upstream, or, with zero tokens, that it isn't.
    pub fn warmed(&mut self, chat: ChatKey, tokens: u32) {
        match tokens {
            0 => self.warm.remove(chat),
            _ => self.warm.put(chat, tokens, tokens.into()),
        }
    }

    /// Believes that nothing is cached: the upstream restarted.
    pub fn cooled(&mut self) {
        self.warm.clear();
    }

    /// Decides on `job`, which isn't known here yet.
    pub fn offer<R: Rng>(
        &mut self,
        mut job: Job,
        pool: PoolView,
        now_ms: u64,
        rng: &mut R,
    ) -> Offer {
        if job.deadline_ms <= now_ms {
            return Offer::Refused(Refusal::not_run(Cause::Deadline, 0));
        }
        let cached = self.warm.get(job.chat).copied().unwrap_or(0);
        job.cost.cached_tokens = cached.min(job.cost.prompt_tokens);
        let work_ms = job.cost.work_ms(&self.policy.rates);
        if !job.last_choice && self.over_bound(job.cost.cached_tokens, work_ms, pool, now_ms) {
            return Offer::OverBound;
        }
        if self.queue.is_empty() && self.may_start(&job, now_ms) {
            self.queue.charge(&job, work_ms);
            self.start(&job, work_ms, now_ms);
            return Offer::Start;
        }
        if !job.last_choice && pool.free_slots > 0 {
            return Offer::Full;
        }
        match self.turned_away(&job, work_ms, now_ms, rng) {
            Some(refusal) => Offer::Refused(refusal),
            None => {
                self.queue.push(job, work_ms, now_ms);
                Offer::Queued
            }
        }
    }

    /// A started job ended, or its caller went.
    pub fn finish(&mut self, id: JobId, now_ms: u64) {
        if let Some(ended) = self.running.remove(&id) {
            self.running_ms -= ended.work_ms;
            self.learn_pace(&ended, now_ms);
        }
        if self.running.is_empty() {
            // Sums of floats drift; an idle upstream is exactly idle.
            self.running_ms = 0.0;
        }
        self.queue.remove(id);
    }

    /// The next waiting job whose wait is over; call until `None`.
    pub fn poll<R: Rng>(&mut self, now_ms: u64, rng: &mut R) -> Option<Ready> {
        self.shedder
            .observe(self.queue.oldest_wait_ms(now_ms), now_ms);
        if let Some(id) = self.pushed_out.pop() {
            let refusal = Refusal::not_run(Cause::QueueFull, self.retry_ms(0.0, rng));
            return Some(Ready::Refused(id, refusal));
        }
        if let Some(lost) = self.take_lost(now_ms) {
            let refusal = Refusal::not_run(Cause::Deadline, self.retry_ms(lost.work_ms, rng));
            return Some(Ready::Refused(lost.job.id, refusal));
        }
        if !self.has_slot(now_ms) {
            return None;
        }
        let suspect_runs = self.suspect_runs(now_ms);
        let next = self.queue.pop(|job| !(job.suspect && suspect_runs))?;
        let id = next.job.id;
        self.start(&next.job, next.work_ms, now_ms);
        Some(Ready::Start(id))
    }

    /// Whether a job of `work_ms` would lift the upstream over its bound.
    fn over_bound(&self, cached: u32, work_ms: f64, pool: PoolView, now_ms: u64) -> bool {
        let inherited_ms = self.inherited.work_ms(now_ms);
        let long = (f64::from(cached) / LONG_TOKENS).min(1.0);
        let share = HEADROOM * (NEW_SHARE + (1.0 - NEW_SHARE) * long);
        let bound_ms = (1.0 + share * self.policy.epsilon) * pool.mean_work_ms;
        let held_ms = self.work_ms() + inherited_ms;
        // An idle upstream takes any job: nothing can hold less.
        held_ms > 0.0 && held_ms + work_ms > bound_ms
    }

    fn has_slot(&self, now_ms: u64) -> bool {
        let inherited = self.inherited.jobs(now_ms);
        let taken = self.running.len() as f64 + inherited.floor();
        taken < f64::from(self.policy.slots)
    }

    fn may_start(&self, job: &Job, now_ms: u64) -> bool {
        self.has_slot(now_ms) && !(job.suspect && self.suspect_runs(now_ms))
    }

    /// Whether a suspect has just started here: a request that kills its upstream does so in its
    /// prefill. One that has run for longer no longer holds the other suspects up.
    fn suspect_runs(&self, now_ms: u64) -> bool {
        let fresh = |r: &Running| r.suspect && now_ms < r.since_ms + SUSPECT_ALONE_MS;
        self.running.values().any(fresh)
    }

    /// Why a job that must wait may not.
    fn turned_away<R: Rng>(
        &mut self,
        job: &Job,
        work_ms: f64,
        now_ms: u64,
        rng: &mut R,
    ) -> Option<Refusal> {
        if self.shedder.sheds(job.priority, rng) {
            let retry_ms = self.retry_ms(work_ms, rng);
            return Some(Refusal::not_run(Cause::Shed, retry_ms));
        }
        let wait_ms = self.drain_ms(self.queue.work_before_ms(job));
        let answered_ms = now_ms as f64 + wait_ms + self.service_ms(work_ms);
        if answered_ms > job.deadline_ms as f64 || wait_ms > self.policy.queue_wait_ms as f64 {
            let retry_ms = self.retry_ms(work_ms, rng);
            return Some(Refusal::not_run(Cause::Deadline, retry_ms));
        }
        if self.queue.len() >= self.policy.queue_limit {
            match self.queue.push_out(job, work_ms) {
                Some(out) => self.pushed_out.push(out.job.id),
                None => {
                    let retry_ms = self.retry_ms(work_ms, rng);
                    return Some(Refusal::not_run(Cause::QueueFull, retry_ms));
                }
            }
        }
        None
    }

    /// A waiting job that can't be answered by its deadline any more.
    fn take_lost(&mut self, now_ms: u64) -> Option<Waiting> {
        let pace = self.known_pace();
        self.queue
            .take_lost(|w| w.job.deadline_ms as f64 <= now_ms as f64 + w.work_ms * pace)
    }

    /// How long the upstream takes for `work_ms` at the measured pace, with all slots at work.
    fn drain_ms(&self, work_ms: f64) -> f64 {
        work_ms * self.pace / f64::from(self.policy.slots.max(1))
    }

    fn service_ms(&self, work_ms: f64) -> f64 {
        work_ms * self.known_pace()
    }

    /// Zero until enough jobs were seen: an estimate that nobody checked refuses nobody.
    fn known_pace(&self) -> f64 {
        match self.paced {
            PACE_SAMPLES.. => self.pace,
            _ => 0.0,
        }
    }

    fn learn_pace(&mut self, ended: &Running, now_ms: u64) {
        let took_ms = now_ms.saturating_sub(ended.since_ms) as f64;
        let pace = took_ms / ended.work_ms.max(1.0);
        let gain = PACE_GAIN.max(1.0 / f64::from(self.paced + 1));
        self.pace += gain * (pace - self.pace);
        self.paced = self.paced.saturating_add(1);
    }

    fn retry_ms<R: Rng>(&self, work_ms: f64, rng: &mut R) -> u64 {
        let drain_ms = self.drain_ms(self.queue.work_ms() + work_ms);
        jittered_ms((drain_ms as u64).max(MIN_RETRY_MS), rng)
    }

    fn start(&mut self, job: &Job, work_ms: f64, now_ms: u64) {
        let running = Running {
            work_ms,
            since_ms: now_ms,
            suspect: job.suspect,
        };
        self.running.insert(job.id, running);
        self.running_ms += work_ms;
        let tokens = job
            .cost
            .prompt_tokens
            .saturating_add(job.cost.output_tokens);
        if tokens > 0 {
            self.warm.put(job.chat, tokens, tokens.into());
        }
    }
}
