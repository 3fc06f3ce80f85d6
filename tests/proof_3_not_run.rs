//! "Not run" is true: no request that was refused as not run is in any upstream's record.

mod support;

use cassiagrade::schema::config::change::Op;
use futures_util::future::join_all;
use serde_json::json;
use support::{
    ACCOUNT_KEY, CallOutcome, Caller, Fleet, Options, Received, chat_body, policy, set_knobs,
    sleep_ms,
};

/// Checks each "not run" refusal against the upstreams' records and returns how many there were.
fn check(fleet: &Fleet, received: &[Received]) -> usize {
    let runs = fleet.runs();
    let refused: Vec<&Received> = received.iter().filter(|r| r.not_run()).collect();
    for refusal in &refused {
        let id = refusal.header("x-request-id");
        assert!(!id.is_empty(), "{refusal:?}");
        assert_eq!(
            runs.count_by_request(id),
            0,
            "refused as not run: {refusal:?}"
        );
    }
    refused.len()
}

/// Engines die one after another under load. Some requests run halfway at an engine that is killed;
/// others never reach one. A false "not run" for the first kind would make the caller repeat work
/// that was done.
#[compio::test]
async fn refusals_are_true_while_engines_are_killed() {
    let mut fleet = Fleet::start_with(Options::new(3, 3, 1)).await;
    let caller = Caller::new(ACCOUNT_KEY);
    let addrs: Vec<_> = (0..3).map(|i| fleet.caller(i)).collect();
    let calls = (0..150_u64).map(|n| {
        let caller = caller.clone();
        let addr = addrs[usize::try_from(n % 3).unwrap()];
        async move {
            sleep_ms(n * 5).await;
            let body = chat_body(&format!("chat-{n}"), &format!("prompt {n}"), 20);
            caller.chat(addr, &body).await
        }
    });
    let load = join_all(calls);
    let faults = async {
        for i in 0..3 {
            sleep_ms(150).await;
            fleet.engines[i].kill();
        }
    };
    let (received, ()) = futures_util::join!(load, faults);
    let received: Vec<Received> = received.into_iter().flatten().collect();
    let refused = check(&fleet, &received);
    assert!(refused > 0, "no request was refused with every engine dead");
}

/// An upstream runs a request and loses the reply while the log is down too. A false "not run"
/// would make the caller run it again.
#[compio::test]
async fn lost_replies_are_never_refused_as_not_run() {
    let fleet = Fleet::start_with(Options::new(3, 0, 2)).await;
    for plain in &fleet.plains {
        set_knobs(plain.addr, &json!({ "drop_replies": 10 })).await;
    }
    set_knobs(fleet.platform.addr, &json!({ "outage": true })).await;
    let caller = Caller::new(ACCOUNT_KEY);
    let calls = (0..30_u8).map(|n| {
        let caller = caller.clone();
        let addr = fleet.caller(n % 3);
        async move {
            let path = if n % 2 == 0 {
                "/records/entries"
            } else {
                "/records/tickets"
            };
            let key = format!("key-{n}");
            let headers = [("idempotency-key", key.as_str())];
            caller.call(addr, "POST", path, &headers, "slip").await
        }
    });
    let received: Vec<Received> = join_all(calls).await.into_iter().flatten().collect();
    assert_eq!(received.len(), 30, "some caller got no answer");
    check(&fleet, &received);
}

/// A surge meets two small engines with short queues: most callers are refused at once. None of the
/// refused requests may have run, and every refusal has a retry time.
#[compio::test]
async fn overload_refusals_are_true_and_have_a_retry_time() {
    let mut options = Options::new(3, 2, 0);
    options.engine = r#"{"slots": 4, "step_ms": 5}"#.to_owned();
    let fleet = Fleet::start_with(options).await;
    let mut small = policy("draft");
    small.queue_limit = 8;
    small.queue_wait_ms = 500;
    fleet.accept(Op::PutPolicy(small)).await;
    let caller = Caller::new(ACCOUNT_KEY);
    let calls = (0..400_u32).map(|n| {
        let caller = caller.clone();
        let addr = fleet.caller(u8::try_from(n % 3).unwrap());
        async move {
            let body = chat_body(&format!("chat-{n}"), &format!("prompt {n}"), 40);
            caller.chat(addr, &body).await
        }
    });
    let received: Vec<Received> = join_all(calls).await.into_iter().flatten().collect();
    assert_eq!(received.len(), 400, "some caller got no answer");
    let refused = check(&fleet, &received);
    println!("refused {refused} of 400");
    assert!(
        refused > 0,
        "no request was refused with 400 concurrent requests"
    );
    for refusal in received.iter().filter(|r| r.not_run()) {
        let outcome = refusal.outcome();
        let has_retry_time =
            matches!(&outcome, CallOutcome::Refused { retry_after_ms, .. } if *retry_after_ms > 0);
        assert!(has_retry_time, "no retry time: {outcome:?}");
    }
}
