//! Requests in flight while versions of the configuration and SIGHUP arrive one after another: each one
//! that was read whole is answered whole or refused, and no connection is closed on it.

mod support;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use futures_util::future::join;
use serde_json::{Value, json};
use support::routed::{FleetSize, HOST, KEY, RoutedFleet, new_request_id, route, routes};
use support::sleep_ms;
use test_case::test_case;

/// How long versions arrive.
const CHANGES_MS: u64 = 6_000;
/// Pause between two versions, by turns.
const PAUSES_MS: [u64; 4] = [50, 200, 90, 130];
/// Events of a stream, and the time between them.
const EVENTS: &str = "25";
const EVENT_MS: u64 = 25;
const READ_LIMIT: Duration = Duration::from_secs(15);
const CALLERS: usize = 16;
const PATHS: [&str; 4] = ["/get/1", "/resumed/stream", "/ticket/1", "/once/stream"];

/// Where a caller pauses while it sends a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pause {
    None,
    InHead,
    InBody,
}

/// What came of a request.
#[derive(Clone, Debug)]
struct Outcome {
    id: String,
    path: &'static str,
    /// 0 if the connection ended without an answer.
    status: u16,
    is_whole: bool,
    closes: bool,
}

/// A caller that keeps its connection for as long as the router does.
struct KeptCaller {
    router: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

impl KeptCaller {
    fn connection(&mut self) -> &mut BufReader<TcpStream> {
        self.connection.get_or_insert_with(|| {
            let stream = TcpStream::connect(self.router).unwrap();
            stream.set_read_timeout(Some(READ_LIMIT)).unwrap();
            stream.set_nodelay(true).unwrap();
            BufReader::new(stream)
        })
    }

    fn send(&mut self, path: &'static str, pause: Pause) -> Outcome {
        let id = new_request_id();
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {id}\r\ndeadline-ms: 9000\r\n\
             authorization: Bearer {KEY}\r\ncontent-length: {}\r\n\r\n",
            EVENTS.len()
        );
        let request = head.clone() + EVENTS;
        let first = match pause {
            Pause::None => request.len(),
            Pause::InHead => head.len() / 2,
            Pause::InBody => head.len() + 1,
        };
        let connection = self.connection();
        let sent = connection.get_mut().write_all(&request.as_bytes()[..first]);
        let rest = &request.as_bytes()[first..];
        if !rest.is_empty() {
            std::thread::sleep(Duration::from_millis(250));
        }
        let _ = sent.and_then(|()| connection.get_mut().write_all(rest));
        let mut outcome = Outcome {
            id,
            path,
            status: 0,
            is_whole: false,
            closes: true,
        };
        let _ = read_answer(connection, &mut outcome);
        if outcome.closes {
            self.connection = None;
        }
        outcome
    }
}

/// Reads an answer, and records in `outcome` how far it came.
fn read_answer(from: &mut BufReader<TcpStream>, outcome: &mut Outcome) -> std::io::Result<()> {
    let mut headers = HashMap::new();
    let mut line = String::new();
    from.read_line(&mut line)?;
    outcome.status = line.get(9..12).and_then(|s| s.parse().ok()).unwrap_or(0);
    loop {
        line.clear();
        from.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            break;
        };
        headers.insert(name.to_ascii_lowercase(), value.to_owned());
    }
    if let Some(length) = headers.get("content-length") {
        from.read_exact(&mut vec![0; length.parse().unwrap()])?;
    } else {
        while read_chunk(from)? > 0 {}
    }
    outcome.is_whole = outcome.status > 0;
    outcome.closes = headers.get("connection").is_some_and(|c| c == "close");
    Ok(())
}

/// Returns the length of the next chunk of a body.
fn read_chunk(from: &mut BufReader<TcpStream>) -> std::io::Result<usize> {
    let mut line = String::new();
    from.read_line(&mut line)?;
    let length = usize::from_str_radix(line.trim_end(), 16).map_err(std::io::Error::other)?;
    from.read_exact(&mut vec![0; length + 2])?;
    Ok(length)
}

/// Callers that send one request after the other until they are told to end.
struct Callers {
    is_ended: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Outcome>>>,
}

impl Callers {
    fn start(router: SocketAddr, count: usize, paths: &[&'static str], pause: Pause) -> Self {
        let is_ended = Arc::new(AtomicBool::new(false));
        let call_steadily = |i: usize| {
            let (is_ended, paths) = (is_ended.clone(), paths.to_vec());
            std::thread::spawn(move || {
                let mut caller = KeptCaller {
                    router,
                    connection: None,
                };
                let mut outcomes = Vec::new();
                while !is_ended.load(Ordering::Relaxed) {
                    let path = paths[(i + outcomes.len()) % paths.len()];
                    outcomes.push(caller.send(path, pause));
                    // Refusals come at once, and would be all that there is.
                    std::thread::sleep(Duration::from_millis(20));
                }
                outcomes
            })
        };
        let threads = (0..count).map(call_steadily).collect();
        Self { is_ended, threads }
    }

    fn end(self) -> Vec<Outcome> {
        self.is_ended.store(true, Ordering::Relaxed);
        let threads = self.threads.into_iter();
        threads.flat_map(|t| t.join().unwrap()).collect()
    }
}

/// The configuration that arrives as number `n`; every second one is that of every test.
fn change(n: usize) -> Value {
    let of_route = |more: Value| -> Value {
        let kinds = ["idempotent", "streaming", "streaming", "non_idempotent"];
        let names = ["get", "resumed", "once", "ticket"];
        let routes = names.iter().zip(kinds).map(|(name, kind)| {
            let mut route = route(name, kind, more.clone());
            route["stream_resume"] = json!(*name == "resumed");
            route
        });
        json!({ "routes": routes.collect::<Vec<_>>() })
    };
    let limits = |body: u64, head_ms: u64, idle_ms: u64| {
        json!({ "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": body,
            "header_timeout_ms": head_ms, "idle_timeout_ms": idle_ms,
        } })
    };
    match n % 14 {
        1 => json!({ "routes": [route("other", "idempotent", json!({}))] }),
        3 => limits(100_000, 1_000, 1_000),
        5 => of_route(json!({ "service": "s2" })),
        7 => limits(1, 3_000, 15_000),
        9 => json!({ "tenants": [{ "name": "workshop", "api_keys": ["another"], "priority": 1 }] }),
        11 => of_route(json!({ "timeout_ms": 2_500, "target_gap_ms": 60 })),
        13 => json!({ "routes": routes()[..2] }),
        _ => json!({}),
    }
}

/// Lets versions arrive for `CHANGES_MS`, each with SIGHUP to router 0, of which every second one finds
/// settings that are invalid. `beside` runs with each of them.
async fn change_steadily(routed: &mut RoutedFleet, beside: impl AsyncFn(&RoutedFleet, usize)) {
    let (settings, path) = (routed.settings(0).to_string(), routed.settings_path(0));
    let mut left_ms = CHANGES_MS;
    let mut n = 0;
    while left_ms > 0 {
        routed.configure(change(n)).await;
        let invalid = n % 2 == 1;
        std::fs::write(&path, if invalid { "{ \"host\": 5" } else { &settings }).unwrap();
        for _ in 0..=n % 4 {
            routed.routers[0].signal_reload();
        }
        beside(routed, n).await;
        let pause_ms = PAUSES_MS[n % PAUSES_MS.len()];
        sleep_ms(pause_ms).await;
        left_ms = left_ms.saturating_sub(pause_ms);
        n += 1;
    }
    std::fs::write(&path, &settings).unwrap();
    routed.configure(json!({})).await;
}

/// Checks that each request has a whole answer, that none ran twice that may not, and that none ran whose
/// answer says that it didn't.
async fn assert_answered(routed: &RoutedFleet, outcomes: &[Outcome], least_served: usize) {
    let mut by_status: HashMap<(u16, bool), usize> = HashMap::new();
    for outcome in outcomes {
        let key = (outcome.status, outcome.is_whole);
        *by_status.entry(key).or_default() += 1;
    }
    println!(
        "{} requests, by status and whether whole: {by_status:?}",
        outcomes.len()
    );
    let unanswered: Vec<&Outcome> = outcomes.iter().filter(|o| !o.is_whole).collect();
    if let Some(first) = unanswered.first() {
        let log = routed.log_until_now(0).await;
        let lines: Vec<&str> = log.lines().filter(|l| l.contains(&first.id)).collect();
        panic!(
            "{} of {} unanswered; the first: {first:?}\n{}",
            unanswered.len(),
            outcomes.len(),
            lines.join("\n")
        );
    }
    let runs = routed.runs();
    for outcome in outcomes {
        let runs = runs.get(&outcome.id).map_or(0, Vec::len);
        let at_most_once = outcome.path.starts_with("/ticket") || outcome.path.starts_with("/once");
        let limit = match outcome.status {
            429 | 503 if at_most_once => 0,
            401 | 403 | 404 | 413 => 0,
            _ if at_most_once => 1,
            _ => usize::MAX,
        };
        assert!(runs <= limit, "{runs} runs of {outcome:?}");
    }
    let served = by_status.get(&(200, true)).copied().unwrap_or(0);
    assert!(served >= least_served, "{by_status:?}");
}

async fn start(upstreams: u8) -> RoutedFleet {
    let routed = RoutedFleet::start(FleetSize {
        upstreams,
        retry_burst: Some(10),
        ..FleetSize::default()
    })
    .await;
    routed.upstream_knobs(json!({ "delay_ms": EVENT_MS })).await;
    routed
}

/// Changes of limits, routes and accounts reach requests that run or have arrived in part.
#[test_case(Pause::None; "that run")]
#[test_case(Pause::InHead; "whose head arrives")]
#[test_case(Pause::InBody; "whose body arrives")]
#[compio::test]
async fn changes_end_no_requests(pause: Pause) {
    let mut routed = start(2).await;
    let callers = Callers::start(routed.caller(0), CALLERS, &PATHS, pause);
    change_steadily(&mut routed, async |_, _| {}).await;
    assert_answered(&routed, &callers.end(), CALLERS).await;
}

/// Changes reach requests that wait for their turn.
#[compio::test]
async fn changes_end_no_queued_requests() {
    const DELAY_MS: u64 = 400;
    let mut routed = start(1).await;
    routed.upstream_knobs(json!({ "delay_ms": DELAY_MS })).await;
    let paths = ["/get/1", "/ticket/1"];
    let callers = Callers::start(routed.caller(0), 10 * CALLERS, &paths, Pause::None);
    change_steadily(&mut routed, async |_, _| {}).await;
    assert_answered(&routed, &callers.end(), CALLERS).await;
}

/// Changes reach requests that are sent once more, as an upstream rejects them.
#[compio::test]
async fn changes_end_no_requests_that_are_sent_again() {
    let mut routed = start(4).await;
    let rejecting = json!({ "delay_ms": EVENT_MS, "spoil": "reject", "spoilt": 5 });
    let callers = Callers::start(routed.caller(0), CALLERS, &PATHS, Pause::None);
    change_steadily(&mut routed, async |routed, n| {
        support::set_knobs(routed.upstreams[n % 4].addr, &rejecting).await;
    })
    .await;
    assert_answered(&routed, &callers.end(), CALLERS).await;
}

/// Changes reach streams whose upstreams are silent.
#[test_case(1; "half of them")]
#[test_case(2; "all")]
#[compio::test]
async fn changes_end_no_streams_of_silent_upstreams(silent: usize) {
    let mut routed = start(2).await;
    let addrs: Vec<SocketAddr> = routed.upstreams.iter().map(|u| u.addr).collect();
    let paths = ["/resumed/stream", "/once/stream"];
    let callers = Callers::start(routed.caller(0), CALLERS, &paths, Pause::None);
    let silence = async {
        let knobs = json!({ "silent_ms": 1_400, "delay_ms": EVENT_MS });
        for _ in 0..2 {
            sleep_ms(700).await;
            for addr in &addrs[..silent] {
                support::set_knobs(*addr, &knobs).await;
            }
            sleep_ms(1_800).await;
        }
    };
    join(change_steadily(&mut routed, async |_, _| {}), silence).await;
    assert_answered(&routed, &callers.end(), CALLERS).await;
}

/// Changes reach a router whose state was stale, as the store stood still.
#[compio::test]
async fn changes_end_no_requests_beside_a_frozen_store() {
    const FROZEN_MS: u64 = 2_500;
    let mut routed = start(2).await;
    let callers = Callers::start(routed.caller(0), CALLERS, &PATHS, Pause::None);
    change_steadily(&mut routed, async |routed, n| {
        if n % 20 == 6 {
            routed.store.freeze();
            sleep_ms(FROZEN_MS).await;
            routed.store.unfreeze();
        }
    })
    .await;
    assert_answered(&routed, &callers.end(), CALLERS).await;
}
