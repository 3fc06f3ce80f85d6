//! Fuzz tests of the configuration, against an oracle that applies all changes in sequence.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use test_case::test_case;

use crate::log::config::{self, Applied, STREAM};
use crate::log::fake_tests::{FakeLog, Fault, Script, step};
use crate::log::follow::{ApplyError, ApplyOutcome, ConfigPeers, FollowStatus, Follower};
use crate::log::fuzz_tests::{check_mutation_detected, check_no_failure, count_step, pick};
use crate::log::timer::{Now, Timer};
use crate::mutation::Mutation;
use crate::path::position::StreamPosition;
use crate::schema::config::change::Op;
use crate::schema::config::record::Body;
use crate::schema::config::{Change, HostMark, State};
use crate::schema::peer::{ConfigReply, ConfigRequest};

const ROUTERS: u64 = 3;
const RETENTION_MS: u64 = 1_000;

#[derive(Clone, Debug)]
enum Step {
    /// A router starts to poll the stream.
    Poll {
        router: u8,
    },
    /// An operator marks a host as draining or not, against a version that may be outdated.
    Apply {
        router: u8,
        behind: u8,
        host: u8,
    },
    /// A router starts to write a snapshot.
    Renew {
        router: u8,
    },
    /// The log executes some of a router's calls, the last one with a fault.
    Execute {
        router: u8,
        count: u8,
        fault: Fault,
    },
    /// A router completes its current operation, with a fault in one of the log calls.
    Complete {
        router: u8,
        after: u8,
        fault: Fault,
    },
    /// Selects the state, possibly an old one, that peers answer with from now on.
    Peer(Option<u8>),
    /// A router is replaced by one that has read nothing.
    Crash {
        router: u8,
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
            6 => pick().prop_map(|router| Step::Poll { router }),
            6 => (pick(), 0..3_u8, pick())
                .prop_map(|(router, behind, host)| Step::Apply { router, behind, host }),
            3 => pick().prop_map(|router| Step::Renew { router }),
            10 => (pick(), 1..5_u8, fault())
                .prop_map(|(router, count, fault)| Step::Execute { router, count, fault }),
            12 => (pick(), 0..4_u8, fault())
                .prop_map(|(router, after, fault)| Step::Complete { router, after, fault }),
            2 => prop::option::of(pick()).prop_map(Step::Peer),
            1 => pick().prop_map(|router| Step::Crash { router }),
            1 => prop::bool::weighted(0.3).prop_map(Step::Outage),
            1 => (0..6_u8).prop_map(|lost| Step::Restore { lost }),
            2 => pick().prop_map(Step::DeliverDelayed),
            3 => pick().prop_map(Step::Advance),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// The configuration that results from applying all changes in sequence, without snapshots, peers
/// or expiry.
struct Oracle {
    /// Version, and whether each host is draining, before each offset.
    states: Vec<(u64, BTreeMap<String, bool>)>,
    /// The version produced by the first copy of each change, or `None` if it was rejected.
    changes: BTreeMap<String, Option<u64>>,
}

impl Oracle {
    fn new() -> Self {
        Self {
            states: vec![(0, BTreeMap::new())],
            changes: BTreeMap::new(),
        }
    }

    fn apply_record(&mut self, text: &str) {
        let (mut version, mut marks) = self.states.last().unwrap().clone();
        if let Some(Body::Change(change)) = config::parse(text).and_then(|r| r.body) {
            let accepted = change.against_version == version;
            if accepted {
                version += 1;
                let Some(Op::MarkHost(mark)) = change.op else {
                    panic!("unexpected kind of change");
                };
                marks.insert(mark.host, mark.draining);
            }
            let verdict = accepted.then_some(version);
            self.changes.entry(change.author).or_insert(verdict);
        }
        self.states.push((version, marks));
    }
}

/// Peers that answer with any state that some router has had.
#[derive(Clone, Default)]
struct FakePeers {
    states: Rc<RefCell<Vec<(u64, State)>>>,
    answer: Rc<Cell<Option<u8>>>,
}

impl ConfigPeers for FakePeers {
    async fn fetch(&self, _: ConfigRequest) -> Option<ConfigReply> {
        let states = self.states.borrow();
        let at = usize::from(self.answer.get()?);
        let (era, state) = states.get(at % states.len().max(1))?;
        Some(ConfigReply {
            digest: config::digest(state),
            at: Some(StreamPosition::new(*era, state.offset)),
            state: Some(state.clone()),
        })
    }
}

struct NoSleep;

impl Timer for NoSleep {
    fn now(&self) -> Now {
        Now::default()
    }

    async fn sleep(&self, _: Duration) {}
}

type FakeFollower = Follower<FakeLog, FakePeers, NoSleep>;

/// The result that was returned to an operator for the change identified by `author`.
struct Reported {
    author: String,
    against_version: u64,
    outcome: Result<ApplyOutcome, ApplyError>,
}

struct Router {
    follower: Option<FakeFollower>,
    work: Option<Script<(FakeFollower, Option<Reported>)>>,
    is_writing_snapshot: bool,
    /// Position and version after the last completed operation.
    last: (StreamPosition, u64),
}

struct Simulation {
    log: FakeLog,
    peers: FakePeers,
    now_ms: u64,
    routers: Vec<Router>,
    /// The result in each era of the log.
    oracles: Vec<Oracle>,
    changes: u64,
    reported_not_applied: BTreeSet<String>,
}

impl Simulation {
    fn new() -> Self {
        let mut sim = Self {
            log: FakeLog::new(RETENTION_MS),
            peers: FakePeers::default(),
            now_ms: 0,
            routers: Vec::new(),
            oracles: vec![Oracle::new()],
            changes: 0,
            reported_not_applied: BTreeSet::new(),
        };
        sim.routers = (0..ROUTERS).map(|at| sim.router(at)).collect();
        sim
    }

    fn router(&self, at: u64) -> Router {
        let follower = Follower::new(self.log.actor(at), self.peers.clone(), NoSleep);
        Router {
            follower: Some(follower),
            work: None,
            is_writing_snapshot: false,
            last: (StreamPosition::default(), 0),
        }
    }

    fn poll(&mut self, at: usize) {
        let Some(mut follower) = self.routers[at].follower.take() else {
            return;
        };
        self.routers[at].work = Some(Box::pin(async move {
            follower.poll(&mut |_, _| {}).await;
            (follower, None)
        }));
        self.advance(at);
    }

    fn write_snapshot(&mut self, at: usize) {
        let Some(mut follower) = self.routers[at].follower.take() else {
            return;
        };
        self.routers[at].work = Some(Box::pin(async move {
            // As the task does: a router that can't read the log writes none.
            follower.poll(&mut |_, _| {}).await;
            if *follower.status() != FollowStatus::Current {
                return (follower, None);
            }
            // A failed snapshot is written by a later step.
            let _ = follower.write_snapshot().await;
            (follower, None)
        }));
        self.routers[at].is_writing_snapshot = true;
        self.advance(at);
    }

    fn apply(&mut self, at: usize, behind: u8, host: u8) {
        let Some(mut follower) = self.routers[at].follower.take() else {
            return;
        };
        self.changes += 1;
        let author = format!("change-{}", self.changes);
        let version = follower.state().version;
        let against_version = version.saturating_sub(u64::from(behind / 2));
        let op = Op::MarkHost(HostMark {
            host: format!("host-{}", host % 4),
            draining: host.is_multiple_of(2),
        });
        let change = Change {
            against_version,
            author: author.clone(),
            op: Some(op),
        };
        self.routers[at].work = Some(Box::pin(async move {
            let outcome = follower.apply(change, &mut |_, _| {}).await;
            let reported = Reported {
                author,
                against_version,
                outcome,
            };
            (follower, Some(reported))
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
        while self.routers[at].work.is_some() {
            self.execute(at, Fault::None);
        }
    }

    /// Runs a router's operation until it waits for the log; checks the router once it is complete.
    fn advance(&mut self, at: usize) {
        let done = self.routers[at].work.as_mut().and_then(step);
        let Some((follower, reported)) = done else {
            return;
        };
        self.routers[at].work = None;
        self.routers[at].is_writing_snapshot = false;
        self.update_oracle();
        self.check(at, &follower);
        if let Some(reported) = reported {
            self.check_report(reported, follower.position().era);
        }
        self.peers
            .states
            .borrow_mut()
            .push((follower.position().era, follower.state().clone()));
        self.routers[at].follower = Some(follower);
    }

    fn update_oracle(&mut self) {
        let oracle = self.oracles.last_mut().unwrap();
        let known = oracle.states.len() - 1;
        for text in self.log.archive(STREAM, known) {
            oracle.apply_record(&text);
        }
    }

    /// Restores the log. No snapshot is in transit then: if the copy has no usable one, readers
    /// could take a snapshot from before the restore that is appended after it.
    fn restore(&mut self, lost: usize) {
        let is_snapshot = |text: &str| {
            let body = config::parse(text).and_then(|r| r.body);
            matches!(body, Some(Body::Snapshot(_)))
        };
        self.log.drop_delayed(is_snapshot);
        for at in 0..self.routers.len() {
            if self.routers[at].is_writing_snapshot {
                self.complete(at, 0, Fault::None);
            }
        }
        self.update_oracle();
        self.log.restore(lost);
        self.oracles.push(Oracle::new());
        self.update_oracle();
    }

    fn oracle(&self, era: u64) -> &Oracle {
        &self.oracles[usize::try_from(era).unwrap()]
    }

    fn check(&mut self, at: usize, follower: &FakeFollower) {
        let state = follower.state();
        let position = follower.position();
        let now = (position, state.version);
        assert!(now >= self.routers[at].last, "router {at} went back");
        self.routers[at].last = now;
        let offset = usize::try_from(state.offset).unwrap();
        let (version, marks) = &self.oracle(position.era).states[offset];
        let of_router = state.hosts.iter().map(|m| (m.host.clone(), m.draining));
        assert_eq!(state.version, *version, "router {at} at {position}");
        assert_eq!(&of_router.collect::<BTreeMap<_, _>>(), marks);
    }

    fn check_report(&mut self, reported: Reported, era: u64) {
        let verdict = self.oracle(era).changes.get(&reported.author).copied();
        match reported.outcome {
            Ok(ApplyOutcome {
                applied: Applied::Accepted { version },
                ..
            }) => assert_eq!(verdict, Some(Some(version)), "reported as accepted"),
            Ok(ApplyOutcome {
                applied: Applied::Raced { winner, .. },
                offset,
            }) => {
                assert_ne!(
                    verdict,
                    Some(Some(reported.against_version + 1)),
                    "reported as raced"
                );
                let at = usize::try_from(offset).unwrap();
                let (version, _) = self.oracle(era).states[at];
                assert_ne!(
                    version, reported.against_version,
                    "reported as raced, but no change won"
                );
                assert!(version == 0 || !winner.is_empty(), "the winner isn't named");
            }
            Ok(outcome) => panic!("unexpected outcome {outcome:?}"),
            Err(ApplyError::NotApplied { .. }) => {
                self.reported_not_applied.insert(reported.author);
            }
            Err(ApplyError::Unknown { .. }) => {}
        }
    }

    /// The log recovers: checks that all routers that can read it agree, and that no change
    /// reported as not applied is in it.
    fn quiesce(&mut self) {
        self.log.set_outage(false);
        self.peers.answer.set(None);
        (0..64).for_each(|_| self.log.deliver_delayed(0));
        for at in 0..self.routers.len() {
            self.complete(at, 0, Fault::None);
        }
        for at in 0..self.routers.len() {
            self.poll(at);
            self.complete(at, 0, Fault::None);
        }
        let era = self.oracles.len() as u64 - 1;
        let end = self.oracle(era).states.len() as u64 - 1;
        for router in &self.routers {
            let follower = router.follower.as_ref().unwrap();
            if *follower.status() == FollowStatus::Current {
                let end = StreamPosition::new(era, end);
                assert_eq!(follower.position(), end, "read to the end");
            }
        }
        for author in &self.reported_not_applied {
            let mut oracles = self.oracles.iter();
            let found = oracles.any(|o| o.changes.contains_key(author));
            assert!(
                !found,
                "{author} was reported as not applied and is in the log"
            );
        }
    }
}

struct Configuration;

impl StateMachineTest for Configuration {
    type SystemUnderTest = Simulation;
    type Reference = Steps;

    fn init_test((): &()) -> Simulation {
        Simulation::new()
    }

    fn apply(mut sim: Simulation, (): &(), step: Step) -> Simulation {
        count_step();
        let at = |n: u8| usize::from(n) % usize::try_from(ROUTERS).unwrap();
        match step {
            Step::Poll { router } => sim.poll(at(router)),
            Step::Apply {
                router,
                behind,
                host,
            } => sim.apply(at(router), behind, host),
            Step::Renew { router } => sim.write_snapshot(at(router)),
            Step::Execute {
                router,
                count,
                fault,
            } => {
                (1..count).for_each(|_| sim.execute(at(router), Fault::None));
                sim.execute(at(router), fault);
            }
            Step::Complete {
                router,
                after,
                fault,
            } => sim.complete(at(router), after, fault),
            Step::Peer(answer) => sim.peers.answer.set(answer),
            Step::Crash { router } => {
                sim.routers[at(router)] = sim.router(at(router) as u64);
            }
            Step::Outage(outage) => sim.log.set_outage(outage),
            Step::Restore { lost } => sim.restore(lost.into()),
            Step::DeliverDelayed(n) => sim.log.deliver_delayed(n.into()),
            Step::Advance(n) => {
                sim.now_ms += u64::from(n);
                sim.log.set_now(sim.now_ms);
            }
        }
        sim
    }

    fn teardown(mut sim: Simulation, (): ()) {
        sim.quiesce();
    }
}

/// Operators make concurrent changes while the log loses replies, duplicates and delays appends,
/// expires records, becomes unavailable and comes back from older copies, and while routers pause, are replaced, and fetch states
/// from peers.
#[test]
fn accepted_configuration_never_reverts() {
    check_no_failure::<Configuration>("config");
}

#[test_case(Mutation::SnapshotOverwrites)]
#[test_case(Mutation::AcceptOlderState)]
#[test_case(Mutation::IgnoreVersion)]
#[test_case(Mutation::LostReplyIsNotApplied)]
#[test_case(Mutation::ApplyAcrossGap)]
#[test_case(Mutation::SnapshotCoversOwnOffset)]
#[test_case(Mutation::KeepOffsetAcrossEras)]
fn mutation_is_detected(fault: Mutation) {
    check_mutation_detected::<Configuration>("config", fault);
}
