//! Value of exact counts for a small pool of short requests behind many routers.
//!
//! Requests that end before the routers have exchanged their counts can't be counted by all. A
//! router that uses its own counts is compared with one that knows what every upstream runs at that
//! moment. The latter would take a permit from a home for each request, at the cost of a round trip
//! and of a host that can fail.

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
const DURATION_US: u64 = 60_000_000;

/// Which counts a router chooses by.
#[derive(Clone, Copy)]
enum ChooseBy {
    /// Its own counts, random among equals.
    Own,
    /// All requests that run and wait there now.
    Exact,
}

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
struct Run {
    ends_us: u64,
    upstream: usize,
    router: usize,
    received_us: u64,
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
    fn choose(&mut self, choose_by: ChooseBy, router: usize, tried: &[usize]) -> Option<usize> {
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
        let counts = match choose_by {
            ChooseBy::Own => Counts::Stale,
            ChooseBy::Exact => Counts::Current,
        };
        by_load(&candidates, counts, &mut self.rng)
    }

    fn start(&mut self, upstream: usize, router: usize, received_us: u64, now_us: u64) {
        self.running[upstream] += 1;
        let took_us = WORK_US * self.rng.random_range(70..130) / 100;
        self.runs.push(Reverse(Run {
            ends_us: now_us + took_us,
            upstream,
            router,
            received_us,
        }));
    }

    fn arrive(&mut self, choose_by: ChooseBy, router: usize, now_us: u64) {
        let mut tried = Vec::new();
        while let Some(at) = self.choose(choose_by, router, &tried) {
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
            if run.ends_us - run.received_us <= OBJECTIVE_US {
                self.in_time += 1;
            } else {
                self.late += 1;
            }
            if let Some((router, received_us)) = self.waiting[run.upstream].pop_front() {
                self.start(run.upstream, router, received_us, run.ends_us);
            }
        }
    }
}

/// Returns the share of requests not answered in time at `load` times the pool's capacity.
fn missed(choose_by: ChooseBy, routers: usize, load: f64, seed: u64) -> f64 {
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
    while now_us < DURATION_US as f64 {
        now_us += -(1.0 - pool.rng.random::<f64>()).ln() / per_us;
        pool.end_until(now_us as u64);
        let router = pool.rng.random_range(0..routers);
        pool.arrive(choose_by, router, now_us as u64);
    }
    pool.end_until(u64::MAX);
    let missed = f64::from(pool.late + pool.refused);
    missed / (missed + f64::from(pool.in_time))
}

/// Requests of 60 ms arrive at four upstreams through fleets of several sizes, at up to nine tenths
/// of the capacity. By its own counts a router sends almost at random, yet no more requests are
/// late than with exact counts: the pool's queues are short compared with the objective.
#[test_case(9)]
#[test_case(71)]
#[test_case(390)]
fn own_counts_serve_as_well_as_exact_ones(routers: usize) {
    for load in [0.3, 0.6, 0.9] {
        let (own, exact) = (
            missed(ChooseBy::Own, routers, load, 1),
            missed(ChooseBy::Exact, routers, load, 1),
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

/// At and above the capacity exact counts gain little, because admission then decides.
#[test]
fn exact_counts_gain_little_under_overload() {
    for load in [0.95, 1.0, 1.1, 1.3, 1.5] {
        let (own, exact) = (
            missed(ChooseBy::Own, 71, load, 1),
            missed(ChooseBy::Exact, 71, load, 1),
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
