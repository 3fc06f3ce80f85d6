//! The sockets: callers' HTTP, upstream calls, peer streams, operators' gRPC and the admin pages.

pub(crate) mod admin;
mod admit;
mod answers;
pub(crate) mod body;
mod caller_headers;
mod callers;
mod chat;
mod claim_link;
mod dispatch;
pub(crate) mod drain;
mod entry;
pub(crate) mod frames;
mod home_task;
mod homes;
pub(crate) mod http2;
pub(crate) mod join;
mod kept;
mod keys;
pub(crate) mod kv;
mod limits;
pub(crate) mod listen;
mod loads;
mod once;
pub mod operator;
pub(crate) mod orders;
pub(crate) mod paced;
pub(crate) mod peers;
mod placer;
pub(crate) mod probes;
pub(crate) mod refuse;
pub(crate) mod reports;
mod requests;
mod resume;
pub(crate) mod states;
mod suspects;
mod tokens;
mod upstream;

#[cfg(test)]
mod entry_tests;
#[cfg(test)]
mod reports_tests;
#[cfg(test)]
mod tokens_tests;

use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::watch;

pub(crate) use admin::Admin;
pub(crate) use callers::Callers;
pub(crate) use claim_link::grouping;
pub(crate) use dispatch::Dispatch;
pub(crate) use drain::Drain;
pub(crate) use homes::Homes;
pub(crate) use operator::Operators;
pub(crate) use peers::{PeerClient, PeerServer};
pub(crate) use probes::{Probes, Pulse};
pub(crate) use tokens::Tokens;

use crate::decide::refusal::Cause;
use crate::event::Events;
use crate::fleet::gossip::Gossip;
use crate::fleet::member::{MemberState, View};
use crate::log::claimant::Claimant;
use crate::log::keeper::Keeper;
use crate::log::view::ConfigView;
use crate::schema::peer::Refusal;
use crate::schema::settings::Settings;
use crate::util::{Clock, Name};

/// A doubt ends with the first answer to a probe.
const DOUBT_RETRY_MS: u64 = 500;

/// What every task of a router may read.
pub(crate) struct Ctx {
    pub(crate) settings: Settings,
    pub(crate) host: Name,
    pub(crate) clock: Clock,
    pub(crate) events: Events,
    pub(crate) keeper: Keeper,
    pub(crate) claims: Claimant,
    pub(crate) tokens: Tokens,
    pub(crate) orders: orders::Orders,
    pub(crate) config: watch::Receiver<Arc<ConfigView>>,
    pub(crate) fleet: watch::Receiver<Arc<View>>,
    pub(crate) gossip: Gossip,
    pub(crate) pulse: Pulse,
    pub(crate) drain: Drain,
}

pub(crate) type SharedCtx = Rc<Ctx>;

impl Ctx {
    pub(crate) fn config(&self) -> Arc<ConfigView> {
        self.config.borrow().clone()
    }

    /// Whether this router may admit work as a home; a forwarded request never hops again.
    pub(crate) fn may_admit(&self) -> Result<(), Refusal> {
        if self.pulse.may_admit(self.clock.now_ms()) {
            return Ok(());
        }
        crate::stats::home_refused("in_doubt");
        let detail = "this router slept and may have been given up by the others";
        Err(refuse::not_run(Cause::Draining, DOUBT_RETRY_MS, detail))
    }

    /// Ends when `host` is given up by this router's view.
    pub(crate) async fn host_dead(&self, host: &str) {
        let mut fleet = self.fleet.clone();
        loop {
            let dead = fleet
                .borrow_and_update()
                .get(host)
                .is_none_or(|m| m.state == MemberState::Dead);
            if dead && *self.host != *host {
                return;
            }
            if fleet.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    pub(crate) fn fleet(&self) -> Arc<View> {
        self.fleet.borrow().clone()
    }
}
