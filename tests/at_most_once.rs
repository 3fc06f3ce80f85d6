//! Non-idempotent requests over separate processes; runs are counted in the plain service's record.

mod support;

use std::time::Duration;

use futures_util::future::join_all;
use serde_json::{Value, json};
use support::{Fleet, Received, Shape, call, get, set_knobs, wait_until};
use uuid::Uuid;

const SHAPE: Shape = Shape {
    routers: 3,
    engines: 0,
    plains: 1,
};
const ENTRIES: &str = "/records/entries";

async fn send_entry(fleet: &Fleet, router: u8, key: &str, body: &str) -> Received {
    let headers = [("idempotency-key", key)];
    let headers = if key.is_empty() {
        &[][..]
    } else {
        &headers[..]
    };
    call(fleet.caller(router), "POST", ENTRIES, headers, body)
        .await
        .unwrap()
}

async fn runs(fleet: &Fleet, body: &str) -> usize {
    let text = get(fleet.plains[0].addr, "/runs").await.unwrap();
    let runs: Vec<Value> = serde_json::from_str(&text).unwrap();
    runs.iter().filter(|r| r["body"] == body).count()
}

fn error(received: &Received) -> (String, String) {
    let value: Value = serde_json::from_str(&received.body).unwrap();
    let text = |field: &str| {
        value["error"][field]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    };
    (text("cause"), text("run_state"))
}

fn key() -> String {
    Uuid::now_v7().to_string()
}

/// A client loses its connection after the entry was made and sends it again through each router.
/// Each resend must get the answer of the first run, and the entry must exist once.
#[compio::test]
async fn resend_gets_the_stored_answer() {
    let fleet = Fleet::start(SHAPE).await;
    let key = key();
    let first = send_entry(&fleet, 0, &key, "entry 1").await;
    assert_eq!(first.status, 200, "{first:?}");
    for router in 0..3 {
        wait_until("the stored answer", || async {
            let again = send_entry(&fleet, router, &key, "entry 1").await;
            again.status == 200 && again.body == first.body
        })
        .await;
    }
    assert_eq!(runs(&fleet, "entry 1").await, 1);
    let other = send_entry(&fleet, 1, &key, "another entry").await;
    assert_eq!(error(&other), ("bad_request".into(), "not_run".into()));
    assert_eq!(runs(&fleet, "another entry").await, 0);
}

/// A client sends one request through all three routers at once. The first claim in the log wins;
/// the other calls are refused as running or get its answer.
#[compio::test]
async fn racing_sends_run_once() {
    let fleet = Fleet::start(SHAPE).await;
    set_knobs(fleet.plains[0].addr, &json!({ "delay_ms": 100 })).await;
    for i in 0..10 {
        let body = format!("slip {i}");
        let key = key();
        let sends = (0..3).map(|router| send_entry(&fleet, router, &key, &body));
        let received = join_all(sends).await;
        let answered = received.iter().filter(|r| r.status == 200).count();
        assert!(answered >= 1, "{received:?}");
        for refused in received.iter().filter(|r| r.status != 200) {
            assert_eq!(error(refused), ("still_running".into(), "unknown".into()));
        }
        assert_eq!(runs(&fleet, &body).await, 1);
    }
}

/// The upstream runs the request but its reply is lost. The caller and each resend must get the run
/// state "unknown", and the request must run once.
#[compio::test]
async fn lost_upstream_reply_is_never_retried() {
    let fleet = Fleet::start(SHAPE).await;
    set_knobs(fleet.plains[0].addr, &json!({ "drop_replies": 1 })).await;
    let key = key();
    let first = send_entry(&fleet, 0, &key, "ticket 1").await;
    assert_eq!(error(&first).1, "unknown", "{first:?}");
    for router in 0..3 {
        wait_until("the unknown outcome", || async {
            let again = send_entry(&fleet, router, &key, "ticket 1").await;
            error(&again) == ("outcome_unknown".into(), "unknown".into())
        })
        .await;
    }
    assert_eq!(runs(&fleet, "ticket 1").await, 1);
}

/// The platform stores the claims but its replies are lost. The router finds its claim by reading
/// the log, so an entry is never run after it was refused as not run, and never run twice.
#[compio::test]
async fn lost_log_reply_is_resolved_by_reading() {
    let fleet = Fleet::start(SHAPE).await;
    for i in 0..5 {
        set_knobs(fleet.platform.addr, &json!({ "drop_replies": 1 })).await;
        let body = format!("entry {i}");
        let key = key();
        let mut answered = false;
        for router in 0..3 {
            let received = send_entry(&fleet, router, &key, &body).await;
            let ran = runs(&fleet, &body).await;
            assert!(ran <= 1);
            if received.status == 200 {
                answered = true;
            } else if error(&received).1 == "not_run" && !answered {
                assert_eq!(ran, 0, "refused as not run: {received:?}");
            }
        }
        assert_eq!(runs(&fleet, &body).await, usize::from(answered));
        assert!(answered);
    }
}

/// No host of the service accepts connections: the request is refused as not run and its claim is
/// released, so the same key runs, once, when the host is back.
#[compio::test]
async fn released_key_runs_later() {
    let mut fleet = Fleet::start(SHAPE).await;
    fleet.plains[0].kill();
    let key = key();
    let refused = send_entry(&fleet, 0, &key, "entry 1").await;
    assert_eq!(error(&refused).1, "not_run", "{refused:?}");
    fleet.restart_plain(0, "{}");
    wait_until("the entry", || async {
        send_entry(&fleet, 1, &key, "entry 1").await.status == 200
    })
    .await;
    assert_eq!(runs(&fleet, "entry 1").await, 1);
}

/// The router that runs an entry is killed midway. A resend through another router finds the claim
/// and does not run.
#[compio::test]
async fn killed_router_leaves_no_second_run() {
    let mut fleet = Fleet::start(SHAPE).await;
    set_knobs(fleet.plains[0].addr, &json!({ "delay_ms": 60_000 })).await;
    let key = key();
    let addr = fleet.caller(0);
    let sent = key.clone();
    let send = compio::runtime::spawn(async move {
        call(
            addr,
            "POST",
            ENTRIES,
            &[("idempotency-key", &sent)],
            "entry 1",
        )
        .await
    });
    wait_until("the run", || async { runs(&fleet, "entry 1").await == 1 }).await;
    fleet.routers[0].kill();
    drop(send);
    for _ in 0..3 {
        for router in 1..3 {
            let again = send_entry(&fleet, router, &key, "entry 1").await;
            assert_eq!(error(&again).1, "unknown", "{again:?}");
        }
        compio::time::sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(runs(&fleet, "entry 1").await, 1);
}

/// The platform's log is down. A key that another router may have run is refused at once; a request
/// without a key runs, because no other router can have received it.
#[compio::test]
async fn only_keyless_requests_run_in_an_outage() {
    let fleet = Fleet::start(SHAPE).await;
    set_knobs(fleet.platform.addr, &json!({ "outage": true })).await;
    let refused = send_entry(&fleet, 0, &key(), "entry 1").await;
    let wanted = ("log_unavailable".to_owned(), "unknown".to_owned());
    assert_eq!(error(&refused), wanted);
    assert_eq!(runs(&fleet, "entry 1").await, 0);
    let keyless = send_entry(&fleet, 0, "", "entry 2").await;
    assert_eq!(keyless.status, 200, "{keyless:?}");
    assert_eq!(runs(&fleet, "entry 2").await, 1);
}

/// A key older than the log's retention, and a key from the future.
#[compio::test]
async fn expired_or_future_key_is_refused() {
    let fleet = Fleet::start(SHAPE).await;
    let at = |seconds: u64| {
        let time = uuid::Timestamp::from_unix(uuid::NoContext, seconds, 0);
        Uuid::new_v7(time).to_string()
    };
    let old = send_entry(&fleet, 0, &at(1_600_000_000), "entry 1").await;
    assert_eq!(error(&old), ("key_too_old".into(), "unknown".into()));
    let future = send_entry(&fleet, 0, &at(32_000_000_000), "entry 1").await;
    assert_eq!(error(&future), ("bad_request".into(), "unknown".into()));
    let malformed = send_entry(&fleet, 0, "my-key", "entry 1").await;
    assert_eq!(error(&malformed), ("bad_request".into(), "not_run".into()));
    assert_eq!(runs(&fleet, "entry 1").await, 0);
}

/// The log is down throughout. A client uses a run key from its entry answer: the request runs at
/// once, a resend through any router gets its answer, and after that router is killed the client
/// gets the run state "unknown". It never runs twice.
#[compio::test]
async fn run_key_works_without_the_log() {
    let mut fleet = Fleet::start(SHAPE).await;
    set_knobs(fleet.platform.addr, &json!({ "outage": true })).await;
    let entry = call(fleet.caller(0), "GET", "/v1/entry", &[], "").await;
    let entry: Value = serde_json::from_str(&entry.unwrap().body).unwrap();
    assert_eq!(entry["run_addr"], fleet.caller(0).to_string());
    let key = format!("{}.{}", entry["run_prefix"].as_str().unwrap(), key());
    let first = send_entry(&fleet, 0, &key, "slip 1").await;
    assert_eq!(first.status, 200, "{first:?}");
    for router in 0..3 {
        wait_until("the stored answer", || async {
            let again = send_entry(&fleet, router, &key, "slip 1").await;
            again.status == 200 && again.body == first.body
        })
        .await;
    }
    let relayed = format!("{}.{}", entry["run_prefix"].as_str().unwrap(), self::key());
    let other = send_entry(&fleet, 2, &relayed, "slip 2").await;
    assert_eq!(other.status, 200, "{other:?}");
    fleet.routers[0].kill();
    for router in 1..3 {
        let again = send_entry(&fleet, router, &key, "slip 1").await;
        assert_eq!(error(&again), ("outcome_unknown".into(), "unknown".into()));
    }
    assert_eq!(runs(&fleet, "slip 1").await, 1);
    assert_eq!(runs(&fleet, "slip 2").await, 1);
}

/// The router that claims a key is frozen at some point of its work, and the client sends the key
/// again through another. The first router then wakes and continues.
#[compio::test]
async fn frozen_claimant_causes_no_second_run() {
    let fleet = Fleet::start(SHAPE).await;
    set_knobs(fleet.platform.addr, &json!({ "delay_ms": 20 })).await;
    for i in 0..8_u64 {
        let key = key();
        let body = format!("entry {i}");
        let first = send_entry(&fleet, 0, &key, &body);
        let second = async {
            compio::time::sleep(Duration::from_millis(15 * i)).await;
            fleet.routers[0].freeze();
            let second = send_entry(&fleet, 1, &key, &body).await;
            fleet.routers[0].unfreeze();
            second
        };
        let (first, second) = futures_util::future::join(first, second).await;
        let runs = runs(&fleet, &body).await;
        let answered = [&first, &second].into_iter().any(|r| r.status == 200);
        assert!(
            runs <= 1 && (runs == 1 || !answered),
            "{first:?} {second:?}"
        );
        let not_run = |r: &Received| r.status != 200 && error(r).1 == "not_run";
        if not_run(&first) && not_run(&second) {
            assert_eq!(runs, 0, "{first:?} {second:?}");
        }
    }
}

/// A request runs under a run key, and its router is killed later. The result that the router wrote
/// to the log answers a resend through another router.
#[compio::test]
async fn run_keys_answer_outlives_its_router() {
    let mut fleet = Fleet::start(SHAPE).await;
    let entry = call(fleet.caller(0), "GET", "/v1/entry", &[], "").await;
    let entry: Value = serde_json::from_str(&entry.unwrap().body).unwrap();
    let key = format!("{}.{}", entry["run_prefix"].as_str().unwrap(), key());
    let platform = fleet.platform.addr;
    let appends = || async { get(platform, "/counts").await.unwrap() };
    let before = appends().await;
    let first = send_entry(&fleet, 0, &key, "slip 1").await;
    assert_eq!(first.status, 200, "{first:?}");
    wait_until("the stored answer", || async { appends().await != before }).await;
    fleet.routers[0].kill();
    for router in 1..3 {
        let again = send_entry(&fleet, router, &key, "slip 1").await;
        assert_eq!((again.status, &again.body), (200, &first.body), "{again:?}");
    }
    assert_eq!(runs(&fleet, "slip 1").await, 1);
}

/// A request runs and its reply is lost; then the log goes down and the client sends the key again.
/// After "not run" the client would send the request under a new key, so it must get "unknown".
#[compio::test]
async fn resend_in_an_outage_is_not_refused_as_not_run() {
    let fleet = Fleet::start(SHAPE).await;
    set_knobs(fleet.plains[0].addr, &json!({ "drop_replies": 1 })).await;
    let key = key();
    let first = send_entry(&fleet, 0, &key, "ticket 1").await;
    assert_eq!(error(&first).1, "unknown", "{first:?}");
    set_knobs(fleet.platform.addr, &json!({ "outage": true })).await;
    for router in 0..3 {
        let again = send_entry(&fleet, router, &key, "ticket 1").await;
        assert_eq!(error(&again).1, "unknown", "{again:?}");
    }
    assert_eq!(runs(&fleet, "ticket 1").await, 1);
}
