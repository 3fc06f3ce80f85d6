//! Callers of both users' kinds, operators that race, and watches that only look.

use std::rc::Rc;
use std::time::Duration;

use cassiagrade::schema::config::change::Op;
use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};
use uuid::Uuid;

use crate::ledger::{Outcome, What};
use crate::support::{
    ACCOUNT_KEY, CallOutcome, Caller, LARGEST_KEY, Received, account, apply_at, chat_body,
    expected_answer, get, sleep_ms,
};
use crate::world::World;

pub(crate) const CRASH_MARKER: &str = "crash-this-engine";
/// Callers wait this long for an answer before they take it for lost.
const PATIENCE: Duration = Duration::from_secs(15);
/// A refused caller comes back no later than this.
const LONGEST_WAIT_MS: u64 = 5_000;
const CHATS_OF_A_CALLER: u32 = 4;
const ENTRY_TRIES: usize = 4;
/// Fewer jobs than this an engine tell nothing of a balance.
const MIN_JOBS_AN_ENGINE: usize = 2;

/// How engines behave when no fault is set.
pub(crate) fn engine_knobs() -> Value {
    json!({ "slots": 32, "step_ms": 8, "report_lag_ms": 500, "crash_marker": CRASH_MARKER })
}

/// One caller: asks, reads, thinks, and asks again until the load ends.
pub(crate) async fn caller(world: Rc<World>, n: u64, mut rng: SmallRng) {
    // Most of the load is the largest account's.
    let key = if n % 5 < 3 { LARGEST_KEY } else { ACCOUNT_KEY };
    let caller = Caller::new(key);
    let mut round = 0;
    while world.loading.get() {
        round += 1;
        match rng.random_range(0..10) {
            0..7 => chat(&world, &caller, n, round, &mut rng).await,
            7 => lookup(&world, &caller, n, round, &mut rng).await,
            _ => entry(&world, &caller, n, round, &mut rng).await,
        }
        sleep_ms(rng.random_range(0..80)).await;
    }
}

struct Called {
    outcome: Outcome,
    received: Received,
}

struct Request<'a> {
    what: What,
    method: &'a str,
    path: &'a str,
    key: &'a str,
    body: &'a str,
}

/// Calls once; `own` says whether what came belongs to the request.
async fn call_once(
    world: &World,
    caller: &Caller,
    router: u8,
    request: &Request<'_>,
    own: impl Fn(&Received) -> bool,
) -> Called {
    let from_ms = world.now_ms();
    let addr = world.callers[usize::from(router)];
    let headers = [("idempotency-key", request.key)];
    let headers = if request.key.is_empty() {
        &headers[..0]
    } else {
        &headers[..]
    };
    let call = caller.call(addr, request.method, request.path, headers, request.body);
    let received = compio::time::timeout(PATIENCE, call).await.ok().flatten();
    let began = received.is_some();
    let received = received.unwrap_or_default();
    let told = if began {
        received.outcome()
    } else {
        CallOutcome::Cut
    };
    let outcome = Outcome {
        what: request.what,
        request_id: received.header("x-request-id").to_owned(),
        key: request.key.to_owned(),
        own_content: told != CallOutcome::Served || own(&received),
        told,
        began: began && received.status == 200,
        router,
        from_ms,
        to_ms: world.now_ms(),
        came_back: false,
    };
    Called { outcome, received }
}

/// Calls, and comes back once at the time that a refusal names.
async fn call(
    world: &World,
    caller: &Caller,
    rng: &mut SmallRng,
    request: &Request<'_>,
    own: impl Fn(&Received) -> bool,
) {
    let router = draw_router(world, rng);
    let first = call_once(world, caller, router, request, &own).await;
    let told = first.outcome.told.clone();
    world.ledger.borrow_mut().outcomes.push(first.outcome);
    let CallOutcome::Refused {
        retry_after_ms,
        cause,
        ..
    } = told
    else {
        return;
    };
    if retry_after_ms == 0 || !world.loading.get() {
        return;
    }
    sleep_ms(retry_after_ms.min(LONGEST_WAIT_MS)).await;
    // A stopping router is no place to come back to: the caller asks for addresses again.
    let stopping = cause == "draining";
    let router = if stopping {
        draw_router(world, rng)
    } else {
        router
    };
    let mut again = call_once(world, caller, router, request, &own).await;
    again.outcome.came_back = true;
    world.ledger.borrow_mut().outcomes.push(again.outcome);
}

fn draw_router(world: &World, rng: &mut SmallRng) -> u8 {
    let count = u8::try_from(world.callers.len()).unwrap_or(u8::MAX);
    rng.random_range(0..count)
}

async fn chat(world: &World, caller: &Caller, n: u64, round: u32, rng: &mut SmallRng) {
    let chat = format!("chat-{n}-{}", rng.random_range(0..CHATS_OF_A_CALLER));
    let max_tokens = rng.random_range(4..60);
    let mut prompt = format!(
        "prompt {n} {round} {}",
        "history ".repeat(rng.random_range(1..60))
    );
    if world.crashers.get() > 0 {
        world.crashers.set(world.crashers.get() - 1);
        prompt.push_str(CRASH_MARKER);
    }
    let body = chat_body(&chat, &prompt, max_tokens);
    let request = Request {
        what: What::Chat,
        method: "POST",
        path: "/v1/chat/completions",
        key: "",
        body: &body,
    };
    let expected = expected_answer(&prompt, max_tokens);
    let own = |received: &Received| received.text() == expected;
    call(world, caller, rng, &request, own).await;
}

async fn lookup(world: &World, caller: &Caller, n: u64, round: u32, rng: &mut SmallRng) {
    let body = format!("tail {n} {round}");
    let request = Request {
        what: What::Lookup,
        method: "GET",
        path: "/records/tails",
        key: "",
        body: &body,
    };
    let own = |received: &Received| echo(received) == body;
    call(world, caller, rng, &request, own).await;
}

fn echo(received: &Received) -> String {
    let value: Value = serde_json::from_str(&received.body).unwrap_or_default();
    value["echo"].as_str().unwrap_or_default().to_owned()
}

/// Sends an entry, and again through another router until it is served.
async fn entry(world: &World, caller: &Caller, n: u64, round: u32, rng: &mut SmallRng) {
    let key = Uuid::now_v7().to_string();
    let body = format!("entry {n} {round}");
    let request = Request {
        what: What::Entry,
        method: "POST",
        path: "/records/entries",
        key: &key,
        body: &body,
    };
    let own = |received: &Received| echo(received) == body;
    for _ in 0..ENTRY_TRIES {
        let router = draw_router(world, rng);
        let called = call_once(world, caller, router, &request, own).await;
        let served = called.received.status == 200;
        world.ledger.borrow_mut().outcomes.push(called.outcome);
        if served {
            return;
        }
        sleep_ms(rng.random_range(20..300)).await;
    }
}

/// An operator that creates accounts at any router, against the version that it sees there.
pub(crate) async fn operator(world: &World, n: u32, mut rng: SmallRng) {
    let mut round = 0;
    while world.loading.get() {
        round += 1;
        sleep_ms(rng.random_range(300..1_500)).await;
        let name = format!("operator-{n}-{round}");
        let addr = world.operators[usize::from(draw_router(world, &mut rng))];
        let op = Op::PutAccount(account(&name, &format!("key of {name}")));
        let applied = compio::time::timeout(PATIENCE, apply_at(addr, op)).await;
        if let Ok(Ok(reply)) = applied
            && reply.accepted
        {
            world.ledger.borrow_mut().accepted.push(name);
        }
    }
}

/// A router's version must never go down while it runs.
pub(crate) async fn watch_version(world: &World, router: usize) {
    let mut last = (0, 0);
    while world.loading.get() {
        let start = world.starts.borrow()[router];
        if let Some(version) = world.version(router).await
            && world.starts.borrow()[router] == start
        {
            if start == last.0 && version < last.1 {
                let text = format!("router {router} went from {} to {version}", last.1);
                world.ledger.borrow_mut().reverts.push(text);
            }
            last = (start, version);
        }
        sleep_ms(100).await;
    }
}

/// Samples how far the busiest engine stands above the mean.
pub(crate) async fn watch_skew(world: &World) {
    while world.loading.get() {
        let mut jobs = Vec::new();
        for addr in &world.engines {
            let ask = get(*addr, "/load");
            let text = compio::time::timeout(Duration::from_millis(100), ask).await;
            let Some(text) = text.ok().flatten() else {
                continue;
            };
            let load: Value = serde_json::from_str(&text).unwrap_or_default();
            let count = |name: &str| load[name].as_u64().unwrap_or(0);
            jobs.push(usize::try_from(count("running") + count("waiting")).unwrap_or(0));
        }
        let sum: usize = jobs.iter().sum();
        let most = jobs.iter().copied().max().unwrap_or(0);
        if sum >= MIN_JOBS_AN_ENGINE * world.engines.len() {
            let skew = most as f64 * jobs.len() as f64 / sum as f64;
            world.ledger.borrow_mut().skews.push(skew);
        }
        sleep_ms(100).await;
    }
}
