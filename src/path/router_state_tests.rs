use std::rc::Rc;

use super::dialect::AnswerHead;
use super::position::StreamPosition;
use super::regions::{AllowedRegions, Regions};
use super::router_state::{Bounds, RetryLimit, RouterState, RunningGuard, Tried};
use super::upstreams::Upstream;
use crate::decide::brittle::Frailty;
use crate::decide::ejection::{EJECTION_MS, FAILURES};
use crate::decide::spread::{Candidate, Counts, by_load};
use crate::fleet::gossip::Gossip;
use crate::util::Name;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SLOTS: u32 = 8;

fn upstream(i: u8) -> Upstream {
    Upstream {
        id: format!("i-{i}").into(),
        service: "s".into(),
        addr: ([127, 0, 0, 1], 80).into(),
        data_center: "north".into(),
        slots: SLOTS,
        started_ms: 0,
        draining: false,
        cold_ms: 0,
        software: None,
    }
}

fn state() -> Rc<RouterState> {
    let (gossip, _, _) = Gossip::open();
    let limit = RetryLimit {
        share: 0.2,
        burst: 10.0,
    };
    let state = Rc::new(RouterState::new(
        limit,
        "north".into(),
        Regions::parse("north=home,south=abroad"),
        gossip,
    ));
    for i in 0..6 {
        state.change_upstreams(|upstreams| upstreams.put(upstream(i)));
    }
    state
}

/// Starts `each` requests at each of the six upstreams.
fn run(state: &Rc<RouterState>, each: u32) -> Vec<RunningGuard> {
    let everywhere = (0..6).flat_map(|i| (0..each).map(move |_| i));
    everywhere
        .map(|i| state.start_request(&upstream(i).into(), 0))
        .collect()
}

fn open(state: &RouterState) -> usize {
    let tried = Tried {
        upstreams: &[],
        may_repeat: false,
        kept: None,
    };
    let (_, candidates) = state.pool("s", &tried, Bounds::default(), u32::MAX, 1);
    candidates.iter().filter(|c| !c.excluded).count()
}

/// Demand exceeds the capacity of the pool, and upstreams answer late and reject requests. None may
/// be ejected for it: its load would move to the others and make them late too.
#[test]
fn late_upstreams_of_a_loaded_pool_are_not_ejected() {
    let state = state();
    let _running = run(&state, SLOTS / 2);
    for i in 0..3 {
        for _ in 0..FAILURES {
            state.record_overload(&upstream(i), "no answer in time", 0);
        }
    }
    assert_eq!(open(&state), 6);
}

/// An upstream of an idle pool that rejects every request or never answers is ejected.
#[test]
fn late_upstream_of_an_idle_pool_is_ejected() {
    let state = state();
    let _running = run(&state, 1);
    for _ in 0..FAILURES {
        state.record_overload(&upstream(0), "rejected", 0);
    }
    assert_eq!(open(&state), 5);
}

/// An upstream crashes, another one has its address for a moment, and it restarts under its id.
/// Earlier observations must not keep it from getting work.
#[test]
fn restarted_upstream_with_the_same_id_gets_work() {
    let state = state();
    for _ in 0..FAILURES {
        state.record_failure(&upstream(0), "connection reset", 0);
    }
    state.record_replaced(&upstream(1), 0);
    assert_eq!(open(&state), 4);
    state.record_restart(&upstream(0).incarnation(), 1);
    state.record_restart(&upstream(1).incarnation(), 1);
    assert_eq!(open(&state), 6);
}

/// All upstreams of a service are in an evacuated data centre. Nothing may be sent there, not even
/// as a last resort: the callers get an immediate refusal that says that the request did not run.
#[test]
fn evacuated_data_center_gets_nothing() {
    let state = state();
    state.change_upstreams(|upstreams| {
        upstreams.put(Upstream {
            data_center: "south".into(),
            ..upstream(0)
        })
    });
    state.change_evacuations(|e| e.set(StreamPosition::new(1, 1), "north", true));
    assert_eq!(open(&state), 1);
    assert_eq!(state.slots_open("s", 1), Some(SLOTS));
    state.change_evacuations(|e| e.set(StreamPosition::new(1, 2), "south", true));
    assert_eq!(open(&state), 0);
    assert_eq!(state.slots_open("s", 1), None);
    state.change_evacuations(|e| e.set(StreamPosition::new(1, 3), "north", false));
    assert_eq!(open(&state), 5);
}

/// Entries name absurd numbers of slots. Their sum must not overflow, and the slots of the others count
/// once they are gone.
#[test]
fn absurd_numbers_of_slots_are_counted_and_forgotten() {
    let state = state();
    let absurd = ["north", "north", "south"];
    for (i, data_center) in (6..).zip(absurd) {
        let absurd = Upstream {
            slots: u32::MAX,
            data_center: data_center.into(),
            ..upstream(i)
        };
        state.change_upstreams(|upstreams| upstreams.put(absurd));
    }
    assert_eq!(state.slots_open("s", 1), Some(u32::MAX));
    for i in 6..9 {
        state.record_error_answer(&upstream(i), 1);
        state.change_upstreams(|upstreams| upstreams.remove(&upstream(i).id));
    }
    assert_eq!(state.slots_open("s", 1), Some(6 * SLOTS));
}

/// The answer of an upstream that wants no requests for `pushback_ms`.
fn pushback(pushback_ms: u64) -> AnswerHead {
    AnswerHead {
        not_run: true,
        pushback_ms: Some(pushback_ms),
        ..AnswerHead::default()
    }
}

/// An upstream wants no requests for a while. It must get none until that time has passed, not even
/// as a last resort, but a later start of it may.
#[test]
fn pushback_lasts_for_its_time_or_until_the_next_start() {
    let state = state();
    state.record_notices(&upstream(0), &pushback(3_000), 1);
    assert_eq!(open(&state), 5);
    assert_eq!(state.slots_open("s", 1), Some(5 * SLOTS));
    // Its record disappears for a while and is written again.
    state.change_upstreams(|upstreams| upstreams.remove("i-0"));
    state.sweep(2);
    state.change_upstreams(|upstreams| upstreams.put(upstream(0)));
    assert_eq!(state.slots_open("s", 3_000), Some(5 * SLOTS));
    assert_eq!(state.slots_open("s", 3_001), Some(6 * SLOTS));
    for i in 1..6 {
        state.record_replaced(&upstream(i), 1);
    }
    assert_eq!(open(&state), 0, "not even as the last one");
    state.change_upstreams(|upstreams| {
        upstreams.put(Upstream {
            started_ms: 9,
            ..upstream(0)
        })
    });
    assert_eq!(open(&state), 1);
}

/// An ejected upstream is due for a probe, or is the only one left, and wants no requests. A probe is
/// a request like any other.
#[test]
fn probe_waits_until_the_pushback_ends() {
    const PUSHBACK_MS: u64 = 2 * EJECTION_MS;
    let state = state();
    for _ in 0..FAILURES {
        state.record_failure(&upstream(0), "connection reset", 0);
    }
    state.record_notices(&upstream(0), &pushback(PUSHBACK_MS), 0);
    for i in 1..6 {
        state.record_replaced(&upstream(i), 0);
    }
    let open_at = |now_ms| {
        let tried = Tried {
            upstreams: &[],
            may_repeat: false,
            kept: None,
        };
        let (_, candidates) = state.pool("s", &tried, Bounds::default(), u32::MAX, now_ms);
        candidates.iter().filter(|c| !c.excluded).count()
    };
    assert_eq!(open_at(EJECTION_MS + 1), 0);
    assert_eq!(open_at(PUSHBACK_MS - 1), 0);
    assert_eq!(open_at(PUSHBACK_MS), 1);
}

/// Callers that are refused because all upstreams want no requests must come back when the first
/// one that can serve them takes requests again, and sooner if another may take them before.
#[test]
fn refused_callers_come_back_when_the_first_pushback_ends() {
    let state = state();
    let pushback_ms = |regions: &[&AllowedRegions]| {
        let origin = None;
        state.pushback_ms(
            "s",
            Bounds {
                regions,
                origin,
                unused: &[],
            },
            100,
        )
    };
    for i in 1..6 {
        let left_ms = 1_000 * u64::from(i);
        state.record_notices(&upstream(i), &pushback(left_ms), 0);
    }
    assert_eq!(pushback_ms(&[]), None, "one takes requests");
    state.record_notices(&upstream(0), &pushback(9_000), 0);
    assert_eq!(pushback_ms(&[]), Some(900));
    state.record_replaced(&upstream(1), 1);
    let draining = Upstream {
        draining: true,
        ..upstream(2)
    };
    state.change_upstreams(|upstreams| upstreams.put(draining));
    assert_eq!(pushback_ms(&[]), Some(2_900), "two are gone");
    let abroad = Some(["abroad".into()].into());
    assert_eq!(pushback_ms(&[&abroad]), None, "no upstream is there");
    state.change_evacuations(|e| e.set(StreamPosition::new(1, 1), "north", true));
    assert_eq!(pushback_ms(&[]), None, "no upstream may be used");
}

/// An upstream of a pool is overloaded for a while: it rejects every request and names a time. In
/// that time it must get no more than the one request that finds out, in each of its periods.
#[test]
fn shedding_upstream_gets_one_request_per_pushback() {
    const PUSHBACK_MS: u64 = 3_000;
    const DAY_MS: u64 = 9_000;
    const INTERVAL_MS: usize = 20;
    let state = state();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut rejected = 0;
    for now_ms in (0..DAY_MS).step_by(INTERVAL_MS) {
        let mut tried = Vec::new();
        loop {
            let tried_before = Tried {
                upstreams: &tried,
                may_repeat: false,
                kept: None,
            };
            let (pool, candidates) =
                state.pool("s", &tried_before, Bounds::default(), u32::MAX, now_ms);
            let at = by_load(&candidates, Counts::Current, &mut rng).unwrap();
            let chosen = pool.upstreams()[at].clone();
            if *chosen.id != *"i-0" {
                break;
            }
            rejected += 1;
            state.record_notices(&chosen, &pushback(PUSHBACK_MS), now_ms);
            tried.push(chosen.id.clone());
        }
    }
    assert!(rejected <= DAY_MS / PUSHBACK_MS, "{rejected}");
}

/// An upstream announced its shutdown in an answer. Nothing may be sent to it any more, not even as
/// a last resort, whatever the log says of it while it runs.
#[test]
fn announced_shutdown_lasts_until_the_next_start() {
    let state = state();
    let started = |started_ms| Upstream {
        started_ms,
        ..upstream(0)
    };
    let put = |upstream| state.change_upstreams(|upstreams| upstreams.put(upstream));
    put(started(7));
    let announcement = AnswerHead {
        is_leaving: true,
        ..AnswerHead::default()
    };
    state.record_notices(&started(7), &announcement, 1);
    assert_eq!(open(&state), 5);
    assert_eq!(state.slots_open("s", 1), Some(5 * SLOTS));
    for i in 1..6 {
        state.record_replaced(&upstream(i), 1);
    }
    assert_eq!(open(&state), 0, "not even as the last one");
    // Its record is written again, and disappears for a while.
    put(Upstream {
        cold_ms: 1_000,
        ..started(7)
    });
    assert_eq!(open(&state), 0);
    state.change_upstreams(|upstreams| upstreams.remove("i-0"));
    state.sweep(2);
    put(started(7));
    assert_eq!(open(&state), 0);
    // An older list of upstreams, then a later start.
    put(started(8));
    assert_eq!(open(&state), 1);
    put(started(7));
    assert_eq!(open(&state), 0);
    assert_eq!(state.slots_open("s", 1), None);
}

/// One router heard in an answer that an upstream shuts down, and the log is away. The other routers
/// must stop sending to it too, until its next start, which they may learn of later or sooner than
/// the first router.
#[test]
fn shutdown_announced_to_another_router_counts() {
    let (first, other) = (state(), state());
    let put = |state: &RouterState, started_ms| {
        let upstream = Upstream {
            started_ms,
            ..upstream(0)
        };
        state.change_upstreams(|upstreams| upstreams.put(upstream.clone()));
        upstream
    };
    let upstream = put(&first, 7);
    put(&other, 7);
    first.change_upstreams(|upstreams| upstreams.record_leaving(&upstream, 1));
    let reported = first.change_upstreams(|upstreams| upstreams.announced_digests());
    other.exchange_leaving(&reported);
    assert_eq!(open(&other), 5);
    put(&other, 8);
    assert_eq!(open(&other), 6);
    other.exchange_leaving(&reported);
    assert_eq!(open(&other), 6, "the report is of the former start");
    put(&other, 7);
    other.exchange_leaving(&reported);
    assert_eq!(open(&other), 5);
    put(&first, 8);
    let reported = first.change_upstreams(|upstreams| upstreams.announced_digests());
    assert!(reported.is_empty());
    other.exchange_leaving(&reported);
    assert_eq!(open(&other), 6);
}

/// The record of an upstream that announced its shutdown says so too: all routers read that, and it
/// must not take up space in every datagram.
#[test]
fn shutdown_in_the_record_is_not_repeated_to_other_routers() {
    let state = state();
    state.change_upstreams(|upstreams| upstreams.record_leaving(&upstream(0), 1));
    let announced = || state.change_upstreams(|upstreams| upstreams.announced_digests().len());
    assert_eq!(announced(), 1);
    let draining = Upstream {
        draining: true,
        ..upstream(0)
    };
    state.change_upstreams(|upstreams| upstreams.put(draining));
    assert_eq!(announced(), 0);
}

/// A request waits for a connection to the upstream chosen for it, which meanwhile announces its
/// shutdown, drains, restarts or is evacuated. The request must go elsewhere.
#[test]
fn request_is_not_sent_to_an_upstream_withdrawn_after_its_choice() {
    let announcement = AnswerHead {
        is_leaving: true,
        ..AnswerHead::default()
    };
    let put = |state: &RouterState, upstream| {
        state.change_upstreams(|upstreams| upstreams.put(upstream));
    };
    let withdrawals: [&dyn Fn(&RouterState); 7] = [
        &|state| state.record_notices(&upstream(0), &announcement, 1),
        &|state| state.record_notices(&upstream(0), &pushback(100), 1),
        &|state| state.record_replaced(&upstream(0), 1),
        &|state| {
            state.change_evacuations(|e| e.set(StreamPosition::new(1, 1), "north", true));
        },
        &|state| {
            state.change_upstreams(|upstreams| upstreams.remove("i-0"));
        },
        &|state| {
            put(
                state,
                Upstream {
                    draining: true,
                    ..upstream(0)
                },
            )
        },
        &|state| {
            put(
                state,
                Upstream {
                    started_ms: 9,
                    ..upstream(0)
                },
            )
        },
    ];
    for (n, withdraw) in withdrawals.iter().enumerate() {
        let state = state();
        assert!(state.still_takes_work(&upstream(0), 2));
        withdraw(&state);
        assert!(!state.still_takes_work(&upstream(0), 2), "{n}");
    }
}

/// Requests of a route bound to a region must not leave it, even if the region has no upstream
/// left.
#[test]
fn requests_stay_in_their_allowed_regions() {
    let state = state();
    let abroad = Some(["abroad".into()].into());
    let home = Some(["home".into()].into());
    let tried = Tried {
        upstreams: &[],
        may_repeat: false,
        kept: None,
    };
    let open = |regions: &[&AllowedRegions]| {
        let origin = None;
        let bounds = Bounds {
            regions,
            origin,
            unused: &[],
        };
        let (_, candidates) = state.pool("s", &tried, bounds, u32::MAX, 1);
        candidates.iter().filter(|c| !c.excluded).count()
    };
    assert_eq!(open(&[&home, &None]), 6);
    assert_eq!(open(&[&home, &abroad]), 0);
    state.change_upstreams(|upstreams| {
        upstreams.put(Upstream {
            data_center: "south".into(),
            ..upstream(0)
        })
    });
    assert_eq!(open(&[&abroad, &None]), 1);
}

/// In a pool of thousands, the state that a router observed is applied to single upstreams. Each
/// must be excluded, withheld or kept as if the state of every upstream were looked up.
#[test]
fn observed_state_concerns_single_upstreams_of_a_large_pool() {
    const UPSTREAMS: u32 = 2_000;
    let state = state();
    let id = |i: u32| Name::from(format!("u-{i:04}"));
    let of = |i: u32| Upstream {
        id: id(i),
        cold_ms: if i == 5 { 4_000 } else { 0 },
        software: None,
        draining: i == 6,
        data_center: if i >= 1_990 { "south" } else { "north" }.into(),
        service: "large".into(),
        ..upstream(0)
    };
    for i in 0..UPSTREAMS {
        state.change_upstreams(|upstreams| upstreams.put(of(i)));
    }
    state.report_cold(&of(5), 1);
    state.record_replaced(&of(7), 1);
    state.record_unreachable(&of(8), 1);
    for _ in 0..FAILURES {
        state.record_failure(&of(9), "connection reset", 1);
    }
    state.change_evacuations(|e| e.set(StreamPosition::new(1, 1), "south", true));
    let _running: Vec<_> = (0..3)
        .map(|_| state.start_request(&of(10).into(), 1))
        .collect();
    let tried = Tried {
        upstreams: &[id(11)],
        may_repeat: false,
        kept: None,
    };
    let (pool, candidates) = state.pool("large", &tried, Bounds::default(), 3, 2);
    assert_eq!(candidates.len(), UPSTREAMS as usize);
    for (upstream, candidate) in pool.upstreams().iter().zip(&candidates) {
        let i: u32 = upstream.id[2..].parse().unwrap();
        let is_away = i >= 1_990;
        assert_eq!(candidate.excluded, (5..=11).contains(&i) || is_away, "{i}");
        assert_eq!(candidate.withheld, i == 5 || is_away, "{i}");
        assert_eq!(
            candidate.has_parts,
            !((7..=9).contains(&i) || is_away),
            "{i}"
        );
        assert_eq!(candidate.running, if i == 10 { 3 } else { 0 }, "{i}");
        assert_eq!(candidate.is_local, !is_away, "{i}");
    }
    // Of 1,990 in the north without the cold, draining, replaced, unreachable and ejected ones.
    assert_eq!(state.slots_open("large", 2), Some(1_985 * SLOTS));
}

/// Two software versions serve side by side. A stream that began at one of them must go on only
/// there, whatever speaks against its upstreams, and fetch no prompt parts from the other.
#[test]
fn stream_keeps_to_the_version_that_began_it() {
    let state = state();
    let of = |i: u8, software: &str| Upstream {
        software: Some(software.into()),
        ..upstream(i)
    };
    for i in 0..6 {
        let software = ["", "2", "1"][usize::from(i) % 3];
        let listed = if software.is_empty() {
            upstream(i)
        } else {
            of(i, software)
        };
        state.change_upstreams(|upstreams| upstreams.put(listed));
    }
    for (origin, members) in [(upstream(0), [0, 3]), (of(1, "2"), [1, 4])] {
        for i in members {
            state.record_unreachable(&upstream(i), 1);
            for _ in 0..FAILURES {
                state.record_failure(&upstream(i), "connection reset", 1);
            }
        }
        let tried_upstreams = members.map(|i| upstream(i).id);
        let tried = Tried {
            upstreams: &tried_upstreams,
            may_repeat: true,
            kept: None,
        };
        let origin = origin.origin();
        let bounds = Bounds {
            origin: Some(&origin),
            ..Bounds::default()
        };
        let (pool, candidates) = state.pool("s", &tried, bounds, u32::MAX, 1);
        let positions = |is_in: fn(&Candidate) -> bool| -> Vec<Name> {
            let all = candidates.iter().zip(pool.upstreams());
            all.filter(|(c, _)| is_in(c))
                .map(|(_, u)| u.id.clone())
                .collect()
        };
        assert_eq!(positions(|c| !c.excluded), tried_upstreams);
        assert!(
            positions(|c| c.has_parts)
                .iter()
                .all(|id| tried_upstreams.contains(id))
        );
        assert!(state.has_version(&origin));
    }
}

/// All upstreams of the version that began a stream have gone or shut down. Other versions must not
/// go on with it, and the refusal must be able to say so.
#[test]
fn stream_of_a_version_without_upstreams_gets_none() {
    let state = state();
    let of = |i: u8, draining| Upstream {
        software: Some("1".into()),
        draining,
        ..upstream(i)
    };
    let origin = of(0, false).origin();
    assert!(!state.has_version(&origin));
    state.change_upstreams(|upstreams| upstreams.put(of(0, false)));
    assert!(state.has_version(&origin));
    state.change_upstreams(|upstreams| upstreams.put(of(0, true)));
    assert!(!state.has_version(&origin));
    let tried = Tried {
        upstreams: &[],
        may_repeat: true,
        kept: None,
    };
    let bounds = Bounds {
        origin: Some(&origin),
        ..Bounds::default()
    };
    let (_, candidates) = state.pool("s", &tried, bounds, u32::MAX, 1);
    assert!(candidates.iter().all(|c| c.excluded));
}

/// All upstreams of the version that began a stream want no requests for a while, and other
/// versions take some. The caller must come back when the pause ends.
#[test]
fn pause_of_the_version_that_began_a_stream_is_told() {
    let state = state();
    let one = Upstream {
        software: Some("1".into()),
        ..upstream(0)
    };
    state.change_upstreams(|upstreams| upstreams.put(one.clone()));
    state.record_notices(&one, &pushback(2_000), 0);
    let origin = one.origin();
    let pushback_ms = |origin| {
        let regions = &[];
        state.pushback_ms(
            "s",
            Bounds {
                regions,
                origin,
                unused: &[],
            },
            100,
        )
    };
    assert_eq!(pushback_ms(None), None);
    assert_eq!(pushback_ms(Some(&origin)), Some(1_900));
}

/// The home of a brittle upstream knows what it sent there. Without the gate's count it would send on while the
/// upstream rejects.
#[test]
fn gate_follows_what_the_home_sends() {
    let (state, upstream) = (state(), Rc::new(upstream(0)));
    let head = AnswerHead {
        frailty: Frailty::Bears(2),
        ..AnswerHead::default()
    };
    state.record_notices(&upstream, &head, 0);
    assert_eq!(state.borne(&upstream, 0), Some(2));
    let first = state.start_request(&upstream, 0);
    assert!(state.enter_gate(&upstream, &first, 0));
    assert!(state.enter_gate(&upstream, &first, 0), "counted once");
    let second = state.start_request(&upstream, 0);
    assert!(!state.enter_gate(&upstream, &second, 0), "one in doubt");
    assert!(!state.is_gate_open(&upstream, 2, 0));
    assert!(state.is_gate_open(&upstream, 2, 100));
    state.record_rejected(&first, 100);
    assert!(!state.is_gate_open(&upstream, 2, 1_099));
    assert!(state.is_gate_open(&upstream, 2, 1_100));
}

/// A router that has started is told of brittle upstreams before it has read the list of upstreams.
#[test]
fn brittle_upstreams_are_known_before_the_list() {
    let (known, started) = (state(), state());
    let head = AnswerHead {
        frailty: Frailty::Bears(5),
        ..AnswerHead::default()
    };
    known.record_notices(&upstream(1), &head, 0);
    known.record_notices(&upstream(2), &AnswerHead::default(), 0);
    started.change_upstreams(|upstreams| upstreams.remove(&upstream(3).id));
    started.take_frailty(known.known_frailty());
    assert_eq!(started.borne(&upstream(1), 0), Some(5));
    assert_eq!(started.borne(&upstream(2), 0), None);
    assert_eq!(
        started.borne(&upstream(4), 0),
        Some(5),
        "nothing heard of it"
    );
}
