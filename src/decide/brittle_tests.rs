use super::Incarnation;
use super::brittle::{BrittleUpstreams, DOUBT_MS, Frailty, FrailtyChange, Gate, WINDOW_MS};
use test_case::test_case;

/// Sends until the gate closes, and returns how many went.
fn send_all(gate: &mut Gate, now_ms: u64) -> u32 {
    (0..1_000).take_while(|_| gate.send(now_ms)).count() as u32
}

/// A router becomes the home of an upstream that is full of what the last home sent: all that it sends is
/// rejected. With both homes' rejections the upstream must still stand.
#[test_case(1)]
#[test_case(2)]
#[test_case(9)]
#[test_case(50)]
fn full_upstream_rejects_no_more_than_a_share(borne: u32) {
    let mut gate = Gate::new(64, borne);
    let mut rejected: Vec<u64> = Vec::new();
    for now_ms in 0..10_000 {
        for _ in 0..send_all(&mut gate, now_ms) {
            // The rejection comes while others are in doubt.
            gate.rejected(now_ms);
            rejected.push(now_ms);
        }
    }
    let share = (borne / 2).max(1) as usize;
    let most = rejected
        .iter()
        .map(|at| {
            let window = *at..*at + WINDOW_MS;
            rejected.iter().filter(|ms| window.contains(ms)).count()
        })
        .max();
    assert_eq!(most, Some(share), "of {borne}");
}

/// The upstream takes all that its slots hold. A gate that stays at its first level would leave them idle.
#[test]
fn level_rises_to_the_slots_and_not_beyond() {
    let mut gate = Gate::new(8, 2);
    let mut sent = 0;
    for now_ms in 0..10 * DOUBT_MS {
        sent += send_all(&mut gate, now_ms);
    }
    assert_eq!(sent, 8);
    for _ in 0..8 {
        gate.ended();
    }
    assert_eq!(
        send_all(&mut gate, 10 * DOUBT_MS),
        8,
        "all at once from now on"
    );
}

/// A known level must not be used while the share is used up: the upstream may have fewer slots than before.
#[test]
fn nothing_is_sent_while_the_share_is_used_up() {
    let mut gate = Gate::new(8, 2);
    for now_ms in 0..10 * DOUBT_MS {
        send_all(&mut gate, now_ms);
    }
    let at_ms = 10 * DOUBT_MS;
    gate.ended();
    assert!(gate.send(at_ms));
    gate.rejected(at_ms);
    for _ in 0..7 {
        gate.ended();
    }
    assert_eq!(send_all(&mut gate, at_ms + WINDOW_MS - 1), 0);
    assert!(send_all(&mut gate, at_ms + WINDOW_MS) > 0);
}

/// A router is an upstream's home again after another one. What that one sent still runs there, and the old
/// level would be sent at once.
#[test]
fn level_ends_with_the_hand_over() {
    let mut gate = Gate::new(8, 2);
    for now_ms in 0..10 * DOUBT_MS {
        send_all(&mut gate, now_ms);
    }
    for _ in 0..8 {
        gate.ended();
    }
    gate.hand_over();
    assert_eq!(send_all(&mut gate, 10 * DOUBT_MS), 1);
}

/// What an upstream bears may change from one answer to the next.
#[test]
fn later_number_holds() {
    let mut gate = Gate::new(64, 50);
    gate.set_borne(4);
    assert_eq!(send_all(&mut gate, 0), 2);
    gate.set_borne(u32::MAX);
    assert_eq!(send_all(&mut gate, 0), 62, "the slots are the bound");
}

/// A request that ends late, after its upstream's state was dropped, must not wrap the count.
#[test]
fn unknown_end_changes_nothing() {
    let mut gate = Gate::new(1, 2);
    gate.ended();
    assert!(gate.is_idle(0));
    assert!(gate.send(0) && !gate.is_idle(0));
    assert!(!gate.send(DOUBT_MS));
}

/// An upstream's number changes, can't be read, and is withdrawn; a later start has said nothing yet.
#[test]
fn word_of_an_upstream_counts_for_that_start_until_it_says_otherwise() {
    let upstream = |started_ms| Incarnation {
        id: "up-1".into(),
        started_ms,
    };
    let service = "s".into();
    let mut brittle = BrittleUpstreams::default();
    for (frailty, borne, change) in [
        (Frailty::None, None, FrailtyChange::Same),
        (Frailty::Unreadable, None, FrailtyChange::Same),
        (Frailty::Bears(9), Some(9), FrailtyChange::Bears(9)),
        (Frailty::Bears(9), Some(9), FrailtyChange::Same),
        (Frailty::Bears(2), Some(2), FrailtyChange::Bears(2)),
        (Frailty::Unreadable, Some(2), FrailtyChange::Same),
        (Frailty::None, None, FrailtyChange::Ended),
        (Frailty::Bears(0), Some(0), FrailtyChange::Bears(0)),
    ] {
        assert_eq!(brittle.record(&upstream(1), &service, frailty, 0), change);
        assert_eq!(brittle.borne(&upstream(1), &service), borne);
    }
    brittle.sweep(|listed| listed.started_ms == 2, 0);
    assert!(brittle.is_empty());
}

/// Only an upstream's home gets its answers. The others must know of it, must not repeat each other's word for
/// ever, and what it says to the home itself must count more.
#[test]
fn word_of_other_routers_counts_until_an_own_answer_or_long_after() {
    let upstream = Incarnation {
        id: "up-1".into(),
        started_ms: 1,
    };
    let service = "s".into();
    let mut brittle = BrittleUpstreams::default();
    brittle.report(&upstream, &service, 3, 0);
    assert_eq!(brittle.borne(&upstream, &service), Some(3));
    assert_eq!(brittle.own().count(), 0, "it isn't passed on");
    brittle.sweep(|_| true, 59_999);
    assert_eq!(brittle.borne(&upstream, &service), Some(3));
    brittle.sweep(|_| true, 60_000);
    assert!(brittle.is_empty());
    brittle.report(&upstream, &service, 3, 60_000);
    let change = brittle.record(&upstream, &service, Frailty::None, 60_001);
    assert_eq!(change, FrailtyChange::Ended);
    brittle.report(&upstream, &service, 3, 60_002);
    assert_eq!(brittle.borne(&upstream, &service), None);
    let reported: Vec<u32> = brittle.own().map(|(_, borne)| borne).collect();
    assert_eq!(reported, [u32::MAX]);
}

/// A brittle upstream falls and starts again. Until its first answer it must not get a request from each router.
#[test]
fn upstream_that_nothing_was_heard_of_bears_the_least_of_its_service() {
    let upstream = |id: &str| Incarnation {
        id: id.into(),
        started_ms: 1,
    };
    let (service, other) = ("s".into(), "other".into());
    let mut brittle = BrittleUpstreams::default();
    brittle.record(&upstream("up-1"), &service, Frailty::Bears(9), 0);
    brittle.report(&upstream("up-2"), &service, 4, 0);
    brittle.report(&upstream("up-3"), &service, u32::MAX, 0);
    assert_eq!(brittle.borne(&upstream("up-4"), &service), Some(4));
    assert_eq!(brittle.borne(&upstream("up-4"), &other), None);
    assert_eq!(brittle.borne(&upstream("up-3"), &service), None);
    brittle.record(&upstream("up-4"), &service, Frailty::None, 0);
    assert_eq!(brittle.borne(&upstream("up-4"), &service), None);
}
