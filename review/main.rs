//! Stand-ins and drivers of the review's cases. Exit codes: 0 the rule held, 1 it was broken, 2 the
//! case couldn't run.

mod attempts;
mod crash;
mod fleet;
mod gone;
mod http;
mod runner;
mod store;

use std::env;
use std::io;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use runner::Options;

/// Milliseconds since the epoch; the clock of all processes of a case.
fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

/// Whether the disruption is to be played.
fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn start_runner(args: &[String]) -> Option<io::Result<()>> {
    let [
        id,
        service,
        zone,
        addr,
        store,
        slots,
        queue,
        work,
        events,
        seed,
    ] = args
    else {
        return None;
    };
    let options = Options {
        id: id.clone(),
        addr: addr.parse().ok()?,
        store: store.parse().ok()?,
        service: service.clone(),
        zone: zone.clone(),
        slots: slots.parse().ok()?,
        queue: queue.parse().ok()?,
        work_ms: work.parse().ok()?,
        events: events.parse().ok()?,
    };
    Some(runner::run(options, seed.parse().ok()?))
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let (name, rest) = match args.split_first() {
        Some((name, rest)) => (name.as_str(), rest),
        None => ("", &[][..]),
    };
    let held = match (name, rest) {
        ("runner", rest) => match start_runner(rest) {
            Some(Ok(())) => return ExitCode::SUCCESS,
            Some(Err(e)) => Err(e),
            None => Err(io::Error::other("runner: wrong arguments")),
        },
        ("crash", [record]) => crash::play(record),
        ("attempts", [record]) => attempts::play(record),
        ("gone", [record]) => gone::play(record),
        _ => Err(io::Error::other(
            "usage: review-tools crash|attempts|gone RECORD",
        )),
    };
    match held {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("the case couldn't run: {e}");
            ExitCode::from(2)
        }
    }
}
