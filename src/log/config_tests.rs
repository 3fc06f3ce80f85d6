use crate::log::Entry;
use crate::log::config::{Applied, ConfigFold};
use crate::schema::config::change::Op;
use crate::schema::config::record::Body;
use crate::schema::config::{Change, Record, Service};

fn entry(offset: u64, id: &str, against_version: u64, op: Op) -> Entry {
    let change = Change {
        against_version,
        author: "test".to_owned(),
        op: Some(op),
    };
    let record = Record {
        id: id.to_owned(),
        schema: 1,
        era: 0,
        body: Some(Body::Change(change)),
    };
    let text = serde_json::to_string(&record).unwrap();
    Entry { offset, text }
}

fn service(name: &str) -> Op {
    Op::PutService(Service {
        name: name.to_owned(),
        kind: "engine".to_owned(),
        model: name.to_owned(),
        ..Service::default()
    })
}

/// Two operators make a change against the same version. The first one in the log is accepted; the
/// other is rejected with the id of the accepted one.
#[test]
fn one_of_two_racing_changes_is_accepted() {
    let mut fold = ConfigFold::default();
    let first = fold.apply(&entry(0, "a", 0, service("draft")));
    let second = fold.apply(&entry(1, "b", 0, service("draft")));
    assert_eq!(first, Applied::Accepted { version: 1 });
    let raced = Applied::Raced {
        version: 1,
        winner: "a".to_owned(),
        author: "test".to_owned(),
    };
    assert_eq!(second, raced);
}
