//! Routes, accounts and limits as configured by operators. No I/O and no clock.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use rand::Rng;

use crate::path::regions::AllowedRegions;
use crate::util::Name;

/// Whether and how a failed request may run again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs at most once.
    Never,
    /// The answer is an event stream; one that breaks off may be resumed elsewhere if it is
    /// resumable.
    Stream {
        /// Whether another run may continue after the last event received.
        resumable: bool,
    },
}

impl Repeat {
    /// Whether another run is forbidden after one that may have begun.
    pub fn at_most_once(self) -> bool {
        matches!(self, Self::Never | Self::Stream { resumable: false })
    }

    /// Whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Regions to which a request of `route` and `account` may be sent: those that both allow.
pub(crate) fn allowed_regions<'a>(
    route: &'a Route,
    account: Option<&'a Account>,
) -> [&'a AllowedRegions; 2] {
    let account_regions = account.map_or(&None, |a| &a.allowed_regions);
    [&route.allowed_regions, account_regions]
}

/// One of the services to which requests of a route may be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: Name,
    /// Weight of the service, relative to the other targets.
    pub weight: f64,
}

/// Set of requests, the services that they are sent to, and the rules that apply to them.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name given by the operator.
    pub name: Name,
    /// Begins and ends with a slash.
    pub path_prefix: Name,
    /// Never empty.
    pub targets: Vec<Target>,
    /// Whether and how a failed request may run again.
    pub repeat: Repeat,
    /// Time limit for the whole answer.
    pub timeout_ms: u64,
    /// Latency objective for the answer, or for the first event of a stream.
    pub objective_ms: u64,
    /// Objective for the gap between two events of a stream.
    pub gap_objective_ms: u64,
    /// Maximum number of upstreams that may run one request.
    pub max_attempts: u32,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether prompts share parts that upstreams cache.
    pub cached_prompts: bool,
    /// Regions that its requests may go to.
    pub allowed_regions: AllowedRegions,
}

impl Route {
    /// Draws a service for one request by weight.
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

    /// Whether some requests of this route go to `service`.
    pub(crate) fn leads_to(&self, service: &str) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|t| &*t.service == service && t.weight > 0.0)
    }
}

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Name, which is sent to upstreams.
    pub name: Name,
    /// Takes precedence over the priority of the route, which decides among equal ones.
    pub priority: Option<u8>,
    /// Regions that its requests may go to.
    pub allowed_regions: AllowedRegions,
}

/// Limits of the size and duration of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Size limit of the request line and headers.
    pub max_header_bytes: usize,
    /// Size limit of the request body.
    pub max_body_bytes: usize,
    /// Time limit from the first to the last byte of a head.
    pub header_timeout_ms: u64,
    /// Time limit between two requests on one connection.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Limits until the first configuration is received.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Routes of one host, longest prefix first.
type HostRoutes = Vec<Rc<Route>>;

/// Complete configuration.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// Increases with each change; 0 before the first configuration.
    pub version: u64,
    /// Limits of requests.
    pub limits: CallerLimits,
    routes: HashMap<Name, HostRoutes>,
    accounts: HashMap<Name, Rc<Account>>,
    has_accounts: bool,
    max_connections: HashMap<Name, u32>,
    cold_per_s: HashMap<Name, f64>,
    /// Services that share a route of resumable streams with others.
    split_streams: HashSet<Name>,
    /// Distinct priorities of the routes of each service, in order.
    route_priorities: HashMap<Name, Vec<u8>>,
    /// Distinct priorities of the accounts, in order.
    account_priorities: Vec<u8>,
}

/// Configuration as decoded, before it is indexed.
#[derive(Clone, Debug, Default)]
pub struct Draft {
    /// Increases with each change.
    pub version: u64,
    /// Limits of requests.
    pub limits: CallerLimits,
    /// Routes with their host names.
    pub routes: Vec<(Name, Route)>,
    /// Accounts by key; `None` if no key is required.
    pub accounts: Option<Vec<(Name, Rc<Account>)>>,
    /// Connections that each upstream of a service accepts from all routers together, by service.
    pub max_connections: Vec<(Name, u32)>,
    /// Requests per second that a cold upstream of a service can handle, by service.
    pub cold_per_s: Vec<(Name, f64)>,
}

impl From<Draft> for Deployment {
    fn from(draft: Draft) -> Self {
        let mut routes: HashMap<Name, HostRoutes> = HashMap::new();
        let route_priorities = route_priorities(&draft.routes);
        let split_streams = split_streams(&draft.routes);
        let accounts = draft.accounts.iter().flatten();
        let mut account_priorities: Vec<u8> = accounts.filter_map(|(_, a)| a.priority).collect();
        account_priorities.sort_unstable();
        account_priorities.dedup();
        for (host, route) in draft.routes {
            let host: Name = host.to_ascii_lowercase().into();
            routes.entry(host).or_default().push(Rc::new(route));
        }
        for host_routes in routes.values_mut() {
            host_routes.sort_by_key(|r| std::cmp::Reverse(r.path_prefix.len()));
        }
        Self {
            version: draft.version,
            limits: draft.limits,
            routes,
            has_accounts: draft.accounts.is_some(),
            accounts: draft.accounts.into_iter().flatten().collect(),
            max_connections: draft.max_connections.into_iter().collect(),
            cold_per_s: draft.cold_per_s.into_iter().collect(),
            split_streams,
            route_priorities,
            account_priorities,
        }
    }
}

fn split_streams(routes: &[(Name, Route)]) -> HashSet<Name> {
    let resumable = Repeat::Stream { resumable: true };
    let routes = routes.iter().map(|(_, route)| route);
    let split = routes.filter(|route| route.repeat == resumable && route.targets.len() > 1);
    let targets = split.flat_map(|route| &route.targets);
    targets.map(|target| target.service.clone()).collect()
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
    /// Returns the route of `host` with the longest prefix of `path`.
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
    /// }; let routes = vec![("a.example".into(), route("all", "/")), ("a.example".into(),
    /// route("one", "/x/"))]; let deployment = Deployment::from(Draft { version: 1, routes,
    /// ..Draft::default() }); assert_eq!(&*deployment.route("A.example:80", "/x/1").unwrap().name,
    /// "one"); assert_eq!(&*deployment.route("a.example", "/y").unwrap().name, "all");
    /// assert!(deployment.route("b.example", "/x/1").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let host_routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(&*name.to_ascii_lowercase())?,
        };
        host_routes
            .iter()
            .find(|r| path.starts_with(&*r.path_prefix))
    }

    /// Allowed regions of those routes of `host` that are bound to regions.
    pub fn allowed_regions(&self, host: &str) -> Vec<&AllowedRegions> {
        let routes = self.routes.get(host).into_iter().flatten();
        let allowed_regions = routes.map(|r| &r.allowed_regions);
        allowed_regions
            .filter(|regions| regions.is_some())
            .collect()
    }

    /// Connections that each upstream of `service` accepts from all routers together, if
    /// configured.
    pub fn max_connections(&self, service: &str) -> Option<u32> {
        self.max_connections.get(service).copied()
    }

    /// Requests per second that a cold upstream of `service` can handle, if configured.
    pub fn cold_per_s(&self, service: &str) -> Option<f64> {
        self.cold_per_s.get(service).copied()
    }

    /// Returns how many priority classes of `service` are more urgent than that of a request with
    /// these priorities of its account and route. The priority of the account takes precedence, and
    /// that of the route decides among equal accounts. Operators choose the numbers freely, so only
    /// their order matters.
    ///
    /// Failure guarded against: all accounts have the same priority. If it replaced that of the
    /// routes, all requests would be equal, here and at the upstreams, and under overload the most
    /// important ones would be served no better than the least.
    pub fn rank(&self, service: &str, account: Option<u8>, route: u8) -> u8 {
        let routes = self
            .route_priorities
            .get(service)
            .map_or(&[][..], Vec::as_slice);
        let before = |known: &[u8], priority: u8| known.partition_point(|p| *p < priority);
        let account_rank = before(&self.account_priorities, account.unwrap_or(route));
        let rank = account_rank * routes.len().max(1) + before(routes, route);
        u8::try_from(rank).unwrap_or(u8::MAX)
    }

    /// Services that share a route of resumable streams with others.
    pub(crate) fn split_streams(&self) -> &HashSet<Name> {
        &self.split_streams
    }

    /// Services of the routes of resumable streams, by host and path prefix.
    pub(crate) fn stream_targets(&self) -> HashMap<(Name, Name), Vec<Name>> {
        let hosts = self.routes.iter();
        let all = hosts.flat_map(|(host, routes)| routes.iter().map(move |r| (host, r)));
        let resumable = Repeat::Stream { resumable: true };
        let streams = all.filter(|(_, route)| route.repeat == resumable);
        let targets = streams.map(|(host, route)| {
            let services = route.targets.iter().map(|t| t.service.clone());
            let key = (host.clone(), route.path_prefix.clone());
            (key, services.collect())
        });
        targets.collect()
    }

    /// Whether requests need a key at all.
    pub fn requires_keys(&self) -> bool {
        self.has_accounts
    }

    /// Returns the account that owns `key`.
    pub fn account(&self, key: &str) -> Option<&Rc<Account>> {
        self.accounts.get(key)
    }
}
