use std::collections::HashMap;

use crate::fleet::homes;
use crate::fleet::member::{Member, MemberState, View};
use crate::log::view::ConfigView;
use crate::schema::config::{Service, State, Upstream};
use crate::serve::callers::entry::{EntryQuery, addresses};

const ROUTERS: usize = 9;
const ENGINES: usize = 18;

fn fleet() -> View {
    let member = |i: usize| Member {
        host: format!("router-{i}").into(),
        data_center: format!("dc-{}", i % 3).into(),
        incarnation: 1,
        state: MemberState::Alive,
        peer_addr: format!("10.0.0.{i}:2").into(),
        caller_addr: format!("10.0.0.{i}:1").into(),
    };
    View {
        members: (0..ROUTERS).map(member).collect(),
        ..View::default()
    }
}

fn config() -> ConfigView {
    let engine = |i: usize| Upstream {
        name: format!("engine-{i:02}"),
        service: "draft".to_owned(),
        data_center: format!("dc-{}", i % 3),
        ..Upstream::default()
    };
    let service = Service {
        name: "draft".to_owned(),
        kind: "engine".to_owned(),
        model: "small".to_owned(),
        ..Service::default()
    };
    let state = State {
        version: 1,
        services: vec![service],
        upstreams: (0..ENGINES).map(engine).collect(),
        ..State::default()
    };
    ConfigView::new(state, 0)
}

fn query(chat: usize) -> EntryQuery {
    EntryQuery {
        account: "largest".to_owned(),
        chat: if chat == 0 {
            String::new()
        } else {
            format!("chat-{chat}")
        },
        model: "small".to_owned(),
        ..EntryQuery::default()
    }
}

/// Counts how often each address comes first in the answers to `queries`.
fn firsts(queries: impl Iterator<Item = EntryQuery>) -> HashMap<String, usize> {
    let (config, fleet) = (config(), fleet());
    let mut firsts = HashMap::new();
    for query in queries {
        let addr = addresses(&config, &fleet, &query, None).remove(0).addr;
        *firsts.entry(addr).or_default() += 1;
    }
    firsts
}

/// Each host comes first for a part of the largest account's chats in proportion to its engines.
#[test]
fn one_account_is_spread_by_chat() {
    let firsts = firsts((1..=9_000).map(query));
    let homes: HashMap<String, usize> = {
        let fleet = fleet();
        let mut homes = HashMap::new();
        for engine in &config().state.upstreams {
            let home = homes::home(&fleet, &engine.name, &engine.data_center).unwrap();
            *homes.entry(home.caller_addr.to_string()).or_default() += 1;
        }
        homes
    };
    for (addr, count) in firsts {
        let fair = homes[&addr] * 9_000 / ENGINES;
        assert!(count < fair * 13 / 10, "{addr}: {count}, fair is {fair}");
    }
}

/// Requests without a chat must not all go to one host.
#[test]
fn requests_without_a_chat_are_spread() {
    let firsts = firsts((0..2_000).map(|_| query(0)));
    assert!(firsts.values().all(|count| *count < 1_000), "{firsts:?}");
}

/// A leaving host is in no answer, and the first address changes for no other chat: its callers
/// keep their warm cache.
#[test]
fn leaving_host_is_left_out() {
    let (config, before) = (config(), fleet());
    let mut after = fleet();
    after.members[4].state = MemberState::Leaving;
    let leaving = after.members[4].caller_addr.to_string();
    for chat in 1..500 {
        let was = addresses(&config, &before, &query(chat), None);
        let is = addresses(&config, &after, &query(chat), None);
        assert_eq!(is.len(), 3);
        assert!(is.iter().all(|a| a.addr != leaving));
        if was[0].addr != leaving {
            assert_eq!(was[0], is[0]);
        }
    }
}

/// When a chat's engine is leaving, its callers are sent to the home of the next engine.
#[test]
fn leaving_engine_changes_the_first_address() {
    let (config, mut fleet) = (config(), fleet());
    let mut moved = 0;
    for chat in 1..200 {
        let was = addresses(&config, &fleet, &query(chat), None).remove(0);
        for engine in 0..ENGINES {
            let name = format!("engine-{engine:02}");
            fleet.leaving = [crate::fleet::loads::digest(&name)].into();
            let is = addresses(&config, &fleet, &query(chat), None).remove(0);
            moved += usize::from(is != was);
        }
        fleet.leaving.clear();
    }
    // Each chat has one first engine of 18; the next engine may have the same home.
    assert!((100..=199).contains(&moved), "{moved}");
}

/// If the last router is leaving, its address must still be in the answer, which would otherwise be
/// empty.
#[test]
fn last_leaving_router_is_still_listed() {
    let mut fleet = fleet();
    for member in &mut fleet.members {
        member.state = MemberState::Dead;
    }
    fleet.members[2].state = MemberState::Leaving;
    let found = addresses(&config(), &fleet, &query(1), None);
    assert_eq!(found[0].addr, "10.0.0.2:1");
    assert_eq!(found[0].data_center, "dc-2");
}

/// A new chat was placed by load on another engine than the first of its order and is warm there.
/// Its callers must be sent to that engine's home; otherwise each of their requests needs a hop.
#[test]
fn warm_engine_goes_first() {
    let (config, fleet) = (config(), fleet());
    for engine in &config.state.upstreams {
        let home = homes::home(&fleet, &engine.name, &engine.data_center).unwrap();
        let warm = Some(engine.name.as_str().into());
        let found = addresses(&config, &fleet, &query(1), warm);
        assert_eq!(found[0].addr, *home.caller_addr);
    }
}
