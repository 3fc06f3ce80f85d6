//! Faults drawn from the seed, one or two at a time.

use cassiagrade::schema::config::change::Op;
use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};

use crate::ledger::{Leave, Stop};
use crate::load::engine_knobs;
use crate::support::{
    Caller, LARGEST_KEY, Relay, apply_at, chat_body, post, sleep_ms, upstream_at,
};
use crate::world::World;

const STEP_MS: u64 = 50;
/// A planned stop must end by itself in this time; the longest stream lasts half a second.
const STOP_LIMIT_MS: u64 = 20_000;
const IN_FORCE_LIMIT_MS: u64 = 20_000;
/// How long a leaving upstream is watched for new work.
const LEAVE_WATCH_MS: u64 = 1_500;
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
    LosePlainReplies,
    LogOutage,
    SlowLog,
    LoseLogReplies,
    CutOffFromLog,
    LeaveEngine,
    Surge,
}

const FAULTS: [(Fault, &str); 19] = [
    (Fault::KillRouter, "router killed and replaced"),
    (Fault::FreezeRouter, "router frozen and woken"),
    (Fault::StopRouter, "router stopped by plan"),
    (Fault::KillEngine, "engine killed and restarted"),
    (Fault::FreezeEngine, "engine frozen and woken"),
    (Fault::FlapEngine, "engine flapping"),
    (Fault::KillPlain, "plain service killed and restarted"),
    (Fault::CutEngine, "connections to an engine cut"),
    (Fault::SlowEngine, "connections to an engine slowed"),
    (Fault::CrossAnswers, "answers crossed"),
    (Fault::CutStreams, "streams cut by the engine"),
    (Fault::CrashOnRequest, "request that crashes engines"),
    (Fault::LosePlainReplies, "plain service's replies lost"),
    (Fault::LogOutage, "log outage"),
    (Fault::SlowLog, "log slow"),
    (Fault::LoseLogReplies, "log's replies lost"),
    (Fault::CutOffFromLog, "one router cut off from the platform"),
    (Fault::LeaveEngine, "engine leaving and returning"),
    (Fault::Surge, "surge of the largest account"),
];

/// Injects faults until the time is up.
pub(crate) async fn run(world: &World, mut rng: SmallRng) {
    while !world.over() {
        sleep_ms(rng.random_range(100..800)).await;
        let first = draw(&mut rng);
        // Planned stops and leaves are judged by what they alone did.
        let alone = [Fault::StopRouter, Fault::LeaveEngine].contains(&first.0);
        let second = draw(&mut rng);
        let alone = alone || [Fault::StopRouter, Fault::LeaveEngine].contains(&second.0);
        if alone || rng.random_bool(0.5) {
            inject(world, first, &mut rng).await;
            continue;
        }
        let mut other: SmallRng = rand::SeedableRng::seed_from_u64(rng.random());
        futures_util::join!(
            inject(world, first, &mut rng),
            inject(world, second, &mut other)
        );
    }
}

fn draw(rng: &mut SmallRng) -> (Fault, &'static str) {
    FAULTS[rng.random_range(0..FAULTS.len())]
}

async fn inject(world: &World, (fault, name): (Fault, &'static str), rng: &mut SmallRng) {
    world.count(name);
    let router = rng.random_range(0..world.callers.len());
    let engine = rng.random_range(0..world.engines.len());
    let plain = rng.random_range(0..world.plains.len());
    let ms = rng.random_range(200..3_000);
    let n: u32 = rng.random_range(1..20);
    match fault {
        Fault::KillRouter => kill_router(world, router, ms).await,
        Fault::FreezeRouter => freeze_router(world, router, ms).await,
        Fault::StopRouter => stop_router(world, router).await,
        Fault::KillEngine => kill_engine(world, engine, ms).await,
        Fault::FreezeEngine => {
            world.fleet.borrow().engines[engine].freeze();
            sleep_ms(ms).await;
            world.fleet.borrow().engines[engine].unfreeze();
        }
        Fault::FlapEngine => {
            for _ in 0..3 {
                kill_engine(world, engine, ms / 5).await;
                sleep_ms(ms / 5).await;
            }
        }
        Fault::KillPlain => {
            world.fleet.borrow_mut().plains[plain].kill();
            sleep_ms(ms).await;
            restart_plain(world, plain);
        }
        Fault::CutEngine => {
            relay(world, Kind::Engine, engine, json!({ "cut": true })).await;
        }
        Fault::SlowEngine => {
            relay(world, Kind::Engine, engine, json!({ "delay_ms": n })).await;
            sleep_ms(ms).await;
            relay(world, Kind::Engine, engine, json!({})).await;
        }
        Fault::CrossAnswers => engine_fault(world, engine, "cross_answers", n).await,
        Fault::CutStreams => engine_fault(world, engine, "cut_streams", n).await,
        Fault::CrashOnRequest => crash_on_request(world, ms).await,
        Fault::LosePlainReplies => {
            post(
                world.plains[plain],
                "/knobs",
                &json!({ "drop_replies": n }).to_string(),
            )
            .await;
        }
        Fault::LogOutage => platform(world, json!({ "outage": true }), ms).await,
        Fault::SlowLog => platform(world, json!({ "delay_ms": n * 20 }), ms).await,
        Fault::LoseLogReplies => platform(world, json!({ "drop_replies": n }), ms).await,
        Fault::CutOffFromLog => {
            let knobs = json!({ "refuse": true, "cut": true });
            relay(world, Kind::Platform, router, knobs).await;
            sleep_ms(ms).await;
            relay(world, Kind::Platform, router, json!({})).await;
        }
        Fault::LeaveEngine => leave_engine(world, engine).await,
        Fault::Surge => surge(world, rng.random()).await,
    }
}

fn small(n: usize) -> u8 {
    u8::try_from(n).unwrap_or(u8::MAX)
}

fn restart_router(world: &World, router: usize) {
    world.fleet.borrow_mut().restart_router(small(router));
    world.starts.borrow_mut()[router] += 1;
}

fn restart_engine(world: &World, engine: usize) {
    let knobs = engine_knobs().to_string();
    world
        .fleet
        .borrow_mut()
        .restart_engine(small(engine), &knobs);
}

fn restart_plain(world: &World, plain: usize) {
    world.fleet.borrow_mut().restart_plain(small(plain), "{}");
}

async fn kill_router(world: &World, router: usize, ms: u64) {
    let from_ms = world.now_ms();
    world.fleet.borrow_mut().routers[router].kill();
    sleep_ms(ms).await;
    restart_router(world, router);
    let to_ms = world.now_ms();
    world
        .ledger
        .borrow_mut()
        .router_faults_ms
        .push((from_ms, to_ms));
}

async fn freeze_router(world: &World, router: usize, ms: u64) {
    let from_ms = world.now_ms();
    world.fleet.borrow().routers[router].freeze();
    sleep_ms(ms).await;
    world.fleet.borrow().routers[router].unfreeze();
    let to_ms = world.now_ms();
    world
        .ledger
        .borrow_mut()
        .router_faults_ms
        .push((from_ms, to_ms));
}

/// A planned stop, then a new host in its place.
async fn stop_router(world: &World, router: usize) {
    let at_ms = world.now_ms();
    world.fleet.borrow().routers[router].terminate();
    let mut exited_ms = None;
    while exited_ms.is_none() && world.now_ms() < at_ms + STOP_LIMIT_MS {
        sleep_ms(STEP_MS).await;
        let exited = world.fleet.borrow_mut().routers[router].exited();
        exited_ms = exited.map(|_| world.now_ms());
    }
    let router_name = small(router);
    world.ledger.borrow_mut().stops.push(Stop {
        router: router_name,
        at_ms,
        exited_ms,
    });
    restart_router(world, router);
}

async fn kill_engine(world: &World, engine: usize, ms: u64) {
    world.fleet.borrow_mut().engines[engine].kill();
    sleep_ms(ms).await;
    restart_engine(world, engine);
}

async fn engine_fault(world: &World, engine: usize, knob: &str, n: u32) {
    let mut knobs = engine_knobs();
    knobs[knob] = n.into();
    // The engine may be dead by another fault.
    post(world.engines[engine], "/knobs", &knobs.to_string()).await;
}

/// A request crashes each engine that runs it; its caller sends it again.
async fn crash_on_request(world: &World, ms: u64) {
    world.crashers.set(2);
    sleep_ms(ms).await;
    world.crashers.set(0);
    restart_dead(world);
}

/// Starts again what has died by itself.
fn restart_dead(world: &World) {
    for engine in 0..world.engines.len() {
        let dead = world.fleet.borrow_mut().engines[engine].exited().is_some();
        if dead {
            restart_engine(world, engine);
        }
    }
}

async fn platform(world: &World, knobs: Value, ms: u64) {
    post(world.platform, "/knobs", &knobs.to_string()).await;
    sleep_ms(ms).await;
    post(world.platform, "/knobs", "{}").await;
}

enum Kind {
    Engine,
    Platform,
}

async fn relay(world: &World, kind: Kind, i: usize, knobs: Value) {
    let control = {
        let fleet = world.fleet.borrow();
        let relays: &[Relay] = match kind {
            Kind::Engine => &fleet.engine_relays,
            Kind::Platform => &fleet.platform_relays,
        };
        relays[i].control
    };
    post(control, "/knobs", &knobs.to_string()).await;
}

/// Marks an engine as leaving, waits until that is in force everywhere, and watches for new work.
async fn leave_engine(world: &World, engine: usize) {
    let name = world.fleet.borrow().engines[engine].name.clone();
    let addr = world.fleet.borrow().engine_addr(engine);
    let mut leaving = upstream_at(&name, "draft", engine, addr);
    let back = Op::PutUpstream(leaving.clone());
    leaving.draining = true;
    let Some(version) = accept(world, Op::PutUpstream(leaving)).await else {
        return;
    };
    let in_force_ms = in_force(world, version).await;
    if in_force_ms.is_some() {
        // Requests that were let in before may still be on their way over the last hop.
        sleep_ms(STEP_MS * 4).await;
        let before = world.fleet.borrow().runs().count_at(&name);
        sleep_ms(LEAVE_WATCH_MS).await;
        let after = world.fleet.borrow().runs().count_at(&name);
        let new_runs = after - before;
        world.ledger.borrow_mut().leaves.push(Leave {
            upstream: name,
            new_runs,
            in_force_ms,
        });
    } else {
        world.ledger.borrow_mut().leaves.push(Leave {
            upstream: name,
            new_runs: 0,
            in_force_ms,
        });
    }
    accept(world, back).await;
}

/// Applies a change, against racing operators, until it is accepted.
async fn accept(world: &World, op: Op) -> Option<u64> {
    for i in 0..40 {
        let addr = world.operators[i % world.operators.len()];
        if let Ok(reply) = apply_at(addr, op.clone()).await
            && reply.accepted
        {
            return Some(reply.version);
        }
        sleep_ms(STEP_MS).await;
    }
    None
}

async fn in_force(world: &World, version: u64) -> Option<u64> {
    let from_ms = world.now_ms();
    for router in 0..world.admins.len() {
        while world.version(router).await < Some(version) {
            if world.now_ms() > from_ms + IN_FORCE_LIMIT_MS {
                return None;
            }
            sleep_ms(STEP_MS).await;
        }
    }
    Some(world.now_ms() - from_ms)
}

/// Many callers of the largest account at once, in a few chats; only the engines' load shows it.
async fn surge(world: &World, salt: u32) {
    let calls = (0..SURGE_CALLS).map(|n| async move {
        let caller = Caller::new(LARGEST_KEY);
        let addr = world.callers[n as usize % world.callers.len()];
        let body = chat_body(&format!("hot-{}", n % 3), &format!("surge {salt} {n}"), 30);
        let call = caller.chat(addr, &body);
        let patience = std::time::Duration::from_secs(15);
        let _ = compio::time::timeout(patience, call).await;
    });
    futures_util::future::join_all(calls).await;
}

/// Ends every fault and starts again what is down.
pub(crate) async fn heal(world: &World) {
    post(world.platform, "/knobs", "{}").await;
    for i in 0..world.engines.len() {
        relay(world, Kind::Engine, i, json!({})).await;
        world.fleet.borrow().engines[i].unfreeze();
    }
    restart_dead(world);
    for i in 0..world.callers.len() {
        relay(world, Kind::Platform, i, json!({})).await;
        world.fleet.borrow().routers[i].unfreeze();
        let dead = world.fleet.borrow_mut().routers[i].exited().is_some();
        if dead {
            restart_router(world, i);
        }
    }
    for addr in world.engines.iter() {
        post(*addr, "/knobs", &engine_knobs().to_string()).await;
    }
    for addr in &world.plains {
        post(*addr, "/knobs", "{}").await;
    }
}
