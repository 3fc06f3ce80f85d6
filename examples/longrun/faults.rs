//! Faults chosen by the seed, one or two at a time.

use cassiagrade::schema::config::change::Op;
use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};

use crate::harness::Harness;
use crate::ledger::{PlannedStop, UpstreamDrain};
use crate::load::engine_knobs;
use crate::support::{
    Caller, LARGEST_KEY, Relay, apply_at, chat_body, post, sleep_ms, upstream_at,
};

const STEP_MS: u64 = 50;
/// Time within which a stopped router must exit; the longest stream lasts half a second.
const STOP_LIMIT_MS: u64 = 20_000;
const IN_FORCE_LIMIT_MS: u64 = 20_000;
/// Time for which a draining upstream is checked for new requests.
const DRAIN_WATCH_MS: u64 = 1_500;
const SURGE_CALLS: u32 = 150;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    KillRouter,
    FreezeRouter,
    StopRouter,
    KillEngine,
    FreezeEngine,
    FlapEngine,
    KillPlain,
    CutEngine,
    SlowEngine,
    CrossAnswers,
    CutStreams,
    CrashOnRequest,
    DropPlainReplies,
    LogOutage,
    SlowLog,
    DropLogReplies,
    PartitionFromLog,
    DrainEngine,
    Surge,
}

const FAULTS: [(Fault, &str); 19] = [
    (Fault::KillRouter, "router killed and replaced"),
    (Fault::FreezeRouter, "router frozen and resumed"),
    (Fault::StopRouter, "router stopped as planned"),
    (Fault::KillEngine, "engine killed and restarted"),
    (Fault::FreezeEngine, "engine frozen and resumed"),
    (Fault::FlapEngine, "engine flapping"),
    (Fault::KillPlain, "plain service killed and restarted"),
    (Fault::CutEngine, "connections to an engine cut"),
    (Fault::SlowEngine, "connections to an engine slowed"),
    (Fault::CrossAnswers, "responses with another request's id"),
    (Fault::CutStreams, "streams cut by the engine"),
    (Fault::CrashOnRequest, "request that crashes engines"),
    (Fault::DropPlainReplies, "plain service's replies dropped"),
    (Fault::LogOutage, "log outage"),
    (Fault::SlowLog, "log slow"),
    (Fault::DropLogReplies, "log's replies dropped"),
    (
        Fault::PartitionFromLog,
        "one router cut off from the platform",
    ),
    (Fault::DrainEngine, "engine drained and returned"),
    (Fault::Surge, "surge of the largest account"),
];

/// Injects faults until the time is up.
pub(crate) async fn run(harness: &Harness, mut rng: SmallRng) {
    while !harness.is_over() {
        sleep_ms(rng.random_range(100..800)).await;
        let first = random_fault(&mut rng);
        // Planned stops and drains run alone, so that their effects can be attributed.
        let alone = [Fault::StopRouter, Fault::DrainEngine].contains(&first.0);
        let second = random_fault(&mut rng);
        let alone = alone || [Fault::StopRouter, Fault::DrainEngine].contains(&second.0);
        if alone || rng.random_bool(0.5) {
            inject(harness, first, &mut rng).await;
            continue;
        }
        let mut other: SmallRng = rand::SeedableRng::seed_from_u64(rng.random());
        futures_util::join!(
            inject(harness, first, &mut rng),
            inject(harness, second, &mut other)
        );
    }
}

fn random_fault(rng: &mut SmallRng) -> (Fault, &'static str) {
    FAULTS[rng.random_range(0..FAULTS.len())]
}

async fn inject(harness: &Harness, (fault, name): (Fault, &'static str), rng: &mut SmallRng) {
    harness.count_fault(name);
    let router = rng.random_range(0..harness.callers.len());
    let engine = rng.random_range(0..harness.engines.len());
    let plain = rng.random_range(0..harness.plains.len());
    let ms = rng.random_range(200..3_000);
    let n: u32 = rng.random_range(1..20);
    match fault {
        Fault::KillRouter => kill_router(harness, router, ms).await,
        Fault::FreezeRouter => freeze_router(harness, router, ms).await,
        Fault::StopRouter => stop_router(harness, router).await,
        Fault::KillEngine => kill_engine(harness, engine, ms).await,
        Fault::FreezeEngine => {
            harness.fleet.borrow().engines[engine].freeze();
            sleep_ms(ms).await;
            harness.fleet.borrow().engines[engine].unfreeze();
        }
        Fault::FlapEngine => {
            for _ in 0..3 {
                kill_engine(harness, engine, ms / 5).await;
                sleep_ms(ms / 5).await;
            }
        }
        Fault::KillPlain => {
            harness.fleet.borrow_mut().plains[plain].kill();
            sleep_ms(ms).await;
            restart_plain(harness, plain);
        }
        Fault::CutEngine => {
            set_relay_knobs(harness, RelayKind::Engine, engine, json!({ "cut": true })).await;
        }
        Fault::SlowEngine => {
            set_relay_knobs(harness, RelayKind::Engine, engine, json!({ "delay_ms": n })).await;
            sleep_ms(ms).await;
            set_relay_knobs(harness, RelayKind::Engine, engine, json!({})).await;
        }
        Fault::CrossAnswers => engine_fault(harness, engine, "cross_answers", n).await,
        Fault::CutStreams => engine_fault(harness, engine, "cut_streams", n).await,
        Fault::CrashOnRequest => crash_on_request(harness, ms).await,
        Fault::DropPlainReplies => {
            post(
                harness.plains[plain],
                "/knobs",
                &json!({ "drop_replies": n }).to_string(),
            )
            .await;
        }
        Fault::LogOutage => platform_fault(harness, json!({ "outage": true }), ms).await,
        Fault::SlowLog => platform_fault(harness, json!({ "delay_ms": n * 20 }), ms).await,
        Fault::DropLogReplies => platform_fault(harness, json!({ "drop_replies": n }), ms).await,
        Fault::PartitionFromLog => {
            let knobs = json!({ "refuse": true, "cut": true });
            set_relay_knobs(harness, RelayKind::Platform, router, knobs).await;
            sleep_ms(ms).await;
            set_relay_knobs(harness, RelayKind::Platform, router, json!({})).await;
        }
        Fault::DrainEngine => drain_engine(harness, engine).await,
        Fault::Surge => surge(harness, rng.random()).await,
    }
}

fn to_u8(n: usize) -> u8 {
    u8::try_from(n).unwrap_or(u8::MAX)
}

fn restart_router(harness: &Harness, router: usize) {
    harness.fleet.borrow_mut().restart_router(to_u8(router));
    harness.starts.borrow_mut()[router] += 1;
}

fn restart_engine(harness: &Harness, engine: usize) {
    let knobs = engine_knobs().to_string();
    harness
        .fleet
        .borrow_mut()
        .restart_engine(to_u8(engine), &knobs);
}

fn restart_plain(harness: &Harness, plain: usize) {
    harness.fleet.borrow_mut().restart_plain(to_u8(plain), "{}");
}

async fn kill_router(harness: &Harness, router: usize, ms: u64) {
    let from_ms = harness.now_ms();
    harness.fleet.borrow_mut().routers[router].kill();
    sleep_ms(ms).await;
    restart_router(harness, router);
    let to_ms = harness.now_ms();
    harness
        .ledger
        .borrow_mut()
        .router_faults_ms
        .push((from_ms, to_ms));
}

async fn freeze_router(harness: &Harness, router: usize, ms: u64) {
    let from_ms = harness.now_ms();
    harness.fleet.borrow().routers[router].freeze();
    sleep_ms(ms).await;
    harness.fleet.borrow().routers[router].unfreeze();
    let to_ms = harness.now_ms();
    harness
        .ledger
        .borrow_mut()
        .router_faults_ms
        .push((from_ms, to_ms));
}

/// Stops a router as planned, then starts a replacement.
async fn stop_router(harness: &Harness, router: usize) {
    let at_ms = harness.now_ms();
    harness.fleet.borrow().routers[router].terminate();
    let mut exited_ms = None;
    while exited_ms.is_none() && harness.now_ms() < at_ms + STOP_LIMIT_MS {
        sleep_ms(STEP_MS).await;
        let exited = harness.fleet.borrow_mut().routers[router].exited();
        exited_ms = exited.map(|_| harness.now_ms());
    }
    let router_index = to_u8(router);
    harness.ledger.borrow_mut().stops.push(PlannedStop {
        router: router_index,
        at_ms,
        exited_ms,
    });
    restart_router(harness, router);
}

async fn kill_engine(harness: &Harness, engine: usize, ms: u64) {
    harness.fleet.borrow_mut().engines[engine].kill();
    sleep_ms(ms).await;
    restart_engine(harness, engine);
}

async fn engine_fault(harness: &Harness, engine: usize, knob: &str, n: u32) {
    let mut knobs = engine_knobs();
    knobs[knob] = n.into();
    // Another fault may have killed the engine, so a failure is ignored.
    post(harness.engines[engine], "/knobs", &knobs.to_string()).await;
}

/// Lets two requests crash each engine that runs them, also when retried, then restarts the engines.
async fn crash_on_request(harness: &Harness, ms: u64) {
    harness.crash_requests_left.set(2);
    sleep_ms(ms).await;
    harness.crash_requests_left.set(0);
    restart_exited(harness);
}

/// Restarts engines that have exited.
fn restart_exited(harness: &Harness) {
    for engine in 0..harness.engines.len() {
        let has_exited = harness.fleet.borrow_mut().engines[engine]
            .exited()
            .is_some();
        if has_exited {
            restart_engine(harness, engine);
        }
    }
}

async fn platform_fault(harness: &Harness, knobs: Value, ms: u64) {
    post(harness.platform, "/knobs", &knobs.to_string()).await;
    sleep_ms(ms).await;
    post(harness.platform, "/knobs", "{}").await;
}

enum RelayKind {
    Engine,
    Platform,
}

async fn set_relay_knobs(harness: &Harness, kind: RelayKind, i: usize, knobs: Value) {
    let control = {
        let fleet = harness.fleet.borrow();
        let relays: &[Relay] = match kind {
            RelayKind::Engine => &fleet.engine_relays,
            RelayKind::Platform => &fleet.platform_relays,
        };
        relays[i].control
    };
    post(control, "/knobs", &knobs.to_string()).await;
}

/// Drains an engine, waits until that is in force at every router, and counts new requests.
async fn drain_engine(harness: &Harness, engine: usize) {
    let name = harness.fleet.borrow().engines[engine].name.clone();
    let addr = harness.fleet.borrow().engine_addr(engine);
    let mut draining_engine = upstream_at(&name, "draft", engine, addr);
    let restored = Op::PutUpstream(draining_engine.clone());
    draining_engine.draining = true;
    let Some(version) = apply_until_accepted(harness, Op::PutUpstream(draining_engine)).await
    else {
        return;
    };
    let in_force_ms = wait_in_force(harness, version).await;
    if in_force_ms.is_some() {
        // Requests that routers admitted earlier may not have reached the engine yet.
        sleep_ms(STEP_MS * 4).await;
        let before = harness.fleet.borrow().runs().count_at(&name);
        sleep_ms(DRAIN_WATCH_MS).await;
        let after = harness.fleet.borrow().runs().count_at(&name);
        let new_runs = after - before;
        harness.ledger.borrow_mut().drains.push(UpstreamDrain {
            upstream: name,
            new_runs,
            in_force_ms,
        });
    } else {
        harness.ledger.borrow_mut().drains.push(UpstreamDrain {
            upstream: name,
            new_runs: 0,
            in_force_ms,
        });
    }
    apply_until_accepted(harness, restored).await;
}

/// Applies a change until it is accepted; concurrent operators may win the race for a version.
async fn apply_until_accepted(harness: &Harness, op: Op) -> Option<u64> {
    for i in 0..40 {
        let addr = harness.operators[i % harness.operators.len()];
        if let Ok(reply) = apply_at(addr, op.clone()).await
            && reply.accepted
        {
            return Some(reply.version);
        }
        sleep_ms(STEP_MS).await;
    }
    None
}

async fn wait_in_force(harness: &Harness, version: u64) -> Option<u64> {
    let from_ms = harness.now_ms();
    for router in 0..harness.admins.len() {
        while harness.version(router).await < Some(version) {
            if harness.now_ms() > from_ms + IN_FORCE_LIMIT_MS {
                return None;
            }
            sleep_ms(STEP_MS).await;
        }
    }
    Some(harness.now_ms() - from_ms)
}

/// Sends many concurrent requests of the largest account in a few chats. They are not recorded, and
/// show only in the engines' load.
async fn surge(harness: &Harness, salt: u32) {
    let calls = (0..SURGE_CALLS).map(|n| async move {
        let caller = Caller::new(LARGEST_KEY);
        let addr = harness.callers[n as usize % harness.callers.len()];
        let body = chat_body(&format!("hot-{}", n % 3), &format!("surge {salt} {n}"), 30);
        let call = caller.chat(addr, &body);
        let call_timeout = std::time::Duration::from_secs(15);
        let _ = compio::time::timeout(call_timeout, call).await;
    });
    futures_util::future::join_all(calls).await;
}

/// Clears every fault and restarts exited processes.
pub(crate) async fn clear_all(harness: &Harness) {
    post(harness.platform, "/knobs", "{}").await;
    for i in 0..harness.engines.len() {
        set_relay_knobs(harness, RelayKind::Engine, i, json!({})).await;
        harness.fleet.borrow().engines[i].unfreeze();
    }
    restart_exited(harness);
    for i in 0..harness.callers.len() {
        set_relay_knobs(harness, RelayKind::Platform, i, json!({})).await;
        harness.fleet.borrow().routers[i].unfreeze();
        let has_exited = harness.fleet.borrow_mut().routers[i].exited().is_some();
        if has_exited {
            restart_router(harness, i);
        }
    }
    for addr in harness.engines.iter() {
        post(*addr, "/knobs", &engine_knobs().to_string()).await;
    }
    for addr in &harness.plains {
        post(*addr, "/knobs", "{}").await;
    }
}
