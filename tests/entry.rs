//! Callers that follow their entry answers.

mod support;

use support::{ACCOUNT_KEY, Caller, Fleet, Options, chat_body};

const CHATS: usize = 20;
const TURNS: usize = 4;

/// Chats return repeatedly, each time to the first address of a fresh entry answer. New chats are
/// balanced over the engines, so a first request may hop; a returning one must be sent to the home
/// of the engine that has its prefix cached.
#[compio::test]
async fn returning_chats_reach_their_home() {
    let fleet = Fleet::start_with(Options::new(3, 6, 0)).await;
    let caller = Caller::new(ACCOUNT_KEY);
    let mut hops = Vec::new();
    for turn in 0..TURNS {
        for chat in 0..CHATS {
            let name = format!("chat-{chat}");
            let seed = fleet.caller(u8::try_from((chat + turn) % 3).unwrap());
            let path = format!("/v1/entry?model=small&chat={name}");
            let entry = caller.call(seed, "GET", &path, &[], "").await.unwrap();
            let entry: serde_json::Value = serde_json::from_str(&entry.body).unwrap();
            let first = entry["addresses"][0]["addr"].as_str().unwrap();
            let prompt = "the history of this hub ".repeat(20 * (turn + 1));
            let body = chat_body(&name, &prompt, 2);
            let answer = caller.chat(first.parse().unwrap(), &body).await.unwrap();
            assert_eq!(answer.status, 200, "{answer:?}");
            assert!(answer.complete);
        }
        let events = fleet.events_until_now().await;
        hops.push(
            events
                .iter()
                .filter(|e| e["kind"] == "request_hopped")
                .count(),
        );
    }
    let returning = hops[TURNS - 1] - hops[0];
    assert!(
        returning * 20 <= CHATS * (TURNS - 1),
        "hops by turn: {hops:?}"
    );
}
