use std::time::Duration;

use super::id;

/// Two upstreams that start within one microsecond on different hosts, at the same port, must not
/// share an id: they would overwrite each other's entry in the store.
#[test]
fn upstreams_started_in_the_same_microsecond_get_different_ids() {
    let started = Duration::from_micros(1_760_000_000_123_456);
    let ids =
        ["127.9.1.100:7010", "127.9.1.101:7010"].map(|addr| id(addr.parse().unwrap(), started));
    assert_ne!(ids[0], ids[1]);
}
