//! Nine routers under load during a planned rolling restart, and while one is killed: failed
//! requests, hops, and prefix cache reuse.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use rand::Rng;
use serde_json::{Value, json};

use crate::sample::metric;
use crate::support::{
    ACCOUNT_KEY, Caller, Fleet, Options, Received, chat_body, expected_answer, get, sleep_ms,
};

const ROUTERS: u8 = 9;
const ENGINES: u8 = 18;
const CHATS: u32 = 180;
const TOKENS: u32 = 60;
const ENTRY_TTL_MS: u64 = 1_000;
const PHASE_MS: u64 = 10_000;

/// Request counts of all callers.
#[derive(Default)]
struct Tally {
    requests: Cell<u64>,
    /// Complete at the first attempt.
    first_try: Cell<u64>,
    /// Complete after a retry at another address.
    retried: Cell<u64>,
    /// Cut off, or refused at every address.
    failed: Cell<u64>,
    details: RefCell<Vec<String>>,
    stop: Cell<bool>,
}

pub(crate) async fn print() {
    let settings = json!({ "fleet": { "entry_ttl_ms": ENTRY_TTL_MS, "drain_limit_ms": 20_000 } });
    let knobs = json!({ "step_ms": 5 }).to_string();
    println!(
        "\n| nine routers, 18 engines, {CHATS} chats | requests | complete at first attempt | complete after retry | cut off or refused | hops per request | reuse |"
    );
    println!("|---|---|---|---|---|---|---|");
    let options = Options::new(ROUTERS, ENGINES, 0);
    let mut fleet = Fleet::start_with(Options {
        engine: knobs,
        settings,
        ..options
    })
    .await;
    sleep_ms(3_000).await;
    let tally = Rc::new(Tally::default());
    let callers: Vec<_> = (0..CHATS).map(|i| chat(&fleet, i, &tally)).collect();
    sleep_ms(5_000).await;
    phase(&fleet, &tally, "undisturbed", PHASE_MS).await;
    let start = Totals::take(&fleet, &tally).await;
    for i in 0..ROUTERS {
        fleet.routers[usize::from(i)].terminate();
        fleet.routers[usize::from(i)].wait_exit().await;
        fleet.restart_router(i);
        fleet.wait_healthy(i).await;
        sleep_ms(1_500).await;
    }
    start
        .print(&fleet, &tally, "rolling restart of all routers")
        .await;
    phase(&fleet, &tally, "undisturbed again", PHASE_MS).await;
    let start = Totals::take(&fleet, &tally).await;
    fleet.routers[4].kill();
    sleep_ms(PHASE_MS).await;
    start.print(&fleet, &tally, "one router killed").await;
    tally.stop.set(true);
    for caller in callers {
        caller.await.unwrap();
    }
    for detail in tally.details.borrow().iter().take(20) {
        println!("  {detail}");
    }
}

async fn phase(fleet: &Fleet, tally: &Tally, name: &str, ms: u64) {
    let start = Totals::take(fleet, tally).await;
    sleep_ms(ms).await;
    start.print(fleet, tally, name).await;
}

/// Totals at one time. A restart resets a router's counters, so hops are then a lower bound.
struct Totals {
    requests: u64,
    first_try: u64,
    retried: u64,
    failed: u64,
    hops: f64,
    served: f64,
    prompt_tokens: u64,
    cached_tokens: u64,
}

impl Totals {
    async fn take(fleet: &Fleet, tally: &Tally) -> Self {
        let (mut hops, mut served) = (0.0, 0.0);
        for i in 0..ROUTERS {
            let metrics = get(fleet.admin(i), "/metrics").await.unwrap_or_default();
            hops += metric(&metrics, "cassiagrade_hops_total");
            for outcome in ["answered", "caller_gone", "cut", "refused"] {
                let of_outcome =
                    format!("cassiagrade_requests_total{{outcome=\"{outcome}\",service=\"draft\"");
                served += metric(&metrics, &of_outcome);
            }
        }
        let (mut prompt_tokens, mut cached_tokens) = (0, 0);
        for engine in &fleet.engines {
            let runs = get(engine.addr, "/runs").await.unwrap_or_default();
            let runs: Vec<standins::engine::Run> = serde_json::from_str(&runs).unwrap_or_default();
            for run in runs {
                prompt_tokens += u64::from(run.prompt_tokens);
                cached_tokens += u64::from(run.cached_tokens);
            }
        }
        Self {
            requests: tally.requests.get(),
            first_try: tally.first_try.get(),
            retried: tally.retried.get(),
            failed: tally.failed.get(),
            hops,
            served,
            prompt_tokens,
            cached_tokens,
        }
    }

    #[allow(clippy::cast_precision_loss, reason = "far below 2^52")]
    async fn print(&self, fleet: &Fleet, tally: &Tally, name: &str) {
        let now = Self::take(fleet, tally).await;
        let prompt = now.prompt_tokens.saturating_sub(self.prompt_tokens).max(1) as f64;
        let cached = now.cached_tokens.saturating_sub(self.cached_tokens) as f64;
        let served = now.served - self.served;
        let hops = if served > 0.0 {
            format!("{:.3}", (now.hops - self.hops) / served)
        } else {
            "counters reset".to_owned()
        };
        println!(
            "| {name} | {} | {} | {} | {} | {hops} | {:.3} |",
            now.requests - self.requests,
            now.first_try - self.first_try,
            now.retried - self.retried,
            now.failed - self.failed,
            cached / prompt,
        );
    }
}

/// Runs one chat with several turns; renews its router addresses when their TTL has passed.
fn chat(fleet: &Fleet, i: u32, tally: &Rc<Tally>) -> compio::runtime::JoinHandle<()> {
    let seeds: Vec<SocketAddr> = (0..ROUTERS).map(|k| fleet.caller(k)).collect();
    let tally = tally.clone();
    compio::runtime::spawn(async move {
        let caller = Caller::new(ACCOUNT_KEY);
        let mut addrs = Vec::new();
        let mut resolved_at = std::time::Instant::now();
        let mut history = format!("chat {i}:");
        while !tally.stop.get() {
            let expired = resolved_at.elapsed().as_millis() > u128::from(ENTRY_TTL_MS);
            if addrs.is_empty() || expired {
                addrs = resolve_addrs(&caller, &seeds, i).await;
                resolved_at = std::time::Instant::now();
            }
            turn(&caller, &addrs, i, &mut history, &tally).await;
            let pause_ms = rand::rng().random_range(200..800);
            sleep_ms(pause_ms).await;
        }
    })
}

async fn resolve_addrs(caller: &Caller, seeds: &[SocketAddr], i: u32) -> Vec<SocketAddr> {
    let path = format!("/v1/entry?model=small&chat=chat-{i}");
    for _ in 0..20 {
        let seed = seeds[rand::rng().random_range(0..seeds.len())];
        let Some(reply) = caller.call(seed, "GET", &path, &[], "").await else {
            continue;
        };
        let reply: Value = serde_json::from_str(&reply.body).unwrap_or_default();
        let listed = reply["addresses"].as_array().cloned().unwrap_or_default();
        return listed
            .iter()
            .filter_map(|a| a["addr"].as_str()?.parse().ok())
            .collect();
    }
    Vec::new()
}

async fn turn(caller: &Caller, addrs: &[SocketAddr], i: u32, history: &mut String, tally: &Tally) {
    history.push_str(" and the next question about the rear hub bearing, please,");
    if history.len() > 6_000 {
        *history = format!("chat {i}:");
    }
    let body = chat_body(&format!("chat-{i}"), history, TOKENS);
    let expected = expected_answer(history, TOKENS);
    tally.requests.set(tally.requests.get() + 1);
    for (tried, addr) in addrs.iter().enumerate() {
        let answer = caller.chat(*addr, &body).await;
        if answer
            .as_ref()
            .is_some_and(|a| a.status == 200 && a.complete && a.text() == expected)
        {
            let count = if tried == 0 {
                &tally.first_try
            } else {
                &tally.retried
            };
            count.set(count.get() + 1);
            return;
        }
        let detail = describe_failure(answer.as_ref());
        tally.details.borrow_mut().push(format!("{addr}: {detail}"));
        if answer.is_some_and(|a| !a.not_run()) {
            break;
        }
    }
    tally.failed.set(tally.failed.get() + 1);
}

fn describe_failure(answer: Option<&Received>) -> String {
    match answer {
        None => "no connection".to_owned(),
        Some(a) if a.status == 200 => {
            let tail: String = a.body.chars().rev().take(120).collect();
            let tail: String = tail.chars().rev().collect();
            format!("answer incomplete or wrong, ends with {tail:?}")
        }
        Some(a) => format!("status {}: {}", a.status, a.body),
    }
}
