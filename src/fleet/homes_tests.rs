use crate::fleet::homes;
use crate::fleet::member::{Member, MemberState, View};

fn member(host: &str, data_center: &str, state: MemberState) -> Member {
    Member {
        host: host.into(),
        data_center: data_center.into(),
        incarnation: 1,
        state,
        peer_addr: "127.0.0.1:1".into(),
        caller_addr: "127.0.0.1:2".into(),
    }
}

/// A leaving router is no upstream's home, and a router in the upstream's data centre precedes
/// others.
#[test]
fn home_is_near_and_takes_work() {
    let members = vec![
        member("a", "north", MemberState::Leaving),
        member("b", "north", MemberState::Alive),
        member("c", "south", MemberState::Alive),
    ];
    let view = View {
        members,
        ..View::default()
    };
    for i in 0..100 {
        let home = homes::home(&view, &format!("engine-{i}"), "north").unwrap();
        assert_eq!(&*home.host, "b");
    }
}
