//! The home of an upstream: the one router that admits work to it.
//!
//! It is the first router in a rendezvous order of the routers that take work. Routers of the
//! upstream's own data centre come first, so that the last hop of a request stays inside it.

use std::cmp::Reverse;

use crate::fleet::member::{Member, View};
use crate::util;

/// Returns the routers in the order in which they become the home of `upstream`; those of
/// `data_center` come first.
pub fn order<'a>(view: &'a View, upstream: &str, data_center: &str) -> Vec<&'a Member> {
    let seed = util::hash_parts(&[upstream]);
    let mut scored: Vec<(bool, u64, &Member)> = view
        .members
        .iter()
        .filter(|m| m.takes_work())
        .map(|m| {
            let near = &*m.data_center == data_center;
            (near, util::mix(seed, util::hash_parts(&[&m.host])), m)
        })
        .collect();
    scored.sort_unstable_by(|a, b| (b.0, b.1).cmp(&(a.0, a.1)).then(a.2.host.cmp(&b.2.host)));
    scored.into_iter().map(|(_, _, m)| m).collect()
}

/// Returns the home of `upstream`, if any router takes work: the first of [`order`], without
/// sorting.
pub fn home<'a>(view: &'a View, upstream: &str, data_center: &str) -> Option<&'a Member> {
    let seed = util::hash_parts(&[upstream]);
    let takers = view.members.iter().filter(|m| m.takes_work());
    takers.max_by_key(|m| {
        let near = &*m.data_center == data_center;
        let score = util::mix(seed, util::hash_parts(&[&m.host]));
        (near, score, Reverse(&m.host))
    })
}
