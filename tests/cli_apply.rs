//! `cassiagrade apply`.

mod support;

use support::{Fleet, Shape, WorkDir};

const SHAPE: Shape = Shape {
    routers: 1,
    engines: 1,
    plains: 1,
};

const OTHER: &str = r#"{"PutService": {"name": "other", "kind": "engine", "model": "m",
    "path_prefix": "", "non_idempotent": [], "timeout_ms": 0}}"#;

#[compio::test]
async fn applies_a_change_given_as_json() {
    let fleet = Fleet::start(SHAPE).await;
    let work = WorkDir::for_fleet(&fleet);
    let reply = work.json(&["apply", OTHER]);
    assert_eq!(reply["accepted"], true);
    assert!(work.ok(&["service", "list"]).contains("other"));
    let err = work.fails(2, &["apply", "{\"PutThing\": {}}"]);
    assert!(err.contains("CHANGE: unknown variant `PutThing`"), "{err}");
    work.fails(2, &["apply", "{"]);
}

/// Two operators change the same version; the second change is refused and the error names the
/// winner.
#[compio::test]
async fn a_lost_race_names_the_winner() {
    let fleet = Fleet::start(SHAPE).await;
    let work = WorkDir::for_fleet(&fleet);
    let version = work.json(&["config"])["version"].to_string();
    work.ok(&["drain", "--upstream", "engine-0", "--against", &version]);
    let ran = work.run(&["apply", "--against", &version, "--json", OTHER]);
    assert_eq!(ran.code, 4, "{ran:?}");
    let reply: serde_json::Value = serde_json::from_str(&ran.out).unwrap();
    let winner = reply["winner"].as_str().unwrap();
    assert!(!winner.is_empty());
    assert!(
        ran.err.contains(&format!("change {winner} made version")),
        "{ran:?}"
    );
    assert!(!work.ok(&["service", "list"]).contains("other"));
}
