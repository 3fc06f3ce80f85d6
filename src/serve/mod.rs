//! The router that runs on the project's own log: caller, peer, operator and admin listeners, and
//! request routing.

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
pub(crate) use route::run_keys::RunKeys;

use crate::decide::refusal::Cause;
use crate::event::Events;
use crate::fleet::gossip::Gossip;
use crate::fleet::member::{MemberState, View};
use crate::front::Drain;
use crate::front::memory::ByteBudget;
use crate::log::claimant::ClaimHandle;
use crate::log::config_task::ConfigHandle;
use crate::log::follow::FollowStatus;
use crate::log::view::ConfigView;
use crate::peers::{Liveness, refuse};
use crate::schema::peer::Refusal;
use crate::schema::settings::Settings;
use crate::util::{Clock, Name};

/// Retry delay while membership is unconfirmed, which ends with the first answered probe.
const UNCONFIRMED_RETRY_MS: u64 = 500;

/// State shared by all tasks of a router.
pub(crate) struct Ctx {
    pub(crate) settings: Settings,
    pub(crate) host: Name,
    pub(crate) clock: Clock,
    pub(crate) events: Events,
    pub(crate) config_handle: ConfigHandle,
    pub(crate) claims: ClaimHandle,
    pub(crate) run_keys: RunKeys,
    pub(crate) orders: operator::orders::Orders,
    pub(crate) config: watch::Receiver<Arc<ConfigView>>,
    pub(crate) fleet: watch::Receiver<Arc<View>>,
    pub(crate) gossip: Gossip,
    pub(crate) liveness: Liveness,
    pub(crate) drain: Drain,
    /// What callers' requests may hold.
    pub(crate) request_bytes: ByteBudget,
}

pub(crate) type SharedCtx = Rc<Ctx>;

impl Ctx {
    pub(crate) fn config(&self) -> Arc<ConfigView> {
        self.config.borrow().clone()
    }

    /// Whether an absent entry is known not to exist. A starting router may not have received the
    /// configuration yet.
    pub(crate) fn has_configuration(&self) -> bool {
        let has_version = self.config.borrow().state.version > 0;
        has_version || self.config_handle.status() == FollowStatus::Current
    }

    /// Checks that this router may admit work as a home. Forwarded requests are refused here rather
    /// than forwarded again.
    pub(crate) fn may_admit(&self) -> Result<(), Refusal> {
        if self.liveness.may_admit(self.clock.now_ms()) {
            return Ok(());
        }
        crate::stats::home_refused("in_doubt");
        let detail = "this router was suspended and its peers may have declared it dead";
        Err(refuse::not_run(
            Cause::Draining,
            UNCONFIRMED_RETRY_MS,
            detail,
        ))
    }

    /// Resolves when `host` is dead or absent in this router's view; never for this host itself.
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
