use crate::decide::stop::{Expected, StopSignal, StopTimes};

const NOTICE_MS: u64 = 3_000;
const GRACE_MS: u64 = 8_000;

fn times(earliest_ms: u64, noticed_ms: u64) -> StopTimes {
    let signal = StopSignal {
        earliest_ms,
        noticed_ms,
    };
    StopTimes::new(signal, NOTICE_MS, GRACE_MS)
}

#[test]
fn stop_that_is_noticed_at_once_uses_the_grace_time() {
    let expected = StopTimes {
        refuse_ms: 4_000,
        close_ms: 8_200,
        exit_ms: 8_600,
    };
    assert_eq!(times(1_000, 1_000), expected);
}

/// A process notices the signal late, and is killed before it has refused what waits.
#[test]
fn times_count_from_the_earliest_time_of_the_signal() {
    let (at_once, late) = (times(1_000, 1_000), times(1_000, 1_900));
    assert_eq!(late, at_once);
}

/// The signal came at the end of a long pause, and answers in flight are cut long before the grace time is
/// over.
#[test]
fn answers_in_flight_get_most_of_the_grace_time() {
    let late = times(1_000, 5_000);
    assert_eq!((late.refuse_ms, late.close_ms), (4_000, 8_200));
    assert!(late.exit_ms >= 5_000 + GRACE_MS * 5 / 6, "{late:?}");
}

#[test]
fn announcement_takes_half_of_the_time_at_most() {
    let signal = StopSignal {
        earliest_ms: 0,
        noticed_ms: 0,
    };
    let times = StopTimes::new(signal, 30_000, 2_000);
    assert_eq!(times.refuse_ms, 950);
}

#[test]
fn recent_answers_tell_more_than_limits() {
    let expected = Expected {
        lately_ms: Some(700),
        objective_ms: Some(200),
        limit_ms: 9_000,
    };
    assert_eq!(expected.longest_ms(), 700);
    let limited = Expected {
        limit_ms: 300,
        ..expected
    };
    assert_eq!(limited.longest_ms(), 300);
}

#[test]
fn request_without_recent_answers_takes_its_limit_or_some_objectives() {
    let stream = Expected {
        lately_ms: None,
        objective_ms: None,
        limit_ms: 9_000,
    };
    assert_eq!(stream.longest_ms(), 9_000);
    let other = Expected {
        objective_ms: Some(200),
        ..stream
    };
    assert_eq!(other.longest_ms(), 800);
}
