//! A fault soak of routers on the keyed log: processes under load, faults drawn from a seed and put
//! in from outside, and a verdict that rests on what callers and upstreams saw.
//!
//! `cargo run --release --example soak -- --seed 7 --seconds 30`

#[path = "../../tests/support/mod.rs"]
mod support;

mod callers;
mod faults;
mod verdict;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use bpaf::{Bpaf, Parser};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::callers::Callers;
use crate::support::routed::{FleetSize, RoutedFleet};

/// Soaks a fleet of processes in faults, and checks what callers were told
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
pub(crate) struct Args {
    /// Draws the faults and the load
    #[bpaf(long, argument("N"))]
    pub(crate) seed: u64,
    /// How long faults come
    #[bpaf(long, argument("S"), fallback(20))]
    pub(crate) seconds: u64,
    /// Routers
    #[bpaf(long, argument("N"), fallback(4))]
    pub(crate) routers: u8,
    /// Upstreams
    #[bpaf(long, argument("N"), fallback(4))]
    pub(crate) upstreams: u8,
    /// Callers
    #[bpaf(long, argument("N"), fallback(8))]
    pub(crate) callers: u32,
}

fn main() -> ExitCode {
    // The program starts itself again as each process of the fleet.
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
        eprintln!("no runtime");
        return ExitCode::FAILURE;
    };
    runtime.block_on(run(args))
}

async fn run(args: &Args) -> ExitCode {
    let mut rng = SmallRng::seed_from_u64(args.seed);
    let size = FleetSize {
        routers: args.routers,
        upstreams: args.upstreams,
        store_relays: true,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    let callers = Callers::spawn(&routed, args.callers, args.seed);
    let until = Instant::now() + Duration::from_secs(args.seconds);
    faults::play(&mut routed, &mut rng, until).await;
    let mut found = verdict::recovery(&routed).await;
    let told = callers.stop().await;
    // What upstreams began to run is printed before it is answered.
    support::sleep_ms(300).await;
    found.extend(verdict::check(&routed, &told));
    println!("seed {}: {}", args.seed, verdict::summary(&told));
    if found.is_empty() {
        println!("PASS");
        return ExitCode::SUCCESS;
    }
    for fault in &found {
        println!("FAIL {fault}");
    }
    println!("kept in {}", routed.keep_output().display());
    ExitCode::FAILURE
}
