use tokio::sync::mpsc;

use super::regions::Regions;
use super::router_state::{RetryLimit, RouterState};
use super::upstreams::Upstream;
use super::versions::{GONE_AFTER_MS, ServiceVersions, VersionCall, store_after_ms};
use crate::decide::versions::{LIST_AGE_MS, Listing};
use crate::fleet::gossip::Gossip;
use crate::schema::peer::{VersionListing, VersionReport};

const ERA: u64 = 1;

struct Fixture {
    state: RouterState,
    versions: ServiceVersions,
    stored: mpsc::Receiver<VersionCall>,
    now_ms: u64,
}

impl Fixture {
    fn open(capacity: usize) -> Self {
        let (gossip, _, _) = Gossip::open();
        let limit = RetryLimit {
            share: 0.2,
            burst: 10.0,
        };
        let regions = Regions::parse("north=home");
        let state = RouterState::new(limit, "north".into(), regions, gossip);
        let (tx, stored) = mpsc::channel(capacity);
        let versions = ServiceVersions::default();
        versions.set_store(tx);
        Self {
            state,
            versions,
            stored,
            now_ms: 1,
        }
    }

    fn put(&self, id: &str, software: Option<&str>) {
        let upstream = Upstream {
            id: id.into(),
            service: "s".into(),
            addr: ([127, 0, 0, 1], 80).into(),
            data_center: "north".into(),
            slots: 8,
            started_ms: 0,
            draining: false,
            cold_ms: 0,
            software: software.map(Into::into),
        };
        self.state.change_upstreams(|u| u.put(upstream));
    }

    fn remove(&self, id: &str) {
        self.state.change_upstreams(|u| u.remove(id));
    }

    /// Looks at the upstreams a second later, and returns the versions that are stored and whether each of
    /// them is listed.
    fn refresh(&mut self, era: u64) -> Vec<(String, bool)> {
        self.now_ms += 1_000;
        let now_ms = self.now_ms;
        self.versions.refresh(&self.state, now_ms, now_ms);
        self.versions.store_changed(era, now_ms);
        self.sent()
    }

    /// The versions that were sent to be stored, all of which succeeds.
    fn sent(&mut self) -> Vec<(String, bool)> {
        let mut sent = Vec::new();
        while let Ok(VersionCall::Write(record, outcomes)) = self.stored.try_recv() {
            let software = record.key.software.as_ref();
            let name = software.map_or_else(|| "none".to_owned(), |s| s.to_string());
            sent.push((name, record.is_listed));
            outcomes.borrow_mut().push((record.key, true));
        }
        sent.sort();
        sent
    }

    /// Looks each second until a version that was removed counts as gone.
    fn refresh_until_gone(&mut self) -> Vec<(String, bool)> {
        let looks = GONE_AFTER_MS / 1_000;
        (0..looks).flat_map(|_| self.refresh(ERA)).collect()
    }
}

fn versions(expected: &[(&str, bool)]) -> Vec<(String, bool)> {
    let owned = expected.iter().map(|(name, is)| ((*name).to_owned(), *is));
    owned.collect()
}

/// A version without a record would be unknown after a restart of all routers. On an ordinary day each router
/// that reads the log would write a record a second.
#[test]
fn versions_are_stored_when_they_appear_and_go() {
    let mut fixture = Fixture::open(8);
    fixture.put("i-1", Some("v1"));
    fixture.put("i-2", Some("v1"));
    assert_eq!(fixture.refresh(ERA), versions(&[("v1", true)]));
    assert_eq!(fixture.refresh(ERA), versions(&[]));
    fixture.put("i-3", Some("v2"));
    assert_eq!(fixture.refresh(ERA), versions(&[("v2", true)]));
    assert_eq!(fixture.refresh(ERA), versions(&[]));
    fixture.remove("i-1");
    assert_eq!(fixture.refresh_until_gone(), versions(&[]));
    fixture.remove("i-2");
    assert_eq!(fixture.refresh_until_gone(), versions(&[("v1", false)]));
    assert_eq!(fixture.refresh(ERA), versions(&[]));
    fixture.put("i-3", None);
    assert_eq!(fixture.refresh(ERA), versions(&[("none", true)]));
    fixture.put("i-1", Some("v1"));
    assert_eq!(fixture.refresh(ERA), versions(&[("v1", true)]));
}

/// A router with an old list would mark a version as gone that another one has just stored.
#[test]
fn version_that_another_router_knows_is_not_marked_as_gone() {
    let mut fixture = Fixture::open(8);
    fixture.put("i-1", Some("v1"));
    fixture.refresh(ERA);
    let listing = VersionListing {
        service: "s".to_owned(),
        software: Some("v2".to_owned()),
        age_ms: 0,
        stored_age_ms: Some(100),
    };
    let report = VersionReport {
        reach_ms: 0,
        listings: vec![listing],
        upstreams_age_ms: 0,
    };
    fixture.versions.merge_service("s", report, fixture.now_ms);
    for _ in 0..2 * GONE_AFTER_MS / 1_000 {
        assert_eq!(fixture.refresh(ERA), versions(&[]));
    }
}

/// All routers restart after a version has left, of which the record says that it is listed. It would count as
/// listed until then after each restart.
#[test]
fn version_that_left_before_a_restart_is_stored_as_gone() {
    let mut fixture = Fixture::open(8);
    fixture.put("i-2", Some("v2"));
    let stored = Listing {
        service: "s".into(),
        software: Some("v1".into()),
        age_ms: 0,
        stored_age_ms: Some(60_000),
    };
    fixture.versions.apply_stored(&[stored], 1, 1);
    let expected = versions(&[("v2", true), ("v1", false)]);
    assert_eq!(fixture.refresh_until_gone(), expected);
}

/// The log is restored from a copy that lacks the record, and then all routers restart.
#[test]
fn versions_are_stored_again_in_a_new_era() {
    let mut fixture = Fixture::open(8);
    fixture.put("i-1", Some("v1"));
    fixture.put("i-2", Some("v2"));
    let both = versions(&[("v1", true), ("v2", true)]);
    assert_eq!(fixture.refresh(ERA), both);
    assert_eq!(fixture.refresh(ERA + 1), both);
    assert_eq!(fixture.refresh(ERA + 1), versions(&[]));
}

/// More versions change than may wait to be written. One that found no room would be missing after a
/// restart of all routers.
#[test]
fn change_that_found_no_room_is_stored_later() {
    let mut fixture = Fixture::open(1);
    fixture.put("i-1", Some("v1"));
    fixture.put("i-2", Some("v2"));
    let mut sent = fixture.refresh(ERA);
    assert_eq!(sent.len(), 1);
    sent.extend(fixture.refresh(ERA));
    sent.sort();
    assert_eq!(sent, versions(&[("v1", true), ("v2", true)]));
    assert_eq!(fixture.refresh(ERA), versions(&[]));
}

/// A record that could not be written in an outage of the store would never be.
#[test]
fn version_that_was_not_written_is_sent_again() {
    let mut fixture = Fixture::open(8);
    fixture.put("i-1", Some("v1"));
    fixture.versions.refresh(&fixture.state, 1, 1);
    fixture.versions.store_changed(ERA, 1);
    let Ok(VersionCall::Write(record, outcomes)) = fixture.stored.try_recv() else {
        panic!("nothing was sent");
    };
    outcomes.borrow_mut().push((record.key, false));
    assert_eq!(fixture.refresh(ERA), versions(&[("v1", true)]));
    assert_eq!(fixture.refresh(ERA), versions(&[]));
}

/// The list wasn't confirmed for a while, in which a version can have come and gone: the records tell.
#[test]
fn records_are_read_again_after_a_gap() {
    let mut fixture = Fixture::open(8);
    fixture.put("i-1", Some("v1"));
    fixture.versions.apply_stored(&[], 1, 1);
    fixture.refresh(ERA);
    assert!(!fixture.versions.must_read("s", fixture.now_ms));
    fixture.now_ms += LIST_AGE_MS;
    fixture.refresh(ERA);
    let now_ms = fixture.now_ms;
    assert!(fixture.versions.must_read("s", now_ms));
    fixture.versions.apply_stored(&[], now_ms - 1, now_ms);
    assert!(
        fixture.versions.must_read("s", now_ms),
        "the read began before"
    );
    fixture.versions.apply_stored(&[], now_ms, now_ms);
    assert!(!fixture.versions.must_read("s", now_ms));
}

/// A version came and went before the log was restored from an older copy. Its record would be lost.
#[test]
fn version_that_has_gone_is_stored_again_in_a_new_era() {
    let mut fixture = Fixture::open(8);
    fixture.put("i-1", Some("v1"));
    fixture.put("i-2", Some("v2"));
    fixture.refresh(ERA);
    fixture.remove("i-1");
    assert_eq!(fixture.refresh_until_gone(), versions(&[("v1", false)]));
    let both = versions(&[("v1", false), ("v2", true)]);
    assert_eq!(fixture.refresh(ERA + 1), both);
    assert_eq!(fixture.refresh(ERA + 1), versions(&[]));
}

/// A list that was confirmed long ago is followed by one with a version that is in use by then.
#[test]
fn new_version_counts_from_the_list_that_lacked_it() {
    let fixture = Fixture::open(8);
    fixture.put("i-1", Some("v1"));
    fixture.versions.apply_stored(&[], 500, 500);
    fixture.versions.refresh(&fixture.state, 1_000, 1_000);
    fixture.put("i-2", Some("v2"));
    fixture.versions.refresh(&fixture.state, 2_900, 4_000);
    assert_eq!(fixture.versions.only_used("s", 4_100, 4_100), None);
    let earlier = fixture.versions.only_used("s", 3_000, 4_100);
    assert_eq!(earlier, Some(Some("v1".into())));
}

/// A version joins a large fleet while the store takes no writes. All routers would write its record at once.
#[test]
fn routers_of_a_large_fleet_store_a_version_one_after_the_other() {
    let limits = (0..390).map(|i| store_after_ms(&format!("router-{i}"), 390));
    let mut limits: Vec<u64> = limits.collect();
    limits.sort_unstable();
    assert!(limits[0] >= 600 && limits[389] < 600 + 390 * 20);
    let busiest = limits.windows(40).map(|w| w[39] - w[0]).min();
    assert!(
        busiest.is_some_and(|ms| ms > 300),
        "40 within {busiest:?} ms"
    );
}
