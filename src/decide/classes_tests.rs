use super::classes::ClassQueue;
use super::{ChatKey, Cost, Job, JobId, Priority};

fn job(id: u64, account: &str, priority: Priority) -> Job {
    Job {
        id: JobId(id),
        account: account.into(),
        weight: 1.0,
        priority,
        chat: ChatKey::default(),
        cost: Cost::default(),
        deadline_ms: u64::MAX,
        last_choice: true,
        suspect: false,
    }
}

/// One account has much urgent work, nine have a little of every class. The large account's urgent
/// work waits behind the other accounts' urgent work, but not behind less urgent work.
#[test]
fn urgent_work_of_a_large_account_goes_before_less_urgent_work_of_all() {
    let mut queue = ClassQueue::default();
    for id in 0..100 {
        queue.push(job(id, "large", Priority::Urgent), 100.0, 0);
    }
    for account in 0..9_u64 {
        let name = format!("small-{account}");
        for id in 0..10 {
            let id = 1_000 + account * 100 + id;
            queue.push(job(id, &name, Priority::Normal), 100.0, 0);
        }
    }
    let first: Vec<_> = (0..50).filter_map(|_| queue.pop()).collect();
    let urgent = first.iter().filter(|w| w.job.id.0 < 1_000).count();
    assert!((39..=41).contains(&urgent), "{urgent} of 50");
}

/// The least urgent work queues behind a long backlog of more urgent work. It still gets its
/// twentieth.
#[test]
fn lowest_class_is_not_starved() {
    let mut queue = ClassQueue::default();
    for id in 0..420 {
        queue.push(job(id, "a", Priority::Urgent), 100.0, 0);
        queue.push(job(id + 1_000, "a", Priority::Normal), 100.0, 0);
        queue.push(job(id + 2_000, "a", Priority::Batch), 100.0, 0);
    }
    let first: Vec<_> = (0..210).filter_map(|_| queue.pop()).collect();
    let lowest = first.iter().filter(|w| w.job.id.0 >= 2_000).count();
    assert!((9..=11).contains(&lowest), "{lowest} of 210");
}

/// The queue is full of less urgent work when an urgent job arrives: the least urgent job is
/// evicted.
#[test]
fn least_urgent_work_is_evicted_first() {
    let mut queue = ClassQueue::default();
    queue.push(job(1, "a", Priority::Batch), 1.0, 0);
    queue.push(job(2, "a", Priority::Normal), 100.0, 0);
    let out = queue.evict(&job(3, "a", Priority::Urgent), 500.0);
    assert_eq!(out.map(|w| w.job.id), Some(JobId(1)));
    assert!(queue.evict(&job(4, "b", Priority::Batch), 500.0).is_none());
    assert_eq!(queue.len(), 1);
}
