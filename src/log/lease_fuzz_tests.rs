//! Fuzz tests of leases: at most one holder at a time, and orders arrive in the order of their
//! fencing numbers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use test_case::test_case;

use crate::log::fake_tests::{FakeLog, Fault, Script, step};
use crate::log::fuzz_tests::{check_mutation_detected, check_no_failure, count_step, pick};
use crate::log::lease::{Lease, LeaseError, LeaseManager, TERM_MS};
use crate::log::timer::{Now, Timer};
use crate::mutation::Mutation;
use crate::util::Name;

const HOSTS: u64 = 3;
const RETENTION_MS: u64 = 20 * TERM_MS;
/// Maximum time between the last check of an order and its arrival at the upstream.
const LONGEST_PAUSE_MS: u64 = TERM_MS / 3;

#[derive(Clone, Debug)]
enum Step {
    /// A host starts to acquire or renew the lease.
    Acquire {
        host: u8,
    },
    /// The log executes some of a host's calls, the last one with a fault.
    Execute {
        host: u8,
        count: u8,
        fault: Fault,
    },
    /// A host completes its current operation, with a fault in one of the log calls.
    Complete {
        host: u8,
        after: u8,
        fault: Fault,
    },
    /// A host that holds a lease sends an order, which arrives after a delay.
    Order {
        host: u8,
        delay: u8,
    },
    /// A host starts to end its lease.
    End {
        host: u8,
    },
    /// A host is replaced by a new incarnation.
    Crash {
        host: u8,
    },
    Outage(bool),
    /// The log comes back from an older copy, without its newest records.
    Restore {
        lost: u8,
    },
    /// A delayed append takes effect.
    DeliverDelayed(u8),
    Advance(u8),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        6 => Just(Fault::None),
        1 => Just(Fault::Refused),
        1 => Just(Fault::ReplyLost),
        1 => Just(Fault::Doubled),
        1 => Just(Fault::Delayed),
        1 => (1..4_u8).prop_map(Fault::Stale),
    ]
}

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        prop_oneof![
            8 => pick().prop_map(|host| Step::Acquire { host }),
            8 => (pick(), 1..4_u8, fault())
                .prop_map(|(host, count, fault)| Step::Execute { host, count, fault }),
            12 => (pick(), 0..3_u8, fault())
                .prop_map(|(host, after, fault)| Step::Complete { host, after, fault }),
            6 => (pick(), pick()).prop_map(|(host, delay)| Step::Order { host, delay }),
            2 => pick().prop_map(|host| Step::End { host }),
            1 => pick().prop_map(|host| Step::Crash { host }),
            1 => prop::bool::weighted(0.3).prop_map(Step::Outage),
            1 => (0..6_u8).prop_map(|lost| Step::Restore { lost }),
            2 => pick().prop_map(Step::DeliverDelayed),
            6 => pick().prop_map(Step::Advance),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// A monotonic clock that runs a little fast or slow.
#[derive(Clone)]
struct FakeClock {
    now_ms: Rc<Cell<u64>>,
    per_thousand: u64,
}

impl Timer for FakeClock {
    fn now(&self) -> Now {
        Now {
            wall_ms: 0,
            mono_ms: self.now_ms.get() * self.per_thousand / 1_000,
        }
    }

    async fn sleep(&self, _: Duration) {}
}

type FakeLeaseManager = LeaseManager<FakeLog, FakeClock>;
type Done = (FakeLeaseManager, Option<Result<Lease, LeaseError>>);

struct Host {
    leases: Option<FakeLeaseManager>,
    work: Option<Script<Done>>,
    lease: Option<Lease>,
    /// Until this time the upstream may still receive an order of the previous holder.
    orders_from_ms: u64,
}

struct Simulation {
    log: FakeLog,
    now_ms: Rc<Cell<u64>>,
    hosts: Vec<Host>,
    incarnations: u64,
    /// Arrival times and fencing numbers of orders that haven't arrived.
    in_transit: Vec<(u64, u64)>,
    /// One more than the greatest fencing number of a granted lease.
    last_lease: u64,
    /// The greatest fencing number of an order that has arrived.
    last_order: u64,
}

impl Simulation {
    fn new() -> Self {
        let log = FakeLog::new(RETENTION_MS);
        let now_ms = Rc::new(Cell::new(1));
        let mut sim = Self {
            log,
            now_ms,
            hosts: Vec::new(),
            incarnations: 0,
            in_transit: Vec::new(),
            last_lease: 0,
            last_order: 0,
        };
        sim.hosts = (0..HOSTS).map(|at| sim.host(at)).collect();
        sim
    }

    fn host(&mut self, at: u64) -> Host {
        self.incarnations += 1;
        let clock = FakeClock {
            now_ms: self.now_ms.clone(),
            per_thousand: 996 + 4 * at,
        };
        let name = format!("host-{at}#{}", self.incarnations);
        Host {
            leases: Some(LeaseManager::new(self.log.actor(at), clock, name)),
            work: None,
            lease: None,
            orders_from_ms: 0,
        }
    }

    fn acquire(&mut self, at: usize) {
        let Some(mut leases) = self.hosts[at].leases.take() else {
            return;
        };
        self.hosts[at].work = Some(Box::pin(async move {
            let taken = leases.acquire(&Name::from("engine-1")).await;
            (leases, Some(taken))
        }));
        self.advance(at);
    }

    fn end(&mut self, at: usize) {
        if self.hosts[at].leases.is_none() {
            return;
        }
        let Some(lease) = self.hosts[at].lease.take() else {
            return;
        };
        let Some(mut leases) = self.hosts[at].leases.take() else {
            return;
        };
        self.hosts[at].work = Some(Box::pin(async move {
            // If the append fails, the lease expires.
            let _ = leases.release(&lease).await;
            (leases, None)
        }));
        self.advance(at);
    }

    fn execute(&mut self, at: usize, fault: Fault) {
        if self.log.execute(at as u64, fault) {
            self.advance(at);
        }
    }

    fn complete(&mut self, at: usize, after: u8, fault: Fault) {
        (0..after).for_each(|_| self.execute(at, Fault::None));
        self.execute(at, fault);
        while self.hosts[at].work.is_some() {
            self.execute(at, Fault::None);
        }
    }

    fn advance(&mut self, at: usize) {
        let done = self.hosts[at].work.as_mut().and_then(step);
        let Some((leases, taken)) = done else {
            return;
        };
        let host = &mut self.hosts[at];
        host.work = None;
        host.leases = Some(leases);
        if let Some(Ok(lease)) = taken {
            assert!(
                lease.fencing + 1 > self.last_lease,
                "the fencing number didn't grow"
            );
            self.last_lease = lease.fencing + 1;
            if lease.taken_over {
                // An order of the previous holder may not have arrived yet.
                host.orders_from_ms = self.now_ms.get() + LONGEST_PAUSE_MS;
            }
            host.lease = Some(lease);
        }
        self.check();
    }

    fn holds(&self, at: usize) -> bool {
        let host = &self.hosts[at];
        let clock = FakeClock {
            now_ms: self.now_ms.clone(),
            per_thousand: 996 + 4 * at as u64,
        };
        let until = host.lease.as_ref().map(|l| l.until_ms);
        until.is_some_and(|until_ms| clock.now().mono_ms < until_ms)
    }

    /// Checks that at most one host considers itself the holder.
    fn check(&self) {
        let holders = (0..self.hosts.len()).filter(|at| self.holds(*at)).count();
        assert!(holders <= 1, "{holders} hosts hold the lease");
    }

    fn order(&mut self, at: usize, delay: u8) {
        let now_ms = self.now_ms.get();
        if !self.holds(at) || now_ms < self.hosts[at].orders_from_ms {
            return;
        }
        let host = &mut self.hosts[at];
        let Some(lease) = &host.lease else {
            return;
        };
        let delay_ms = u64::from(delay) * LONGEST_PAUSE_MS / 256;
        // The next order is sent after the answer to this one.
        host.orders_from_ms = now_ms + delay_ms;
        self.in_transit.push((now_ms + delay_ms, lease.fencing));
    }

    /// Delivers the orders that are due. The upstream ignores fencing numbers: only the waiting
    /// time prevents an order of a previous holder from arriving after one of its successor.
    fn deliver_orders(&mut self) {
        self.in_transit.sort_unstable();
        let now_ms = self.now_ms.get();
        while let Some((at_ms, fencing)) = self.in_transit.first().copied()
            && at_ms <= now_ms
        {
            self.in_transit.remove(0);
            assert!(
                fencing >= self.last_order,
                "an old order arrived after a new one"
            );
            self.last_order = fencing;
        }
    }
}

struct Leases;

impl StateMachineTest for Leases {
    type SystemUnderTest = Simulation;
    type Reference = Steps;

    fn init_test((): &()) -> Simulation {
        Simulation::new()
    }

    fn apply(mut sim: Simulation, (): &(), step: Step) -> Simulation {
        count_step();
        let at = |n: u8| usize::from(n) % usize::try_from(HOSTS).unwrap();
        match step {
            Step::Acquire { host } => sim.acquire(at(host)),
            Step::Execute { host, count, fault } => {
                (1..count).for_each(|_| sim.execute(at(host), Fault::None));
                sim.execute(at(host), fault);
            }
            Step::Complete { host, after, fault } => sim.complete(at(host), after, fault),
            Step::Order { host, delay } => sim.order(at(host), delay),
            Step::End { host } => sim.end(at(host)),
            Step::Crash { host } => {
                let at = at(host);
                sim.hosts[at] = sim.host(at as u64);
            }
            Step::Outage(outage) => sim.log.set_outage(outage),
            Step::Restore { lost } => sim.log.restore(lost.into()),
            Step::DeliverDelayed(n) => sim.log.deliver_delayed(n.into()),
            Step::Advance(n) => {
                let by_ms = u64::from(n) * TERM_MS / 200;
                sim.now_ms.set(sim.now_ms.get() + by_ms);
                sim.log.set_now(sim.now_ms.get());
                sim.deliver_orders();
            }
        }
        sim
    }

    fn check_invariants(sim: &Simulation, (): &()) {
        sim.check();
    }
}

/// Hosts compete for a lease while the log loses replies, delays and duplicates appends and returns
/// stale reads, while it comes back from older copies, and while holders pause beyond their term, crash and restart.
#[test]
fn lease_has_at_most_one_holder() {
    check_no_failure::<Leases>("leases");
}

#[test_case(Mutation::GrantWithUnreadRecords)]
#[test_case(Mutation::SkipTakeoverWait)]
#[test_case(Mutation::TermFromGrantRead)]
#[test_case(Mutation::SkipRestoreWait)]
fn mutation_is_detected(fault: Mutation) {
    check_mutation_detected::<Leases>("leases", fault);
}
