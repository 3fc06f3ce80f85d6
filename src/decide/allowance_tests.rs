use proptest::prelude::*;

use super::allowance::quota;

/// Nine routers, eight of them idle: all callers of a burst came to one. It may use nearly all places
/// at the next telling, not a ninth.
#[test]
fn busy_router_uses_what_idle_ones_leave() {
    let quota = quota(90.0, 70, &[1, 0, 0, 2, 0, 0, 1, 0]);
    assert!(quota.has_spare);
    assert!(quota.allowed > 70, "{quota:?}");
}

/// Ninety routers before a few upstreams of 12 slots, each with a burst: none may be shut out, and
/// together they don't run a multiple of what there is.
#[test]
fn ninety_routers_share_few_places() {
    let quota = quota(36.0, 8, &[8; 89]);
    assert_eq!(quota.allowed, 1);
    assert!(!quota.has_spare);
}

/// A router that died wants nothing after a second: its places are the others' again.
#[test]
fn places_of_a_dead_router_come_back() {
    let with = quota(60.0, 100, &[100, 100]);
    let without = quota(60.0, 100, &[100]);
    assert_eq!((with.allowed, without.allowed), (20, 30));
}

proptest! {
    /// Whatever the routers want, together they run no more than there is, but for one each by rounding;
    /// and while more is wanted than there is, no place stays empty.
    #[test]
    fn parts_add_up(places in 1_u32..400, wanted in proptest::collection::vec(1_u32..200, 1..90)) {
        let part = |at: usize| {
            let mut others = wanted.clone();
            let own = others.remove(at);
            quota(f64::from(places), own, &others).allowed.min(own)
        };
        let sum: u32 = (0..wanted.len()).map(part).sum();
        let routers = u32::try_from(wanted.len()).unwrap();
        let total: u32 = wanted.iter().sum();
        prop_assert!(sum <= places + routers);
        prop_assert!(sum >= places.min(total));
    }
}
