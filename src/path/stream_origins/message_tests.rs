use crate::peers::frames;
use crate::schema::peer::{
    OriginReply, OriginRequest, StreamOrigin, VersionListing, VersionReport,
};

fn origin() -> StreamOrigin {
    StreamOrigin {
        service: "chat-large".to_owned(),
        software: Some("2.14.0".to_owned()),
    }
}

fn size<T: serde::Serialize>(message: &T) -> usize {
    frames::to_vec(message).unwrap().len()
}

/// These are sent for each stream that begins beside a second version, and for each that is resumed.
#[test]
fn messages_about_a_stream_are_small() {
    let record = OriginRequest {
        streams: vec![u64::MAX],
        origin: Some(origin()),
        service: String::new(),
    };
    let question = OriginRequest {
        streams: vec![u64::MAX],
        origin: None,
        service: "chat-large".to_owned(),
    };
    let listing = VersionListing {
        service: "chat-large".to_owned(),
        software: Some("2.14.0".to_owned()),
        age_ms: 200,
        stored_age_ms: Some(60_000),
    };
    let reply = OriginReply {
        origin: None,
        versions: Some(VersionReport {
            reach_ms: 120_000,
            listings: vec![listing],
            upstreams_age_ms: 400,
        }),
    };
    let sizes = [size(&record), size(&question), size(&reply)];
    assert_eq!(sizes, [31, 22, 35]);
    assert_eq!(size(&OriginReply::default()), 2);
}
