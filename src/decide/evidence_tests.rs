use super::evidence::{ANSWER_COVERS_MS, Evidence};
use super::quarantine::MANY_DEATHS;

/// Routers record deaths under one request at the same time, each without knowing of the others'.
/// Counts that merged by their maximum stayed at one, and the request went on.
#[test]
fn deaths_that_routers_record_at_the_same_time_add_up() {
    let mut routers: Vec<Evidence> = Vec::new();
    for upstream in 0..MANY_DEATHS {
        let mut evidence = Evidence::default();
        evidence.record_death(upstream, 100);
        routers.push(evidence);
    }
    let mut merged = Evidence::default();
    for evidence in &routers {
        assert!(merged.merge(evidence));
        assert!(!merged.merge(evidence));
    }
    assert!(merged.is_sufficient());
}

/// Several routers lose answers of one upstream. It died once.
#[test]
fn death_that_several_routers_record_counts_once() {
    let mut merged = Evidence::default();
    for router in 0..9 {
        let mut evidence = Evidence::default();
        evidence.record_death(1, 100 + router);
        merged.merge(&evidence);
    }
    assert_eq!(merged.death_count(), 1);
}

/// Evidence arrives in any order, and some of it several times. All routers must come to the same
/// result, whether the answer or the deaths arrive first.
#[test]
fn answers_and_deaths_merge_in_any_order() {
    let mut answered = Evidence::default();
    answered.record_answer(1_000);
    let mut early = Evidence::default();
    for upstream in 0..MANY_DEATHS {
        early.record_death(upstream, 900);
    }
    let mut late = Evidence::default();
    late.record_death(MANY_DEATHS, 1_001 + ANSWER_COVERS_MS);
    let orders = [
        [&answered, &early, &late],
        [&early, &answered, &late],
        [&early, &late, &answered],
        [&late, &early, &answered],
    ];
    for order in orders {
        let mut merged = Evidence::default();
        for evidence in order {
            merged.merge(evidence);
        }
        assert_eq!(merged.death_count(), 1);
        assert!(!merged.is_sufficient());
    }
}
