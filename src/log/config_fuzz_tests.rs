//! The configuration against a simple oracle: one list of changes, taken one after another.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use test_case::test_case;

use crate::log::config::{self, Applied, STREAM};
use crate::log::fake_tests::{FakeLog, Fault, Script, step};
use crate::log::follow::{ApplyError, ApplyOutcome, FollowStatus, Follower, StatePeers};
use crate::log::fuzz_tests::{count_step, finds, finds_nothing, pick};
use crate::log::timer::{Now, Timer};
use crate::mutation::Mutation;
use crate::schema::config::change::Op;
use crate::schema::config::record::Body;
use crate::schema::config::{Change, HostMark, State};
use crate::schema::peer::{ConfigReply, ConfigRequest};

const ROUTERS: u64 = 3;
const RETENTION_MS: u64 = 1_000;

#[derive(Clone, Debug)]
enum Step {
    /// A router begins to read.
    Poll {
        router: u8,
    },
    /// An operator changes a host's mark, against a version that may be old.
    Apply {
        router: u8,
        behind: u8,
        host: u8,
    },
    /// A router begins to renew the snapshot.
    Renew {
        router: u8,
    },
    /// The log carries out some of a router's calls, the last with a fault.
    Grant {
        router: u8,
        count: u8,
        fault: Fault,
    },
    /// A router goes through what it does with a fault on the way.
    Through {
        router: u8,
        after: u8,
        fault: Fault,
    },
    /// Which state peers answer with from now on; it may be an old one.
    Peer(Option<u8>),
    /// A router is replaced by one that knows nothing.
    Crash {
        router: u8,
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
            6 => pick().prop_map(|router| Step::Poll { router }),
            6 => (pick(), 0..3_u8, pick())
                .prop_map(|(router, behind, host)| Step::Apply { router, behind, host }),
            3 => pick().prop_map(|router| Step::Renew { router }),
            10 => (pick(), 1..5_u8, fault())
                .prop_map(|(router, count, fault)| Step::Grant { router, count, fault }),
            12 => (pick(), 0..4_u8, fault())
                .prop_map(|(router, after, fault)| Step::Through { router, after, fault }),
            2 => prop::option::of(pick()).prop_map(Step::Peer),
            1 => pick().prop_map(|router| Step::Crash { router }),
            1 => prop::bool::weighted(0.3).prop_map(Step::Outage),
            2 => pick().prop_map(Step::Land),
            3 => pick().prop_map(Step::Advance),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// The configuration as one list of changes makes it, with no snapshots, peers or expiry.
struct Oracle {
    /// Version and marks before each offset.
    states: Vec<(u64, BTreeMap<String, bool>)>,
    /// What became of the first copy of each change: its version, if it was accepted.
    changes: BTreeMap<String, Option<u64>>,
}

impl Oracle {
    fn new() -> Self {
        Self {
            states: vec![(0, BTreeMap::new())],
            changes: BTreeMap::new(),
        }
    }

    fn take(&mut self, text: &str) {
        let (mut version, mut marks) = self.states.last().unwrap().clone();
        if let Some(Body::Change(change)) = config::parse(text).and_then(|r| r.body) {
            let accepted = change.against_version == version;
            if accepted {
                version += 1;
                let Some(Op::MarkHost(mark)) = change.op else {
                    panic!("another change");
                };
                marks.insert(mark.host, mark.draining);
            }
            let verdict = accepted.then_some(version);
            self.changes.entry(change.author).or_insert(verdict);
        }
        self.states.push((version, marks));
    }
}

/// Every state that any router had, for peers to answer with.
#[derive(Clone, Default)]
struct FakePeers {
    states: Rc<RefCell<Vec<State>>>,
    answer: Rc<Cell<Option<u8>>>,
}

impl StatePeers for FakePeers {
    async fn ask(&self, _: ConfigRequest) -> Option<ConfigReply> {
        let states = self.states.borrow();
        let at = usize::from(self.answer.get()?);
        let state = states.get(at % states.len().max(1))?;
        Some(ConfigReply {
            digest: config::digest(state),
            offset: state.offset,
            state: Some(state.clone()),
        })
    }
}

struct NoPause;

impl Timer for NoPause {
    fn now(&self) -> Now {
        Now::default()
    }

    async fn pause(&self, _: Duration) {}
}

type FakeFollower = Follower<FakeLog, FakePeers, NoPause>;

/// What an operator was told of the change that `author` names.
struct Told {
    author: String,
    against_version: u64,
    outcome: Result<ApplyOutcome, ApplyError>,
}

struct Router {
    follower: Option<FakeFollower>,
    work: Option<Script<(FakeFollower, Option<Told>)>>,
    /// Offset and version when it last came to rest.
    last: (u64, u64),
}

struct World {
    log: FakeLog,
    peers: FakePeers,
    now_ms: u64,
    routers: Vec<Router>,
    oracle: Oracle,
    changes: u64,
    told_not_applied: BTreeSet<String>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            log: FakeLog::new(RETENTION_MS),
            peers: FakePeers::default(),
            now_ms: 0,
            routers: Vec::new(),
            oracle: Oracle::new(),
            changes: 0,
            told_not_applied: BTreeSet::new(),
        };
        world.routers = (0..ROUTERS).map(|at| world.router(at)).collect();
        world
    }

    fn router(&self, at: u64) -> Router {
        let follower = Follower::new(self.log.actor(at), self.peers.clone(), NoPause);
        Router {
            follower: Some(follower),
            work: None,
            last: (0, 0),
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

    fn renew(&mut self, at: usize) {
        let Some(mut follower) = self.routers[at].follower.take() else {
            return;
        };
        self.routers[at].work = Some(Box::pin(async move {
            // A snapshot that failed is renewed at the next turn.
            let _ = follower.renew().await;
            (follower, None)
        }));
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
            let told = Told {
                author,
                against_version,
                outcome,
            };
            (follower, Some(told))
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
        while self.routers[at].work.is_some() {
            self.grant(at, Fault::None);
        }
    }

    /// Runs a router's work until it waits for the log; checks it when it comes to rest.
    fn advance(&mut self, at: usize) {
        let done = self.routers[at].work.as_mut().and_then(step);
        let Some((follower, told)) = done else {
            return;
        };
        self.routers[at].work = None;
        self.learn();
        self.check(at, &follower);
        if let Some(told) = told {
            self.told(told);
        }
        self.peers
            .states
            .borrow_mut()
            .push(follower.state().clone());
        self.routers[at].follower = Some(follower);
    }

    fn learn(&mut self) {
        let known = self.oracle.states.len() - 1;
        for text in self.log.archive(STREAM, known) {
            self.oracle.take(&text);
        }
    }

    fn check(&mut self, at: usize, follower: &FakeFollower) {
        let state = follower.state();
        let now = (state.offset, state.version);
        assert!(now >= self.routers[at].last, "router {at} went back");
        self.routers[at].last = now;
        let offset = usize::try_from(state.offset).unwrap();
        let (version, marks) = &self.oracle.states[offset];
        let of_router = state.hosts.iter().map(|m| (m.host.clone(), m.draining));
        assert_eq!(state.version, *version, "router {at} at offset {offset}");
        assert_eq!(&of_router.collect::<BTreeMap<_, _>>(), marks);
    }

    fn told(&mut self, told: Told) {
        let verdict = self.oracle.changes.get(&told.author).copied();
        match told.outcome {
            Ok(ApplyOutcome {
                applied: Applied::Accepted { version },
                ..
            }) => assert_eq!(verdict, Some(Some(version)), "told accepted"),
            Ok(ApplyOutcome {
                applied: Applied::Raced { winner, .. },
                offset,
            }) => {
                assert_ne!(verdict, Some(Some(told.against_version + 1)), "told raced");
                let at = usize::try_from(offset).unwrap();
                let (version, _) = self.oracle.states[at];
                assert_ne!(version, told.against_version, "told raced, and nobody won");
                assert!(version == 0 || !winner.is_empty(), "the winner isn't named");
            }
            Ok(outcome) => panic!("told {outcome:?}"),
            Err(ApplyError::NotApplied { .. }) => {
                self.told_not_applied.insert(told.author);
            }
            Err(ApplyError::Unknown { .. }) => {}
        }
    }

    /// The log recovers: all who can read it agree, and nothing told as not applied is in it.
    fn settle(&mut self) {
        self.log.set_outage(false);
        self.peers.answer.set(None);
        (0..64).for_each(|_| self.log.land(0));
        for at in 0..self.routers.len() {
            self.through(at, 0, Fault::None);
        }
        for at in 0..self.routers.len() {
            self.poll(at);
            self.through(at, 0, Fault::None);
        }
        let end = self.oracle.states.len() as u64 - 1;
        for router in &self.routers {
            let follower = router.follower.as_ref().unwrap();
            if *follower.status() == FollowStatus::Current {
                assert_eq!(follower.state().offset, end, "read to the end");
            }
        }
        for author in &self.told_not_applied {
            let found = self.oracle.changes.contains_key(author);
            assert!(!found, "{author} was told not applied and is in the log");
        }
    }
}

struct Configuration;

impl StateMachineTest for Configuration {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        count_step();
        let at = |n: u8| usize::from(n) % usize::try_from(ROUTERS).unwrap();
        match step {
            Step::Poll { router } => world.poll(at(router)),
            Step::Apply {
                router,
                behind,
                host,
            } => world.apply(at(router), behind, host),
            Step::Renew { router } => world.renew(at(router)),
            Step::Grant {
                router,
                count,
                fault,
            } => {
                (1..count).for_each(|_| world.grant(at(router), Fault::None));
                world.grant(at(router), fault);
            }
            Step::Through {
                router,
                after,
                fault,
            } => world.through(at(router), after, fault),
            Step::Peer(answer) => world.peers.answer.set(answer),
            Step::Crash { router } => {
                world.routers[at(router)] = world.router(at(router) as u64);
            }
            Step::Outage(outage) => world.log.set_outage(outage),
            Step::Land(n) => world.log.land(n.into()),
            Step::Advance(n) => {
                world.now_ms += u64::from(n);
                world.log.set_now(world.now_ms);
            }
        }
        world
    }

    fn teardown(mut world: World, (): ()) {
        world.settle();
    }
}

/// Operators race one another while the log loses replies, doubles and delays appends, forgets old
/// records and goes down, and while routers pause, are replaced, and learn from peers.
#[test]
fn accepted_configuration_never_reverts() {
    finds_nothing::<Configuration>("config");
}

#[test_case(Mutation::SnapshotOverwrites)]
#[test_case(Mutation::AcceptOlderState)]
#[test_case(Mutation::IgnoreVersion)]
#[test_case(Mutation::LostReplyIsNotApplied)]
#[test_case(Mutation::ApplyAcrossGap)]
#[test_case(Mutation::SnapshotCoversOwnOffset)]
fn planted_fault_is_found(fault: Mutation) {
    finds::<Configuration>("config", fault);
}
