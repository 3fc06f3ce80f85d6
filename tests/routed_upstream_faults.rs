//! Upstream failures of every kind: which requests are answered, which are retried, and the cause
//! and run state of refusals.

mod support;

use serde_json::json;
use support::routed::{FleetSize, RoutedFleet};
use support::{set_knobs, wait_until};
use test_case::test_case;

/// An upstream corrupts one answer to an idempotent request. Its caller gets the whole answer of
/// another upstream and sees no error.
#[test_case("reject"; "rejects as not run")]
#[test_case("cut"; "cuts before the answer")]
#[test_case("half"; "cuts in the middle")]
#[test_case("garbage"; "sends malformed bytes")]
#[test_case("crossed"; "answers another request")]
#[test_case("unproved"; "gives no proof")]
#[test_case("fail"; "fails")]
#[test_case("silent"; "never answers")]
#[compio::test]
async fn idempotent_request_is_retried_elsewhere(fault: &str) {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    for upstream in &routed.upstreams {
        set_knobs(upstream.addr, &json!({ "spoil": fault, "spoilt": 1 })).await;
    }
    // Both upstreams fail once and there is no third attempt: the second request is the clean one.
    routed.call(0, "/get/1", "1").await;
    routed.call(0, "/get/1", "1").await;
    let (id, received) = routed.call(0, "/get/1", "7").await;
    let received = received.unwrap();
    assert_eq!((received.status, received.complete), (200, true));
    assert_eq!(received.header("attempt-id"), id);
    assert!(received.body.contains("\"echo\":\"7\""));
}

/// A non-idempotent request runs at one upstream, and its answer is lost. A retry would run it
/// twice, and after "not run" its caller would send it again: the refusal must say that the run
/// state is unknown.
#[test_case("cut"; "cuts before the answer")]
#[test_case("half"; "cuts in the middle")]
#[test_case("garbage"; "sends malformed bytes")]
#[test_case("crossed"; "answers another request")]
#[test_case("unproved"; "gives no proof")]
#[compio::test]
async fn lost_answer_runs_once_and_is_refused_as_unknown(fault: &str) {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    routed
        .upstream_knobs(json!({ "spoil": fault, "spoilt": 1 }))
        .await;
    let (id, received) = routed.call(0, "/ticket/1", "1").await;
    assert_eq!(received.unwrap().status, 502);
    assert_eq!(routed.runs_of(&id), 1);
}

/// An upstream runs a non-idempotent request and answers 503 without saying that it didn't. To the
/// caller that status promises that the request never runs, and it would send it again.
#[test_case("/ticket/1"; "ticket")]
#[test_case("/once/1"; "stream that may not be resumed")]
#[compio::test]
async fn unavailable_after_a_run_is_no_promise(path: &str) {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    routed
        .upstream_knobs(json!({ "spoil": "busy", "spoilt": 10 }))
        .await;
    let (id, received) = routed.call(0, path, "1").await;
    let received = received.unwrap();
    assert_eq!(routed.runs_of(&id), 1);
    assert_eq!(received.status, 502);
    assert!(!received.not_run(), "{received:?}");
}

/// An upstream rejects a non-idempotent request before it ran: it is retried at another, and only
/// that one runs it.
#[compio::test]
async fn rejected_ticket_runs_elsewhere() {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    set_knobs(
        routed.upstreams[0].addr,
        &json!({ "spoil": "reject", "spoilt": 100 }),
    )
    .await;
    for _ in 0..6 {
        let (id, received) = routed.call(0, "/ticket/1", "1").await;
        assert_eq!(received.unwrap().status, 200);
        assert_eq!(routed.runs_of(&id), 1);
    }
}

/// Every upstream rejects the request: it is refused at once as not run, with a retry time.
#[compio::test]
async fn request_rejected_by_all_upstreams_is_refused_as_not_run() {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    routed
        .upstream_knobs(json!({ "spoil": "reject", "spoilt": 100 }))
        .await;
    let (id, received) = routed.call(0, "/ticket/1", "1").await;
    let received = received.unwrap();
    assert_eq!(received.status, 503);
    let retry_after: f64 = received.header("retry-after").parse().unwrap();
    assert!(retry_after > 0.0 && retry_after < 1.0, "{retry_after}");
    assert!(received.not_run());
    assert_eq!(routed.runs_of(&id), 0);
}

/// An upstream sends a second answer after the first. On a reused connection the next caller would
/// get it.
#[compio::test]
async fn second_answer_is_dropped() {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    routed
        .upstream_knobs(json!({ "spoil": "extra", "spoilt": 10 }))
        .await;
    for n in 0..20 {
        let (id, received) = routed.call(0, "/get/1", &n.to_string()).await;
        let received = received.unwrap();
        assert_eq!(received.header("attempt-id"), id);
        assert!(received.body.contains(&format!("\"echo\":\"{n}\"")));
    }
}

/// An answer without a length ends with its connection; its caller must get all of it.
#[compio::test]
async fn answer_without_a_length_is_whole() {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    routed
        .upstream_knobs(json!({ "spoil": "unframed", "spoilt": 1 }))
        .await;
    let (_, received) = routed.call(0, "/ticket/1", "7").await;
    let received = received.unwrap();
    assert!(
        received.complete && received.body.ends_with('}'),
        "{received:?}"
    );
}

/// An engine dies in the middle of an event. Another continues after the last whole event: the
/// caller gets each event once, in order, and an end mark.
#[test_case("half"; "breaks off in mid event")]
#[test_case("silent"; "goes silent")]
#[compio::test]
async fn broken_stream_is_resumed_elsewhere(fault: &str) {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    routed
        .upstream_knobs(json!({ "spoil": fault, "spoilt": 1 }))
        .await;
    let (id, received) = routed.call(0, "/resumed/stream", "12").await;
    let received = received.unwrap();
    assert!(received.complete);
    let wanted: Vec<String> = (1..=12).map(|n| format!("{n} of 12")).collect();
    assert_eq!(received.data(), wanted);
    assert!(routed.runs_of(&id) >= 2);
}

/// A stream that may not be resumed breaks off: it must look cut, and run once.
#[compio::test]
async fn broken_stream_that_may_not_be_resumed_is_cut() {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    routed
        .upstream_knobs(json!({ "spoil": "half", "spoilt": 1 }))
        .await;
    let (id, received) = routed.call(0, "/once/stream", "12").await;
    assert!(!received.unwrap().complete);
    assert_eq!(routed.runs_of(&id), 1);
}

/// An upstream's host dies and another incarnation listens at its address: a request meant for the
/// old one must not run at the new one unchecked, and callers are still served.
#[compio::test]
async fn replaced_upstream_is_used_again() {
    let mut routed = RoutedFleet::start(FleetSize::default()).await;
    routed.upstreams[0].kill();
    routed.spawn_upstream(0);
    for _ in 0..10 {
        let (id, received) = routed.call(0, "/ticket/1", "1").await;
        assert_eq!(received.unwrap().status, 200);
        assert_eq!(routed.runs_of(&id), 1);
    }
}

/// Most upstreams crash and restart at their addresses, and the entries of the crashed ones remain.
/// If each request sent to such an entry came back unrun, the fleet's retry budget would soon be
/// used up and callers refused, though all addresses serve. One such answer must be enough.
#[compio::test]
async fn stale_entry_is_rejected_once_per_upstream() {
    const REPLACED: u8 = 3;
    let size = FleetSize {
        upstreams: REPLACED + 1,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    for i in 0..REPLACED {
        routed.upstreams[usize::from(i)].kill();
        routed.spawn_upstream(i);
    }
    for _ in 0..200 {
        let (_, received) = routed.call(0, "/get/1", "1").await;
        assert_eq!(received.unwrap().status, 200);
    }
    let log = routed.log_until_now(0).await;
    let rejected = log.matches("rejected with 421").count();
    assert!(rejected <= usize::from(REPLACED), "{rejected} rejections");
}

/// A caller disconnects while its stream runs: the upstream must stop working on it.
#[compio::test]
async fn upstream_is_freed_when_the_caller_disconnects() {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    routed.upstream_knobs(json!({ "delay_ms": 30 })).await;
    let call = routed.call(0, "/resumed/stream", "1000");
    assert!(
        compio::time::timeout(std::time::Duration::from_millis(300), call)
            .await
            .is_err()
    );
    wait_until("the cancelled stream", || async {
        routed.log(0).contains("request_cancelled")
    })
    .await;
}

/// One request crashes each upstream that runs it, and its caller keeps resending it. It must be
/// stopped before it has crashed all of them; other requests are served.
#[compio::test]
async fn request_that_crashes_upstreams_is_stopped() {
    let size = FleetSize {
        upstreams: 3,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    let knobs = json!({ "crash_marker": "poison" });
    routed.upstream_knobs(knobs.clone()).await;
    let mut crashes = 0;
    for _ in 0..8 {
        let (id, received) = routed.call(0, "/ticket/1", "poison").await;
        let runs = routed.runs_of(&id);
        crashes += runs;
        if runs == 0 && received.is_some_and(|r| r.body.contains("quarantined")) {
            break;
        }
        routed.replace_crashed(runs).await;
        routed.wait_status(0, "/get/1", 200).await;
        for upstream in &routed.upstreams {
            wait_until("an upstream", || async {
                support::post(upstream.addr, "/knobs", &knobs.to_string()).await
            })
            .await;
        }
        // The next request to the dead upstream detects that it is dead.
        for _ in 0..6 {
            routed.call(0, "/get/1", "1").await;
        }
    }
    assert!((1..=6).contains(&crashes), "{crashes} upstreams crashed");
    let (id, received) = routed.call(0, "/ticket/1", "poison").await;
    assert_eq!(received.unwrap().status, 503);
    assert_eq!(routed.runs_of(&id), 0);
}
