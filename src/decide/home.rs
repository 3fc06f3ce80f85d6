//! Admission control of one upstream at its home: which jobs to start, queue, redirect or refuse.
//!
//! Load pattern: one upstream of a pool gets more work than its share, in bursts or for long. If no
//! router knows the upstream's work in flight exactly, many routers overload it because of lagging
//! reports. Without an early refusal, callers wait for answers that can't arrive in time, and work
//! is spent on answers that no caller waits for any more.
//!
//! - The load bound: a job that would raise the upstream above (1 + epsilon) times the pool's mean
//!   work is sent elsewhere. Only a job that was over the bound everywhere stays, so no upstream
//!   has more than that plus one job. Short histories are sent elsewhere first.
//! - A job that would have to wait goes elsewhere while other upstreams of the pool have free
//!   slots, so that no job queues while an upstream idles.
//! - A job that would wait past its deadline is refused at once with a retry time; while it waits,
//!   it is refused as soon as the deadline can't be met any more.
//! - The retry time is the time that the queue takes to drain at the measured time per work.
//! - A new home takes over work that it hasn't started: it counts the last reported work as its
//!   own and lets it decay over [`crate::decide::take_over::TAKE_OVER_MS`].
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

/// Weight of the newest job in the moving average of the time per work.
const EWMA_GAIN: f64 = 1.0 / 16.0;
/// Samples needed before the time per work is used to predict a service time.
const MIN_SAMPLES: u32 = 8;
/// Share of epsilon up to which jobs are admitted; the rest absorbs the drift of a mean that is a
/// gossip round old.
const HEADROOM: f64 = 0.8;
/// Share of the admitted range that a chat with nothing cached may use; the rest is reserved for
/// long histories, which cost most to displace.
const UNCACHED_SHARE: f64 = 0.7;
/// Cached tokens from which a history counts as long: a quarter of a second of prefill.
const LONG_TOKENS: f64 = 2_000.0;
/// For this long a suspect runs with no other suspect beside it; see `quarantine`.
pub const SUSPECT_ISOLATION_MS: u64 = 500;
/// Shortest retry time: anything less would only add load.
const MIN_RETRY_MS: u64 = 100;

/// Admission policy of one upstream.
#[derive(Clone, Debug)]
pub struct HomePolicy {
    /// Jobs that the upstream runs at once.
    pub slots: u32,
    /// How far the upstream may exceed the pool's mean work, as a fraction of it.
    pub epsilon: f64,
    /// Most jobs in the queue.
    pub queue_limit: usize,
    /// Longest expected wait for which a job is queued.
    pub queue_wait_ms: u64,
    /// Classes in the order in which they are shed on overload.
    pub shed_order: Vec<Priority>,
    /// Assumed size of the upstream's prompt cache, in tokens.
    pub cache_tokens: u64,
    /// Cost of tokens and requests.
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

/// The answer to a job offered to a home.
#[derive(Clone, Debug, PartialEq)]
pub enum Offer {
    /// Send it to the upstream now.
    Start,
    /// It waits; [`Home::poll`] returns the outcome.
    Queued,
    /// The upstream is over its load bound: try the next one in the chat's order.
    OverBound,
    /// It would have to wait, but other upstreams of the pool have free slots: try those first.
    Full,
    /// Refused at once.
    Refused(Refusal),
}

/// Outcome of a waiting job.
#[derive(Clone, Debug, PartialEq)]
pub enum Ready {
    /// Send it now.
    Start(JobId),
    /// Refused.
    Refused(JobId, Refusal),
}

#[derive(Clone, Debug)]
struct Running {
    work_ms: f64,
    since_ms: u64,
    suspect: bool,
}

/// Admission state of one upstream at its home.
#[derive(Debug)]
pub struct Home {
    policy: HomePolicy,
    running: HashMap<JobId, Running>,
    running_ms: f64,
    queue: FairQueue,
    evicted: Vec<JobId>,
    cached_chats: LruCache<u32>,
    shedder: Shedder,
    time_per_work: f64,
    samples: u32,
    inherited: Inherited,
}

impl Home {
    /// Creates a home with no job in flight.
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
            evicted: Vec::new(),
            cached_chats: LruCache::new(policy.cache_tokens),
            shedder: Shedder::new(policy.shed_order.clone()),
            time_per_work: 1.0,
            samples: 0,
            inherited: Inherited::default(),
            policy,
        }
    }

    /// Takes over from an earlier home, which last reported `jobs` in flight with `work_ms`.
    ///
    /// Failure guarded against: a new home takes a busy upstream for an idle one and doubles its
    /// load.
    pub fn inherit(&mut self, jobs: u32, work_ms: f64, now_ms: u64) {
        self.inherited = Inherited::new(jobs, work_ms, now_ms);
    }

    /// Takes the upstream's own, lagging report of its jobs: those that this home didn't start are
    /// inherited.
    pub fn reported(&mut self, jobs: u32, now_ms: u64) {
        let own = self.running.len() as f64;
        self.inherited.lower_to(f64::from(jobs) - own, now_ms);
    }

    /// Changes how many jobs the upstream runs at once; running jobs continue.
    pub fn set_slots(&mut self, slots: u32) {
        self.policy.slots = slots.max(1);
    }

    /// Changes the policy; jobs in flight and the record of cached chats stay.
    pub fn set_policy(&mut self, policy: HomePolicy) {
        if policy.shed_order != self.policy.shed_order {
            self.shedder = Shedder::new(policy.shed_order.clone());
        }
        self.policy = policy;
    }

    /// Jobs running at the upstream.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Jobs that the upstream could start at once.
    pub fn free_slots(&self) -> u32 {
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        self.policy.slots.saturating_sub(running)
    }

    /// Jobs in the queue.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Work running and queued, in engine milliseconds.
    pub fn work_ms(&self) -> f64 {
        self.running_ms + self.queue.work_ms()
    }

    /// Chats that are assumed to be cached at the upstream, most recent first.
    pub fn cached(&self) -> impl Iterator<Item = (ChatKey, u32)> {
        self.cached_chats
            .recent()
            .map(|(chat, tokens)| (chat, *tokens))
    }

    /// Records that `tokens` of `chat` are cached at the upstream; zero means none.
    pub fn set_cached(&mut self, chat: ChatKey, tokens: u32) {
        match tokens {
            0 => self.cached_chats.remove(chat),
            _ => self.cached_chats.put(chat, tokens, tokens.into()),
        }
    }

    /// Clears the record of cached chats after a restart of the upstream.
    pub fn clear_cached(&mut self) {
        self.cached_chats.clear();
    }

    /// Decides on a new job.
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
        let cached = self.cached_chats.get(job.chat).copied().unwrap_or(0);
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
        match self.queue_refusal(&job, work_ms, now_ms, rng) {
            Some(refusal) => Offer::Refused(refusal),
            None => {
                self.queue.push(job, work_ms, now_ms);
                Offer::Queued
            }
        }
    }

    /// Removes a job that ended or whose caller disconnected.
    pub fn finish(&mut self, id: JobId, now_ms: u64) {
        if let Some(ended) = self.running.remove(&id) {
            self.running_ms -= ended.work_ms;
            self.update_time_per_work(&ended, now_ms);
        }
        if self.running.is_empty() {
            // Floating-point sums drift; the sum of an idle upstream is exactly zero.
            self.running_ms = 0.0;
        }
        self.queue.remove(id);
    }

    /// Returns the next waiting job whose wait is over; call until `None`.
    pub fn poll<R: Rng>(&mut self, now_ms: u64, rng: &mut R) -> Option<Ready> {
        self.shedder
            .observe(self.queue.oldest_wait_ms(now_ms), now_ms);
        if let Some(id) = self.evicted.pop() {
            let refusal = Refusal::not_run(Cause::QueueFull, self.retry_ms(0.0, rng));
            return Some(Ready::Refused(id, refusal));
        }
        if let Some(overdue) = self.take_overdue(now_ms) {
            let refusal = Refusal::not_run(Cause::Deadline, self.retry_ms(overdue.work_ms, rng));
            return Some(Ready::Refused(overdue.job.id, refusal));
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

    /// Whether a job of `work_ms` would raise the upstream above its load bound.
    fn over_bound(&self, cached: u32, work_ms: f64, pool: PoolView, now_ms: u64) -> bool {
        let inherited_ms = self.inherited.work_ms(now_ms);
        let long = (f64::from(cached) / LONG_TOKENS).min(1.0);
        let share = HEADROOM * (UNCACHED_SHARE + (1.0 - UNCACHED_SHARE) * long);
        let bound_ms = (1.0 + share * self.policy.epsilon) * pool.mean_work_ms;
        let total_ms = self.work_ms() + inherited_ms;
        // An idle upstream takes any job: no other one can have less work.
        total_ms > 0.0 && total_ms + work_ms > bound_ms
    }

    fn has_slot(&self, now_ms: u64) -> bool {
        let inherited = self.inherited.jobs(now_ms);
        let taken = self.running.len() as f64 + inherited.floor();
        taken < f64::from(self.policy.slots)
    }

    fn may_start(&self, job: &Job, now_ms: u64) -> bool {
        self.has_slot(now_ms) && !(job.suspect && self.suspect_runs(now_ms))
    }

    /// Whether a suspect started here within [`SUSPECT_ISOLATION_MS`]: a request that crashes its
    /// upstream does so during prefill, so one that has run for longer doesn't block other
    /// suspects.
    fn suspect_runs(&self, now_ms: u64) -> bool {
        let fresh = |r: &Running| r.suspect && now_ms < r.since_ms + SUSPECT_ISOLATION_MS;
        self.running.values().any(fresh)
    }

    /// Returns the refusal of a job that must wait but may not.
    fn queue_refusal<R: Rng>(
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
            match self.queue.evict(job, work_ms) {
                Some(out) => self.evicted.push(out.job.id),
                None => {
                    let retry_ms = self.retry_ms(work_ms, rng);
                    return Some(Refusal::not_run(Cause::QueueFull, retry_ms));
                }
            }
        }
        None
    }

    /// Takes a waiting job that can't be answered by its deadline any more.
    fn take_overdue(&mut self, now_ms: u64) -> Option<Waiting> {
        let time_per_work = self.known_time_per_work();
        self.queue.take_matching(|w| {
            w.job.deadline_ms as f64 <= now_ms as f64 + w.work_ms * time_per_work
        })
    }

    /// Returns how long the upstream takes for `work_ms` with all slots busy.
    fn drain_ms(&self, work_ms: f64) -> f64 {
        work_ms * self.time_per_work / f64::from(self.policy.slots.max(1))
    }

    fn service_ms(&self, work_ms: f64) -> f64 {
        work_ms * self.known_time_per_work()
    }

    /// Returns zero until there are enough samples, so that an unproven estimate refuses nothing.
    fn known_time_per_work(&self) -> f64 {
        match self.samples {
            MIN_SAMPLES.. => self.time_per_work,
            _ => 0.0,
        }
    }

    fn update_time_per_work(&mut self, ended: &Running, now_ms: u64) {
        let took_ms = now_ms.saturating_sub(ended.since_ms) as f64;
        let time_per_work = took_ms / ended.work_ms.max(1.0);
        let gain = EWMA_GAIN.max(1.0 / f64::from(self.samples + 1));
        self.time_per_work += gain * (time_per_work - self.time_per_work);
        self.samples = self.samples.saturating_add(1);
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
            self.cached_chats.put(job.chat, tokens, tokens.into());
        }
    }
}
