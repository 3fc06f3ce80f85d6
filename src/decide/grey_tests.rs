use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::decide::Name;
use crate::decide::ejection::{DEFAULT_SHARE, Ejector};
use crate::decide::grey::{Outcomes, grey};
use crate::decide::spread::{Candidate, Counts, by_load};

const UPSTREAMS: usize = 12;
const ROUTERS: usize = 9;
/// Requests a second to the whole pool, and the duration of the traffic.
const PER_S: u64 = 150;
const SECONDS: u64 = 10;
/// Interval at which routers exchange counts and look for grey upstreams.
const REPORT_INTERVAL_MS: u64 = 200;

/// Returns the share of callers that get a failure while `greys` upstreams fail `share` of their
/// requests, with or without ejection of grey upstreams.
fn failures(greys: usize, share: f64, ejects: bool) -> f64 {
    let mut rng = SmallRng::seed_from_u64(5);
    let pool: Vec<Name> = (0..UPSTREAMS).map(|i| format!("u{i}").into()).collect();
    let mut ejectors = vec![Ejector::default(); ROUTERS];
    let mut counts = [Outcomes::default(); UPSTREAMS];
    let (requests, mut failed, mut checked_ms) = (PER_S * SECONDS, 0, 0);
    for n in 0..requests {
        let now_ms = 1 + n * 1_000 / PER_S;
        let ejector = &mut ejectors[rng.random_range(0..ROUTERS)];
        let candidate = |name: &Name| Candidate {
            excluded: ejector.is_ejected(name, now_ms),
            ..Candidate::default()
        };
        let candidates: Vec<Candidate> = pool.iter().map(candidate).collect();
        let at = by_load(&candidates, Counts::Current, &mut rng).unwrap();
        ejector.admits(&pool[at], now_ms);
        let fails = at < greys && rng.random_bool(share);
        if fails {
            failed += 1;
            ejector.failed(&pool[at], &pool, DEFAULT_SHARE, now_ms);
        } else {
            ejector.answered(&pool[at], 20, &pool, DEFAULT_SHARE, now_ms);
        }
        counts[at].add(1, fails.into(), now_ms);
        if ejects && now_ms >= checked_ms + REPORT_INTERVAL_MS {
            checked_ms = now_ms;
            let now = counts.map(|c| c.at(now_ms));
            for at in grey(&now, 0) {
                for ejector in &mut ejectors {
                    ejector.eject_grey(&pool[at], &pool, DEFAULT_SHARE, now_ms);
                }
            }
        }
    }
    f64::from(failed) / requests as f64
}

/// Three of twelve upstreams fail two fifths of their requests, rarely many in a row. Without
/// detection they fail one caller in ten; with it, less than a third as many.
#[test]
fn grey_upstreams_are_ejected() {
    let without = failures(3, 0.4, false);
    let with = failures(3, 0.4, true);
    assert!(without > 0.06, "{without}");
    assert!(with < without / 3.0, "{with} of {without}");
}

/// Every upstream fails one request in seven by the nature of the service: ejecting any would only
/// load the others.
#[test]
fn failing_service_keeps_its_upstreams() {
    let mut rng = SmallRng::seed_from_u64(6);
    let mut counts = [Outcomes::default(); 3];
    for now_ms in (0..60_000).step_by(100) {
        for count in &mut counts {
            count.add(1, rng.random_bool(0.14).into(), now_ms);
        }
        let now = counts.map(|c| c.at(now_ms));
        assert!(grey(&now, 0).is_empty(), "{now:?}");
    }
}

/// Two failures during a restart, and no other call to the upstream: too few for a failure share.
#[test]
fn two_failures_are_not_grey() {
    let mut counts = [Outcomes::default(); 4];
    counts[0].add(2, 2, 0);
    assert!(grey(&counts, 0).is_empty());
    counts[0].add(1, 1, 0);
    assert_eq!(grey(&counts, 0), [0]);
}

/// After its ejection time an upstream is rated by its new calls.
#[test]
fn old_failures_decay() {
    let mut counts = [Outcomes::default(); 4];
    counts[0].add(12, 5, 0);
    assert_eq!(grey(&counts, 0), [0]);
    let later = counts.map(|c| c.at(crate::decide::ejection::EJECTION_MS));
    assert!(grey(&later, 0).is_empty());
}
