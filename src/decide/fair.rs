//! Weighted fair queue over client accounts and priority classes.
//!
//! Load pattern: one account sends ten times its usual rate, or long jobs precede short ones. In a
//! first-in-first-out queue all other requests then wait behind the surge.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng, 1996) on estimated work: each flow, an account
//! in a class, has a virtual time that grows by work over weight as its jobs start, and the flow
//! with the lowest virtual time goes next. Two backlogged flows differ by at most one job's work
//! over weight each. Class weights differ by factors of four, so the lowest class still gets its
//! share. Within a flow, a short job passes longer ones, each at most [`PASS_LIMIT`] times.
//!
//! A decision costs a scan over the waiting flows, at most the queue's limit.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::decide::{Job, JobId, Name, Priority};

/// How often a job may be passed by shorter ones of its own flow.
pub const PASS_LIMIT: u32 = 4;
/// Number of flows beyond which empty flows with a past virtual time are removed.
const SWEEP_FLOWS: usize = 64;

/// A waiting job with its estimated work.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The job.
    pub job: Job,
    /// Its work in engine milliseconds.
    pub work_ms: f64,
    /// Time at which it was queued.
    pub since_ms: u64,
    passed_count: u32,
}

#[derive(Clone, Debug, Default)]
struct Flow {
    /// Virtual time at which the flow's next job starts.
    next: f64,
    jobs: VecDeque<Waiting>,
    work_ms: f64,
}

type FlowKey = (Priority, Name);

/// Jobs waiting for a slot.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    flows: HashMap<FlowKey, Flow>,
    now: f64,
    len: usize,
    work_ms: f64,
}

/// Weight of a class at equal account weights.
fn class_weight(priority: Priority) -> f64 {
    match priority {
        Priority::Urgent => 16.0,
        Priority::Normal => 4.0,
        Priority::Batch => 1.0,
    }
}

fn flow_weight(job: &Job) -> f64 {
    class_weight(job.priority) * job.weight.max(f64::MIN_POSITIVE)
}

impl FairQueue {
    /// Number of waiting jobs.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Work of the waiting jobs, in engine milliseconds.
    pub fn work_ms(&self) -> f64 {
        self.work_ms
    }

    /// Appends a job to its flow.
    pub fn push(&mut self, job: Job, work_ms: f64, since_ms: u64) {
        let now = self.now;
        let key = (job.priority, job.account.clone());
        let flow = self.flows.entry(key).or_default();
        if flow.jobs.is_empty() {
            flow.next = flow.next.max(now);
        }
        flow.work_ms += work_ms;
        flow.jobs.push_back(Waiting {
            job,
            work_ms,
            since_ms,
            passed_count: 0,
        });
        self.len += 1;
        self.work_ms += work_ms;
    }

    /// Charges a job that starts without waiting, so that its account's next job waits its turn.
    pub fn charge(&mut self, job: &Job, work_ms: f64) {
        let now = self.now;
        let key = (job.priority, job.account.clone());
        let flow = self.flows.entry(key).or_default();
        let start = flow.next.max(now);
        flow.next = start + work_ms / flow_weight(job);
        self.now = start;
        self.sweep();
    }

    /// Takes the next job that `may_start`, from the flow with the lowest virtual time.
    pub fn pop(&mut self, may_start: impl Fn(&Job) -> bool) -> Option<Waiting> {
        let startable = self.flows.iter().filter_map(|(key, flow)| {
            let at = pick(&flow.jobs, &may_start)?;
            Some((key, at, flow.next))
        });
        let least = startable.min_by(|a, b| a.2.total_cmp(&b.2).then_with(|| a.0.cmp(b.0)));
        let (key, at, _) = least?;
        let key = key.clone();
        let taken = self.take(&key, at)?;
        let flow = self.flows.get_mut(&key)?;
        for passed in flow.jobs.iter_mut().take(at) {
            passed.passed_count += 1;
        }
        let start = flow.next.max(self.now);
        flow.next = start + taken.work_ms / flow_weight(&taken.job);
        self.now = start;
        self.sweep();
        Some(taken)
    }

    /// Takes the newest job of the flow that is furthest ahead, if it is further ahead than the
    /// flow of `job` would be: a full queue evicts from the account that occupies most of it.
    pub fn evict(&mut self, job: &Job, work_ms: f64) -> Option<Waiting> {
        let own = self.backlog(job) + work_ms / flow_weight(job);
        let (key, worst) = self
            .flows
            .iter()
            .filter(|(_, flow)| !flow.jobs.is_empty())
            .map(|(key, flow)| (key, virtual_lead(flow, self.now)))
            .max_by(|a, b| a.1.total_cmp(&b.1).then_with(|| a.0.cmp(b.0)))?;
        if worst <= own {
            return None;
        }
        let key = key.clone();
        let last = self.flows.get(&key)?.jobs.len() - 1;
        self.take(&key, last)
    }

    /// Returns the work in engine milliseconds that would start before `job` if it were pushed now.
    pub fn work_before_ms(&self, job: &Job) -> f64 {
        let own = self.backlog(job) + self.now;
        let before = |(key, flow): (&FlowKey, &Flow)| {
            let weight = flow.jobs.front().map_or(1.0, |w| flow_weight(&w.job));
            if key.0 == job.priority && key.1 == job.account {
                return flow.work_ms;
            }
            let lag = (own - flow.next.max(self.now)).max(0.0);
            (lag * weight).min(flow.work_ms)
        };
        self.flows.iter().map(before).sum()
    }

    /// Removes a job that is no longer wanted.
    pub fn remove(&mut self, id: JobId) -> Option<Waiting> {
        let (key, at) = self.flows.iter().find_map(|(key, flow)| {
            let at = flow.jobs.iter().position(|w| w.job.id == id)?;
            Some((key.clone(), at))
        })?;
        self.take(&key, at)
    }

    /// Takes one job that matches `is_match`.
    pub fn take_matching(&mut self, is_match: impl Fn(&Waiting) -> bool) -> Option<Waiting> {
        let (key, at) = self.flows.iter().find_map(|(key, flow)| {
            let at = flow.jobs.iter().position(&is_match)?;
            Some((key.clone(), at))
        })?;
        self.take(&key, at)
    }

    /// Returns the longest wait so far of a waiting job, in milliseconds.
    pub fn oldest_wait_ms(&self, now_ms: u64) -> u64 {
        let fronts = self.flows.values().filter_map(|f| f.jobs.front());
        fronts
            .map(|w| now_ms.saturating_sub(w.since_ms))
            .max()
            .unwrap_or(0)
    }

    fn backlog(&self, job: &Job) -> f64 {
        let key = (job.priority, job.account.clone());
        self.flows
            .get(&key)
            .map_or(0.0, |f| virtual_lead(f, self.now))
    }

    fn take(&mut self, key: &FlowKey, at: usize) -> Option<Waiting> {
        let flow = self.flows.get_mut(key)?;
        let taken = flow.jobs.remove(at)?;
        flow.work_ms -= taken.work_ms;
        self.len -= 1;
        self.work_ms -= taken.work_ms;
        if self.len == 0 {
            // Floating-point sums drift; the sum of an empty queue is exactly zero.
            self.work_ms = 0.0;
        }
        Some(taken)
    }

    fn sweep(&mut self) {
        if self.flows.len() > SWEEP_FLOWS {
            let now = self.now;
            self.flows.retain(|_, f| !f.jobs.is_empty() || f.next > now);
        }
    }
}

/// Returns how far a flow's virtual time will be ahead of the queue's once all its jobs started.
fn virtual_lead(flow: &Flow, now: f64) -> f64 {
    let weight = flow.jobs.front().map_or(1.0, |w| flow_weight(&w.job));
    (flow.next - now).max(0.0) + flow.work_ms / weight
}

/// Returns the job of a flow to start: the shortest, unless the first was passed often enough.
fn pick(jobs: &VecDeque<Waiting>, may_start: &impl Fn(&Job) -> bool) -> Option<usize> {
    let mut startable = jobs.iter().enumerate().filter(|(_, w)| may_start(&w.job));
    let (at, first) = startable.next()?;
    if first.passed_count >= PASS_LIMIT {
        return Some(at);
    }
    let rest = startable.map(|(at, w)| (at, w.work_ms));
    let shortest = rest.fold((at, first.work_ms), |a, b| if b.1 < a.1 { b } else { a });
    Some(shortest.0)
}
