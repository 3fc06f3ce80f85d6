//! A router on the project's own log: its callers, the way of their requests, peers, operators and
//! pages.

pub(crate) mod admin;
mod callers;
pub(crate) mod home;
pub mod operator;
pub(crate) mod peers;
pub(crate) mod route;
pub(crate) mod stop;

use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::watch;

pub(crate) use admin::Admin;
pub(crate) use callers::Callers;
pub(crate) use operator::Operators;
pub(crate) use route::claim_link::grouping;
pub(crate) use route::tokens::Tokens;

use crate::decide::refusal::Cause;
use crate::event::Events;
use crate::fleet::gossip::Gossip;
use crate::fleet::member::{MemberState, View};
use crate::front::Drain;
use crate::log::claimant::ClaimHandle;
use crate::log::config_task::ConfigHandle;
use crate::log::follow::FollowStatus;
use crate::log::view::ConfigView;
use crate::peers::{Liveness, refuse};
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
    pub(crate) config_handle: ConfigHandle,
    pub(crate) claims: ClaimHandle,
    pub(crate) tokens: Tokens,
    pub(crate) orders: operator::orders::Orders,
    pub(crate) config: watch::Receiver<Arc<ConfigView>>,
    pub(crate) fleet: watch::Receiver<Arc<View>>,
    pub(crate) gossip: Gossip,
    pub(crate) liveness: Liveness,
    pub(crate) drain: Drain,
}

pub(crate) type SharedCtx = Rc<Ctx>;

impl Ctx {
    pub(crate) fn config(&self) -> Arc<ConfigView> {
        self.config.borrow().clone()
    }

    /// Whether what the configuration doesn't hold doesn't exist. A router that starts may not have heard of it.
    pub(crate) fn knows_configuration(&self) -> bool {
        let has_version = self.config.borrow().state.version > 0;
        has_version || self.config_handle.status() == FollowStatus::Current
    }

    /// Whether this router may admit work as a home; a forwarded request never hops again.
    pub(crate) fn may_admit(&self) -> Result<(), Refusal> {
        if self.liveness.may_admit(self.clock.now_ms()) {
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
