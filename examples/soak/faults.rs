//! Faults injected from outside the routers, chosen by a seed. They overlap, and each is reverted
//! after a while.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::support::routed::{RoutedFleet, routes};
use crate::support::{post, sleep_ms, wall_ms};

/// Maximum pause between two faults; shorter than most faults last, so that they overlap.
const MAX_PAUSE_MS: u64 = 900;
/// Maximum duration of a fault.
const MAX_FAULT_MS: u64 = 3_500;

/// Maximum time for which an upstream announces its shutdown before it ends.
const MAX_LEAVING_MS: u64 = 8_000;
/// Share of the steps in which an upstream also announces a shutdown or a time without requests.
const NOTICE_SHARE: f64 = 0.4;

/// Random numbers of the faults. Notices have their own, so that a seed keeps its other faults.
pub(crate) struct FaultRngs {
    faults: SmallRng,
    notices: SmallRng,
}

impl FaultRngs {
    pub(crate) fn from_seed(seed: u64) -> Self {
        Self {
            faults: SmallRng::seed_from_u64(seed),
            notices: SmallRng::seed_from_u64(!seed),
        }
    }
}

/// Timeout for setting an upstream's knobs.
const KNOBS_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for injecting a fault; a frozen or killed stand-in doesn't respond.
const INJECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How a fault is reverted.
enum Revert {
    ResumeRouter(u8),
    StartRouter(u8),
    ClearStore,
    ClearRelay(u8),
    ResumeUpstream(usize),
    ClearUpstream(usize),
    /// Ends the upstream and starts it again, mostly under an id that earlier starts had.
    ReplaceUpstream(usize),
}

/// Unix times at which routers and upstreams were stopped, frozen, resumed or started.
#[derive(Default)]
pub(crate) struct Interruptions {
    pub(crate) routers: Vec<(usize, u64)>,
    pub(crate) upstreams: Vec<(usize, u64)>,
}

impl Interruptions {
    fn router(&mut self, i: usize) {
        self.routers.push((i, wall_ms()));
    }

    fn upstream(&mut self, i: usize) {
        self.upstreams.push((i, wall_ms()));
    }
}

struct ActiveFault {
    reverts_at: Instant,
    revert: Revert,
}

/// Injects faults until `until`, then reverts all that are active. Prints each fault. Returns when
/// it interrupted processes.
pub(crate) async fn inject_until(
    routed: &mut RoutedFleet,
    rngs: &mut FaultRngs,
    until: Instant,
) -> Interruptions {
    let start = Instant::now();
    let rng = &mut rngs.faults;
    let mut active: Vec<ActiveFault> = Vec::new();
    let mut interruptions = Interruptions::default();
    while Instant::now() < until {
        sleep_ms(rng.random_range(50..MAX_PAUSE_MS)).await;
        revert_due(routed, &mut active, &mut interruptions, Instant::now());
        clear_due_knobs(routed, &mut active, Instant::now()).await;
        if rngs.notices.random_bool(NOTICE_SHARE) {
            let (description, fault) = notice(routed, &mut rngs.notices).await;
            println!("{} ms: {description}", start.elapsed().as_millis());
            active.push(fault);
        }
        let injected = inject(routed, rng, &active, &mut interruptions);
        let injected = compio::time::timeout(INJECT_TIMEOUT, injected);
        let Ok((description, revert)) = injected.await else {
            println!("fault injection timed out; continuing with the next fault");
            continue;
        };
        let duration_ms = rng.random_range(300..MAX_FAULT_MS);
        let at_ms = start.elapsed().as_millis();
        println!("{at_ms} ms: {description}, for {duration_ms} ms");
        if let Some(revert) = revert {
            let reverts_at = Instant::now() + Duration::from_millis(duration_ms);
            active.push(ActiveFault { reverts_at, revert });
        }
    }
    let end = Instant::now() + Duration::from_secs(3_600);
    revert_due(routed, &mut active, &mut interruptions, end);
    clear_due_knobs(routed, &mut active, end).await;
    for i in 0..routed.upstreams.len() {
        if routed.upstreams[i].exited().is_some() {
            routed.spawn_upstream(u8::try_from(i).unwrap_or_default());
        }
    }
    // An upstream that was frozen applies knobs when it resumes, after their request timed out, so
    // all knobs are reset once more.
    for i in 0..routed.upstreams.len() {
        set_upstream(routed, i, &json!({})).await;
    }
    for i in 0..routed.routers.len() {
        // A router that was stopped may not have exited yet.
        if routed.stopping.contains(&i) || routed.routers[i].exited().is_some() {
            routed.routers[i].wait_exit().await;
            routed.spawn_router(u8::try_from(i).unwrap_or_default());
        }
    }
    routed.stopping.clear();
    interruptions
}

/// Makes an upstream announce its shutdown, or reject requests and ask for a time without any.
async fn notice(routed: &RoutedFleet, rng: &mut SmallRng) -> (String, ActiveFault) {
    let i = rng.random_range(0..routed.upstreams.len());
    let (knobs, revert, duration_ms) = if rng.random_bool(0.5) {
        let knobs = json!({ "leaving": "1", "draining": rng.random_bool(0.3) });
        let duration_ms = rng.random_range(300..MAX_LEAVING_MS);
        (knobs, Revert::ReplaceUpstream(i), duration_ms)
    } else {
        let seconds = rng.random_range(0.2..4.0).to_string();
        let count = rng.random_range(1..200);
        let knobs = json!({ "spoil": "reject", "spoilt": count, "retry_after": seconds });
        let duration_ms = rng.random_range(300..MAX_FAULT_MS);
        (knobs, Revert::ClearUpstream(i), duration_ms)
    };
    set_upstream(routed, i, &knobs).await;
    let fault = ActiveFault {
        reverts_at: Instant::now() + Duration::from_millis(duration_ms),
        revert,
    };
    let description = format!("upstream {i}: {knobs}, for {duration_ms} ms");
    (description, fault)
}

/// Reverts due faults that end by a signal or a process start.
fn revert_due(
    routed: &mut RoutedFleet,
    active: &mut Vec<ActiveFault>,
    interruptions: &mut Interruptions,
    now: Instant,
) {
    active.retain(|fault| {
        if fault.reverts_at > now {
            return true;
        }
        match fault.revert {
            Revert::ResumeRouter(i) => {
                routed.routers[usize::from(i)].unfreeze();
                interruptions.router(usize::from(i));
            }
            Revert::StartRouter(i) => {
                let index = usize::from(i);
                if routed.routers[index].exited().is_none() {
                    return now < fault.reverts_at + Duration::from_secs(60);
                }
                routed.stopping.retain(|s| *s != index);
                routed.spawn_router(i);
                interruptions.router(index);
            }
            Revert::ResumeUpstream(i) => {
                routed.upstreams[i].unfreeze();
                interruptions.upstream(i);
            }
            Revert::ReplaceUpstream(i) => {
                routed.upstreams[i].kill();
                routed.spawn_upstream_as(u8::try_from(i).unwrap_or_default(), &format!("i-{i}"));
                interruptions.upstream(i);
            }
            Revert::ClearStore | Revert::ClearRelay(_) | Revert::ClearUpstream(_) => return true,
        }
        false
    });
}

/// Reverts due faults that end by resetting knobs.
async fn clear_due_knobs(routed: &RoutedFleet, active: &mut Vec<ActiveFault>, now: Instant) {
    let due: Vec<ActiveFault> = active
        .extract_if(.., |fault| fault.reverts_at <= now)
        .collect();
    for fault in due {
        match fault.revert {
            Revert::ClearStore => routed.store_knobs(json!({ "lapse_ms": 1_500 })).await,
            Revert::ClearRelay(i) => routed.relay_knobs(i, json!({})).await,
            Revert::ClearUpstream(i) => set_upstream(routed, i, &json!({})).await,
            revert => active.push(ActiveFault {
                reverts_at: fault.reverts_at,
                revert,
            }),
        }
    }
}

async fn inject(
    routed: &mut RoutedFleet,
    rng: &mut SmallRng,
    active: &[ActiveFault],
    interruptions: &mut Interruptions,
) -> (String, Option<Revert>) {
    let router = rng.random_range(0..routed.routers.len());
    let upstream = rng.random_range(0..routed.upstreams.len());
    let i = u8::try_from(router).unwrap_or_default();
    let is_faulted = active.iter().any(
        |fault| matches!(fault.revert, Revert::ResumeRouter(r) | Revert::StartRouter(r) if r == i),
    );
    match rng.random_range(0..12) {
        0 if !is_faulted => {
            routed.routers[router].kill();
            routed.spawn_router(i);
            interruptions.router(router);
            (format!("router {i} killed and started"), None)
        }
        1 if !is_faulted => {
            routed.routers[router].freeze();
            interruptions.router(router);
            (format!("router {i} frozen"), Some(Revert::ResumeRouter(i)))
        }
        2 if !is_faulted => {
            routed.routers[router].terminate();
            interruptions.router(router);
            routed.stopping.push(router);
            (
                format!("router {i} stopped with SIGTERM"),
                Some(Revert::StartRouter(i)),
            )
        }
        3 => {
            if !is_faulted {
                routed.routers[router].signal_reload();
            }
            (
                format!("router {i} sent SIGHUP to reload its settings"),
                None,
            )
        }
        4 => {
            let fault = store_fault(rng);
            routed.store_knobs(fault.clone()).await;
            (format!("store: {fault}"), Some(Revert::ClearStore))
        }
        5 | 6 => {
            let fault = relay_fault(rng);
            routed.relay_knobs(i, fault.clone()).await;
            (
                format!("relay from router {i} to the store: {fault}"),
                Some(Revert::ClearRelay(i)),
            )
        }
        7 => {
            routed.upstreams[upstream].kill();
            routed.spawn_upstream(u8::try_from(upstream).unwrap_or_default());
            interruptions.upstream(upstream);
            (format!("upstream {upstream} killed and started"), None)
        }
        8 => {
            routed.upstreams[upstream].freeze();
            interruptions.upstream(upstream);
            (
                format!("upstream {upstream} frozen"),
                Some(Revert::ResumeUpstream(upstream)),
            )
        }
        9 | 10 => {
            let fault = upstream_fault(rng);
            post(
                routed.upstreams[upstream].addr,
                "/knobs",
                &fault.to_string(),
            )
            .await;
            (
                format!("upstream {upstream}: {fault}"),
                Some(Revert::ClearUpstream(upstream)),
            )
        }
        _ => {
            let mut changed = routes();
            let name = format!("more-{}", rng.random_range(0..100));
            changed.push(json!({
                "name": name, "host": "b.example", "path_prefix": "/x/", "type": "idempotent",
                "service": "s1",
            }));
            let version = routed.configure(json!({ "routes": changed })).await;
            (format!("configuration {version}"), None)
        }
    }
}

/// Sets an upstream's knobs; prints a line if the upstream is frozen or was killed.
async fn set_upstream(routed: &RoutedFleet, upstream: usize, knobs: &Value) {
    let text = knobs.to_string();
    let set = post(routed.upstreams[upstream].addr, "/knobs", &text);
    if compio::time::timeout(KNOBS_TIMEOUT, set).await.is_err() {
        println!("upstream {upstream} did not accept knobs {text} before the timeout");
    }
}

fn store_fault(rng: &mut SmallRng) -> Value {
    let faults = [
        json!({ "fault": "busy", "lapse_ms": 1_500 }),
        json!({ "fault": "many" }),
        json!({ "fault": "cut" }),
        json!({ "fault": "silent", "lapse_ms": 1_500 }),
        json!({ "delay_ms": 250 }),
        json!({ "forget": true }),
        json!({ "garble_reads": 5 }),
        json!({ "drop_replies": 5 }),
    ];
    faults.choose(rng).cloned().unwrap_or_default()
}

fn relay_fault(rng: &mut SmallRng) -> Value {
    let faults = [
        json!({ "stall": true }),
        json!({ "stall_back": true }),
        json!({ "refuse": true, "cut": true }),
        json!({ "cut": true }),
        json!({ "delay_ms": 150 }),
    ];
    faults.choose(rng).cloned().unwrap_or_default()
}

fn upstream_fault(rng: &mut SmallRng) -> Value {
    let response_faults = [
        "reject", "fail", "cut", "half", "extra", "garbage", "crossed", "unproved", "unframed",
        "silent",
    ];
    if rng.random_bool(0.3) {
        return json!({ "delay_ms": rng.random_range(5..120) });
    }
    if rng.random_bool(0.2) {
        return json!({ "draining": true });
    }
    json!({ "spoil": response_faults.choose(rng), "spoilt": rng.random_range(1..40) })
}
