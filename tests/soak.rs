//! The fault soak in a short form, with fixed seeds, including every seed that ever failed.

use std::path::Path;
use std::process::Command;

use test_case::test_case;

/// Faults drawn from the seed meet mixed load; the soak itself compares what callers received with
/// the upstreams' records.
#[test_case(1, 8)]
#[test_case(2, 8)]
#[test_case(11, 8; "setting knobs of a frozen upstream blocked the soak forever")]
#[test_case(17, 8; "injecting a fault never finished and blocked the soak; which fault is unknown")]
#[test_case(329, 20; "entries of replaced upstreams used up all retries, because each was repeatedly rejected as not run")]
fn answers_match_upstream_records(seed: u32, seconds: u32) {
    let bin = Path::new(env!("CARGO_BIN_EXE_cassiagrade"));
    let path = bin.parent().unwrap().join("examples/soak");
    let mut command = Command::new(path);
    let (seed, seconds) = (seed.to_string(), seconds.to_string());
    command.args(["--seconds", &seconds, "--seed", &seed]);
    let output = command.output().unwrap();
    let verdict = String::from_utf8_lossy(&output.stdout);
    println!("{verdict}");
    assert!(output.status.success(), "{verdict}");
}
