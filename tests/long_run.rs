//! The randomised long run in a short form, with fixed seeds.

use std::path::Path;
use std::process::Command;

use test_case::test_case;

/// Faults drawn from the seed meet mixed load; the run itself compares what callers received with
/// the upstreams' records. Which requests meet which fault varies with the machine, but no answer
/// may contradict the records.
#[test_case(2)]
#[test_case(7)]
fn answers_match_upstream_records(seed: u32) {
    let bin = Path::new(env!("CARGO_BIN_EXE_cassiagrade"));
    let path = bin.parent().unwrap().join("examples/longrun");
    let mut command = Command::new(path);
    command.args(["--small", "--seconds", "8", "--seed", &seed.to_string()]);
    let output = command.output().unwrap();
    let verdict = String::from_utf8_lossy(&output.stdout);
    println!("{verdict}");
    assert!(output.status.success(), "{verdict}");
}
