//! A soak test of routers on the keyed log: processes under load, faults chosen by a seed and
//! injected from outside, and a verdict based on the records of callers and upstreams.
//!
//! `cargo run --release --example soak -- --seed 7 --seconds 30`

#[path = "../../tests/support/mod.rs"]
mod support;

mod callers;
mod faults;
mod harmful;
mod losses;
mod lost_answers;
mod maintenance;
mod notices;
mod operator;
mod outages;
mod probes;
mod promises;
mod restored;
mod restores;
mod silences;
mod stalls;
mod suspend;
mod verdict;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use bpaf::{Bpaf, Parser};

use crate::callers::Callers;
use crate::faults::{FaultRngs, Scene};
use crate::harmful::HarmfulCallers;
use crate::operator::Operator;
use crate::outages::{Outage, Outages};
use crate::probes::Probes;
use crate::promises::Evidence;
use crate::support::routed::{FleetSize, RoutedFleet};
use crate::suspend::Suspender;

/// Offsets of the seeds of tasks that draw their own random numbers.
const OPERATOR_SEED: u64 = 0x6f70;
const TRUNCATE_SEED: u64 = 0x7472;
const SUSPEND_SEED: u64 = 0x7375;
const PROBE_SEED: u64 = 0x7072;
const HARMFUL_SEED: u64 = 0x6861;
const RESTORE_SEED: u64 = 0x7265;

/// What decides whether a run passes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Checks {
    /// Responses match the upstreams' records.
    Answers,
    /// Configurations and departures are in force in time.
    Promises,
    /// Requests that crash upstreams are stopped, and no others.
    Quarantine,
    /// No answer is lost around stops, reloads and versions.
    Losses,
}

/// Runs a fleet of processes under load and faults, and checks the responses that callers received
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
pub(crate) struct Args {
    /// Seed of the faults and the load
    #[bpaf(long, argument("N"))]
    pub(crate) seed: u64,
    /// Duration of fault injection, in seconds
    #[bpaf(long, argument("S"), fallback(20))]
    pub(crate) seconds: u64,
    /// Number of routers
    #[bpaf(long, argument("N"), fallback(4))]
    pub(crate) routers: u8,
    /// Number of upstreams
    #[bpaf(long, argument("N"), fallback(4))]
    pub(crate) upstreams: u8,
    /// Number of callers
    #[bpaf(long, argument("N"), fallback(8))]
    pub(crate) callers: u32,
    /// Number of callers whose requests, mostly streams, last for seconds
    #[bpaf(long, argument("N"), fallback(4))]
    pub(crate) lasting: u32,
    /// Number of requests that each upstream runs at once
    #[bpaf(long, argument("N"), fallback(64))]
    pub(crate) slots: u32,
    /// Number of tasks per router that send requests on changing routes
    #[bpaf(long, argument("N"), fallback(3))]
    pub(crate) probes: u32,
    /// Share of the faults that excuse routers which are injected, from 0 to 1
    #[bpaf(long, argument("SHARE"), fallback(1.0))]
    pub(crate) excusing: f64,
    /// Number of callers that repeat one request which crashes each upstream that runs it
    #[bpaf(long, argument("N"), fallback(0))]
    pub(crate) harmful: u32,
    /// Number of restores of the store from an older copy, beside evacuations of a data centre
    #[bpaf(long, argument("N"), fallback(0))]
    pub(crate) restores: u32,
    /// Number of restarts of all routers at once
    #[bpaf(long, argument("N"), fallback(0))]
    pub(crate) full_restarts: u32,
    /// Share of the steps in which some upstreams fall silent for a time, from 0 to 1
    #[bpaf(long, argument("SHARE"), fallback(0.2))]
    pub(crate) silences: f64,
    /// Share of the steps in which all processes of the fleet stand still for a time, from 0 to 1
    #[bpaf(long, argument("SHARE"), fallback(0.05))]
    pub(crate) stalls: f64,
    /// Inject nothing but stops, reloads and versions in series, beside silences and stalls
    pub(crate) maintenance: bool,
    /// The only checks that decide, answers, promises, quarantine or losses; by default all
    #[bpaf(long, argument("CHECKS"), optional)]
    pub(crate) only: Option<Checks>,
}

impl Args {
    /// Deleted history makes routers load everything anew, which would hide that they missed records
    /// after a restore. So it is left out with restores and an odd seed.
    fn deletes_history(&self) -> bool {
        self.restores == 0 || self.seed.is_multiple_of(2)
    }
}

fn main() -> ExitCode {
    // The program also runs as each process of the fleet.
    match std::env::args().nth(1).as_deref() {
        Some("router") => {
            let parser = cassiagrade::cmd::router::args().to_options();
            exit(cassiagrade::cmd::router::run(parser.run()))
        }
        Some("keyed" | "backend" | "relay") => exit(standins::cli::main()),
        _ => soak(&args().run()),
    }
}

fn exit<E: std::fmt::Display>(done: Result<(), E>) -> ExitCode {
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn soak(args: &Args) -> ExitCode {
    let Ok(runtime) = compio::runtime::Runtime::new() else {
        eprintln!("can't start the async runtime");
        return ExitCode::FAILURE;
    };
    runtime.block_on(run(args))
}

async fn run(args: &Args) -> ExitCode {
    let mut rngs = FaultRngs::new(args);
    let size = FleetSize {
        routers: args.routers,
        upstreams: args.upstreams,
        store_relays: true,
        slots: args.slots,
        retry_burst: args.maintenance.then_some(*maintenance::RETRY_BURSTS.end()),
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    let outages = started(&routed);
    let operator = Operator::new(&routed, args.deletes_history());
    let suspender = Suspender::new(&routed, outages.clone());
    let scene = Scene::new(operator, suspender, outages, routed.upstreams.len());
    let callers = Callers::spawn(&routed, args.callers, args.lasting, args.seed);
    let probes = Probes::spawn(
        &routed,
        args.probes,
        args.maintenance,
        args.seed ^ PROBE_SEED,
    );
    let harmful = HarmfulCallers::spawn(&routed, args.harmful, args.seed ^ HARMFUL_SEED);
    let until = Instant::now() + Duration::from_secs(args.seconds);
    let others = spawn_others(&routed, &scene, args, until);
    let interruptions = faults::inject_until(&mut routed, &mut rngs, &scene, until).await;
    for other in others {
        let _ = other.await;
    }
    let harmful = harmful.stop().await;
    let recovery = verdict::recovery(&routed).await;
    let records = callers.stop().await;
    let probes = probes.stop().await;
    // Upstreams print a run before they answer it; this waits for the last printed lines.
    support::sleep_ms(300).await;
    let mut violations = Vec::new();
    if args.only.is_none_or(|only| only == Checks::Quarantine) {
        violations.extend(harmful::check(&routed, &harmful, &scene.outages));
        violations.extend(harmful::wrongly_refused(&records));
    }
    if args.only.is_none_or(|only| only == Checks::Answers) {
        violations.extend(recovery);
        violations.extend(verdict::check(&routed, &records, &scene.outages));
        violations.extend(notices::check(&routed, &records, &interruptions));
    }
    println!("seed {}: {}", args.seed, verdict::summary(&records));
    let versions = scene.operator.versions();
    let evacuations = scene.operator.evacuations();
    let evidence = Evidence {
        seed: args.seed,
        routed: &routed,
        requests: &records,
        probes: &probes,
        versions: &versions,
        evacuations: &evacuations,
        outages: &scene.outages,
    };
    let losses = losses::check(&evidence);
    println!("seed {}: {}", args.seed, losses.summary());
    if args.only.is_none_or(|only| only == Checks::Losses) {
        violations.extend(losses.violations);
    }
    let (probed, written) = (probes.len(), versions.len());
    println!(
        "seed {}: {probed} requests on {written} versions",
        args.seed
    );
    for finding in promises::check(&evidence) {
        println!("seed {}: {}", args.seed, finding.summary());
        if args.only.is_none_or(|only| only == Checks::Promises) {
            violations.extend(finding.violations);
        }
    }
    if violations.is_empty() {
        println!("PASS");
        return ExitCode::SUCCESS;
    }
    for violation in &violations {
        println!("FAIL {violation}");
    }
    println!("output kept in {}", routed.keep_output().display());
    ExitCode::FAILURE
}

/// The record of outages, with the start of each router.
fn started(routed: &RoutedFleet) -> Outages {
    let outages = Outages::default();
    for router in 0..routed.routers.len() {
        outages.begin(Outage::RouterDown(router));
        outages.end(Outage::RouterDown(router));
    }
    outages
}

/// Starts the operator and what disturbs the fleet beside the faults; all end soon after `until`.
fn spawn_others(
    routed: &RoutedFleet,
    scene: &Scene,
    args: &Args,
    until: Instant,
) -> Vec<compio::runtime::JoinHandle<()>> {
    let seed = args.seed;
    let operator = scene
        .operator
        .clone()
        .run_until(seed ^ OPERATOR_SEED, until);
    let store = routed.store.addr;
    let mut others = vec![compio::runtime::spawn(operator)];
    if !args.maintenance {
        let suspender = scene.suspender.clone();
        let shortages = suspender.run_until(seed ^ SUSPEND_SEED, until);
        others.push(compio::runtime::spawn(shortages));
    }
    if args.deletes_history() {
        let truncations = operator::truncate_until(store, seed ^ TRUNCATE_SEED, until);
        others.push(compio::runtime::spawn(truncations));
    }
    if args.restores > 0 {
        let operator = &scene.operator;
        let seed = seed ^ RESTORE_SEED;
        let evacuations = restores::evacuate_until(operator.clone(), seed, until);
        let outages = scene.outages.clone();
        let restores = restores::run_until(operator.clone(), outages, seed, args.restores, until);
        others.push(compio::runtime::spawn(evacuations));
        others.push(compio::runtime::spawn(restores));
    }
    others
}
