//! Time until a whole fleet has a change by operators, in virtual time: three routers read the log,
//! the others learn by gossip which routers have newer state and request it, over links that many
//! use at once.

use std::sync::atomic::{AtomicU64, Ordering};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::index;
use test_case::test_case;

use super::cursor::Order;
use super::log_replica_tests::Router;
use crate::schema::peer::LogSyncRequest;
use crate::util::Clock;

/// Number of randomly drawn routers to which each router publishes.
const FANOUT: usize = 16;
const TICK_MS: u64 = 20;
const PUBLISH_INTERVAL_MS: u64 = 200;
pub(super) const READERS: usize = 3;
/// Time limit for an answer.
const ANSWER_TIMEOUT_MS: u64 = 1_000;
/// 10 Mbit/s, half of it used by callers.
const LINK_BYTES_PER_MS: u64 = 625;
/// Time limit for the whole fleet to have what the first reader has: 3 s less the interval between
/// reads and the answer time of the log.
const PROPAGATION_LIMIT_MS: u64 = 1_800;

pub(super) struct Host {
    pub(super) router: Router,
    is_dead: bool,
    /// Time until which its link is busy with answers.
    busy_until_ms: u64,
    pending: Option<PendingRequest>,
}

struct PendingRequest {
    peer: usize,
    asked_ms: u64,
    /// Time at which the answer arrives.
    arrives_ms: u64,
}

pub(super) struct Fleet {
    now_ms: &'static AtomicU64,
    pub(super) hosts: Vec<Host>,
    pub(super) rng: SmallRng,
    /// Size of a configuration on a link.
    config_bytes: u64,
}

impl Fleet {
    pub(super) fn new(routers: usize, config_bytes: u64) -> Self {
        let now_ms: &'static AtomicU64 = Box::leak(Box::new(AtomicU64::new(10_000)));
        let host = |_| Host {
            router: Router::with_clock(Clock::set_by(now_ms)),
            is_dead: false,
            busy_until_ms: 0,
            pending: None,
        };
        Self {
            now_ms,
            hosts: (0..routers).map(host).collect(),
            rng: SmallRng::seed_from_u64(routers as u64),
            config_bytes,
        }
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.now_ms.load(Ordering::Relaxed)
    }

    /// The live readers apply the records of operators.
    fn read(&self, orders: &[Order]) {
        let now_ms = self.now_ms();
        let readers = self.hosts[..READERS].iter().filter(|h| !h.is_dead);
        for reader in readers {
            let replica = &reader.router.replica;
            replica.apply_orders(replica.orders_at(), orders.to_vec(), now_ms);
        }
    }

    /// One router publishes its position; those with older state send it a request, one at a time.
    fn publish(&mut self, from: usize) {
        let position = self.hosts[from].router.replica.position();
        let fanout = FANOUT.min(self.hosts.len());
        for to in index::sample(&mut self.rng, self.hosts.len(), fanout) {
            let host = &self.hosts[to];
            let replica = &host.router.replica;
            replica.receive_position(&position, position.at_ms);
            let is_free = to != from && !host.is_dead && host.pending.is_none();
            if is_free && host.router.replica.is_behind(&position) {
                self.send_request(to, from);
            }
        }
    }

    /// The answer is sent after everything that is queued on the link of the peer.
    fn send_request(&mut self, at: usize, peer: usize) {
        let now_ms = self.now_ms();
        let has = self.hosts[at].router.state.deployment().version;
        let given = self.hosts[peer].router.state.deployment().version;
        let bytes = if given > has { self.config_bytes } else { 0 };
        let link = &mut self.hosts[peer].busy_until_ms;
        *link = now_ms.max(*link) + bytes / LINK_BYTES_PER_MS;
        self.hosts[at].pending = Some(PendingRequest {
            peer,
            asked_ms: now_ms,
            arrives_ms: self.hosts[peer].busy_until_ms,
        });
    }

    /// Applies answers that have arrived, and abandons those that take too long.
    fn receive(&mut self, at: usize) {
        let now_ms = self.now_ms();
        let Some(pending) = &self.hosts[at].pending else {
            return;
        };
        let (peer, asked_ms) = (pending.peer, pending.asked_ms);
        if now_ms < pending.arrives_ms.min(asked_ms + ANSWER_TIMEOUT_MS) {
            return;
        }
        let arrived =
            pending.arrives_ms <= asked_ms + ANSWER_TIMEOUT_MS && !self.hosts[peer].is_dead;
        self.hosts[at].pending = None;
        if !arrived {
            return;
        }
        let replica = &self.hosts[at].router.replica;
        let request = LogSyncRequest {
            config_version: self.hosts[at].router.state.deployment().version,
            upstreams_at: Some(replica.upstreams_at()),
            takes_all: false,
            orders_at: Some(replica.orders_at()),
        };
        let reply = self.hosts[peer].router.replica.reply_to(&request);
        replica.apply_reply(&request, reply, "a peer", asked_ms);
    }

    pub(super) fn tick(&mut self) {
        let now_ms = self.now_ms.fetch_add(TICK_MS, Ordering::Relaxed) + TICK_MS;
        for at in 0..self.hosts.len() {
            if self.hosts[at].is_dead {
                continue;
            }
            self.receive(at);
            // Each router publishes at a different time.
            if (now_ms / TICK_MS + at as u64).is_multiple_of(PUBLISH_INTERVAL_MS / TICK_MS) {
                self.publish(at);
            }
        }
    }

    /// Time until all live routers have the state of the first reader; `None` if it exceeds 10 s.
    fn propagation_ms(&mut self) -> Option<u64> {
        let began_ms = self.now_ms();
        let wanted = self.hosts[0].router.replica.position();
        while self.now_ms() < began_ms + 10_000 {
            let knows = |h: &Host| h.is_dead || !h.router.replica.is_behind(&wanted);
            if self.hosts.iter().all(knows) {
                return Some(self.now_ms() - began_ms);
            }
            self.tick();
        }
        None
    }
}

fn change(version: u32) -> [Order; 2] {
    [
        Order::Configure(version.to_string().into()),
        Order::Evacuate(format!("dc-{version}").into()),
    ]
}

/// Operators add 1,400 routes and evacuate a data centre. A third of the routers, with two of the
/// three readers among them, die as the change begins to spread, and all links are slow. All live
/// routers must have the change in time. Uncompressed, 280 KB, most routers can't send it to all
/// that request it; compressed to 30 KB at most, they can.
#[test_case(3)]
#[test_case(30)]
#[test_case(71)]
#[test_case(195)]
#[test_case(300)]
#[test_case(390)]
fn change_spreads_in_time_over_thin_links(routers: usize) {
    let mut fleet = Fleet::new(routers, 30_000);
    fleet.read(&change(1));
    fleet.propagation_ms().expect("the first change spreads");
    for at in 1..=routers / 3 {
        fleet.hosts[at].is_dead = true;
    }
    fleet.read(&change(2));
    let propagation_ms = fleet.propagation_ms();
    println!("{routers} routers: {propagation_ms:?} ms");
    assert!(
        propagation_ms.is_some_and(|ms| ms <= PROPAGATION_LIMIT_MS),
        "{propagation_ms:?}"
    );
    let evacuated = |h: &Host| h.router.state.evacuations().contains("dc-2");
    assert!(fleet.hosts.iter().all(|h| h.is_dead || evacuated(h)));
}

/// The same with the uncompressed configuration: shows that the model reproduces the failure that
/// compression prevents.
#[test]
fn uncompressed_configuration_is_late() {
    let mut fleet = Fleet::new(71, 280_000);
    fleet.read(&change(1));
    let propagation_ms = fleet.propagation_ms();
    println!("71 routers, as written: {propagation_ms:?} ms");
    assert!(
        propagation_ms.is_none_or(|ms| ms > PROPAGATION_LIMIT_MS),
        "{propagation_ms:?}"
    );
}
