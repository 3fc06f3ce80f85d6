//! A small pool of short requests before many routers: what exact counts would be worth.
//!
//! Requests that are over before the routers have told one another of them can't be counted by all. A router that goes by
//! its own counts is held against one that knows what every upstream runs at that moment, as a permit from a home for each
//! request would have it, at the cost of a round trip and a host that can fail.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

use super::spread::{Candidate, Counts, by_load};

const UPSTREAMS: usize = 4;
const SLOTS: u32 = 6;
const QUEUE: usize = 24;
const WORK_US: u64 = 60_000;
const OBJECTIVE_US: u64 = 300_000;
const DAY_US: u64 = 60_000_000;

/// How a router chooses.
#[derive(Clone, Copy)]
enum Way {
    /// The least of its own, chance among equals.
    Own,
    /// The least of all that run and wait there now.
    Exact,
}

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
struct Run {
    ends_us: u64,
    upstream: usize,
    router: usize,
    came_us: u64,
}

struct Pool {
    running: [u32; UPSTREAMS],
    waiting: [VecDeque<(usize, u64)>; UPSTREAMS],
    runs: BinaryHeap<Reverse<Run>>,
    own: Vec<[u32; UPSTREAMS]>,
    rng: SmallRng,
    in_time: u32,
    late: u32,
    refused: u32,
}

impl Pool {
    fn choose(&mut self, way: Way, router: usize, tried: &[usize]) -> Option<usize> {
        let candidate = |at: usize| {
            let waiting = u32::try_from(self.waiting[at].len()).unwrap();
            Candidate {
                running: self.running[at] + waiting,
                own: self.own[router][at],
                excluded: tried.contains(&at),
                ..Candidate::default()
            }
        };
        let candidates: Vec<Candidate> = (0..UPSTREAMS).map(candidate).collect();
        let counts = match way {
            Way::Own => Counts::Stale,
            Way::Exact => Counts::Current,
        };
        by_load(&candidates, counts, &mut self.rng)
    }

    fn start(&mut self, upstream: usize, router: usize, came_us: u64, now_us: u64) {
        self.running[upstream] += 1;
        let took_us = WORK_US * self.rng.random_range(70..130) / 100;
        self.runs.push(Reverse(Run {
            ends_us: now_us + took_us,
            upstream,
            router,
            came_us,
        }));
    }

    fn arrive(&mut self, way: Way, router: usize, now_us: u64) {
        let mut tried = Vec::new();
        while let Some(at) = self.choose(way, router, &tried) {
            if self.running[at] < SLOTS {
                self.own[router][at] += 1;
                return self.start(at, router, now_us, now_us);
            }
            if self.waiting[at].len() < QUEUE {
                self.own[router][at] += 1;
                return self.waiting[at].push_back((router, now_us));
            }
            tried.push(at);
        }
        self.refused += 1;
    }

    fn end_until(&mut self, now_us: u64) {
        while let Some(Reverse(run)) = self.runs.peek().copied()
            && run.ends_us <= now_us
        {
            self.runs.pop();
            self.running[run.upstream] -= 1;
            self.own[run.router][run.upstream] -= 1;
            if run.ends_us - run.came_us <= OBJECTIVE_US {
                self.in_time += 1;
            } else {
                self.late += 1;
            }
            if let Some((router, came_us)) = self.waiting[run.upstream].pop_front() {
                self.start(run.upstream, router, came_us, run.ends_us);
            }
        }
    }
}

/// The share that isn't answered in time at `load` times what the pool can do.
fn missed(way: Way, routers: usize, load: f64, seed: u64) -> f64 {
    let mut pool = Pool {
        running: [0; UPSTREAMS],
        waiting: Default::default(),
        runs: BinaryHeap::new(),
        own: vec![[0; UPSTREAMS]; routers],
        rng: SmallRng::seed_from_u64(seed),
        in_time: 0,
        late: 0,
        refused: 0,
    };
    let per_us = load * UPSTREAMS as f64 * f64::from(SLOTS) / WORK_US as f64;
    let mut now_us = 0.0_f64;
    while now_us < DAY_US as f64 {
        now_us += -(1.0 - pool.rng.random::<f64>()).ln() / per_us;
        pool.end_until(now_us as u64);
        let router = pool.rng.random_range(0..routers);
        pool.arrive(way, router, now_us as u64);
    }
    pool.end_until(u64::MAX);
    let missed = f64::from(pool.late + pool.refused);
    missed / (missed + f64::from(pool.in_time))
}

/// Tickets of 60 ms come to four upstreams through fleets of any size, up to nine tenths of what these can do. By its own
/// counts alone a router sends almost at random, and no more are late than if it knew all: the pool's queues are
/// short beside the objective.
#[test_case(9)]
#[test_case(71)]
#[test_case(390)]
fn own_counts_serve_as_well_as_exact_ones(routers: usize) {
    for load in [0.3, 0.6, 0.9] {
        let (own, exact) = (
            missed(Way::Own, routers, load, 1),
            missed(Way::Exact, routers, load, 1),
        );
        println!(
            "{routers} routers, load {load}: {own:.3} missed by own counts, {exact:.3} by exact ones"
        );
        assert!(
            own <= exact + 0.01,
            "{own:.3} missed, {exact:.3} by exact counts"
        );
    }
}

/// The same at and above what the pool can do: exact counts win little, as what then counts is who is admitted.
#[test]
fn overload_isnt_a_matter_of_counts() {
    for load in [0.95, 1.0, 1.1, 1.3, 1.5] {
        let (own, exact) = (
            missed(Way::Own, 71, load, 1),
            missed(Way::Exact, 71, load, 1),
        );
        println!(
            "71 routers, load {load}: {own:.3} missed by own counts, {exact:.3} by exact ones"
        );
        assert!(
            own <= exact + 0.05,
            "{own:.3} missed, {exact:.3} by exact counts"
        );
    }
}
