//! Services to or from which a route of streams was moved lately.
//!
//! Failure guarded against: an operator moves a route to another service. A stream that began at the first
//! one is resumed, and the only version of the other one is taken for its origin.

use std::collections::HashMap;

use crate::decide::versions::WINDOW_MS;
use crate::path::routes::Deployment;
use crate::util::Name;

/// The services of each route of streams, and those that were moved in the last [`WINDOW_MS`].
#[derive(Debug, Default)]
pub(super) struct Moves {
    version: u64,
    targets: HashMap<(Name, Name), Vec<Name>>,
    moved_ms: HashMap<Name, u64>,
}

impl Moves {
    /// Applies the configuration in force.
    pub(super) fn update(&mut self, deployment: &Deployment, now_ms: u64) {
        self.moved_ms
            .retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < WINDOW_MS);
        if deployment.version == self.version {
            return;
        }
        self.version = deployment.version;
        let before = std::mem::replace(&mut self.targets, deployment.stream_targets());
        for (route, services) in &self.targets {
            let Some(earlier) = before.get(route).filter(|earlier| *earlier != services) else {
                continue;
            };
            for service in services.iter().chain(earlier) {
                self.moved_ms.insert(service.clone(), now_ms);
            }
        }
    }

    pub(super) fn contains(&self, service: &str) -> bool {
        self.moved_ms.contains_key(service)
    }

    pub(super) fn services(&self) -> impl Iterator<Item = &Name> {
        self.moved_ms.keys()
    }
}
