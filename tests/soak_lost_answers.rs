//! The soak's judgement on answers that routers lost, on made-up records.

#[path = "../examples/soak/lost_answers.rs"]
mod lost_answers;

use lost_answers::{APPLY_BOUND_MS, Beside, GRACE_MS, History, Period, Request, Work, lost};
use test_case::test_case;

/// Unix time of the stop, reload or version of each test.
const CHANGE_MS: u64 = 100_000;
const LIMIT_MS: u64 = 8_000;

fn period(from_ms: u64, to_ms: u64) -> Period {
    Period { from_ms, to_ms }
}

/// A request at router 0 that an upstream worked on, and that ended without its answer. Times are
/// relative to the change.
fn cut(sent_ms: i64, ended_ms: i64) -> Request {
    let at = |ms: i64| CHANGE_MS.saturating_add_signed(ms);
    Request {
        router: 0,
        sent_ms: at(sent_ms),
        ended_ms: at(ended_ms),
        limit_ms: LIMIT_MS,
        is_answered: false,
        work: vec![Work {
            period: period(at(sent_ms), at(ended_ms)),
            is_broken_off: false,
        }],
    }
}

fn stop() -> History {
    History {
        stops: vec![(0, CHANGE_MS)],
        ..History::default()
    }
}

fn reload() -> History {
    History {
        reloads: vec![(0, CHANGE_MS)],
        ..History::default()
    }
}

/// A version that the store acknowledged after 50 ms.
fn version() -> History {
    History {
        versions: vec![period(CHANGE_MS, CHANGE_MS + 50)],
        ..History::default()
    }
}

fn beside(request: Request, history: &History) -> Option<Beside> {
    let requests = [request];
    let found = lost(&requests, history).first().map(|(_, beside)| *beside);
    assert!(found.is_none() || history.judges(&requests[0]));
    found
}

/// A cut beside a stop is overlooked: before it, while it lasts, and until the process should be gone.
#[test_case(-500, 0, true; "cut at once")]
#[test_case(-500, 1_000, true; "sent before")]
#[test_case(500, 1_000, true; "sent while it leaves")]
#[test_case(5_500, 6_000, true; "until a second after the grace time")]
#[test_case(5_500, 6_001, false; "later")]
#[test_case(-500, -1, false; "ended before")]
fn cut_beside_a_stop(sent_ms: i64, ended_ms: i64, is_lost: bool) {
    let expected = is_lost.then(|| Beside::Stop {
        before_ms: u64::try_from(ended_ms).unwrap(),
    });
    assert_eq!(beside(cut(sent_ms, ended_ms), &stop()), expected);
}

/// A cut beside a reload is overlooked.
#[test_case(-500, 300, true; "in flight at the reload")]
#[test_case(2_000, 4_000, true; "sent until it is in force, cut any time later")]
#[test_case(2_001, 4_000, false; "sent later")]
#[test_case(-500, -1, false; "cut before")]
fn cut_beside_a_reload(sent_ms: i64, ended_ms: i64, is_lost: bool) {
    let expected = is_lost.then(|| Beside::Reload {
        before_ms: u64::try_from(ended_ms).unwrap(),
    });
    assert_eq!(beside(cut(sent_ms, ended_ms), &reload()), expected);
}

/// A cut beside a version is overlooked.
#[test_case(-500, 0, true; "from its sending")]
#[test_case(-500, 3_050, true; "until a second after it is in force")]
#[test_case(-500, 3_051, false; "later")]
#[test_case(-500, -1, false; "before")]
fn cut_beside_a_version(sent_ms: i64, ended_ms: i64, is_lost: bool) {
    let expected = is_lost.then(|| Beside::Version {
        before_ms: u64::try_from(ended_ms).unwrap(),
    });
    assert_eq!(beside(cut(sent_ms, ended_ms), &version()), expected);
}

/// A version that the store never acknowledged may be in force at any time.
#[test]
fn version_without_acknowledgement_counts_on() {
    let mut history = version();
    history.versions[0].to_ms = u64::MAX;
    assert!(beside(cut(50_000, 51_000), &history).is_some());
}

/// An end that no stop, reload or version stands beside isn't judged here, nor is another router's.
#[test]
fn cut_beside_nothing_is_no_loss() {
    assert_eq!(beside(cut(0, 1_000), &History::default()), None);
    for history in [stop(), reload()] {
        let mut request = cut(0, 1_000);
        request.router = 1;
        assert_eq!(beside(request, &history), None);
    }
}

#[test]
fn answered_request_is_no_loss() {
    for history in [stop(), reload(), version()] {
        let mut request = cut(-500, 500);
        request.is_answered = true;
        assert_eq!(beside(request, &history), None);
    }
}

/// A request that crosses the close of its connection wasn't read, but one that was passed on, or that
/// waited for long, was.
#[test_case(0, 200, false, false; "not passed on and ended at once")]
#[test_case(0, 201, false, true; "not passed on and ended later")]
#[test_case(0, 20, true, true; "passed on and ended at once")]
fn request_counts_once_it_was_read(sent_ms: i64, ended_ms: i64, is_passed_on: bool, is_lost: bool) {
    for history in [stop(), reload(), version()] {
        let mut request = cut(sent_ms, ended_ms);
        if !is_passed_on {
            request.work.clear();
        }
        assert_eq!(beside(request, &history).is_some(), is_lost);
    }
}

/// A disruption near a request excuses its end, from 3 s before it was sent until it ended.
#[test_case(-4_000, -3_500, false; "that ended more than 3 s before")]
#[test_case(-4_000, -3_499, true; "that ended 3 s before")]
#[test_case(-4_000, 9_000, true; "that lasts all the while")]
#[test_case(1_000, 2_000, true; "that begins at its end")]
#[test_case(1_001, 2_000, false; "that begins after its end")]
fn disruption_excuses(from_ms: i64, to_ms: i64, is_excused: bool) {
    for mut history in [stop(), reload(), version()] {
        let at = |ms: i64| CHANGE_MS.saturating_add_signed(ms);
        history.disruptions.push(period(at(from_ms), at(to_ms)));
        let request = cut(-499, 1_000);
        assert_eq!(beside(request, &history).is_none(), is_excused);
    }
}

/// An answer that an upstream broke off isn't lost by the router.
#[test]
fn upstream_that_breaks_off_excuses() {
    for history in [stop(), reload(), version()] {
        let mut request = cut(-500, 500);
        request.work[0].is_broken_off = true;
        assert_eq!(beside(request, &history), None);
    }
}

/// A request whose time limit was reached isn't lost.
#[test_case(1_500, false; "reached")]
#[test_case(1_501, true; "not reached")]
fn time_limit_excuses(limit_ms: u64, is_lost: bool) {
    for history in [stop(), reload()] {
        let mut request = cut(-500, 1_000);
        request.limit_ms = limit_ms;
        assert_eq!(beside(request, &history).is_some(), is_lost);
    }
}

/// A request that came early in a stop and whose upstream still worked in the last sixth of the grace time
/// was too long for it; one that came late should have been refused.
#[test_case(-500, 4_750, 4_167, false; "in flight")]
#[test_case(3_000, 4_750, 4_750, false; "sent after 3 s")]
#[test_case(3_001, 4_750, 4_750, true; "sent later")]
#[test_case(-500, 4_750, 4_166, true; "upstream was done before")]
fn work_that_outlasts_the_grace_time_excuses(
    sent_ms: i64,
    ended_ms: i64,
    worked_until_ms: u64,
    is_lost: bool,
) {
    assert_eq!(GRACE_MS, 5_000);
    let mut request = cut(sent_ms, ended_ms);
    request.work[0].period.to_ms = CHANGE_MS + worked_until_ms;
    assert_eq!(beside(request, &stop()).is_some(), is_lost);
}

/// The grace time of an earlier stop of the router excuses no request of the process after it.
#[test]
fn earlier_stop_excuses_nothing() {
    let mut history = stop();
    history.stops.push((0, CHANGE_MS + 20_000));
    let request = cut(19_000, 21_000);
    let expected = Beside::Stop { before_ms: 1_000 };
    assert_eq!(beside(request, &history), Some(expected));
}

/// A request that used seven tenths of its time isn't held against a version, but against a stop.
#[test_case(1_399, true; "less")]
#[test_case(1_400, false; "seven tenths")]
fn version_does_not_count_late_in_a_request(took_ms: i64, is_lost: bool) {
    let mut request = cut(0, took_ms);
    request.limit_ms = 2_000;
    assert_eq!(beside(request.clone(), &version()).is_some(), is_lost);
    assert!(beside(request, &stop()).is_some());
}

/// Cuts beside versions count only if they are over three times as frequent as at other times.
#[test_case(3, 1, false; "three times")]
#[test_case(4, 1, true; "four times")]
#[test_case(1, 0, true; "never at other times")]
fn versions_count_by_the_share_of_cuts(cuts_beside: usize, cuts_else: usize, is_lost: bool) {
    const REQUESTS: usize = 20;
    let with_cuts = |sent_ms: i64, cuts: usize| {
        (0..REQUESTS).map(move |n| {
            let mut request = cut(sent_ms, sent_ms + 500);
            request.is_answered = n >= cuts;
            request
        })
    };
    let beside = with_cuts(0, cuts_beside);
    let requests: Vec<Request> = beside.chain(with_cuts(10_000, cuts_else)).collect();
    let found = lost(&requests, &version()).len();
    assert_eq!(found, if is_lost { cuts_beside } else { 0 });
}

/// The shares are those of one router: another's cuts at other times excuse nothing.
#[test]
fn other_routers_cuts_excuse_nothing() {
    let mut other = cut(10_000, 10_500);
    other.router = 1;
    let found = lost(&[cut(0, 500), other], &version());
    assert_eq!(found, [(0, Beside::Version { before_ms: 500 })]);
}

/// A stop is named before a version that is beside the same end: it needs no comparison.
#[test]
fn stop_is_named_before_a_version() {
    let mut history = version();
    history.stops.push((0, CHANGE_MS + 100));
    let expected = Beside::Stop { before_ms: 400 };
    assert_eq!(beside(cut(-500, 500), &history), Some(expected));
    assert_eq!(APPLY_BOUND_MS, 2_000);
}
