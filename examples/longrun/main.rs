//! A long randomised run: a whole fleet of processes under mixed load, faults chosen by a seed, and
//! a verdict based on the upstreams' own records.
//!
//! `cargo run --release --example longrun -- --seed 7 --seconds 60`

#[path = "../../tests/support/mod.rs"]
mod support;

mod faults;
mod harness;
mod ledger;
mod load;
mod verdict;

use std::process::ExitCode;

use bpaf::{Bpaf, Parser};

/// Runs a fleet of processes under load and faults, and checks the responses that callers received
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
pub(crate) struct Args {
    /// Seed of the faults and the load
    #[bpaf(long, argument("N"))]
    pub(crate) seed: u64,
    /// Duration of the load, in seconds
    #[bpaf(long, argument("S"), fallback(60))]
    pub(crate) seconds: u64,
    /// Use only four routers and six upstreams, for a slow machine
    #[bpaf(long)]
    pub(crate) small: bool,
    /// Keep the output of the processes in a temporary directory
    #[bpaf(long)]
    pub(crate) keep: bool,
}

fn main() -> ExitCode {
    // The program also runs as each process of the fleet.
    match std::env::args().nth(1).as_deref() {
        Some("router") => {
            let parser = cassiagrade::cmd::router::args().to_options();
            exit(cassiagrade::cmd::router::run(parser.run()))
        }
        Some("platform" | "engine" | "plain" | "relay") => exit(standins::cli::main()),
        _ => long_run(&args().run()),
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

fn long_run(args: &Args) -> ExitCode {
    let runtime = compio::runtime::Runtime::new();
    let Ok(runtime) = runtime else {
        eprintln!("can't start the async runtime");
        return ExitCode::FAILURE;
    };
    let verdict = runtime.block_on(harness::run(args));
    print!("{verdict}");
    if verdict.passed() {
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
