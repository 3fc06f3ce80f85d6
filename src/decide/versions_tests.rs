use test_case::test_case;

use super::versions::{
    Beginning, FIRST_USE_MS, LIST_AGE_MS, Listing, MAX_GAP_MS, Report, VersionHistory, WINDOW_MS,
};
use crate::decide::Name;

const STEP_MS: u64 = 1_000;

fn name(text: &str) -> Name {
    text.into()
}

fn refresh(history: &mut VersionHistory, listed: &[&str], now_ms: u64) {
    history.record_refresh(now_ms);
    for software in listed {
        history.record_listed(&name("s"), Some(&name(software)), now_ms);
    }
}

/// Looks once a second from `from_ms` for `for_ms`, and returns the time of the last look.
fn look_for(history: &mut VersionHistory, listed: &[&str], from_ms: u64, for_ms: u64) -> u64 {
    let until_ms = from_ms + for_ms;
    for now_ms in (from_ms..=until_ms).step_by(STEP_MS as usize) {
        refresh(history, listed, now_ms);
    }
    until_ms
}

fn only(history: &VersionHistory, now_ms: u64) -> Option<String> {
    let only = history.only("s", now_ms)?;
    only.map(|software| software.to_string())
}

fn listing(software: &str, age_ms: u64) -> Listing {
    Listing {
        service: name("s"),
        software: Some(name(software)),
        age_ms,
        stored_age_ms: None,
    }
}

fn stored(software: &str, stored_age_ms: u64) -> Listing {
    Listing {
        stored_age_ms: Some(stored_age_ms),
        ..listing(software, 0)
    }
}

fn only_used(history: &VersionHistory, begun_ms: u64, now_ms: u64) -> Option<String> {
    let only = history.only_used("s", begun_ms, now_ms)?;
    only.map(|software| software.to_string())
}

fn beginning(history: &VersionHistory, software: &str, now_ms: u64) -> Beginning {
    history.beginning("s", Some(&name(software)), now_ms)
}

/// A stream that began at a version which has been removed would go on at the one that replaced it.
#[test]
fn replaced_version_counts_until_its_streams_have_ended() {
    let mut history = VersionHistory::default();
    let mut now_ms = look_for(&mut history, &["v1"], 1, WINDOW_MS);
    assert_eq!(only(&history, now_ms).as_deref(), Some("v1"));
    let removed_ms = now_ms;
    now_ms = look_for(
        &mut history,
        &["v2"],
        now_ms + STEP_MS,
        WINDOW_MS - 2 * STEP_MS,
    );
    assert_eq!(only(&history, now_ms), None);
    refresh(&mut history, &["v2"], removed_ms + WINDOW_MS - 1);
    assert_eq!(only(&history, removed_ms + WINDOW_MS - 1), None);
    refresh(&mut history, &["v2"], removed_ms + WINDOW_MS);
    assert_eq!(
        only(&history, removed_ms + WINDOW_MS).as_deref(),
        Some("v2")
    );
}

/// A router that has just started would take the listed version for the only one, and join a stream of
/// one that was removed before.
#[test]
fn router_that_started_knows_nothing_of_earlier_versions() {
    let mut history = VersionHistory::default();
    let now_ms = look_for(&mut history, &["v2"], 1, WINDOW_MS - STEP_MS);
    assert!(!history.is_complete(now_ms));
    assert_eq!(only(&history, now_ms), None);
}

/// Upstreams whose records name no version would be taken for those of any version.
#[test]
fn missing_version_is_a_version_of_its_own() {
    let mut history = VersionHistory::default();
    history.complete(1);
    history.record_refresh(1);
    history.record_listed(&name("s"), None, 1);
    assert_eq!(history.only("s", 1), Some(None));
    history.record_listed(&name("s"), Some(&name("v1")), 1);
    assert_eq!(history.only("s", 1), None);
}

/// A service that was never listed has no version that could be the only one.
#[test]
fn unknown_service_has_no_only_version() {
    let mut history = VersionHistory::default();
    history.complete(1);
    assert!(history.is_complete(1));
    assert_eq!(history.only("s", 1), None);
}

/// A router was suspended while a version came and went, and would miss it.
#[test_case(MAX_GAP_MS, true; "short pause")]
#[test_case(MAX_GAP_MS + 1, false; "long pause")]
fn pause_ends_what_is_known(pause_ms: u64, is_complete: bool) {
    let mut history = VersionHistory::default();
    let now_ms = look_for(&mut history, &["v1"], 1, WINDOW_MS) + pause_ms;
    assert_eq!(history.is_complete(now_ms), is_complete);
    refresh(&mut history, &["v1"], now_ms);
    assert_eq!(history.is_complete(now_ms), is_complete);
}

/// A router that has started learns from a peer what it can't have seen.
#[test]
fn history_of_a_peer_completes_that_of_a_router_that_started() {
    let mut peer = VersionHistory::default();
    let peer_ms = look_for(&mut peer, &["v1"], 50_000, WINDOW_MS);
    let mut history = VersionHistory::default();
    refresh(&mut history, &["v1"], 500);
    history.merge(&peer.report(peer_ms), 500);
    assert_eq!(only(&history, 500).as_deref(), Some("v1"));
}

/// The peer knows a version that was removed before this router started.
#[test]
fn removed_versions_of_a_peer_count_by_their_age() {
    let report = Report {
        reach_ms: WINDOW_MS,
        listings: vec![listing("v1", WINDOW_MS - 1_000), listing("v2", 0)],
    };
    let mut history = VersionHistory::default();
    refresh(&mut history, &["v2"], 500);
    history.merge(&report, 500);
    assert!(history.is_complete(500));
    assert_eq!(only(&history, 500), None);
    refresh(&mut history, &["v2"], 1_500);
    assert_eq!(only(&history, 1_500).as_deref(), Some("v2"));
}

/// A peer that has itself just started would make the history of another one look complete.
#[test]
fn short_history_of_a_peer_completes_nothing() {
    let mut peer = VersionHistory::default();
    let peer_ms = look_for(&mut peer, &["v1"], 1, 30_000);
    let report = peer.report_of("s", peer_ms);
    assert_eq!(report.reach_ms, 30_000);
    let mut history = VersionHistory::default();
    refresh(&mut history, &["v1"], 500);
    history.merge(&report, 500);
    assert!(!history.is_complete(500));
}

/// A peer tells the versions of one service, and those of others would count as known.
#[test]
fn history_of_one_service_completes_no_other() {
    let report = Report {
        reach_ms: WINDOW_MS,
        listings: vec![listing("v1", 0)],
    };
    let mut history = VersionHistory::default();
    refresh(&mut history, &["v1"], 500);
    history.record_listed(&name("t"), None, 500);
    history.merge_service("s", &report, 500);
    assert_eq!(only(&history, 500).as_deref(), Some("v1"));
    assert_eq!(history.only("t", 500), None);
    assert!(!history.is_complete(500));
    let late_ms = 500 + MAX_GAP_MS + 1;
    refresh(&mut history, &["v1"], late_ms);
    assert_eq!(only(&history, late_ms), None);
}

/// A report with an absurd reach or age, from a faulty peer.
#[test]
fn absurd_ages_are_harmless() {
    let report = Report {
        reach_ms: u64::MAX,
        listings: vec![listing("v1", u64::MAX), listing("v2", 3)],
    };
    let mut history = VersionHistory::default();
    history.merge(&report, 1);
    assert_eq!(only(&history, 1).as_deref(), Some("v2"));
}

/// What expired would accumulate, one version for each release.
#[test]
fn expired_versions_are_dropped() {
    let mut history = VersionHistory::default();
    let mut now_ms = 1;
    for release in 0..50 {
        now_ms = look_for(&mut history, &[&format!("v{release}")], now_ms, WINDOW_MS);
    }
    assert!(history.listings("s", now_ms).count() <= 2);
    now_ms = look_for(&mut history, &[], now_ms, WINDOW_MS);
    assert!(history.report(now_ms).listings.is_empty());
}

/// Services that have to be stored are those with several versions.
#[test]
fn mixed_services_have_several_versions() {
    let mut history = VersionHistory::default();
    refresh(&mut history, &["v1"], 1);
    assert_eq!(history.mixed(1).count(), 0);
    refresh(&mut history, &["v1", "v2"], 2);
    let mixed: Vec<&Name> = history.mixed(2).collect();
    assert_eq!(mixed, [&name("s")]);
}

/// Streams would begin at a version of which a router with an older list, or one that starts, knows nothing.
#[test]
fn stream_begins_at_a_second_version_once_all_know_it() {
    let mut history = VersionHistory::default();
    history.apply_stored(&[stored("v1", 60_000)], 1, 1);
    refresh(&mut history, &["v1", "v2"], 100);
    assert_eq!(beginning(&history, "v1", 100), Beginning::Allowed);
    assert_eq!(beginning(&history, "v2", 100), Beginning::NotStored);
    history.record_stored("s", Some(&name("v2")), 0, 200);
    let left = Beginning::In {
        left_ms: FIRST_USE_MS,
    };
    assert_eq!(beginning(&history, "v2", 200), left);
    let last_ms = 200 + FIRST_USE_MS - 1;
    refresh(&mut history, &["v1", "v2"], last_ms);
    assert_eq!(
        beginning(&history, "v2", last_ms),
        Beginning::In { left_ms: 1 }
    );
    refresh(&mut history, &["v1", "v2"], last_ms + 1);
    assert_eq!(beginning(&history, "v2", last_ms + 1), Beginning::Allowed);
}

/// A service would be unavailable for seconds after its first upstream was listed.
#[test]
fn stream_begins_at_the_first_version_once_it_is_stored() {
    let mut history = VersionHistory::default();
    history.apply_stored(&[], 1, 1);
    refresh(&mut history, &["v1"], 100);
    assert_eq!(beginning(&history, "v1", 100), Beginning::NotStored);
    history.record_stored("s", Some(&name("v1")), 0, 200);
    assert_eq!(beginning(&history, "v1", 200), Beginning::Allowed);
}

/// A router whose history isn't complete takes a second version for the first one.
#[test]
fn first_version_is_unknown_without_a_complete_history() {
    let mut history = VersionHistory::default();
    refresh(&mut history, &["v2"], 100);
    history.record_stored("s", Some(&name("v2")), 0, 100);
    assert_ne!(beginning(&history, "v2", 100), Beginning::Allowed);
}

/// A record that another router confirmed counts from the time at which that one knew of it.
#[test]
fn record_of_a_peer_counts_by_its_age() {
    let mut history = VersionHistory::default();
    history.apply_stored(&[stored("v1", 60_000)], 1, 1);
    refresh(&mut history, &["v1", "v2"], 5_000);
    let report = Report {
        reach_ms: 0,
        listings: vec![stored("v2", FIRST_USE_MS)],
    };
    history.merge_service("s", &report, 5_000);
    assert_eq!(beginning(&history, "v2", 5_000), Beginning::Allowed);
}

/// Streams of the only version in use would be refused from the moment at which a second one is listed, though
/// none can have begun there.
#[test]
fn version_that_was_just_listed_is_not_in_use() {
    let mut history = VersionHistory::default();
    history.apply_stored(&[stored("v1", 60_000)], 1, 1);
    refresh(&mut history, &["v1"], 5_000);
    let v2 = name("v2");
    history.record_listed_since(&name("s"), Some(&v2), Some(4_000), 5_000);
    assert_eq!(only(&history, 5_000), None);
    assert_eq!(only_used(&history, 5_000, 5_000).as_deref(), Some("v1"));
    let in_use_ms = 4_000 + FIRST_USE_MS;
    refresh(&mut history, &["v1", "v2"], in_use_ms);
    assert_eq!(only_used(&history, in_use_ms, in_use_ms), None);
    let late_ms = in_use_ms + 10_000;
    refresh(&mut history, &["v1", "v2"], late_ms);
    assert_eq!(only_used(&history, 5_000, late_ms).as_deref(), Some("v1"));
}

/// A list that was read late shows a version that has been in use for a while.
#[test]
fn version_is_in_use_by_the_age_of_the_list_that_lacked_it() {
    let mut history = VersionHistory::default();
    history.apply_stored(&[stored("v1", 60_000)], 1, 1);
    refresh(&mut history, &["v1"], 4_000);
    let v2 = name("v2");
    history.record_listed_since(&name("s"), Some(&v2), Some(1_000), 4_000);
    assert_eq!(only_used(&history, 4_000, 4_000), None);
}

/// A keeper was told of a stream at a version of which the records know nothing: the store was restored from an
/// older copy.
#[test]
fn version_of_a_known_stream_is_in_use_whatever_the_records_say() {
    let mut history = VersionHistory::default();
    refresh(&mut history, &["v1"], 100);
    history.record_used(&name("s"), Some(&name("v2")), 200);
    history.apply_stored(&[stored("v1", 60_000)], 280, 300);
    assert_eq!(only_used(&history, 300, 300), None);
}

/// All routers restart just after a second version was listed, before it was stored.
#[test]
fn version_without_a_record_was_not_in_use_before_the_read() {
    let mut history = VersionHistory::default();
    refresh(&mut history, &["v1", "v2"], 300);
    history.apply_stored(&[stored("v1", 60_000)], 280, 320);
    refresh(&mut history, &["v1", "v2"], 500);
    let last_ms = 280 + LIST_AGE_MS;
    let in_use_ms = 280 + FIRST_USE_MS;
    assert_eq!(only_used(&history, last_ms, last_ms).as_deref(), Some("v1"));
    assert_eq!(only_used(&history, in_use_ms, in_use_ms), None);
}

/// All routers restart after streams have begun at a second version, of which there is a record.
#[test]
fn stored_version_was_in_use() {
    let mut history = VersionHistory::default();
    refresh(&mut history, &["v1"], 300);
    history.apply_stored(&[stored("v1", 60_000), stored("v2", 0)], 280, 320);
    assert_eq!(only_used(&history, 320, 320), None);
}
