use super::state_requests::StateRequests;

/// A peer is paused before it sends its newer state. Other peers must be asked long before the
/// request to it times out.
#[test]
fn paused_peer_does_not_block_requests_to_others() {
    let requests = StateRequests::default();
    assert!(requests.start("paused", 1_000));
    assert!(!requests.start("other", 1_100), "may still be answered");
    assert!(requests.start("other", 1_200));
    assert!(!requests.start("paused", 1_500), "is being asked");
    requests.end("other");
    assert!(requests.start("third", 1_500));
}

/// Many peers have newer state. A large configuration must not be requested from all of them.
#[test]
fn requests_under_way_are_bounded() {
    let requests = StateRequests::default();
    let started = (0..20).filter(|n| requests.start(&format!("r-{n}"), 1_000 + n * 500));
    assert_eq!(started.count(), 3);
}
