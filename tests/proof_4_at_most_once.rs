//! A non-idempotent request runs at most once, and the outcome reported to its caller is true.

mod support;

use futures_util::future::join_all;
use serde_json::json;
use support::{ACCOUNT_KEY, CallOutcome, Caller, Fleet, Options, set_knobs, sleep_ms};
use uuid::Uuid;

/// The outcomes that one caller with one key received, attempt by attempt.
struct Entry {
    key: String,
    outcomes: Vec<CallOutcome>,
}

/// Sends `count` entries concurrently; each is sent again through the next router until it is
/// served.
async fn send_entries(fleet: &Fleet, count: u64, attempts: usize, pace_ms: u64) -> Vec<Entry> {
    let routers = u64::try_from(fleet.routers.len()).unwrap();
    let calls = (0..count).map(|n| {
        let caller = Caller::new(ACCOUNT_KEY);
        async move {
            sleep_ms(n * pace_ms).await;
            let key = Uuid::now_v7().to_string();
            let mut outcomes = Vec::new();
            let body = format!("entry {n}");
            for attempt in 0..u64::try_from(attempts).unwrap() {
                let router = u8::try_from((n + attempt) % routers).unwrap();
                let addr = fleet.caller(router);
                let call = caller.entry(addr, &key, &body);
                // The caller's own timeout, for routers that don't answer.
                let timeout = std::time::Duration::from_secs(3);
                let received = compio::time::timeout(timeout, call).await;
                let outcome = match received {
                    Ok(Some(received)) => received.outcome(),
                    Ok(None) | Err(_) => CallOutcome::Cut,
                };
                let served = outcome == CallOutcome::Served;
                outcomes.push(outcome);
                if served {
                    break;
                }
                sleep_ms(50).await;
            }
            Entry { key, outcomes }
        }
    });
    join_all(calls).await
}

/// Checks each entry against the records of all upstreams; returns how many were served.
fn check(fleet: &Fleet, entries: &[Entry]) -> usize {
    let runs = fleet.runs();
    let by_key = runs.by_key();
    let mut served = 0;
    for entry in entries {
        let ran = by_key.get(entry.key.as_str()).copied().unwrap_or(0);
        let outcomes = &entry.outcomes;
        assert!(
            ran <= 1,
            "{} ran {ran} times; outcomes {outcomes:?}",
            entry.key
        );
        match outcomes.last() {
            Some(CallOutcome::Served) => {
                assert_eq!(ran, 1, "{}: served without a run", entry.key);
                served += 1;
            }
            Some(CallOutcome::Refused { run_state, .. }) if run_state == "not_run" => {
                assert_eq!(ran, 0, "{}: refused as not run: {outcomes:?}", entry.key);
            }
            _ => {}
        }
    }
    served
}

/// The same entry is sent through every router concurrently. It must run once.
#[compio::test]
async fn same_key_through_every_router_at_once() {
    let fleet = Fleet::start_with(Options::new(3, 0, 2)).await;
    let keys: Vec<String> = (0..20).map(|_| Uuid::now_v7().to_string()).collect();
    let fleet = &fleet;
    let calls = keys.iter().flat_map(|key| {
        (0..3).map(move |router| {
            let caller = Caller::new(ACCOUNT_KEY);
            let addr = fleet.caller(router);
            async move { caller.entry(addr, key, "ticket").await }
        })
    });
    let received = join_all(calls).await;
    let served = received.iter().flatten();
    let served = served
        .filter(|r| r.outcome() == CallOutcome::Served)
        .count();
    let runs = fleet.runs();
    let by_key = runs.by_key();
    for key in &keys {
        let ran = by_key.get(key.as_str()).copied().unwrap_or(0);
        assert!(ran <= 1, "{key} ran {ran} times");
    }
    assert!(served >= 1, "no caller was served: {received:?}");
}

/// An upstream runs an entry and its reply is lost; the caller sends it again through another
/// router, while the log loses replies of its own. A second run would duplicate the entry.
#[compio::test]
async fn lost_replies_and_resends() {
    let fleet = Fleet::start_with(Options::new(3, 0, 2)).await;
    for plain in &fleet.plains {
        set_knobs(plain.addr, &json!({ "drop_replies": 8 })).await;
    }
    set_knobs(fleet.platform.addr, &json!({ "drop_replies": 10 })).await;
    let entries = send_entries(&fleet, 40, 3, 20).await;
    let served = check(&fleet, &entries);
    println!("{served} of 40 served");
    assert!(served > 0);
}

/// A router is killed between the claim and the call, and another is frozen past every timeout and
/// wakes with a claim that is no longer valid, while callers resend their entries through other
/// routers. Each entry must run at most once.
#[compio::test]
async fn kills_and_freezes_between_claim_and_call() {
    let mut options = Options::new(4, 0, 2);
    options.plain = json!({ "delay_ms": 40 }).to_string();
    let mut fleet = Fleet::start_with(options).await;
    let router_addrs: Vec<_> = fleet.routers.iter().map(|r| r.addr).collect();
    assert_eq!(router_addrs.len(), 4);
    let mut victim = fleet.routers.remove(3);
    let faults = async {
        sleep_ms(400).await;
        victim.kill();
        fleet.routers[2].freeze();
        sleep_ms(2_500).await;
        fleet.routers[2].unfreeze();
    };
    let (entries, ()) = futures_util::join!(send_entries(&fleet, 60, 4, 30), faults);
    let served = check(&fleet, &entries);
    println!("{served} of 60 served");
    assert!(served > 0);
}

/// The log goes down under load and comes back, while replies are lost. "Not run" must be true,
/// nothing may run twice, and after the outage entries are served again.
#[compio::test]
async fn log_outage_with_lost_replies() {
    let fleet = Fleet::start_with(Options::new(3, 0, 2)).await;
    for plain in &fleet.plains {
        set_knobs(plain.addr, &json!({ "drop_replies": 4 })).await;
    }
    let faults = async {
        sleep_ms(300).await;
        set_knobs(fleet.platform.addr, &json!({ "outage": true })).await;
        sleep_ms(700).await;
        set_knobs(fleet.platform.addr, &json!({ "drop_replies": 5 })).await;
    };
    let (entries, ()) = futures_util::join!(send_entries(&fleet, 50, 3, 30), faults);
    check(&fleet, &entries);
    let after = send_entries(&fleet, 20, 3, 5).await;
    let served = check(&fleet, &after);
    println!("{served} of 20 served after the outage");
    assert!(served > 0, "{:?}", after[0].outcomes);
}
