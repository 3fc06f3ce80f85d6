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

/// Every fourth request asks about one and the same thing. Sent by its shared part alone, that
/// part's upstream would hold a quarter of all requests and its callers would wait, while the
/// others idle.
#[test]
fn hot_part_stays_below_the_bound() {
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

/// A thing that is asked about again and again while the pool is quiet: its part must be read at
/// one upstream only.
#[test]
fn quiet_part_stays_at_one_upstream() {
    let pool = pool(12, 64);
    let places: std::collections::HashSet<_> = (0..50)
        .map(|_| by_part(99, &pool, Bound::ByMean).unwrap().at)
        .collect();
    assert_eq!(places.len(), 1);
}

/// One upstream is replaced: only its own parts may move, or the whole pool reads anew.
#[test]
fn other_parts_stay_when_one_upstream_goes() {
    let whole = pool(12, 64);
    let mut fewer = whole.clone();
    fewer[3].excluded = true;
    for part in 0..200 {
        let before = by_part(part, &whole, Bound::ByMean).unwrap().at;
        let after = by_part(part, &fewer, Bound::ByMean).unwrap();
        if before == 3 {
            // It leaves but still answers: the new place fetches from it.
            assert_eq!(after.source, Some(3));
        } else {
            assert_eq!(after.at, before);
        }
    }
}

/// All upstreams are full or failing: a choice of a failing one would lose the request.
#[test]
fn barred_upstreams_get_nothing() {
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

/// An upstream joins and becomes the first of some parts' orders, with an empty cache. Reading these
/// parts anew takes its time while all their callers wait; the one that had them still does.
#[test]
fn new_upstream_fetches_from_the_one_before() {
    let mut pool = pool(12, 64);
    let part = (0..)
        .find(|p| by_part(*p, &pool, Bound::ByMean).unwrap().at == 5)
        .unwrap();
    pool[5].has_parts = false;
    let placed = by_part(part, &pool, Bound::ByMean).unwrap();
    assert_eq!(placed.at, 5);
    let second = placed.source.unwrap();
    pool[5].excluded = true;
    assert_eq!(by_part(part, &pool, Bound::ByMean).unwrap().at, second);
}

/// 333 short requests a second come to 195 routers before five upstreams that run six at once and let four wait. The
/// routers tell one another five times a second, and a request takes 60 ms. All go to the upstream that had the least,
/// and callers are turned away though the pool is at two thirds of its load.
#[test]
fn old_counts_say_nothing_of_short_requests() {
    let by_old_counts = turned_away(Counts::Current);
    let by_own = turned_away(Counts::of_age(200.0, Some(60.0)));
    assert!(
        by_old_counts > 0.05,
        "{by_old_counts} turned away by old counts"
    );
    assert!(by_own < 0.01, "{by_own} turned away by own counts");
}

/// The share of requests that their upstream turns away.
fn turned_away(counts: Counts) -> f64 {
    const ROUTERS: usize = 195;
    const REQUESTS: u32 = 5_000;
    const TAKES_MS: u64 = 60;
    const TOLD_MS: u64 = 200;
    const ROOM: usize = 10;
    let mut rng = SmallRng::seed_from_u64(3);
    let mut told = [0_u32; 5];
    // The ends of the requests at each upstream, and who sent them.
    let mut running: [Vec<(u64, usize)>; 5] = Default::default();
    let mut refused = 0;
    let mut last_told = 0;
    for n in 0..REQUESTS {
        let now_ms = u64::from(n) * 3;
        for at_upstream in &mut running {
            at_upstream.retain(|(end_ms, _)| *end_ms > now_ms);
        }
        if now_ms / TOLD_MS != last_told {
            last_told = now_ms / TOLD_MS;
            told = running.each_ref().map(|r| u32::try_from(r.len()).unwrap());
        }
        let router = rng.random_range(0..ROUTERS);
        let candidate = |at: usize| {
            let own = running[at].iter().filter(|(_, by)| *by == router).count();
            let own = u32::try_from(own).unwrap();
            Candidate {
                running: told[at] + own,
                own,
                ..Candidate::default()
            }
        };
        let candidates: Vec<Candidate> = (0..running.len()).map(candidate).collect();
        let at = by_load(&candidates, counts, &mut rng).unwrap();
        if running[at].len() >= ROOM {
            refused += 1;
        } else {
            running[at].push((now_ms + TAKES_MS, router));
        }
    }
    f64::from(refused) / f64::from(REQUESTS)
}

/// One of three data centres is evacuated: its upstreams run dry, and the others hold half more than the mean of all. A hot
/// part must not lift one of them to over twice that mean, where its callers notice the pauses, though by the mean of those
/// that take work it could.
#[test]
fn hot_part_stays_below_the_bound_beside_an_evacuation() {
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
    assert!(added >= 3, "some room for a hot part");
    assert!(
        f64::from(pool[first].running) <= 2.0 * mean + 1.0,
        "{:?}",
        pool[first]
    );
}
