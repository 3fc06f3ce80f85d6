//! Divides an account's fleet-wide rate and concurrency limits among the routers.
//!
//! Load pattern: an account's limit applies to the whole fleet, but its requests arrive at many
//! routers, each of which sees a small part. A limit of 1/N each refuses an account whose callers
//! all use one router; without any division it can have N times its limit.
//!
//! One router, found by hashing the account, collects each router's demand and grants shares. They
//! are max-min fair: a router with a small demand gets it whole, and the rest is split among those
//! that want more (Bertsekas and Gallager, "Data Networks", 6.5). A share is valid for
//! [`SHARE_MS`]. Without a new grant it decays to limit / routers by then, which a router without
//! any share uses. When demand moves, a grant takes only what other grants leave, but never less
//! than an even share, so the sum exceeds the limit for at most [`SHARE_MS`] and never exceeds
//! twice the limit.
//!
//! A request costs one table access; a grant sorts the routers' demands.

use std::collections::HashMap;

use crate::decide::Name;

/// Validity of a share. Three report intervals of a small fleet, so that two may be lost.
pub const SHARE_MS: u64 = 3_000;
/// A token bucket holds what its rate brings in this time, because callers arrive in bursts.
const BURST_S: f64 = 1.0;
/// Age at which a router's report is dropped.
const REPORT_MS: u64 = SHARE_MS;

/// Limits, or a share of them; zero means unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit {
    /// Requests a second.
    pub rate_per_s: f64,
    /// Concurrent requests.
    pub concurrency: f64,
}

/// Demand of an account at one router since the router's last report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests received per second, served or not.
    pub rate_per_s: f64,
    /// Peak of concurrent requests wanted.
    pub concurrency: f64,
}

/// Which limit a request exceeds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exceeded {
    /// The rate limit.
    Rate {
        /// Time until the next token.
        wait_ms: u64,
    },
    /// The concurrency limit.
    Concurrency,
}

/// State of one account at one router.
#[derive(Clone, Debug)]
struct Account {
    share: Option<(Limit, u64)>,
    tokens: f64,
    filled_ms: u64,
    running: u32,
    received: u32,
    wanted: u32,
    since_ms: u64,
}

/// Limits of the accounts that one router serves.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    accounts: HashMap<Name, Account>,
}

impl Limits {
    /// Counts a request of `account`, whose fleet-wide limit is `limit`, if the router's share of
    /// the rate allows it.
    ///
    /// # Errors
    /// If the router's share of the rate is used up.
    ///
    /// ```
    /// use cassiagrade::decide::limits::{Limit, Limits, Exceeded};
    /// let mut limits = Limits::default();
    /// let limit = Limit { rate_per_s: 2.0, concurrency: 0.0 };
    /// let name = "acme".into();
    /// assert!(limits.arrive(&name, limit, 1, 0).is_ok());
    /// assert!(limits.arrive(&name, limit, 1, 0).is_ok());
    /// assert_eq!(limits.arrive(&name, limit, 1, 0), Err(Exceeded::Rate { wait_ms: 500 }));
    /// assert!(limits.arrive(&name, limit, 1, 500).is_ok());
    /// ```
    pub fn arrive(
        &mut self,
        account: &Name,
        limit: Limit,
        routers: usize,
        now_ms: u64,
    ) -> Result<(), Exceeded> {
        let account = self.account(account, now_ms);
        account.received += 1;
        if limit.rate_per_s <= 0.0 {
            return Ok(());
        }
        let rate_per_ms = account.share(limit, routers, now_ms).rate_per_s / 1_000.0;
        let capacity = (rate_per_ms * 1_000.0 * BURST_S).max(1.0);
        let gained = now_ms.saturating_sub(account.filled_ms) as f64 * rate_per_ms;
        account.tokens = (account.tokens + gained).min(capacity);
        account.filled_ms = now_ms;
        if account.tokens < 1.0 {
            let wait_ms = (1.0 - account.tokens) / rate_per_ms.max(f64::MIN_POSITIVE);
            return Err(Exceeded::Rate {
                wait_ms: whole_ms(wait_ms),
            });
        }
        account.tokens -= 1.0;
        Ok(())
    }

    /// Counts a request of `account` as running if the router's share of the concurrency allows it;
    /// [`Limits::end`] must follow.
    ///
    /// # Errors
    /// If the router's share of the concurrency is used up.
    pub fn begin(
        &mut self,
        account: &Name,
        limit: Limit,
        routers: usize,
        now_ms: u64,
    ) -> Result<(), Exceeded> {
        let account = self.account(account, now_ms);
        account.wanted = account.wanted.max(account.running + 1);
        let share = account.share(limit, routers, now_ms).concurrency;
        // Rounded up: a share below one would block the account at every router.
        if limit.concurrency > 0.0 && f64::from(account.running) >= share.ceil().max(1.0) {
            return Err(Exceeded::Concurrency);
        }
        account.running += 1;
        Ok(())
    }

    /// Records the end of a running request.
    pub fn end(&mut self, account: &str) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.running = account.running.saturating_sub(1);
        }
    }

    /// Stores a granted share.
    pub fn granted(&mut self, account: &Name, share: Limit, now_ms: u64) {
        self.account(account, now_ms).share = Some((share, now_ms));
    }

    /// Returns each account's demand since the last call, and drops accounts without any.
    pub fn demands(&mut self, now_ms: u64) -> Vec<(Name, Demand)> {
        let idle = |a: &Account| a.received == 0 && a.running == 0 && a.wanted == 0;
        self.accounts.retain(|_, a| !idle(a));
        let accounts = self.accounts.iter_mut();
        accounts
            .map(|(name, a)| {
                let span_s = now_ms.saturating_sub(a.since_ms).max(1) as f64 / 1_000.0;
                let demand = Demand {
                    rate_per_s: f64::from(a.received) / span_s,
                    concurrency: f64::from(a.wanted.max(a.running)),
                };
                (a.received, a.wanted, a.since_ms) = (0, 0, now_ms);
                (name.clone(), demand)
            })
            .collect()
    }

    fn account(&mut self, name: &Name, now_ms: u64) -> &mut Account {
        self.accounts
            .entry(name.clone())
            .or_insert_with(|| Account {
                share: None,
                tokens: f64::INFINITY,
                filled_ms: now_ms,
                running: 0,
                received: 0,
                wanted: 0,
                since_ms: now_ms,
            })
    }
}

impl Account {
    /// Returns the share in force: the granted one, decaying to an even one without a new grant.
    fn share(&self, limit: Limit, routers: usize, now_ms: u64) -> Limit {
        let even = limit.scaled(1.0 / routers.max(1) as f64);
        let Some((granted, at_ms)) = self.share else {
            return even;
        };
        let age = now_ms.saturating_sub(at_ms) as f64 / SHARE_MS as f64;
        let remaining = (1.0 - age).max(0.0);
        let decayed = |granted: f64, even: f64| {
            if granted <= even {
                // A share below the even one doesn't grow without a grant.
                return granted;
            }
            even + remaining * (granted - even)
        };
        Limit {
            rate_per_s: decayed(granted.rate_per_s, even.rate_per_s),
            concurrency: decayed(granted.concurrency, even.concurrency),
        }
    }
}

impl Limit {
    fn scaled(self, by: f64) -> Self {
        Self {
            rate_per_s: self.rate_per_s * by,
            concurrency: self.concurrency * by,
        }
    }
}

/// Divides the limits of the accounts that this router is responsible for.
#[derive(Clone, Debug, Default)]
pub struct ShareAllocator {
    reports: HashMap<Name, HashMap<Name, Report>>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    demand: Demand,
    granted: Limit,
    at_ms: u64,
}

impl ShareAllocator {
    /// Takes the demand for `account` of `router`, one of `routers`, and returns its share.
    ///
    /// ```
    /// use cassiagrade::decide::limits::{ShareAllocator, Demand, Limit};
    /// let mut allocator = ShareAllocator::default();
    /// let limit = Limit { rate_per_s: 90.0, concurrency: 0.0 };
    /// let wants = |rate_per_s| Demand { rate_per_s, concurrency: 0.0 };
    /// let (account, a, b) = ("acme".into(), "a".into(), "b".into());
    /// allocator.report(&account, &a, wants(10.0), limit, 2, 0);
    /// allocator.report(&account, &b, wants(500.0), limit, 2, 0);
    /// assert_eq!(allocator.report(&account, &a, wants(10.0), limit, 2, 900).rate_per_s, 10.0);
    /// assert_eq!(allocator.report(&account, &b, wants(500.0), limit, 2, 1_000).rate_per_s, 80.0);
    /// ```
    pub fn report(
        &mut self,
        account: &Name,
        router: &Name,
        demand: Demand,
        limit: Limit,
        routers: usize,
        now_ms: u64,
    ) -> Limit {
        let reports = self.reports.entry(account.clone()).or_default();
        reports.retain(|_, r| now_ms.saturating_sub(r.at_ms) <= REPORT_MS);
        reports.remove(router);
        let others = || reports.values();
        let routers = routers.max(reports.len() + 1);
        let even = limit.scaled(1.0 / routers as f64);
        let rates = others().map(|r| r.demand.rate_per_s).collect();
        let taken: f64 = others().map(|r| r.granted.rate_per_s).sum();
        let fair = fair_share(limit.rate_per_s, demand.rate_per_s, rates, routers);
        let rate_per_s = fair.min((limit.rate_per_s - taken).max(even.rate_per_s));
        let counts = others().map(|r| r.demand.concurrency).collect();
        let taken: f64 = others().map(|r| r.granted.concurrency).sum();
        let fair = fair_share(limit.concurrency, demand.concurrency, counts, routers);
        let concurrency = fair.min((limit.concurrency - taken).max(even.concurrency));
        let granted = Limit {
            rate_per_s,
            concurrency,
        };
        let report = Report {
            demand,
            granted,
            at_ms: now_ms,
        };
        reports.insert(router.clone(), report);
        granted
    }
}

/// Returns the max-min fair share of a router with demand `own` beside those in `demands`. Unused
/// capacity is split evenly among all `routers`, so that each has some before it reports demand.
pub fn fair_share(limit: f64, own: f64, mut demands: Vec<f64>, routers: usize) -> f64 {
    demands.push(own);
    demands.sort_by(f64::total_cmp);
    let mut remaining = limit;
    let count = demands.len();
    for (i, demand) in demands.iter().enumerate() {
        let even = remaining / (count - i) as f64;
        if *demand >= even {
            return own.min(even);
        }
        remaining -= demand;
    }
    own + remaining / routers.max(count) as f64
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "never negative"
)]
fn whole_ms(ms: f64) -> u64 {
    ms.ceil() as u64
}
