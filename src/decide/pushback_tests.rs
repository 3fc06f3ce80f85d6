use super::Incarnation;
use super::pushback::Pushbacks;

fn incarnation(started_ms: u64) -> Incarnation {
    Incarnation {
        id: "up-1".into(),
        started_ms,
    }
}

/// A second rejection with a shorter time must not end the first one's time early.
#[test]
fn shorter_time_does_not_end_a_longer_one() {
    let mut pushbacks = Pushbacks::default();
    pushbacks.record(incarnation(1), 3_000, 0);
    pushbacks.record(incarnation(1), 100, 1_000);
    assert_eq!(pushbacks.left_ms(&incarnation(1), 2_999), Some(1));
    assert_eq!(pushbacks.left_ms(&incarnation(1), 3_000), None);
}

/// An upstream that restarts under its id asked for nothing.
#[test]
fn time_ends_with_the_upstreams_start() {
    let mut pushbacks = Pushbacks::default();
    pushbacks.record(incarnation(1), 3_000, 0);
    assert_eq!(pushbacks.left_ms(&incarnation(2), 1), None);
    assert_eq!(pushbacks.left_ms(&incarnation(1), 1), Some(2_999));
}

/// Times that are over are dropped, and those that are not are kept.
#[test]
fn sweep_drops_what_is_over() {
    let mut pushbacks = Pushbacks::default();
    pushbacks.record(incarnation(1), 100, 0);
    pushbacks.record(incarnation(2), u64::MAX, 50);
    pushbacks.sweep(100);
    assert!(pushbacks.record(incarnation(1), 100, 100));
    assert!(!pushbacks.record(incarnation(2), 100, 100));
}
