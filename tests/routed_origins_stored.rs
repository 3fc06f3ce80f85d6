//! Streams whose origins only the platform knows any more, and what their first events wait for.

mod support;

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use serde_json::json;
use support::routed::{FleetSize, HOST, KEY, RoutedFleet, new_request_id};
use support::streams::wait_versions_in_use;
use support::{Caller, Received, get, set_knobs, sleep_ms, wait_until};
use test_case::test_case;

/// Number of events of a long stream.
const EVENTS: u64 = 40;
const EVENT_INTERVAL_MS: u64 = 100;
/// Interval at which streams begin.
const BEGIN_INTERVAL_MS: u64 = 25;
/// Upper bound of the wait of a first event, with what a busy machine adds.
const WAIT_LIMIT: Duration = Duration::from_millis(80 + 220);

/// A stream that broke off.
struct Broken {
    path: String,
    /// Id of the request that brought the first event.
    id: String,
    /// Last event that arrived.
    last: u64,
}

/// Three routers, and two upstreams of each of two versions.
async fn start(event_interval_ms: u64) -> RoutedFleet {
    start_with(&["v1", "v1", "v2", "v2"], event_interval_ms).await
}

async fn start_with(versions: &[&str], event_interval_ms: u64) -> RoutedFleet {
    let size = FleetSize {
        routers: 0,
        upstreams: 0,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    for version in versions {
        spawn_upstream(&mut routed, version, event_interval_ms).await;
    }
    spawn_routers(&mut routed).await;
    wait_versions_in_use(&routed).await;
    routed
}

async fn spawn_upstream(routed: &mut RoutedFleet, version: &str, event_interval_ms: u64) {
    let i = u8::try_from(routed.upstreams.len()).unwrap();
    routed.spawn_upstream_of(i, version);
    let at = routed.upstreams[usize::from(i)].addr;
    wait_until("an upstream", || async {
        get(at, "/healthz").await.is_some()
    })
    .await;
    set_knobs(at, &json!({ "delay_ms": event_interval_ms })).await;
}

async fn spawn_routers(routed: &mut RoutedFleet) {
    for i in 0..3 {
        routed.spawn_router(i);
    }
    for i in 0..3 {
        routed.wait_ready(i).await;
    }
}

/// All routers lose power at once and start again.
async fn restart_all(routed: &mut RoutedFleet) {
    for router in &mut routed.routers {
        router.kill();
    }
    spawn_routers(routed).await;
}

/// Begins a stream every few milliseconds at the routers in turn, until `for_ms` have passed.
async fn begin_streams(
    routed: &RoutedFleet,
    routers: &[u8],
    for_ms: u64,
) -> Vec<compio::runtime::JoinHandle<Broken>> {
    let began = Instant::now();
    let mut begun = Vec::new();
    while began.elapsed() < Duration::from_millis(for_ms) {
        let n = begun.len();
        let at = routed.caller(routers[n % routers.len()]);
        begun.push(compio::runtime::spawn(begin(at, n, EVENTS)));
        sleep_ms(BEGIN_INTERVAL_MS).await;
    }
    begun
}

async fn begin(at: std::net::SocketAddr, n: usize, events: u64) -> Broken {
    let path = format!("/resumed/{n}/stream");
    let id = new_request_id();
    let headers = [
        ("attempt-id", id.as_str()),
        ("host", HOST),
        ("deadline-ms", "8000"),
    ];
    let caller = Caller::new(KEY);
    let received = caller
        .call(at, "POST", &path, &headers, &events.to_string())
        .await;
    let last = received.as_ref().map_or(0, last_event);
    Broken { path, id, last }
}

/// Id of the last event that arrived as a whole.
fn last_event(received: &Received) -> u64 {
    let (whole, _) = received.body.rsplit_once("\n\n").unwrap_or_default();
    let mut ids = whole.lines().filter_map(|l| l.strip_prefix("id: "));
    ids.next_back().map_or(0, |id| id.parse().unwrap())
}

/// The streams of which callers have events.
async fn broken(begun: Vec<compio::runtime::JoinHandle<Broken>>) -> Vec<Broken> {
    let ended = join_all(begun).await.into_iter();
    let broken: Vec<Broken> = ended.map(Result::unwrap).filter(|b| b.last > 0).collect();
    assert!(broken.iter().all(|b| b.last < EVENTS));
    broken
}

/// Takes up all streams at router `i`, and returns how many of them went on to their end. None may go on at
/// another version.
async fn resumed(routed: &RoutedFleet, i: u8, streams: &[Broken]) -> usize {
    let taken_up = join_all(streams.iter().map(|b| take_up(routed, i, b))).await;
    let mut resumed = 0;
    for (stream, (id, received)) in streams.iter().zip(taken_up) {
        let (began, went_on) = (versions_of(routed, &stream.id), versions_of(routed, &id));
        assert!(
            went_on.iter().all(|version| began.contains(version)),
            "a stream of {began:?} went on at {went_on:?}"
        );
        let received = received.expect("an answer");
        if received.status == 200 {
            assert_eq!(last_event(&received), EVENTS);
            resumed += 1;
        } else {
            assert!(went_on.is_empty());
        }
    }
    resumed
}

async fn take_up(routed: &RoutedFleet, i: u8, broken: &Broken) -> (String, Option<Received>) {
    let last = broken.last.to_string();
    let headers = [
        ("deadline-ms", "8000"),
        ("last-event-id", last.as_str()),
        ("resumes", broken.id.as_str()),
    ];
    routed
        .call_with(i, &broken.path, &EVENTS.to_string(), &headers)
        .await
}

fn versions_of(routed: &RoutedFleet, id: &str) -> Vec<String> {
    let runs = routed.runs().remove(id).unwrap_or_default();
    runs.into_iter().map(|run| run.software).collect()
}

/// Sum of the values of a metric of router `i`, with the given label if any.
async fn metric(routed: &RoutedFleet, i: u8, name: &str, label: &str) -> f64 {
    let page = get(routed.admin(i), "/metrics").await.unwrap();
    let of = |l: &&str| l.starts_with(name) && l.contains(label);
    let lines = page.lines().filter(of);
    let values = lines.filter_map(|l| l.rsplit_once(' ')?.1.parse::<f64>().ok());
    values.sum()
}

/// Durations of streams of one event, begun one after the other at router `i`.
async fn durations(routed: &RoutedFleet, i: u8, count: usize) -> Vec<Duration> {
    let mut took = Vec::new();
    for n in 0..count {
        let began = Instant::now();
        let stream = begin(routed.caller(i), n, 1).await;
        assert_eq!(stream.last, 1);
        took.push(began.elapsed());
    }
    took
}

/// All routers lose power. Streams that began a moment before were known to routers only, and were refused.
#[test_case(0)]
#[test_case(1)]
#[compio::test]
async fn streams_that_began_just_before_a_restart_of_all_go_on(router: u8) {
    let mut routed = start(EVENT_INTERVAL_MS).await;
    let begun = begin_streams(&routed, &[0, 1, 2], 900).await;
    restart_all(&mut routed).await;
    let streams = broken(begun).await;
    assert!(streams.len() > 10, "{} streams", streams.len());
    assert_eq!(resumed(&routed, router, &streams).await, streams.len());
}

/// A second version is listed while streams are in progress, and all routers lose power. Those streams would
/// be known to nobody, as nothing was stored of them while there was one version.
#[compio::test]
async fn streams_in_progress_when_a_second_version_is_listed_go_on_after_a_restart_of_all() {
    let mut routed = start_with(&["v1", "v1"], EVENT_INTERVAL_MS).await;
    let begun = begin_streams(&routed, &[0, 1, 2], 400).await;
    spawn_upstream(&mut routed, "v2", EVENT_INTERVAL_MS).await;
    sleep_ms(700).await;
    restart_all(&mut routed).await;
    let streams = broken(begun).await;
    assert!(streams.len() > 8, "{} streams", streams.len());
    assert_eq!(resumed(&routed, 2, &streams).await, streams.len());
}

/// The store hangs. Each first event would wait for it in vain.
#[test_case(0)]
#[test_case(1)]
#[compio::test]
async fn store_that_hangs_delays_few_first_events(router: u8) {
    const STREAMS: usize = 40;
    let routed = start(0).await;
    durations(&routed, router, 4).await;
    routed.store.freeze();
    let took = durations(&routed, router, STREAMS).await;
    routed.store.unfreeze();
    assert!(took.iter().all(|t| *t < WAIT_LIMIT), "{took:?}");
    // The first ones find out that the store hangs, each with another writer.
    let name = "cassiagrade_streams_not_stored_total";
    let failing = metric(&routed, router, name, "reason=\"failing\"").await;
    assert!(failing >= 30.0, "{failing} didn't wait: {took:?}");
}

/// A router stands still that stores the origins of others' streams. Each of them would wait for it, and be
/// unknown after a restart of all.
#[compio::test]
async fn streams_whose_writer_stands_still_are_stored() {
    let mut routed = start(EVENT_INTERVAL_MS).await;
    routed.routers[1].freeze();
    let begun = begin_streams(&routed, &[0, 2], 700).await;
    restart_all(&mut routed).await;
    let streams = broken(begun).await;
    assert!(streams.len() > 8, "{} streams", streams.len());
    assert_eq!(resumed(&routed, 2, &streams).await, streams.len());
}

/// A writer stands still. Each first event would wait for it in vain.
#[compio::test]
async fn writer_that_stands_still_delays_few_first_events() {
    const STREAMS: usize = 40;
    let routed = start(0).await;
    durations(&routed, 0, 4).await;
    routed.routers[1].freeze();
    let took = durations(&routed, 0, STREAMS).await;
    routed.routers[1].unfreeze();
    assert!(took.iter().all(|t| *t < WAIT_LIMIT), "{took:?}");
    let waited = metric(&routed, 0, "cassiagrade_origin_wait_ms_sum", "").await;
    assert!(waited < 40.0 * 50.0, "{waited} ms: {took:?}");
}

/// Streams begin one after the other. A first event would wait for the interval of writes each time.
#[compio::test]
async fn lone_streams_wait_for_a_write_only() {
    let routed = start(0).await;
    durations(&routed, 0, 4).await;
    let name = "cassiagrade_origin_wait_ms_";
    let sum = metric(&routed, 0, &format!("{name}sum"), "").await;
    let mut took = Vec::new();
    for _ in 0..10 {
        took.extend(durations(&routed, 0, 1).await);
        sleep_ms(60).await;
    }
    let waited = metric(&routed, 0, &format!("{name}sum"), "").await - sum;
    assert!(waited < 10.0 * 25.0, "{waited} ms: {took:?}");
}

/// The store is restored from an older copy, which lacks the origins of streams in progress. They would be
/// refused after a restart of all.
#[compio::test]
async fn streams_go_on_after_the_store_was_restored() {
    let mut routed = start(EVENT_INTERVAL_MS).await;
    sleep_ms(2_000).await;
    let begun = begin_streams(&routed, &[0, 1, 2], 400).await;
    sleep_ms(200).await;
    routed.store_knobs(json!({ "restore_age_ms": 1_000 })).await;
    sleep_ms(1_500).await;
    restart_all(&mut routed).await;
    let streams = broken(begun).await;
    assert!(streams.len() > 8, "{} streams", streams.len());
    assert_eq!(resumed(&routed, 1, &streams).await, streams.len());
}

/// Records of processes that have ended would be read by each router for good, and one of another writer
/// would end the routers or have them ignore all.
#[compio::test]
async fn odd_records_are_ignored_and_stale_ones_are_deleted() {
    const STREAM: &str = "keyed.origins";
    /// Written in the first millisecond of 1970, without streams.
    const STALE: &[u8] = b"\x01\x00";
    let mut routed = start(EVENT_INTERVAL_MS).await;
    for n in 0..40 {
        let key = format!("stale/{n}");
        routed.write_kept_record(STREAM, &key, STALE).await;
    }
    let length_of_2_63 = b"\x01\xfd\x00\x00\x00\x00\x00\x00\x00\x80";
    let last_millisecond = b"\xfd\xff\xff\xff\xff\xff\xff\xff\xff\x00";
    let odd: [&[u8]; 4] = [b"{}", b"\xff", length_of_2_63, last_millisecond];
    for (n, value) in odd.into_iter().enumerate() {
        let key = format!("odd/{n}");
        routed.write_kept_record(STREAM, &key, value).await;
    }
    let begun = begin_streams(&routed, &[0, 1, 2], 400).await;
    let at = routed.store.addr;
    let stored = async || {
        let path = format!("/log-newest?stream_name={STREAM}&part=0");
        get(at, &path).await.unwrap()
    };
    wait_until("the deletion of stale records", || async {
        !stored().await.contains("stale/")
    })
    .await;
    assert!(stored().await.contains("odd/3"));
    restart_all(&mut routed).await;
    let streams = broken(begun).await;
    assert_eq!(resumed(&routed, 1, &streams).await, streams.len());
    assert!(routed.log(1).contains("record odd/3 ignored"));
}
