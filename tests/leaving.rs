//! Draining upstreams get no new work after a few seconds, whichever router learned of it first.

mod support;

use cassiagrade::schema::config::change::Op;
use serde_json::json;
use support::{Fleet, Shape, call, chat_body, get, put, upstream, wait_until};
use test_case::test_case;

const SHAPE: Shape = Shape {
    routers: 3,
    engines: 3,
    plains: 0,
};

#[derive(Clone, Copy)]
enum DrainSource {
    List,
    Configuration,
}

/// Engine 1 is drained while its chats return through every router. Soon no router may start new
/// work there, the other engines serve its chats, and no caller is refused.
#[test_case(DrainSource::List; "by the platform's list")]
#[test_case(DrainSource::Configuration; "by the configuration")]
fn leaving_engine_gets_no_new_work(source: DrainSource) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let fleet = Fleet::start(SHAPE).await;
        assert!(chats_at_engine(&fleet, "before").await > 0);
        drain(&fleet, source).await;
        wait_until("all routers to apply the drain", || async {
            chats_at_engine(&fleet, "meanwhile").await == 0
        })
        .await;
        for round in 0..5 {
            let chats = chats_at_engine(&fleet, &format!("after-{round}")).await;
            assert_eq!(chats, 0);
        }
    });
}

async fn drain(fleet: &Fleet, source: DrainSource) {
    let engine = &fleet.engines[1];
    match source {
        DrainSource::List => {
            let line = json!({ "name": engine.name, "kind": "upstream", "leaving": true });
            put(fleet.platform.addr, "/hosts", &line.to_string()).await;
        }
        DrainSource::Configuration => {
            let Op::PutUpstream(mut drained) = upstream(engine, "draft", 1) else {
                panic!("not an upstream");
            };
            drained.draining = true;
            fleet.accept(Op::PutUpstream(drained)).await;
        }
    }
}

/// Sends 12 chats, four to each router, and returns how many of them ran at engine 1.
async fn chats_at_engine(fleet: &Fleet, name: &str) -> usize {
    let before = runs(fleet).await;
    for i in 0..12 {
        let at = fleet.caller(u8::try_from(i % 3).unwrap());
        let body = chat_body(&format!("chat-{}", i / 3), name, 2);
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
