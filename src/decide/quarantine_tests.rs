use crate::decide::quarantine::{QUARANTINE_MS, Quarantine, QuarantineStatus};

const HARMFUL: u64 = 1;

/// A request crashes an engine with five harmless ones beside it, and all six are sent again, at
/// different times. The harmful one crashes a second engine and is quarantined, so its next
/// repetition is refused. The harmless ones are answered and cleared.
#[test]
fn harmful_request_is_quarantined_and_harmless_ones_cleared() {
    let mut quarantine = Quarantine::default();
    for fingerprint in 1..=6 {
        quarantine.record_death(fingerprint, false, 0);
        assert_eq!(quarantine.status(fingerprint, 1), QuarantineStatus::Suspect);
    }
    for harmless in 2..=6 {
        assert!(quarantine.clear(harmless));
        assert_eq!(quarantine.status(harmless, 2), QuarantineStatus::Free);
    }
    quarantine.record_death(HARMFUL, true, 3);
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
        quarantine.record_death(fingerprint, false, 0);
        quarantine.record_death(fingerprint, false, 10);
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
    first.record_death(HARMFUL, false, 0);
    let deaths = first.record_death(HARMFUL, true, 10);
    second.merge(HARMFUL, deaths, false, 5, 1_000);
    let status = second.status(HARMFUL, 1_000);
    assert!(
        matches!(status, QuarantineStatus::Quarantined { .. }),
        "{status:?}"
    );
    second.merge(HARMFUL, 0, true, 0, 2_000);
    assert_eq!(second.status(HARMFUL, 2_000), QuarantineStatus::Free);
}
