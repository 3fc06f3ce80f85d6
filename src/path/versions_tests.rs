use tokio::sync::mpsc;

use super::regions::Regions;
use super::router_state::{RetryLimit, RouterState};
use super::upstreams::Upstream;
use super::versions::{MixedService, ServiceVersions};
use crate::fleet::gossip::Gossip;

const ERA: u64 = 1;

struct Fixture {
    state: RouterState,
    versions: ServiceVersions,
    stored: mpsc::Receiver<MixedService>,
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
    fn refresh(&mut self, era: u64) -> Option<Vec<(String, bool)>> {
        self.now_ms += 1_000;
        self.versions.refresh(&self.state, self.now_ms);
        self.versions.store_changed(era, self.now_ms);
        let stored = self.stored.try_recv().ok()?;
        let name = |software: Option<crate::util::Name>| {
            software.map_or_else(|| "none".to_owned(), |s| s.to_string())
        };
        let versions = stored.versions.into_iter();
        let mut versions: Vec<_> = versions.map(|v| (name(v.software), v.is_listed)).collect();
        versions.sort();
        Some(versions)
    }
}

fn versions(of: &[(&str, bool)]) -> Option<Vec<(String, bool)>> {
    let owned = of
        .iter()
        .map(|(name, listed)| ((*name).to_owned(), *listed));
    Some(owned.collect())
}

/// On an ordinary day each router that reads the log would write a record a second, or none when a version
/// appears or goes.
#[test]
fn versions_are_stored_when_they_change_and_there_are_several() {
    let mut fixture = Fixture::open(8);
    fixture.put("i-1", Some("v1"));
    fixture.put("i-2", Some("v1"));
    assert_eq!(fixture.refresh(ERA), None);
    fixture.put("i-3", Some("v2"));
    assert_eq!(
        fixture.refresh(ERA),
        versions(&[("v1", true), ("v2", true)])
    );
    assert_eq!(fixture.refresh(ERA), None);
    fixture.remove("i-1");
    assert_eq!(fixture.refresh(ERA), None);
    fixture.remove("i-2");
    assert_eq!(
        fixture.refresh(ERA),
        versions(&[("v1", false), ("v2", true)])
    );
    assert_eq!(fixture.refresh(ERA), None);
    fixture.put("i-3", None);
    let all = [("none", true), ("v1", false), ("v2", false)];
    assert_eq!(fixture.refresh(ERA), versions(&all));
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
    assert_eq!(fixture.refresh(ERA + 1), None);
}

/// More services change than may wait to be written. A change that found no room would be missing after a
/// restart of all routers.
#[test]
fn change_that_found_no_room_is_stored_later() {
    let mut fixture = Fixture::open(1);
    fixture.put("i-1", Some("v1"));
    fixture.put("i-2", Some("v2"));
    fixture.versions.refresh(&fixture.state, 1);
    fixture.versions.store_changed(ERA, 1);
    fixture.remove("i-1");
    fixture.versions.refresh(&fixture.state, 2);
    fixture.versions.store_changed(ERA, 2);
    fixture.stored.try_recv().unwrap();
    assert_eq!(
        fixture.refresh(ERA),
        versions(&[("v1", false), ("v2", true)])
    );
}
