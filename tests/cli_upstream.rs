//! `cassiagrade upstream`.

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
    let put = [
        "upstream",
        "put",
        "--service",
        "draft",
        "--addr",
        "10.0.0.9:80",
        "--data-center",
        "dc-1",
        "--slots",
        "4",
        "engine-9",
    ];
    work.ok(&put);
    work.ok(&["upstream", "put", "--honours-fencing", "true", "engine-9"]);
    let out = work.ok(&["upstream", "list"]);
    let row = out.lines().find(|l| l.starts_with("engine-9 ")).unwrap();
    let cells: Vec<&str> = row.split_whitespace().collect();
    assert_eq!(
        cells,
        ["engine-9", "draft", "10.0.0.9:80", "dc-1", "4", "yes", "no"]
    );
    work.ok(&["upstream", "delete", "engine-9"]);
    work.fails(8, &["upstream", "delete", "engine-9"]);
}

#[compio::test]
async fn bad_values_are_refused() {
    let fleet = Fleet::start(SHAPE).await;
    let work = WorkDir::for_fleet(&fleet);
    let err = work.fails(1, &["upstream", "put", "--addr", "engine.example:80", "e"]);
    assert!(err.contains("engine.example:80"), "{err}");
    let put = [
        "upstream",
        "put",
        "--service",
        "nowhere",
        "--addr",
        "10.0.0.9:80",
        "e",
    ];
    let err = work.fails(3, &put);
    assert!(err.contains("upstream.service"), "{err}");
}
