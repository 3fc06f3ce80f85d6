//! `cassiagrade config`, and how calls fail.

mod support;

use support::{Fleet, Shape, WorkDir};

const SHAPE: Shape = Shape {
    routers: 1,
    engines: 1,
    plains: 1,
};

#[compio::test]
async fn shows_the_state_in_force() {
    let fleet = Fleet::start(SHAPE).await;
    let work = WorkDir::for_fleet(&fleet);
    let state = work.json(&["config"]);
    assert_eq!(state["services"].as_array().unwrap().len(), 2);
    let out = work.ok(&["config"]);
    assert!(
        out.contains(&format!("version    {}", state["version"])),
        "{out}"
    );
}

#[compio::test]
async fn wrong_keys_and_silent_routers_have_their_own_codes() {
    let fleet = Fleet::start(SHAPE).await;
    let work = WorkDir::for_fleet(&fleet);
    // One byte off, a prefix of the key, a longer key, and blank.
    for key in [
        "operator-key-0123456780",
        "operator-key",
        "operator-key-01234567890",
        " ",
    ] {
        let err = work.fails(7, &["config", "--key", key]);
        assert!(err.contains("wrong operator key"), "{err}");
    }
    let nobody = ["config", "--router", "127.0.0.1:1"];
    work.fails(5, &nobody);
    work.fails(1, &["config", "--router", "not-an-address"]);
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = silent.local_addr().unwrap().to_string();
    let err = work.fails(6, &["config", "--router", &addr, "--timeout-ms", "300"]);
    assert!(err.contains("no answer within 300 ms"), "{err}");
    work.fails(1, &["no-such-command"]);
}
