//! Answers that break off midway are resumed.

mod support;

use std::net::SocketAddr;

use cassiagrade::schema::config::change::Op;
use serde_json::json;
use support::{Fleet, Shape, call, chat_body, expected_answer, get, set_knobs, wait_until};

const SHAPE: Shape = Shape {
    routers: 3,
    engines: 3,
    plains: 0,
};
const TOKENS: u32 = 60;

/// The connection to the engine is cut after the first token. The engine continues; the router
/// resumes the same stream by offset, and the caller sees no interruption.
#[compio::test]
async fn cut_stream_is_resumed_at_the_same_engine() {
    let fleet = Fleet::start(SHAPE).await;
    for engine in &fleet.engines {
        set_knobs(engine.addr, &json!({ "cut_streams": 1 })).await;
    }
    let body = chat_body("c", "torque of the crank bolt?", TOKENS);
    let answer = call(fleet.caller(0), "POST", "/v1/chat/completions", &[], &body)
        .await
        .unwrap();
    assert!(answer.complete, "{answer:?}");
    assert_eq!(
        answer.text(),
        expected_answer("torque of the crank bolt?", TOKENS)
    );
    assert_eq!(runs(&fleet).await, 1, "a resumed stream must not run again");
}

/// The engine is killed while it streams. Another one continues from the text already delivered.
#[compio::test]
async fn killed_engine_is_replaced_midway() {
    let mut fleet = Fleet::start(SHAPE).await;
    let prompt = "which lockring fits?";
    let body = chat_body("c", prompt, TOKENS);
    let caller = fleet.caller(0);
    let answer = compio::runtime::spawn(async move {
        call(caller, "POST", "/v1/chat/completions", &[], &body).await
    });
    let victim = streaming_engine(&fleet).await;
    fleet.engines[victim].child.kill().unwrap();
    let answer = answer.await.unwrap().unwrap();
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.text(), expected_answer(prompt, TOKENS));
    assert_eq!(answer.data().last(), Some(&"[DONE]"));
}

/// A caller disconnects midway. Its engine is notified and stops generating.
#[compio::test]
async fn disconnected_caller_frees_its_slot() {
    let fleet = Fleet::start(SHAPE).await;
    let body = chat_body("c", "long", 2_000);
    let caller = fleet.caller(0);
    let answer = compio::runtime::spawn(async move {
        call(caller, "POST", "/v1/chat/completions", &[], &body).await
    });
    let engine = fleet.engines[streaming_engine(&fleet).await].addr;
    drop(answer);
    for engine in &fleet.engines {
        set_knobs(engine.addr, &json!({ "report_lag_ms": 0 })).await;
    }
    wait_until("a free slot", || async {
        let load = get(engine, "/load").await.unwrap();
        load.contains("\"running\":0")
    })
    .await;
}

async fn runs(fleet: &Fleet) -> usize {
    let mut count = 0;
    for engine in &fleet.engines {
        let runs = get(engine.addr, "/runs").await.unwrap();
        let runs: Vec<standins::engine::Run> = serde_json::from_str(&runs).unwrap();
        count += runs.len();
    }
    count
}

/// Waits until some engine has sent a few tokens and returns its index.
async fn streaming_engine(fleet: &Fleet) -> usize {
    for _ in 0..10_000 {
        for (i, engine) in fleet.engines.iter().enumerate() {
            let runs = get(engine.addr, "/runs").await.unwrap();
            let runs: Vec<standins::engine::Run> = serde_json::from_str(&runs).unwrap();
            if runs.iter().any(|run| run.sent_tokens > 3) {
                return i;
            }
        }
    }
    panic!("no engine is streaming");
}

/// The only slot is taken. A second caller waits in the home's queue, one hop away, and
/// disconnects. When the slot frees, its request must not run.
#[compio::test]
async fn caller_that_disconnects_while_queued_is_never_run() {
    let fleet = Fleet::start(Shape {
        routers: 2,
        engines: 1,
        plains: 0,
    })
    .await;
    let Op::PutUpstream(mut engine) = support::upstream(&fleet.engines[0], "draft", 0) else {
        panic!("not an upstream");
    };
    engine.slots = 1;
    let reply = fleet.accept(Op::PutUpstream(engine)).await;
    for i in 0..2 {
        fleet.wait_version(i, reply.version).await;
    }
    let long = send(fleet.caller(0), "c1", "long", 100);
    streaming_engine(&fleet).await;
    let mut queued = Vec::new();
    for i in 0..2 {
        queued.push(send(fleet.caller(i), "c2", "queued", 5));
    }
    wait_until("both requests in the queue", || async {
        let mut count = 0;
        for i in 0..2 {
            let state = fleet.operator(i).await.unwrap().fleet().await.unwrap();
            count += state.upstreams.iter().map(|u| u.queued).sum::<u32>();
        }
        count == 2
    })
    .await;
    drop(queued);
    assert!(long.await.unwrap().unwrap().complete);
    let body = chat_body("c3", "after", 5);
    let after = call(fleet.caller(0), "POST", "/v1/chat/completions", &[], &body).await;
    assert!(after.unwrap().complete);
    assert_eq!(
        runs(&fleet).await,
        2,
        "only the running request and the one after it may run"
    );
}

type Answer = compio::runtime::JoinHandle<Option<support::Received>>;

fn send(caller: SocketAddr, chat: &str, prompt: &str, tokens: u32) -> Answer {
    let body = chat_body(chat, prompt, tokens);
    compio::runtime::spawn(
        async move { call(caller, "POST", "/v1/chat/completions", &[], &body).await },
    )
}

/// An engine answers under another request's id before the first token. The answer is dropped, the
/// request retried, and its caller gets its own answer whole.
#[compio::test]
async fn crossed_answer_is_retried() {
    let fleet = Fleet::start(SHAPE).await;
    for engine in &fleet.engines {
        set_knobs(engine.addr, &json!({ "cross_answers": 1 })).await;
    }
    let body = chat_body("c", "mine", 5);
    let answer = call(fleet.caller(0), "POST", "/v1/chat/completions", &[], &body)
        .await
        .unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.text(), expected_answer("mine", 5));
}

/// The only engine crashes during the first attempt, which may have run, and the second attempt
/// finds no engine. The request must not be refused as not run, although its second attempt did not
/// run.
#[compio::test]
async fn not_run_covers_all_attempts() {
    let mut fleet = Fleet::start(Shape {
        routers: 1,
        engines: 1,
        plains: 0,
    })
    .await;
    let knobs = json!({ "crash_marker": "poison", "step_ms": 5 });
    set_knobs(fleet.engines[0].addr, &knobs).await;
    let body = chat_body("c", "poison", 5);
    let answer = call(fleet.caller(0), "POST", "/v1/chat/completions", &[], &body)
        .await
        .unwrap();
    assert_ne!(answer.status, 200, "{answer:?}");
    assert!(
        answer.body.contains("\"run_state\":\"unknown\""),
        "{}",
        answer.body
    );
    fleet.engines[0].kill();
}
