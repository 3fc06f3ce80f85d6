//! Leases against a simple oracle: one holder at a time, and orders that never go back.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use test_case::test_case;

use crate::log::fake_tests::{FakeLog, Fault, Script, step};
use crate::log::fuzz_tests::{count_step, finds, finds_nothing, pick};
use crate::log::lease::{Lease, LeaseError, Lessor, TERM_MS};
use crate::log::timer::{Now, Timer};
use crate::mutation::Mutation;
use crate::util::Name;

const HOSTS: u64 = 3;
const RETENTION_MS: u64 = 20 * TERM_MS;
/// The longest that an order may take from its last check to the upstream.
const LONGEST_PAUSE_MS: u64 = TERM_MS / 3;

#[derive(Clone, Debug)]
enum Step {
    /// A host begins to take or renew the lease.
    Take {
        host: u8,
    },
    /// The log carries out some of a host's calls, the last with a fault.
    Grant {
        host: u8,
        count: u8,
        fault: Fault,
    },
    /// A host goes through what it does with a fault on the way.
    Through {
        host: u8,
        after: u8,
        fault: Fault,
    },
    /// A host that holds a lease sends an order, which takes a while to arrive.
    Order {
        host: u8,
        delay: u8,
    },
    /// A host begins to end its lease.
    End {
        host: u8,
    },
    /// A host is replaced by a new incarnation.
    Crash {
        host: u8,
    },
    Outage(bool),
    /// A delayed append takes effect.
    Land(u8),
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
            8 => pick().prop_map(|host| Step::Take { host }),
            8 => (pick(), 1..4_u8, fault())
                .prop_map(|(host, count, fault)| Step::Grant { host, count, fault }),
            12 => (pick(), 0..3_u8, fault())
                .prop_map(|(host, after, fault)| Step::Through { host, after, fault }),
            6 => (pick(), pick()).prop_map(|(host, delay)| Step::Order { host, delay }),
            2 => pick().prop_map(|host| Step::End { host }),
            1 => pick().prop_map(|host| Step::Crash { host }),
            1 => prop::bool::weighted(0.3).prop_map(Step::Outage),
            2 => pick().prop_map(Step::Land),
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

    async fn pause(&self, _: Duration) {}
}

type FakeLessor = Lessor<FakeLog, FakeClock>;
type Done = (FakeLessor, Option<Result<Lease, LeaseError>>);

struct Host {
    lessor: Option<FakeLessor>,
    work: Option<Script<Done>>,
    lease: Option<Lease>,
    /// Before this the upstream may still receive a predecessor's order.
    orders_from_ms: u64,
}

struct World {
    log: FakeLog,
    now_ms: Rc<Cell<u64>>,
    hosts: Vec<Host>,
    incarnations: u64,
    /// Arrival time and fencing number of orders under way.
    sent: Vec<(u64, u64)>,
    /// The greatest fencing number of a lease held, and of an order arrived.
    last_lease: u64,
    last_order: u64,
}

impl World {
    fn new() -> Self {
        let log = FakeLog::new(RETENTION_MS);
        let now_ms = Rc::new(Cell::new(1));
        let mut world = Self {
            log,
            now_ms,
            hosts: Vec::new(),
            incarnations: 0,
            sent: Vec::new(),
            last_lease: 0,
            last_order: 0,
        };
        world.hosts = (0..HOSTS).map(|at| world.host(at)).collect();
        world
    }

    fn host(&mut self, at: u64) -> Host {
        self.incarnations += 1;
        let clock = FakeClock {
            now_ms: self.now_ms.clone(),
            per_thousand: 996 + 4 * at,
        };
        let name = format!("host-{at}#{}", self.incarnations);
        Host {
            lessor: Some(Lessor::new(self.log.actor(at), clock, name)),
            work: None,
            lease: None,
            orders_from_ms: 0,
        }
    }

    fn take(&mut self, at: usize) {
        let Some(mut lessor) = self.hosts[at].lessor.take() else {
            return;
        };
        self.hosts[at].work = Some(Box::pin(async move {
            let taken = lessor.take(&Name::from("engine-1")).await;
            (lessor, Some(taken))
        }));
        self.advance(at);
    }

    fn end(&mut self, at: usize) {
        if self.hosts[at].lessor.is_none() {
            return;
        }
        let Some(lease) = self.hosts[at].lease.take() else {
            return;
        };
        let Some(mut lessor) = self.hosts[at].lessor.take() else {
            return;
        };
        self.hosts[at].work = Some(Box::pin(async move {
            // Unended, the lease runs out.
            let _ = lessor.end(&lease).await;
            (lessor, None)
        }));
        self.advance(at);
    }

    fn grant(&mut self, at: usize, fault: Fault) {
        if self.log.grant(at as u64, fault) {
            self.advance(at);
        }
    }

    fn through(&mut self, at: usize, after: u8, fault: Fault) {
        (0..after).for_each(|_| self.grant(at, Fault::None));
        self.grant(at, fault);
        while self.hosts[at].work.is_some() {
            self.grant(at, Fault::None);
        }
    }

    fn advance(&mut self, at: usize) {
        let done = self.hosts[at].work.as_mut().and_then(step);
        let Some((lessor, taken)) = done else {
            return;
        };
        let host = &mut self.hosts[at];
        host.work = None;
        host.lessor = Some(lessor);
        if let Some(Ok(lease)) = taken {
            assert!(lease.fencing + 1 > self.last_lease, "an old fencing number");
            self.last_lease = lease.fencing + 1;
            if lease.taken_over {
                // An order of the holder before may be under way.
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

    /// Two hosts must never believe that they may give orders.
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
        // The next order waits for this one's answer.
        host.orders_from_ms = now_ms + delay_ms;
        self.sent.push((now_ms + delay_ms, lease.fencing));
    }

    /// The upstream ignores fencing numbers: only time keeps an old holder's order from arriving
    /// after its successor's.
    fn arrive(&mut self) {
        self.sent.sort_unstable();
        let now_ms = self.now_ms.get();
        while let Some((at_ms, fencing)) = self.sent.first().copied()
            && at_ms <= now_ms
        {
            self.sent.remove(0);
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
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        count_step();
        let at = |n: u8| usize::from(n) % usize::try_from(HOSTS).unwrap();
        match step {
            Step::Take { host } => world.take(at(host)),
            Step::Grant { host, count, fault } => {
                (1..count).for_each(|_| world.grant(at(host), Fault::None));
                world.grant(at(host), fault);
            }
            Step::Through { host, after, fault } => world.through(at(host), after, fault),
            Step::Order { host, delay } => world.order(at(host), delay),
            Step::End { host } => world.end(at(host)),
            Step::Crash { host } => {
                let at = at(host);
                world.hosts[at] = world.host(at as u64);
            }
            Step::Outage(outage) => world.log.set_outage(outage),
            Step::Land(n) => world.log.land(n.into()),
            Step::Advance(n) => {
                let by_ms = u64::from(n) * TERM_MS / 200;
                world.now_ms.set(world.now_ms.get() + by_ms);
                world.log.set_now(world.now_ms.get());
                world.arrive();
            }
        }
        world
    }

    fn check_invariants(world: &World, (): &()) {
        world.check();
    }
}

/// Hosts race for the right to give orders while the log loses replies, delays and doubles appends
/// and shows old reads, and while holders pause past their term, crash and come back.
#[test]
fn one_host_at_a_time_gives_orders() {
    finds_nothing::<Leases>("leases");
}

#[test_case(Mutation::GrantWithUnreadRecords)]
#[test_case(Mutation::SkipTakeoverWait)]
#[test_case(Mutation::TermFromGrantRead)]
fn planted_fault_is_found(fault: Mutation) {
    finds::<Leases>("leases", fault);
}
