//! Callers of engines and plain services, concurrent operators, and read-only monitors.

use std::rc::Rc;
use std::time::Duration;

use cassiagrade::schema::config::change::Op;
use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};
use uuid::Uuid;

use crate::harness::Harness;
use crate::ledger::{Outcome, RequestKind};
use crate::support::{
    ACCOUNT_KEY, CallOutcome, Caller, LARGEST_KEY, Received, account, apply_at, chat_body,
    expected_answer, get, sleep_ms,
};

pub(crate) const CRASH_MARKER: &str = "crash-this-engine";
/// Time after which callers treat a response as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum delay before a refused caller retries.
const MAX_RETRY_DELAY_MS: u64 = 5_000;
const CHATS_PER_CALLER: u32 = 4;
const ENTRY_ATTEMPTS: usize = 4;
/// Minimum mean number of jobs per engine for a sample; with fewer, the ratio isn't meaningful.
const MIN_JOBS_PER_ENGINE: usize = 2;

/// Returns the knobs of an engine without faults.
pub(crate) fn engine_knobs() -> Value {
    json!({ "slots": 32, "step_ms": 8, "report_lag_ms": 500, "crash_marker": CRASH_MARKER })
}

/// Runs one caller, which sends requests with pauses in between until the load ends.
pub(crate) async fn caller(harness: Rc<Harness>, n: u64, mut rng: SmallRng) {
    // Three fifths of the callers belong to the largest account.
    let key = if n % 5 < 3 { LARGEST_KEY } else { ACCOUNT_KEY };
    let caller = Caller::new(key);
    let mut round = 0;
    while harness.load_active.get() {
        round += 1;
        match rng.random_range(0..10) {
            0..7 => chat(&harness, &caller, n, round, &mut rng).await,
            7 => lookup(&harness, &caller, n, round, &mut rng).await,
            _ => entry(&harness, &caller, n, round, &mut rng).await,
        }
        sleep_ms(rng.random_range(0..80)).await;
    }
}

struct Called {
    outcome: Outcome,
    received: Received,
}

struct Request<'a> {
    kind: RequestKind,
    method: &'a str,
    path: &'a str,
    key: &'a str,
    body: &'a str,
}

/// Sends a request once; `is_own` returns whether the response belongs to the request.
async fn call_once(
    harness: &Harness,
    caller: &Caller,
    router: u8,
    request: &Request<'_>,
    is_own: impl Fn(&Received) -> bool,
) -> Called {
    let from_ms = harness.now_ms();
    let addr = harness.callers[usize::from(router)];
    let headers = [("idempotency-key", request.key)];
    let headers = if request.key.is_empty() {
        &headers[..0]
    } else {
        &headers[..]
    };
    let call = caller.call(addr, request.method, request.path, headers, request.body);
    let received = compio::time::timeout(CALL_TIMEOUT, call)
        .await
        .ok()
        .flatten();
    let began = received.is_some();
    let received = received.unwrap_or_default();
    let result = if began {
        received.outcome()
    } else {
        CallOutcome::Cut
    };
    let outcome = Outcome {
        kind: request.kind,
        request_id: received.header("x-request-id").to_owned(),
        key: request.key.to_owned(),
        content_matches: result != CallOutcome::Served || is_own(&received),
        result,
        began: began && received.status == 200,
        router,
        from_ms,
        to_ms: harness.now_ms(),
        is_retry: false,
    };
    Called { outcome, received }
}

/// Sends a request, and retries once at the time given by a refusal.
async fn call(
    harness: &Harness,
    caller: &Caller,
    rng: &mut SmallRng,
    request: &Request<'_>,
    is_own: impl Fn(&Received) -> bool,
) {
    let router = random_router(harness, rng);
    let first = call_once(harness, caller, router, request, &is_own).await;
    let result = first.outcome.result.clone();
    harness.ledger.borrow_mut().outcomes.push(first.outcome);
    let CallOutcome::Refused {
        retry_after_ms,
        cause,
        ..
    } = result
    else {
        return;
    };
    if retry_after_ms == 0 || !harness.load_active.get() {
        return;
    }
    sleep_ms(retry_after_ms.min(MAX_RETRY_DELAY_MS)).await;
    // A draining router won't accept the retry, so the caller selects a router again.
    let stopping = cause == "draining";
    let router = if stopping {
        random_router(harness, rng)
    } else {
        router
    };
    let mut retry = call_once(harness, caller, router, request, &is_own).await;
    retry.outcome.is_retry = true;
    harness.ledger.borrow_mut().outcomes.push(retry.outcome);
}

fn random_router(harness: &Harness, rng: &mut SmallRng) -> u8 {
    let count = u8::try_from(harness.callers.len()).unwrap_or(u8::MAX);
    rng.random_range(0..count)
}

async fn chat(harness: &Harness, caller: &Caller, n: u64, round: u32, rng: &mut SmallRng) {
    let chat = format!("chat-{n}-{}", rng.random_range(0..CHATS_PER_CALLER));
    let max_tokens = rng.random_range(4..60);
    let mut prompt = format!(
        "prompt {n} {round} {}",
        "history ".repeat(rng.random_range(1..60))
    );
    if harness.crash_requests_left.get() > 0 {
        harness
            .crash_requests_left
            .set(harness.crash_requests_left.get() - 1);
        prompt.push_str(CRASH_MARKER);
    }
    let body = chat_body(&chat, &prompt, max_tokens);
    let request = Request {
        kind: RequestKind::Chat,
        method: "POST",
        path: "/v1/chat/completions",
        key: "",
        body: &body,
    };
    let expected = expected_answer(&prompt, max_tokens);
    let is_own = |received: &Received| received.text() == expected;
    call(harness, caller, rng, &request, is_own).await;
}

async fn lookup(harness: &Harness, caller: &Caller, n: u64, round: u32, rng: &mut SmallRng) {
    let body = format!("tail {n} {round}");
    let request = Request {
        kind: RequestKind::Lookup,
        method: "GET",
        path: "/records/tails",
        key: "",
        body: &body,
    };
    let is_own = |received: &Received| echo(received) == body;
    call(harness, caller, rng, &request, is_own).await;
}

fn echo(received: &Received) -> String {
    let value: Value = serde_json::from_str(&received.body).unwrap_or_default();
    value["echo"].as_str().unwrap_or_default().to_owned()
}

/// Sends an entry, with retries through other routers until it is served.
async fn entry(harness: &Harness, caller: &Caller, n: u64, round: u32, rng: &mut SmallRng) {
    let key = Uuid::now_v7().to_string();
    let body = format!("entry {n} {round}");
    let request = Request {
        kind: RequestKind::Entry,
        method: "POST",
        path: "/records/entries",
        key: &key,
        body: &body,
    };
    let is_own = |received: &Received| echo(received) == body;
    for _ in 0..ENTRY_ATTEMPTS {
        let router = random_router(harness, rng);
        let called = call_once(harness, caller, router, &request, is_own).await;
        let served = called.received.status == 200;
        harness.ledger.borrow_mut().outcomes.push(called.outcome);
        if served {
            return;
        }
        sleep_ms(rng.random_range(20..300)).await;
    }
}

/// Runs an operator that creates accounts at random routers, against the version in force there.
pub(crate) async fn operator(harness: &Harness, n: u32, mut rng: SmallRng) {
    let mut round = 0;
    while harness.load_active.get() {
        round += 1;
        sleep_ms(rng.random_range(300..1_500)).await;
        let name = format!("operator-{n}-{round}");
        let addr = harness.operators[usize::from(random_router(harness, &mut rng))];
        let op = Op::PutAccount(account(&name, &format!("key of {name}")));
        let applied = compio::time::timeout(CALL_TIMEOUT, apply_at(addr, op)).await;
        if let Ok(Ok(reply)) = applied
            && reply.accepted
        {
            harness.ledger.borrow_mut().accepted.push(name);
        }
    }
}

/// Records every decrease of a router's version without a restart.
pub(crate) async fn watch_version(harness: &Harness, router: usize) {
    let mut last = (0, 0);
    while harness.load_active.get() {
        let start = harness.starts.borrow()[router];
        if let Some(version) = harness.version(router).await
            && harness.starts.borrow()[router] == start
        {
            if start == last.0 && version < last.1 {
                let text = format!(
                    "router {router} went back from version {} to {version}",
                    last.1
                );
                harness.ledger.borrow_mut().reverts.push(text);
            }
            last = (start, version);
        }
        sleep_ms(100).await;
    }
}

/// Samples the load of the busiest engine divided by the mean.
pub(crate) async fn watch_skew(harness: &Harness) {
    while harness.load_active.get() {
        let mut jobs = Vec::new();
        for addr in &harness.engines {
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
        if sum >= MIN_JOBS_PER_ENGINE * harness.engines.len() {
            let skew = most as f64 * jobs.len() as f64 / sum as f64;
            harness.ledger.borrow_mut().skews.push(skew);
        }
        sleep_ms(100).await;
    }
}
