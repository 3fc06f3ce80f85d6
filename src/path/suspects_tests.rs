use super::suspects::Suspects;
use crate::decide::quarantine::MANY_DEATHS;

const BAD: u64 = 1;
const GOOD: u64 = 2;

/// One request kills each upstream that runs it, and its caller sends it again. After some deaths it
/// must run nowhere; one that merely ran beside it, and was answered elsewhere, must go on.
#[test]
fn request_that_kills_is_stopped_and_its_neighbours_are_not() {
    let mut suspects = Suspects::default();
    for i in 0..u64::from(MANY_DEATHS) {
        let upstream = format!("i-{i}").as_str().into();
        suspects.lost(&upstream, BAD, i);
        suspects.lost(&upstream, GOOD, i);
        assert_eq!(suspects.died(&upstream, i + 1).len(), 2);
        assert!(suspects.answered(GOOD).is_some());
    }
    assert!(suspects.convicted_ms(BAD, 10).is_some());
    assert!(suspects.convicted_ms(GOOD, 10).is_none());
}

/// Upstreams that live lose answers all the time: no request may be held for that.
#[test]
fn lost_answers_of_living_upstreams_convict_nobody() {
    let mut suspects = Suspects::default();
    for at_ms in 0..100 {
        suspects.lost(&"i-1".into(), BAD, at_ms);
    }
    assert!(suspects.died("i-2", 100).is_empty());
    assert!(suspects.convicted_ms(BAD, 100).is_none());
}

/// The request comes back at another router, which never saw it kill.
#[test]
fn other_routers_hear_of_a_conviction() {
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    for i in 0..u64::from(MANY_DEATHS) {
        here.lost(&"i-1".into(), BAD, i);
        for told in here.died("i-1", i) {
            there.heard(&told, i);
        }
    }
    assert!(there.convicted_ms(BAD, 10).is_some());
}
