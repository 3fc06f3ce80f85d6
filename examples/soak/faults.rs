//! Faults injected from outside the routers, chosen by a seed. They overlap, and each is reverted
//! after a while.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::Args;
use crate::maintenance;
use crate::operator::Operator;
use crate::outages::{Outage, Outages, Span};
use crate::silences;
use crate::stalls::{self, Stall};
use crate::support::routed::RoutedFleet;
use crate::support::{post, sleep_ms, wall_ms};
use crate::suspend::{Hold, Suspender};

/// Maximum pause between two faults; shorter than most faults last, so that they overlap.
const MAX_PAUSE_MS: u64 = 900;
/// Maximum duration of a fault.
const MAX_FAULT_MS: u64 = 3_500;

/// Maximum time for which an upstream announces its shutdown before it ends.
const MAX_LEAVING_MS: u64 = 8_000;
/// Share of the steps in which an upstream also announces a shutdown or a time without requests.
const NOTICE_SHARE: f64 = 0.4;

/// Share of the steps in which an upstream starts to leave.
const DEPARTURE_SHARE: f64 = 0.35;
/// Time for which a leaving upstream serves.
const DEPARTURE_MS: std::ops::Range<u64> = 4_000..9_500;
/// Offsets of the seeds of departures, and of the choice of faults that are left out.
const DEPARTURE_SEED: u64 = 0x6465_7061_7274;
const OMISSION_SEED: u64 = 0x6f6d_6974;
const FULL_RESTART_SEED: u64 = 0x6675_6c6c;
const SILENCE_SEED: u64 = 0x7369_6c65;
const STALL_SEED: u64 = 0x7374_616c;
const MAINTENANCE_SEED: u64 = 0x6d61_696e;

/// Share of the steps in which all routers restart, once the last such restart is this long ago.
const FULL_RESTART_SHARE: f64 = 0.3;
const FULL_RESTART_PAUSE: Duration = Duration::from_secs(6);
/// Longest silence of an upstream.
const MAX_SILENCE: Duration = Duration::from_millis(*silences::SILENCE_MS.end());
/// Longest stall of all processes.
const MAX_STALL: Duration = Duration::from_millis(*stalls::STALL_MS.end());

/// Maximum time for which all routers are down.
const MAX_DOWN_MS: u64 = 1_500;

/// Random numbers of the faults. Notices, departures, silences, stalls and maintenance have their own, so
/// that a seed keeps its other faults.
pub(crate) struct FaultRngs {
    faults: SmallRng,
    notices: SmallRng,
    departures: SmallRng,
    omissions: SmallRng,
    full_restarts: SmallRng,
    silences: SmallRng,
    stalls: SmallRng,
    maintenance: SmallRng,
    /// Number of restarts of all routers that are left.
    full_restarts_left: u32,
    /// Share of the faults that excuse routers which are injected.
    excusing_share: f64,
    /// Share of the steps in which upstreams fall silent.
    silence_share: f64,
    /// Share of the steps in which all processes stand still.
    stall_share: f64,
    /// Whether there are no other faults than maintenance, silences and stalls.
    has_maintenance: bool,
}

impl FaultRngs {
    pub(crate) fn new(args: &Args) -> Self {
        let seed = args.seed;
        Self {
            faults: SmallRng::seed_from_u64(seed),
            notices: SmallRng::seed_from_u64(!seed),
            departures: SmallRng::seed_from_u64(seed ^ DEPARTURE_SEED),
            omissions: SmallRng::seed_from_u64(seed ^ OMISSION_SEED),
            full_restarts: SmallRng::seed_from_u64(seed ^ FULL_RESTART_SEED),
            silences: SmallRng::seed_from_u64(seed ^ SILENCE_SEED),
            stalls: SmallRng::seed_from_u64(seed ^ STALL_SEED),
            maintenance: SmallRng::seed_from_u64(seed ^ MAINTENANCE_SEED),
            full_restarts_left: args.full_restarts,
            excusing_share: args.excusing.clamp(0.0, 1.0),
            silence_share: args.silences.clamp(0.0, 1.0),
            stall_share: args.stalls.clamp(0.0, 1.0),
            has_maintenance: args.maintenance,
        }
    }
}

/// What else acts on the fleet during the run, and the record of all outages.
pub(crate) struct Scene {
    pub(crate) operator: Operator,
    pub(crate) suspender: Suspender,
    pub(crate) outages: Outages,
    /// Knobs of each upstream.
    knobs: RefCell<Vec<Value>>,
}

impl Scene {
    pub(crate) fn new(
        operator: Operator,
        suspender: Suspender,
        outages: Outages,
        upstreams: usize,
    ) -> Self {
        Self {
            operator,
            suspender,
            outages,
            knobs: RefCell::new(vec![json!({}); upstreams]),
        }
    }

    /// The knobs that an upstream got last.
    pub(crate) fn knobs(&self, upstream: usize) -> Value {
        self.knobs.borrow()[upstream].clone()
    }

    /// Stops a router with SIGTERM. The caller starts it again once it is gone.
    pub(crate) fn stop_router(&self, routed: &mut RoutedFleet, router: usize) {
        self.outages.begin(Outage::RouterDown(router));
        self.outages.stopped(router);
        routed.routers[router].terminate();
        routed.stopping.push(router);
    }

    /// Has a router read its settings file again.
    pub(crate) fn reload_router(&self, routed: &RoutedFleet, router: usize) {
        self.outages.reloaded(router);
        routed.routers[router].signal_reload();
    }

    /// Kills a router. The caller starts it again.
    fn kill_router(&self, routed: &mut RoutedFleet, router: usize) {
        self.outages.begin(Outage::RouterDown(router));
        self.outages.begin(Outage::RouterKilled(router));
        routed.routers[router].kill();
        self.outages.end(Outage::RouterKilled(router));
    }

    /// Starts a router again that was waited for.
    fn start_router(&self, routed: &mut RoutedFleet, router: usize) {
        self.outages.end(Outage::RouterDown(router));
        routed.spawn_router(u8::try_from(router).unwrap_or_default());
        self.suspender
            .replace(router, routed.routers[router].handle());
    }

    /// Records that an upstream was killed.
    fn upstream_killed(&self, upstream: usize) {
        self.knobs.borrow_mut()[upstream] = json!({});
        self.outages.end(Outage::UpstreamFrozen(upstream));
        self.outages.end(Outage::UpstreamLeaving(upstream));
        self.outages.begin(Outage::UpstreamFault(upstream));
        self.outages.end(Outage::UpstreamFault(upstream));
    }
}

/// Timeout for setting an upstream's knobs.
pub(crate) const KNOBS_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for injecting a fault; a frozen or killed stand-in doesn't respond.
const INJECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How a fault is reverted.
enum Revert {
    ResumeRouter(Hold),
    StartRouter(u8),
    ClearStore,
    ClearRelay(u8),
    ResumeUpstream(usize),
    ClearUpstream(usize),
    /// Ends the upstream and starts it again, mostly under an id that earlier starts had.
    ReplaceUpstream(usize),
    /// Ends a leaving upstream and starts it again under a new id.
    ReplaceDeparted(usize),
}

impl Revert {
    /// Whether the fault suspended or stopped a router.
    fn is_of_router(&self) -> bool {
        matches!(self, Self::ResumeRouter(_) | Self::StartRouter(_))
    }
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

    pub(crate) fn upstream_silent(&mut self, i: usize, span: Span) {
        self.upstreams.push((i, span.from_ms));
        self.upstreams.push((i, span.to_ms));
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
    scene: &Scene,
    until: Instant,
) -> Interruptions {
    let start = Instant::now();
    let rng = &mut rngs.faults;
    let mut active: Vec<ActiveFault> = Vec::new();
    let mut interruptions = Interruptions::default();
    let mut restarted = start;
    while Instant::now() < until {
        sleep_ms(rng.random_range(50..MAX_PAUSE_MS)).await;
        revert_due(
            routed,
            scene,
            &mut active,
            &mut interruptions,
            Instant::now(),
        );
        clear_due_knobs(routed, scene, &mut active, Instant::now()).await;
        replace_crashed(routed, scene, &mut interruptions);
        if rngs.full_restarts_left > 0
            && restarted.elapsed() > FULL_RESTART_PAUSE
            && rngs.full_restarts.random_bool(FULL_RESTART_SHARE)
            && !active.iter().any(|fault| fault.revert.is_of_router())
        {
            let down_ms = rngs.full_restarts.random_range(0..MAX_DOWN_MS);
            restart_all(routed, scene, &mut interruptions, down_ms).await;
            println!(
                "{} ms: all routers killed, and started after {down_ms} ms",
                start.elapsed().as_millis()
            );
            rngs.full_restarts_left -= 1;
            restarted = Instant::now();
        }
        if !rngs.has_maintenance && rngs.departures.random_bool(DEPARTURE_SHARE) {
            let departure = departure(routed, scene, &mut rngs.departures).await;
            if let Some((description, fault)) = departure {
                println!("{} ms: {description}", start.elapsed().as_millis());
                active.push(fault);
            }
        }
        if !rngs.has_maintenance && rngs.notices.random_bool(NOTICE_SHARE) {
            let (description, fault) = notice(routed, scene, &mut rngs.notices).await;
            println!("{} ms: {description}", start.elapsed().as_millis());
            active.push(fault);
        }
        let ends_in_time = Instant::now() + MAX_SILENCE < until;
        if rngs.silences.random_bool(rngs.silence_share) && ends_in_time {
            let silences = &mut rngs.silences;
            let description = silences::begin(routed, scene, silences, &mut interruptions).await;
            println!("{} ms: {description}", start.elapsed().as_millis());
        }
        if rngs.stalls.random_bool(rngs.stall_share) && Instant::now() + MAX_STALL < until {
            let (before_ms, after_ms) = stalls::draw(&mut rngs.stalls);
            let stall = Stall::begin(routed, scene);
            sleep_ms(before_ms).await;
            if rngs.has_maintenance {
                maintain(routed, scene, &mut rngs.maintenance, &mut active, start);
            }
            sleep_ms(after_ms).await;
            stall.end(scene, &mut interruptions);
            let (at_ms, stall_ms) = (start.elapsed().as_millis(), before_ms + after_ms);
            println!("{at_ms} ms: all processes stood still for {stall_ms} ms");
        }
        if rngs.has_maintenance {
            maintain(routed, scene, &mut rngs.maintenance, &mut active, start);
            continue;
        }
        let has_excusing = rngs.omissions.random_bool(rngs.excusing_share);
        let injected = inject(
            routed,
            scene,
            rng,
            has_excusing,
            &active,
            &mut interruptions,
        );
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
    revert_due(routed, scene, &mut active, &mut interruptions, end);
    clear_due_knobs(routed, scene, &mut active, end).await;
    for i in 0..routed.upstreams.len() {
        if routed.upstreams[i].exited().is_some() {
            routed.spawn_upstream(u8::try_from(i).unwrap_or_default());
        }
    }
    // An upstream that was frozen or silent applies knobs later, after their request timed out, so
    // all knobs are reset once more.
    for i in 0..routed.upstreams.len() {
        set_upstream(routed, scene, i, &json!({})).await;
    }
    for i in 0..routed.routers.len() {
        // A router that was stopped may not have exited yet.
        if routed.stopping.contains(&i) || routed.routers[i].exited().is_some() {
            routed.routers[i].wait_exit().await;
            scene.start_router(routed, i);
            interruptions.router(i);
        }
    }
    routed.stopping.clear();
    for i in 0..routed.routers.len() {
        for freeze in scene.outages.freezes(i) {
            interruptions.routers.push((i, freeze.from_ms));
            interruptions.routers.push((i, freeze.to_ms));
        }
    }
    interruptions.routers.extend(scene.outages.stops());
    interruptions
}

/// Takes a step of maintenance. Routers that it stops are started again as soon as they are gone.
fn maintain(
    routed: &mut RoutedFleet,
    scene: &Scene,
    rng: &mut SmallRng,
    active: &mut Vec<ActiveFault>,
    start: Instant,
) {
    let step = maintenance::step(routed, scene, rng);
    println!("{} ms: {}", start.elapsed().as_millis(), step.description);
    for router in step.stopped {
        active.push(ActiveFault {
            reverts_at: Instant::now(),
            revert: Revert::StartRouter(u8::try_from(router).unwrap_or_default()),
        });
    }
}

/// Kills all routers at once, and starts them together after `down_ms`.
async fn restart_all(
    routed: &mut RoutedFleet,
    scene: &Scene,
    interruptions: &mut Interruptions,
    down_ms: u64,
) {
    let all = 0..routed.routers.len();
    for router in all.clone() {
        scene.kill_router(routed, router);
        interruptions.router(router);
    }
    sleep_ms(down_ms).await;
    for router in all {
        scene.start_router(routed, router);
        interruptions.router(router);
    }
}

/// Starts upstreams again that ended by themselves.
fn replace_crashed(routed: &mut RoutedFleet, scene: &Scene, interruptions: &mut Interruptions) {
    for i in 0..routed.upstreams.len() {
        if routed.upstreams[i].exited().is_some() {
            scene.upstream_killed(i);
            routed.spawn_upstream(u8::try_from(i).unwrap_or_default());
            interruptions.upstream(i);
        }
    }
}

/// Makes an upstream announce its shutdown, or reject requests and ask for a time without any.
async fn notice(routed: &RoutedFleet, scene: &Scene, rng: &mut SmallRng) -> (String, ActiveFault) {
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
    set_upstream(routed, scene, i, &knobs).await;
    let fault = ActiveFault {
        reverts_at: Instant::now() + Duration::from_millis(duration_ms),
        revert,
    };
    let description = format!("upstream {i}: {knobs}, for {duration_ms} ms");
    (description, fault)
}

/// Makes an upstream leave, with or without a `draining` entry, while it goes on serving. At most
/// half of the upstreams leave at once, and a frozen one doesn't.
async fn departure(
    routed: &RoutedFleet,
    scene: &Scene,
    rng: &mut SmallRng,
) -> Option<(String, ActiveFault)> {
    let count = routed.upstreams.len();
    let i = rng.random_range(0..count);
    let is_withdrawn = rng.random_bool(0.5);
    let duration_ms = rng.random_range(DEPARTURE_MS);
    let is_leaving = |i: usize| scene.outages.is_open(Outage::UpstreamLeaving(i));
    let leaving = (0..count).filter(|i| is_leaving(*i)).count();
    let is_frozen = scene.outages.is_open(Outage::UpstreamFrozen(i));
    if is_leaving(i) || is_frozen || leaving >= count.div_ceil(2) {
        return None;
    }
    let knobs = json!({ "draining": !is_withdrawn, "withdrawn": is_withdrawn });
    set_upstream(routed, scene, i, &knobs).await;
    scene.outages.begin(Outage::UpstreamLeaving(i));
    let fault = ActiveFault {
        reverts_at: Instant::now() + Duration::from_millis(duration_ms),
        revert: Revert::ReplaceDeparted(i),
    };
    let description = format!("upstream {i} leaves: {knobs}, for {duration_ms} ms");
    Some((description, fault))
}

/// Reverts due faults that end by a signal or a process start.
fn revert_due(
    routed: &mut RoutedFleet,
    scene: &Scene,
    active: &mut Vec<ActiveFault>,
    interruptions: &mut Interruptions,
    now: Instant,
) {
    active.retain(|fault| {
        if fault.reverts_at > now {
            return true;
        }
        match fault.revert {
            Revert::ResumeRouter(hold) => {
                scene.suspender.release(hold);
                interruptions.router(hold.router);
            }
            Revert::StartRouter(i) => {
                let index = usize::from(i);
                if routed.routers[index].exited().is_none() {
                    return now < fault.reverts_at + Duration::from_secs(60);
                }
                routed.stopping.retain(|s| *s != index);
                scene.start_router(routed, index);
                interruptions.router(index);
            }
            Revert::ResumeUpstream(i) => {
                routed.upstreams[i].unfreeze();
                scene.outages.end(Outage::UpstreamFrozen(i));
                interruptions.upstream(i);
            }
            Revert::ReplaceUpstream(i) => {
                routed.upstreams[i].kill();
                scene.upstream_killed(i);
                routed.spawn_upstream_as(u8::try_from(i).unwrap_or_default(), &format!("i-{i}"));
                interruptions.upstream(i);
            }
            Revert::ReplaceDeparted(i) => {
                routed.upstreams[i].kill();
                scene.upstream_killed(i);
                routed.spawn_upstream(u8::try_from(i).unwrap_or_default());
                interruptions.upstream(i);
            }
            Revert::ClearStore | Revert::ClearRelay(_) | Revert::ClearUpstream(_) => return true,
        }
        false
    });
}

/// Reverts due faults that end by resetting knobs.
async fn clear_due_knobs(
    routed: &RoutedFleet,
    scene: &Scene,
    active: &mut Vec<ActiveFault>,
    now: Instant,
) {
    let due: Vec<ActiveFault> = active
        .extract_if(.., |fault| fault.reverts_at <= now)
        .collect();
    for fault in due {
        match fault.revert {
            Revert::ClearStore => {
                routed.store_knobs(json!({ "lapse_ms": 1_500 })).await;
                scene.outages.end(Outage::Store);
            }
            Revert::ClearRelay(i) => {
                routed.relay_knobs(i, json!({})).await;
                scene.outages.end(Outage::Relay(usize::from(i)));
            }
            Revert::ClearUpstream(i) => set_upstream(routed, scene, i, &json!({})).await,
            revert => active.push(ActiveFault {
                reverts_at: fault.reverts_at,
                revert,
            }),
        }
    }
}

async fn inject(
    routed: &mut RoutedFleet,
    scene: &Scene,
    rng: &mut SmallRng,
    has_excusing: bool,
    active: &[ActiveFault],
    interruptions: &mut Interruptions,
) -> (String, Option<Revert>) {
    let router = rng.random_range(0..routed.routers.len());
    let upstream = rng.random_range(0..routed.upstreams.len());
    let i = u8::try_from(router).unwrap_or_default();
    let is_faulted = active.iter().any(|fault| match fault.revert {
        Revert::ResumeRouter(hold) => hold.router == router,
        Revert::StartRouter(r) => r == i,
        _ => false,
    });
    match rng.random_range(0..12) {
        0..=2 if !has_excusing => ("no router fault".to_owned(), None),
        0 if !is_faulted => {
            scene.kill_router(routed, router);
            scene.start_router(routed, router);
            interruptions.router(router);
            (format!("router {i} killed and started"), None)
        }
        1 if !is_faulted => {
            let hold = scene.suspender.hold(router);
            interruptions.router(router);
            (
                format!("router {i} frozen"),
                Some(Revert::ResumeRouter(hold)),
            )
        }
        2 if !is_faulted => {
            scene.stop_router(routed, router);
            (
                format!("router {i} stopped with SIGTERM"),
                Some(Revert::StartRouter(i)),
            )
        }
        3 => {
            if !is_faulted {
                scene.reload_router(routed, router);
            }
            (
                format!("router {i} sent SIGHUP to reload its settings"),
                None,
            )
        }
        4 => {
            let fault = store_fault(rng);
            let is_forget = fault["forget"] == true;
            if !is_forget && !has_excusing {
                return (format!("not injected: {fault}"), None);
            }
            if !is_forget {
                scene.outages.begin(Outage::Store);
            }
            routed.store_knobs(fault.clone()).await;
            if is_forget {
                // These knobs replaced those of a fault.
                scene.outages.end(Outage::Store);
            }
            (format!("store: {fault}"), Some(Revert::ClearStore))
        }
        5 | 6 => {
            let fault = relay_fault(rng);
            if !has_excusing {
                return (format!("not injected: {fault}"), None);
            }
            scene.outages.begin(Outage::Relay(router));
            routed.relay_knobs(i, fault.clone()).await;
            (
                format!("relay from router {i} to the store: {fault}"),
                Some(Revert::ClearRelay(i)),
            )
        }
        7 => {
            routed.upstreams[upstream].kill();
            scene.upstream_killed(upstream);
            routed.spawn_upstream(u8::try_from(upstream).unwrap_or_default());
            interruptions.upstream(upstream);
            (format!("upstream {upstream} killed and started"), None)
        }
        8 => {
            scene.outages.begin(Outage::UpstreamFrozen(upstream));
            routed.upstreams[upstream].freeze();
            interruptions.upstream(upstream);
            (
                format!("upstream {upstream} frozen"),
                Some(Revert::ResumeUpstream(upstream)),
            )
        }
        9 | 10 => {
            let fault = upstream_fault(rng);
            set_upstream(routed, scene, upstream, &fault).await;
            (
                format!("upstream {upstream}: {fault}"),
                Some(Revert::ClearUpstream(upstream)),
            )
        }
        _ => {
            let name = format!("more-{}", rng.random_range(0..100));
            let description = format!("configuration with route {name}");
            scene.operator.want_route(json!({
                "name": name, "host": "b.example", "path_prefix": "/x/", "type": "idempotent",
                "service": "s1",
            }));
            (description, None)
        }
    }
}

/// Sets an upstream's knobs, unless it is leaving, which other knobs would undo; prints a line if
/// the upstream is frozen or was killed.
async fn set_upstream(routed: &RoutedFleet, scene: &Scene, upstream: usize, knobs: &Value) {
    if scene.outages.is_open(Outage::UpstreamLeaving(upstream)) {
        return;
    }
    let fault = Outage::UpstreamFault(upstream);
    let is_cleared = knobs.as_object().is_some_and(serde_json::Map::is_empty);
    if !is_cleared {
        scene.outages.begin(fault);
    }
    scene.knobs.borrow_mut()[upstream] = knobs.clone();
    let text = knobs.to_string();
    let set = post(routed.upstreams[upstream].addr, "/knobs", &text);
    if compio::time::timeout(KNOBS_TIMEOUT, set).await.is_err() {
        println!("upstream {upstream} did not accept knobs {text} before the timeout");
    } else if is_cleared {
        scene.outages.end(fault);
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
