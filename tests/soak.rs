//! The fault soak in a short form, with fixed seeds, including every seed that ever failed.

use std::path::Path;
use std::process::Command;
use std::sync::RwLock;

use test_case::test_case;

/// Bounds are checked while no other soak of these tests takes its processor time.
static FLEETS: RwLock<()> = RwLock::new(());

/// Faults drawn from the seed meet mixed load; the soak itself compares what callers received with
/// the upstreams' records.
#[test_case(1, 8)]
#[test_case(2, 8)]
#[test_case(11, 8; "setting knobs of a frozen upstream blocked the soak forever")]
#[test_case(17, 8; "injecting a fault never finished and blocked the soak; which fault is unknown")]
#[test_case(5003, 8; "an upstream that resumed answered requests of a former process of the router, which that router never read")]
#[test_case(5011, 18; "one death of an upstream counted for each identical request that it ended, and quarantined a common one")]
#[test_case(329, 20; "entries of replaced upstreams used up all retries, because each was repeatedly rejected as not run")]
fn answers_match_upstream_records(seed: u32, seconds: u32) {
    let _shared = FLEETS.read();
    soak("answers", seed, seconds, "");
}

/// A request that reaches an upstream, or is handled by an old configuration, later than allowed
/// after the store acknowledged the change.
#[test_case(2015, 8, ""; "nobody read for the first seconds, and removals waited as after an outage")]
#[test_case(3005, 12, "--routers 6 --upstreams 6 --excusing 0"; "removals waited as after an outage, on a fresh fleet without a fault")]
#[test_case(3007, 15, "--routers 6 --upstreams 6 --excusing 0"; "removals waited as after an outage, after seconds of short stops")]
#[test_case(3016, 12, "--routers 9 --upstreams 9 --excusing 0.1 --probes 2"; "removals waited as after an outage, in a larger fleet")]
#[test_case(3013, 20, "--routers 9 --upstreams 9 --excusing 0.1 --callers 60"; "a stop of under a second left state older than its bound")]
fn versions_and_drains_are_in_force_in_time(seed: u32, seconds: u32, more: &str) {
    let _alone = FLEETS.write();
    soak("promises", seed, seconds, more);
}

/// Guards against routers that lose what a restore of the store lost, or never read what is written
/// after it: versions, drains and evacuations no longer in force, callers refused.
#[test_case(114, 12, "--upstreams 6 --excusing 0")]
#[test_case(113, 14, "--upstreams 6 --excusing 0")]
fn restores_lose_nothing(seed: u32, seconds: u32, more: &str) {
    let _alone = FLEETS.write();
    soak("promises", seed, seconds, &format!("--restores 5 {more}"));
}

/// Guards against routers that start all at once and decide by what they loaded then: versions and drains
/// that the store acknowledged after it aren't in force in time.
#[test_case(8005, 20, "--routers 6 --upstreams 6 --excusing 0")]
fn restarts_of_all_routers_keep_the_promises(seed: u32, seconds: u32, more: &str) {
    let _alone = FLEETS.write();
    soak(
        "promises",
        seed,
        seconds,
        &format!("--full-restarts 3 {more}"),
    );
}

/// Guards against answers that are lost around stops, reloads and versions, though nothing else happens but
/// silences of upstreams and stalls of the whole machine.
#[test_case(9004, 8, "--stalls 0.15"; "with many short requests")]
#[test_case(9013, 8, "--stalls 0.15"; "with streams that outlast the grace time")]
#[test_case(9401, 8, "--stalls 0.3 --routers 3 --lasting 24"; "streams were given up in a stall, and the retry budget cut them")]
#[test_case(9402, 8, "--stalls 0.3 --routers 3 --lasting 24"; "the same, beside stops")]
#[test_case(9102, 8, "--stalls 0.15 --slots 5 --lasting 10 --probes 1"; "with requests that wait for their turn")]
fn maintenance_loses_no_answer(seed: u32, seconds: u32, more: &str) {
    let _shared = FLEETS.read();
    soak("losses", seed, seconds, &format!("--maintenance {more}"));
}

/// A request crashes each upstream that runs it and is repeated through all routers. It is stopped
/// everywhere, and the requests beside it aren't refused as quarantined.
#[test_case(6001, 10, "--routers 6 --upstreams 8 --excusing 0.1")]
#[test_case(6003, 10, "--upstreams 8")]
fn harmful_requests_are_stopped(seed: u32, seconds: u32, more: &str) {
    let _alone = FLEETS.write();
    soak("quarantine", seed, seconds, &format!("--harmful 2 {more}"));
}

fn soak(only: &str, seed: u32, seconds: u32, more: &str) {
    let bin = Path::new(env!("CARGO_BIN_EXE_cassiagrade"));
    let path = bin.parent().unwrap().join("examples/soak");
    let mut command = Command::new(path);
    let (seed, seconds) = (seed.to_string(), seconds.to_string());
    command.args(["--seconds", &seconds, "--seed", &seed, "--only", only]);
    let output = command.args(more.split_whitespace()).output().unwrap();
    let verdict = String::from_utf8_lossy(&output.stdout);
    println!("{verdict}");
    assert!(output.status.success(), "{verdict}");
}
