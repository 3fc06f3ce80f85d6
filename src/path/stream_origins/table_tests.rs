use super::table::{MAX_STREAMS, OriginTable};
use crate::decide::Origin;
use crate::decide::versions::WINDOW_MS;
use crate::util::Name;

fn origin(software: &str) -> Origin {
    Origin {
        service: "s".into(),
        software: Some(software.into()),
    }
}

/// An origin that is forgotten while its stream is in progress ends the stream.
#[test]
fn origin_is_known_for_the_window() {
    let mut table = OriginTable::default();
    table.insert(1, origin("v1"), true, 50);
    assert_eq!(table.get(1, 50 + WINDOW_MS - 1), Some(&origin("v1")));
    assert_eq!(table.get(1, 50 + WINDOW_MS), None);
    assert_eq!(table.get(2, 50), None);
}

/// A stream that is resumed again and again is recorded each time, and would be forgotten by its first
/// record's age.
#[test]
fn stream_recorded_again_expires_later() {
    let mut table = OriginTable::default();
    table.insert(1, origin("v1"), true, 50);
    table.insert(1, origin("v1"), true, 60_000);
    table.insert(2, origin("v1"), true, 50 + WINDOW_MS);
    assert_eq!(table.get(1, 50 + WINDOW_MS), Some(&origin("v1")));
}

/// Many short streams would fill the memory.
#[test]
fn oldest_streams_make_room() {
    let mut table = OriginTable::default();
    let count = MAX_STREAMS as u64 + 100;
    for stream in 0..count {
        table.insert(stream, origin("v1"), true, 1);
    }
    assert_eq!(table.get(99, 1), None);
    assert_eq!(table.get(100, 1), Some(&origin("v1")));
    assert_eq!(table.get(count - 1, 1), Some(&origin("v1")));
}

/// Keepers are told of streams that began while there was one version, and again when they restart. Those
/// of other services concern nobody, and what a keeper was told is told by the router that told it.
#[test]
fn own_streams_are_those_of_this_router() {
    let mut table = OriginTable::default();
    let other = Origin {
        service: "t".into(),
        software: None,
    };
    table.insert(1, origin("v1"), true, 1);
    table.insert(2, origin("v1"), false, 1);
    table.insert(3, other, true, 1);
    table.insert(4, origin("v2"), true, 1);
    let is_wanted = |service: &Name, _| &**service == "s";
    let own = table.own(is_wanted, 2);
    assert_eq!(own.len(), 2);
    assert_eq!(own[&origin("v1")], [1]);
    assert_eq!(own[&origin("v2")], [4]);
    assert_eq!(table.own(|_, stream| stream == 4, 2).len(), 1);
    assert!(table.own(is_wanted, 1 + WINDOW_MS).is_empty());
}
