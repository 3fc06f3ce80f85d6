//! `cassiagrade policy`.

mod support;

use support::{Fleet, Shape, WorkDir};

const SHAPE: Shape = Shape {
    routers: 1,
    engines: 1,
    plains: 1,
};

#[compio::test]
async fn put_list_change_and_delete() {
    let fleet = Fleet::start(SHAPE).await;
    let work = WorkDir::for_fleet(&fleet);
    work.ok(&[
        "policy",
        "put",
        "--epsilon",
        "0.5",
        "--queue-wait-ms",
        "900",
        "draft",
    ]);
    work.ok(&[
        "policy", "put", "--shed", "batch", "--shed", "normal", "draft",
    ]);
    let policies = work.json(&["policy", "list"]);
    assert_eq!(policies[0]["service"], "draft");
    assert_eq!(policies[0]["epsilon"], 0.5);
    assert_eq!(
        policies[0]["shed_order"],
        serde_json::json!(["batch", "normal"])
    );
    let out = work.ok(&["policy", "list"]);
    assert!(out.contains("batch, normal"), "{out}");
    assert!(out.contains("default"), "{out}");
    work.ok(&["policy", "delete", "draft"]);
    work.fails(8, &["policy", "delete", "draft"]);
}
