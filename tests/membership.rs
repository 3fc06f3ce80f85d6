//! Membership over a small simulated network.

#[path = "support/net.rs"]
mod net;

use std::net::SocketAddr;

use cassiagrade::fleet::member::MemberState;
use cassiagrade::fleet::swim::Message;
use net::{Net, member};
use rand::Rng;
use test_case::test_case;

/// A router crashes. Its upstreams have no home until the other routers detect it: each of them
/// must learn it, by its own probe or by gossip.
#[test]
fn crash_is_detected_by_all_members() {
    let mut net = Net::start(20, 5_000);
    net.nodes[3].up = false;
    net.run_until(20_000, |net| net.all_see(3, MemberState::Dead));
}

/// A router is paused for less than the suspicion timeout. Others suspect it; when it runs again it
/// learns of the suspicion and refutes it, and no router declares it dead.
#[test]
fn frozen_member_refutes() {
    let mut net = Net::start(9, 5_000);
    net.nodes[2].frozen_until_ms = net.now_ms + 1_800;
    net.run_until(1_800, |net| {
        (0..9).any(|i| net.state(i, 2) == MemberState::Suspect)
    });
    let end_ms = net.now_ms + 10_000;
    while net.now_ms < end_ms {
        net.run(10);
        let declared_dead = (0..9).any(|i| net.state(i, 2) == MemberState::Dead);
        assert!(!declared_dead);
    }
    assert!(net.all_see(2, MemberState::Alive));
    assert!(net.nodes[2].swim.me().incarnation > 1_000, "refuted");
}

/// A router suspects another and is itself paused, for longer than a suspect has to refute. The refutation
/// waits in its socket when it resumes: it must not declare the other one dead before it has read it.
#[test]
fn woken_router_reads_refutations_first() {
    let mut net = Net::start(9, 5_000);
    net.nodes[2].frozen_until_ms = net.now_ms + 1_500;
    let suspecting = |net: &Net| (0..9).find(|i| net.state(*i, 2) == MemberState::Suspect);
    net.run_until(1_500, |net| suspecting(net).is_some());
    let woken = suspecting(&net).unwrap();
    net.nodes[woken].frozen_until_ms = net.now_ms + 3_000;
    net.run(2_990);
    net.nodes[woken].frozen_until_ms = net.now_ms;
    let out = {
        let now_ms = net.now_ms;
        net.nodes[woken].swim.tick(now_ms, &mut net.rng)
    };
    assert_eq!(net.state(woken, 2), MemberState::Suspect);
    net.send(woken, out);
    net.run(2_000);
    assert_eq!(net.state(woken, 2), MemberState::Alive);
    assert!(net.all_see(2, MemberState::Alive));
}

/// A router is paused until all have declared it dead and its upstreams have other homes. On
/// resuming, its own state still lists it as their home: it must not act on that state, and rejoin
/// with a higher incarnation once it learns that it was declared dead.
#[test]
fn woken_router_distrusts_its_own_state() {
    let mut net = Net::start(9, 5_000);
    net.nodes[2].frozen_until_ms = net.now_ms + 30_000;
    net.run_until(29_000, |net| net.all_see(2, MemberState::Dead));
    while net.nodes[2].frozen_until_ms > net.now_ms {
        net.run(10);
    }
    let out = {
        let now_ms = net.now_ms;
        net.nodes[2].swim.tick(now_ms, &mut net.rng)
    };
    assert!(net.nodes[2].swim.in_doubt());
    assert_eq!(net.state(2, 2), MemberState::Leaving, "accepts no work");
    net.send(2, out);
    net.run_until(20_000, |net| net.all_see(2, MemberState::Alive));
    assert!(!net.nodes[2].swim.in_doubt());
    assert!(net.nodes[2].swim.me().incarnation > 1_000, "refuted");
}

/// A region is partitioned for minutes. Each side declares the other dead and serves alone;
/// afterwards the two sides must merge again, although each lists the other as dead.
#[test]
fn partition_heals() {
    let mut net = Net::start(12, 5_000);
    for node in &mut net.nodes[8..] {
        node.partition = 1;
    }
    net.run_until(60_000, |net| {
        (8..12).all(|i| net.state(0, i) == MemberState::Dead)
            && (0..8).all(|i| net.state(8, i) == MemberState::Dead)
    });
    net.run(120_000);
    for node in &mut net.nodes[8..] {
        node.partition = 0;
    }
    net.run_until(60_000, |net| {
        net.views_agree() && (0..12).all(|i| net.all_see(i, MemberState::Alive))
    });
}

/// A host is immediately replaced by another with the same name and address. The state of the
/// first, even "dead", must not apply to the second.
#[test]
fn replaced_host_does_not_inherit_state() {
    let mut net = Net::start(9, 5_000);
    net.nodes[4].up = false;
    net.run_until(20_000, |net| net.all_see(4, MemberState::Dead));
    net.replace(4, 50_000);
    net.run_until(20_000, |net| net.all_see(4, MemberState::Alive));
    let view = net.nodes[0].swim.view();
    assert_eq!(view.get("host-4").unwrap().incarnation, 50_000);
}

/// A partitioned router's host was replaced under its name. When the old process reconnects it
/// meets a higher incarnation of its own name: it must step down for good, not refute.
#[test]
fn replaced_process_steps_down() {
    let mut net = Net::start(3, 15_000);
    let now_ms = net.now_ms;
    let old = &mut net.nodes[1].swim;
    old.merge(vec![member(1, 50_000)], now_ms);
    assert!(old.replaced());
    let view = old.view();
    assert_eq!(view.get("host-1").unwrap().state, MemberState::Leaving);
    assert_eq!(old.me().incarnation, 1_000, "not refuted");
}

/// A host repeatedly leaves and joins: its last state wins at every member, in whatever order the
/// updates arrived.
#[test]
fn flapping_member_settles() {
    let mut net = Net::start(9, 5_000);
    for flap in 0..5 {
        net.nodes[5].up = false;
        net.run(1_000 + 700 * flap);
        net.replace(5, 10_000 + flap);
        net.run(500);
    }
    net.run_until(20_000, |net| net.all_see(5, MemberState::Alive));
    net.nodes[5].up = false;
    net.run_until(20_000, |net| net.all_see(5, MemberState::Dead));
}

/// A planned leave reaches all members long before probes could fail, and is not suspected.
#[test]
fn leave_spreads_without_suspicion() {
    let mut net = Net::start(20, 5_000);
    let now_ms = net.now_ms;
    net.nodes[6].swim.leave(now_ms);
    net.run_until(10_000, |net| net.all_see(6, MemberState::Leaving));
}

/// One datagram in twenty is lost and routers occasionally stall for 200 ms: no slow router may be
/// declared dead.
#[test]
fn loss_and_stalls_declare_no_member_dead() {
    let mut net = Net::start(20, 5_000);
    net.loss = 0.05;
    for _ in 0..600 {
        let stalled = net.rng.random_range(0..20);
        net.nodes[stalled].frozen_until_ms = net.now_ms + 200;
        net.run(100);
        for of in 0..20 {
            let declared_dead = (0..20).any(|at| net.state(at, of) == MemberState::Dead);
            assert!(!declared_dead, "host-{of} at {} ms", net.now_ms);
        }
    }
}

/// Stray acknowledgements and unknown hosts change no state.
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

/// A router is killed and restarts after its host's clock stepped back by minutes, so its
/// incarnation is lower than the one that the other members list as dead or alive. They must still
/// accept it as alive, and it must not treat the old incarnation as its replacement.
#[test_case(true; "listed as dead")]
#[test_case(false; "listed as alive")]
fn router_restarted_after_a_clock_step_back_is_alive(was_declared_dead: bool) {
    const BEFORE: u64 = 500_000;
    let mut net = Net::start(9, 5_000);
    net.replace(4, BEFORE);
    net.run_until(20_000, |net| net.all_see(4, MemberState::Alive));
    net.run(15_000);
    net.nodes[4].up = false;
    if was_declared_dead {
        net.run_until(20_000, |net| net.all_see(4, MemberState::Dead));
    }
    net.replace(4, 1_000);
    net.run(20_000);
    assert!(net.all_see(4, MemberState::Alive));
    assert!(!net.nodes[4].swim.replaced());
    assert!(net.nodes[4].swim.me().incarnation > BEFORE);
}

/// A whole fleet starts at once. If each router probed all others, the probes would take the hosts
/// of a large fleet many seconds.
#[test_case(50)]
#[test_case(400)]
fn probes_of_a_starting_fleet_do_not_grow_with_it(routers: usize) {
    const START_MS: u64 = 5_000;
    /// A probe and an answer for each listed host that is probed at once, and for each round.
    const MAX_DATAGRAMS: u64 = 2 * 64 + 2 * 2 * START_MS / 500;
    let net = Net::start(routers, START_MS);
    let sent = net.sent / routers as u64;
    assert!(sent <= MAX_DATAGRAMS, "{sent} datagrams a router");
}

/// The list of a large fleet that starts names hosts that are down. Every router learns it, though
/// each probes only some of the hosts itself.
#[test]
fn listed_hosts_that_are_down_become_known() {
    let mut net = Net::start(300, 0);
    for down in 0..10 {
        net.nodes[down].up = false;
    }
    net.run_until(20_000, |net| {
        (0..10).all(|down| net.all_see(down, MemberState::Dead))
    });
    assert!((10..300).all(|up| net.all_see(up, MemberState::Alive)));
}
