use std::sync::atomic::{AtomicU64, Ordering};

use crate::path::suspend::SuspendGuard;
use crate::util::Clock;

fn guard() -> (&'static AtomicU64, SuspendGuard) {
    let now_ms = Box::leak(Box::new(AtomicU64::new(1_000)));
    (now_ms, SuspendGuard::new(Clock::set_by(now_ms)))
}

/// A signal arrives in a gap in which the process did not run, and its times count from the end of the gap.
#[test]
fn what_is_noticed_after_a_gap_may_have_happened_since_its_start() {
    let (now_ms, guard) = guard();
    assert_eq!(guard.earliest_ms(), 1_000);
    now_ms.store(2_500, Ordering::Relaxed);
    guard.check_clock();
    assert_eq!(guard.earliest_ms(), 1_000);
    now_ms.store(2_550, Ordering::Relaxed);
    guard.check_clock();
    assert_eq!(guard.earliest_ms(), 1_000);
}

/// The process has long run again: a signal that it notices now isn't from the gap.
#[test]
fn what_is_noticed_long_after_a_gap_happened_now() {
    let (now_ms, guard) = guard();
    now_ms.store(2_500, Ordering::Relaxed);
    guard.check_clock();
    now_ms.store(2_700, Ordering::Relaxed);
    guard.check_clock();
    assert_eq!(guard.earliest_ms(), 2_700);
}
