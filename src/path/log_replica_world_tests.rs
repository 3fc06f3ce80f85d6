//! Model of a fleet of routers that read a log and exchange state, and the invariants that must
//! hold.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};

use crate::path::cursor::{AnswerEra, Order, ReadRange, Record};
use crate::path::freshness::StreamFreshness;
use crate::path::log_replica_fake_tests::{
    DATA_CENTERS, ENTRY_EXPIRY_MS, Entry, FakeStore, data_center,
};
use crate::path::log_replica_hold_tests::Holds;
use crate::path::log_replica_reader_tests::{Read, Reader};
use crate::path::log_replica_tests::Router;
use crate::path::position::StreamPosition;
use crate::schema::peer::{LogPosition, LogSyncReply, LogSyncRequest};
use crate::util::{Clock, Name};

pub(super) const ROUTERS: usize = 4;
/// Interval at which routers publish their positions and check the clock.
const TICK_MS: u64 = 200;
/// Time within which a change must be in force, as in [`Router`].
const BOUND_MS: u64 = 2_000;
/// Duration of a suspension that routers detect.
pub(super) const SUSPENSION_MS: u64 = 1_100;
/// After this many ticks with the log available and no router suspended, all routers have
/// everything.
const RECOVERY_TICKS: u32 = 40;
/// After this many more ticks, nothing is held any longer of what a restore lost.
const RELEASE_TICKS: u32 = 15;

pub(super) struct Host {
    router: Router,
    orders: Reader<Order>,
    upstreams: Reader<Record>,
    peer: Option<(u64, LogSyncRequest, LogSyncReply)>,
    /// Positions published by other routers that this one has not handled, and when they were sent.
    positions: VecDeque<(u64, LogPosition)>,
    /// Ticks in which it handles no reports: it lacks processor time.
    pub(super) starved_ticks: u32,
    pub(super) is_rejected: bool,
    pub(super) suspended_until_ms: u64,
    started_ms: u64,
    version: u64,
    orders_at: StreamPosition,
    upstreams_at: StreamPosition,
    holds: Holds,
    /// Time of the last read that failed.
    failed_ms: u64,
}

pub(super) struct World {
    pub(super) now_ms: &'static AtomicU64,
    pub(super) store: FakeStore,
    pub(super) hosts: Vec<Host>,
    pub(super) down_since_ms: u64,
}

impl Host {
    fn observe(&mut self, store: &FakeStore) {
        self.holds.observe(&self.router, store);
    }

    /// A read requested at `asked_ms` failed, which shows nothing if this router did not run since.
    fn fail_read(&mut self, asked_ms: u64, fresh: impl Fn(&Self) -> &StreamFreshness) {
        if self.router.replica.has_stalled_since(asked_ms) {
            return;
        }
        self.failed_ms = self.failed_ms.max(asked_ms);
        fresh(self).record_failure(asked_ms);
        fresh(self).record_peers_asked(asked_ms);
    }
}

impl World {
    pub(super) fn new() -> Self {
        // One number per case: a clock that many routers share must outlive them all.
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

    fn is_suspended(&self, at: usize) -> bool {
        self.hosts[at].suspended_until_ms > self.now_ms()
    }

    fn can_reach_store(&self, at: usize) -> bool {
        self.store.is_available() && !self.hosts[at].is_rejected && !self.is_suspended(at)
    }

    pub(super) fn send_request(&mut self, at: usize) {
        if self.is_suspended(at) {
            return;
        }
        let now_ms = self.now_ms();
        if !self.can_reach_store(at) {
            let host = &mut self.hosts[at];
            host.failed_ms = now_ms;
            host.router.replica.check_clock();
            for fresh in [
                host.router.replica.config_fresh(),
                host.router.replica.upstreams_fresh(),
            ] {
                fresh.record_failure(now_ms);
                fresh.record_peers_asked(now_ms);
            }
            return;
        }
        let host = &mut self.hosts[at];
        let (orders_at, upstreams_at) = (
            host.router.replica.orders_at(),
            host.router.replica.upstreams_at(),
        );
        let ask = |range| self.store.answer_orders(range);
        host.orders.send(now_ms, orders_at, ask);
        let ask = |range| self.store.answer(range);
        host.upstreams.send(now_ms, upstreams_at, ask);
    }

    pub(super) fn answer(&mut self, at: usize) {
        if !self.is_suspended(at) {
            self.answer_orders(at);
            self.hosts[at].observe(&self.store);
            self.answer_upstreams(at);
            self.hosts[at].observe(&self.store);
        }
    }

    /// Reads at once, with a load if the log was restored or its next records were deleted.
    pub(super) fn read(&mut self, at: usize) {
        self.send_request(at);
        self.answer(at);
        self.answer(at);
    }

    fn answer_orders(&mut self, at: usize) {
        let can_load = self.can_reach_store(at);
        let host = &mut self.hosts[at];
        let load = || can_load.then(|| self.store.answer_orders(ReadRange::All));
        let Some((asked_ms, read)) = host.orders.receive(load) else {
            return;
        };
        let replica = &host.router.replica;
        match read {
            Read::Full(orders, end) => replica.apply_order_snapshot(orders, end, asked_ms),
            Read::Changes(from, orders) => replica.apply_orders(from, orders, asked_ms),
            Read::Failed => host.fail_read(asked_ms, |host| host.router.replica.config_fresh()),
        }
    }

    fn answer_upstreams(&mut self, at: usize) {
        let can_load = self.can_reach_store(at);
        let host = &mut self.hosts[at];
        let load = || can_load.then(|| self.store.answer(ReadRange::All));
        let mut is_torn = false;
        if let Some(pages) = host.upstreams.pending_load() {
            let is_spread = self.store.has_further_page(pages);
            let era = self.store.era();
            is_torn = is_spread && !AnswerEra::is_same_load(Some(pages.era), Some(era));
            self.store.continue_load(pages);
        }
        let read = if is_torn {
            host.upstreams.abandon()
        } else {
            host.upstreams.receive(load)
        };
        let Some((asked_ms, read)) = read else {
            return;
        };
        let replica = &host.router.replica;
        match read {
            Read::Full(records, end) => replica.apply_snapshot(records, end, asked_ms),
            Read::Changes(from, records) => replica.apply_records(from, records, asked_ms),
            Read::Failed => host.fail_read(asked_ms, |host| host.router.replica.upstreams_fresh()),
        }
    }

    pub(super) fn send_peer_request(&mut self, at: usize, peer: usize) {
        if at == peer
            || self.is_suspended(at)
            || self.is_suspended(peer)
            || self.hosts[at].peer.is_some()
        {
            return;
        }
        let router = &self.hosts[at].router;
        let request = LogSyncRequest {
            config_version: router.state.deployment().version,
            upstreams_at: Some(router.replica.upstreams_at()),
            takes_all: true,
            orders_at: Some(router.replica.orders_at()),
        };
        let reply = self.hosts[peer].router.replica.reply_to(&request);
        self.hosts[at].peer = Some((self.now_ms(), request, reply));
    }

    pub(super) fn receive_peer_answer(&mut self, at: usize) {
        if self.is_suspended(at) {
            return;
        }
        let host = &mut self.hosts[at];
        if let Some((asked_ms, request, reply)) = host.peer.take() {
            let replica = &host.router.replica;
            replica.apply_reply(&request, reply, "a peer", asked_ms);
            host.observe(&self.store);
        }
    }

    /// One tick of a running fleet: every router publishes its position. The first routers read the
    /// log, and the others do so when their state becomes stale.
    pub(super) fn tick(&mut self) {
        self.now_ms.fetch_add(TICK_MS, Ordering::Relaxed);
        let now_ms = self.now_ms();
        self.store.tick(now_ms);
        let positions: Vec<Option<LogPosition>> = (0..ROUTERS)
            .map(|at| (!self.is_suspended(at)).then(|| self.hosts[at].router.replica.position()))
            .collect();
        for at in 0..ROUTERS {
            let others = positions.iter().enumerate().filter(|(from, _)| *from != at);
            let received: Vec<(usize, LogPosition)> = others
                .filter_map(|(from, position)| Some((from, (*position)?)))
                .collect();
            let host = &mut self.hosts[at];
            host.positions
                .extend(received.iter().map(|(_, position)| (now_ms, *position)));
            if self.is_suspended(at) {
                continue;
            }
            let host = &mut self.hosts[at];
            let is_starved = host.starved_ticks > 0;
            host.starved_ticks = host.starved_ticks.saturating_sub(1);
            let handled = if is_starved { 0 } else { host.positions.len() };
            for (sent_ms, position) in host.positions.drain(..handled) {
                host.router.replica.receive_position(&position, sent_ms);
            }
            host.router.replica.check_clock();
            host.router.replica.remove_missing();
            host.observe(&self.store);
            host.router.replica.release_holds();
            host.observe(&self.store);
            let replica = &host.router.replica;
            let now_ms = replica.now_ms();
            let routers = received.len() + 1;
            let is_old =
                |fresh: &StreamFreshness| fresh.get().is_stale(now_ms, fresh.schedule(), routers);
            let is_stale = is_old(replica.config_fresh()) || is_old(replica.upstreams_fresh());
            let ahead = received
                .iter()
                .find(|(_, m)| host.router.replica.is_behind(m));
            if let Some((peer, _)) = ahead {
                self.send_peer_request(at, *peer);
                self.receive_peer_answer(at);
            }
            if at < 2 || is_stale {
                self.answer(at);
                self.send_request(at);
            }
        }
    }

    pub(super) fn check(&mut self) {
        for at in 0..ROUTERS {
            self.check_positions(at);
            self.check_config(at);
            self.check_evacuations(at);
            if !self.is_suspended(at) {
                self.check_holds(at);
                self.check_upstreams(at);
                self.check_usable(at);
            }
        }
    }

    /// Positions never go back.
    fn check_positions(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        let replica = &host.router.replica;
        let (orders_at, upstreams_at) = (replica.orders_at(), replica.upstreams_at());
        let before = (host.orders_at, host.upstreams_at);
        assert!(
            orders_at >= before.0 && upstreams_at >= before.1,
            "{at}: {orders_at} and {upstreams_at} after {} and {}",
            before.0,
            before.1
        );
        (host.orders_at, host.upstreams_at) = (orders_at, upstreams_at);
    }

    /// The version never decreases, and a confirmed one is the newest as of the confirmation, or as of
    /// the beginning of the router's era if that is later.
    fn check_config(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        let version = host.router.state.deployment().version;
        assert!(
            version >= host.version,
            "{at}: version {version} after {}",
            host.version
        );
        host.version = version;
        let replica = &host.router.replica;
        // A load that follows a read counts from the time of that read.
        let read_ms = self.store.started_ms(replica.orders_at().era);
        let fresh_ms = replica.config_confirmed_ms().max(read_ms);
        let newest = self.store.newest_version(fresh_ms);
        assert!(
            version >= newest,
            "{at}: {version} confirmed, {newest} was written"
        );
    }

    /// Evacuations match the records of operators up to the known offset, and confirmed ones are
    /// complete as of the confirmation.
    fn check_evacuations(&self, at: usize) {
        let router = &self.hosts[at].router;
        let evacuated: BTreeSet<Name> = router.state.evacuations().names().cloned().collect();
        let end = router.replica.orders_at();
        let written = self.store.evacuated(end);
        assert_eq!(evacuated, written, "{at}: differs from the log at {end}");
        let confirmed = self.store.orders_at(router.replica.config_confirmed_ms());
        if confirmed > end {
            let then = self.store.evacuated(confirmed);
            assert_eq!(
                evacuated, then,
                "{at}: confirmed at {confirmed}, is at {end}"
            );
        }
    }

    /// What a restore lost stays in force for a while, and no longer.
    fn check_holds(&mut self, at: usize) {
        let now_ms = self.now_ms();
        let host = &mut self.hosts[at];
        host.observe(&self.store);
        host.holds.check(at, &host.router);
        let evacuations = host.router.state.evacuations();
        for name in (0..DATA_CENTERS).map(data_center) {
            let is_evacuated = evacuations.names().any(|n| *n == name);
            let may_be_held = host
                .holds
                .may_be_evacuated(&name, now_ms, host.suspended_until_ms);
            assert!(
                is_evacuated == evacuations.contains(&name) || may_be_held,
                "{at}: {name} is still evacuated"
            );
        }
    }

    fn check_upstreams(&self, at: usize) {
        let router = &self.hosts[at].router;
        let listed: BTreeMap<String, Entry> = router.replica.listed();
        let end = router.replica.upstreams_at();
        assert_eq!(
            listed,
            self.store.entries(end),
            "{at}: differs from the log at {end}"
        );
        let confirmed = self
            .store
            .upstreams_at(router.replica.upstreams_confirmed_ms());
        if confirmed > end {
            let then = self.store.entries(confirmed);
            assert_eq!(listed, then, "{at}: confirmed at {confirmed}, is at {end}");
        }
        let host = &self.hosts[at];
        let (now_ms, resumed_ms) = (self.now_ms(), host.suspended_until_ms);
        let known = router.state.change_upstreams(|u| u.ids());
        let known: BTreeSet<String> = known.iter().map(ToString::to_string).collect();
        let mut wanted: BTreeSet<String> = listed.into_keys().collect();
        wanted.retain(|id| known.contains(id) || !host.holds.may_be_unused(id, now_ms, resumed_ms));
        // The log no longer lists these, so one that is unused already stays so.
        let mut missing = router.replica.missing_ids();
        missing.retain(|id| known.contains(id) || !host.holds.knew_departed(id));
        wanted.extend(missing);
        assert_eq!(known, wanted, "{at}: neither listed nor missing");
    }

    /// Requests are decided only by state that is as new as the bound allows, unless a read has
    /// failed since this router was last resumed.
    fn check_usable(&self, at: usize) {
        let host = &self.hosts[at];
        let replica = &host.router.replica;
        let now_ms = self.now_ms();
        replica.check_clock();
        let bound_ms = now_ms - BOUND_MS;
        let is_excused =
            |confirmed_ms: u64| host.failed_ms >= host.suspended_until_ms.max(confirmed_ms);
        if replica.config_fresh().is_usable() && !is_excused(replica.config_confirmed_ms()) {
            let version = host.router.state.deployment().version;
            let newest = self.store.oldest_version_since(bound_ms);
            assert!(
                version >= newest,
                "{at}: decides by {version}, not {newest}"
            );
        }
        let confirmed_ms = replica.upstreams_confirmed_ms();
        if replica.upstreams_fresh().is_usable() && !is_excused(confirmed_ms) {
            assert!(confirmed_ms >= bound_ms, "{at}: {confirmed_ms} at {now_ms}");
        }
    }

    /// Upstreams whose entries expired with the log are not removed before they can write them
    /// again.
    fn check_expired(&self, known: &[Vec<String>]) {
        for (at, before) in known.iter().enumerate() {
            let expired = self.store.expired();
            let mut lost = before.iter().filter(|id| expired.contains(id.as_str()));
            let knows = |id: &String| self.hosts[at].router.state.has_upstream(id);
            let lost = lost.find(|id| !knows(id));
            assert_eq!(lost, None, "{at}: removed too early");
        }
    }

    /// Ends the outage, and lets all routers read and publish at once.
    pub(super) fn end_outage(&mut self) {
        let now_ms = self.now_ms();
        let is_long = !self.store.is_available() && now_ms - self.down_since_ms >= ENTRY_EXPIRY_MS;
        self.store.end_outage(now_ms);
        if !is_long {
            return;
        }
        let known: Vec<Vec<String>> = (0..ROUTERS)
            .map(|at| {
                let is_old =
                    self.hosts[at].started_ms < self.down_since_ms && !self.is_suspended(at);
                let ids = self.hosts[at].router.state.change_upstreams(|u| u.ids());
                let ids = ids.iter().map(ToString::to_string);
                if is_old { ids.collect() } else { Vec::new() }
            })
            .collect();
        for _ in 0..3 {
            self.tick();
            self.check_expired(&known);
        }
    }

    pub(super) fn recover(&mut self) {
        self.end_outage();
        for host in &mut self.hosts {
            host.is_rejected = false;
        }
        while (0..ROUTERS).any(|at| self.is_suspended(at)) {
            self.tick();
        }
        self.run(RECOVERY_TICKS);
        self.check_agreement();
        if self.store.era() > 1 {
            self.run(RELEASE_TICKS);
        }
        self.check_released();
    }

    fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.tick();
            self.check();
        }
    }

    /// All routers have what the log has, which is what operators and upstreams last wrote.
    fn check_agreement(&self) {
        let newest = self.store.newest_version(u64::MAX);
        assert_eq!(newest, self.store.version(), "written again");
        let entries = self.store.entries(self.store.upstreams_at(u64::MAX));
        assert_eq!(&entries, self.store.live(), "written again");
        let evacuated = self.store.evacuated(self.store.orders_at(u64::MAX));
        assert_eq!(&evacuated, self.store.wanted_evacuated(), "written again");
        for host in &self.hosts {
            let known = host.router.state.evacuations();
            let known: BTreeSet<Name> = known.names().cloned().collect();
            assert_eq!(known, evacuated, "healed");
            assert_eq!(host.router.state.deployment().version, newest, "healed");
            assert_eq!(host.router.replica.listed(), entries, "healed");
        }
    }

    /// All routers use what the log lists, and nothing else.
    fn check_released(&self) {
        for host in &self.hosts {
            let state = &host.router.state;
            assert_eq!(state.upstream_count(), self.store.live().len(), "healed");
            let evacuations = state.evacuations();
            let contained = (0..DATA_CENTERS).map(data_center);
            let contained: BTreeSet<Name> = contained.filter(|n| evacuations.contains(n)).collect();
            assert_eq!(&contained, self.store.wanted_evacuated(), "healed");
        }
    }
}

pub(super) fn host(now_ms: &'static AtomicU64) -> Host {
    Host {
        router: Router::with_clock(Clock::set_by(now_ms)),
        orders: Reader::default(),
        upstreams: Reader::default(),
        peer: None,
        positions: VecDeque::new(),
        starved_ticks: 0,
        is_rejected: false,
        suspended_until_ms: 0,
        started_ms: now_ms.load(Ordering::Relaxed),
        version: 0,
        orders_at: StreamPosition::default(),
        upstreams_at: StreamPosition::default(),
        holds: Holds::default(),
        failed_ms: 0,
    }
}
