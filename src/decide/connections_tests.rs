use std::collections::VecDeque;

use test_case::test_case;

use crate::decide::connections::{ConnectionQuota, quota};

/// What an upstream of clerks' requests takes, and how many routers send there.
const MAX_CONNECTIONS: u32 = 110;
const ROUTERS: usize = 9;
/// A kept connection is dropped after this long without use.
const IDLE_MS: u64 = 3_000;
const RUNS_MS: u64 = 20;

/// Connections reset by an upstream to which `per_s` requests a second come for four seconds, each over
/// a fresh connection, where a router keeps what its `quota` lets it.
fn resets(per_s: u64, quota: ConnectionQuota) -> u32 {
    let mut kept: Vec<VecDeque<u64>> = vec![VecDeque::new(); ROUTERS];
    let mut running: VecDeque<(u64, usize)> = VecDeque::new();
    let mut resets = 0;
    for n in 0..4 * per_s {
        let now_ms = n * 1_000 / per_s;
        while running.front().is_some_and(|(end_ms, _)| *end_ms <= now_ms) {
            let (end_ms, router) = running.pop_front().unwrap();
            if kept[router].len() < quota.idle as usize {
                kept[router].push_back(end_ms + IDLE_MS);
            }
        }
        for kept in &mut kept {
            kept.retain(|until_ms| *until_ms > now_ms);
        }
        let idle: usize = kept.iter().map(VecDeque::len).sum();
        if idle + running.len() >= MAX_CONNECTIONS as usize {
            resets += 1;
            continue;
        }
        running.push_back((now_ms + RUNS_MS, usize::try_from(n).unwrap() % ROUTERS));
    }
    resets
}

/// Tickets come five times as often as usual, some 50 a second at each upstream, which runs two at a
/// time with ease. With sixteen idle connections a router it is full of these and resets tickets;
/// with its share each router leaves it room.
#[test]
fn burst_of_tickets_meets_no_resets() {
    let sixteen = ConnectionQuota {
        open: u32::MAX,
        idle: 16,
    };
    assert!(resets(53, sixteen) > 10);
    assert_eq!(resets(53, quota(Some(MAX_CONNECTIONS), ROUTERS)), 0);
}

/// However many routers and whatever the upstream takes, together they stay below it, but for the two
/// that each router may always have.
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
