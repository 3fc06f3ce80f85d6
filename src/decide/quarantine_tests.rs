use crate::decide::quarantine::{CONVICTION_MS, Quarantine, QuarantineStatus};

const GUILTY: u64 = 1;

/// A request kills an engine with five innocent ones beside it, and all six are sent again. They
/// start apart; the guilty one kills a second engine, is convicted, and the caller's next re-send
/// meets that. The innocent ones are answered and cleared.
#[test]
fn guilty_request_is_convicted_and_innocent_ones_cleared() {
    let mut quarantine = Quarantine::default();
    for fingerprint in 1..=6 {
        quarantine.died(fingerprint, false, 0);
        assert_eq!(quarantine.status(fingerprint, 1), QuarantineStatus::Suspect);
    }
    for innocent in 2..=6 {
        assert!(quarantine.succeeded(innocent));
        assert_eq!(quarantine.status(innocent, 2), QuarantineStatus::Free);
    }
    quarantine.died(GUILTY, true, 3);
    let left_ms = CONVICTION_MS - 1;
    assert_eq!(
        quarantine.status(GUILTY, 4),
        QuarantineStatus::Convicted { left_ms }
    );
    let after_ms = CONVICTION_MS + 4;
    assert_ne!(
        quarantine.status(GUILTY, after_ms),
        QuarantineStatus::Convicted { left_ms }
    );
}

/// Two suspects run at one engine when it dies. Neither is convicted: one of them is innocent, and
/// nobody can tell which.
#[test]
fn two_suspects_beside_each_other_are_not_convicted() {
    let mut quarantine = Quarantine::default();
    for fingerprint in [GUILTY, 2] {
        quarantine.died(fingerprint, false, 0);
        quarantine.died(fingerprint, false, 10);
        assert_eq!(
            quarantine.status(fingerprint, 11),
            QuarantineStatus::Suspect
        );
    }
}

/// The re-send comes through another router. It knows by what it was told.
#[test]
fn conviction_is_told_to_others() {
    let (mut first, mut second) = (Quarantine::default(), Quarantine::default());
    first.died(GUILTY, false, 0);
    let deaths = first.died(GUILTY, true, 10);
    second.merge(GUILTY, deaths, false, 5, 1_000);
    let status = second.status(GUILTY, 1_000);
    assert!(
        matches!(status, QuarantineStatus::Convicted { .. }),
        "{status:?}"
    );
    second.merge(GUILTY, 0, true, 0, 2_000);
    assert_eq!(second.status(GUILTY, 2_000), QuarantineStatus::Free);
}
