use super::suspects::Suspects;
use crate::decide::Incarnation;
use crate::decide::evidence::ANSWER_COVERS_MS;
use crate::decide::quarantine::MANY_DEATHS;

fn upstream(n: u64) -> Incarnation {
    Incarnation {
        id: format!("i-{n}").as_str().into(),
        started_ms: 1,
    }
}

const BAD: u64 = 1;
const GOOD: u64 = 2;

/// A request crashes each upstream that runs it, and its caller retries it. After some deaths it
/// must be quarantined. A request that ran on the same upstreams and was answered elsewhere must
/// not be.
#[test]
fn request_that_crashes_upstreams_is_quarantined_and_concurrent_ones_are_not() {
    let mut suspects = Suspects::default();
    for i in 0..u64::from(MANY_DEATHS) {
        let at_ms = i * (ANSWER_COVERS_MS + 10);
        suspects.record_lost_answer(upstream(i), BAD, at_ms);
        suspects.record_lost_answer(upstream(i), GOOD, at_ms);
        assert_eq!(suspects.record_death(&upstream(i), at_ms + 1).len(), 2);
        assert!(suspects.record_answer(GOOD, at_ms + 2).is_some());
    }
    let now_ms = u64::from(MANY_DEATHS) * (ANSWER_COVERS_MS + 10);
    assert!(suspects.quarantine_ms(BAD, now_ms).is_some());
    assert!(suspects.quarantine_ms(GOOD, now_ms).is_none());
}

/// An upstream dies while it runs many identical requests. It is one death, which must not quarantine
/// a common request that others answer.
#[test]
fn one_death_counts_once_for_identical_requests() {
    let mut suspects = Suspects::default();
    for at_ms in 0..20 {
        suspects.record_lost_answer(upstream(1), GOOD, at_ms);
    }
    assert_eq!(suspects.record_death(&upstream(1), 20).len(), 1);
    assert!(suspects.quarantine_ms(GOOD, 20).is_none());
}

/// An upstream dies, one router notices, and only then the answer to the harmful request breaks off:
/// its connection is closed last. The death must count against it.
#[test]
fn answer_lost_after_the_death_was_recorded_counts() {
    let mut suspects = Suspects::default();
    for i in 0..u64::from(MANY_DEATHS) {
        suspects.record_lost_answer(upstream(i), GOOD, i);
        suspects.record_death(&upstream(i), i + 1);
        let suspicions = suspects.record_lost_answer(upstream(i), BAD, i + 2);
        assert_eq!(suspicions.len(), 1);
    }
    assert!(suspects.quarantine_ms(BAD, 10).is_some());
}

/// Live upstreams lose answers all the time, which must not quarantine a request.
#[test]
fn lost_answers_of_live_upstreams_quarantine_no_request() {
    let mut suspects = Suspects::default();
    for at_ms in 0..100 {
        suspects.record_lost_answer(upstream(1), BAD, at_ms);
    }
    assert!(suspects.record_death(&upstream(2), 100).is_empty());
    assert!(suspects.quarantine_ms(BAD, 100).is_none());
}

/// The request is retried at another router, which did not observe the crashes.
#[test]
fn quarantine_is_applied_by_other_routers() {
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    for i in 0..u64::from(MANY_DEATHS) {
        here.record_lost_answer(upstream(i), BAD, i);
        for suspicion in here.record_death(&upstream(i), i) {
            there.merge(&suspicion, i);
        }
    }
    assert!(there.quarantine_ms(BAD, 10).is_some());
}
