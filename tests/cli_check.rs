//! `cassiagrade check`.

mod support;

use support::WorkDir;

const GOOD: &str = r#"{
  "host": { "name": "a1", "data_center": "north" }, // one host
  "platform": { "addr": "127.0.0.1:9000" },
  "fleet": { "key": "0123456789abcdef" },
  "operator": { "key": "fedcba9876543210" }
}"#;

#[test]
fn good_files_are_printed_with_their_defaults() {
    let work = WorkDir::new();
    work.file("good.jsonc", GOOD);
    let out = work.ok(&["check", "good.jsonc"]);
    let whole: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!(whole["host"]["name"], "a1");
    assert_eq!(whole["limits"]["max_connections"], 4_096);
    assert!(!out.contains("0123456789abcdef"), "keys must be redacted");
    let shown = work.ok(&["check", "--show-keys", "good.jsonc"]);
    assert!(shown.contains("0123456789abcdef"));
    // The printed settings are valid input.
    work.file("whole.jsonc", &shown);
    assert_eq!(work.ok(&["check", "whole.jsonc"]), out);
}

#[test]
fn every_fault_is_reported_with_its_line() {
    let work = WorkDir::new();
    let bad = GOOD
        .replace("\"a1\"", "7")
        .replace("127.0.0.1:9000", "somewhere");
    work.file("bad.jsonc", &bad);
    let err = work.fails(2, &["check", "bad.jsonc"]);
    assert!(
        err.contains("bad.jsonc:2:21: host.name: must be text"),
        "{err}"
    );
    assert!(
        err.contains("bad.jsonc:3:25: platform.addr: must be an IP number"),
        "{err}"
    );
    let err = work.fails(2, &["check", "missing.jsonc"]);
    assert!(err.contains("missing.jsonc"), "{err}");
    work.file("broken.jsonc", "{ \"host\": ");
    let err = work.fails(2, &["check", "broken.jsonc"]);
    assert!(err.contains("broken.jsonc:1:"), "{err}");
}
