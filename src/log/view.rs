//! The configuration with the indexes that the request path needs, rebuilt on every change.

use std::collections::HashMap;
use std::sync::Arc;

use crate::path::position::StreamPosition;
use crate::schema::config::{Account, Policy, Service, State, Upstream};
use crate::util::Name;

/// The upstreams of one service.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Sorted names of the upstreams that accept new requests.
    pub names: Vec<Name>,
    /// All upstreams of the service, by name.
    pub upstreams: HashMap<Name, Arc<Upstream>>,
}

/// An immutable, indexed configuration.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// The state from which the indexes were built.
    pub state: State,
    /// Position in the stream up to which the state was derived.
    pub at: StreamPosition,
    /// Digest of the state; equal on all routers that have read up to the same position.
    pub digest: u64,
    accounts_by_key: HashMap<String, Arc<Account>>,
    accounts_by_name: HashMap<Name, Arc<Account>>,
    services: HashMap<Name, Arc<Service>>,
    services_by_model: HashMap<Name, Name>,
    policies: HashMap<Name, Arc<Policy>>,
    pools: HashMap<Name, Arc<Pool>>,
}

impl ConfigView {
    /// Builds the indexes of `state`.
    pub fn new(state: State, digest: u64) -> Self {
        Self::of_era(0, state, digest)
    }

    /// Builds the indexes of `state`, which was derived from the stream in `era`.
    pub fn of_era(era: u64, state: State, digest: u64) -> Self {
        let at = StreamPosition::new(era, state.offset);
        let accounts: Vec<Arc<Account>> = state.accounts.iter().cloned().map(Arc::new).collect();
        let by_key = |a: &Arc<Account>| (a.key_sha256.clone(), a.clone());
        let by_name = |a: &Arc<Account>| (Name::from(a.name.as_str()), a.clone());
        let engines = state.services.iter().filter(|s| s.kind == "engine");
        let models = engines.map(|s| (s.model.as_str().into(), s.name.as_str().into()));
        let services = state.services.iter();
        let policies = state.policies.iter();
        Self {
            accounts_by_key: accounts.iter().map(by_key).collect(),
            accounts_by_name: accounts.iter().map(by_name).collect(),
            services: services
                .map(|s| (s.name.as_str().into(), Arc::new(s.clone())))
                .collect(),
            services_by_model: models.collect(),
            policies: policies
                .map(|p| (p.service.as_str().into(), Arc::new(p.clone())))
                .collect(),
            pools: pools(&state),
            at,
            digest,
            state,
        }
    }

    /// Returns the account whose key has this hex SHA-256 digest.
    pub fn account_by_key(&self, key_sha256: &str) -> Option<&Arc<Account>> {
        self.accounts_by_key.get(key_sha256)
    }

    /// Returns the account with this name.
    pub fn account(&self, name: &str) -> Option<&Arc<Account>> {
        self.accounts_by_name.get(name)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns the engine service that serves `model`.
    pub fn service_by_model(&self, model: &str) -> Option<&Arc<Service>> {
        self.services.get(self.services_by_model.get(model)?)
    }

    /// Returns the plain service whose path prefix is the longest that matches `path`.
    pub fn service_by_path(&self, path: &str) -> Option<&Arc<Service>> {
        self.services
            .values()
            .filter(|s| s.kind == "plain" && path.starts_with(&s.path_prefix))
            .max_by_key(|s| s.path_prefix.len())
    }

    /// Returns the routing policy of `service`, if one is set.
    pub fn policy(&self, service: &str) -> Option<&Arc<Policy>> {
        self.policies.get(service)
    }

    /// Returns the upstreams of `service`.
    pub fn pool(&self, service: &str) -> Option<&Arc<Pool>> {
        self.pools.get(service)
    }

    /// Whether `upstream` accepts new requests: it isn't draining, and its data centre isn't
    /// evacuated.
    pub fn takes_work(&self, upstream: &Upstream) -> bool {
        takes_work(&self.state, upstream)
    }

    /// Returns the upstream of `service` with this name.
    pub fn upstream(&self, service: &str, name: &str) -> Option<&Arc<Upstream>> {
        self.pools.get(service)?.upstreams.get(name)
    }
}

/// Whether `upstream` accepts new requests: it isn't draining, and its data centre isn't evacuated.
fn takes_work(state: &State, upstream: &Upstream) -> bool {
    let mut evacuated = state.data_centers.iter().map(|m| &m.data_center);
    !upstream.draining && !evacuated.any(|name| *name == upstream.data_center)
}

fn pools(state: &State) -> HashMap<Name, Arc<Pool>> {
    let mut pools: HashMap<Name, Pool> = HashMap::new();
    for upstream in &state.upstreams {
        let pool = pools.entry(upstream.service.as_str().into()).or_default();
        let name = Name::from(upstream.name.as_str());
        if takes_work(state, upstream) {
            pool.names.push(name.clone());
        }
        pool.upstreams.insert(name, Arc::new(upstream.clone()));
    }
    pools.into_iter().map(|(k, v)| (k, Arc::new(v))).collect()
}
