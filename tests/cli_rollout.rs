//! `cassiagrade rollout`.

mod support;

use support::{Fleet, Shape, WorkDir};

const SHAPE: Shape = Shape {
    routers: 1,
    engines: 1,
    plains: 1,
};

#[compio::test]
async fn start_pause_resume_and_undo() {
    let fleet = Fleet::start(SHAPE).await;
    let work = WorkDir::for_fleet(&fleet);
    work.fails(8, &["rollout", "pause", "draft"]);
    work.fails(8, &["rollout", "start", "--version", "1", "nowhere"]);
    work.ok(&["rollout", "start", "--version", "1", "draft"]);
    let err = work.fails(3, &["rollout", "undo", "draft"]);
    assert!(err.contains("had no version before"), "{err}");
    work.ok(&[
        "rollout",
        "start",
        "--version",
        "2",
        "--at-once",
        "3",
        "draft",
    ]);
    work.ok(&["rollout", "pause", "draft"]);
    assert_eq!(rollout(&work), ["draft", "small", "2", "1", "3", "yes"]);
    work.ok(&["rollout", "resume", "draft"]);
    assert_eq!(rollout(&work), ["draft", "small", "2", "1", "3", "no"]);
    work.ok(&["rollout", "undo", "draft"]);
    assert_eq!(rollout(&work), ["draft", "small", "1", "2", "3", "no"]);
    assert_eq!(work.json(&["rollout", "list"])[0]["version"], "1");
}

/// The only rollout's row.
fn rollout(work: &WorkDir) -> Vec<String> {
    let out = work.ok(&["rollout", "list"]);
    let row = out.lines().nth(1).unwrap();
    row.split_whitespace().map(str::to_owned).collect()
}
