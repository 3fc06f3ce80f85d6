//! All upstreams, as one router sends them to others that start.

use std::sync::atomic::{AtomicU64, Ordering};

use super::freshness::Evidence;
use super::log_replica_tests::{Router, at, put};
use crate::schema::peer::{LogSyncReply, LogSyncRequest};
use crate::util::Clock;
use bytes::Bytes;

const CONFIRMED_MS: u64 = 10_000;

fn now() -> &'static AtomicU64 {
    Box::leak(Box::new(AtomicU64::new(CONFIRMED_MS)))
}

/// A router with two upstreams that it has loaded from the log.
fn loaded(now_ms: &'static AtomicU64) -> Router {
    let router = Router::with_clock(Clock::set_by(now_ms));
    router.replica.start_at(at(5));
    for id in ["i-1", "i-2"] {
        put(&router, 5, id);
    }
    router
        .replica
        .confirm_upstreams(CONFIRMED_MS, Evidence::Log);
    router
}

fn ask_for_all(router: &Router) -> LogSyncReply {
    router.replica.reply_to(&LogSyncRequest {
        takes_all: true,
        ..LogSyncRequest::default()
    })
}

/// Guards against a router that compresses all upstreams anew for each of hundreds that start, as
/// upstreams write records meanwhile. What is sent is older than its state, says so, and
/// leads to the state by the changes since.
#[test]
fn snapshot_is_sent_again_after_changes() {
    let now_ms = now();
    let sender = loaded(now_ms);
    let sent = ask_for_all(&sender);
    now_ms.store(CONFIRMED_MS + 300, Ordering::Relaxed);
    put(&sender, 6, "i-3");
    sender
        .replica
        .confirm_upstreams(CONFIRMED_MS + 300, Evidence::Log);
    let again = ask_for_all(&sender);
    assert_eq!(again.all_upstreams, sent.all_upstreams);
    let position = again.mark.unwrap();
    assert_eq!(position.upstreams(), at(5));
    assert_eq!(position.upstreams_age_ms, 300);

    let starting = Router::with_clock(Clock::set_by(now_ms));
    starting.learn_from(&sender);
    assert!(!starting.state.has_upstream("i-3"));
    starting.learn_from(&sender);
    assert!(starting.state.has_upstream("i-3"));
    assert_eq!(starting.replica.upstreams_at(), at(6));
}

/// Guards against snapshots so old that who receives them may not decide by them.
#[test]
fn old_snapshot_is_made_anew() {
    let now_ms = now();
    let sender = loaded(now_ms);
    ask_for_all(&sender);
    now_ms.store(CONFIRMED_MS + 700, Ordering::Relaxed);
    put(&sender, 6, "i-3");
    let position = ask_for_all(&sender).mark.unwrap();
    assert_eq!(position.upstreams(), at(6));
}

/// Guards against a router that has just received all upstreams and spends its processor time on
/// compressing them before it passes them on.
#[test]
fn received_snapshot_is_passed_on_as_it_is() {
    let now_ms = now();
    let sender = loaded(now_ms);
    let receiver = Router::with_clock(Clock::set_by(now_ms));
    receiver.learn_from(&sender);
    now_ms.store(CONFIRMED_MS + 200, Ordering::Relaxed);
    put(&receiver, 6, "i-3");
    let passed_on = ask_for_all(&receiver);
    assert_eq!(passed_on.all_upstreams, ask_for_all(&sender).all_upstreams);
    assert_eq!(passed_on.mark.unwrap().upstreams_age_ms, 200);
}

/// Guards against a router that answers all of a starting fleet at once, and against routers that read the
/// log because one that is busy didn't answer.
#[test]
fn busy_router_refuses_and_the_others_go_on_waiting() {
    let now_ms = now();
    let sender = loaded(now_ms);
    for n in 0..40_000_u64 {
        let id = format!("i-{n}-{:x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        sender
            .replica
            .put(at(6 + n), &id, Bytes::from_static(b"ready"));
    }
    let answers = (0..40).map(|_| ask_for_all(&sender).all_upstreams.len());
    let refused = answers.filter(|bytes| *bytes == 0).count();
    assert!((1..40).contains(&refused), "{refused} of 40");
    let starting = Router::with_clock(Clock::set_by(now_ms));
    starting.learn_from(&sender);
    assert_eq!(starting.state.upstream_count(), 0);
    assert!(!starting.replica.awaits_log());
    now_ms.store(CONFIRMED_MS + 5_000, Ordering::Relaxed);
    starting.learn_from(&sender);
    assert!(starting.state.upstream_count() > 40_000);
}
