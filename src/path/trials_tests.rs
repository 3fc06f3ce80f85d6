use super::trials::Trials;

/// Two calls with the same suspected request arrive at a router. The second may not run beside the first.
#[test]
fn one_run_of_a_request_at_a_time() {
    let trials = Trials::default();
    let first = trials.begin(7).unwrap();
    assert!(trials.begin(7).is_none());
    assert!(trials.begin(8).is_some());
    drop(first);
    assert!(trials.begin(7).is_some());
}
