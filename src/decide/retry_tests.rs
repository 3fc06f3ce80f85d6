use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::decide::retry::{FailedAttempt, RetryBudget};
use test_case::test_case;

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

/// Each of many routers handles a request a second, of which one in twenty-five fails. The fleet has
/// retries for all, but fewer of them than routers: a router that waits for a whole one never retries.
#[test_case(100, 0.9)]
#[test_case(985, 0.8)]
#[test_case(2_000, 0.4)]
fn budget_divided_among_many_routers_is_used(routers: u32, least_retried: f64) {
    const SHARE: f64 = 0.2;
    const FLEET_BURST: f64 = 880.0;
    const REQUESTS: u32 = 10;
    let rng = &mut SmallRng::seed_from_u64(1);
    let (mut failed, mut retried) = (0, 0);
    for _ in 0..routers {
        let mut budget = RetryBudget::with_burst(SHARE, FLEET_BURST / f64::from(routers));
        for _ in 0..REQUESTS {
            budget.first_try();
            if rng.random_bool(0.04) {
                failed += 1;
                retried += u32::from(budget.take(rng));
            }
        }
    }
    assert!(f64::from(retried) >= least_retried * f64::from(failed));
}

/// All requests fail. The retries of a fleet stay within its budget, however it is divided.
#[test_case(100)]
#[test_case(985)]
#[test_case(2_000)]
fn divided_budget_is_not_exceeded(routers: u32) {
    const SHARE: f64 = 0.17;
    const FLEET_BURST: f64 = 884.0;
    const REQUESTS: u32 = 10;
    let rng = &mut SmallRng::seed_from_u64(1);
    let mut retried = 0;
    for _ in 0..routers {
        let mut budget = RetryBudget::with_burst(SHARE, FLEET_BURST / f64::from(routers));
        for _ in 0..REQUESTS {
            budget.first_try();
            retried += u32::from(budget.take(rng));
        }
    }
    // The limits of which the budget is 0.85.
    let limit = (FLEET_BURST + SHARE * f64::from(routers * REQUESTS)) / 0.85;
    assert!(f64::from(retried) <= limit, "{retried} of {limit}");
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
