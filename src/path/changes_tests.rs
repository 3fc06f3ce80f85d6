use super::changes::{Changes, MAX_CHANGES};
use super::position::StreamPosition;
use crate::schema::peer::UpstreamChange;
use test_case::test_case;

const fn at(era: u64, offset: u64) -> StreamPosition {
    StreamPosition::new(era, offset)
}

fn push(changes: &mut Changes, at: StreamPosition, id: &str) {
    changes.push(UpstreamChange {
        at: Some(at),
        id: id.to_owned(),
        record: b"ready".to_vec(),
    });
}

fn ids(changes: &Changes, since: StreamPosition) -> Option<Vec<String>> {
    let changes = changes.since(since)?;
    Some(changes.into_iter().map(|change| change.id).collect())
}

/// Changes of a router that loaded the log at 1/10, read on up to 1/20, and loaded the log's new era
/// at 2/15, after which it read on.
fn restored() -> Changes {
    let mut changes = Changes::default();
    changes.start_at(at(1, 10));
    push(&mut changes, at(1, 12), "read-12");
    push(&mut changes, at(1, 18), "read-18");
    changes.enter_era(at(1, 20), at(2, 15));
    push(&mut changes, at(2, 15), "lost");
    push(&mut changes, at(2, 15), "back");
    push(&mut changes, at(2, 17), "read-17");
    changes
}

/// Guards against loads by a whole fleet after a restore: routers at or before the old end get
/// exactly what leads to the new state.
#[test_case(at(1, 10), &["read-12", "read-18", "lost", "back", "read-17"]; "where the changes begin")]
#[test_case(at(1, 12), &["read-18", "lost", "back", "read-17"]; "before the old end")]
#[test_case(at(1, 18), &["lost", "back", "read-17"]; "after the last change")]
#[test_case(at(1, 20), &["lost", "back", "read-17"]; "at the old end")]
#[test_case(at(2, 15), &["read-17"]; "where the new era was loaded")]
#[test_case(at(2, 16), &["read-17"]; "later in the new era")]
#[test_case(at(2, 17), &[]; "up to date")]
fn changes_lead_across_a_restore(since: StreamPosition, expected: &[&str]) {
    let found = ids(&restored(), since).expect("the changes are kept");
    assert_eq!(found, expected);
}

/// Guards against changes that don't fit the state of their receiver: it would keep upstreams that
/// the restore lost, or lack others.
#[test_case(at(0, 0); "nothing known")]
#[test_case(at(1, 9); "before the changes begin")]
#[test_case(at(1, 21); "beyond the old end")]
#[test_case(at(1, 900); "far beyond the old end")]
#[test_case(at(2, 14); "new era loaded earlier")]
#[test_case(at(2, 0); "new era without records")]
fn changes_of_other_positions_are_not_kept(since: StreamPosition) {
    assert_eq!(ids(&restored(), since), None);
}

/// Guards against changes across two restores: those before the first one lead to a state that the
/// second one may have lost in part.
#[test]
fn changes_lead_across_the_last_restore_only() {
    let mut changes = restored();
    changes.enter_era(at(2, 19), at(3, 16));
    push(&mut changes, at(3, 16), "lost-again");
    for earlier in [at(1, 10), at(1, 20), at(2, 14), at(2, 20), at(3, 15)] {
        assert_eq!(ids(&changes, earlier), None, "{earlier}");
    }
    let expected = ["read-17", "lost-again"].map(str::to_owned).to_vec();
    assert_eq!(ids(&changes, at(2, 15)), Some(expected));
    let expected = vec!["lost-again".to_owned()];
    assert_eq!(ids(&changes, at(2, 19)), Some(expected));
    assert_eq!(ids(&changes, at(3, 16)), Some(Vec::new()));
}

/// Guards against gaps: once changes of the former era are evicted, routers before them must load.
#[test]
fn evicted_changes_of_the_former_era_are_missed() {
    let mut changes = restored();
    let kept = 5;
    for offset in 0..(MAX_CHANGES - kept) as u64 + 1 {
        push(&mut changes, at(2, 18 + offset), "further");
    }
    assert_eq!(ids(&changes, at(1, 11)), None, "1/12 is evicted");
    let found = ids(&changes, at(1, 12)).expect("the others are kept");
    assert_eq!(found.len(), MAX_CHANGES);
    assert_eq!(found[0], "read-18");
    push(&mut changes, at(2, 90_000), "further");
    assert_eq!(ids(&changes, at(1, 17)), None);
    assert_eq!(ids(&changes, at(1, 20)).map(|c| c.len()), Some(MAX_CHANGES));
}

/// Guards against gaps: once a change of the new era is evicted, no router of the former one can
/// follow, and a router at the position of a load misses a part of it.
#[test]
fn evicted_changes_of_a_load_are_missed() {
    let mut changes = restored();
    for offset in 0..MAX_CHANGES as u64 - 2 {
        push(&mut changes, at(2, 18 + offset), "further");
    }
    for earlier in [at(1, 12), at(1, 18), at(1, 20), at(2, 14)] {
        assert_eq!(ids(&changes, earlier), None, "{earlier}");
    }
    let found = ids(&changes, at(2, 15)).expect("everything after the load is kept");
    assert_eq!(found.len(), MAX_CHANGES - 1);
}
