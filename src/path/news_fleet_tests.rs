//! How soon a fleet knows what operators wrote, in virtual time: three routers read the log, the rest hear who knows more
//! and ask, over links that many ask at once.

use std::sync::atomic::{AtomicU64, Ordering};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::index;
use test_case::test_case;

use super::cursor::Order;
use super::news_tests::Router;
use crate::schema::peer::LogSyncRequest;
use crate::util::Clock;

/// Each router tells so many others, drawn anew.
const TOLD: usize = 16;
const TICK_MS: u64 = 20;
const REPORT_INTERVAL_MS: u64 = 200;
const READERS: usize = 3;
/// How long an asker waits for an answer.
const ASK_LIMIT_MS: u64 = 1_000;
/// 10 Mbit/s, half of it callers'.
const LINK_BYTES_PER_MS: u64 = 625;
/// Within this all must have what the first reader has: a bound of 3 s less the wait of a read and the log's answer.
const SPREAD_BOUND_MS: u64 = 1_800;

struct Host {
    router: Router,
    is_dead: bool,
    /// Until then its link carries what others asked for.
    busy_until_ms: u64,
    asked: Option<Asked>,
}

struct Asked {
    peer: usize,
    asked_ms: u64,
    /// When the answer is in.
    comes_ms: u64,
}

struct Fleet {
    now_ms: &'static AtomicU64,
    hosts: Vec<Host>,
    rng: SmallRng,
    /// What a configuration takes on a link.
    config_bytes: u64,
}

impl Fleet {
    fn new(routers: usize, config_bytes: u64) -> Self {
        let now_ms: &'static AtomicU64 = Box::leak(Box::new(AtomicU64::new(10_000)));
        let host = |_| Host {
            router: Router::with_clock(Clock::set_by(now_ms)),
            is_dead: false,
            busy_until_ms: 0,
            asked: None,
        };
        Self {
            now_ms,
            hosts: (0..routers).map(host).collect(),
            rng: SmallRng::seed_from_u64(routers as u64),
            config_bytes,
        }
    }

    fn now_ms(&self) -> u64 {
        self.now_ms.load(Ordering::Relaxed)
    }

    /// The readers that live take what operators wrote.
    fn read(&self, orders: &[Order]) {
        let now_ms = self.now_ms();
        let readers = self.hosts[..READERS].iter().filter(|h| !h.is_dead);
        for reader in readers {
            let replica = &reader.router.replica;
            replica.read_orders(replica.orders_at(), orders.to_vec(), now_ms, now_ms);
        }
    }

    /// One router tells its mark; those that know less ask it, one question at a time.
    fn tell(&mut self, from: usize) {
        let mark = self.hosts[from].router.replica.position();
        let told = TOLD.min(self.hosts.len());
        for to in index::sample(&mut self.rng, self.hosts.len(), told) {
            let host = &self.hosts[to];
            let is_free = to != from && !host.is_dead && host.asked.is_none();
            if is_free && host.router.replica.is_behind(&mark) {
                self.ask(to, from);
            }
        }
    }

    /// The answer waits for all that the peer's link already carries.
    fn ask(&mut self, at: usize, peer: usize) {
        let now_ms = self.now_ms();
        let has = self.hosts[at].router.state.deployment().version;
        let given = self.hosts[peer].router.state.deployment().version;
        let bytes = if given > has { self.config_bytes } else { 0 };
        let link = &mut self.hosts[peer].busy_until_ms;
        *link = now_ms.max(*link) + bytes / LINK_BYTES_PER_MS;
        self.hosts[at].asked = Some(Asked {
            peer,
            asked_ms: now_ms,
            comes_ms: self.hosts[peer].busy_until_ms,
        });
    }

    /// Takes answers that are in, and gives up those that take too long.
    fn take(&mut self, at: usize) {
        let now_ms = self.now_ms();
        let Some(asked) = &self.hosts[at].asked else {
            return;
        };
        let (peer, asked_ms) = (asked.peer, asked.asked_ms);
        if now_ms < asked.comes_ms.min(asked_ms + ASK_LIMIT_MS) {
            return;
        }
        let is_in = asked.comes_ms <= asked_ms + ASK_LIMIT_MS && !self.hosts[peer].is_dead;
        self.hosts[at].asked = None;
        if !is_in {
            return;
        }
        let replica = &self.hosts[at].router.replica;
        let ask = LogSyncRequest {
            config_version: self.hosts[at].router.state.deployment().version,
            upstreams_at: replica.upstreams_at(),
            takes_all: false,
            orders_at: replica.orders_at(),
        };
        let give = self.hosts[peer].router.replica.give(&ask);
        replica.take(give, "a peer", asked_ms);
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms.fetch_add(TICK_MS, Ordering::Relaxed) + TICK_MS;
        for at in 0..self.hosts.len() {
            if self.hosts[at].is_dead {
                continue;
            }
            self.take(at);
            // Each tells at a time of its own.
            if (now_ms / TICK_MS + at as u64).is_multiple_of(REPORT_INTERVAL_MS / TICK_MS) {
                self.tell(at);
            }
        }
    }

    /// How long until all that live know all that the first reader knows; `None` if that takes over 10 s.
    fn spread_ms(&mut self) -> Option<u64> {
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

/// Operators add 1,400 routes and evacuate a data centre; a third of the routers, two of three readers among them, die as it
/// begins to spread, and all links are thin. All that live must know it in time. As it was written, 280 KB, most can't give it
/// to those who ask; packed, 30 KB at most, they can.
#[test_case(3)]
#[test_case(30)]
#[test_case(71)]
#[test_case(195)]
#[test_case(300)]
#[test_case(390)]
fn change_spreads_in_time_over_thin_links(routers: usize) {
    let mut fleet = Fleet::new(routers, 30_000);
    fleet.read(&change(1));
    fleet.spread_ms().expect("the first");
    for at in 1..=routers / 3 {
        fleet.hosts[at].is_dead = true;
    }
    fleet.read(&change(2));
    let spread_ms = fleet.spread_ms();
    println!("{routers} routers: {spread_ms:?} ms");
    assert!(
        spread_ms.is_some_and(|ms| ms <= SPREAD_BOUND_MS),
        "{spread_ms:?}"
    );
    let evacuated = |h: &Host| h.router.state.evacuations().holds("dc-2");
    assert!(fleet.hosts.iter().all(|h| h.is_dead || evacuated(h)));
}

/// The same with the configuration as operators wrote it: the model shows the failure that packing is for.
#[test]
fn unpacked_configuration_is_late() {
    let mut fleet = Fleet::new(71, 280_000);
    fleet.read(&change(1));
    let spread_ms = fleet.spread_ms();
    println!("71 routers, as written: {spread_ms:?} ms");
    assert!(
        spread_ms.is_none_or(|ms| ms > SPREAD_BOUND_MS),
        "{spread_ms:?}"
    );
}
