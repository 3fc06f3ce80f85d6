//! The fault soak in a short form, with fixed seeds, including every seed that ever failed.

use std::path::Path;
use std::process::Command;

use test_case::test_case;

/// Faults drawn from the seed meet mixed load; the soak itself compares what callers received with
/// the upstreams' records.
#[test_case(1, 8)]
#[test_case(2, 8)]
#[test_case(11, 8; "knobs of a frozen upstream held up the soak itself for ever")]
#[test_case(17, 8; "one of the soak's own faults never went in and held it up; which one is not traced")]
#[test_case(329, 20; "entries of replaced upstreams took all retries, as each came back unrun again and again")]
fn nothing_untrue_is_told(seed: u32, seconds: u32) {
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
