//! A fleet of routers that believe and tell, the log that they read, and what must hold of both.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};

use crate::path::cursor::{Order, Record, StreamCursor};
use crate::path::news_fake_tests::{Answer, Entry, FakeStore, LAPSE_MS};
use crate::path::news_tests::Router;
use crate::schema::peer::{LogPosition, LogSyncReply, LogSyncRequest};
use crate::util::{Clock, Name};

pub(super) const ROUTERS: usize = 4;
/// Routers tell one another this often, and look at the clock.
const TICK_MS: u64 = 200;
/// Who stands still for longer than this notices. What was told during a shorter pause counts as up to
/// that much fresher than it was.
pub(super) const SLEPT_MS: u64 = 1_100;
/// With the log back and nobody asleep, all know all after this many ticks.
const HEAL_TICKS: u32 = 40;

pub(super) struct Host {
    router: Router,
    cursor: StreamCursor,
    order_cursor: StreamCursor,
    /// The log's answers under way, and when they were asked for.
    orders: Option<(u64, Answer<Order>)>,
    upstreams: Option<(u64, Answer<Record>)>,
    peer: Option<(u64, LogSyncReply)>,
    /// What others told while this one stands still.
    marks: VecDeque<LogPosition>,
    pub(super) shut: bool,
    pub(super) sleeps_until_ms: u64,
    started_ms: u64,
    version: u64,
}

pub(super) struct World {
    pub(super) now_ms: &'static AtomicU64,
    pub(super) store: FakeStore,
    pub(super) hosts: Vec<Host>,
    pub(super) down_since_ms: u64,
}

impl World {
    pub(super) fn new() -> Self {
        // One number a case: a clock that many routers share outlives them all.
        let now_ms: &'static AtomicU64 = Box::leak(Box::new(AtomicU64::new(10_000)));
        let hosts = (0..ROUTERS).map(|_| host(now_ms)).collect();
        Self {
            now_ms,
            store: FakeStore::default(),
            hosts,
            down_since_ms: 0,
        }
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.now_ms.load(Ordering::Relaxed)
    }

    fn sleeps(&self, at: usize) -> bool {
        self.hosts[at].sleeps_until_ms > self.now_ms()
    }

    fn reaches_store(&self, at: usize) -> bool {
        self.store.is_up() && !self.hosts[at].shut && !self.sleeps(at)
    }

    pub(super) fn ask(&mut self, at: usize) {
        if !self.reaches_store(at) {
            return;
        }
        let now_ms = self.now_ms();
        let host = &mut self.hosts[at];
        if host.orders.is_none() {
            let ask = host.order_cursor.ask(host.router.replica.orders_at());
            host.orders = Some((now_ms, self.store.answer_orders(ask)));
        }
        if host.upstreams.is_none() {
            let ask = host.cursor.ask(host.router.replica.upstreams_at());
            host.upstreams = Some((now_ms, self.store.answer(ask)));
        }
    }

    pub(super) fn answer(&mut self, at: usize) {
        if self.sleeps(at) {
            return;
        }
        let host = &mut self.hosts[at];
        match host.orders.take() {
            Some((asked_ms, Answer::All(orders, end))) => {
                host.order_cursor.took_all(end);
                host.router.replica.read_all_orders(orders, end, asked_ms);
            }
            Some((asked_ms, Answer::Changes(from, orders))) => {
                host.order_cursor.took(from, orders.len());
                let replica = &host.router.replica;
                replica.read_orders(from, orders, asked_ms, asked_ms);
            }
            Some((_, Answer::Expired)) => host.order_cursor.expired(),
            None => {}
        }
        match host.upstreams.take() {
            Some((asked_ms, Answer::All(records, end))) => {
                host.cursor.took_all(end);
                host.router.replica.read_all(records, end, asked_ms);
            }
            Some((asked_ms, Answer::Changes(from, records))) => {
                host.cursor.took(from, records.len());
                host.router
                    .replica
                    .read_on(from, records, asked_ms, asked_ms);
            }
            Some((_, Answer::Expired)) => host.cursor.expired(),
            None => {}
        }
    }

    pub(super) fn ask_peer(&mut self, at: usize, peer: usize) {
        if at == peer || self.sleeps(at) || self.sleeps(peer) || self.hosts[at].peer.is_some() {
            return;
        }
        let router = &self.hosts[at].router;
        let ask = LogSyncRequest {
            config_version: router.state.deployment().version,
            upstreams_at: router.replica.upstreams_at(),
            takes_all: true,
            orders_at: router.replica.orders_at(),
        };
        let give = self.hosts[peer].router.replica.give(&ask);
        self.hosts[at].peer = Some((self.now_ms(), give));
    }

    pub(super) fn peer_answers(&mut self, at: usize) {
        if self.sleeps(at) {
            return;
        }
        let host = &mut self.hosts[at];
        if let Some((asked_ms, give)) = host.peer.take() {
            host.router.replica.take(give, "a peer", asked_ms);
        }
    }

    /// One tick of a running fleet: every router tells how much it knows, the first ones read, the
    /// others do when their news grow old.
    pub(super) fn tick(&mut self) {
        self.now_ms.fetch_add(TICK_MS, Ordering::Relaxed);
        let now_ms = self.now_ms();
        self.store.tick(now_ms);
        let marks: Vec<Option<LogPosition>> = (0..ROUTERS)
            .map(|at| (!self.sleeps(at)).then(|| self.hosts[at].router.replica.position()))
            .collect();
        for at in 0..ROUTERS {
            let others = marks.iter().enumerate().filter(|(from, _)| *from != at);
            let heard: Vec<(usize, LogPosition)> = others
                .filter_map(|(from, mark)| Some((from, (*mark)?)))
                .collect();
            let host = &mut self.hosts[at];
            host.marks.extend(heard.iter().map(|(_, mark)| *mark));
            if self.sleeps(at) {
                continue;
            }
            let host = &mut self.hosts[at];
            for mark in std::mem::take(&mut host.marks) {
                host.router.replica.heard(&mark);
            }
            host.router.replica.look();
            host.router.replica.settle();
            let replica = &host.router.replica;
            let (schedules, now_ms) = (replica.schedules(), replica.now_ms());
            let config_is_stale = replica.config_fresh().is_stale(now_ms, schedules.config);
            let upstreams_fresh = replica.upstreams_fresh();
            let is_stale = config_is_stale || upstreams_fresh.is_stale(now_ms, schedules.upstreams);
            let ahead = heard.iter().find(|(_, m)| host.router.replica.is_behind(m));
            if let Some((peer, _)) = ahead {
                self.ask_peer(at, *peer);
                self.peer_answers(at);
            }
            if at < 2 || is_stale {
                self.answer(at);
                self.ask(at);
            }
        }
    }

    pub(super) fn check(&mut self) {
        for at in 0..ROUTERS {
            self.check_config(at);
            self.check_evacuations(at);
            if !self.sleeps(at) {
                self.check_upstreams(at);
            }
        }
    }

    /// A version never goes back, and what was confirmed is all there was.
    fn check_config(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        let version = host.router.state.deployment().version;
        assert!(
            version >= host.version,
            "{at}: version {version} after {}",
            host.version
        );
        host.version = version;
        let fresh_ms = host.router.replica.config_confirmed_ms();
        let newest = self.store.newest_version(fresh_ms);
        assert!(
            version >= newest,
            "{at}: {version} confirmed, {newest} was written"
        );
    }

    /// What is evacuated is what operators wrote up to the offset that is told, and what was confirmed is all there was.
    fn check_evacuations(&self, at: usize) {
        let router = &self.hosts[at].router;
        let evacuated: BTreeSet<Name> = router.state.evacuations().names().cloned().collect();
        let end = usize::try_from(router.replica.orders_at()).unwrap();
        let written = self.store.evacuated(end);
        assert_eq!(evacuated, written, "{at}: not the log's at {end}");
        let confirmed = self
            .store
            .orders_end_at(router.replica.config_confirmed_ms());
        if confirmed > end {
            let then = self.store.evacuated(confirmed);
            assert_eq!(
                evacuated, then,
                "{at}: confirmed at {confirmed}, is at {end}"
            );
        }
    }

    fn check_upstreams(&self, at: usize) {
        let router = &self.hosts[at].router;
        let listed: BTreeMap<String, Entry> = router.replica.listed();
        let end = usize::try_from(router.replica.upstreams_at()).unwrap();
        assert_eq!(
            listed,
            self.store.entries(end),
            "{at}: not the log's at {end}"
        );
        let confirmed = self.store.end_at(router.replica.upstreams_confirmed_ms());
        if confirmed > end {
            let then = self.store.entries(confirmed);
            assert_eq!(listed, then, "{at}: confirmed at {confirmed}, is at {end}");
        }
        let invalidated = router.replica.doubted_ids();
        let mut wanted: Vec<String> = listed.into_keys().chain(invalidated).collect();
        wanted.sort();
        let known = router.state.change_upstreams(|u| u.ids());
        let mut known: Vec<String> = known.iter().map(ToString::to_string).collect();
        known.sort();
        assert_eq!(known, wanted, "{at}: neither listed nor in doubt");
    }

    /// Upstreams whose entries lapsed with the log are not taken for gone before they can be back.
    fn check_lapsed(&self, known: &[Vec<String>]) {
        for (at, before) in known.iter().enumerate() {
            let lapsed = self.store.lapsed();
            let mut lost = before.iter().filter(|id| lapsed.contains(id.as_str()));
            let knows = |id: &String| self.hosts[at].router.state.knows_upstream(id);
            let lost = lost.find(|id| !knows(id));
            assert_eq!(lost, None, "{at}: taken for gone");
        }
    }

    /// Brings the log back, and lets all read and tell at once.
    pub(super) fn return_store(&mut self) {
        let now_ms = self.now_ms();
        let is_long = !self.store.is_up() && now_ms - self.down_since_ms >= LAPSE_MS;
        self.store.come_back(now_ms);
        if !is_long {
            return;
        }
        let known: Vec<Vec<String>> = (0..ROUTERS)
            .map(|at| {
                let is_old = self.hosts[at].started_ms < self.down_since_ms && !self.sleeps(at);
                let ids = self.hosts[at].router.state.change_upstreams(|u| u.ids());
                let ids = ids.iter().map(ToString::to_string);
                if is_old { ids.collect() } else { Vec::new() }
            })
            .collect();
        for _ in 0..3 {
            self.tick();
            self.check_lapsed(&known);
        }
    }

    pub(super) fn heal(&mut self) {
        self.return_store();
        for host in &mut self.hosts {
            host.shut = false;
        }
        while (0..ROUTERS).any(|at| self.sleeps(at)) {
            self.tick();
        }
        for _ in 0..HEAL_TICKS {
            self.tick();
            self.check();
        }
        let newest = self.store.newest_version(u64::MAX);
        let entries = self.store.entries(self.store.end());
        let evacuated = self.store.evacuated(self.store.orders_end_at(u64::MAX));
        for host in &self.hosts {
            let known = host.router.state.evacuations();
            let known: BTreeSet<Name> = known.names().cloned().collect();
            assert_eq!(known, evacuated, "healed");
            assert_eq!(host.router.state.deployment().version, newest, "healed");
            assert_eq!(host.router.replica.listed(), entries, "healed");
            assert_eq!(host.router.state.upstreams_known(), entries.len(), "healed");
        }
    }
}

pub(super) fn host(now_ms: &'static AtomicU64) -> Host {
    Host {
        router: Router::with_clock(Clock::set_by(now_ms)),
        cursor: StreamCursor::default(),
        order_cursor: StreamCursor::default(),
        orders: None,
        upstreams: None,
        peer: None,
        marks: VecDeque::new(),
        shut: false,
        sleeps_until_ms: 0,
        started_ms: now_ms.load(Ordering::Relaxed),
        version: 0,
    }
}
