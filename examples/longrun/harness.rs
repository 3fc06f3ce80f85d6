//! The fleet under test, the clock, and the tasks that apply load and faults.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::Args;
use crate::ledger::Ledger;
use crate::support::{Fleet, Options, get, sleep_ms};
use crate::verdict::Verdict;
use crate::{faults, load, verdict};

const CALLERS: u64 = 60;
const SMALL_CALLERS: u64 = 20;

/// State shared by all tasks of the run.
pub(crate) struct Harness {
    /// Must not be borrowed across an await.
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) ledger: RefCell<Ledger>,
    pub(crate) callers: Vec<SocketAddr>,
    pub(crate) admins: Vec<SocketAddr>,
    pub(crate) operators: Vec<SocketAddr>,
    pub(crate) engines: Vec<SocketAddr>,
    pub(crate) plains: Vec<SocketAddr>,
    pub(crate) platform: SocketAddr,
    /// Number of starts of each router.
    pub(crate) starts: RefCell<Vec<u32>>,
    /// Whether callers and operators continue.
    pub(crate) load_active: Cell<bool>,
    /// Number of requests still to send with the text that crashes engines.
    pub(crate) crash_requests_left: Cell<u32>,
    start: Instant,
    pub(crate) end_ms: u64,
}

impl Harness {
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub(crate) fn is_over(&self) -> bool {
        self.now_ms() >= self.end_ms
    }

    pub(crate) fn count_fault(&self, fault: &'static str) {
        *self.ledger.borrow_mut().faults.entry(fault).or_default() += 1;
    }

    /// Returns the version in force at a router, or `None` if the router doesn't respond.
    pub(crate) async fn version(&self, router: usize) -> Option<u64> {
        let ask = get(self.admins[router], "/readyz");
        let text = compio::time::timeout(Duration::from_millis(500), ask).await;
        let text = text.ok()??;
        text.trim().rsplit(' ').next()?.parse().ok()
    }
}

/// Returns the size of one of the users' fleets, chosen by the seed.
fn options(args: &Args) -> Options {
    let (routers, engines, plains) = match (args.small, args.seed % 2) {
        (true, _) => (4, 4, 2),
        (false, 0) => (9, 12, 3),
        (false, _) => (9, 18, 3),
    };
    let mut options = Options::new(routers, engines, plains);
    options.engine = load::engine_knobs().to_string();
    options.engine_relays = true;
    options.platform_relays = true;
    options
}

/// Runs load and faults until the time is up, then clears all faults and evaluates the records.
pub(crate) async fn run(args: &Args) -> Verdict {
    let options = options(args);
    let shape = options.shape;
    let fleet = Fleet::start_with(options).await;
    let harness = Rc::new(Harness {
        callers: (0..shape.routers).map(|i| fleet.caller(i)).collect(),
        admins: (0..shape.routers).map(|i| fleet.admin(i)).collect(),
        operators: (0..shape.routers).map(|i| fleet.operator_addr(i)).collect(),
        engines: fleet.engines.iter().map(|p| p.addr).collect(),
        plains: fleet.plains.iter().map(|p| p.addr).collect(),
        platform: fleet.platform.addr,
        starts: RefCell::new(vec![1; usize::from(shape.routers)]),
        fleet: RefCell::new(fleet),
        ledger: RefCell::default(),
        load_active: Cell::new(true),
        crash_requests_left: Cell::new(0),
        start: Instant::now(),
        end_ms: args.seconds * 1_000,
    });
    let mut rng = SmallRng::seed_from_u64(args.seed);
    let callers = if args.small { SMALL_CALLERS } else { CALLERS };
    let callers: Vec<_> = (0..callers)
        .map(|n| load::caller(harness.clone(), n, SmallRng::seed_from_u64(rng.random())))
        .collect();
    let operators =
        (0..2).map(|n| load::operator(&harness, n, SmallRng::seed_from_u64(rng.random())));
    let operators: Vec<_> = operators.collect();
    let watches = (0..harness.admins.len()).map(|i| load::watch_version(&harness, i));
    let faults = async {
        faults::run(&harness, rng).await;
        faults::clear_all(&harness).await;
        // Callers continue for 2 s after the faults are cleared.
        sleep_ms(2_000).await;
        harness.load_active.set(false);
    };
    futures_util::join!(
        join_all(callers),
        join_all(operators),
        join_all(watches),
        load::watch_skew(&harness),
        faults,
    );
    if args.keep {
        harness.fleet.borrow_mut().dir.disable_cleanup(true);
        println!(
            "output kept in {}",
            harness.fleet.borrow().dir.path().display()
        );
    }
    verdict::evaluate(&harness, args).await
}
