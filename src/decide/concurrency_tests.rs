use crate::decide::concurrency::{Concurrency, MIN_LIMIT};

/// A service whose latency grows with the calls beyond its `capacity` of concurrent calls.
fn run(limit: &mut Concurrency, capacity: u32, calls: u32) -> u64 {
    let mut slowest_ms = 0;
    for _ in 0..calls {
        let in_flight = limit.limit();
        let took_ms = 20 * u64::from(in_flight.max(capacity)) / u64::from(capacity);
        limit.ended(took_ms, true, in_flight);
        slowest_ms = took_ms;
    }
    slowest_ms
}

/// A service loses most of its capacity. Calls must not accumulate until all time out: the limit
/// follows the capacity, and admitted calls stay quick. When the service recovers, so does the
/// limit.
#[test]
fn limit_follows_the_capacity() {
    let mut limit = Concurrency::default();
    run(&mut limit, 100, 2_000);
    assert!(limit.limit() > 100, "{}", limit.limit());
    let fixed_ms = 20 * u64::from(limit.limit()) / 8;
    let slowest_ms = run(&mut limit, 8, 400);
    assert!(limit.limit() < 40, "{}", limit.limit());
    assert!(
        slowest_ms * 3 < fixed_ms,
        "{slowest_ms} ms, fixed {fixed_ms} ms"
    );
    run(&mut limit, 100, 2_000);
    assert!(limit.limit() > 100, "{}", limit.limit());
}

/// A service fails every call. The floor admits a few calls, so that its recovery is detected.
#[test]
fn limit_stays_at_its_floor() {
    let mut limit = Concurrency::default();
    for _ in 0..10_000 {
        limit.ended(20, false, limit.limit());
    }
    assert_eq!(f64::from(limit.limit()), MIN_LIMIT);
}
