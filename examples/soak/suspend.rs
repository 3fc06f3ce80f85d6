//! Suspends routers: long freezes, and cycles of short stops as on a host that lacks processor.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use crate::outages::{Outage, Outages};
use crate::support::routed::RoutedFleet;
use crate::support::{ProcessHandle, sleep_ms, wall_ms};

/// Maximum pause between two shortages.
const MAX_PAUSE_MS: u64 = 3_000;
/// Durations of a shortage and of a long freeze.
const SHORTAGE_MS: std::ops::Range<u64> = 1_500..6_000;
const FREEZE_MS: std::ops::Range<u64> = 1_000..6_500;
/// Durations of one stop and one run of a router that lacks processor.
const STOPPED_MS: std::ops::Range<u64> = 50..950;
const RUNNING_MS: std::ops::Range<u64> = 20..150;
/// Interval at which a long freeze checks whether the run is over.
const CHECK_MS: u64 = 50;

/// One reason to keep a router suspended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hold {
    pub(crate) router: usize,
    start: u32,
}

struct Router {
    process: ProcessHandle,
    /// Number of the process's start.
    start: u32,
    holds: u32,
}

/// Suspends each router for as long as there is a reason to. Clones share the routers.
#[derive(Clone)]
pub(crate) struct Suspender {
    routers: Rc<RefCell<Vec<Router>>>,
    outages: Outages,
}

impl Suspender {
    pub(crate) fn new(routed: &RoutedFleet, outages: Outages) -> Self {
        let routers = routed.routers.iter().map(|router| Router {
            process: router.handle(),
            start: 0,
            holds: 0,
        });
        Self {
            routers: Rc::new(RefCell::new(routers.collect())),
            outages,
        }
    }

    /// Suspends a router until all its holds are released.
    pub(crate) fn hold(&self, router: usize) -> Hold {
        let state = &mut self.routers.borrow_mut()[router];
        if state.holds == 0 {
            self.outages.begin(Outage::RouterSuspended(router));
            state.process.freeze();
        }
        state.holds += 1;
        Hold {
            router,
            start: state.start,
        }
    }

    pub(crate) fn release(&self, hold: Hold) {
        let state = &mut self.routers.borrow_mut()[hold.router];
        if state.start != hold.start {
            return;
        }
        state.holds -= 1;
        if state.holds == 0 {
            state.process.unfreeze();
            self.outages.end(Outage::RouterSuspended(hold.router));
        }
    }

    /// Takes over the new process of a router; holds of the old one no longer count. Must be called
    /// before anything else runs after the old process was waited for.
    pub(crate) fn replace(&self, router: usize, process: ProcessHandle) {
        let state = &mut self.routers.borrow_mut()[router];
        *state = Router {
            process,
            start: state.start + 1,
            holds: 0,
        };
        self.outages.end(Outage::RouterSuspended(router));
    }

    /// Causes shortages and freezes until `until`, then leaves all routers running.
    pub(crate) async fn run_until(self, seed: u64, until: Instant) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = self.routers.borrow().len();
        loop {
            sleep_until(rng.random_range(0..MAX_PAUSE_MS), until).await;
            if Instant::now() >= until {
                return;
            }
            let mut routers: Vec<usize> = (0..count).collect();
            routers.shuffle(&mut rng);
            match rng.random_range(0..6) {
                0 | 1 => {
                    // Those that aren't frozen are not excused.
                    routers.truncate(rng.random_range(1..=count.div_ceil(2)));
                    self.freeze(&routers, &mut rng, until).await;
                }
                2 => self.shorten(&routers, &mut rng, until).await,
                3 => {
                    routers.truncate(rng.random_range(1..=count));
                    self.shorten(&routers, &mut rng, until).await;
                }
                _ => self.shorten(&routers[..1], &mut rng, until).await,
            }
        }
    }

    async fn freeze(&self, routers: &[usize], rng: &mut SmallRng, until: Instant) {
        let duration_ms = rng.random_range(FREEZE_MS);
        println!(
            "{}: routers {routers:?} frozen for {duration_ms} ms",
            wall_ms()
        );
        let holds: Vec<Hold> = routers.iter().map(|r| self.hold(*r)).collect();
        sleep_until(duration_ms, until).await;
        for hold in holds {
            self.release(hold);
        }
    }

    /// Lets these routers run in short cycles for some seconds.
    async fn shorten(&self, routers: &[usize], rng: &mut SmallRng, until: Instant) {
        let duration_ms = rng.random_range(SHORTAGE_MS);
        println!(
            "{}: routers {routers:?} short of processor for {duration_ms} ms",
            wall_ms()
        );
        let end = until.min(Instant::now() + Duration::from_millis(duration_ms));
        let cycles = routers
            .iter()
            .map(|router| self.cycle(*router, SmallRng::from_rng(rng), end));
        join_all(cycles.collect::<Vec<_>>()).await;
    }

    async fn cycle(&self, router: usize, mut rng: SmallRng, end: Instant) {
        self.outages.begin(Outage::RouterShort(router));
        while Instant::now() < end {
            let hold = self.hold(router);
            sleep_ms(rng.random_range(STOPPED_MS)).await;
            self.release(hold);
            sleep_ms(rng.random_range(RUNNING_MS)).await;
        }
        self.outages.end(Outage::RouterShort(router));
    }
}

/// Sleeps for a time, but not much beyond `until`.
pub(crate) async fn sleep_until(ms: u64, until: Instant) {
    let end = until.min(Instant::now() + Duration::from_millis(ms));
    while Instant::now() < end {
        let left_ms = end.saturating_duration_since(Instant::now()).as_millis();
        sleep_ms(
            u64::try_from(left_ms)
                .unwrap_or(CHECK_MS)
                .clamp(1, CHECK_MS),
        )
        .await;
    }
}
