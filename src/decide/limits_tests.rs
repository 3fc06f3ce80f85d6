use proptest::prelude::*;

use crate::decide::limits::{
    Demand, Exceeded, Limit, Limits, SHARE_MS, ShareAllocator, fair_share,
};
use crate::util::Name;

fn rate(rate_per_s: f64) -> Limit {
    Limit {
        rate_per_s,
        concurrency: 0.0,
    }
}

/// All callers of an account use one router of nine. An even split would refuse eight ninths of the
/// limit; once shares are granted, that router has nearly all of it.
#[test]
fn share_moves_to_where_the_demand_is() {
    let (mut allocator, mut limits) = (ShareAllocator::default(), Limits::default());
    let (account, busy) = (Name::from("acme"), Name::from("router-0"));
    let limit = rate(90.0);
    let arrived = |limits: &mut Limits, from_ms: u64| {
        let times = (0..100).map(|i| from_ms + i * 10);
        times
            .filter(|at_ms| limits.arrive(&account, limit, 9, *at_ms).is_ok())
            .count()
    };
    // The bucket starts with the tokens of one second.
    arrived(&mut limits, 0);
    assert!((9..=11).contains(&arrived(&mut limits, 1_000)));
    let (_, demand) = limits.demands(2_000).pop().unwrap();
    let small = Demand {
        rate_per_s: 1.0,
        concurrency: 0.0,
    };
    let mut share = Limit::default();
    for round in 0..2 {
        let now_ms = 2_000 + round;
        for router in 1..9 {
            let router = format!("router-{router}").into();
            allocator.report(&account, &router, small, limit, 9, now_ms);
        }
        share = allocator.report(&account, &busy, demand, limit, 9, now_ms);
    }
    assert_eq!(share.rate_per_s, 82.0);
    limits.granted(&account, share, 2_000);
    assert!(arrived(&mut limits, 2_000) > 50);
}

/// Grants no longer arrive. The share decays to an even one, so that the fleet as a whole returns
/// below the limit.
#[test]
fn share_decays_when_cut_off() {
    let mut limits = Limits::default();
    let (account, limit) = (Name::from("acme"), rate(90.0));
    limits.granted(&account, rate(90.0), 0);
    let mut served = 0;
    for at_ms in (SHARE_MS..SHARE_MS + 10_000).step_by(5) {
        served += u32::from(limits.arrive(&account, limit, 9, at_ms).is_ok());
    }
    // Ten a second, and the tokens in the bucket at the start.
    assert!((95..=200).contains(&served), "{served}");
}

/// More concurrent requests arrive than the account may have: the next is refused until one ends.
#[test]
fn concurrency_is_counted_until_the_end() {
    let mut limits = Limits::default();
    let account = Name::from("acme");
    let limit = Limit {
        rate_per_s: 0.0,
        concurrency: 2.0,
    };
    assert_eq!(limits.begin(&account, limit, 1, 0), Ok(()));
    assert_eq!(limits.begin(&account, limit, 1, 0), Ok(()));
    assert_eq!(
        limits.begin(&account, limit, 1, 0),
        Err(Exceeded::Concurrency)
    );
    limits.end("acme");
    assert_eq!(limits.begin(&account, limit, 1, 0), Ok(()));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    /// Max-min fairness: every router gets at least the smaller of its demand and an even share,
    /// and the sum doesn't exceed the limit.
    #[test]
    fn shares_are_max_min_fair(
        limit in 1.0_f64..1_000.0,
        wants in proptest::collection::vec(0.0_f64..500.0, 1..12),
    ) {
        let share = |at: usize| {
            let mut others = wants.clone();
            let own = others.swap_remove(at);
            fair_share(limit, own, others, wants.len())
        };
        let sum: f64 = (0..wants.len()).map(share).sum();
        prop_assert!(sum <= limit * 1.000_001, "{sum} of {limit}");
        for (at, want) in wants.iter().enumerate() {
            let even = limit / wants.len() as f64;
            prop_assert!(share(at) >= want.min(even) * 0.999_999);
        }
    }

    /// Routers report in any order while demand moves between them, and some reports are lost. The
    /// sum of the shares in force is within the limit again [`SHARE_MS`] after the demand last
    /// moved, and never exceeds twice the limit.
    #[test]
    fn shares_sum_to_the_limit(
        phases in proptest::collection::vec(proptest::array::uniform4(0.0_f64..300.0), 1..6),
        lost in proptest::collection::vec(any::<bool>(), 24),
    ) {
        let limit = rate(100.0);
        let account = Name::from("acme");
        let mut allocator = ShareAllocator::default();
        let mut granted = [0.0_f64; 4];
        let mut now_ms = 0;
        for (phase, wants) in phases.iter().enumerate() {
            for round in 0..6 {
                now_ms += SHARE_MS / 4;
                for (router, want) in wants.iter().enumerate() {
                    if lost[(phase * 6 + round + router) % 24] && round < 2 {
                        continue;
                    }
                    let demand = Demand { rate_per_s: *want, concurrency: 0.0 };
                    let name = Name::from(format!("router-{router}"));
                    let share = allocator.report(&account, &name, demand, limit, 4, now_ms);
                    granted[router] = share.rate_per_s;
                }
                let sum: f64 = granted.iter().sum();
                prop_assert!(sum <= 200.001, "{sum}");
            }
            let sum: f64 = granted.iter().sum();
            prop_assert!(sum <= 100.001, "phase {phase}: {granted:?}");
        }
    }
}
