//! The log of the project's own way comes back from an older copy: records that it acknowledged are
//! lost, and their offsets are given out again.

mod support;

use cassiagrade::schema::config::HostMark;
use cassiagrade::schema::config::change::Op;
use serde_json::{Value, json};
use support::{Fleet, Received, Shape, call, get, set_knobs, sleep_ms};
use uuid::Uuid;

const SHAPE: Shape = Shape {
    routers: 3,
    engines: 0,
    plains: 1,
};
const ENTRIES: &str = "/records/entries";
/// Time within which a change that the log acknowledged must be in force.
const BOUND_MS: u64 = 2_000;
/// Time by which a copy is older than the first record that it lacks.
const COPY_MARGIN_MS: u64 = 500;

fn drain_host(host: &str) -> Op {
    Op::MarkHost(HostMark {
        host: host.to_owned(),
        draining: true,
    })
}

async fn restore(fleet: &Fleet, age_ms: u64) {
    set_knobs(fleet.platform.addr, &json!({ "restore_age_ms": age_ms })).await;
}

async fn send_entry(fleet: &Fleet, router: u8, key: &str, body: &str) -> Received {
    let headers = [("idempotency-key", key)];
    call(fleet.caller(router), "POST", ENTRIES, &headers, body)
        .await
        .unwrap()
}

async fn runs(fleet: &Fleet, body: &str) -> usize {
    let text = get(fleet.plains[0].addr, "/runs").await.unwrap();
    let runs: Vec<Value> = serde_json::from_str(&text).unwrap();
    runs.iter().filter(|r| r["body"] == body).count()
}

fn run_state(received: &Received) -> String {
    let value: Value = serde_json::from_str(&received.body).unwrap();
    let state = value["error"]["run_state"].as_str();
    state.unwrap_or_default().to_owned()
}

/// Guards against routers that never read the changes whose offsets were given out again.
#[compio::test]
async fn changes_after_a_restore_are_in_force_at_all_routers() {
    let fleet = Fleet::start(SHAPE).await;
    sleep_ms(2 * COPY_MARGIN_MS).await;
    for lost in ["lost-1", "lost-2", "lost-3"] {
        fleet.accept(drain_host(lost)).await;
    }
    sleep_ms(BOUND_MS).await;
    restore(&fleet, BOUND_MS + COPY_MARGIN_MS).await;
    sleep_ms(BOUND_MS).await;
    let reply = fleet.apply(1, drain_host("after")).await.unwrap();
    assert!(reply.accepted, "{reply:?}");
    sleep_ms(BOUND_MS).await;
    for i in 0..3 {
        let state = fleet.operator(i).await.unwrap().config().await.unwrap();
        let hosts: Vec<&str> = state.hosts.iter().map(|m| m.host.as_str()).collect();
        assert_eq!(hosts, ["after"], "router {i}, version {}", state.version);
        assert_eq!(state.version, reply.version, "router {i}");
    }
}

/// Guards against a second run of a request whose claim was lost with the routers that knew it.
#[compio::test]
async fn key_whose_claim_was_lost_does_not_run_twice() {
    let mut fleet = Fleet::start(SHAPE).await;
    sleep_ms(2 * COPY_MARGIN_MS).await;
    let key = Uuid::now_v7().to_string();
    let first = send_entry(&fleet, 0, &key, "entry 1").await;
    assert_eq!(first.status, 200, "{first:?}");
    sleep_ms(BOUND_MS).await;
    restore(&fleet, BOUND_MS + COPY_MARGIN_MS).await;
    let version = fleet.operator(0).await.unwrap().config().await.unwrap();
    for i in 0..3 {
        fleet.restart_router(i);
    }
    for i in 0..3 {
        fleet.wait_version(i, version.version).await;
    }
    for i in 0..3 {
        let again = send_entry(&fleet, i, &key, "entry 1").await;
        assert_eq!(runs(&fleet, "entry 1").await, 1, "router {i}: {again:?}");
        assert_eq!(run_state(&again), "unknown", "router {i}: {again:?}");
    }
}
