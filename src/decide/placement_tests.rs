use proptest::prelude::*;

use crate::decide::lru::LruCache;
use crate::decide::placement::{self, JOIN_RAMP_MS, PlacementPolicy, PoolIndex};
use crate::decide::{ChatKey, Name};

fn pool(count: usize) -> Vec<Name> {
    (0..count)
        .map(|i| Name::from(format!("engine-{i}")))
        .collect()
}

#[test]
fn order_spreads_chats_evenly() {
    let pool = pool(18);
    let mut firsts = vec![0_u32; pool.len()];
    for chat in 0..18_000 {
        let first = placement::order(ChatKey(chat), &pool)[0].clone();
        let at = pool.iter().position(|u| *u == first).unwrap();
        firsts[at] += 1;
    }
    assert!(
        firsts.iter().all(|n| (850..1_150).contains(n)),
        "{firsts:?}"
    );
}

/// An engine joins and looks idle to every router until its load has been gossiped. New chats must
/// not all be sent there: the load used for it starts near the pool's mean.
#[test]
fn joined_engine_is_filled_gradually() {
    let used = |age_ms| placement::joined_load_ms(0.0, 1_000.0, age_ms);
    assert_eq!(used(0), 750.0);
    assert!(used(JOIN_RAMP_MS / 2) < 400.0);
    assert_eq!(used(JOIN_RAMP_MS), 0.0);
}

/// A chat is cached at an engine that is over its bound. Once displaced, it is recorded at its new
/// engine and returns there.
#[test]
fn displaced_chat_returns_to_where_it_went() {
    let pool = PoolIndex::new(pool(6));
    let (chat, load_ms) = (ChatKey(7), [0.0; 6]);
    let policy = PlacementPolicy::default();
    let plan = pool.plan(chat, Some(3), &load_ms, policy);
    assert_eq!(plan.tries[0], 3);
    let displaced_to = plan.tries[1];
    let mut cache = LruCache::new(10);
    cache.put(chat, displaced_to, 1);
    let back = pool.plan(chat, cache.get(chat).copied(), &load_ms, policy);
    assert_eq!(back.tries[0], displaced_to);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// When an upstream leaves, only its own chats move; the others keep their order.
    #[test]
    fn only_chats_of_the_removed_upstream_move(chat: u64, count in 2_usize..40, gone: prop::sample::Index) {
        let names = pool(count);
        let gone = names[gone.index(count)].clone();
        let order = placement::order(ChatKey(chat), &names);
        let fewer: Vec<Name> = names.iter().filter(|n| **n != gone).cloned().collect();
        let kept: Vec<Name> = order.iter().filter(|n| **n != gone).cloned().collect();
        prop_assert_eq!(placement::order(ChatKey(chat), &fewer), kept);
    }

    /// The index yields the same first upstreams as the whole order, whatever the loads; a plan
    /// names no upstream twice, and no excluded one.
    #[test]
    fn plan_names_each_upstream_once(
        chat: u64,
        load_ms in proptest::collection::vec(prop_oneof![Just(f64::INFINITY), 0.0..1e6], 1..30),
        warm: prop::sample::Index,
    ) {
        let names = pool(load_ms.len());
        let index = PoolIndex::new(names.clone());
        let order = placement::order(ChatKey(chat), &names);
        let first = index.first(ChatKey(chat), 4);
        let by_name: Vec<&Name> = first.iter().map(|at| &names[*at]).collect();
        prop_assert_eq!(by_name, order.iter().take(4).collect::<Vec<_>>());
        let warm = warm.index(load_ms.len());
        let plan = index.plan(ChatKey(chat), Some(warm), &load_ms, PlacementPolicy::default());
        let mut tries = plan.tries.clone();
        tries.sort_unstable();
        tries.dedup();
        prop_assert_eq!(tries.len(), plan.tries.len());
        let named = plan.tries.iter().chain(&plan.last);
        prop_assert!(named.into_iter().all(|at| load_ms[*at].is_finite()));
        prop_assert_eq!(plan.last.is_some(), load_ms.iter().any(|ms| ms.is_finite()));
    }

    /// The cache never exceeds its size limit, and contains the chat that was inserted last.
    #[test]
    fn cache_is_bounded(puts in proptest::collection::vec((0_u64..50, 1_u64..20), 1..300)) {
        let mut warm = LruCache::new(100);
        for (chat, size) in puts {
            warm.put(ChatKey(chat), chat, size);
            prop_assert_eq!(warm.get(ChatKey(chat)), Some(&chat));
            prop_assert_eq!(warm.recent().next(), Some((ChatKey(chat), &chat)));
            prop_assert!(warm.len() <= 100);
            prop_assert_eq!(warm.recent().count(), warm.len());
        }
    }
}

/// In a half idle pool every engine has about the same load, and many chats find their first
/// choices over the bound. Their last choices must not all be the engine whose name sorts first.
#[test]
fn last_choices_spread_over_equals() {
    let names: Vec<Name> = (0..18).map(|i| Name::from(format!("engine-{i}"))).collect();
    let pool = PoolIndex::new(names);
    let load_ms = [40.0; 18];
    let mut counts = [0_u32; 18];
    for chat in 0..18_000 {
        let plan = pool.plan(ChatKey(chat), None, &load_ms, PlacementPolicy::default());
        counts[plan.last.unwrap()] += 1;
    }
    assert!(
        counts.iter().all(|n| (850..1_150).contains(n)),
        "{counts:?}"
    );
}
