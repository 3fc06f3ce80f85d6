use std::collections::HashSet;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use test_case::test_case;

use crate::fleet::leaving::{LEAVING_TTL_MS, LeavingTable, incarnation_digest};
use crate::fleet::loads::digest;

/// An engine is leaving and only one router knows. The others must stop sending it work soon after,
/// whichever source the first one has, and resume a while after it has returned.
#[test_case(true; "by the platform's list")]
#[test_case(false; "by the engine's own report")]
fn leaving_spreads_and_ends(by_list: bool) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut first = LeavingTable::default();
    let mut other = LeavingTable::default();
    let set_leaving = |table: &mut LeavingTable, leaving: bool| {
        if by_list && leaving {
            table.set_listed(&["engine-1".into()]);
        } else if by_list {
            table.set_listed(&[]);
        } else {
            table.set_signalled("engine-1", leaving);
        }
    };
    set_leaving(&mut first, true);
    other.merge(&first.sample(4, 1_000, &mut rng), 1_001);
    assert!(other.known(1_001).contains(&digest("engine-1")));
    set_leaving(&mut first, false);
    let mut now_ms = 1_001;
    // Both continue to exchange what they received, which alone must not renew the report.
    while now_ms < 1_001 + LEAVING_TTL_MS {
        now_ms += 100;
        first.merge(&other.sample(4, now_ms, &mut rng), now_ms);
        other.merge(&first.sample(4, now_ms, &mut rng), now_ms);
    }
    assert!(other.known(now_ms).is_empty());
}

/// A router that is no longer an engine's home isn't notified when the engine stops leaving, so it
/// must drop the report.
#[test]
fn former_home_drops_the_report() {
    let mut table = LeavingTable::default();
    table.set_signalled("engine-1", true);
    table.retain_signals(|_| false);
    assert!(table.known(1_000).is_empty());
}

/// An upstream announced its shutdown to one router. The others must learn of it, and membership
/// changes, which end what an engine reported to its home, must not end it.
#[test]
fn announced_shutdown_spreads() {
    let mut rng = SmallRng::seed_from_u64(1);
    let digest = incarnation_digest(7, 1_000);
    let (mut first, mut other) = (LeavingTable::default(), LeavingTable::default());
    first.set_announced([digest].into());
    first.retain_signals(|_| false);
    other.merge(&first.sample(4, 1_000, &mut rng), 1_001);
    assert!(other.known(1_001).contains(&digest));
    assert_ne!(digest, incarnation_digest(7, 1_001), "a later start");
    first.set_announced(HashSet::new());
    assert!(other.known(1_001 + LEAVING_TTL_MS).is_empty());
}
