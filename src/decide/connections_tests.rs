use std::collections::VecDeque;

use test_case::test_case;

use crate::decide::connections::{ConnectionQuota, quota};

/// Connections that an upstream accepts, and the number of routers that send to it.
const MAX_CONNECTIONS: u32 = 110;
const ROUTERS: usize = 9;
/// An idle connection is closed after this time.
const IDLE_MS: u64 = 3_000;
const RUNS_MS: u64 = 20;

/// Returns how many connections an upstream resets within four seconds at `per_s` requests a
/// second, each over a fresh connection, where a router keeps idle ones up to its `quota`.
fn resets(per_s: u64, quota: ConnectionQuota) -> u32 {
    let mut idle_until: Vec<VecDeque<u64>> = vec![VecDeque::new(); ROUTERS];
    let mut running: VecDeque<(u64, usize)> = VecDeque::new();
    let mut resets = 0;
    for n in 0..4 * per_s {
        let now_ms = n * 1_000 / per_s;
        while running.front().is_some_and(|(end_ms, _)| *end_ms <= now_ms) {
            let (end_ms, router) = running.pop_front().unwrap();
            if idle_until[router].len() < quota.idle as usize {
                idle_until[router].push_back(end_ms + IDLE_MS);
            }
        }
        for idle_until in &mut idle_until {
            idle_until.retain(|until_ms| *until_ms > now_ms);
        }
        let idle: usize = idle_until.iter().map(VecDeque::len).sum();
        if idle + running.len() >= MAX_CONNECTIONS as usize {
            resets += 1;
            continue;
        }
        running.push_back((now_ms + RUNS_MS, usize::try_from(n).unwrap() % ROUTERS));
    }
    resets
}

/// Requests that may run only once arrive at five times their usual rate, some 50 a second at each
/// upstream, which easily runs two at a time. With sixteen idle connections per router the upstream
/// is full and resets requests; with its share each router leaves enough connections free.
#[test]
fn burst_of_non_idempotent_requests_meets_no_resets() {
    let sixteen = ConnectionQuota {
        open: u32::MAX,
        idle: 16,
    };
    assert!(resets(53, sixteen) > 10);
    assert_eq!(resets(53, quota(Some(MAX_CONNECTIONS), ROUTERS)), 0);
}

/// The fleet stays below an upstream's limit at any size, except for the two connections that each
/// router may always have.
#[test_case(370, 9)]
#[test_case(110, 9)]
#[test_case(590, 88)]
#[test_case(640, 300)]
fn fleet_stays_below(max: u32, routers: usize) {
    let own = quota(Some(max), routers);
    let fleet = own.open * u32::try_from(routers).unwrap();
    assert!(fleet <= max || own.open == 2, "{own:?}");
    assert!(own.idle >= 1 && own.idle <= own.open);
}
