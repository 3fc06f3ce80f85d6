//! Faults from outside the routers, drawn from a seed: in series, overlapping, each with its end.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use serde_json::{Value, json};

use crate::support::routed::{RoutedFleet, routes};
use crate::support::{post, sleep_ms};

/// Pause between two faults, at most: shorter than most last, so that they overlap.
const MAX_PAUSE_MS: u64 = 900;
/// How long one lasts, at most.
const MAX_LAST_MS: u64 = 3_500;

/// For an upstream to take its knobs.
const KNOBS_LIMIT: Duration = Duration::from_millis(500);

/// To put a fault in; a stand-in that is frozen or dead doesn't take it.
const STRIKE_LIMIT: Duration = Duration::from_secs(2);

/// What a fault's end undoes.
enum Undo {
    WakeRouter(u8),
    StartRouter(u8),
    ClearStore,
    ClearRelay(u8),
    WakeUpstream(usize),
    ClearUpstream(usize),
}

struct Pending {
    at: Instant,
    undo: Undo,
}

/// Plays faults until `until`, then ends all that last. Prints what is done.
pub(crate) async fn play(routed: &mut RoutedFleet, rng: &mut SmallRng, until: Instant) {
    let start = Instant::now();
    let mut pending: Vec<Pending> = Vec::new();
    while Instant::now() < until {
        sleep_ms(rng.random_range(50..MAX_PAUSE_MS)).await;
        undo_due(routed, &mut pending, Instant::now());
        clear_due(routed, &mut pending, Instant::now()).await;
        let struck = compio::time::timeout(STRIKE_LIMIT, strike(routed, rng, &pending));
        let Ok((what, undo)) = struck.await else {
            println!("a fault could not be put in");
            continue;
        };
        let lasts_ms = rng.random_range(300..MAX_LAST_MS);
        let at_ms = start.elapsed().as_millis();
        println!("{at_ms} ms: {what}, for {lasts_ms} ms");
        if let Some(undo) = undo {
            let at = Instant::now() + Duration::from_millis(lasts_ms);
            pending.push(Pending { at, undo });
        }
    }
    let end = Instant::now() + Duration::from_secs(3_600);
    undo_due(routed, &mut pending, end);
    clear_due(routed, &mut pending, end).await;
    for i in 0..routed.upstreams.len() {
        if routed.upstreams[i].exited().is_some() {
            routed.spawn_upstream(u8::try_from(i).unwrap_or_default());
        }
    }
    // A frozen upstream takes knobs when it wakes, long after they were given up for lost.
    for i in 0..routed.upstreams.len() {
        set_upstream(routed, i, &json!({})).await;
    }
    for i in 0..routed.routers.len() {
        // One that was told to stop may not be gone yet.
        if routed.stopping.contains(&i) || routed.routers[i].exited().is_some() {
            routed.routers[i].wait_exit().await;
            routed.spawn_router(u8::try_from(i).unwrap_or_default());
        }
    }
    routed.stopping.clear();
}

/// Ends what ends by a signal or a start.
fn undo_due(routed: &mut RoutedFleet, pending: &mut Vec<Pending>, now: Instant) {
    pending.retain(|p| {
        if p.at > now {
            return true;
        }
        match p.undo {
            Undo::WakeRouter(i) => routed.routers[usize::from(i)].unfreeze(),
            Undo::StartRouter(i) => {
                let at = usize::from(i);
                if routed.routers[at].exited().is_none() {
                    return now < p.at + Duration::from_secs(60);
                }
                routed.stopping.retain(|s| *s != at);
                routed.spawn_router(i);
            }
            Undo::WakeUpstream(i) => routed.upstreams[i].unfreeze(),
            Undo::ClearStore | Undo::ClearRelay(_) | Undo::ClearUpstream(_) => return true,
        }
        false
    });
}

/// Ends what ends by a knob.
async fn clear_due(routed: &RoutedFleet, pending: &mut Vec<Pending>, now: Instant) {
    let due: Vec<Pending> = pending.extract_if(.., |p| p.at <= now).collect();
    for p in due {
        match p.undo {
            Undo::ClearStore => routed.store_knobs(json!({ "lapse_ms": 1_500 })).await,
            Undo::ClearRelay(i) => routed.relay_knobs(i, json!({})).await,
            Undo::ClearUpstream(i) => set_upstream(routed, i, &json!({})).await,
            undo => pending.push(Pending { at: p.at, undo }),
        }
    }
}

async fn strike(
    routed: &mut RoutedFleet,
    rng: &mut SmallRng,
    pending: &[Pending],
) -> (String, Option<Undo>) {
    let router = rng.random_range(0..routed.routers.len());
    let upstream = rng.random_range(0..routed.upstreams.len());
    let i = u8::try_from(router).unwrap_or_default();
    let is_hit = pending
        .iter()
        .any(|p| matches!(p.undo, Undo::WakeRouter(r) | Undo::StartRouter(r) if r == i));
    match rng.random_range(0..12) {
        0 if !is_hit => {
            routed.routers[router].kill();
            routed.spawn_router(i);
            (format!("router {i} killed and started"), None)
        }
        1 if !is_hit => {
            routed.routers[router].freeze();
            (format!("router {i} frozen"), Some(Undo::WakeRouter(i)))
        }
        2 if !is_hit => {
            routed.routers[router].terminate();
            routed.stopping.push(router);
            (
                format!("router {i} told to stop"),
                Some(Undo::StartRouter(i)),
            )
        }
        3 => {
            if !is_hit {
                routed.routers[router].signal_reload();
            }
            (format!("router {i} told of settings"), None)
        }
        4 => {
            let fault = store_fault(rng);
            routed.store_knobs(fault.clone()).await;
            (format!("store {fault}"), Some(Undo::ClearStore))
        }
        5 | 6 => {
            let fault = relay_fault(rng);
            routed.relay_knobs(i, fault.clone()).await;
            (
                format!("router {i}'s way to the store {fault}"),
                Some(Undo::ClearRelay(i)),
            )
        }
        7 => {
            routed.upstreams[upstream].kill();
            routed.spawn_upstream(u8::try_from(upstream).unwrap_or_default());
            (format!("upstream {upstream} killed and started"), None)
        }
        8 => {
            routed.upstreams[upstream].freeze();
            (
                format!("upstream {upstream} frozen"),
                Some(Undo::WakeUpstream(upstream)),
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
                format!("upstream {upstream} {fault}"),
                Some(Undo::ClearUpstream(upstream)),
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

/// Sets an upstream's knobs; one that is frozen or was killed meanwhile doesn't answer.
async fn set_upstream(routed: &RoutedFleet, upstream: usize, knobs: &Value) {
    let text = knobs.to_string();
    let set = post(routed.upstreams[upstream].addr, "/knobs", &text);
    if compio::time::timeout(KNOBS_LIMIT, set).await.is_err() {
        println!("upstream {upstream} doesn't take {text}");
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
    let spoils = [
        "reject", "fail", "cut", "half", "extra", "garbage", "crossed", "unproved", "unframed",
        "silent",
    ];
    if rng.random_bool(0.3) {
        return json!({ "delay_ms": rng.random_range(5..120) });
    }
    if rng.random_bool(0.2) {
        return json!({ "draining": true });
    }
    json!({ "spoil": spoils.choose(rng), "spoilt": rng.random_range(1..40) })
}
