use proptest::prelude::*;

use super::allowance::quota;

/// Nine routers, eight of them idle: all callers of a burst use one router. It may use nearly all
/// slots after the next report, not a ninth.
#[test]
fn busy_router_uses_what_idle_ones_leave() {
    let quota = quota(90.0, 70, &[1, 0, 0, 2, 0, 0, 1, 0]);
    assert!(quota.has_spare);
    assert!(quota.allowed > 70, "{quota:?}");
}

/// Ninety routers in front of a few upstreams with 12 slots, each with a burst: none is left
/// without a slot, and together they don't run a multiple of the slots.
#[test]
fn ninety_routers_share_few_slots() {
    let quota = quota(36.0, 8, &[8; 89]);
    assert_eq!(quota.allowed, 1);
    assert!(!quota.has_spare);
}

/// A router that died has no demand after a second: the others get its slots.
#[test]
fn slots_of_a_dead_router_are_released() {
    let with = quota(60.0, 100, &[100, 100]);
    let without = quota(60.0, 100, &[100]);
    assert_eq!((with.allowed, without.allowed), (20, 30));
}

proptest! {
    /// Whatever the demands, the routers together run no more than there are slots, plus one each
    /// by rounding; and while the demand exceeds the slots, no slot stays empty.
    #[test]
    fn quotas_add_up(slots in 1_u32..400, demands in proptest::collection::vec(1_u32..200, 1..90)) {
        let quota_of = |at: usize| {
            let mut others = demands.clone();
            let own = others.remove(at);
            quota(f64::from(slots), own, &others).allowed.min(own)
        };
        let sum: u32 = (0..demands.len()).map(quota_of).sum();
        let routers = u32::try_from(demands.len()).unwrap();
        let total: u32 = demands.iter().sum();
        prop_assert!(sum <= slots + routers);
        prop_assert!(sum >= slots.min(total));
    }
}
