//! Requests that crash each upstream that runs them, sent through all routers: when they are
//! stopped.

mod support;

use std::collections::HashSet;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use serde_json::{Value, json};
use support::routed::{FleetSize, RoutedFleet};
use support::{post, set_knobs, sleep_ms, wait_until};
use test_case::test_case;

/// Body of the request that crashes upstreams.
const HARMFUL: &str = "12 poison";
/// Time within which routers that are not disturbed know what others observed.
const CONTACT_MS: u64 = 3_000;
/// Number of arrivals allowed later than [`CONTACT_MS`] after the third death.
const MAX_LATE: usize = 3;
/// Time after which a crashed upstream is replaced.
const DOWN: Duration = Duration::from_secs(1);
/// Pause of a caller after two failures in a row.
const PAUSE_MS: u64 = 700;

fn crash_knobs() -> Value {
    json!({ "crash_marker": "poison" })
}

/// Upstreams that crashed, and those that replaced them.
#[derive(Default)]
struct Crashes {
    down: Vec<(u8, Instant)>,
    replaced: Vec<u8>,
}

impl Crashes {
    /// Notes upstreams that crashed, and replaces those that have been down for [`DOWN`].
    async fn replace(&mut self, routed: &mut RoutedFleet) {
        for (i, upstream) in routed.upstreams.iter_mut().enumerate() {
            let i = u8::try_from(i).unwrap();
            if !self.down.iter().any(|(known, _)| *known == i) && upstream.exited().is_some() {
                self.down.push((i, Instant::now()));
            }
        }
        let is_due = |(_, at): &mut (u8, Instant)| at.elapsed() >= DOWN;
        for (i, _) in self.down.extract_if(.., is_due) {
            routed.spawn_upstream(i);
            self.replaced.push(i);
        }
        let mut starting = Vec::new();
        for i in std::mem::take(&mut self.replaced) {
            let at = routed.upstreams[usize::from(i)].addr;
            if !post(at, "/knobs", &crash_knobs().to_string()).await {
                starting.push(i);
            }
        }
        self.replaced = starting;
    }
}

/// Sends the harmful request for `duration`, each time to the next router: twice at once, then after
/// a pause. Returns the ids.
async fn repeat_harmful(
    routed: &mut RoutedFleet,
    path: &str,
    duration: Duration,
) -> HashSet<String> {
    let (begin, mut crashes) = (Instant::now(), Crashes::default());
    let mut ids = HashSet::new();
    let mut next = 0;
    while begin.elapsed() < duration {
        for _ in 0..2 {
            let router = next % u8::try_from(routed.routers.len()).unwrap();
            next += 1;
            ids.insert(routed.call(router, path, HARMFUL).await.0);
        }
        let until = Instant::now() + Duration::from_millis(PAUSE_MS);
        while Instant::now() < until {
            crashes.replace(routed).await;
            sleep_ms(20).await;
        }
    }
    ids
}

/// Times of the arrivals of these requests, and those of the first at each upstream.
fn arrivals_ms(routed: &RoutedFleet, ids: &HashSet<String>) -> (Vec<u64>, Vec<u64>) {
    let (mut all, mut firsts) = (Vec::new(), Vec::new());
    for name in &routed.upstream_names {
        let arrivals = routed.arrivals_at(name).into_iter();
        let harmful = arrivals.filter(|a| ids.contains(&a.request_id));
        let times: Vec<u64> = harmful.map(|a| a.at_ms).collect();
        firsts.extend(times.iter().min());
        all.extend(times);
    }
    all.sort_unstable();
    firsts.sort_unstable();
    (all, firsts)
}

/// A request crashes each upstream that runs it, and its caller repeats it through one router after
/// the other. Nothing else is sent, so no other request shows that upstreams are dead: each router
/// knows of few deaths, late.
#[test_case("/get/1", false; "idempotent")]
#[test_case("/resumed/stream", false; "resumable stream")]
#[test_case("/get/1", true; "idempotent while the store is away")]
#[compio::test]
async fn request_that_crashes_upstreams_is_stopped_at_all_routers(path: &str, store_away: bool) {
    let size = FleetSize {
        routers: 9,
        upstreams: 18,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    routed.upstream_knobs(crash_knobs()).await;
    if store_away {
        routed.store_knobs(json!({ "fault": "silent" })).await;
    }
    let ids = repeat_harmful(&mut routed, path, Duration::from_secs(8)).await;
    routed.store_knobs(json!({})).await;
    let (all, deaths) = arrivals_ms(&routed, &ids);
    assert!(deaths.len() >= 3, "only {} upstreams crashed", deaths.len());
    let late = all.iter().filter(|at| **at > deaths[2] + CONTACT_MS);
    let late = late.count();
    assert!(
        late <= MAX_LATE,
        "{late} late arrivals, {} upstreams crashed",
        deaths.len()
    );
    for router in 0..size.routers {
        let (id, received) = routed.call(router, path, HARMFUL).await;
        assert_eq!(received.map(|r| r.status), Some(503), "router {router}");
        assert_eq!(routed.runs_of(&id), 0, "router {router}");
    }
}

/// Upstreams end, several at a time, under a request that many callers send and that does no harm.
/// No router may refuse it as quarantined.
#[compio::test]
async fn common_request_is_not_quarantined_when_upstreams_end_together() {
    let size = FleetSize {
        routers: 3,
        upstreams: 8,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    routed.upstream_knobs(json!({ "delay_ms": 50 })).await;
    for _ in 0..2 {
        let stop = std::rc::Rc::new(std::cell::Cell::new(false));
        let callers = (0..24_u8).map(|n| {
            let (stop, at) = (stop.clone(), routed.caller(n % size.routers));
            compio::runtime::spawn(async move {
                let caller = support::Caller::new(support::routed::KEY);
                let mut quarantined = 0;
                while !stop.get() {
                    let id = support::routed::new_request_id();
                    let headers = [("attempt-id", id.as_str()), ("host", "a.example")];
                    let received = caller.call(at, "POST", "/get/1", &headers, "common").await;
                    let is_refused = received.is_some_and(|r| r.body.contains("quarantined"));
                    quarantined += usize::from(is_refused);
                }
                quarantined
            })
        });
        let callers: Vec<_> = callers.collect();
        sleep_ms(500).await;
        for upstream in &mut routed.upstreams[..5] {
            upstream.kill();
        }
        sleep_ms(3_000).await;
        stop.set(true);
        for caller in callers {
            assert_eq!(caller.await.unwrap(), 0, "refused as quarantined");
        }
        routed.replace_crashed(5).await;
        for upstream in &routed.upstreams {
            wait_until("an upstream", || async {
                post(upstream.addr, "/knobs", r#"{"delay_ms":50}"#).await
            })
            .await;
        }
    }
}

/// Upstreams that crash in the middle of an answer with a length, under one request. The answer
/// broke off after its head had arrived, which must count against the request like any lost answer.
#[compio::test]
async fn answers_that_break_off_count_against_the_request() {
    let size = FleetSize {
        upstreams: 8,
        ..FleetSize::default()
    };
    let routed = RoutedFleet::start(size).await;
    let knobs = json!({ "crash_marker": "poison", "crash_in_answer": true });
    routed.upstream_knobs(knobs).await;
    for _ in 0..3 {
        routed.call(0, "/get/1", HARMFUL).await;
        sleep_ms(300).await;
    }
    let (id, received) = routed.call(0, "/get/1", HARMFUL).await;
    assert_eq!(received.map(|r| r.status), Some(503));
    assert_eq!(routed.runs_of(&id), 0);
}

/// One upstream answers the harmful request with an error, as it fails all requests, and the others
/// crash. The error says nothing for the request, which must be stopped all the same.
#[compio::test]
async fn error_answers_clear_no_suspicion() {
    let size = FleetSize {
        upstreams: 8,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    routed.upstream_knobs(crash_knobs()).await;
    let failing = json!({ "spoil": "fail", "spoilt": 1_000 });
    set_knobs(routed.upstreams[0].addr, &failing).await;
    let mut crashes = Crashes::default();
    let mut is_stopped = false;
    for _ in 0..60 {
        let (_, received) = routed.call(0, "/ticket/1", HARMFUL).await;
        is_stopped = received.is_some_and(|r| r.body.contains("quarantined"));
        if is_stopped {
            break;
        }
        crashes.replace(&mut routed).await;
        sleep_ms(60).await;
    }
    assert!(is_stopped);
}

/// A request that has crashed three upstreams crashes the fourth. The attempts that its caller's
/// request may still make must not be made.
#[test_case("/get/1"; "retries")]
#[test_case("/resumed/stream"; "resumptions")]
#[compio::test]
async fn quarantine_ends_the_attempts_under_way(path: &str) {
    let size = FleetSize {
        upstreams: 10,
        ..FleetSize::default()
    };
    let routed = RoutedFleet::start(size).await;
    routed.upstream_knobs(crash_knobs()).await;
    let (first, _) = routed.call(0, path, HARMFUL).await;
    sleep_ms(300).await;
    let (second, received) = routed.call(0, path, HARMFUL).await;
    // It ran, so it may not be promised that it didn't.
    assert_eq!(received.map(|r| r.status), Some(502));
    let (third, received) = routed.call(0, path, HARMFUL).await;
    assert_eq!(received.map(|r| r.status), Some(503));
    let runs = [first, second, third].map(|id| routed.runs_of(&id));
    assert_eq!(runs, [3, 1, 0]);
}

/// A router is killed and started again long after the other ones have told of a quarantine. It
/// knows nothing of it, and would pass the request on.
#[compio::test]
async fn restarted_router_learns_of_a_quarantine() {
    const RESTARTED: u8 = 2;
    let size = FleetSize {
        routers: 3,
        upstreams: 10,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    routed.upstream_knobs(crash_knobs()).await;
    for _ in 0..2 {
        routed.call(0, "/get/1", HARMFUL).await;
        sleep_ms(300).await;
    }
    let applies = "another router's suspicion of this request applies";
    wait_until("the quarantine at all routers", || async {
        (1..3).all(|i| routed.log(i).contains("\"deaths\":4"))
    })
    .await;
    // Gossip repeats news for some seconds.
    sleep_ms(8_000).await;
    routed.routers[usize::from(RESTARTED)].kill();
    let before = routed.log(RESTARTED).len();
    routed.spawn_router(RESTARTED);
    wait_until("the quarantine at the restarted router", || async {
        routed.log(RESTARTED)[before..].contains(applies)
    })
    .await;
    let (id, received) = routed.call(RESTARTED, "/get/1", HARMFUL).await;
    assert_eq!(received.map(|r| r.status), Some(503));
    assert_eq!(routed.runs_of(&id), 0);
}

/// Ends three of twelve upstreams under one request, and returns [`CONTACT_MS`] after all nine routers
/// know of the three deaths. The other upstreams have these knobs then.
async fn fleet_that_knows_of_three_deaths(knobs: &Value) -> RoutedFleet {
    let size = FleetSize {
        routers: 9,
        upstreams: 12,
        ..FleetSize::default()
    };
    let routed = RoutedFleet::start(size).await;
    routed.upstream_knobs(crash_knobs()).await;
    routed.call(0, "/get/1", HARMFUL).await;
    wait_until("three deaths at all routers", || async {
        (0..size.routers).all(|i| routed.log(i).contains("\"deaths\":3"))
    })
    .await;
    for upstream in &routed.upstreams {
        // Three of them have ended.
        post(upstream.addr, "/knobs", &knobs.to_string()).await;
    }
    sleep_ms(CONTACT_MS).await;
    routed
}

/// Sends the request to all routers at the same moment.
async fn call_all(routed: &RoutedFleet) -> Vec<(String, Option<support::Received>)> {
    let routers = 0..u8::try_from(routed.routers.len()).unwrap();
    join_all(routers.map(|i| routed.call(i, "/get/1", HARMFUL))).await
}

/// A request has crashed three upstreams, which all routers know, and is sent to all of them at the
/// same moment. Each of them may not try it on its own.
#[compio::test]
async fn suspected_request_runs_at_one_router_at_a_time() {
    let routed = fleet_that_knows_of_three_deaths(&crash_knobs()).await;
    let calls = call_all(&routed).await;
    let ids: HashSet<String> = calls.into_iter().map(|(id, _)| id).collect();
    let (late, _) = arrivals_ms(&routed, &ids);
    assert!(late.len() <= MAX_LATE, "{} late arrivals", late.len());
}

/// Three upstreams ended under a request by chance, and it does no harm. It must be served at all
/// routers, though it is suspected.
#[compio::test]
async fn request_suspected_by_chance_is_served_at_all_routers() {
    let routed = fleet_that_knows_of_three_deaths(&json!({})).await;
    for (i, (_, received)) in call_all(&routed).await.into_iter().enumerate() {
        assert_eq!(received.map(|r| r.status), Some(200), "router {i}");
    }
}

/// Calls router `i` until it answers. Returns the ids of all calls, and the first answer.
async fn call_until_answered(routed: &RoutedFleet, i: u8) -> (Vec<String>, support::Received) {
    let mut ids = Vec::new();
    loop {
        let (id, received) = routed.call(i, "/get/1", HARMFUL).await;
        ids.push(id);
        if let Some(received) = received {
            return (ids, received);
        }
        sleep_ms(5).await;
    }
}

/// A router is killed and started again while the others quarantine a request, which is sent to it as
/// soon as it accepts connections. It must not pass the request on before it knows of the quarantine.
#[test_case(1; "one restart")]
#[test_case(3; "one restart after the other")]
#[compio::test]
async fn router_that_starts_passes_on_no_quarantined_request(restarts: u8) {
    let size = FleetSize {
        routers: 5,
        upstreams: 12,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    routed.upstream_knobs(crash_knobs()).await;
    for _ in 0..2 {
        routed.call(0, "/get/1", HARMFUL).await;
        sleep_ms(300).await;
    }
    wait_until("the quarantine at all routers", || async {
        (1..size.routers).all(|i| routed.log(i).contains("\"deaths\":4"))
    })
    .await;
    sleep_ms(CONTACT_MS).await;
    for i in 0..restarts {
        routed.routers[usize::from(i)].kill();
        routed.spawn_router(i);
        let (ids, received) = call_until_answered(&routed, i).await;
        let runs: usize = ids.iter().map(|id| routed.runs_of(id)).sum();
        assert_eq!(runs, 0, "router {i} passed it on: {}", received.status);
        assert_eq!(received.status, 503, "router {i}");
        routed.wait_status(i, "/ticket/1", 200).await;
    }
}

/// All routers are killed and started again while a request is quarantined. None is left that could tell
/// the others, and the request may end no further upstream.
#[compio::test]
async fn quarantine_outlives_a_restart_of_all_routers() {
    let size = FleetSize {
        routers: 3,
        upstreams: 12,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    routed.upstream_knobs(crash_knobs()).await;
    for _ in 0..2 {
        routed.call(0, "/get/1", HARMFUL).await;
        sleep_ms(300).await;
    }
    for _ in 0..2 {
        for router in &mut routed.routers {
            router.kill();
        }
        for i in 0..size.routers {
            routed.spawn_router(i);
        }
        for i in 0..size.routers {
            let (ids, received) = call_until_answered(&routed, i).await;
            let runs: usize = ids.iter().map(|id| routed.runs_of(id)).sum();
            assert_eq!(runs, 0, "router {i} passed it on: {}", received.status);
            assert_eq!(received.status, 503, "router {i}");
        }
    }
}
