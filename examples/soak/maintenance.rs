//! Work that an operator announces, in series that overlap: routers stopped with SIGTERM and started
//! again once they are gone, settings changed and reloaded, new versions of the configuration.

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use serde_json::json;

use crate::faults::Scene;
use crate::support::routed::RoutedFleet;

/// Bursts of retries that a reload sets. They are low, so that giving up answers that need no retry shows.
pub(crate) const RETRY_BURSTS: std::ops::RangeInclusive<u32> = 5..=20;

/// What one step did.
pub(crate) struct Step {
    pub(crate) description: String,
    /// Routers that it stopped.
    pub(crate) stopped: Vec<usize>,
}

/// Stops or reloads some routers, or has a version written. At least one router is left in service.
pub(crate) fn step(routed: &mut RoutedFleet, scene: &Scene, rng: &mut SmallRng) -> Step {
    let mut routers: Vec<usize> = (0..routed.routers.len()).collect();
    routers.shuffle(rng);
    let count = rng.random_range(1..=routers.len().div_ceil(2));
    match rng.random_range(0..5) {
        0 | 1 => {
            routers.retain(|r| !routed.stopping.contains(r));
            routers.truncate(count.min(routers.len().saturating_sub(1)));
            for router in &routers {
                scene.stop_router(routed, *router);
            }
            Step {
                description: format!("routers {routers:?} stopped with SIGTERM"),
                stopped: routers,
            }
        }
        2 | 3 => {
            routers.truncate(count);
            let retry_burst = rng.random_range(RETRY_BURSTS);
            for router in &routers {
                reload(routed, scene, *router, retry_burst);
            }
            Step {
                description: format!("routers {routers:?} reload a retry burst of {retry_burst}"),
                stopped: Vec::new(),
            }
        }
        _ => {
            scene.operator.want_version();
            Step {
                description: "a version is wanted".to_owned(),
                stopped: Vec::new(),
            }
        }
    }
}

/// Changes a router's settings file and has it read.
fn reload(routed: &RoutedFleet, scene: &Scene, router: usize, retry_burst: u32) {
    let index = u8::try_from(router).unwrap_or_default();
    let mut settings = routed.settings(index);
    settings["fleet"]["retry_burst"] = json!(retry_burst);
    let written = std::fs::write(routed.settings_path(index), settings.to_string());
    if let Err(e) = written {
        println!("can't write the settings of router {router}: {e}");
    }
    scene.reload_router(routed, router);
}
