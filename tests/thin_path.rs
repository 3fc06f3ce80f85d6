//! The main request path over separate processes.

mod support;

use cassiagrade::schema::config::change::Op;
use serde_json::Value;
use support::{Fleet, Shape, account, call, chat_body, expected_answer};

const SHAPE: Shape = Shape {
    routers: 3,
    engines: 3,
    plains: 1,
};

/// A caller asks any router for addresses, connects to the first and gets the whole streamed
/// answer.
#[compio::test]
async fn chat_is_answered_whole() {
    let fleet = Fleet::start(SHAPE).await;
    let entry = call(
        fleet.caller(1),
        "GET",
        "/v1/entry?model=small&chat=c1",
        &[],
        "",
    )
    .await;
    let entry: Value = serde_json::from_str(&entry.unwrap().body).unwrap();
    let first = entry["addresses"][0]["addr"]
        .as_str()
        .unwrap()
        .parse()
        .unwrap();
    let body = chat_body("c1", "why does the hub grind?", 12);
    let answer = call(first, "POST", "/v1/chat/completions", &[], &body)
        .await
        .unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.complete);
    assert_eq!(
        answer.text(),
        expected_answer("why does the hub grind?", 12)
    );
    assert_eq!(answer.data().last(), Some(&"[DONE]"));
    assert!(answer.body.contains(": chunks=13"), "{}", answer.body);
    let events = fleet.events_until_now().await;
    let hopped = events.iter().any(|e| e["kind"] == "request_hopped");
    assert!(!hopped, "the entry answer must name the home");
}

/// A caller that connects to a router which is not the home is still served, over one hop.
#[compio::test]
async fn every_router_serves_every_chat() {
    let fleet = Fleet::start(SHAPE).await;
    for i in 0..9_u8 {
        let prompt = format!("prompt {i}");
        let body = chat_body(&format!("chat-{i}"), &prompt, 4);
        let addr = fleet.caller(i % 3);
        let answer = call(addr, "POST", "/v1/chat/completions", &[], &body)
            .await
            .unwrap();
        assert_eq!(answer.text(), expected_answer(&prompt, 4), "{answer:?}");
    }
    let events = fleet.events_until_now().await;
    let hopped = events.iter().any(|e| e["kind"] == "request_hopped");
    assert!(hopped, "no chat hopped to another home");
}

/// A plain service call by path, and a chat without streaming.
#[compio::test]
async fn plain_and_unstreamed_calls_are_answered() {
    let fleet = Fleet::start(SHAPE).await;
    let ticket = call(fleet.caller(0), "POST", "/records/tickets", &[], "bike 7")
        .await
        .unwrap();
    assert_eq!(ticket.status, 200, "{ticket:?}");
    let ticket: Value = serde_json::from_str(&ticket.body).unwrap();
    assert_eq!(ticket["echo"], "bike 7");
    let body = chat_body("c", "hello", 3).replace("\"stream\":true", "\"stream\":false");
    let answer = call(fleet.caller(2), "POST", "/v1/chat/completions", &[], &body)
        .await
        .unwrap();
    let answer: Value = serde_json::from_str(&answer.body).unwrap();
    let content = answer["choices"][0]["message"]["content"].as_str().unwrap();
    assert_eq!(content, expected_answer("hello", 3));
}

/// An account that an operator creates at one router can call through another right away.
#[compio::test]
async fn accepted_change_is_in_force_everywhere() {
    let fleet = Fleet::start(SHAPE).await;
    let reply = fleet
        .accept(Op::PutAccount(account("late", "another-key")))
        .await;
    for i in 0..3 {
        fleet.wait_version(i, reply.version).await;
    }
}
