//! Time until a whole fleet follows a log that was restored from an older copy, and the calls that
//! this takes, in virtual time.

use rand::Rng;
use test_case::test_case;

use super::cursor::{Order, ReadRange, Record};
use super::freshness::StreamFreshness;
use super::log_replica_fake_tests::{FakeStore, UpstreamWrite};
use super::log_replica_fleet_tests::{Fleet, READERS};
use super::log_replica_reader_tests::{Read, Reader};
use crate::fleet::first_load::{LoadCost, load_delay_ms};
use crate::fleet::log_reads::ReadSchedule;

/// Time for an answer of the log.
const ANSWER_MS: u64 = 40;
/// Pace of a reader, and the longest wait of its reads.
const READ_INTERVALS_MS: std::ops::RangeInclusive<u64> = 300..=900;
/// Time limit from the log's return until nine in ten routers follow it.
const FOLLOW_LIMIT_MS: u64 = 2_000;
const UPSTREAMS: u64 = 60;

#[derive(Clone, Copy, Debug, Default)]
struct Calls {
    reads: usize,
    loads: usize,
}

/// The reads of one router, of one stream each.
#[derive(Default)]
struct Client {
    orders: Reader<Order>,
    orders_due_ms: u64,
    upstreams: Reader<Record>,
    upstreams_due_ms: u64,
}

struct Restored {
    fleet: Fleet,
    clients: Vec<Client>,
    store: FakeStore,
    calls: Calls,
}

impl Restored {
    fn new(routers: usize) -> Self {
        Self {
            fleet: Fleet::new(routers, 30_000),
            clients: (0..routers).map(|_| Client::default()).collect(),
            store: FakeStore::default(),
            calls: Calls::default(),
        }
    }

    /// Whether a router that awaits no answer must read.
    fn must_read(&self, at: usize, fresh: &StreamFreshness) -> bool {
        let schedule = ReadSchedule::within(2_000.0);
        let now_ms = self.fleet.now_ms();
        at < READERS || fresh.get().is_stale(now_ms, schedule, self.clients.len())
    }

    /// Returns when the next read is due after an answer, or the next load.
    fn next_due_ms(&mut self, at: usize, is_load: bool) -> u64 {
        let rng = &mut self.fleet.rng;
        let pause_ms = match (at < READERS, is_load) {
            (_, true) => ANSWER_MS,
            (true, false) => rng.random_range(READ_INTERVALS_MS),
            (false, false) => *READ_INTERVALS_MS.start(),
        };
        self.fleet.now_ms() + pause_ms
    }

    fn read_orders(&mut self, at: usize) {
        let now_ms = self.fleet.now_ms();
        let replica = &self.fleet.hosts[at].router.replica;
        if now_ms < self.clients[at].orders_due_ms {
            return;
        }
        let must_read = self.must_read(at, replica.config_fresh());
        let client = &mut self.clients[at];
        if !client.orders.is_pending() {
            if !must_read {
                return;
            }
            let ask = |range| self.store.answer_orders(range);
            client.orders.send(now_ms, replica.orders_at(), ask);
            self.calls.reads += 1;
            client.orders_due_ms = now_ms + ANSWER_MS;
            return;
        }
        let load = || Some(self.store.answer_orders(ReadRange::All));
        let read = client.orders.receive(load);
        let is_load = read.is_none();
        match read {
            Some((asked_ms, Read::Full(orders, end))) => {
                self.calls.loads += 1;
                replica.apply_order_snapshot(orders, end, asked_ms);
            }
            Some((asked_ms, Read::Changes(from, orders))) => {
                replica.apply_orders(from, orders, asked_ms);
            }
            Some((_, Read::Failed)) | None => {}
        }
        self.clients[at].orders_due_ms = self.next_due_ms(at, is_load);
    }

    fn read_upstreams(&mut self, at: usize) {
        let now_ms = self.fleet.now_ms();
        let replica = &self.fleet.hosts[at].router.replica;
        if now_ms < self.clients[at].upstreams_due_ms {
            return;
        }
        let must_read = self.must_read(at, replica.upstreams_fresh());
        let client = &mut self.clients[at];
        if !client.upstreams.is_pending() {
            if !must_read {
                return;
            }
            let ask = |range| self.store.answer(range);
            client.upstreams.send(now_ms, replica.upstreams_at(), ask);
            self.calls.reads += 1;
            client.upstreams_due_ms = now_ms + ANSWER_MS;
            return;
        }
        if at >= READERS
            && client.upstreams.pending_load().is_some()
            && replica.upstreams_at().era == self.store.era()
        {
            // A peer sent everything while this router waited for its turn.
            client.upstreams.abandon();
            return;
        }
        let load = || Some(self.store.answer(ReadRange::All));
        let read = client.upstreams.receive(load);
        let is_load = read.is_none();
        match read {
            Some((asked_ms, Read::Full(records, end))) => {
                self.calls.loads += 1;
                replica.apply_snapshot(records, end, asked_ms);
            }
            Some((asked_ms, Read::Changes(from, records))) => {
                replica.apply_records(from, records, asked_ms);
            }
            Some((_, Read::Failed)) | None => {}
        }
        let wait_ms = if is_load { self.turn_ms(at) } else { 0 };
        self.clients[at].upstreams_due_ms = self.next_due_ms(at, is_load) + wait_ms;
    }

    /// Time for which a router other than the readers waits before it loads all upstreams.
    fn turn_ms(&mut self, at: usize) -> u64 {
        if at < READERS {
            return 0;
        }
        load_delay_ms(
            self.fleet.rng.random(),
            self.clients.len(),
            LoadCost::Upstreams,
        )
    }

    fn tick(&mut self) {
        self.fleet.tick();
        self.store.tick(self.fleet.now_ms());
        for at in 0..self.clients.len() {
            self.fleet.hosts[at].router.replica.check_clock();
            self.read_orders(at);
            self.read_upstreams(at);
        }
    }

    fn run(&mut self, for_ms: u64) {
        let end_ms = self.fleet.now_ms() + for_ms;
        while self.fleet.now_ms() < end_ms {
            self.tick();
        }
    }

    /// Number of routers that hold the newest era of both streams.
    fn followers(&self) -> usize {
        let era = self.store.era();
        let hosts = self.fleet.hosts.iter().map(|h| &h.router.replica);
        hosts
            .filter(|r| r.upstreams_at().era == era && r.orders_at().era == era)
            .count()
    }

    /// Time until nine in ten routers hold the newest era.
    fn follow_ms(&mut self) -> u64 {
        let began_ms = self.fleet.now_ms();
        while self.followers() * 10 < self.clients.len() * 9 {
            self.tick();
            assert!(self.fleet.now_ms() < began_ms + 20_000, "they never follow");
        }
        self.fleet.now_ms() - began_ms
    }
}

/// Guards against a log that is called by all routers at once after a restore, and against routers
/// that follow it late. Operators and upstreams have written what the copy lacks, and all routers
/// have read it.
#[test_case(9)]
#[test_case(71)]
#[test_case(300)]
fn fleet_follows_a_restored_log_by_few_loads(routers: usize) {
    let mut restored = Restored::new(routers);
    let now_ms = restored.fleet.now_ms();
    restored.store.configure(now_ms, 1);
    (0..UPSTREAMS).for_each(|_| restored.store.start_upstream(now_ms));
    restored.run(6_000);
    let now_ms = restored.fleet.now_ms();
    restored.store.configure(now_ms, 1);
    restored.store.evacuate(now_ms, 0, true);
    restored.store.start_upstream(now_ms);
    for n in 0..5 {
        restored
            .store
            .write_upstream(now_ms, n, UpstreamWrite::Leave);
        restored
            .store
            .write_upstream(now_ms, n + 20, UpstreamWrite::Drain);
    }
    restored.run(4_000);
    let before = restored.calls;
    restored.run(1_000);
    let usual = restored.calls.reads - before.reads;
    restored.calls = Calls::default();
    restored.store.restore(restored.fleet.now_ms(), 6_000);
    let follow_ms = restored.follow_ms();
    let calls = restored.calls;
    restored.run(5_000);
    let all = restored.calls;
    println!(
        "{routers} routers: nine in ten follow after {follow_ms} ms, {calls:?}; 5 s later {all:?}, \
         {usual} reads in a usual second"
    );
    assert!(follow_ms <= FOLLOW_LIMIT_MS, "{follow_ms} ms");
    assert!(all.loads <= 4 * READERS, "{all:?}");
    assert_eq!(restored.followers(), routers);
}
