use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};

use super::freshness::{Evidence, StreamFreshness};
use super::suspend::SuspendGuard;
use crate::fleet::log_reads::ReadSchedule;
use crate::util::Clock;

/// Age at which a copy decides no request, for a bound of two seconds.
const UNUSABLE_MS: u64 = 1_801;
/// Longer than requests wait for a newer copy.
const WAITED_MS: u64 = 401;
/// A gap in which the router did not run.
const STALL_MS: u64 = 400;

struct Copy {
    now_ms: &'static AtomicU64,
    fresh: StreamFreshness,
    suspend: Rc<SuspendGuard>,
}

impl Copy {
    /// A copy that was confirmed just now.
    fn confirmed() -> Self {
        let now_ms: &'static AtomicU64 = Box::leak(Box::new(AtomicU64::new(10_000)));
        let clock = Clock::set_by(now_ms);
        let suspend = Rc::new(SuspendGuard::new(clock));
        let schedule = ReadSchedule::within(2_000.0);
        let fresh = StreamFreshness::new("test", clock, suspend.clone(), schedule, Rc::default());
        fresh.confirm(10_000, Evidence::Log);
        Self {
            now_ms,
            fresh,
            suspend,
        }
    }

    /// Passes time in which the router runs.
    fn pass(&self, ms: u64) {
        for _ in 0..ms {
            self.now_ms.fetch_add(1, Ordering::Relaxed);
            self.suspend.check_clock();
        }
    }

    fn stall(&self, ms: u64) {
        self.now_ms.fetch_add(ms, Ordering::Relaxed);
        self.suspend.check_clock();
    }
}

/// Guards against requests that are let through with an old copy, as the log answers nobody, and then
/// withheld at each upstream for the copy's age.
#[test]
fn old_copy_decides_once_requests_have_waited_for_a_newer_one() {
    let copy = Copy::confirmed();
    assert!(copy.fresh.may_decide());
    copy.pass(UNUSABLE_MS);
    assert!(
        !copy.fresh.may_decide(),
        "nobody has waited for a newer one"
    );
    copy.fresh.refresh_if_needed();
    assert!(!copy.fresh.may_decide(), "a newer one may arrive");
    copy.pass(WAITED_MS);
    assert!(copy.fresh.may_decide());
    copy.pass(5_000);
    assert!(copy.fresh.may_decide(), "for as long as none arrives");
}

/// Guards against requests that are decided by a copy from before a time in which the router did not
/// run, though they waited for a newer one before.
#[test]
fn old_copy_decides_nothing_after_a_stall() {
    let copy = Copy::confirmed();
    copy.pass(UNUSABLE_MS);
    copy.fresh.refresh_if_needed();
    copy.pass(WAITED_MS);
    copy.stall(STALL_MS);
    assert!(!copy.fresh.may_decide());
    copy.pass(WAITED_MS);
    assert!(!copy.fresh.may_decide());
    let now_ms = copy.now_ms.load(Ordering::Relaxed);
    copy.fresh.confirm(now_ms, Evidence::Reply);
    assert!(copy.fresh.may_decide());
}
