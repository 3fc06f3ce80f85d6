use crate::decide::Name;
use crate::decide::answer_times::AnswerTimes;

fn route(name: &str) -> Name {
    name.into()
}

#[test]
fn few_answers_tell_nothing() {
    let mut times = AnswerTimes::default();
    for _ in 0..7 {
        times.record(&route("a"), 100);
    }
    assert_eq!(times.long_ms("a"), None);
    times.record(&route("a"), 100);
    assert_eq!(times.long_ms("a"), Some(100));
    assert_eq!(times.long_ms("b"), None);
}

/// One answer in many took far longer than all others, and everything is expected to.
#[test]
fn single_outlier_does_not_decide() {
    let mut times = AnswerTimes::default();
    times.record(&route("a"), 60_000);
    for took_ms in 1..32 {
        times.record(&route("a"), took_ms);
    }
    assert_eq!(times.long_ms("a"), Some(31));
}

#[test]
fn newest_answers_count() {
    let mut times = AnswerTimes::default();
    for _ in 0..40 {
        times.record(&route("a"), 5_000);
    }
    for _ in 0..32 {
        times.record(&route("a"), 100);
    }
    assert_eq!(times.long_ms("a"), Some(100));
}

/// Routes are added and removed all day, and the durations of all of them are kept.
#[test]
fn routes_without_answers_for_long_are_forgotten() {
    let mut times = AnswerTimes::default();
    for n in 0..1_000 {
        for _ in 0..8 {
            times.record(&route(&n.to_string()), n);
        }
    }
    assert_eq!(times.long_ms("0"), None);
    assert_eq!(times.long_ms("744"), Some(744));
    assert_eq!(times.long_ms("743"), None);
}
