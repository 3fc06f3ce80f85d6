//! A draining upstream gets no new work after a few seconds, on any path.

mod support;

use cassiagrade::schema::config::change::Op;
use futures_util::future::join_all;
use support::{
    ACCOUNT_KEY, CallOutcome, Caller, Fleet, Options, Received, chat_body, sleep_ms, upstream_at,
};

async fn send_chats(fleet: &Fleet, round: u32, count: u32) -> Vec<Received> {
    let calls = (0..count).map(|n| {
        let caller = Caller::new(ACCOUNT_KEY);
        let addr = fleet.caller(u8::try_from(n % 3).unwrap());
        async move {
            let body = chat_body(&format!("chat-{n}"), &format!("prompt {n} {round}"), 4);
            caller.chat(addr, &body).await
        }
    });
    join_all(calls).await.into_iter().flatten().collect()
}

fn served(received: &[Received]) -> usize {
    received
        .iter()
        .filter(|r| r.outcome() == CallOutcome::Served)
        .count()
}

/// An operator drains an engine. Chats whose prefix it has cached return to it by affinity;
/// requests of a dying engine are retried; requests hop through routers, one of which just woke
/// from a freeze and one of which can't reach the log. None of these paths may choose the draining
/// engine.
#[compio::test]
async fn draining_engine_gets_nothing_by_hop_retry_or_affinity() {
    let mut options = Options::new(3, 4, 0);
    options.platform_relays = true;
    let mut fleet = Fleet::start_with(options).await;
    for round in 0..2 {
        send_chats(&fleet, round, 60).await;
    }
    let before = fleet.runs().count_at("engine-1");
    assert!(before > 0, "the engine served no chats before the drain");

    // Router 2 is frozen during the change and can't reach the log when it wakes.
    fleet.routers[2].freeze();
    let relay = &fleet.platform_relays[2];
    relay
        .set(serde_json::json!({ "refuse": true, "cut": true }))
        .await;
    let mut leaving = upstream_at("engine-1", "draft", 1, fleet.engines[1].addr);
    leaving.draining = true;
    let version = fleet.accept(Op::PutUpstream(leaving)).await.version;
    sleep_ms(500).await;
    fleet.routers[2].unfreeze();
    for i in 0..3 {
        fleet.wait_version(i, version).await;
    }
    let runs_after_drain = fleet.runs().count_at("engine-1");

    fleet.engines[3].kill();
    let received = send_chats(&fleet, 9, 120).await;
    println!("{} of {} served", served(&received), received.len());
    assert!(served(&received) > 0);
    assert_eq!(
        fleet.runs().count_at("engine-1"),
        runs_after_drain,
        "new work after the drain"
    );
}

/// One of two engines drains and the other dies: requests must be refused, not sent to the draining
/// engine.
#[compio::test]
async fn draining_engine_gets_nothing_even_as_the_last_one() {
    let mut fleet = Fleet::start_with(Options::new(3, 2, 0)).await;
    let mut leaving = upstream_at("engine-0", "draft", 0, fleet.engines[0].addr);
    leaving.draining = true;
    let version = fleet.accept(Op::PutUpstream(leaving)).await.version;
    for i in 0..3 {
        fleet.wait_version(i, version).await;
    }
    fleet.engines[1].kill();
    let received = send_chats(&fleet, 0, 30).await;
    assert_eq!(received.len(), 30, "some caller got no answer");
    assert!(received.iter().all(Received::not_run), "{received:?}");
    assert_eq!(fleet.runs().count_at("engine-0"), 0);
}
