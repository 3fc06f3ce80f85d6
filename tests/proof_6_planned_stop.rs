//! A planned stop cuts no answers, streams included.

mod support;

use std::cell::Cell;

use futures_util::future::join_all;
use serde_json::json;
use support::{
    ACCOUNT_KEY, CallOutcome, Caller, Fleet, Options, Received, chat_body, expected_answer,
    sleep_ms,
};

const TOKENS: u32 = 60;

fn options(routers: u8) -> Options {
    let mut options = Options::new(routers, 6, 2);
    options.slots = 128;
    options.engine = json!({ "slots": 128, "step_ms": 15 }).to_string();
    options.plain = json!({ "delay_ms": 300 }).to_string();
    options
}

fn check(prompt: &str, received: Option<&Received>) {
    let received = received.unwrap_or_else(|| panic!("{prompt}: no answer"));
    assert_eq!(
        received.outcome(),
        CallOutcome::Served,
        "{prompt}: {received:?}"
    );
    assert_eq!(received.text(), expected_answer(prompt, TOKENS));
}

/// A router is stopped while callers stream through it, other routers' streams run at engines it is
/// the home of, and plain calls are in flight. The stop must not cut any of them.
#[compio::test]
async fn streams_through_and_at_the_stopping_router_are_whole() {
    let mut fleet = Fleet::start_with(options(3)).await;
    let caller = Caller::new(ACCOUNT_KEY);
    let addrs: Vec<_> = (0..3).map(|i| fleet.caller(i)).collect();
    let streams = (0..90_usize).map(|n| {
        let (caller, addr) = (caller.clone(), addrs[n % 3]);
        async move {
            let prompt = format!("draft {n}");
            let body = chat_body(&format!("chat-{n}"), &prompt, TOKENS);
            (prompt, caller.chat(addr, &body).await)
        }
    });
    let plain_calls = (0..6_usize).map(|n| {
        let (caller, addr) = (caller.clone(), addrs[n % 3]);
        async move {
            sleep_ms(150).await;
            caller.call(addr, "GET", "/records/tails", &[], "").await
        }
    });
    let router = &fleet.routers[1];
    let stop = async {
        // The plain calls are in flight and every stream has begun.
        sleep_ms(350).await;
        router.terminate();
    };
    let (streams, plain_calls, ()) =
        futures_util::join!(join_all(streams), join_all(plain_calls), stop);
    for (prompt, received) in &streams {
        check(prompt, received.as_ref());
    }
    for call in &plain_calls {
        let outcome = call.as_ref().map(Received::outcome);
        assert_eq!(outcome, Some(CallOutcome::Served), "{call:?}");
    }
    let status = fleet.routers[1].wait_exit().await;
    assert!(status.success(), "{status}");
}

/// All hosts are replaced one after another under load. Callers that find a router stopped try the
/// next address; every admitted request gets the whole answer.
#[compio::test]
async fn every_host_replaced_in_turn() {
    let mut fleet = Fleet::start_with(options(3)).await;
    let addrs: Vec<_> = (0..3).map(|i| fleet.caller(i)).collect();
    let ended = Cell::new(false);
    let ended = &ended;
    let callers = (0..30_usize).map(|n| {
        let addrs = &addrs;
        async move {
            let mut round = 0;
            while !ended.get() {
                round += 1;
                let prompt = format!("draft {n} {round}");
                let body = chat_body(&format!("chat-{n}"), &prompt, TOKENS);
                let received = chat_until_admitted(addrs, n, &body).await;
                check(&prompt, received.as_ref());
            }
            round
        }
    });
    let replace = async {
        for i in 0..3_u8 {
            sleep_ms(300).await;
            fleet.list_router(i, true).await;
            fleet.routers[usize::from(i)].terminate();
            let status = fleet.routers[usize::from(i)].wait_exit().await;
            assert!(status.success(), "router {i}: {status}");
            fleet.restart_router(i);
            fleet.list_router(i, false).await;
            fleet.wait_healthy(i).await;
            sleep_ms(1_500).await;
        }
        ended.set(true);
    };
    let (rounds, ()) = futures_util::join!(join_all(callers), replace);
    println!("{} streams whole", rounds.iter().sum::<usize>());
}

/// Tries the addresses in turn, past routers that refuse the connection or answer "not run".
async fn chat_until_admitted(
    addrs: &[std::net::SocketAddr],
    first: usize,
    body: &str,
) -> Option<Received> {
    for i in 0..60 {
        let caller = Caller::new(ACCOUNT_KEY);
        let received = caller.chat(addrs[(first + i) % addrs.len()], body).await;
        match received {
            Some(received) if received.not_run() => sleep_ms(50).await,
            Some(received) => return Some(received),
            None => sleep_ms(50).await,
        }
    }
    None
}
