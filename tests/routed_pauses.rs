//! Routers that are paused or lack processor time while state changes and the store deletes its
//! history.

mod support;

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use futures_util::future::{join, join_all};
use serde_json::{Value, json};
use standins::backend::{id_prefix, record};
use support::routed::{FleetSize, HOST, KEY, RoutedFleet, new_request_id, round_path};
use support::{Caller, Process, get, post, set_knobs, sleep_ms, wait_until, wall_ms};
use test_case::test_case;

/// Time within which a change that the store acknowledged must be in force.
const BOUND_MS: u64 = 2_000;
const PAUSE_MS: u64 = 3_500;
/// Path of a route that every version has.
const KEPT: &str = "/get/1";
const ENTRIES: &str = "keyed.servers";

/// A request and how it was answered.
#[derive(Debug)]
struct Answer {
    #[expect(dead_code, reason = "shown by failed checks")]
    router: usize,
    path: String,
    id: String,
    sent_ms: u64,
    answered_ms: u64,
    /// 0 if no answer began.
    status: u16,
}

/// When a version was written and acknowledged. Version `n` has the route of `round_path(n)`, which
/// no other version has.
#[derive(Clone, Copy, Debug)]
struct Version {
    written_ms: u64,
    acked_ms: u64,
}

async fn write_version(routed: &mut RoutedFleet, version: usize) -> Version {
    let written_ms = wall_ms();
    let acked_ms = routed.write_version(version).await;
    Version {
        written_ms,
        acked_ms,
    }
}

async fn delete_history(routed: &RoutedFleet) {
    routed.store_knobs(json!({ "forget": true })).await;
}

/// Starts a fleet in which all routers know one another, the readers have been chosen, and version 0
/// is in force.
async fn start(routers: u8, upstreams: u8) -> (RoutedFleet, Version) {
    const SETTLE_MS: u64 = 3_200;
    let size = FleetSize {
        routers,
        upstreams,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    let started_ms = wall_ms();
    let version = write_version(&mut routed, 0).await;
    for i in 0..routers {
        wait_until("all routers to be known", || async {
            routed.entry_addresses(i).await.len() == usize::from(routers)
        })
        .await;
        routed.wait_status(i, &round_path(0), 200).await;
    }
    sleep_until(started_ms + SETTLE_MS).await;
    (routed, version)
}

async fn sleep_until(at_ms: u64) {
    sleep_ms(at_ms.saturating_sub(wall_ms())).await;
}

/// A caller of one router, which keeps its connections open.
#[derive(Clone)]
struct Client {
    caller: Caller,
    router: usize,
    addr: SocketAddr,
}

impl Client {
    fn new(routed: &RoutedFleet, router: usize) -> Self {
        Self {
            caller: Caller::new(KEY),
            router,
            addr: routed.caller(u8::try_from(router).unwrap()),
        }
    }

    async fn send(&self, path: &str) -> Answer {
        let id = new_request_id();
        let headers = [
            ("attempt-id", id.as_str()),
            ("host", HOST),
            ("deadline-ms", "8000"),
        ];
        let sent_ms = wall_ms();
        let call = self.caller.call(self.addr, "POST", path, &headers, "1");
        let received = call.await;
        Answer {
            router: self.router,
            path: path.to_owned(),
            id,
            sent_ms,
            answered_ms: wall_ms(),
            status: received.map_or(0, |r| r.status),
        }
    }

    /// Opens connections that later requests use.
    async fn open_connections(&self) {
        const CONNECTIONS: usize = 6;
        join_all((0..CONNECTIONS).map(|_| self.send(KEPT))).await;
    }

    /// Sends a request to each path every `interval_ms` from `from_ms` until `until_ms`.
    async fn send_all(
        &self,
        paths: &[String],
        (from_ms, until_ms): (u64, u64),
        interval_ms: u64,
    ) -> Vec<Answer> {
        let steps = 0..until_ms.saturating_sub(from_ms) / interval_ms;
        let times = steps.map(|n| from_ms + n * interval_ms);
        let requests = times.flat_map(|at_ms| paths.iter().map(move |path| (at_ms, path)));
        let sends = requests.map(|(at_ms, path)| async move {
            sleep_until(at_ms).await;
            self.send(path).await
        });
        join_all(sends).await
    }

    /// Sends one request every `interval_ms` from `from_ms` until `until_ms`, by turns to the route
    /// of the version that `newest` gives, to that of the version before, and to the kept route.
    async fn send_steadily(
        &self,
        newest: &Cell<usize>,
        (from_ms, until_ms): (u64, u64),
        interval_ms: u64,
    ) -> Vec<Answer> {
        let steps = 0..until_ms.saturating_sub(from_ms) / interval_ms;
        let sends = steps.map(|n| async move {
            sleep_until(from_ms + n * interval_ms).await;
            let version = newest.get();
            let path = match n % 3 {
                0 => round_path(version),
                1 => round_path(version.saturating_sub(1)),
                _ => KEPT.to_owned(),
            };
            self.send(&path).await
        });
        join_all(sends).await
    }
}

/// Sends requests that wait in the sockets of paused routers, resumes the routers at `resume_ms` and
/// sends more for `after_ms`.
async fn send_around_resume(
    routed: &RoutedFleet,
    clients: &[Client],
    paths: &[String],
    (from_ms, resume_ms): (u64, u64),
    after_ms: u64,
) -> Vec<Answer> {
    const WAITING_INTERVAL_MS: u64 = 100;
    const RESUMED_INTERVAL_MS: u64 = 10;
    let waiting = clients
        .iter()
        .map(|c| c.send_all(paths, (from_ms, resume_ms), WAITING_INTERVAL_MS));
    let resumed_span = (resume_ms + 1, resume_ms + 1 + after_ms);
    let resumed = clients
        .iter()
        .map(|c| c.send_all(paths, resumed_span, RESUMED_INTERVAL_MS));
    let resume = async {
        sleep_until(resume_ms).await;
        for client in clients {
            routed.routers[client.router].unfreeze();
        }
    };
    let sends = join(join_all(waiting), join_all(resumed));
    let ((waiting, resumed), ()) = join(sends, resume).await;
    waiting.into_iter().chain(resumed).flatten().collect()
}

/// Returns the store's entry of upstream `i`, encoded, with its key.
async fn entry(routed: &RoutedFleet, i: usize) -> Option<(String, String)> {
    let path = format!("/log-newest?stream_name={ENTRIES}&part=0");
    let page = get(routed.store.addr, &path).await?;
    let page: Value = serde_json::from_str(&page).ok()?;
    let prefix = id_prefix(routed.upstreams[i].addr);
    let text = |entry: &Value, field: &str| entry[field].as_str().unwrap_or_default().to_owned();
    let entries = page["entries"].as_array()?.iter();
    let mut entries = entries.map(|e| (text(e, "key"), text(e, "data")));
    entries.find(|(key, _)| key.starts_with(&prefix))
}

/// Lets upstream `i` drain and returns when the store was seen to hold that.
async fn drain(routed: &RoutedFleet, i: usize) -> u64 {
    let before = entry(routed, i).await;
    set_knobs(routed.upstreams[i].addr, &json!({ "draining": true })).await;
    wait_until("a draining entry", || async {
        entry(routed, i).await != before
    })
    .await;
    wall_ms()
}

/// Removes the entry of upstream `i`, which publishes nothing, and returns when the store was seen
/// not to hold it.
async fn remove(routed: &RoutedFleet, i: usize) -> u64 {
    let (key, _) = entry(routed, i).await.unwrap();
    let body = String::from_utf8(record(&key, "")).unwrap();
    let path = format!("/log-append?stream_name={ENTRIES}&part=0");
    assert!(post(routed.store.addr, &path, &body).await);
    wait_until("a removed entry", || async {
        entry(routed, i).await.is_none()
    })
    .await;
    wall_ms()
}

/// Returns those of `answers` whose request reached upstream `i`, with the time of arrival.
fn reached<'a>(routed: &RoutedFleet, i: u8, answers: &'a [Answer]) -> Vec<(u64, &'a Answer)> {
    let by_id: HashMap<&str, &Answer> = answers.iter().map(|a| (a.id.as_str(), a)).collect();
    let arrivals = routed.arrivals(i);
    let arrivals = arrivals.iter();
    let known = arrivals.filter_map(|a| Some((a.at_ms, *by_id.get(a.request_id.as_str())?)));
    known.collect()
}

/// Whether `answer` is allowed by no version that was in force between `late_ms` before the request
/// was sent and its answer.
fn is_by_old_version(answer: &Answer, versions: &[Version], late_ms: u64) -> bool {
    let is_replaced = |n: usize| {
        let next = versions.get(n + 1);
        next.is_some_and(|v| v.acked_ms + late_ms < answer.sent_ms)
    };
    let in_force = (0..versions.len())
        .filter(|n| versions[*n].written_ms <= answer.answered_ms && !is_replaced(*n));
    let has_route = |n: usize| answer.path == KEPT || answer.path == round_path(n);
    match answer.status {
        200 => !in_force.into_iter().any(has_route),
        401 | 403 | 404 => in_force.into_iter().all(has_route),
        _ => false,
    }
}

/// Returns how long after the acknowledgement of the newest version the last request was sent that
/// was handled as only an older one allows.
fn latest_by_old_version(answers: &[Answer], versions: &[Version]) -> u64 {
    let acked_ms = versions.last().map_or(0, |v| v.acked_ms);
    let by_old = answers.iter().filter(|a| is_by_old_version(a, versions, 0));
    let late_ms = by_old.map(|a| a.sent_ms.saturating_sub(acked_ms));
    late_ms.max().unwrap_or(0)
}

fn summary(answers: &[Answer]) -> String {
    let mut counts: HashMap<u16, usize> = HashMap::new();
    for answer in answers {
        *counts.entry(answer.status).or_default() += 1;
    }
    format!("{} requests, by status {counts:?}", answers.len())
}

/// Pauses routers while a version is written and history is deleted. Returns the answers to requests
/// that were sent to them after that version had to be in force, until `after_ms` after the pause.
///
/// An upstream's entry changes too, after the deletion, so that the next read of the entries is
/// answered at once, while that of the configuration has to start again.
async fn pause_during_new_version(
    routed: &mut RoutedFleet,
    version: usize,
    paused: &[usize],
    after_ms: u64,
) -> Vec<Answer> {
    let clients: Vec<Client> = paused.iter().map(|i| Client::new(routed, *i)).collect();
    join_all(clients.iter().map(Client::open_connections)).await;
    let paused_ms = wall_ms();
    for i in paused {
        routed.routers[*i].freeze();
    }
    let acked_ms = write_version(routed, version).await.acked_ms;
    delete_history(routed).await;
    let knobs = json!({ "draining": version % 2 == 1 });
    set_knobs(routed.upstreams[0].addr, &knobs).await;
    let paths = [
        round_path(version - 1),
        round_path(version),
        KEPT.to_owned(),
    ];
    let span = (acked_ms + BOUND_MS + 1, paused_ms + PAUSE_MS);
    send_around_resume(routed, &clients, &paths, span, after_ms).await
}

/// A router that was paused handles the requests that wait in its sockets by a configuration that
/// was replaced meanwhile.
#[test_case(&[&[3], &[1], &[3]]; "one of several")]
#[test_case(&[&[0, 1, 2, 3], &[0, 1, 2, 3]]; "all at once")]
#[compio::test]
async fn paused_router_decides_by_no_old_configuration(rounds: &[&[usize]]) {
    const RESUMED_MS: u64 = 100;
    let (mut routed, _) = start(4, 3).await;
    let mut wrong = Vec::new();
    for (version, paused) in (1..).zip(rounds.iter().copied()) {
        let answers = pause_during_new_version(&mut routed, version, paused, RESUMED_MS).await;
        println!("version {version}: {}", summary(&answers));
        let (dropped, added) = (round_path(version - 1), round_path(version));
        wrong.extend(answers.into_iter().filter(|a| match a.status {
            404 => a.path != dropped,
            200 => a.path == dropped,
            status => a.path != added || matches!(status, 0 | 401 | 403),
        }));
        for i in paused {
            let i = u8::try_from(*i).unwrap();
            routed.wait_status(i, &added, 200).await;
        }
    }
    assert!(wrong.is_empty(), "{} wrong: {wrong:#?}", wrong.len());
}

/// A router that was paused sends the requests that wait in its sockets to upstreams that began to
/// drain or were removed meanwhile.
#[compio::test]
async fn paused_router_sends_nothing_to_upstreams_that_left() {
    const MUTE_MS: u64 = 700;
    const RESUMED_MS: u64 = 3_000;
    let (mut routed, _) = start(4, 4).await;
    let clients = [Client::new(&routed, 1)];
    set_knobs(routed.upstreams[1].addr, &json!({ "mute": true })).await;
    sleep_ms(MUTE_MS).await;
    clients[0].open_connections().await;
    let paused_ms = wall_ms();
    routed.routers[1].freeze();
    let removed_ms = remove(&routed, 1).await;
    let held_ms = drain(&routed, 0).await.max(removed_ms);
    delete_history(&routed).await;
    // The next read of the configuration is answered at once, while that of the entries has to
    // start again.
    write_version(&mut routed, 1).await;
    let from_ms = held_ms + BOUND_MS + 1;
    let span = (from_ms, (paused_ms + PAUSE_MS).max(from_ms + 500));
    let paths = [KEPT.to_owned()];
    let answers = send_around_resume(&routed, &clients, &paths, span, RESUMED_MS).await;
    println!("{}", summary(&answers));
    let draining = reached(&routed, 0, &answers);
    let removed = reached(&routed, 1, &answers);
    assert!(
        draining.is_empty() && removed.is_empty(),
        "{} at the draining one: {draining:#?}\n{} at the removed one: {removed:#?}",
        draining.len(),
        removed.len()
    );
    assert!(answers.iter().all(|a| a.status == 200));
}

/// Stops routers most of the time until it is dropped.
struct Starvation {
    is_ended: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Starvation {
    fn start(routers: Vec<Process>, [stopped, running]: [Duration; 2]) -> Self {
        const PHASE: Duration = Duration::from_millis(137);
        let routers = Arc::new(routers);
        let is_ended = Arc::new(AtomicBool::new(false));
        let stop_in_cycles = |(i, phase): (usize, u32)| {
            let (routers, is_ended) = (routers.clone(), is_ended.clone());
            std::thread::spawn(move || {
                std::thread::sleep(PHASE * phase);
                while !is_ended.load(Ordering::Relaxed) {
                    routers[i].freeze();
                    std::thread::sleep(stopped);
                    routers[i].unfreeze();
                    std::thread::sleep(running);
                }
            })
        };
        let threads = (0..routers.len()).zip(0..).map(stop_in_cycles).collect();
        Self { is_ended, threads }
    }
}

impl Drop for Starvation {
    fn drop(&mut self) {
        self.is_ended.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Panics if a request was sent later than the bound after a version was acknowledged and handled as
/// only an older one allows, or later than the bound after `drained_ms` and reached upstream 0.
fn assert_applied_in_time(
    routed: &RoutedFleet,
    answers: &[Answer],
    versions: &[Version],
    drained_ms: u64,
) {
    let by_old = answers.iter();
    let by_old = by_old.filter(|a| is_by_old_version(a, versions, BOUND_MS));
    let by_old: Vec<&Answer> = by_old.collect();
    let late = reached(routed, 0, answers).into_iter();
    let late = late.filter(|(_, a)| a.sent_ms > drained_ms + BOUND_MS);
    let late: Vec<(u64, &Answer)> = late.collect();
    println!("{}", summary(answers));
    assert!(
        by_old.is_empty() && late.is_empty(),
        "{} by an old version: {by_old:#?}\n{} at the draining one: {late:#?}\n{versions:#?}",
        by_old.len(),
        late.len()
    );
}

/// Routers that seldom run never notice a pause, and confirm one another's old state.
#[test_case(700, 50, 0; "short stops")]
#[test_case(950, 20, 0; "long stops")]
#[test_case(700, 50, 100; "answers of the store take longer than a router runs")]
#[compio::test]
async fn router_without_processor_time_applies_changes_in_time(
    stopped_ms: u64,
    running_ms: u64,
    store_delay_ms: u64,
) {
    const VERSIONS: usize = 4;
    const VERSION_INTERVAL_MS: u64 = 3_000;
    const SEND_INTERVAL_MS: u64 = 30;
    let (mut routed, first) = start(5, 3).await;
    let clients: Vec<Client> = (0..5).map(|i| Client::new(&routed, i)).collect();
    let cycle = [stopped_ms, running_ms].map(Duration::from_millis);
    let starvation = Starvation::start(std::mem::take(&mut routed.routers), cycle);
    let start_ms = wall_ms();
    let span = (start_ms, start_ms + VERSION_INTERVAL_MS * VERSIONS as u64);
    let newest = Cell::new(0);
    let routed = &mut routed;
    let changes = async {
        let mut versions = vec![first];
        let mut drained_ms = 0;
        for version in 1..=VERSIONS {
            versions.push(write_version(routed, version).await);
            newest.set(version);
            if version == 1 {
                drained_ms = drain(routed, 0).await;
            }
            routed
                .store_knobs(json!({ "forget": true, "delay_ms": store_delay_ms }))
                .await;
            sleep_until(start_ms + VERSION_INTERVAL_MS * version as u64).await;
        }
        (versions, drained_ms)
    };
    let sends = clients
        .iter()
        .map(|c| c.send_steadily(&newest, span, SEND_INTERVAL_MS));
    let (answers, (versions, drained_ms)) = join(join_all(sends), changes).await;
    drop(starvation);
    let answers: Vec<Answer> = answers.into_iter().flatten().collect();
    assert_applied_in_time(routed, &answers, &versions, drained_ms);
}

/// The readers of the log are paused, and the other routers keep old state for too long.
#[test_case(&[1, 2, 4]; "all readers")]
#[test_case(&[0, 3, 5]; "no reader")]
#[test_case(&[0, 1, 2]; "some readers")]
#[compio::test]
async fn paused_readers_leave_no_other_router_behind(paused: &[usize]) {
    const ROUTERS: usize = 6;
    const STOP_MS: u64 = 5_000;
    const SEND_INTERVAL_MS: u64 = 10;
    let (mut routed, first) = start(ROUTERS as u8, 3).await;
    let running = (0..ROUTERS).filter(|i| !paused.contains(i));
    let clients: Vec<Client> = running.map(|i| Client::new(&routed, i)).collect();
    let newest = Cell::new(1);
    let start_ms = wall_ms();
    let span = (start_ms, start_ms + STOP_MS);
    for i in paused {
        routed.routers[*i].freeze();
    }
    let changes = async {
        let version = write_version(&mut routed, 1).await;
        delete_history(&routed).await;
        let drained_ms = drain(&routed, 0).await;
        delete_history(&routed).await;
        (version, drained_ms)
    };
    let sends = clients
        .iter()
        .map(|c| c.send_steadily(&newest, span, SEND_INTERVAL_MS));
    let (answers, (version, drained_ms)) = join(join_all(sends), changes).await;
    let answers: Vec<Answer> = answers.into_iter().flatten().collect();
    let config_ms = latest_by_old_version(&answers, &[first, version]);
    let arrivals = reached(&routed, 0, &answers).into_iter();
    let drain_ms = arrivals.map(|(_, a)| a.sent_ms.saturating_sub(drained_ms));
    let drain_ms = drain_ms.max().unwrap_or(0);
    println!(
        "{}; old configuration for {config_ms} ms, draining upstream used for {drain_ms} ms",
        summary(&answers)
    );
    assert!(
        config_ms <= BOUND_MS && drain_ms <= BOUND_MS,
        "old configuration for {config_ms} ms, draining upstream used for {drain_ms} ms"
    );
    assert!(
        answers.iter().any(|a| a.status == 404),
        "no route was dropped"
    );
}
