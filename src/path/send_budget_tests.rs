//! Bound on what a router sends to those that start.

use super::send_budget::SendBudget;

/// Guards against a router that answers all of a starting fleet, and so none of them in time.
#[test]
fn router_sends_as_many_answers_as_arrive_in_time() {
    const ANSWER_BYTES: usize = 250_000;
    let budget = SendBudget::default();
    let sent = (0..100)
        .filter(|_| budget.reserve(ANSWER_BYTES, 10_000).is_some())
        .count();
    assert_eq!(sent, 5);
    assert_eq!(budget.reserve(ANSWER_BYTES, 10_100), None);
    let waits_ms = budget.reserve(ANSWER_BYTES, 10_125);
    assert_eq!(waits_ms, Some(500), "the first has been sent");
}
