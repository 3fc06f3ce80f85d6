//! Routers that learn of a restore of the log at different positions, late, twice, or while the log
//! is away again.

use std::sync::atomic::{AtomicU64, Ordering};

use super::cursor::{Order, Record};
use super::freshness::Evidence;
use super::log_replica_tests::{Router, at, entry, put};
use super::position::StreamPosition;
use crate::schema::peer::LogSyncRequest;
use crate::util::Clock;

const START_MS: u64 = 10_000;
/// Longer than any hold.
const LATER_MS: u64 = 60_000;

fn restored_at(offset: u64) -> StreamPosition {
    StreamPosition::new(2, offset)
}

fn ready(ids: &[&str]) -> Vec<Record> {
    ids.iter().map(|id| entry(id, "ready")).collect()
}

/// Routers with one clock that know two upstreams; the second is gone since.
fn routers<const N: usize>(now_ms: &'static AtomicU64) -> [Router; N] {
    now_ms.store(START_MS, Ordering::Relaxed);
    [(); N].map(|()| {
        let router = Router::with_clock(Clock::set_by(now_ms));
        put(&router, 1, "i-1");
        put(&router, 2, "i-2");
        router.replica.remove(at(3), "i-2");
        router
    })
}

fn request_of(router: &Router) -> LogSyncRequest {
    LogSyncRequest {
        config_version: 0,
        upstreams_at: Some(router.replica.upstreams_at()),
        takes_all: false,
        orders_at: Some(router.replica.orders_at()),
    }
}

fn release(router: &Router) {
    router.replica.remove_missing();
    router.replica.release_holds();
}

/// Guards against a router that applies the changes of two readers, which lead from the era before to
/// different positions of the new one, one after the other, and keeps an upstream that is gone.
#[test]
fn changes_between_eras_are_applied_to_no_third_state() {
    static NOW_MS: AtomicU64 = AtomicU64::new(0);
    let [first, second, third] = routers(&NOW_MS);
    let copy = ready(&["i-1", "i-2"]);
    first.replica.apply_snapshot(copy, restored_at(2), 9_990);
    // The entry of i-2 is removed again before the second reader loads.
    let removed = ready(&["i-1"]);
    second
        .replica
        .apply_snapshot(removed, restored_at(3), 9_995);
    let request = request_of(&third);
    let replies = [&first, &second].map(|peer| peer.replica.reply_to(&request));
    for reply in replies {
        third.replica.apply_reply(&request, reply, "peer", 9_998);
    }
    assert_eq!(third.replica.upstreams_at(), restored_at(2));
    assert!(third.replica.is_behind(&second.replica.position()));
    third.learn_from(&second);
    NOW_MS.store(LATER_MS, Ordering::Relaxed);
    third.replica.confirm_upstreams(LATER_MS, Evidence::Reply);
    release(&third);
    assert!(!third.state.has_upstream("i-2"));
}

/// Guards against a router that applies a peer's changes between eras after it has loaded the new one
/// itself.
#[test]
fn own_load_overtakes_changes_between_eras() {
    static NOW_MS: AtomicU64 = AtomicU64::new(0);
    let [reader, other] = routers(&NOW_MS);
    let request = request_of(&other);
    let copy = ready(&["i-1", "i-2"]);
    other.replica.apply_snapshot(copy, restored_at(2), 9_990);
    let removed = ready(&["i-1"]);
    reader
        .replica
        .apply_snapshot(removed, restored_at(3), 9_995);
    let reply = reader.replica.reply_to(&request);
    other.replica.apply_reply(&request, reply, "reader", 9_980);
    assert_eq!(other.replica.upstreams_at(), restored_at(2));
}

/// Guards against routers that take an upstream for gone though it has written its entry again, as
/// they learn of the restore and of that at once.
#[test]
fn upstream_that_wrote_again_is_used_by_late_peers() {
    static NOW_MS: AtomicU64 = AtomicU64::new(0);
    let [reader, peer] = routers(&NOW_MS);
    let lost = ready(&["i-1"]);
    reader.replica.apply_snapshot(lost, restored_at(1), 9_990);
    let written = ready(&["i-2"]);
    reader.replica.apply_records(restored_at(1), written, 9_991);
    assert!(reader.state.has_upstream("i-2"));
    peer.learn_from(&reader);
    assert!(peer.state.has_upstream("i-2"));
}

/// Guards against holds that end while the log is away again, and nobody can write in it what the
/// restore lost.
#[test]
fn holds_last_while_the_log_is_not_read() {
    static NOW_MS: AtomicU64 = AtomicU64::new(0);
    let [router] = routers(&NOW_MS);
    let evacuate = Order::Evacuate("north".into());
    router.replica.apply_orders(at(0), vec![evacuate], 9_980);
    router
        .replica
        .apply_order_snapshot(vec![], restored_at(0), 9_990);
    let copy = ready(&["i-1", "i-2"]);
    router.replica.apply_snapshot(copy, restored_at(2), 9_990);
    for now_ms in (START_MS..LATER_MS).step_by(200) {
        NOW_MS.store(now_ms, Ordering::Relaxed);
        router.replica.upstreams_fresh().record_failure(now_ms);
        release(&router);
    }
    assert!(!router.state.has_upstream("i-2"));
    assert!(router.state.evacuations().contains("north"));
}

/// Guards against a second restore that ends what the first one lost.
#[test]
fn second_restore_prolongs_holds() {
    static NOW_MS: AtomicU64 = AtomicU64::new(0);
    let [router] = routers(&NOW_MS);
    let evacuate = Order::Evacuate("north".into());
    router.replica.apply_orders(at(0), vec![evacuate], 9_980);
    router
        .replica
        .apply_order_snapshot(vec![], restored_at(0), 9_990);
    // Not even the first entry is in the copy.
    router.replica.apply_snapshot(vec![], restored_at(0), 9_990);
    const SECOND_MS: u64 = START_MS + 2_000;
    NOW_MS.store(SECOND_MS, Ordering::Relaxed);
    let again_at = StreamPosition::new(3, 0);
    router
        .replica
        .apply_order_snapshot(vec![], again_at, SECOND_MS);
    router.replica.apply_snapshot(vec![], again_at, SECOND_MS);
    NOW_MS.store(SECOND_MS + 2_000, Ordering::Relaxed);
    release(&router);
    assert!(router.state.has_upstream("i-1"), "removed too early");
    NOW_MS.store(START_MS + 11_000, Ordering::Relaxed);
    router
        .replica
        .confirm_config(START_MS + 11_000, Evidence::Log);
    release(&router);
    assert!(router.state.evacuations().contains("north"));
}

/// Guards against routers that learn from peers, and keep an evacuation which was written again and
/// then undone.
#[test]
fn evacuation_undone_after_a_restore_ends_at_peers() {
    static NOW_MS: AtomicU64 = AtomicU64::new(0);
    let [reader, peer] = routers(&NOW_MS);
    let evacuate = || vec![Order::Evacuate("north".into())];
    for router in [&reader, &peer] {
        router.replica.apply_orders(at(0), evacuate(), 1);
        router
            .replica
            .apply_order_snapshot(vec![], restored_at(1), 2);
    }
    reader.replica.apply_orders(restored_at(1), evacuate(), 3);
    peer.learn_from(&reader);
    let readmit = vec![Order::Readmit("north".into())];
    reader.replica.apply_orders(restored_at(2), readmit, 4);
    peer.learn_from(&reader);
    assert!(!peer.state.evacuations().contains("north"));
}

/// Guards against routers that remove the upstreams which a restored log lacks while the log is away
/// again, before these can write their entries.
#[test]
fn lost_upstreams_stay_while_the_log_is_not_read() {
    static NOW_MS: AtomicU64 = AtomicU64::new(0);
    let [router] = routers(&NOW_MS);
    router
        .replica
        .apply_snapshot(vec![], restored_at(0), START_MS);
    for now_ms in (START_MS..LATER_MS).step_by(200) {
        NOW_MS.store(now_ms, Ordering::Relaxed);
        router.replica.upstreams_fresh().record_failure(now_ms);
        release(&router);
    }
    assert!(router.state.has_upstream("i-1"));
    for now_ms in (LATER_MS..LATER_MS + 3_000).step_by(200) {
        NOW_MS.store(now_ms, Ordering::Relaxed);
        router.replica.confirm_upstreams(now_ms, Evidence::Log);
        release(&router);
    }
    assert!(!router.state.has_upstream("i-1"));
}
