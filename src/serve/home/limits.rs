//! Account limits at this router, and the shares of them granted by each account's share allocator.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;

use crate::decide::limits::{Demand, Exceeded, Limit, Limits, ShareAllocator};
use crate::decide::refusal::{Cause, Refusal, jittered_ms};
use crate::fleet::homes;
use crate::peers::{DEMAND, PeerClient};
use crate::schema::peer::{AccountDemand, AccountShare, DemandReport, ShareGrant};
use crate::serve::SharedCtx;
use crate::util::Name;

/// How often demand is reported: a third of a share's validity.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Retry delay at a concurrency limit; by then one of the running requests has likely ended.
const CONCURRENCY_RETRY_MS: u64 = 500;

/// A handle to the account limits.
#[derive(Clone)]
pub(crate) struct AccountLimits {
    ctx: SharedCtx,
    limits: Rc<RefCell<Limits>>,
    allocator: Rc<RefCell<ShareAllocator>>,
}

/// Counts one request of an account as running until dropped.
pub(crate) struct Running {
    account: Name,
    limits: Rc<RefCell<Limits>>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.limits.borrow_mut().end(&self.account);
    }
}

impl AccountLimits {
    /// Creates the limits and starts the task that reports demand.
    pub(crate) fn spawn(ctx: SharedCtx, peers: PeerClient) -> Self {
        let accounts = Self {
            ctx,
            limits: Rc::default(),
            allocator: Rc::default(),
        };
        compio::runtime::spawn(accounts.clone().report_all(peers)).detach();
        accounts
    }

    /// Counts a caller's request against the account's rate.
    pub(crate) fn arrive(&self, account: &str) -> Result<(), Refusal> {
        let limit = self.limit(account);
        let (routers, now_ms) = (self.routers(), self.ctx.clock.now_ms());
        let limits = &mut self.limits.borrow_mut();
        let admitted = limits.arrive(&account.into(), limit, routers, now_ms);
        admitted.map_err(refusal)
    }

    /// Counts a request as running at an upstream that this router is home to.
    pub(crate) fn begin(&self, account: &str) -> Result<Running, Refusal> {
        let limit = self.limit(account);
        let (routers, now_ms) = (self.routers(), self.ctx.clock.now_ms());
        let account = Name::from(account);
        let begun = self
            .limits
            .borrow_mut()
            .begin(&account, limit, routers, now_ms);
        begun.map_err(refusal)?;
        Ok(Running {
            account,
            limits: self.limits.clone(),
        })
    }

    /// Grants shares, as the allocator for the accounts in `report`.
    pub(crate) fn grant(&self, report: &DemandReport) -> ShareGrant {
        let (routers, now_ms) = (self.routers(), self.ctx.clock.now_ms());
        let router = Name::from(report.host.as_str());
        let mut allocator = self.allocator.borrow_mut();
        let share = |demanded: &AccountDemand| {
            let demand = Demand {
                rate_per_s: demanded.rate_per_s,
                concurrency: f64::from(demanded.concurrency),
            };
            let account = Name::from(demanded.account.as_str());
            let limit = self.limit(&account);
            let share = allocator.report(&account, &router, demand, limit, routers, now_ms);
            AccountShare {
                account: demanded.account.clone(),
                rate_per_s: share.rate_per_s,
                concurrency_milli: to_milli(share.concurrency),
            }
        };
        ShareGrant {
            shares: report.demands.iter().map(share).collect(),
        }
    }

    async fn report_all(self, peers: PeerClient) {
        loop {
            compio::time::sleep(self.interval()).await;
            for (allocator, demands) in self.demands() {
                let report = DemandReport {
                    host: self.ctx.host.to_string(),
                    demands,
                };
                let Some(addr) = allocator else {
                    self.apply_grant(&self.grant(&report));
                    continue;
                };
                match peers.query(&addr, DEMAND, &report).await {
                    Ok(grant) => self.apply_grant(&grant),
                    // Shares decay to an even split until an allocator answers.
                    Err(e) => log::debug!("demand report to share allocator {addr} failed: {e}"),
                }
            }
        }
    }

    /// Returns the demand of limited accounts by their allocator's address; `None` is this router.
    fn demands(&self) -> HashMap<Option<Name>, Vec<AccountDemand>> {
        let now_ms = self.ctx.clock.now_ms();
        let fleet = self.ctx.fleet();
        let mut by_allocator: HashMap<_, Vec<_>> = HashMap::new();
        for (account, demand) in self.limits.borrow_mut().demands(now_ms) {
            if self.limit(&account) == Limit::default() {
                continue;
            }
            let allocator = homes::home(&fleet, &account, "");
            let other = allocator.filter(|a| a.host != self.ctx.host);
            let addr = other.map(|a| a.peer_addr.clone());
            by_allocator.entry(addr).or_default().push(AccountDemand {
                account: account.to_string(),
                rate_per_s: demand.rate_per_s,
                concurrency: to_count(demand.concurrency),
            });
        }
        by_allocator
    }

    fn apply_grant(&self, grant: &ShareGrant) {
        let now_ms = self.ctx.clock.now_ms();
        let mut limits = self.limits.borrow_mut();
        for share in &grant.shares {
            let granted = Limit {
                rate_per_s: share.rate_per_s,
                concurrency: f64::from(share.concurrency_milli) / 1_000.0,
            };
            limits.granted(&share.account.as_str().into(), granted, now_ms);
        }
    }

    fn limit(&self, account: &str) -> Limit {
        let config = self.ctx.config();
        config
            .account(account)
            .map_or_else(Limit::default, |a| Limit {
                rate_per_s: a.rate_per_s,
                concurrency: f64::from(a.concurrency),
            })
    }

    fn routers(&self) -> usize {
        let fleet = self.ctx.fleet();
        fleet.members.iter().filter(|m| m.takes_work()).count()
    }

    /// Returns the time to the next report: up to twice as long in a fleet of hundreds of routers,
    /// which is still within a share's validity.
    fn interval(&self) -> Duration {
        let stretch = 1.0 + (self.routers() as f64 / 400.0).min(1.0);
        let jitter = rand::rng().random_range(0.9..1.1);
        REPORT_INTERVAL.mul_f64(stretch * jitter)
    }
}

fn refusal(over: Exceeded) -> Refusal {
    let rng = &mut rand::rng();
    let retry_ms = match over {
        Exceeded::Rate { wait_ms } => jittered_ms(wait_ms, rng),
        Exceeded::Concurrency => jittered_ms(CONCURRENCY_RETRY_MS, rng),
    };
    Refusal::not_run(Cause::AccountLimit, retry_ms.max(1))
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "never negative, and saturates"
)]
fn to_count(count: f64) -> u32 {
    count.ceil() as u32
}

fn to_milli(count: f64) -> u32 {
    to_count(count * 1_000.0)
}
