use super::changes::MAX_CHANGES;
use super::cursor::{Order, Record};
use super::dialect::Records;
use super::freshness::Evidence;
use super::log_replica::{LogReplica, ReadSchedules};
use super::position::StreamPosition;
use super::regions::Regions;
use super::router_state::{RetryLimit, RouterState};
use super::routes::{Deployment, Draft};
use super::upstreams::{Upstream, Upstreams};
use crate::fleet::gossip::Gossip;
use crate::fleet::log_reads::ReadSchedule;
use crate::schema::peer::LogSyncRequest;
use crate::util::Clock;
use bytes::Bytes;
use futures_util::FutureExt;
use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use test_case::test_case;

/// Records as plain text: a version; or whether an upstream drains, followed by `@` and its start
/// time, and by `/` and its software.
pub(super) struct Plain;

impl Records for Plain {
    type Error = std::num::ParseIntError;

    fn deployment(record: &[u8]) -> Result<Deployment, Self::Error> {
        let version = String::from_utf8_lossy(record).parse()?;
        Ok(Draft {
            version,
            ..Draft::default()
        }
        .into())
    }

    fn upstream(id: &str, record: &[u8]) -> Result<Upstream, Self::Error> {
        let record_text = String::from_utf8_lossy(record);
        let (text, software) = record_text.split_once('/').unzip();
        let text = text.unwrap_or(&record_text);
        let (state, started) = text.split_once('@').unwrap_or((text, "0"));
        Ok(Upstream {
            id: id.into(),
            service: "s".into(),
            addr: ([127, 0, 0, 1], 80).into(),
            data_center: "north".into(),
            slots: 1,
            started_ms: started.parse()?,
            draining: state == "draining",
            cold_ms: 0,
            software: software.map(Into::into),
        })
    }
}

pub(super) struct Router {
    pub(super) state: Rc<RouterState>,
    pub(super) replica: LogReplica<Plain>,
}

impl Router {
    fn new() -> Self {
        Self::with_clock(Clock::start())
    }

    pub(super) fn with_clock(clock: Clock) -> Self {
        let limit = RetryLimit {
            share: 0.2,
            burst: 10.0,
        };
        let (gossip, _, _) = Gossip::open();
        let state = Rc::new(RouterState::new(
            limit,
            "north".into(),
            Regions::default(),
            gossip,
        ));
        let schedules = ReadSchedules {
            config: ReadSchedule::within(2_000.0),
            upstreams: ReadSchedule::within(2_000.0),
        };
        let replica = LogReplica::new(state.clone(), clock, schedules);
        Self { state, replica }
    }

    /// Requests the state of `other` as routers do.
    pub(super) fn learn_from(&self, other: &Self) {
        let request = LogSyncRequest {
            config_version: self.state.deployment().version,
            upstreams_at: Some(self.replica.upstreams_at()),
            takes_all: true,
            orders_at: Some(self.replica.orders_at()),
        };
        let asked_ms = self.replica.now_ms();
        self.replica.apply_reply(
            &request,
            other.replica.reply_to(&request),
            "other",
            asked_ms,
        );
    }
}

/// Position in the era in which most tests play.
pub(super) fn at(offset: u64) -> StreamPosition {
    StreamPosition::new(1, offset)
}

pub(super) fn put(router: &Router, offset: u64, id: &str) {
    router
        .replica
        .put(at(offset), id, Bytes::from_static(b"ready"));
}

/// A reader that returns after a long silence of the log delays the removal of an upstream. Routers
/// that learn from it must apply the removal at once: they had no silence, and would send work to
/// an upstream that has left.
#[test]
fn delayed_removal_is_sent_to_peers_at_once() {
    let (reader, other) = (Router::new(), Router::new());
    for router in [&reader, &other] {
        put(router, 1, "i-1");
        put(router, 2, "i-2");
    }
    // The silence is as old as the clock, far above the limit.
    std::thread::sleep(Duration::from_millis(3_100));
    other.replica.confirm_upstreams(3_000, Evidence::Log);
    let now_ms = reader.replica.now_ms();
    reader.replica.upstreams_fresh().record_failure(now_ms);
    reader.replica.end_silence();
    reader.replica.remove(at(3), "i-1");
    put(&reader, 4, "i-3");
    assert!(reader.state.has_upstream("i-1"), "removal is delayed");
    other.learn_from(&reader);
    assert!(!other.state.has_upstream("i-1"));
    assert!(other.state.has_upstream("i-3"));
}

/// Whether a router that was suspended until 16,000 ms still has an upstream whose entry was removed
/// meanwhile. A read may have failed before the suspension.
fn has_removed_upstream_after_suspension(failed_ms: Option<u64>) -> bool {
    let now_ms: &'static AtomicU64 = Box::leak(Box::new(AtomicU64::new(10_000)));
    let router = Router::with_clock(Clock::set_by(now_ms));
    put(&router, 1, "i-1");
    put(&router, 2, "i-2");
    router.replica.confirm_upstreams(10_000, Evidence::Log);
    if let Some(failed_ms) = failed_ms {
        now_ms.store(failed_ms, Ordering::Relaxed);
        router.replica.upstreams_fresh().record_failure(failed_ms);
    }
    now_ms.store(16_000, Ordering::Relaxed);
    let removal = Record {
        key: "i-1".to_owned(),
        value: None,
    };
    router.replica.apply_records(at(2), vec![removal], 16_000);
    router.state.has_upstream("i-1")
}

/// A router was suspended while the entry of an upstream was removed. It must not take its own pause
/// for an outage of the log and go on sending requests to the upstream.
#[test]
fn removal_after_a_suspension_is_applied_at_once() {
    assert!(!has_removed_upstream_after_suspension(None));
}

/// A read failed shortly before a suspension. The suspension must not count as an outage for it.
#[test]
fn failure_before_a_suspension_delays_no_removal() {
    assert!(!has_removed_upstream_after_suspension(Some(11_500)));
}

/// A router that missed more changes than are kept is sent all upstreams, and drops those that are
/// not among them.
#[test]
fn router_that_missed_too_many_changes_gets_all_upstreams() {
    // The clock stands still: processing thousands of records takes a while, which would count as a
    // long silence.
    let clock = Clock::set_by(Box::leak(Box::new(AtomicU64::new(1))));
    let (reader, other) = (Router::with_clock(clock), Router::with_clock(clock));
    put(&other, 1, "i-old");
    let last = MAX_CHANGES as u64 + 100;
    for at in 2..=last {
        put(&reader, at, &format!("i-{at}"));
    }
    other.learn_from(&reader);
    assert!(!other.state.has_upstream("i-old"));
    assert_eq!(other.state.upstream_count(), MAX_CHANGES + 99);
    assert_eq!(other.replica.upstreams_at(), at(last));
}

/// Routers that start at once must not confirm their state by one another's empty state: none would
/// read the log again after a failed first read.
#[test]
fn routers_that_know_nothing_confirm_nothing() {
    let clock_at = |ms| Clock::set_by(Box::leak(Box::new(AtomicU64::new(ms))));
    let (late, early) = (
        Router::with_clock(clock_at(500)),
        Router::with_clock(clock_at(900)),
    );
    early
        .replica
        .receive_position(&late.replica.position(), 900);
    early.learn_from(&late);
    assert_eq!(early.replica.config_confirmed_ms(), 0);
    assert_eq!(early.replica.upstreams_confirmed_ms(), 0);
}

/// A router that starts while the log is unavailable must not hold requests once a peer has sent it
/// everything, however old that is.
#[test]
fn state_from_a_peer_counts_as_loaded_however_old() {
    let clock_at = |ms| Clock::set_by(Box::leak(Box::new(AtomicU64::new(ms))));
    let (old, new) = (
        Router::with_clock(clock_at(40_000)),
        Router::with_clock(clock_at(500)),
    );
    old.replica.configure(Bytes::from_static(b"3"), "a test");
    put(&old, 1, "i-1");
    old.replica.confirm_config(10_000, Evidence::Log);
    old.replica.confirm_upstreams(10_000, Evidence::Log);
    let settled = new.replica.load_settled();
    let mut wait = pin!(settled.notified());
    assert!(!wait.as_mut().enable());
    new.learn_from(&old);
    assert!(new.replica.is_loaded());
    assert!(wait.now_or_never().is_some());
}

/// Requests that wait for the first load must not wait any longer once the log is known to fail.
#[test]
fn failing_log_ends_the_wait_for_the_first_load() {
    let router = Router::new();
    let settled = router.replica.load_settled();
    let mut wait = pin!(settled.notified());
    assert!(!wait.as_mut().enable());
    router.replica.set_log_fails(true);
    assert!(wait.now_or_never().is_some());
}

/// Two routers exchange their state; the one with the older version must not restore it at the
/// other.
#[test]
fn older_version_is_not_taken_from_a_peer() {
    let (ahead, behind) = (Router::new(), Router::new());
    behind
        .replica
        .configure(Bytes::from_static(b"3"), "the store");
    ahead
        .replica
        .configure(Bytes::from_static(b"7"), "the store");
    ahead.learn_from(&behind);
    assert_eq!(ahead.state.deployment().version, 7);
    behind.learn_from(&ahead);
    assert_eq!(behind.state.deployment().version, 7);
}

/// An upstream crashes and restarts under its id, and the clock of its host steps back in between,
/// so the new start time lies before the old one. The restart must be detected: otherwise the
/// observations of the crashed incarnation would keep the new one without work permanently.
#[test_case("3000"; "stepped back")]
#[test_case("9000"; "went on")]
fn restart_is_detected_when_the_clock_steps_back(restarted: &str) {
    let router = Router::new();
    let ready = |started: &str| Bytes::from(format!("ready@{started}"));
    router.replica.put(at(1), "i-1", ready("5000"));
    let listed = |u: &mut Upstreams| u.get("i-1").cloned();
    let started = router.state.change_upstreams(listed).unwrap();
    router.state.record_replaced(&started, 10);
    assert_eq!(router.state.slots_open("s", 20), None);
    router.replica.put(at(2), "i-1", ready(restarted));
    assert_eq!(router.state.slots_open("s", 20), Some(1));
}

/// An upstream whose record names no start time returns under its id with other software. It must
/// be listed as the new version, and observations of the old one must not keep it without work.
#[test]
fn other_software_under_the_same_id_is_a_restart() {
    let router = Router::new();
    let ready = |version: &str| Bytes::from(format!("ready@0/{version}"));
    router.replica.put(at(1), "i-1", ready("1"));
    let started = router.state.upstream("i-1").unwrap();
    router.state.record_replaced(&started, 10);
    router.replica.put(at(2), "i-1", ready("1"));
    assert_eq!(router.state.slots_open("s", 20), None);
    router.replica.put(at(3), "i-1", ready("2"));
    assert_eq!(router.state.slots_open("s", 20), Some(1));
    let listed = router.state.upstream("i-1").unwrap();
    assert_eq!(listed.software.as_deref(), Some("2"));
}

/// A router learns of one that has read more of the log, but keeps no changes from before its own
/// read. If all upstreams were sent each time, hundreds of such routers would overload one
/// another's links; the log provides the missing changes. The answer must not be taken for
/// complete.
#[test]
fn changes_that_peers_do_not_keep_are_read_from_the_log() {
    let clock = Clock::set_by(Box::leak(Box::new(AtomicU64::new(1_000))));
    let (earlier, later) = (Router::with_clock(clock), Router::with_clock(clock));
    put(&earlier, 4, "i-1");
    put(&later, 6, "i-1");
    put(&later, 6, "i-2");
    later.replica.start_at(at(7));
    later
        .replica
        .configure(Bytes::from_static(b"7"), "the store");
    let request = LogSyncRequest {
        config_version: 0,
        upstreams_at: Some(at(4)),
        takes_all: false,
        orders_at: None,
    };
    let reply = later.replica.reply_to(&request);
    assert!(reply.changes.is_empty() && reply.all_upstreams.is_empty());
    earlier.replica.apply_reply(&request, reply, "later", 1_000);
    assert_eq!(earlier.state.deployment().version, 7);
    assert_eq!(earlier.replica.upstreams_at(), at(4));
    assert_eq!(earlier.replica.upstreams_confirmed_ms(), 0, "not confirmed");
    assert!(earlier.replica.awaits_log());
    earlier.learn_from(&later);
    assert!(
        earlier.state.has_upstream("i-2"),
        "all upstreams, if the log is unavailable"
    );
}

/// Operators evacuate a data centre and readmit it. A router reads the first of the two records
/// after a peer sent it the result of both, and must not exclude the data centre again.
#[test]
fn late_record_does_not_restore_a_withdrawn_evacuation() {
    let (reader, late) = (Router::new(), Router::new());
    let evacuate = || Order::Evacuate("north".into());
    reader.replica.apply_orders(at(0), vec![evacuate()], 1);
    assert!(reader.state.evacuations().contains("north"));
    let readmit = vec![Order::Readmit("north".into())];
    reader.replica.apply_orders(at(1), readmit, 2);
    late.learn_from(&reader);
    late.replica.apply_orders(at(0), vec![evacuate()], 3);
    assert!(!late.state.evacuations().contains("north"));
    assert_eq!(late.replica.orders_at(), at(2));
}

/// A router that starts while a data centre is evacuated and the log is unavailable gets the
/// evacuation from a peer. It must not send work there before it has read the log itself.
#[test]
fn current_evacuation_is_sent_with_the_configuration() {
    let (reader, starter) = (Router::new(), Router::new());
    let orders = vec![
        Order::Configure(Bytes::from_static(b"7")),
        Order::Other,
        Order::Evacuate("north".into()),
    ];
    reader.replica.apply_order_snapshot(orders, at(9), 1);
    starter.learn_from(&reader);
    assert_eq!(starter.state.deployment().version, 7);
    assert!(starter.state.evacuations().contains("north"));
    assert_eq!(starter.replica.orders_at(), at(9));
}

/// Another writer overwrites the record of an upstream. It must not get requests by its former
/// record, the other upstreams stay, and its own next record brings it back.
#[test]
fn invalid_record_names_no_upstream() {
    let router = Router::new();
    put(&router, 1, "i-1");
    put(&router, 2, "i-2");
    let invalid = Bytes::from_static(b"ready@soon");
    router.replica.put(at(3), "i-1", invalid.clone());
    router.replica.put(at(4), "stranger", invalid);
    let listed = |router: &Router| router.replica.listed().into_keys().collect::<Vec<_>>();
    assert_eq!(listed(&router), ["i-2"]);
    assert!(!router.state.has_upstream("i-1"));
    put(&router, 5, "i-1");
    assert_eq!(listed(&router), ["i-1", "i-2"]);
    assert!(router.state.has_upstream("i-1"));
}

pub(super) fn entry(id: &str, state: &'static str) -> Record {
    Record {
        key: id.to_owned(),
        value: Some(Bytes::from_static(state.as_bytes())),
    }
}

/// A log of two upstreams, of which the second drains, is restored from a copy in which it is ready.
fn restored() -> Router {
    let router = Router::new();
    put(&router, 1, "i-1");
    put(&router, 2, "i-2");
    router
        .replica
        .put(at(3), "i-2", Bytes::from_static(b"draining"));
    let copy = vec![entry("i-1", "ready"), entry("i-2", "ready")];
    let end = StreamPosition::new(2, 2);
    router.replica.apply_snapshot(copy, end, 1);
    router
}

fn drains(router: &Router, id: &str) -> bool {
    let draining = router.state.change_upstreams(|u| u.draining());
    draining.iter().any(|u| *u.id == *id)
}

/// Guards against routers that take an entry of the restored log for newer than what it lost, and
/// against peers that are told so.
#[test]
fn restored_entry_ends_no_drain_at_readers_and_peers() {
    let reader = restored();
    assert!(drains(&reader, "i-2") && !drains(&reader, "i-1"));
    let peer = Router::new();
    put(&peer, 1, "i-1");
    put(&peer, 2, "i-2");
    peer.replica
        .put(at(3), "i-2", Bytes::from_static(b"draining"));
    peer.learn_from(&reader);
    assert_eq!(peer.replica.upstreams_at(), StreamPosition::new(2, 2));
    assert!(drains(&peer, "i-2"));
    assert_eq!(peer.replica.listed(), reader.replica.listed());
}

/// Guards against routers that return to the state of a peer which hasn't learned of the restore,
/// though its offsets are higher.
#[test]
fn peer_of_an_earlier_era_is_not_believed() {
    let (reader, old) = (restored(), Router::new());
    for offset in 1..=9 {
        put(&old, offset, &format!("old-{offset}"));
    }
    assert!(!reader.replica.is_behind(&old.replica.position()));
    assert!(old.replica.is_behind(&reader.replica.position()));
    reader.learn_from(&old);
    assert_eq!(reader.replica.upstreams_at(), StreamPosition::new(2, 2));
    assert!(!reader.state.has_upstream("old-9"));
}

/// Guards against a load in the restored log's era that counts as if an upstream that left had
/// written its entry again.
#[test]
fn load_at_a_known_position_ends_no_departure() {
    let router = Router::new();
    put(&router, 1, "i-1");
    put(&router, 2, "i-2");
    router.replica.remove(at(3), "i-2");
    let copy = || vec![entry("i-1", "ready"), entry("i-2", "ready")];
    let restored_at = |offset| StreamPosition::new(2, offset);
    router.replica.apply_snapshot(copy(), restored_at(2), 1);
    let started = entry("i-3", "ready");
    let further = vec![started.clone()];
    router.replica.apply_records(restored_at(2), further, 2);
    assert!(!router.state.has_upstream("i-2"));
    let listed = [copy(), vec![started]].concat();
    router.replica.apply_snapshot(listed, restored_at(3), 3);
    assert!(!router.state.has_upstream("i-2"));
}
