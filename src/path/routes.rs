//! Routes, accounts and limits as an operator last set them: a table without network or clock.

use std::collections::HashMap;
use std::rc::Rc;

use rand::Rng;

use crate::path::regions::AllowedRegions;
use crate::util::Name;

/// What a failed request may do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// It may run any number of times.
    Idempotent,
    /// It runs once at most.
    Never,
    /// Its answer is a stream of events; a broken one may go on elsewhere if it is resumable.
    Stream {
        /// A run may go on after the last event that arrived.
        resumable: bool,
    },
}

impl Repeat {
    /// Whether a run that may have begun forbids another.
    pub fn at_most_once(self) -> bool {
        matches!(self, Self::Never | Self::Stream { resumable: false })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One of the services that a route's requests may go to.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: Name,
    /// Its share of the requests, against the others' weights.
    pub weight: f64,
}

/// Which requests go where, and what holds for them.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The operator's name for it.
    pub name: Name,
    /// Begins and ends with a slash.
    pub path_prefix: Name,
    /// Never empty.
    pub targets: Vec<Target>,
    /// What a failed request may do.
    pub repeat: Repeat,
    /// Longest time until the whole answer.
    pub timeout_ms: u64,
    /// Time until the answer, or a stream's first event, that callers want kept.
    pub objective_ms: u64,
    /// Pause between a stream's events that callers want kept.
    pub gap_objective_ms: u64,
    /// Upstreams that one request may run on.
    pub max_attempts: u32,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Needs no key.
    pub public: bool,
    /// Its prompts share parts that upstreams cache.
    pub cached_prompts: bool,
    /// Regions that its requests may go to.
    pub allowed_regions: AllowedRegions,
}

impl Route {
    /// A service for one request, drawn by weight.
    pub fn draw_service<R: Rng>(&self, rng: &mut R) -> &Name {
        let total: f64 = self.targets.iter().map(|t| t.weight).sum();
        let mut left = rng.random::<f64>() * total;
        for target in &self.targets {
            if left < target.weight {
                return &target.service;
            }
            left -= target.weight;
        }
        &self.targets[0].service
    }
}

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Its name, told to upstreams.
    pub name: Name,
    /// Goes before the route's; among equal ones that decides.
    pub priority: Option<u8>,
    /// Regions that its requests may go to.
    pub allowed_regions: AllowedRegions,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Request line and headers.
    pub max_header_bytes: usize,
    /// Request body.
    pub max_body_bytes: usize,
    /// From a head's first byte to its last.
    pub header_timeout_ms: u64,
    /// Between two requests on one connection.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Holds until an operator's configuration is known.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One host's routes, longest prefix first.
type HostRoutes = Vec<Rc<Route>>;

/// A whole configuration.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// Grows with each change; 0 before the first is known.
    pub version: u64,
    /// What callers may send.
    pub limits: CallerLimits,
    routes: HashMap<Name, HostRoutes>,
    accounts: HashMap<Name, Rc<Account>>,
    has_accounts: bool,
    max_connections: HashMap<Name, u32>,
    cold_per_s: HashMap<Name, f64>,
    /// Priorities of each service's routes, in order, each once.
    route_priorities: HashMap<Name, Vec<u8>>,
    /// Those of the accounts.
    account_priorities: Vec<u8>,
}

/// A configuration as it is read, before it is indexed.
#[derive(Clone, Debug, Default)]
pub struct Draft {
    /// Grows with each change.
    pub version: u64,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Routes with their host names.
    pub routes: Vec<(Name, Route)>,
    /// Accounts by key; `None` where no key is asked for.
    pub accounts: Option<Vec<(Name, Rc<Account>)>>,
    /// Connections that each upstream of a service takes from all routers together, by service.
    pub max_connections: Vec<(Name, u32)>,
    /// Requests a second that an upstream of a service bears while it is cold, by service.
    pub cold_per_s: Vec<(Name, f64)>,
}

impl From<Draft> for Deployment {
    fn from(draft: Draft) -> Self {
        let mut routes: HashMap<Name, HostRoutes> = HashMap::new();
        let route_priorities = route_priorities(&draft.routes);
        let accounts = draft.accounts.iter().flatten();
        let mut account_priorities: Vec<u8> = accounts.filter_map(|(_, a)| a.priority).collect();
        account_priorities.sort_unstable();
        account_priorities.dedup();
        for (host, route) in draft.routes {
            let host: Name = host.to_ascii_lowercase().into();
            routes.entry(host).or_default().push(Rc::new(route));
        }
        for of_host in routes.values_mut() {
            of_host.sort_by_key(|r| std::cmp::Reverse(r.path_prefix.len()));
        }
        Self {
            version: draft.version,
            limits: draft.limits,
            routes,
            has_accounts: draft.accounts.is_some(),
            accounts: draft.accounts.into_iter().flatten().collect(),
            max_connections: draft.max_connections.into_iter().collect(),
            cold_per_s: draft.cold_per_s.into_iter().collect(),
            route_priorities,
            account_priorities,
        }
    }
}

fn route_priorities(routes: &[(Name, Route)]) -> HashMap<Name, Vec<u8>> {
    let mut priorities: HashMap<Name, Vec<u8>> = HashMap::new();
    for (_, route) in routes {
        for target in &route.targets {
            let of_service = priorities.entry(target.service.clone()).or_default();
            if let Err(at) = of_service.binary_search(&route.priority) {
                of_service.insert(at, route.priority);
            }
        }
    }
    priorities
}

impl Deployment {
    /// The route of `host` with the longest prefix of `path`.
    ///
    /// ```
    /// use cassiagrade::path::routes::{Deployment, Draft, Repeat, Route, Target};
    /// let route = |name: &str, path_prefix: &str| Route {
    ///     name: name.into(),
    ///     path_prefix: path_prefix.into(),
    ///     targets: vec![Target { service: "s".into(), weight: 1.0 }],
    ///     repeat: Repeat::Idempotent,
    ///     timeout_ms: 1_000,
    ///     objective_ms: 100,
    ///     gap_objective_ms: 0,
    ///     max_attempts: 2,
    ///     priority: 0,
    ///     public: true,
    ///     cached_prompts: false,
    ///     allowed_regions: None,
    /// };
    /// let routes = vec![("a.example".into(), route("all", "/")), ("a.example".into(), route("one", "/x/"))];
    /// let deployment = Deployment::from(Draft { version: 1, routes, ..Draft::default() });
    /// assert_eq!(&*deployment.route("A.example:80", "/x/1").unwrap().name, "one");
    /// assert_eq!(&*deployment.route("a.example", "/y").unwrap().name, "all");
    /// assert!(deployment.route("b.example", "/x/1").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let of_host = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(&*name.to_ascii_lowercase())?,
        };
        of_host.iter().find(|r| path.starts_with(&*r.path_prefix))
    }

    /// The homes of those routes of `host` that have some.
    pub fn allowed_regions(&self, host: &str) -> Vec<&AllowedRegions> {
        let routes = self.routes.get(host).into_iter().flatten();
        let allowed_regions = routes.map(|r| &r.allowed_regions);
        allowed_regions.filter(|h| h.is_some()).collect()
    }

    /// Connections that each upstream of `service` takes from all routers together, if it says.
    pub fn max_connections(&self, service: &str) -> Option<u32> {
        self.max_connections.get(service).copied()
    }

    /// Requests a second that an upstream of `service` bears while it is cold, if it says.
    pub fn cold_per_s(&self, service: &str) -> Option<f64> {
        self.cold_per_s.get(service).copied()
    }

    /// How many kinds of request to `service` are more urgent than one of an account and a route of these
    /// priorities. The account's goes first, the route's decides among requests of equal accounts. Operators
    /// number both as they like, and only the order says what is urgent beside what.
    ///
    /// Failure guarded against: all accounts have the same priority, and put in place of the routes' it
    /// makes all kinds of request equal, here and at the upstreams: under overload the dearest is then
    /// served no better than the least.
    pub fn rank(&self, service: &str, account: Option<u8>, route: u8) -> u8 {
        let routes = self
            .route_priorities
            .get(service)
            .map_or(&[][..], Vec::as_slice);
        let before = |known: &[u8], priority: u8| known.partition_point(|p| *p < priority);
        let of_account = before(&self.account_priorities, account.unwrap_or(route));
        let rank = of_account * routes.len().max(1) + before(routes, route);
        u8::try_from(rank).unwrap_or(u8::MAX)
    }

    /// Whether keys are asked for at all.
    pub fn asks_for_keys(&self) -> bool {
        self.has_accounts
    }

    /// The account that holds `key`.
    pub fn account(&self, key: &str) -> Option<&Rc<Account>> {
        self.accounts.get(key)
    }
}
