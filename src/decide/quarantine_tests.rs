use crate::decide::evidence::{ANSWER_COVERS_MS, Evidence};
use crate::decide::quarantine::{MANY_DEATHS, QUARANTINE_MS, Quarantine, QuarantineStatus};

const HARMFUL: u64 = 1;

/// A request crashes an engine with five harmless ones beside it, and all six are sent again, at
/// different times. The harmful one crashes a second engine and is quarantined, so its next
/// repetition is refused. The harmless ones are answered and cleared.
#[test]
fn harmful_request_is_quarantined_and_harmless_ones_cleared() {
    let mut quarantine = Quarantine::default();
    for fingerprint in 1..=6 {
        quarantine.record_death(fingerprint, 1, false, 0, 0);
        assert_eq!(quarantine.status(fingerprint, 1), QuarantineStatus::Suspect);
    }
    for harmless in 2..=6 {
        assert!(quarantine.record_answer(harmless, 2).is_some());
        assert_eq!(quarantine.status(harmless, 2), QuarantineStatus::Free);
    }
    quarantine.record_death(HARMFUL, 2, true, 3, 3);
    let left_ms = QUARANTINE_MS - 1;
    assert_eq!(
        quarantine.status(HARMFUL, 4),
        QuarantineStatus::Quarantined { left_ms }
    );
    let after_ms = QUARANTINE_MS + 4;
    assert_ne!(
        quarantine.status(HARMFUL, after_ms),
        QuarantineStatus::Quarantined { left_ms }
    );
}

/// Two suspects run at one engine when it dies. Neither is quarantined, because it isn't known
/// which of them crashed the engine.
#[test]
fn two_suspects_beside_each_other_are_not_quarantined() {
    let mut quarantine = Quarantine::default();
    for fingerprint in [HARMFUL, 2] {
        quarantine.record_death(fingerprint, 1, false, 0, 0);
        quarantine.record_death(fingerprint, 2, false, 10, 10);
        assert_eq!(
            quarantine.status(fingerprint, 11),
            QuarantineStatus::Suspect
        );
    }
}

/// The request is repeated through another router, which has received the first router's entry.
#[test]
fn quarantine_is_merged_by_other_routers() {
    let (mut first, mut second) = (Quarantine::default(), Quarantine::default());
    first.record_death(HARMFUL, 1, false, 0, 0);
    let evidence = first.record_death(HARMFUL, 2, true, 10, 10).unwrap();
    second.merge(HARMFUL, &evidence, 1_000);
    let status = second.status(HARMFUL, 1_000);
    assert!(
        matches!(status, QuarantineStatus::Quarantined { .. }),
        "{status:?}"
    );
    let answered = first.record_answer(HARMFUL, 2_000).unwrap();
    second.merge(HARMFUL, &answered, 2_000);
    assert_eq!(second.status(HARMFUL, 2_000), QuarantineStatus::Free);
}

/// Several upstreams die at the same moment under a request that is answered all the time, before
/// any router can answer it again. Refusing it for minutes would harm all its callers.
#[test]
fn request_answered_just_before_many_deaths_is_not_quarantined() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    here.record_answer(HARMFUL, 1_000);
    let mut received = Evidence::default();
    for upstream in 0..2 * MANY_DEATHS {
        assert!(
            here.record_death(HARMFUL, upstream, false, 1_010, 1_050)
                .is_none()
        );
        let evidence = there.record_death(HARMFUL, upstream, false, 1_010, 1_050);
        received.merge(&evidence.unwrap());
    }
    assert_eq!(here.status(HARMFUL, 1_050), QuarantineStatus::Free);
    // The other router hasn't answered it, and learns from this one that it was.
    here.merge(HARMFUL, &received, 1_060);
    there.merge(HARMFUL, here.evidence(HARMFUL).unwrap(), 1_070);
    assert_eq!(there.status(HARMFUL, 1_070), QuarantineStatus::Free);
}

/// A router receives the deaths that others counted after it answered the request. It must tell them
/// of the answer, which they don't know of.
#[test]
fn recent_answer_refutes_what_others_counted() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    here.record_answer(HARMFUL, 1_000);
    let mut received = Evidence::default();
    for upstream in 0..MANY_DEATHS {
        let evidence = there.record_death(HARMFUL, upstream, false, 1_010, 1_050);
        received.merge(&evidence.unwrap());
    }
    assert!(here.merge(HARMFUL, &received, 1_060));
    let refuted = here.refute(HARMFUL).unwrap();
    there.merge(HARMFUL, &refuted, 1_070);
    for quarantine in [here, there] {
        assert_eq!(quarantine.status(HARMFUL, 1_070), QuarantineStatus::Free);
    }
}

/// A request that was answered once crashes upstreams from then on, as after a release. The old
/// answer must not protect it.
#[test]
fn old_answer_refutes_no_deaths() {
    let mut quarantine = Quarantine::default();
    quarantine.record_answer(HARMFUL, 0);
    let later_ms = ANSWER_COVERS_MS + 1;
    for upstream in 0..MANY_DEATHS {
        quarantine.record_death(HARMFUL, upstream, false, later_ms, later_ms);
    }
    let status = quarantine.status(HARMFUL, later_ms);
    assert!(
        matches!(status, QuarantineStatus::Quarantined { .. }),
        "{status:?}"
    );
}
