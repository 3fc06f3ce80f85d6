use super::transit::TransitTimes;

/// Interval at which each router reports.
const INTERVAL_MS: u64 = 200;

/// Routers that lack processor time confirm one another's state. None of them reads the log, so the
/// state must become as old as it is, however often they report it.
#[test]
fn late_reports_make_no_state_younger() {
    const ROUTERS: usize = 9;
    const READ_MS: u64 = 10_000;
    // Their clocks differ, so each has its own time of the read.
    let offset_ms = |router: usize| router as u64 * 1_234_567;
    let mut confirmed_ms = [READ_MS; ROUTERS];
    let mut transit: [TransitTimes; ROUTERS] = std::array::from_fn(|_| TransitTimes::default());
    for now_ms in (READ_MS..READ_MS + 20_000).step_by(1) {
        for from in 0..ROUTERS {
            let is_due = now_ms % INTERVAL_MS == from as u64 * INTERVAL_MS / ROUTERS as u64;
            if !is_due {
                continue;
            }
            // The first reports arrive without a delay.
            let round = (now_ms - READ_MS) / INTERVAL_MS;
            let delay_ms = if round < 2 { 1 } else { 30 + round * 7 % 50 };
            let age_ms = now_ms - confirmed_ms[from];
            for to in (0..ROUTERS).filter(|to| *to != from) {
                let arrived_ms = now_ms + delay_ms + offset_ms(to);
                let sent_ms = now_ms + offset_ms(from);
                let sender = format!("router-{from}");
                let as_of_ms = transit[to].sent_as_of_ms(&sender, 1, sent_ms, arrived_ms);
                let at_ms = (as_of_ms - offset_ms(to)).saturating_sub(age_ms);
                confirmed_ms[to] = confirmed_ms[to].max(at_ms);
            }
        }
    }
    assert_eq!(confirmed_ms, [READ_MS; ROUTERS]);
}

/// A router restarts, and its clock begins anew: reports of the new start must not count as very
/// late, or those of others as very early.
#[test]
fn clock_of_a_restarted_router_is_learnt_anew() {
    let mut transit = TransitTimes::default();
    transit.sent_as_of_ms("r-1", 1_000_000, 900_000, 1_000);
    assert_eq!(transit.sent_as_of_ms("r-1", 1_002_000, 100, 2_000), 1_990);
    assert_eq!(transit.sent_as_of_ms("r-1", 1_002_000, 300, 2_250), 2_190);
}

/// A router that was suspended refutes its death, and its next reports are late. They must not count
/// as the first ones of a new start, which nothing can be compared with.
#[test]
fn late_reports_after_a_refutation_are_late() {
    let mut transit = TransitTimes::default();
    transit.sent_as_of_ms("r-1", 1_000_000, 900_000, 1_000);
    assert_eq!(
        transit.sent_as_of_ms("r-1", 1_000_001, 900_200, 4_200),
        1_190
    );
}

/// Two clocks drift apart. The offset must follow, or all reports would count as later and later.
#[test]
fn offset_follows_drifting_clocks() {
    let mut transit = TransitTimes::default();
    let mut as_of_ms = 0;
    for n in 0..3_000_u64 {
        let sent_ms = n * INTERVAL_MS;
        // One per thousand.
        as_of_ms = transit.sent_as_of_ms("r-1", 1, sent_ms, 10_000 + sent_ms + n / 5);
    }
    let arrived_ms = 10_000 + 2_999 * INTERVAL_MS + 599;
    assert!(arrived_ms - as_of_ms < 100, "{}", arrived_ms - as_of_ms);
}
