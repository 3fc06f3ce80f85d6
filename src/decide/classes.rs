//! Queue ordered by priority class, and within a class by account.
//!
//! Load pattern: an account at ten times its usual rate, beside others with work of every class.
//! In one queue over accounts and classes (see `fair`), each account's least urgent work competes
//! with the large account's most urgent: ten accounts with a little work in each class take three
//! quarters of the slots from it, and a service's most urgent requests are refused more often than
//! the next class.
//!
//! So the classes are served first, by start-time fair queueing with weights that fall by factors
//! of four: a class with little work never waits for a lower one, and the lowest still gets a
//! twentieth. Within a class the accounts share by work. A decision costs a scan over the accounts
//! waiting in one class.

use crate::decide::fair::{FairQueue, Waiting};
use crate::decide::{Job, JobId, Priority};

/// Classes, most urgent first.
const CLASSES: [Priority; 3] = [Priority::Urgent, Priority::Normal, Priority::Batch];
/// Weights of the classes while all have work.
const WEIGHTS: [f64; 3] = [16.0, 4.0, 1.0];

#[derive(Clone, Debug, Default)]
struct Class {
    /// Virtual time at which the next job of the class starts.
    next: f64,
    queue: FairQueue,
}

/// Jobs waiting for a slot, by class.
#[derive(Clone, Debug, Default)]
pub struct ClassQueue {
    classes: [Class; 3],
    now: f64,
}

fn index_of(priority: Priority) -> usize {
    let at = CLASSES.iter().position(|class| *class == priority);
    at.unwrap_or(CLASSES.len() - 1)
}

impl ClassQueue {
    /// Number of waiting jobs.
    ///
    /// ```
    /// use cassiagrade::decide::classes::ClassQueue;
    /// assert_eq!(ClassQueue::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.classes.iter().map(|c| c.queue.len()).sum()
    }

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(|c| c.queue.is_empty())
    }

    /// Work of the waiting jobs, in engine milliseconds.
    pub fn work_ms(&self) -> f64 {
        self.classes.iter().map(|c| c.queue.work_ms()).sum()
    }

    /// Appends a job to the queue of its account within its class.
    pub fn push(&mut self, job: Job, work_ms: f64, since_ms: u64) {
        let now = self.now;
        let class = &mut self.classes[index_of(job.priority)];
        if class.queue.is_empty() {
            class.next = class.next.max(now);
        }
        class.queue.push(job, work_ms, since_ms);
    }

    /// Charges a job that starts without waiting to its class and account.
    pub fn charge(&mut self, job: &Job, work_ms: f64) {
        let at = index_of(job.priority);
        self.classes[at].queue.charge(job, work_ms);
        self.started(at, work_ms);
    }

    /// Takes the next job.
    pub fn pop(&mut self) -> Option<Waiting> {
        let waiting = self.classes.iter().enumerate();
        let waiting = waiting.filter(|(_, class)| !class.queue.is_empty());
        let (at, _) = waiting.min_by(|a, b| a.1.next.total_cmp(&b.1.next))?;
        let taken = self.classes[at].queue.pop(|_| true)?;
        self.started(at, taken.work_ms);
        Some(taken)
    }

    /// Takes the newest job of a class below that of `job`, or of its own class if that job's
    /// account is further ahead: a full queue evicts the least urgent work first.
    pub fn evict(&mut self, job: &Job, work_ms: f64) -> Option<Waiting> {
        let own = index_of(job.priority);
        for class in self.classes[own + 1..].iter_mut().rev() {
            // Any job of a lower class gives way, so it is compared with an empty account.
            let probe = Job {
                account: "".into(),
                ..job.clone()
            };
            if let Some(out) = class.queue.evict(&probe, 0.0) {
                return Some(out);
            }
        }
        self.classes[own].queue.evict(job, work_ms)
    }

    /// Returns the work in engine milliseconds that would start before `job` if it were pushed
    /// now: the work ahead of it in its class, and the shares of the other classes meanwhile.
    pub fn work_before_ms(&self, job: &Job) -> f64 {
        let at = index_of(job.priority);
        let own_ms = self.classes[at].queue.work_before_ms(job);
        let others = self.classes.iter().enumerate().filter(|(i, _)| *i != at);
        let taken = others.map(|(i, class)| {
            let share_ms = own_ms * WEIGHTS[i] / WEIGHTS[at];
            share_ms.min(class.queue.work_ms())
        });
        own_ms + taken.sum::<f64>()
    }

    /// Removes a job that is no longer wanted.
    pub fn remove(&mut self, id: JobId) -> Option<Waiting> {
        self.classes.iter_mut().find_map(|c| c.queue.remove(id))
    }

    /// Takes one job that matches `is_match`.
    pub fn take_matching(&mut self, is_match: impl Fn(&Waiting) -> bool) -> Option<Waiting> {
        let mut classes = self.classes.iter_mut();
        classes.find_map(|c| c.queue.take_matching(&is_match))
    }

    fn started(&mut self, at: usize, work_ms: f64) {
        let class = &mut self.classes[at];
        let start = class.next.max(self.now);
        class.next = start + work_ms / WEIGHTS[at];
        self.now = start;
    }
}
