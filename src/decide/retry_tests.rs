use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::decide::retry::{FailedAttempt, RetryBudget};

/// A pool fails three attempts in four for a while, and each request is tried up to five times.
/// Without a budget the pool gets several times its load (a retry storm); with one, little more
/// than its load, and further retries are refused.
#[test]
fn retry_storm_is_bounded_by_the_budget() {
    let tries = |mut budget: Option<RetryBudget>| {
        let rng = &mut SmallRng::seed_from_u64(1);
        let mut tries = 0;
        for _ in 0..10_000 {
            if let Some(budget) = &mut budget {
                budget.first_try();
            }
            tries += 1;
            for retries in 0..4 {
                let failed = FailedAttempt {
                    retries,
                    remaining_ms: 10_000,
                    ..FailedAttempt::default()
                };
                let may = budget
                    .as_mut()
                    .is_none_or(|b| b.pause_ms(failed, rng).is_some());
                if rng.random_bool(0.25) || !may {
                    break;
                }
                tries += 1;
            }
        }
        f64::from(tries) / 10_000.0
    };
    let (off, on) = (tries(None), tries(Some(RetryBudget::new(0.2))));
    assert!(off > 2.5, "off: {off} times the load");
    assert!(on <= 1.21, "on: {on} times the load");
}

/// A hundred requests fail together. Full jitter spreads their retries over the whole pause.
#[test]
fn pauses_are_spread() {
    let rng = &mut SmallRng::seed_from_u64(1);
    let failed = FailedAttempt {
        retries: 4,
        remaining_ms: 10_000,
        ..FailedAttempt::default()
    };
    let pauses: Vec<u64> = (0..100)
        .filter_map(|_| RetryBudget::new(0.2).pause_ms(failed, rng))
        .collect();
    assert_eq!(pauses.len(), 100);
    let early = pauses.iter().filter(|ms| **ms < 160).count();
    assert!((35..65).contains(&early), "{early}");
}

/// The pause would exceed the caller's deadline, so there is no retry.
#[test]
fn no_retry_past_the_deadline() {
    let rng = &mut SmallRng::seed_from_u64(1);
    let failed = FailedAttempt::default();
    assert_eq!(RetryBudget::new(0.2).pause_ms(failed, rng), None);
}
