//! Orders to upstreams through several routers.

mod support;

use cassiagrade::schema::config::Upstream;
use cassiagrade::schema::config::change::Op;
use cassiagrade::schema::operator::{OrderReply, OrderRequest};
use serde_json::{Value, json};
use support::{Fleet, Shape, get, set_knobs, upstream, wait_until};

const SHAPE: Shape = Shape {
    routers: 3,
    engines: 2,
    plains: 0,
};

async fn order(fleet: &Fleet, router: u8, value: &str) -> OrderReply {
    let request = OrderRequest {
        upstream: "engine-0".to_owned(),
        action: "load_version".to_owned(),
        value: value.to_owned(),
    };
    let mut operator = fleet.operator(router).await.unwrap();
    operator.order(request).await.unwrap()
}

async fn loaded(fleet: &Fleet) -> Value {
    let text = get(fleet.engines[0].addr, "/loaded").await.unwrap();
    serde_json::from_str(&text).unwrap()
}

/// Operators order versions through three routers in turn. Each order reported as done is in force,
/// and its fencing number is greater than the one before.
#[compio::test]
async fn orders_are_serialised_across_routers() {
    let fleet = Fleet::start(SHAPE).await;
    let mut last = None;
    for router in 0..3 {
        let version = format!("v{router}");
        let reply = order(&fleet, router, &version).await;
        assert!(reply.done, "{reply:?}");
        assert!(last < Some(reply.fencing), "{last:?} {reply:?}");
        last = Some(reply.fencing);
        assert_eq!(loaded(&fleet).await["values"]["load_version"], version);
    }
}

/// An engine ignores fencing numbers. A router that takes over the lease is refused with a retry
/// time that covers the engine's longest pause, and only gives its order after that.
#[compio::test]
async fn upstream_without_fencing_waits_for_the_old_order() {
    let fleet = Fleet::start(SHAPE).await;
    let Op::PutUpstream(engine) = upstream(&fleet.engines[0], "draft", 0) else {
        unreachable!("an upstream");
    };
    let unfenced = Upstream {
        honours_fencing: false,
        longest_pause_ms: 400,
        ..engine
    };
    let accepted = fleet.accept(Op::PutUpstream(unfenced)).await;
    for router in 0..3 {
        fleet.wait_version(router, accepted.version).await;
    }
    assert!(order(&fleet, 0, "v1").await.done);
    let early = order(&fleet, 1, "v2").await;
    assert!(
        !early.done && early.detail.contains("retry in"),
        "{early:?}"
    );
    assert_eq!(loaded(&fleet).await["values"]["load_version"], "v1");
    wait_until("the order to be done", || async {
        order(&fleet, 1, "v2").await.done
    })
    .await;
    assert_eq!(loaded(&fleet).await["values"]["load_version"], "v2");
    // The lease was released or expires; even so, a third router may not order at once.
    let third = order(&fleet, 2, "v3").await;
    assert!(!third.done, "{third:?}");
}

/// With the log down a router cannot know which other routers give orders: it gives none and
/// refuses the operator at once.
#[compio::test]
async fn no_order_without_a_lease() {
    let fleet = Fleet::start(SHAPE).await;
    set_knobs(fleet.platform.addr, &json!({ "outage": true })).await;
    let refused = order(&fleet, 0, "v1").await;
    assert!(!refused.done, "{refused:?}");
    assert!(refused.detail.starts_with("order not sent"), "{refused:?}");
    let values = &loaded(&fleet).await["values"];
    assert!(values.get("load_version").is_none(), "{values}");
}

/// The weight store delivers one version a second. Both engines are ordered to load at once; the
/// second waits for the store, and each order reported as done is in force.
#[compio::test]
async fn orders_wait_for_the_weight_store() {
    let fleet = Fleet::start(SHAPE).await;
    set_knobs(fleet.platform.addr, &json!({ "weights_per_s": 1 })).await;
    for engine in &fleet.engines {
        let knobs = json!({ "weight_store": fleet.platform.addr });
        set_knobs(engine.addr, &knobs).await;
    }
    let first = order(&fleet, 0, "v1");
    let second = async {
        let request = OrderRequest {
            upstream: "engine-1".to_owned(),
            action: "load_version".to_owned(),
            value: "v1".to_owned(),
        };
        fleet
            .operator(1)
            .await
            .unwrap()
            .order(request)
            .await
            .unwrap()
    };
    let (first, second) = futures_util::join!(first, second);
    assert!(first.done && second.done, "{first:?} {second:?}");
    let delivered = get(fleet.platform.addr, "/weights").await.unwrap();
    assert_eq!(delivered, "2");
}
