use super::departures::{Departure, Departures, HOLD_MS};
use crate::decide::Incarnation;

fn incarnation(id: &str, started_ms: u64) -> Incarnation {
    Incarnation {
        id: id.into(),
        started_ms,
    }
}

/// Guards against upstreams that stay unused for good after a restore, as nothing ends the hold.
#[test]
fn departures_are_held_for_a_bounded_time() {
    let mut departures = Departures::default();
    let (draining, gone) = (incarnation("i-1", 5), incarnation("i-2", 5));
    departures.record_gone(gone.clone(), 1_000);
    assert_eq!(departures.held(&gone), None, "the log wasn't restored");
    assert_eq!(departures.hold([draining.clone()], 2_000), 2);
    assert_eq!(departures.held(&draining), Some(Departure::Draining));
    assert_eq!(departures.held(&gone), Some(Departure::Gone));
    assert_eq!(departures.held(&incarnation("i-2", 6)), None, "restarted");
    assert!(departures.release(2_000 + HOLD_MS - 1).is_empty());
    let mut released = departures.release(2_000 + HOLD_MS);
    released.sort_by(|a, b| a.id.cmp(&b.id));
    assert_eq!(released, [draining.clone(), gone]);
    assert_eq!(departures.held(&draining), None);
}

/// Guards against upstreams that were removed, as their entries expired in an outage, registered
/// again, and would be held as gone after a later restore.
#[test]
fn upstream_that_registered_again_is_not_held() {
    let mut departures = Departures::default();
    let upstream = incarnation("i-1", 5);
    departures.record_gone(upstream.clone(), 1_000);
    departures.forget(&upstream);
    assert_eq!(departures.hold([], 2_000), 0);
}

/// Guards against a list of removed upstreams that grows with every upstream that ever left.
#[test]
fn removed_upstreams_are_remembered_for_a_bounded_time() {
    let mut departures = Departures::default();
    departures.record_gone(incarnation("i-1", 5), 1_000);
    departures.release(100_000);
    assert_eq!(departures.hold([], 100_000), 0);
}
