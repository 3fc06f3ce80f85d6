//! `cassiagrade order`.

mod support;

use support::{Fleet, Shape, WorkDir};

const SHAPE: Shape = Shape {
    routers: 1,
    engines: 1,
    plains: 1,
};

/// An order reaches the engine, and the next one has a higher fencing number.
#[compio::test]
async fn orders_reach_the_engine() {
    let fleet = Fleet::start(SHAPE).await;
    let work = WorkDir::for_fleet(&fleet);
    let first = work.json(&["order", "engine-0", "load_version", "7"]);
    assert_eq!(first["done"], true, "{first}");
    let second = work.json(&["order", "engine-0", "load_adapter", "bikes"]);
    assert!(
        second["fencing"].as_u64() >= first["fencing"].as_u64(),
        "{second}"
    );
    let loaded = support::get(fleet.engines[0].addr, "/loaded")
        .await
        .unwrap();
    let loaded: serde_json::Value = serde_json::from_str(&loaded).unwrap();
    let loaded = &loaded["values"];
    assert_eq!(loaded["load_version"], "7");
    assert_eq!(loaded["load_adapter"], "bikes");
    let out = work.ok(&["order", "engine-0", "change_role", "prefill"]);
    assert!(out.starts_with("done: fencing number "), "{out}");
}

#[compio::test]
async fn orders_need_an_upstream_that_exists() {
    let fleet = Fleet::start(SHAPE).await;
    let work = WorkDir::for_fleet(&fleet);
    let ran = work.run(&["order", "engine-77", "load_version", "7"]);
    assert_ne!(ran.code, 0, "{ran:?}");
    assert!(ran.err.starts_with("cassiagrade: "), "{ran:?}");
    work.fails(1, &["order", "engine-0"]);
    assert!(work.ok(&["order", "--help"]).contains("load_adapter"));
}
