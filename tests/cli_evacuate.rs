//! `cassiagrade evacuate`.

mod support;

use std::cell::Cell;

use support::{Fleet, Shape, WorkDir, call, chat_body, get, wait_until};

const SHAPE: Shape = Shape {
    routers: 3,
    engines: 3,
    plains: 0,
};

/// An operator evacuates the data centre of engine 1 while chats return through every router. Soon
/// none of them runs there and no caller is refused; after the evacuation is undone, the engine
/// gets work again.
#[compio::test]
async fn data_center_is_evacuated_and_restored() {
    let fleet = Fleet::start(SHAPE).await;
    let work = WorkDir::for_fleet(&fleet);
    let sent = Cell::new(0);
    assert!(chats_at_engine(&fleet, &sent).await > 0);
    work.ok(&["evacuate", "dc-1"]);
    assert!(work.ok(&["config"]).contains("evacuated  dc-1"));
    assert!(work.ok(&["fleet"]).contains("evacuated: dc-1"));
    wait_until("all routers to apply the evacuation", || async {
        chats_at_engine(&fleet, &sent).await == 0
    })
    .await;
    for _ in 0..3 {
        assert_eq!(chats_at_engine(&fleet, &sent).await, 0);
    }
    work.ok(&["evacuate", "dc-1", "--undo"]);
    wait_until("new work at the engine", || async {
        chats_at_engine(&fleet, &sent).await > 0
    })
    .await;
    assert!(!work.ok(&["config"]).contains("evacuated"));
    work.fails(8, &["evacuate", "dc-77"]);
    work.fails(1, &["evacuate"]);
}

/// Sends 12 more chats, four to each router, and returns how many of them ran at engine 1.
async fn chats_at_engine(fleet: &Fleet, sent: &Cell<u32>) -> usize {
    let before = runs(fleet).await;
    for i in 0..12 {
        let at = fleet.caller(u8::try_from(i % 3).unwrap());
        let chat = format!("chat-{}", sent.replace(sent.get() + 1));
        let body = chat_body(&chat, "a label", 2);
        let answer = call(at, "POST", "/v1/chat/completions", &[], &body).await;
        assert_eq!(answer.unwrap().status, 200);
    }
    runs(fleet).await - before
}

async fn runs(fleet: &Fleet) -> usize {
    let runs = get(fleet.engines[1].addr, "/runs").await.unwrap();
    let runs: Vec<standins::engine::Run> = serde_json::from_str(&runs).unwrap();
    runs.len()
}
