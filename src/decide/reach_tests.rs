use test_case::test_case;

use crate::decide::reach::Reach;

/// Upstreams end one after the other while others are reached. The router must not hand its requests to
/// others for that.
#[test]
fn upstreams_that_end_one_by_one_cut_nobody_off() {
    let mut reach = Reach::default();
    for n in 0..20 {
        let upstream = format!("i-{n}").as_str().into();
        assert!(!reach.record_unreachable(&upstream, 20));
        assert!(!reach.record_connected(&"i-20".into(), 20));
    }
}

/// The same dead upstream is tried again and again, as its entry has not expired yet.
#[test]
fn one_upstream_that_fails_repeatedly_cuts_nobody_off() {
    let mut reach = Reach::default();
    for _ in 0..20 {
        assert!(!reach.record_unreachable(&"i-1".into(), 20));
    }
}

/// A service has fewer upstreams than count as a row. A router that is cut off from it must notice.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(18)]
fn cut_is_noticed_in_pools_of_any_size(pool_size: usize) {
    let mut reach = Reach::default();
    let needed = pool_size.min(3);
    for n in 0..needed {
        let is_last = n + 1 == needed;
        let upstream = format!("i-{n}").as_str().into();
        assert_eq!(reach.record_unreachable(&upstream, pool_size), is_last);
    }
    assert!(reach.is_cut_off());
    // Only the beginning is reported.
    assert!(!reach.record_unreachable(&"i-9".into(), pool_size));
}

/// The paths are back, and the next cut must be noticed like the first.
#[test_case(1)]
#[test_case(2)]
#[test_case(18)]
fn connections_end_a_cut_and_the_next_one_is_noticed(pool_size: usize) {
    let mut reach = Reach::default();
    for _ in 0..2 {
        for n in 0..3 {
            reach.record_unreachable(&format!("i-{n}").as_str().into(), pool_size);
        }
        assert!(reach.is_cut_off());
        for n in 0..pool_size.min(2) {
            reach.record_connected(&format!("i-{n}").as_str().into(), pool_size);
        }
        assert!(!reach.is_cut_off());
    }
}

/// One of eighteen upstreams can be reached. The router would end the cut with each connection to it, and
/// each time send some requests to the others in vain.
#[test]
fn single_upstream_that_is_reached_ends_no_cut() {
    let mut reach = Reach::default();
    for n in 0..17 {
        reach.record_unreachable(&format!("i-{n}").as_str().into(), 18);
    }
    for _ in 0..5 {
        assert!(!reach.record_connected(&"i-17".into(), 18));
    }
    assert!(reach.is_cut_off());
}
