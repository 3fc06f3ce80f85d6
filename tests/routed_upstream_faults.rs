//! Upstreams that fail in every way: who gets an answer, who may run again, and what is said.

mod support;

use serde_json::json;
use support::routed::{Routed, Size};
use support::{set_knobs, wait_until};
use test_case::test_case;

/// An upstream spoils one answer to a request that may be repeated. Its caller gets the whole answer
/// of another upstream and sees nothing of it.
#[test_case("reject"; "says that it did not run it")]
#[test_case("cut"; "cuts before the answer")]
#[test_case("half"; "cuts in the middle")]
#[test_case("garbage"; "sends bytes that are no answer")]
#[test_case("crossed"; "answers another request")]
#[test_case("unproved"; "gives no proof")]
#[test_case("fail"; "fails")]
#[test_case("silent"; "never answers")]
#[compio::test]
async fn repeatable_request_is_served_elsewhere(spoil: &str) {
    let routed = Routed::start(Size::default()).await;
    for upstream in &routed.upstreams {
        set_knobs(upstream.addr, &json!({ "spoil": spoil, "spoilt": 1 })).await;
    }
    // Both upstreams spoil once, and a third try isn't there: the second request is the clean one.
    routed.call(0, "/get/1", "1").await;
    routed.call(0, "/get/1", "1").await;
    let (id, received) = routed.call(0, "/get/1", "7").await;
    let received = received.unwrap();
    assert_eq!((received.status, received.whole), (200, true));
    assert_eq!(received.header("attempt-id"), id);
    assert!(received.body.contains("\"echo\":\"7\""));
}

/// A ticket runs at one upstream, and its answer is lost. Sent again, it would stand twice; told
/// "not run", its caller would send it again. It is told that nothing is known.
#[test_case("cut"; "cuts before the answer")]
#[test_case("half"; "cuts in the middle")]
#[test_case("garbage"; "sends bytes that are no answer")]
#[test_case("crossed"; "answers another request")]
#[test_case("unproved"; "gives no proof")]
#[compio::test]
async fn lost_ticket_runs_once_and_is_not_called_unrun(spoil: &str) {
    let routed = Routed::start(Size::default()).await;
    routed
        .upstream_knobs(json!({ "spoil": spoil, "spoilt": 1 }))
        .await;
    let (id, received) = routed.call(0, "/ticket/1", "1").await;
    assert_eq!(received.unwrap().status, 502);
    assert_eq!(routed.runs_of(&id), 1);
}

/// An upstream turns a ticket away before it ran: another may have it, and only one runs it.
#[compio::test]
async fn rejected_ticket_runs_elsewhere() {
    let routed = Routed::start(Size::default()).await;
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

/// Every upstream turns the request away: the refusal says so at once, and when to come back.
#[compio::test]
async fn request_that_nobody_takes_is_refused_as_not_run() {
    let routed = Routed::start(Size::default()).await;
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

/// An upstream sends a second answer after the first. On a connection that is used again, it would
/// stand where the next caller's answer is expected.
#[compio::test]
async fn second_answer_reaches_nobody() {
    let routed = Routed::start(Size::default()).await;
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
    let routed = Routed::start(Size::default()).await;
    routed
        .upstream_knobs(json!({ "spoil": "unframed", "spoilt": 1 }))
        .await;
    let (_, received) = routed.call(0, "/ticket/1", "7").await;
    let received = received.unwrap();
    assert!(
        received.whole && received.body.ends_with('}'),
        "{received:?}"
    );
}

/// An engine dies in the middle of an event. Another goes on after the last whole event: the caller
/// gets each event once, in order, and an end mark.
#[test_case("half"; "breaks off in mid event")]
#[test_case("silent"; "goes silent")]
#[compio::test]
async fn broken_stream_goes_on_elsewhere(spoil: &str) {
    let routed = Routed::start(Size::default()).await;
    routed
        .upstream_knobs(json!({ "spoil": spoil, "spoilt": 1 }))
        .await;
    let (id, received) = routed.call(0, "/resumed/stream", "12").await;
    let received = received.unwrap();
    assert!(received.whole);
    let wanted: Vec<String> = (1..=12).map(|n| format!("{n} of 12")).collect();
    assert_eq!(received.data(), wanted);
    assert!(routed.runs_of(&id) >= 2);
}

/// A stream that may not go on elsewhere breaks off: it must look cut, and run once.
#[compio::test]
async fn broken_stream_that_may_not_go_on_is_cut() {
    let routed = Routed::start(Size::default()).await;
    routed
        .upstream_knobs(json!({ "spoil": "half", "spoilt": 1 }))
        .await;
    let (id, received) = routed.call(0, "/once/stream", "12").await;
    assert!(!received.unwrap().whole);
    assert_eq!(routed.runs_of(&id), 1);
}

/// An upstream's host dies and another incarnation listens at its address: what was meant for the
/// old one must not run at the new one unasked, and callers are served all the same.
#[compio::test]
async fn replaced_upstream_is_found_again() {
    let mut routed = Routed::start(Size::default()).await;
    routed.upstreams[0].kill();
    routed.spawn_upstream(0);
    for _ in 0..10 {
        let (id, received) = routed.call(0, "/ticket/1", "1").await;
        assert_eq!(received.unwrap().status, 200);
        assert_eq!(routed.runs_of(&id), 1);
    }
}

/// Most upstreams crash and start anew at their addresses, and the entries of those that crashed stay.
/// Each request that means one of these comes back unrun, and soon the fleet's retries are used up and
/// callers are refused, though all addresses serve. One such answer must be enough.
#[compio::test]
async fn replaced_upstream_is_asked_once() {
    const REPLACED: u8 = 3;
    let size = Size {
        upstreams: REPLACED + 1,
        ..Size::default()
    };
    let mut routed = Routed::start(size).await;
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

/// A caller goes while its stream runs: the upstream must not work on for nobody.
#[compio::test]
async fn upstream_is_freed_when_the_caller_goes() {
    let routed = Routed::start(Size::default()).await;
    routed.upstream_knobs(json!({ "delay_ms": 30 })).await;
    let call = routed.call(0, "/resumed/stream", "1000");
    assert!(
        compio::time::timeout(std::time::Duration::from_millis(300), call)
            .await
            .is_err()
    );
    wait_until("the cancellation", || async {
        routed.log(0).contains("request_cancelled")
    })
    .await;
}

/// One request crashes each upstream that runs it, and its caller sends it again and again. It must
/// be stopped before it has taken all of them down; other requests go on.
#[compio::test]
async fn request_that_crashes_upstreams_is_stopped() {
    let size = Size {
        upstreams: 3,
        ..Size::default()
    };
    let mut routed = Routed::start(size).await;
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
        // Its next request finds the dead one dead.
        for _ in 0..6 {
            routed.call(0, "/get/1", "1").await;
        }
    }
    assert!((1..=6).contains(&crashes), "{crashes} upstreams crashed");
    let (id, received) = routed.call(0, "/ticket/1", "poison").await;
    assert_eq!(received.unwrap().status, 503);
    assert_eq!(routed.runs_of(&id), 0);
}
