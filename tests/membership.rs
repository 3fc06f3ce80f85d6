//! Membership over a small fake network.

#[path = "support/net.rs"]
mod net;

use std::net::SocketAddr;

use cassiagrade::fleet::member::MemberState;
use cassiagrade::fleet::swim::Message;
use net::{Net, member};
use rand::Rng;
use test_case::test_case;

/// A router crashes. Its upstreams have no home until the others know: every one of them must
/// learn it, by its own probe or by rumour.
#[test]
fn crash_is_known_to_all() {
    let mut net = Net::start(20, 5_000);
    net.nodes[3].up = false;
    net.until(20_000, |net| net.all_say(3, MemberState::Dead));
}

/// A router is paused for less than the suspicion lasts, say by its host. Others suspect it; when
/// it runs again it hears that, refutes, and nobody gives it up.
#[test]
fn frozen_member_refutes() {
    let mut net = Net::start(9, 5_000);
    net.nodes[2].frozen_until_ms = net.now_ms + 1_800;
    net.until(1_800, |net| {
        (0..9).any(|i| net.state(i, 2) == MemberState::Suspect)
    });
    let end_ms = net.now_ms + 10_000;
    while net.now_ms < end_ms {
        net.run(10);
        let given_up = (0..9).any(|i| net.state(i, 2) == MemberState::Dead);
        assert!(!given_up);
    }
    assert!(net.all_say(2, MemberState::Alive));
    assert!(net.nodes[2].swim.me().incarnation > 1_000, "refuted");
}

/// A router is paused until all have given it up and its upstreams have other homes. When it wakes
/// it still believes to be home: it must doubt that before it does anything, and come back as a
/// newer incarnation once it was told.
#[test]
fn woken_router_doubts_first() {
    let mut net = Net::start(9, 5_000);
    net.nodes[2].frozen_until_ms = net.now_ms + 30_000;
    net.until(29_000, |net| net.all_say(2, MemberState::Dead));
    while net.nodes[2].frozen_until_ms > net.now_ms {
        net.run(10);
    }
    let out = {
        let now_ms = net.now_ms;
        net.nodes[2].swim.tick(now_ms, &mut net.rng)
    };
    assert!(net.nodes[2].swim.in_doubt());
    assert_eq!(net.state(2, 2), MemberState::Leaving, "takes no work");
    net.send(2, out);
    net.until(20_000, |net| net.all_say(2, MemberState::Alive));
    assert!(!net.nodes[2].swim.in_doubt());
    assert!(net.nodes[2].swim.me().incarnation > 1_000, "refuted");
}

/// A region is cut off for minutes and comes back. Each side gives the other up and serves alone;
/// afterwards both must find one another again, though each holds the other for dead.
#[test]
fn partition_heals() {
    let mut net = Net::start(12, 5_000);
    for node in &mut net.nodes[8..] {
        node.side = 1;
    }
    net.until(60_000, |net| {
        (8..12).all(|i| net.state(0, i) == MemberState::Dead)
            && (0..8).all(|i| net.state(8, i) == MemberState::Dead)
    });
    net.run(120_000);
    for node in &mut net.nodes[8..] {
        node.side = 0;
    }
    net.until(60_000, |net| {
        net.all_agree() && (0..12).all(|i| net.all_say(i, MemberState::Alive))
    });
}

/// A host is replaced at once by another under the same name and address. What was believed of the
/// first, even its death, must not stick to the second.
#[test]
fn replaced_host_is_new() {
    let mut net = Net::start(9, 5_000);
    net.nodes[4].up = false;
    net.until(20_000, |net| net.all_say(4, MemberState::Dead));
    net.replace(4, 50_000);
    net.until(20_000, |net| net.all_say(4, MemberState::Alive));
    let view = net.nodes[0].swim.view();
    assert_eq!(view.get("host-4").unwrap().incarnation, 50_000);
}

/// A cut-off router's host was replaced under its name. When the old process comes back it meets
/// a higher incarnation of its own name: it must step back for good, not refute.
#[test]
fn replaced_process_steps_back() {
    let mut net = Net::start(3, 15_000);
    let now_ms = net.now_ms;
    let old = &mut net.nodes[1].swim;
    old.merge(vec![member(1, 50_000)], now_ms);
    assert!(old.replaced());
    let view = old.view();
    assert_eq!(view.get("host-1").unwrap().state, MemberState::Leaving);
    assert_eq!(old.me().incarnation, 1_000, "not refuted");
}

/// A host that comes and goes: the last thing that happened stands with all, whatever the order
/// in which they heard of it.
#[test]
fn flapping_member_settles() {
    let mut net = Net::start(9, 5_000);
    for flap in 0..5 {
        net.nodes[5].up = false;
        net.run(1_000 + 700 * flap);
        net.replace(5, 10_000 + flap);
        net.run(500);
    }
    net.until(20_000, |net| net.all_say(5, MemberState::Alive));
    net.nodes[5].up = false;
    net.until(20_000, |net| net.all_say(5, MemberState::Dead));
}

/// A planned leave is known to all long before its probes could fail, and isn't suspected.
#[test]
fn leave_spreads_without_suspicion() {
    let mut net = Net::start(20, 5_000);
    let now_ms = net.now_ms;
    net.nodes[6].swim.leave(now_ms);
    net.until(10_000, |net| net.all_say(6, MemberState::Leaving));
}

/// One datagram in twenty is lost and routers stall for 200 ms now and then: slow isn't dead.
#[test]
fn loss_and_stalls_remove_nobody() {
    let mut net = Net::start(20, 5_000);
    net.loss = 0.05;
    for _ in 0..600 {
        let stalled = net.rng.random_range(0..20);
        net.nodes[stalled].frozen_until_ms = net.now_ms + 200;
        net.run(100);
        for of in 0..20 {
            let given_up = (0..20).any(|at| net.state(at, of) == MemberState::Dead);
            assert!(!given_up, "host-{of} at {} ms", net.now_ms);
        }
    }
}

/// Stray answers and unknown hosts move nothing.
#[test]
fn stray_messages_are_harmless() {
    let mut net = Net::start(3, 5_000);
    let from = SocketAddr::from(([127, 0, 0, 9], 9));
    let now_ms = net.now_ms;
    let swim = &mut net.nodes[0].swim;
    let before = swim.view();
    let stray = Message::Ack {
        seq: 999_999,
        host: "nobody".into(),
    };
    assert!(swim.receive(from, stray, now_ms).is_empty());
    let relay = Message::Ping {
        seq: 1,
        target: "nobody".into(),
    };
    assert!(swim.receive(from, relay, now_ms).is_empty());
    swim.record_contact("nobody", 7, now_ms);
    assert_eq!(swim.view().members, before.members);
}

/// A router is killed and starts again, and its host's clock steps back by minutes in between: its incarnation is lower
/// than the one that the others hold for dead or alive. They must take it for alive all the same, and it mustn't take
/// itself for replaced by the one before.
#[test_case(true; "held for dead")]
#[test_case(false; "held for alive")]
fn router_that_starts_by_a_clock_stepped_back_is_alive(was_given_up: bool) {
    const BEFORE: u64 = 500_000;
    let mut net = Net::start(9, 5_000);
    net.replace(4, BEFORE);
    net.until(20_000, |net| net.all_say(4, MemberState::Alive));
    net.run(15_000);
    net.nodes[4].up = false;
    if was_given_up {
        net.until(20_000, |net| net.all_say(4, MemberState::Dead));
    }
    net.replace(4, 1_000);
    net.run(20_000);
    assert!(net.all_say(4, MemberState::Alive));
    assert!(!net.nodes[4].swim.replaced());
    assert!(net.nodes[4].swim.me().incarnation > BEFORE);
}
