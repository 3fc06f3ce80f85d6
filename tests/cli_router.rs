//! `cassiagrade router`: errors at start.

mod support;

use support::WorkDir;

#[test]
fn bad_settings_start_nothing() {
    let work = WorkDir::new();
    work.file("bad.jsonc", "{}");
    let err = work.fails(2, &["router", "--settings", "bad.jsonc"]);
    assert!(err.contains("bad.jsonc:1:1: host.name: missing"), "{err}");
    work.fails(1, &["router"]);
}

/// Two routers are set to listen on one address: the second names the field in its error and exits.
#[test]
fn address_in_use_is_named() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = taken.local_addr().unwrap();
    let work = WorkDir::new();
    let settings = format!(
        r#"{{
            "host": {{ "name": "a1", "data_center": "north" }},
            "listen": {{ "caller_addr": "{addr}" }},
            "platform": {{ "addr": "127.0.0.1:1" }},
            "fleet": {{ "key": "0123456789abcdef" }},
            "operator": {{ "key": "fedcba9876543210" }}
        }}"#
    );
    work.file("a1.jsonc", &settings);
    let err = work.fails(1, &["router", "--settings", "a1.jsonc"]);
    assert!(err.contains("listen.caller_addr"), "{err}");
}
