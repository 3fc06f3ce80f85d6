//! Entry queries: the addresses a caller should use, the homes of its chat's first upstreams.
//!
//! Load pattern: there is no load balancer in front, and one account is larger than all others
//! together. Answers by account would send all its callers to one host. Answers by chat spread them
//! like the chats themselves, and most requests need no hop.

use std::sync::Arc;

use http::{Response, StatusCode};
use serde::Serialize;
use uuid::Uuid;

use crate::decide::{ChatKey, Name, placement};
use crate::fleet::homes;
use crate::fleet::member::{Member, MemberState, View};
use crate::front::body::Answer;
use crate::front::drain::Phase;
use crate::log::view::ConfigView;
use crate::schema::config;
use crate::serve::SharedCtx;
use crate::serve::callers::answers::json_response;
use crate::serve::route::dispatch::Dispatch;
use crate::util;

/// One address and two fallbacks: if two hosts fail at once, a caller meets at most two short
/// connect failures. Further addresses would more likely be stale.
const ENTRY_ADDRESSES: usize = 3;

#[derive(Serialize)]
struct EntryReply {
    ttl_ms: u32,
    addresses: Vec<EntryAddress>,
    /// Prefix for idempotency keys that the router at `run_addr` runs even if the log is down.
    run_prefix: String,
    run_addr: String,
}

#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub(crate) struct EntryAddress {
    pub(crate) addr: String,
    pub(crate) data_center: String,
}

/// The request that a caller wants to send next; all fields may be empty.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryQuery {
    pub(crate) account: String,
    pub(crate) chat: String,
    pub(crate) model: String,
    pub(crate) adapter: String,
    /// Path of a plain service.
    pub(crate) path: String,
}

impl EntryQuery {
    fn parse(account: &str, query: &str) -> Self {
        let mut entry = Self {
            account: account.to_owned(),
            ..Self::default()
        };
        for (name, value) in form_urlencoded::parse(query.as_bytes()) {
            match &*name {
                "chat" => entry.chat = value.into_owned(),
                "model" => entry.model = value.into_owned(),
                "adapter" => entry.adapter = value.into_owned(),
                "path" => entry.path = value.into_owned(),
                _ => {}
            }
        }
        entry
    }

    /// Returns the placement key. Requests without a chat are spread evenly rather than by account.
    fn key(&self) -> ChatKey {
        if self.chat.is_empty() {
            return ChatKey(util::hash_parts(&[&Uuid::now_v7().to_string()]));
        }
        ChatKey::new(&self.account, &self.chat, &self.model, &self.adapter)
    }
}

/// Answers an entry query.
pub(crate) async fn answer(
    ctx: &SharedCtx,
    dispatch: &Dispatch,
    account: &config::Account,
    query: Option<&str>,
) -> Response<Answer> {
    let entry = EntryQuery::parse(&account.name, query.unwrap_or_default());
    let ttl_ms = ctx.settings.fleet.as_ref().map_or(0, |f| f.entry_ttl_ms);
    let (config, fleet) = (ctx.config(), ctx.fleet());
    let warm = match service(&config, &entry) {
        Some(service) if !entry.chat.is_empty() => {
            dispatch.last_served(&service.name, entry.key()).await
        }
        _ => None,
    };
    // A stopping router issues no more run keys, which no other router could run.
    let this_router = fleet
        .get(&ctx.host)
        .filter(|_| ctx.drain.phase() == Phase::Serving);
    let reply = EntryReply {
        ttl_ms,
        addresses: addresses(&config, &fleet, &entry, warm),
        run_prefix: this_router.map_or_else(String::new, |_| ctx.run_keys.prefix().to_owned()),
        run_addr: this_router.map_or_else(String::new, |m| m.caller_addr.to_string()),
    };
    let json = serde_json::to_string(&reply).unwrap_or_default();
    json_response(StatusCode::OK, json)
}

fn service<'a>(config: &'a ConfigView, entry: &EntryQuery) -> Option<&'a Arc<config::Service>> {
    let service = config.service_by_model(&entry.model);
    service.or_else(|| config.service_by_path(&entry.path))
}

/// Returns the addresses for `entry`, best first, each router once. The home of the upstream where
/// the chat is `warm` comes first: new chats are placed by load, so it may not be the first in the
/// chat's order.
pub(crate) fn addresses(
    config: &ConfigView,
    fleet: &View,
    entry: &EntryQuery,
    warm: Option<Name>,
) -> Vec<EntryAddress> {
    let key = entry.key();
    let pool = service(config, entry).and_then(|s| config.pool(&s.name));
    let pool = pool.cloned();
    let pool = pool.unwrap_or_default();
    let available = pool.names.iter().filter(|name| !fleet.is_leaving(name));
    let available: Vec<Name> = available.cloned().collect();
    let order = placement::order(key, &available);
    let warm = warm.filter(|name| available.contains(name));
    let preferred = warm.iter().chain(&order).filter_map(|name| {
        let upstream = pool.upstreams.get(name)?;
        homes::home(fleet, name, &upstream.data_center)
    });
    let rest = homes::order(fleet, &key.0.to_string(), "");
    // If no router takes new work, routers that are leaving still serve for a while.
    let leaving = fleet.members.iter();
    let leaving = leaving.filter(|m| m.state == MemberState::Leaving);
    let mut found: Vec<&Member> = Vec::with_capacity(ENTRY_ADDRESSES);
    for member in preferred.chain(rest) {
        if found.len() < ENTRY_ADDRESSES && found.iter().all(|m| m.host != member.host) {
            found.push(member);
        }
    }
    if found.is_empty() {
        found.extend(leaving.take(ENTRY_ADDRESSES));
    }
    let address = |member: &&Member| EntryAddress {
        addr: member.caller_addr.to_string(),
        data_center: member.data_center.to_string(),
    };
    found.iter().map(address).collect()
}
