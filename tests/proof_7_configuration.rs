//! An accepted configuration is in force everywhere within seconds and never reverts.

mod support;

use std::cell::Cell;

use cassiagrade::schema::config::change::Op;
use futures_util::future::join_all;
use serde_json::json;
use support::{Fleet, Options, account, get, set_knobs, sleep_ms, wait_until};

/// The configuration version in force at a router.
async fn version(fleet: &Fleet, router: u8) -> Option<u64> {
    let text = get(fleet.admin(router), "/readyz").await?;
    text.trim().rsplit(' ').next()?.parse().ok()
}

/// Polls one router's version, which must never decrease; returns the last one.
async fn watch_version(fleet: &Fleet, router: u8, ended: &Cell<bool>) -> u64 {
    let mut last = 0;
    while !ended.get() {
        if let Some(seen) = version(fleet, router).await {
            assert!(
                seen >= last,
                "version at router {router} went down from {last} to {seen}"
            );
            last = seen;
        }
        sleep_ms(10).await;
    }
    last
}

/// Applies one change at each router concurrently, round by round; returns the accounts whose
/// changes were accepted.
async fn apply_concurrently(fleet: &Fleet, routers: u8, from: u32, rounds: u32) -> Vec<String> {
    let mut accepted = Vec::new();
    for round in from..from + rounds {
        let names: Vec<String> = (0..routers)
            .map(|i| format!("account-{round}-{i}"))
            .collect();
        let changes = names.iter().zip(0..routers).map(|(name, i)| async move {
            let op = Op::PutAccount(account(name, &format!("key of {name}")));
            match fleet.apply(i, op).await {
                Ok(reply) if reply.accepted => Some((name.clone(), reply.version)),
                Ok(_) | Err(_) => None,
            }
        });
        let won: Vec<(String, u64)> = join_all(changes).await.into_iter().flatten().collect();
        let mut versions: Vec<u64> = won.iter().map(|(_, v)| *v).collect();
        versions.sort_unstable();
        versions.dedup();
        assert_eq!(
            versions.len(),
            won.len(),
            "two accepted changes share a version: {won:?}"
        );
        accepted.extend(won.into_iter().map(|(name, _)| name));
    }
    accepted
}

/// Checks that every accepted change is in force at every router, and that all have the same state.
async fn check(fleet: &Fleet, routers: u8, accepted: &[String]) {
    let target = {
        let mut operator = fleet.operator(0).await.unwrap();
        operator.config().await.unwrap()
    };
    for i in 0..routers {
        wait_until("the same version at every router", || async {
            version(fleet, i).await >= Some(target.version)
        })
        .await;
        let mut operator = fleet.operator(i).await.unwrap();
        let state = operator.config().await.unwrap();
        for name in accepted {
            let present = state.accounts.iter().any(|a| a.name == *name);
            assert!(present, "router {i} lacks the accepted {name}");
        }
        if state.version == target.version {
            assert_eq!(state.accounts, target.accounts, "router {i}");
        }
    }
}

/// Three operators apply changes at three routers concurrently while the log loses replies after
/// the effect. An accepted change must not disappear, and no two may be accepted for one version.
#[compio::test]
async fn racing_operators_and_lost_replies() {
    let fleet = Fleet::start_with(Options::new(3, 0, 1)).await;
    let ended = Cell::new(false);
    let changes = async {
        set_knobs(fleet.platform.addr, &json!({ "drop_replies": 6 })).await;
        let accepted = apply_concurrently(&fleet, 3, 0, 10).await;
        check(&fleet, 3, &accepted).await;
        ended.set(true);
        accepted
    };
    let watchers = join_all((0..3).map(|i| watch_version(&fleet, i, &ended)));
    let (accepted, seen) = futures_util::join!(changes, watchers);
    println!("{} accepted, versions {seen:?}", accepted.len());
    assert!(
        accepted.len() >= 10,
        "no change was accepted in some round: {accepted:?}"
    );
}

/// The log is down while a host is replaced, so the new router has no state and cannot read the
/// log. It must get the configuration from its peers or stay unready, and never serve an older
/// state; after the outage changes are accepted again.
#[compio::test]
async fn outage_and_replaced_host() {
    let mut fleet = Fleet::start_with(Options::new(3, 0, 1)).await;
    let mut accepted = apply_concurrently(&fleet, 3, 0, 3).await;
    check(&fleet, 3, &accepted).await;
    let before = version(&fleet, 0).await.unwrap();
    set_knobs(fleet.platform.addr, &json!({ "outage": true })).await;
    fleet.restart_router(2);
    fleet.wait_healthy(2).await;
    wait_until("the new host to load the configuration", || async {
        version(&fleet, 2).await == Some(before)
    })
    .await;
    assert!(
        apply_concurrently(&fleet, 3, 100, 1).await.is_empty(),
        "changes were accepted while the log was down"
    );
    set_knobs(fleet.platform.addr, &json!({})).await;
    accepted.extend(apply_concurrently(&fleet, 3, 200, 3).await);
    check(&fleet, 3, &accepted).await;
}

/// The log has a short retention. Changes made at the start have expired when every host is
/// replaced, one after another, and one router is frozen past the expiry. If state lived only in
/// the log's records, accounts would disappear.
#[compio::test]
async fn records_expire_and_every_host_is_replaced() {
    let mut options = Options::new(3, 0, 1);
    options.retention_ms = Some(3_000);
    let mut fleet = Fleet::start_with(options).await;
    let mut accepted = apply_concurrently(&fleet, 3, 0, 3).await;
    fleet.routers[1].freeze();
    sleep_ms(5_000).await;
    fleet.routers[1].unfreeze();
    check(&fleet, 3, &accepted).await;
    for i in 0..3 {
        let before = version(&fleet, (i + 1) % 3).await.unwrap();
        fleet.restart_router(i);
        fleet.wait_healthy(i).await;
        wait_until("the new host to load the configuration", || async {
            version(&fleet, i).await >= Some(before)
        })
        .await;
    }
    accepted.extend(apply_concurrently(&fleet, 3, 300, 2).await);
    check(&fleet, 3, &accepted).await;
}
