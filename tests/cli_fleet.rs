//! `cassiagrade fleet`.

mod support;

use support::{Fleet, Shape, WorkDir};

const SHAPE: Shape = Shape {
    routers: 1,
    engines: 1,
    plains: 1,
};

#[compio::test]
async fn shows_hosts_and_upstreams() {
    let fleet = Fleet::start(SHAPE).await;
    let work = WorkDir::for_fleet(&fleet);
    let reply = work.json(&["fleet"]);
    assert_eq!(reply["host"], "router-0");
    assert_eq!(reply["upstreams"].as_array().unwrap().len(), 2);
    let out = work.ok(&["fleet"]);
    assert!(
        out.starts_with("as router-0 sees it: configuration version "),
        "{out}"
    );
    assert!(out.contains("engine-0"), "{out}");
    assert!(out.contains("HOST"), "{out}");
}
