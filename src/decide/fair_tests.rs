use std::collections::HashMap;

use proptest::prelude::*;

use crate::decide::fair::{FairQueue, PASS_LIMIT};
use crate::decide::{ChatKey, Cost, Job, JobId, Name, Priority};

fn job(id: u64, account: &str, weight: f64) -> Job {
    Job {
        id: JobId(id),
        account: account.into(),
        weight,
        priority: Priority::Normal,
        chat: ChatKey(id),
        cost: Cost::default(),
        deadline_ms: u64::MAX,
        last_choice: true,
        suspect: false,
    }
}

/// Batch work waits behind a constant backlog of urgent work. It still gets its sixteenth.
#[test]
fn lowest_class_is_not_starved() {
    let mut queue = FairQueue::default();
    for id in 0..340 {
        let mut urgent = job(id, "a", 1.0);
        urgent.priority = Priority::Urgent;
        queue.push(urgent, 100.0, 0);
    }
    for id in 1_000..1_020 {
        let mut batch = job(id, "a", 1.0);
        batch.priority = Priority::Batch;
        queue.push(batch, 100.0, 0);
    }
    let first: Vec<_> = (0..170).filter_map(|_| queue.pop(|_| true)).collect();
    let batch = first.iter().filter(|w| w.job.id.0 >= 1_000).count();
    assert!((9..=11).contains(&batch), "{batch}");
}

/// An account's long job is queued first, and its short ones keep arriving behind it. They may pass
/// the long one, but only a limited number of times.
#[test]
fn long_job_is_passed_a_few_times_only() {
    let mut queue = FairQueue::default();
    queue.push(job(0, "a", 1.0), 10_000.0, 0);
    for id in 1..20 {
        queue.push(job(id, "a", 1.0), 10.0, 0);
    }
    let order = (0..20).filter_map(|_| queue.pop(|_| true));
    let at = order.into_iter().position(|w| w.job.id == JobId(0));
    assert_eq!(at, Some(PASS_LIMIT as usize));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// While two accounts both wait, neither gets ahead of its weight's share by more than one
    /// job's work over weight each.
    #[test]
    fn backlogged_accounts_differ_by_one_job(
        jobs in proptest::collection::vec((0_usize..3, 1.0_f64..1_000.0), 60..200),
        weights in proptest::array::uniform3(0.5_f64..4.0),
    ) {
        let names: Vec<Name> = ["a", "b", "c"].map(Into::into).to_vec();
        let mut queue = FairQueue::default();
        let mut waiting = [0_usize; 3];
        let mut largest = [0.0_f64; 3];
        for (id, (account, work_ms)) in jobs.iter().enumerate() {
            queue.push(job(id as u64, &names[*account], weights[*account]), *work_ms, 0);
            waiting[*account] += 1;
            largest[*account] = largest[*account].max(work_ms / weights[*account]);
        }
        let mut served: HashMap<Name, f64> = HashMap::new();
        while let Some(next) = queue.pop(|_| true) {
            let at = names.iter().position(|n| *n == next.job.account).unwrap();
            waiting[at] -= 1;
            *served.entry(names[at].clone()).or_default() += next.work_ms / weights[at];
            if waiting.contains(&0) {
                break;
            }
            for i in 0..3 {
                for k in 0..3 {
                    let got = |n: usize| served.get(&names[n]).copied().unwrap_or(0.0);
                    let apart = got(i) - got(k);
                    prop_assert!(apart <= largest[i] + largest[k] + 1e-6, "{apart}");
                }
            }
        }
    }

    /// Every job that is pushed is returned once, whatever is removed or evicted in between.
    #[test]
    fn no_job_is_lost_or_doubled(steps in proptest::collection::vec((0_u8..4, 0_u64..40), 1..200)) {
        let mut queue = FairQueue::default();
        let mut inside = std::collections::BTreeSet::new();
        for (id, (what, pick)) in steps.iter().enumerate() {
            let id = id as u64;
            let new = job(id, if pick % 2 == 0 { "a" } else { "b" }, 1.0);
            let out = match what {
                0 => queue.pop(|_| true),
                1 => queue.remove(JobId(*pick)),
                2 => queue.evict(&new, 1.0),
                _ => {
                    queue.push(new, 1.0 + *pick as f64, 0);
                    inside.insert(JobId(id));
                    None
                }
            };
            if let Some(out) = out {
                prop_assert!(inside.remove(&out.job.id));
            }
            prop_assert_eq!(queue.len(), inside.len());
        }
        while let Some(out) = queue.pop(|_| true) {
            prop_assert!(inside.remove(&out.job.id));
        }
        prop_assert!(inside.is_empty());
        prop_assert_eq!(queue.work_ms(), 0.0);
    }
}
