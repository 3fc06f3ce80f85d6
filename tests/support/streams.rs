//! Streams that routers begin, that break off, and that their callers take up again at other routers.

use std::net::SocketAddr;

use futures_util::future::join_all;
use serde_json::json;

use super::routed::{FleetSize, HOST, KEY, RoutedFleet, new_request_id};
use super::{Caller, Received, get, set_knobs, sleep_ms, wait_until};

pub(crate) const STREAMS: usize = 20;
pub(crate) const PATH: &str = "/resumed/stream";
/// Number of events of each stream.
pub(crate) const EVENTS: u64 = 60;
pub(crate) const EVENT_INTERVAL_MS: u64 = 100;

/// A stream that broke off.
pub(crate) struct Broken {
    /// Unlike that of the others: identical requests are suspected together when upstreams end.
    pub(crate) path: String,
    /// Id of the request that brought the first event.
    pub(crate) id: String,
    /// Last event that arrived.
    pub(crate) last: u64,
}

/// A stream that a router was asked to begin.
pub(crate) struct Begun {
    path: String,
    id: String,
    received: Option<Received>,
}

/// What became of a stream that was taken up.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum TakenUp {
    /// It went on at its version to its end.
    WentOn,
    Refused,
    /// It went on at another version.
    Joined(String),
}

/// Three routers, and upstreams of these versions in order, which send their events slowly.
pub(crate) async fn start(versions: &[&str]) -> RoutedFleet {
    start_with(FleetSize::default(), versions).await
}

/// Like [`start`], with a relay between each router and the store.
pub(crate) async fn start_with_store_relays(versions: &[&str]) -> RoutedFleet {
    let size = FleetSize {
        store_relays: true,
        ..FleetSize::default()
    };
    start_with(size, versions).await
}

async fn start_with(size: FleetSize, versions: &[&str]) -> RoutedFleet {
    let size = FleetSize {
        routers: 0,
        upstreams: 0,
        ..size
    };
    let mut routed = RoutedFleet::start(size).await;
    for version in versions {
        spawn_upstream(&mut routed, version).await;
    }
    for i in 0..3 {
        if size.store_relays {
            routed.add_store_relay(i).await;
        }
        routed.spawn_router(i);
    }
    wait_all_ready(&routed).await;
    wait_versions_in_use(&routed).await;
    routed
}

/// Waits until each router knows all upstreams, and streams begin at all of their versions.
pub(crate) async fn wait_versions_in_use(routed: &RoutedFleet) {
    let known = format!("cassiagrade_upstreams_known {}", routed.upstreams.len());
    for i in 0..u8::try_from(routed.routers.len()).unwrap() {
        let at = routed.admin(i);
        wait_until("all versions in use", || async {
            let page = get(at, "/metrics").await.unwrap_or_default();
            let has = |line: &str| page.lines().any(|l| l == line);
            has(&known) && has("cassiagrade_versions_unused 0")
        })
        .await;
    }
}

pub(crate) async fn spawn_upstream(routed: &mut RoutedFleet, version: &str) {
    let at = spawn_unlisted_upstream(routed, version).await;
    list_upstream(at).await;
}

/// Starts an upstream that isn't listed yet, and returns its address.
pub(crate) async fn spawn_unlisted_upstream(routed: &mut RoutedFleet, version: &str) -> SocketAddr {
    let i = u8::try_from(routed.upstreams.len()).unwrap();
    routed.spawn_upstream_of_with_knobs(i, version, &json!({ "mute": true }));
    let at = routed.upstreams[usize::from(i)].addr;
    wait_until("an upstream", || async {
        get(at, "/healthz").await.is_some()
    })
    .await;
    at
}

/// Has an upstream listed, which sends its events slowly.
pub(crate) async fn list_upstream(at: SocketAddr) {
    set_knobs(at, &json!({ "delay_ms": EVENT_INTERVAL_MS })).await;
}

pub(crate) async fn wait_all_ready(routed: &RoutedFleet) {
    for i in 0..u8::try_from(routed.routers.len()).unwrap() {
        routed.wait_ready(i).await;
    }
}

/// Begins streams at router 0, and breaks them off after a second by `cut`.
pub(crate) async fn break_streams(
    routed: &mut RoutedFleet,
    cut: impl AsyncFnOnce(&mut RoutedFleet),
) -> Vec<Broken> {
    let at = routed.caller(0);
    let begun = (0..STREAMS).map(|n| compio::runtime::spawn(begin(at, n)));
    let begun: Vec<_> = begun.collect();
    sleep_ms(1_000).await;
    cut(routed).await;
    let ended = join_all(begun).await.into_iter();
    let broken: Vec<Broken> = ended.map(|b| broken(b.unwrap())).collect();
    assert!(broken.iter().all(|b| b.last > 0 && b.last < EVENTS));
    broken
}

/// Begins stream `n` at a router, and returns what has arrived when it ends.
pub(crate) async fn begin(at: SocketAddr, n: usize) -> Begun {
    let path = format!("/resumed/{n}/stream");
    let id = new_request_id();
    let headers = [
        ("attempt-id", id.as_str()),
        ("host", HOST),
        ("deadline-ms", "8000"),
    ];
    let body = EVENTS.to_string();
    let caller = Caller::new(KEY);
    let received = caller.call(at, "POST", &path, &headers, &body).await;
    Begun { path, id, received }
}

fn broken(begun: Begun) -> Broken {
    let received = begun.received.as_ref().expect("an answer begins");
    assert_eq!(received.status, 200);
    begun.into()
}

impl From<Begun> for Broken {
    fn from(begun: Begun) -> Self {
        Self {
            last: begun.received.as_ref().map_or(0, last_event),
            path: begun.path,
            id: begun.id,
        }
    }
}

/// Id of the last event that arrived as a whole.
pub(crate) fn last_event(received: &Received) -> u64 {
    let (whole, _) = received.body.rsplit_once("\n\n").unwrap_or_default();
    let mut ids = whole.lines().filter_map(|l| l.strip_prefix("id: "));
    ids.next_back().map_or(0, |id| id.parse().unwrap())
}

/// Takes up a stream at router `i`. Returns the id of the request, and the answer.
pub(crate) async fn take_up(
    routed: &RoutedFleet,
    i: u8,
    broken: &Broken,
) -> (String, Option<Received>) {
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

/// Versions of the upstreams that ran a request.
pub(crate) fn versions_of(routed: &RoutedFleet, id: &str) -> Vec<String> {
    let runs = routed.runs().remove(id).unwrap_or_default();
    runs.into_iter().map(|run| run.software).collect()
}

/// Takes up all streams at router `i`, and returns how many of them went on to their end. None may go on at
/// another version.
pub(crate) async fn resumed(routed: &RoutedFleet, i: u8, streams: &[Broken]) -> usize {
    let resumed = try_resume(routed, i, streams).await;
    resumed.into_iter().filter(|went_on| *went_on).count()
}

/// Takes up all streams at router `i`, and returns which of them went on to their end. None may go on at
/// another version.
pub(crate) async fn try_resume(routed: &RoutedFleet, i: u8, streams: &[Broken]) -> Vec<bool> {
    let taken_up = join_all(streams.iter().map(|stream| resume(routed, i, stream))).await;
    assert_none_joined(&taken_up);
    let went_on = taken_up.iter().map(|end| *end == TakenUp::WentOn);
    went_on.collect()
}

/// Takes up a stream at router `i`.
pub(crate) async fn resume(routed: &RoutedFleet, i: u8, stream: &Broken) -> TakenUp {
    let (id, received) = take_up(routed, i, stream).await;
    let began = versions_of(routed, &stream.id);
    let went_on = versions_of(routed, &id);
    if went_on.iter().any(|version| !began.contains(version)) {
        return TakenUp::Joined(format!("a stream of {began:?} went on at {went_on:?}"));
    }
    assert_eq!(began.len(), 1);
    let received = received.expect("an answer");
    if received.status == 200 {
        assert_eq!(last_event(&received), EVENTS);
        return TakenUp::WentOn;
    }
    assert_eq!(received.status, 503, "{}", received.body);
    assert!(went_on.is_empty());
    TakenUp::Refused
}

pub(crate) fn assert_none_joined(taken_up: &[TakenUp]) {
    let is_joined = |end: &&TakenUp| matches!(end, TakenUp::Joined(_));
    let joined: Vec<&TakenUp> = taken_up.iter().filter(is_joined).collect();
    let (count, of) = (joined.len(), taken_up.len());
    assert!(joined.is_empty(), "{count} of {of} joined: {joined:?}");
}

/// Kills all routers at the same time.
pub(crate) fn kill_all(routed: &mut RoutedFleet) {
    for router in &mut routed.routers {
        // The id of a process that has been waited for may be another one's by now.
        if router.exited().is_none() {
            router.handle().kill();
        }
    }
    for router in &mut routed.routers {
        router.kill();
    }
}

pub(crate) async fn restart_all(routed: &mut RoutedFleet) {
    kill_all(routed);
    for i in 0..3 {
        routed.spawn_router(i);
    }
    wait_all_ready(routed).await;
}
