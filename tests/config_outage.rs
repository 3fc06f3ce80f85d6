//! The configuration during platform outages, lost replies and concurrent changes.

mod support;

use cassiagrade::schema::config::change::Op;
use cassiagrade::schema::config::{Change, HostMark};
use cassiagrade::schema::operator::{ApplyReply, ApplyRequest};
use futures_util::future::join;
use serde_json::json;
use support::{Fleet, Shape, account, call, get, set_knobs, wait_until};

const SHAPE: Shape = Shape {
    routers: 3,
    engines: 0,
    plains: 1,
};

fn drain_host(host: &str) -> Op {
    Op::MarkHost(HostMark {
        host: host.to_owned(),
        draining: true,
    })
}

async fn apply(fleet: &Fleet, router: u8, against_version: u64, author: &str) -> ApplyReply {
    let change = Change {
        against_version,
        author: author.to_owned(),
        op: Some(drain_host(author)),
    };
    let request = ApplyRequest {
        change: Some(change),
    };
    let mut operator = fleet.operator(router).await.unwrap();
    operator.apply(request).await.unwrap()
}

/// A host is replaced while the platform is down. The new router takes the configuration from its
/// peers and serves; once the platform is back it follows the log again.
#[compio::test]
async fn replaced_router_starts_from_its_peers() {
    let mut fleet = Fleet::start(SHAPE).await;
    let before = fleet
        .accept(Op::PutAccount(account("late", "late-key")))
        .await;
    fleet.wait_version(0, before.version).await;
    fleet.wait_version(1, before.version).await;
    set_knobs(fleet.platform.addr, &json!({ "outage": true })).await;
    fleet.restart_router(2);
    fleet.wait_version(2, before.version).await;
    let served = call(fleet.caller(2), "POST", "/records/tickets", &[], "x").await;
    assert_eq!(served.unwrap().status, 200);
    set_knobs(fleet.platform.addr, &json!({})).await;
    let after = fleet.accept(drain_host("router-9")).await;
    fleet.wait_version(2, after.version).await;
}

/// Every router is replaced while the platform is down. None reports a configuration; all have the
/// accepted one when the platform is back.
#[compio::test]
async fn fleet_without_log_and_peers_is_not_ready() {
    let mut fleet = Fleet::start(SHAPE).await;
    let before = fleet.accept(drain_host("router-9")).await;
    set_knobs(fleet.platform.addr, &json!({ "outage": true })).await;
    for i in 0..3 {
        fleet.restart_router(i);
    }
    for i in 0..3 {
        fleet.wait_healthy(i).await;
        let ready = get(fleet.admin(i), "/readyz").await;
        assert_eq!(
            ready, None,
            "a router without configuration must not be ready"
        );
    }
    set_knobs(fleet.platform.addr, &json!({})).await;
    for i in 0..3 {
        fleet.wait_version(i, before.version).await;
    }
}

/// A router without a configuration must not refuse a valid key as unknown: its caller would not
/// retry.
#[compio::test]
async fn router_without_a_configuration_refuses_no_key_as_unknown() {
    let mut fleet = Fleet::start(SHAPE).await;
    set_knobs(fleet.platform.addr, &json!({ "outage": true })).await;
    for i in 0..3 {
        fleet.restart_router(i);
    }
    for i in 0..3 {
        fleet.wait_healthy(i).await;
        let refused = call(fleet.caller(i), "POST", "/records/tickets", &[], "x").await;
        let refused = refused.unwrap();
        assert_eq!(refused.status, 503, "{}", refused.body);
        assert!(refused.not_run());
        assert!(!refused.header("retry-after").is_empty());
    }
}

/// Two operators change the same version at two routers at once. One change is accepted; the other
/// is refused with the author and id of the winning change.
#[compio::test]
async fn losing_change_names_the_winner() {
    let fleet = Fleet::start(SHAPE).await;
    for _ in 0..5 {
        let mut operator = fleet.operator(0).await.unwrap();
        let version = operator.config().await.unwrap().version;
        fleet.wait_version(1, version).await;
        let (a, b) = join(
            apply(&fleet, 0, version, "ana"),
            apply(&fleet, 1, version, "bo"),
        )
        .await;
        let (won, lost, winner) = if a.accepted {
            (a, b, "ana")
        } else {
            (b, a, "bo")
        };
        assert!(won.accepted && !lost.accepted, "{won:?} {lost:?}");
        assert!(lost.reason.contains(winner), "{lost:?}");
        assert!(!lost.winner.is_empty(), "{lost:?}");
        fleet.wait_version(0, version + 1).await;
    }
}

/// The platform stores a change and its reply is lost. The operator gets "accepted", because the
/// router finds the change by reading the log; the change is there once.
#[compio::test]
async fn lost_reply_is_resolved_by_reading() {
    let fleet = Fleet::start(SHAPE).await;
    let mut operator = fleet.operator(0).await.unwrap();
    let version = operator.config().await.unwrap().version;
    set_knobs(fleet.platform.addr, &json!({ "drop_replies": 1 })).await;
    let reply = apply(&fleet, 0, version, "ana").await;
    assert!(reply.accepted, "{reply:?}");
    assert_eq!(reply.version, version + 1);
}

/// The platform is down when an operator makes a change: the reply says that it is not in force,
/// and it never comes into force later.
#[compio::test]
async fn change_in_an_outage_is_never_applied() {
    let fleet = Fleet::start(SHAPE).await;
    let mut operator = fleet.operator(0).await.unwrap();
    let before = operator.config().await.unwrap();
    set_knobs(fleet.platform.addr, &json!({ "outage": true })).await;
    let request = ApplyRequest {
        change: Some(Change {
            against_version: before.version,
            author: "ana".to_owned(),
            op: Some(drain_host("ana")),
        }),
    };
    let refused = operator.apply(request).await.unwrap_err().to_string();
    assert!(refused.contains("not applied"), "{refused}");
    set_knobs(fleet.platform.addr, &json!({})).await;
    let next = apply(&fleet, 1, before.version, "bo").await;
    assert!(next.accepted, "{next:?}");
    wait_until("the next change", || async {
        let state = fleet.operator(0).await.unwrap().config().await.unwrap();
        state.version == before.version + 1 && state.last_author == "bo"
    })
    .await;
}
