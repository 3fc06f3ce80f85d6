//! `cassiagrade service`.

mod support;

use support::{Fleet, Shape, WorkDir};

const SHAPE: Shape = Shape {
    routers: 1,
    engines: 1,
    plains: 1,
};

#[compio::test]
async fn put_list_and_delete() {
    let fleet = Fleet::start(SHAPE).await;
    let work = WorkDir::for_fleet(&fleet);
    work.ok(&[
        "service", "put", "--kind", "engine", "--model", "large", "big",
    ]);
    let out = work.ok(&["service", "list"]);
    assert!(
        out.lines()
            .any(|l| l.starts_with("big ") && l.contains("large")),
        "{out}"
    );
    work.ok(&["service", "delete", "big"]);
    work.fails(8, &["service", "delete", "big"]);
    let err = work.fails(3, &["service", "delete", "draft"]);
    assert!(err.contains("still has upstreams"), "{err}");
    let err = work.fails(3, &["service", "put", "--kind", "odd", "x"]);
    assert!(err.contains("service.kind"), "{err}");
}

#[compio::test]
async fn mark_and_unmark_non_idempotent_calls() {
    let fleet = Fleet::start(SHAPE).await;
    let work = WorkDir::for_fleet(&fleet);
    let calls = ["--method", "POST", "--path", "/records/slips", "records"];
    let mark = [&["service", "mark"], &calls[..]].concat();
    work.ok(&mark);
    work.ok(&mark);
    let rules = records_rules(&work);
    let slips = rules
        .iter()
        .filter(|r| r["path_prefix"] == "/records/slips");
    assert_eq!(slips.count(), 1, "marked twice, must be listed once");
    let unmark = [&["service", "unmark"], &calls[..]].concat();
    work.ok(&unmark);
    assert_eq!(records_rules(&work).len(), rules.len() - 1);
    work.fails(8, &unmark);
    work.fails(
        8,
        &[
            "service", "mark", "--method", "POST", "--path", "/", "nowhere",
        ],
    );
}

fn records_rules(work: &WorkDir) -> Vec<serde_json::Value> {
    let services = work.json(&["service", "list"]);
    let services = services.as_array().unwrap().clone();
    let records = services.into_iter().find(|s| s["name"] == "records");
    records.unwrap()["non_idempotent"]
        .as_array()
        .unwrap()
        .clone()
}
