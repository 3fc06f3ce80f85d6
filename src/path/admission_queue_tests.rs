use std::rc::Rc;

use futures_util::FutureExt;
use test_case::test_case;

use super::admission_queue::AdmissionQueues;
use super::dialect::AnswerHead;
use super::regions::Regions;
use super::router_state::{RetryLimit, RouterState};
use super::upstreams::Upstream;
use crate::decide::{ChatKey, Cost, Job, Priority};
use crate::fleet::gossip::Gossip;
use crate::util::{Clock, Name};

const UPSTREAMS: u8 = 2;
const SLOTS: u32 = 4;

fn upstream(i: u8) -> Upstream {
    Upstream {
        id: format!("i-{i}").into(),
        service: "s".into(),
        addr: ([127, 0, 0, 1], 80).into(),
        data_center: "north".into(),
        slots: SLOTS,
        started_ms: 5,
        draining: false,
        cold_ms: 0,
        software: None,
    }
}

fn state() -> RouterState {
    let (gossip, _, _) = Gossip::open();
    let limit = RetryLimit {
        share: 0.2,
        burst: 10.0,
    };
    let state = RouterState::new(limit, "north".into(), Regions::parse("north=home"), gossip);
    for i in 0..UPSTREAMS {
        state.change_upstreams(|upstreams| upstreams.put(upstream(i)));
    }
    state
}

fn job(queues: &AdmissionQueues, clock: Clock) -> Job {
    Job {
        id: queues.next_id(),
        account: "a".into(),
        weight: 1.0,
        priority: Priority::Normal,
        chat: ChatKey::default(),
        cost: Cost::default(),
        deadline_ms: clock.now_ms() + 60_000,
        last_choice: true,
        suspect: false,
    }
}

/// Requests wait for a full service, all upstreams of which then want no requests or shut down. They
/// must not be kept until their time in the queue is over, only to be refused then.
#[test_case(&AnswerHead { pushback_ms: Some(60_000), ..AnswerHead::default() }; "pushback")]
#[test_case(&AnswerHead { is_leaving: true, ..AnswerHead::default() }; "shutdown")]
fn queued_requests_are_not_kept_without_an_upstream(notice: &AnswerHead) {
    const OBJECTIVE_MS: u64 = 60_000;
    let (state, clock) = (state(), Clock::start());
    let queues: Rc<AdmissionQueues> = AdmissionQueues::open(clock);
    let service: Name = "s".into();
    let acquire = || Box::pin(queues.acquire(&service, job(&queues, clock), OBJECTIVE_MS));
    let mut started = vec![acquire().now_or_never().unwrap()];
    queues.refresh(&state);
    let mut waiting = loop {
        let mut next = acquire();
        match (&mut next).now_or_never() {
            Some(permit) => started.push(permit),
            None => break next,
        }
    };
    for i in 0..UPSTREAMS {
        state.record_notices(&upstream(i), notice, clock.now_ms());
    }
    queues.refresh(&state);
    let ended = (&mut waiting).now_or_never();
    assert!(ended.is_some_and(|permit| permit.is_ok()));
}
