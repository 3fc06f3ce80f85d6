//! Times in which some upstreams send and read nothing, though they are sound.

use std::ops::RangeInclusive;

use futures_util::future::join_all;
use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};

use crate::faults::{Interruptions, KNOBS_TIMEOUT, Scene};
use crate::outages::{Outage, Span};
use crate::support::routed::RoutedFleet;
use crate::support::{post, wall_ms};

/// Duration of a silence.
pub(crate) const SILENCE_MS: RangeInclusive<u64> = 800..=1_500;
/// Share of the upstreams that fall silent together.
const UPSTREAM_SHARE: f64 = 0.4;

/// Lets some upstreams fall silent together, which keep their other knobs. Frozen and silent ones are
/// left out, as they would fall silent later.
pub(crate) async fn begin(
    routed: &RoutedFleet,
    scene: &Scene,
    rng: &mut SmallRng,
    interruptions: &mut Interruptions,
) -> String {
    let silent_ms = rng.random_range(SILENCE_MS);
    let mut chosen: Vec<usize> = (0..routed.upstreams.len())
        .filter(|_| rng.random_bool(UPSTREAM_SHARE))
        .collect();
    let now_ms = wall_ms();
    chosen.retain(|i| !scene.outages.is_stopped(*i, now_ms, now_ms));
    join_all(chosen.iter().map(|i| silence(routed, scene, *i, silent_ms))).await;
    let span = Span {
        from_ms: now_ms,
        to_ms: wall_ms() + silent_ms,
    };
    for i in &chosen {
        scene.outages.add(Outage::UpstreamSilent(*i), span);
        interruptions.upstream_silent(*i, span);
    }
    format!("upstreams {chosen:?} silent, for {silent_ms} ms")
}

async fn silence(routed: &RoutedFleet, scene: &Scene, upstream: usize, silent_ms: u64) {
    let mut knobs: Value = scene.knobs(upstream);
    knobs["silent_ms"] = json!(silent_ms);
    let text = knobs.to_string();
    let set = post(routed.upstreams[upstream].addr, "/knobs", &text);
    if compio::time::timeout(KNOBS_TIMEOUT, set).await.is_err() {
        println!("upstream {upstream} did not fall silent before the timeout");
    }
}
