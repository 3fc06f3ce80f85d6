//! Latency that a router adds to a request (direct, through one router, and with a hop), and the
//! throughput of one router per core.
//!
//! Each router and stand-in runs on its own thread and runtime, over loopback TCP. Requests
//! alternate between the three routes, so that other load on the machine affects them equally.
//! Results go to standard error, because the stand-ins write their runs to standard output:
//! `cargo bench --bench path > /dev/null`; `-- short` takes a tenth of the samples.

mod fleet;
mod load;

use std::error::Error;
use std::time::Duration;

use fleet::{Fleet, Route};
use hdrhistogram::Histogram;

/// Measured rounds of the latency run, and rounds before them that warm up connections.
const ROUNDS: u32 = 2_000;
const WARM_UP: u32 = 100;
/// Callers of the throughput run, and the threads that they share.
const CALLERS: u32 = 64;
const CALLER_THREADS: u32 = 4;
const LOAD_TIME: Duration = Duration::from_secs(4);

const ROUTES: [Route; 3] = [Route::Direct, Route::Router, Route::Hop];
const PERCENTILES: [f64; 2] = [50.0, 99.0];

type BoxError = Box<dyn Error>;

fn main() -> Result<(), BoxError> {
    let short = std::env::args().any(|arg| arg == "short");
    let share = if short { 10 } else { 1 };
    let fleet = Fleet::start()?;
    eprintln!("latency: one caller, {} requests per route", ROUNDS / share);
    for kind in fleet.request_kinds() {
        latency(&fleet, &kind, ROUNDS / share)?;
    }
    eprintln!();
    eprintln!("throughput: {CALLERS} callers, one router, which is the home of its upstreams");
    for kind in fleet.request_kinds() {
        throughput(&fleet, &kind, LOAD_TIME / share)?;
    }
    Ok(())
}

fn latency(fleet: &Fleet, kind: &fleet::RequestKind, rounds: u32) -> Result<(), BoxError> {
    let mut samples = Vec::new();
    for _ in ROUTES {
        samples.push(Histogram::<u64>::new(3)?);
    }
    compio::runtime::Runtime::new()?.block_on(async {
        let client = cyper::Client::new()?;
        for round in 0..WARM_UP + rounds {
            for (route, histogram) in ROUTES.iter().zip(&mut samples) {
                let took = load::timed_request(&client, fleet, kind, *route).await?;
                if round >= WARM_UP {
                    histogram.record(u64::try_from(took.as_nanos())?)?;
                }
            }
        }
        Ok::<_, BoxError>(())
    })?;
    eprintln!("  {}", kind.name);
    for (route, histogram) in ROUTES.iter().zip(&samples) {
        let us = |p: f64| histogram.value_at_percentile(p) / 1_000;
        let added = |p: f64| us(p).saturating_sub(samples[0].value_at_percentile(p) / 1_000);
        let [p50, p99] = PERCENTILES;
        eprintln!(
            "    {:<10}  p50 {:>6} us  p99 {:>6} us   added p50 {:>5} us  p99 {:>5} us",
            route.to_string(),
            us(p50),
            us(p99),
            added(p50),
            added(p99),
        );
    }
    Ok(())
}

fn throughput(
    fleet: &Fleet,
    kind: &fleet::RequestKind,
    duration: Duration,
) -> Result<(), BoxError> {
    let cpu_before = fleet.home_cpu();
    let result = load::generate_load(fleet, kind, CALLERS, CALLER_THREADS, duration)?;
    let cpu = fleet.home_cpu() - cpu_before;
    let per_request_us = cpu.as_secs_f64() * 1e6 / f64::from(result.answered);
    eprintln!(
        "  {:<26} {:>7.0} requests/s, {} failed; router thread busy {:.0} %, {per_request_us:.0} us per \
         request: {:.0} requests/s per core",
        kind.name,
        f64::from(result.answered) / result.took.as_secs_f64(),
        result.failed,
        cpu.as_secs_f64() / result.took.as_secs_f64() * 100.0,
        1e6 / per_request_us,
    );
    Ok(())
}
