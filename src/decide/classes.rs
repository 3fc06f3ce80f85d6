//! Jobs that wait, by class first and by account inside a class.
//!
//! Load pattern: an account at ten times its usual rate, beside others with work of every class. In one
//! queue of accounts and classes (see `fair`) each account's least urgent work counts against the large
//! account's most urgent: ten accounts with a little of each class take three quarters of the places from
//! it, and a service's most urgent kind of request is refused more often than the next one.
//!
//! So the classes are served first, by start-time fair queueing with weights that fall by fours: a class
//! with little to do never waits for a lower one, and the lowest still gets a twentieth. Inside a class
//! the accounts share by work. A decision costs a scan over the accounts that wait in one class.

use crate::decide::fair::{FairQueue, Waiting};
use crate::decide::{Job, JobId, Priority};

/// Classes, the most urgent first.
const CLASSES: [Priority; 3] = [Priority::Urgent, Priority::Normal, Priority::Batch];
/// Their shares while all have work.
const WEIGHTS: [f64; 3] = [16.0, 4.0, 1.0];

#[derive(Clone, Debug, Default)]
struct Class {
    /// Virtual time at which its next job starts.
    next: f64,
    queue: FairQueue,
}

/// Jobs that wait for a place.
#[derive(Clone, Debug, Default)]
pub struct ClassQueue {
    classes: [Class; 3],
    now: f64,
}

fn place_of(priority: Priority) -> usize {
    let at = CLASSES.iter().position(|class| *class == priority);
    at.unwrap_or(CLASSES.len() - 1)
}

impl ClassQueue {
    /// Jobs that wait.
    ///
    /// ```
    /// use cassiagrade::decide::classes::ClassQueue;
    /// assert_eq!(ClassQueue::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.classes.iter().map(|c| c.queue.len()).sum()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(|c| c.queue.is_empty())
    }

    /// The work of those that wait, in engine milliseconds.
    pub fn work_ms(&self) -> f64 {
        self.classes.iter().map(|c| c.queue.work_ms()).sum()
    }

    /// Adds a job at the end of its account's in its class.
    pub fn push(&mut self, job: Job, work_ms: f64, since_ms: u64) {
        let now = self.now;
        let class = &mut self.classes[place_of(job.priority)];
        if class.queue.is_empty() {
            class.next = class.next.max(now);
        }
        class.queue.push(job, work_ms, since_ms);
    }

    /// Charges a job that starts without waiting to its class and account.
    pub fn charge(&mut self, job: &Job, work_ms: f64) {
        let at = place_of(job.priority);
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

    /// Takes the youngest job of a class below `job`'s, or one of its own class whose account is further
    /// ahead: a full queue pushes out the least urgent first.
    pub fn push_out(&mut self, job: &Job, work_ms: f64) -> Option<Waiting> {
        let own = place_of(job.priority);
        for class in self.classes[own + 1..].iter_mut().rev() {
            // Nobody of a lower class has a claim before this job.
            let probe = Job {
                account: "".into(),
                ..job.clone()
            };
            if let Some(out) = class.queue.push_out(&probe, 0.0) {
                return Some(out);
            }
        }
        self.classes[own].queue.push_out(job, work_ms)
    }

    /// The work in engine milliseconds that would start before `job`, were it pushed now: what waits before
    /// it in its own class, and the shares that the other waiting classes take meanwhile.
    pub fn work_before_ms(&self, job: &Job) -> f64 {
        let at = place_of(job.priority);
        let own_ms = self.classes[at].queue.work_before_ms(job);
        let others = self.classes.iter().enumerate().filter(|(i, _)| *i != at);
        let taken = others.map(|(i, class)| {
            let share_ms = own_ms * WEIGHTS[i] / WEIGHTS[at];
            share_ms.min(class.queue.work_ms())
        });
        own_ms + taken.sum::<f64>()
    }

    /// Takes a job that is no longer wanted.
    pub fn remove(&mut self, id: JobId) -> Option<Waiting> {
        self.classes.iter_mut().find_map(|c| c.queue.remove(id))
    }

    /// Takes one job for which `is_lost` holds.
    pub fn take_lost(&mut self, is_lost: impl Fn(&Waiting) -> bool) -> Option<Waiting> {
        let mut classes = self.classes.iter_mut();
        classes.find_map(|c| c.queue.take_lost(&is_lost))
    }

    fn started(&mut self, at: usize, work_ms: f64) {
        let class = &mut self.classes[at];
        let start = class.next.max(self.now);
        class.next = start + work_ms / WEIGHTS[at];
        self.now = start;
    }
}
