//! State of the platform's log at routers, compared with the log itself: routers read, exchange
//! state, are suspended and restart, while the log is unavailable, rejects some of them, deletes old
//! records and is restored from older copies.

use std::sync::atomic::Ordering;

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use test_case::test_case;

use crate::log::fuzz_tests::{check_mutation_detected, check_no_failure, count_step, pick};
use crate::mutation::Mutation;
use crate::path::log_replica_fake_tests::UpstreamWrite;
use crate::path::log_replica_world_tests::{ROUTERS, SUSPENSION_MS, World, host};

/// Copies from which the log is restored are up to 255 times as old.
const COPY_AGE_STEP_MS: u64 = 20;

#[derive(Clone, Debug)]
enum Step {
    Configure(u8),
    /// Operators evacuate or readmit a data centre.
    Evacuate(u8, bool),
    UpstreamStarts,
    UpstreamWrites(u8, UpstreamWrite),
    OutageStarts,
    OutageEnds,
    HistoryIsDeleted,
    /// The log comes back from an older copy.
    Restore(u8),
    /// The log rejects a router, or serves it again.
    Reject(u8, bool),
    SendRequest(u8),
    Answer(u8),
    /// A router reads the log with all round trips that it takes.
    Read(u8),
    SendPeerRequest(u8, u8),
    PeerAnswer(u8),
    Suspend(u8, u8),
    Restart(u8),
    /// A router handles reports of the others only after some ticks.
    Starve(u8, u8),
    /// Ticks during which all routers that are not suspended behave as in a running fleet.
    Run(u8),
}

fn upstream_write() -> impl Strategy<Value = UpstreamWrite> {
    prop_oneof![
        3 => Just(UpstreamWrite::Heartbeat),
        1 => Just(UpstreamWrite::Drain),
        2 => Just(UpstreamWrite::Leave),
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
            3 => (1..4_u8).prop_map(Step::Configure),
            3 => (pick(), any::<bool>()).prop_map(|(n, evacuated)| Step::Evacuate(n, evacuated)),
            4 => Just(Step::UpstreamStarts),
            6 => (pick(), upstream_write()).prop_map(|(n, write)| Step::UpstreamWrites(n, write)),
            1 => Just(Step::OutageStarts),
            2 => Just(Step::OutageEnds),
            2 => Just(Step::HistoryIsDeleted),
            1 => pick().prop_map(Step::Restore),
            2 => (pick(), prop::bool::weighted(0.4)).prop_map(|(r, is_rejected)| Step::Reject(r, is_rejected)),
            8 => pick().prop_map(Step::SendRequest),
            8 => pick().prop_map(Step::Answer),
            4 => pick().prop_map(Step::Read),
            5 => (pick(), pick()).prop_map(|(r, peer)| Step::SendPeerRequest(r, peer)),
            5 => pick().prop_map(Step::PeerAnswer),
            2 => (pick(), pick()).prop_map(|(r, extra)| Step::Suspend(r, extra)),
            1 => pick().prop_map(Step::Restart),
            2 => (pick(), 1..5_u8).prop_map(|(r, ticks)| Step::Starve(r, ticks)),
            8 => (1..24_u8).prop_map(Step::Run),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct Fleet;

impl StateMachineTest for Fleet {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        count_step();
        let at = |n: u8| usize::from(n) % ROUTERS;
        let now_ms = world.now_ms();
        match step {
            Step::Configure(by) => world.store.configure(now_ms, by.into()),
            Step::Evacuate(n, evacuated) => world.store.evacuate(now_ms, n, evacuated),
            Step::UpstreamStarts => world.store.start_upstream(now_ms),
            Step::UpstreamWrites(n, write) => world.store.write_upstream(now_ms, n, write),
            Step::OutageStarts => {
                if world.store.is_available() {
                    world.down_since_ms = now_ms;
                }
                world.store.start_outage(now_ms);
            }
            Step::OutageEnds => world.end_outage(),
            Step::HistoryIsDeleted => world.store.delete_history(),
            Step::Restore(age) => world
                .store
                .restore(now_ms, u64::from(age) * COPY_AGE_STEP_MS),
            Step::Reject(r, is_rejected) => world.hosts[at(r)].is_rejected = is_rejected,
            Step::SendRequest(r) => world.send_request(at(r)),
            Step::Answer(r) => world.answer(at(r)),
            Step::Read(r) => world.read(at(r)),
            Step::SendPeerRequest(r, peer) => world.send_peer_request(at(r), at(peer)),
            Step::PeerAnswer(r) => world.receive_peer_answer(at(r)),
            Step::Suspend(r, extra) => {
                world.hosts[at(r)].suspended_until_ms =
                    now_ms + SUSPENSION_MS + u64::from(extra) * 40;
            }
            Step::Starve(r, ticks) => world.hosts[at(r)].starved_ticks = ticks.into(),
            Step::Restart(r) => world.hosts[at(r)] = host(world.now_ms),
            Step::Run(ticks) => (0..ticks).for_each(|_| world.tick()),
        }
        // Some routers may already have records of this millisecond.
        world.now_ms.fetch_add(1, Ordering::Relaxed);
        world.check();
        world
    }

    fn teardown(mut world: World, (): ()) {
        world.recover();
    }
}

/// Routers learn from the log and from one another in any order, late, after a suspension or a
/// restart, while the log is unavailable, rejects some of them, deletes old records or is restored
/// from an older copy. None may have state that the log never had, return to older state or take it
/// for fresh, and all must agree soon after.
#[test]
fn state_of_routers_follows_the_log() {
    check_no_failure::<Fleet>("beliefs");
}

#[test_case(Mutation::KeepEvidenceAfterSuspend)]
#[test_case(Mutation::DecideByOldState)]
#[test_case(Mutation::DateReportsByArrival)]
#[test_case(Mutation::KeepChangesAcrossGap)]
#[test_case(Mutation::AcceptOldRecords)]
#[test_case(Mutation::AcceptOlderVersion)]
#[test_case(Mutation::AcceptOldEvacuations)]
#[test_case(Mutation::RemoveExpiredAtOnce)]
#[test_case(Mutation::WithholdUnconfirmedRemovals)]
#[test_case(Mutation::IgnoreEra)]
#[test_case(Mutation::CompareOffsetsOnly)]
#[test_case(Mutation::KeepChangesAcrossEras)]
#[test_case(Mutation::LoadAcrossEras)]
#[test_case(Mutation::ForgetDeparturesOnRestore)]
#[test_case(Mutation::ForgetOrdersOnRestore)]
fn mutation_is_found(mutation: Mutation) {
    check_mutation_detected::<Fleet>("beliefs", mutation);
}
