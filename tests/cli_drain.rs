//! `cassiagrade drain` and `cassiagrade undrain`.

mod support;

use support::{Fleet, Shape, WorkDir};

const SHAPE: Shape = Shape {
    routers: 1,
    engines: 1,
    plains: 1,
};

#[compio::test]
async fn upstream_is_drained_and_undrained() {
    let fleet = Fleet::start(SHAPE).await;
    let work = WorkDir::for_fleet(&fleet);
    work.ok(&["drain", "--upstream", "engine-0"]);
    assert_eq!(draining(&work), Some(true));
    work.ok(&["undrain", "--upstream", "engine-0"]);
    assert_eq!(draining(&work), Some(false));
    work.fails(8, &["drain", "--upstream", "engine-77"]);
}

fn draining(work: &WorkDir) -> Option<bool> {
    let upstreams = work.json(&["upstream", "list"]);
    let mut upstreams = upstreams.as_array()?.iter();
    upstreams.find(|u| u["name"] == "engine-0")?["draining"].as_bool()
}

#[compio::test]
async fn host_is_drained_and_undrained() {
    let fleet = Fleet::start(SHAPE).await;
    let work = WorkDir::for_fleet(&fleet);
    let err = work.fails(8, &["drain", "--host", "router-77"]);
    assert!(err.contains("no host is named"), "{err}");
    work.ok(&["drain", "--host", "router-0"]);
    let config = work.json(&["config"]);
    assert_eq!(config["hosts"][0]["host"], "router-0");
    assert_eq!(config["hosts"][0]["draining"], true);
    assert!(work.ok(&["config"]).contains("draining   router-0"));
    work.ok(&["undrain", "--host", "router-0"]);
    assert_eq!(work.json(&["config"])["hosts"][0]["draining"], false);
    work.fails(1, &["drain"]);
    work.fails(1, &["drain", "--host", "a", "--upstream", "b"]);
}
