//! A soak test of routers on the keyed log: processes under load, faults chosen by a seed and
//! injected from outside, and a verdict based on the records of callers and upstreams.
//!
//! `cargo run --release --example soak -- --seed 7 --seconds 30`

#[path = "../../tests/support/mod.rs"]
mod support;

mod callers;
mod faults;
mod notices;
mod verdict;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use bpaf::{Bpaf, Parser};

use crate::callers::Callers;
use crate::faults::FaultRngs;
use crate::support::routed::{FleetSize, RoutedFleet};

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
    let mut rngs = FaultRngs::from_seed(args.seed);
    let size = FleetSize {
        routers: args.routers,
        upstreams: args.upstreams,
        store_relays: true,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    let callers = Callers::spawn(&routed, args.callers, args.seed);
    let until = Instant::now() + Duration::from_secs(args.seconds);
    let interruptions = faults::inject_until(&mut routed, &mut rngs, until).await;
    let mut violations = verdict::recovery(&routed).await;
    let records = callers.stop().await;
    // Upstreams print a run before they answer it; this waits for the last printed lines.
    support::sleep_ms(300).await;
    violations.extend(verdict::check(&routed, &records));
    violations.extend(notices::check(&routed, &records, &interruptions));
    println!("seed {}: {}", args.seed, verdict::summary(&records));
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
