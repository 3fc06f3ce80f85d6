use test_case::test_case;

use crate::serve::home::reports::is_contiguous;

#[test_case(4, &[], true; "no events")]
#[test_case(4, &[4, 5, 6], true; "contiguous")]
#[test_case(4, &[5, 6], false; "first event missing")]
#[test_case(4, &[4, 6], false; "middle event missing")]
fn gaps_in_event_numbers_are_detected(from: u64, seqs: &[u64], contiguous: bool) {
    assert_eq!(is_contiguous(from, seqs), contiguous);
}
