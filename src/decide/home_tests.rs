use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::decide::home::{Home, HomePolicy, Offer, Ready, SUSPECT_ISOLATION_MS};
use crate::decide::refusal::{Cause, RunState};
use crate::decide::take_over::TAKE_OVER_MS;
use crate::decide::{ChatKey, Cost, Job, JobId, PoolView, Priority};

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(1)
}

fn job(id: u64) -> Job {
    Job {
        id: JobId(id),
        account: "acme".into(),
        weight: 1.0,
        priority: Priority::Normal,
        chat: ChatKey(id),
        cost: Cost {
            prompt_tokens: 100,
            cached_tokens: 0,
            output_tokens: 10,
        },
        deadline_ms: 10_000,
        last_choice: true,
        suspect: false,
    }
}

fn home(slots: u32, queue_limit: usize) -> Home {
    Home::new(HomePolicy {
        slots,
        queue_limit,
        ..HomePolicy::default()
    })
}

fn pool(mean_work_ms: f64) -> PoolView {
    PoolView {
        mean_work_ms,
        upstreams: 3,
        known: 3,
        free_slots: 0,
    }
}

/// Two jobs arrive at an engine with one slot. The second waits, and starts when the first ends.
#[test]
fn queued_job_starts_when_a_slot_frees() {
    let mut home = home(1, 8);
    let rng = &mut rng();
    assert_eq!(home.offer(job(1), pool(0.0), 0, rng), Offer::Start);
    assert_eq!(home.offer(job(2), pool(0.0), 0, rng), Offer::Queued);
    assert_eq!(home.poll(0, rng), None);
    home.finish(JobId(1), 100);
    assert_eq!(home.poll(100, rng), Some(Ready::Start(JobId(2))));
}

/// A job would have to wait here while another engine has free slots: it is redirected, and waits
/// here only if no other engine took it.
#[test]
fn full_engine_redirects_while_others_have_free_slots() {
    let mut home = home(1, 8);
    let rng = &mut rng();
    let free = PoolView {
        free_slots: 5,
        ..pool(f64::INFINITY)
    };
    assert_eq!(home.offer(job(1), free, 0, rng), Offer::Start);
    let mut second = job(2);
    second.last_choice = false;
    assert_eq!(home.offer(second.clone(), free, 0, rng), Offer::Full);
    second.last_choice = true;
    assert_eq!(home.offer(second, free, 0, rng), Offer::Queued);
}

/// The queue is long and the caller's deadline near. Waiting would end in a timeout, so the job is
/// refused at once with a retry time.
#[test]
fn hopeless_wait_is_refused_on_arrival() {
    let mut home = home(1, 100);
    let rng = &mut rng();
    for id in 0..30 {
        let mut unhurried = job(id);
        unhurried.deadline_ms = 1_000_000;
        home.offer(unhurried, pool(0.0), 0, rng);
    }
    let Offer::Refused(refusal) = home.offer(job(99), pool(0.0), 0, rng) else {
        panic!("a job that can't be served in time was queued");
    };
    assert_eq!(refusal.cause, Cause::Deadline);
    assert_eq!(refusal.run, RunState::NotRun);
    // 30 jobs of 413 ms wait or run before it.
    assert!(refusal.retry_after_ms > 10_000, "{refusal:?}");
}

/// A job waits longer than predicted. It is refused as soon as it can't be answered in time any
/// more, not only at its deadline.
#[test]
fn queued_job_is_refused_before_its_deadline() {
    let mut home = home(1, 8);
    let rng = &mut rng();
    for id in 0..10 {
        home.offer(job(id), pool(0.0), 0, rng);
        home.finish(JobId(id), 413);
    }
    let mut slow = job(20);
    slow.deadline_ms = 100_000;
    assert_eq!(home.offer(slow, pool(0.0), 1_000, rng), Offer::Start);
    assert_eq!(home.offer(job(21), pool(0.0), 1_000, rng), Offer::Queued);
    assert_eq!(home.poll(9_500, rng), None);
    let Some(Ready::Refused(JobId(21), refusal)) = home.poll(9_700, rng) else {
        panic!("still waiting 300 ms before its deadline, for 413 ms of work");
    };
    assert_eq!(refusal.cause, Cause::Deadline);
    assert!(refusal.retry_after_ms > 0);
}

/// The largest account has filled the queue when a small account's job arrives. The small one is
/// queued, and the largest one's newest job is refused at once.
#[test]
fn full_queue_evicts_from_the_largest_account() {
    let mut home = home(1, 4);
    let rng = &mut rng();
    for id in 0..5 {
        home.offer(job(id), pool(0.0), 0, rng);
    }
    let mut small = job(9);
    small.account = "small".into();
    assert_eq!(home.offer(small, pool(0.0), 0, rng), Offer::Queued);
    let Some(Ready::Refused(JobId(4), refusal)) = home.poll(0, rng) else {
        panic!("no job was evicted");
    };
    assert_eq!(refusal.cause, Cause::QueueFull);
    assert!(refusal.retry_after_ms > 0);
    let Offer::Refused(refusal) = home.offer(job(10), pool(0.0), 0, rng) else {
        panic!("the largest account got another place in the queue");
    };
    assert_eq!(refusal.cause, Cause::QueueFull);
}

/// A router takes over an engine that runs 30 jobs of its earlier home. It must not start another
/// 32 beside them; once the engine reports that they ended, it may.
#[test]
fn new_home_starts_slowly() {
    let mut home = home(32, 100);
    let rng = &mut rng();
    home.inherit(30, 12_000.0, 0);
    for id in 0..2 {
        assert_eq!(home.offer(job(id), pool(0.0), 0, rng), Offer::Start);
    }
    assert_eq!(home.offer(job(2), pool(0.0), 0, rng), Offer::Queued);
    let mut first = job(3);
    first.last_choice = false;
    assert_eq!(home.offer(first, pool(5_000.0), 0, rng), Offer::OverBound);
    home.reported(2, 1_000);
    assert_eq!(home.poll(1_000, rng), Some(Ready::Start(JobId(2))));
    let mut last = job(4);
    last.deadline_ms = 2 * TAKE_OVER_MS;
    let offer = home.offer(last, pool(0.0), TAKE_OVER_MS, rng);
    assert_eq!(offer, Offer::Start);
}

/// An engine's lagging report says that nothing runs after this home has started a job, with
/// nothing inherited. Failure guarded against: the division of zero by zero counts all slots as
/// taken for good, and callers wait until their deadlines.
#[test]
fn lagging_report_leaves_the_slots_free() {
    let mut home = home(2, 8);
    let rng = &mut rng();
    assert_eq!(home.offer(job(1), pool(0.0), 0, rng), Offer::Start);
    home.reported(0, 10);
    assert_eq!(home.offer(job(2), pool(0.0), 20, rng), Offer::Start);
}

/// Two suspects arrive at one engine. The second waits until the first has run for a while; a
/// request that isn't a suspect waits for neither.
#[test]
fn suspects_start_apart() {
    let mut home = home(8, 8);
    let rng = &mut rng();
    let suspect = |id| Job {
        suspect: true,
        ..job(id)
    };
    assert_eq!(home.offer(suspect(1), pool(0.0), 0, rng), Offer::Start);
    assert_eq!(home.offer(suspect(2), pool(0.0), 1, rng), Offer::Queued);
    assert_eq!(home.poll(1, rng), None);
    let next = home.poll(SUSPECT_ISOLATION_MS, rng);
    assert_eq!(next, Some(Ready::Start(JobId(2))));
    assert_eq!(home.offer(job(3), pool(0.0), 2, rng), Offer::Start);
}

#[derive(Clone, Debug)]
enum Step {
    Offer {
        account: u8,
        output_tokens: u32,
        timeout_ms: u64,
        last_choice: bool,
        priority: Priority,
    },
    Finish(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let priority = prop_oneof![
        Just(Priority::Urgent),
        Just(Priority::Normal),
        Just(Priority::Batch)
    ];
    let offer = (0_u8..4, 1_u32..400, 1_u64..60_000, any::<bool>(), priority);
    let offer = offer.prop_map(
        |(account, output_tokens, timeout_ms, last_choice, priority)| Step::Offer {
            account,
            output_tokens,
            timeout_ms,
            last_choice,
            priority,
        },
    );
    prop_oneof![
        4 => offer,
        2 => any::<usize>().prop_map(Step::Finish),
        1 => (1_u64..5_000).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    /// For any sequence of steps: no job waits while a slot is free; a job that isn't a last choice
    /// never raises the upstream above its bound; every refusal is marked as not run and has a
    /// retry time unless the deadline had passed; and every job ends once.
    #[test]
    fn admission_invariants_hold(
        steps in proptest::collection::vec(step(), 1..150),
        mean_work_ms in 1_000.0_f64..20_000.0,
    ) {
        let rng = &mut rng();
        let mut home = home(4, 10);
        let mut now_ms = 1;
        let (mut running, mut waiting) = (Vec::new(), Vec::new());
        for (id, step) in steps.into_iter().enumerate() {
            let id = JobId(id as u64);
            match step {
                Step::Wait(ms) => now_ms += ms,
                Step::Finish(at) if !running.is_empty() => {
                    let at = at % running.len();
                    home.finish(running.swap_remove(at), now_ms);
                }
                Step::Finish(_) => {}
                Step::Offer { account, output_tokens, timeout_ms, last_choice, priority } => {
                    let mut new = job(id.0);
                    new.account = format!("account-{account}").into();
                    new.cost.output_tokens = output_tokens;
                    new.deadline_ms = now_ms + timeout_ms;
                    new.last_choice = last_choice;
                    new.priority = priority;
                    let idle = home.work_ms() == 0.0;
                    match home.offer(new, pool(mean_work_ms), now_ms, rng) {
                        Offer::Start => running.push(id),
                        Offer::Queued => waiting.push(id),
                        Offer::OverBound | Offer::Full => prop_assert!(!last_choice),
                        Offer::Refused(refusal) => {
                            prop_assert_eq!(refusal.run, RunState::NotRun);
                            prop_assert!(refusal.retry_after_ms > 0);
                        }
                    }
                    let admitted = running.last() == Some(&id) || waiting.last() == Some(&id);
                    if admitted && !last_choice && !idle {
                        prop_assert!(home.work_ms() <= 1.25 * mean_work_ms);
                    }
                }
            }
            while let Some(ready) = home.poll(now_ms, rng) {
                let (Ready::Start(id) | Ready::Refused(id, _)) = &ready;
                let at = waiting.iter().position(|w| w == id);
                prop_assert!(at.is_some(), "{:?} wasn't waiting", ready);
                waiting.swap_remove(at.unwrap());
                match ready {
                    Ready::Start(id) => running.push(id),
                    Ready::Refused(_, refusal) => {
                        prop_assert_eq!(refusal.run, RunState::NotRun);
                        prop_assert!(refusal.retry_after_ms > 0);
                    }
                }
            }
            prop_assert_eq!(home.in_flight(), running.len());
            prop_assert_eq!(home.queued(), waiting.len());
            prop_assert!(running.len() == 4 || waiting.is_empty(), "a slot idles");
            prop_assert!(waiting.len() <= 10);
        }
    }
}
