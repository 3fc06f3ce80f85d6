//! Report of what a router waited for at its start.

use std::sync::atomic::{AtomicU64, Ordering};

use super::start_report::{Part, StartReport};
use crate::util::Clock;

/// The line names each part with its time, its source and what failed before, and the last part that
/// callers need decides since when the router serves.
#[test]
fn report_names_each_part_and_since_when_the_router_serves() {
    static NOW_MS: AtomicU64 = AtomicU64::new(0);
    let report = StartReport::new(Clock::set_by(&NOW_MS));
    let arrive = |part, source, at_ms| {
        NOW_MS.store(at_ms, Ordering::Relaxed);
        report.record_arrival(part, source);
    };
    report.record_failure(Part::Upstreams, &"status 503");
    arrive(Part::Configuration, "the store", 900);
    arrive(Part::CatchUp, "stored records", 1_100);
    assert_eq!(report.complete_ms(), None, "no upstreams yet");
    arrive(Part::Upstreams, "10.0.0.2:7340", 2_300);
    arrive(Part::Upstreams, "the store", 9_000);
    report.record_failure(Part::Upstreams, &"too late to count");
    assert_eq!(report.complete_ms(), Some(2_300));
    assert_eq!(
        report.describe(),
        "configuration 900 ms from the store; \
         upstreams 2300 ms from 10.0.0.2:7340, 1 failures, the last: status 503; \
         routers missing; catch_up 1100 ms from stored records"
    );
}
