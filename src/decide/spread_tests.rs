use super::spread::{BOUND_FACTOR, BOUND_SLACK, Bound, Candidate, Counts, by_load, by_part};
use crate::util;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn pool(size: u64, slots: u32) -> Vec<Candidate> {
    let candidate = |id| Candidate {
        id_hash: util::mix(id, 1),
        slots,
        has_parts: true,
        ..Candidate::default()
    };
    (0..size).map(candidate).collect()
}

/// Every fourth request has the same shared part. Sent by its part alone, a quarter of all requests
/// would go to that part's upstream and wait there while the others idle.
#[test]
fn frequent_part_stays_below_the_bound() {
    let mut pool = pool(12, 64);
    let mut rng = SmallRng::seed_from_u64(7);
    for _ in 0..240 {
        let part = if rng.random_bool(0.25) {
            1
        } else {
            rng.random()
        };
        let at = by_part(part, &pool, Bound::ByMean).unwrap().at;
        pool[at].running += 1;
    }
    let most = pool.iter().map(|s| s.running).max().unwrap();
    let bound = 20.0 * BOUND_FACTOR + BOUND_SLACK;
    assert!(f64::from(most) <= bound + 1.0, "{most} at one upstream");
}

/// The same part is requested repeatedly while the pool is quiet: it must be prefilled at one
/// upstream only.
#[test]
fn quiet_part_stays_at_one_upstream() {
    let pool = pool(12, 64);
    let upstreams: std::collections::HashSet<_> = (0..50)
        .map(|_| by_part(99, &pool, Bound::ByMean).unwrap().at)
        .collect();
    assert_eq!(upstreams.len(), 1);
}

/// One upstream is replaced: only its own parts may move, or the whole pool prefills its parts
/// again.
#[test]
fn other_parts_stay_when_one_upstream_is_replaced() {
    let whole = pool(12, 64);
    let mut fewer = whole.clone();
    fewer[3].excluded = true;
    for part in 0..200 {
        let before = by_part(part, &whole, Bound::ByMean).unwrap().at;
        let after = by_part(part, &fewer, Bound::ByMean).unwrap();
        if before == 3 {
            // It is excluded but still answers, so the new upstream fetches from it.
            assert_eq!(after.source, Some(3));
        } else {
            assert_eq!(after.at, before);
        }
    }
}

/// All upstreams are full or failing. A failing one must not be chosen, because the request would
/// be lost.
#[test]
fn excluded_upstreams_get_nothing() {
    let mut pool = pool(3, 2);
    pool[0].excluded = true;
    pool[1].excluded = true;
    pool[2].running = 2;
    let mut rng = SmallRng::seed_from_u64(1);
    assert_eq!(by_part(5, &pool, Bound::ByMean).map(|p| p.at), Some(2));
    assert_eq!(by_load(&pool, Counts::Current, &mut rng), Some(2));
    pool[2].excluded = true;
    assert_eq!(by_part(5, &pool, Bound::ByMean), None);
    assert_eq!(by_load(&pool, Counts::Current, &mut rng), None);
}

/// An upstream joins with an empty cache and becomes the first of some parts' orders. Prefilling
/// these parts again would delay all their callers; the earlier upstream still has them.
#[test]
fn new_upstream_fetches_from_the_earlier_one() {
    let mut pool = pool(12, 64);
    let part = (0..)
        .find(|p| by_part(*p, &pool, Bound::ByMean).unwrap().at == 5)
        .unwrap();
    pool[5].has_parts = false;
    let selection = by_part(part, &pool, Bound::ByMean).unwrap();
    assert_eq!(selection.at, 5);
    let second = selection.source.unwrap();
    pool[5].excluded = true;
    assert_eq!(by_part(part, &pool, Bound::ByMean).unwrap().at, second);
}

/// 333 short requests a second arrive at 195 routers in front of five upstreams that run six at
/// once and let four wait. The routers exchange counts five times a second, and a request takes 60
/// ms. All go to the upstream with the lowest count, and requests are refused although the pool is
/// at two thirds of its capacity.
#[test]
fn stale_counts_are_useless_for_short_requests() {
    let by_old_counts = refused_share(Counts::Current);
    let by_own = refused_share(Counts::of_age(200.0, Some(60.0)));
    assert!(
        by_old_counts > 0.05,
        "{by_old_counts} refused by old counts"
    );
    assert!(by_own < 0.01, "{by_own} refused by own counts");
}

/// Returns the share of requests that their upstream refuses.
fn refused_share(counts: Counts) -> f64 {
    const ROUTERS: usize = 195;
    const REQUESTS: u32 = 5_000;
    const DURATION_MS: u64 = 60;
    const REPORT_INTERVAL_MS: u64 = 200;
    const CAPACITY: usize = 10;
    let mut rng = SmallRng::seed_from_u64(3);
    let mut reported = [0_u32; 5];
    // The end times of the requests at each upstream, and their routers.
    let mut running: [Vec<(u64, usize)>; 5] = Default::default();
    let mut refused = 0;
    let mut last_reported = 0;
    for n in 0..REQUESTS {
        let now_ms = u64::from(n) * 3;
        for at_upstream in &mut running {
            at_upstream.retain(|(end_ms, _)| *end_ms > now_ms);
        }
        if now_ms / REPORT_INTERVAL_MS != last_reported {
            last_reported = now_ms / REPORT_INTERVAL_MS;
            reported = running.each_ref().map(|r| u32::try_from(r.len()).unwrap());
        }
        let router = rng.random_range(0..ROUTERS);
        let candidate = |at: usize| {
            let own = running[at].iter().filter(|(_, by)| *by == router).count();
            let own = u32::try_from(own).unwrap();
            Candidate {
                running: reported[at] + own,
                own,
                ..Candidate::default()
            }
        };
        let candidates: Vec<Candidate> = (0..running.len()).map(candidate).collect();
        let at = by_load(&candidates, counts, &mut rng).unwrap();
        if running[at].len() >= CAPACITY {
            refused += 1;
        } else {
            running[at].push((now_ms + DURATION_MS, router));
        }
    }
    f64::from(refused) / f64::from(REQUESTS)
}

/// One of three data centres is evacuated: its upstreams run empty, and the others have half more
/// than the mean of all. A frequent part must not raise one of them to over twice that mean, where
/// callers notice the pauses, although the mean of the open upstreams would allow it.
#[test]
fn frequent_part_stays_below_the_bound_beside_an_evacuation() {
    let candidate = |i: u64| Candidate {
        id_hash: i,
        running: if i < 30 { 0 } else { 9 },
        slots: 32,
        excluded: i < 30,
        withheld: i < 30,
        has_parts: true,
        ..Candidate::default()
    };
    let mut pool: Vec<Candidate> = (0..90).map(candidate).collect();
    let first = by_part(7, &pool, Bound::ByMean).unwrap().at;
    let mut added = 0;
    while by_part(7, &pool, Bound::ByMean).unwrap().at == first {
        pool[first].running += 1;
        added += 1;
    }
    let mean = f64::from(pool.iter().map(|s| s.running).sum::<u32>()) / 90.0;
    assert!(added >= 3, "some capacity for a frequent part");
    assert!(
        f64::from(pool[first].running) <= 2.0 * mean + 1.0,
        "{:?}",
        pool[first]
    );
}
