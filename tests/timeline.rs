//! The timeline over processes whose clocks differ, and the command that prints it.

mod support;

use std::io::Write;
use std::path::Path;
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use cassiagrade::cmd::timeline::{Args, Timeline};
use cassiagrade::event::{Event, Events, Kind};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::{Fleet, Options, call, chat_body};
use test_case::test_case;

const HOSTS: usize = 3;
const MESSAGES: usize = 300;

/// An in-memory output for a timeline.
#[derive(Clone, Default)]
struct MemoryOutput(Arc<Mutex<Vec<u8>>>);

impl Write for MemoryOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(since.as_millis()).unwrap()
}

fn slow_clock_ms() -> u64 {
    now_ms() - 5_000
}

fn fast_clock_ms() -> u64 {
    now_ms() + 3_000
}

fn hosts() -> Vec<(Events, MemoryOutput)> {
    let clocks: [fn() -> u64; HOSTS] = [now_ms, slow_clock_ms, fast_clock_ms];
    let open = |(i, clock)| {
        let memory = MemoryOutput::default();
        let out = Box::new(memory.clone());
        let name = format!("router-{i}").into();
        (
            Events::open_with_clock(name, "dc-0".into(), Some(out), clock),
            memory,
        )
    };
    clocks.into_iter().enumerate().map(open).collect()
}

/// Sends messages between hosts; returns how many effects sort before their causes.
fn count_misordered(seed: u64, carry_stamps: bool) -> usize {
    let mut rng = SmallRng::seed_from_u64(seed);
    let hosts = hosts();
    for n in 0..MESSAGES {
        let from = rng.random_range(0..HOSTS);
        let to = (from + rng.random_range(1..HOSTS)) % HOSTS;
        hosts[from]
            .0
            .emit(Kind::RequestHopped, |e| e.request_id = n.to_string());
        let stamp = hosts[from].0.stamp();
        if carry_stamps {
            hosts[to].0.observe(stamp.as_ref());
        }
        hosts[to]
            .0
            .emit(Kind::RequestStarted, |e| e.request_id = n.to_string());
    }
    let mut timeline = Timeline::default();
    for (_, memory) in &hosts {
        timeline.add(memory.0.lock().unwrap().as_slice()).unwrap();
    }
    assert_eq!((timeline.events.len(), timeline.skipped), (2 * MESSAGES, 0));
    timeline.sort();
    let at = |n: usize, kind: &str| {
        let id = n.to_string();
        let mut events = timeline.events.iter();
        events
            .position(|e| e.request_id == id && e.kind == kind)
            .unwrap()
    };
    let misordered = |n: &usize| at(*n, "request_started") < at(*n, "request_hopped");
    (0..MESSAGES).filter(misordered).count()
}

/// An operator reads why a request failed over. Hosts' clocks differ by seconds, so by wall time
/// the answer comes before the request. Stamps carried with messages put causes first.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn causes_sort_before_effects_when_clocks_differ(seed: u64) {
    assert!(
        count_misordered(seed, false) > 0,
        "without stamps clock differences must misorder events"
    );
    assert_eq!(count_misordered(seed, true), 0);
}

fn run_timeline(dir: &Path, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cassiagrade"));
    command.current_dir(dir).arg("timeline").args(args);
    let output = command.output().unwrap();
    assert!(output.status.success(), "{output:?}");
    output
}

fn lines(output: &Output) -> Vec<Event> {
    let text = String::from_utf8(output.stdout.clone()).unwrap();
    let parse = |l: &str| serde_json::from_str(l).unwrap();
    text.lines().map(parse).collect()
}

const ENTRY_EVENTS: &str = r#"{"at_ms":1000,"host":"a","kind":"request_received","request_id":"r1","account":"acme"}
{"at_ms":1001,"host":"a","kind":"request_placed","request_id":"r1","upstream":"e1","chat":"c1","attempt":1}
{"at_ms":1001,"seq":1,"host":"a","kind":"request_received","request_id":"r2","account":"other"}
{"at_ms":1009,"host":"a","kind":"request_answered","request_id":"r1","took_us":5000,"detail":"3 chunks"}
"#;

/// The second process was killed while it wrote, and a line in the middle was damaged.
const HOME_EVENTS: &str = r#"{"at_ms":1004,"host":"b","kind":"request_started","request_id":"r1","upstream":"e1","took_us":2500}
{"at_ms":1005,"host":"b","ki###
{"at_ms":1006,"host":"b","kind":"upstream_ejected","upstream":"e1"}
{"at_ms":1007,"host":"b","kind":"request_ref"#;

fn work_dir() -> tempfile::TempDir {
    let dir = tempfile::tempdir().unwrap();
    std::fs::write(dir.path().join("a.out"), ENTRY_EVENTS).unwrap();
    std::fs::write(dir.path().join("b.out"), HOME_EVENTS).unwrap();
    dir
}

#[test_case(&[], 6; "all")]
#[test_case(&["--request", "r1"], 4; "by request")]
#[test_case(&["--account", "acme"], 4; "by account, all hosts")]
#[test_case(&["--chat", "c1"], 4; "by chat, all hosts")]
#[test_case(&["--upstream", "e1"], 5; "by upstream, its own events too")]
#[test_case(&["--host", "b"], 2; "by host")]
#[test_case(&["--kind", "request_received"], 2; "by kind")]
#[test_case(&["--from-ms", "1001", "--to-ms", "1006"], 3; "by time")]
#[test_case(&["--account", "other", "--upstream", "e1"], 1; "filters combine")]
fn filters_select_events(args: &[&str], expected: usize) {
    let dir = work_dir();
    let mut all = args.to_vec();
    all.extend(["--json", "b.out", "a.out"]);
    let output = run_timeline(dir.path(), &all);
    let events = lines(&output);
    assert_eq!(events.len(), expected, "{events:?}");
    assert!(events.is_sorted_by_key(|e| (e.at_ms, e.seq)));
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(stderr, "2 damaged or cut lines skipped\n");
}

#[test]
fn request_timeline_is_printed() {
    let dir = work_dir();
    let output = run_timeline(dir.path(), &["--request", "r1", "a.out", "b.out"]);
    let text = String::from_utf8(output.stdout).unwrap();
    let expected = [
        "request r1 of account acme, chat c1, came at 00:00:01.000 UTC",
        "       0 ms  a          came in",
        "       1 ms  a          attempt 1: placed on e1",
        "       4 ms  b          started at e1 after waiting 2.5 ms",
        "       9 ms  a          answered: 3 chunks, 5.0 ms after the first",
        "9 ms from first to last event, 1 attempt, hosts a, b",
    ];
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines, expected);
}

#[test]
fn missing_file_is_named() {
    let dir = work_dir();
    let mut command = Command::new(env!("CARGO_BIN_EXE_cassiagrade"));
    let output = command
        .current_dir(dir.path())
        .args(["timeline", "c.out"])
        .output()
        .unwrap();
    assert!(!output.status.success());
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(stderr.contains("c.out"), "{stderr}");
}

/// A request that reached the wrong router hops to its engine's home: two processes write events,
/// and its timeline must be in causal order.
#[compio::test]
async fn hopped_request_events_are_in_causal_order() {
    let fleet = Fleet::start_with(Options::new(3, 3, 0)).await;
    for i in 0..6_u8 {
        let body = chat_body(&format!("chat-{i}"), "why?", 3);
        let addr = fleet.caller(i % 3);
        call(addr, "POST", "/v1/chat/completions", &[], &body).await;
    }
    let mut timeline = Timeline::default();
    for router in &fleet.routers {
        let text = std::fs::read(fleet.out_path(&router.name)).unwrap();
        timeline.add(text.as_slice()).unwrap();
    }
    timeline.sort();
    let hopped = timeline.events.iter().find(|e| e.kind == "request_hopped");
    let request = hopped.unwrap().request_id.clone();
    timeline.filter(&Args {
        request,
        to_ms: u64::MAX,
        ..Args::default()
    });
    let kinds: Vec<&str> = timeline.events.iter().map(|e| e.kind.as_str()).collect();
    let order = [
        "request_received",
        "request_placed",
        "request_hopped",
        "request_started",
        "request_answered",
    ];
    let at = order.map(|kind| kinds.iter().position(|k| *k == kind));
    assert!(at.iter().all(Option::is_some), "{kinds:?}");
    assert!(at.is_sorted(), "{kinds:?}");
}
