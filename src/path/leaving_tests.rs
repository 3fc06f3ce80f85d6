use super::leaving::{ANNOUNCEMENT_TTL_MS, LeavingUpstreams};
use crate::decide::Incarnation;

fn incarnation(started_ms: u64) -> Incarnation {
    Incarnation {
        id: "up-1".into(),
        started_ms,
    }
}

/// An upstream's entry is missing for a while and listed again: what it announced must still be
/// known then, for as long as it is listed.
#[test]
fn announcement_outlasts_a_missing_entry() {
    let mut leaving = LeavingUpstreams::default();
    assert!(leaving.record(incarnation(7), 0));
    assert!(!leaving.record(incarnation(7), 10));
    let missing_ms = ANNOUNCEMENT_TTL_MS / 2;
    leaving.sweep(|_| false, missing_ms);
    for n in 1..4 {
        let now_ms = missing_ms + n * (ANNOUNCEMENT_TTL_MS - 1);
        leaving.sweep(|_| true, now_ms);
        assert_eq!(leaving.age_ms(&incarnation(7), now_ms), Some(now_ms));
    }
}

/// A later start of the upstream under its id has announced nothing.
#[test]
fn announcement_ends_with_the_upstreams_start() {
    let mut leaving = LeavingUpstreams::default();
    leaving.record(incarnation(7), 0);
    assert_eq!(leaving.age_ms(&incarnation(8), 1), None);
}

/// If starts are unknown, a later start can't be told from the one that announced its shutdown. It
/// must not be left without work for good.
#[test]
fn announcement_without_a_start_expires() {
    let mut leaving = LeavingUpstreams::default();
    leaving.record(incarnation(0), 0);
    leaving.sweep(|_| true, ANNOUNCEMENT_TTL_MS - 1);
    assert!(leaving.age_ms(&incarnation(0), 1).is_some());
    leaving.sweep(|_| true, ANNOUNCEMENT_TTL_MS);
    assert_eq!(leaving.age_ms(&incarnation(0), 1), None);
}
