//! Restores of the store from an older copy, and what the operator repeats after them.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::operator::Operator;
use crate::outages::{Outage, Outages, Span};
use crate::support::{set_knobs, sleep_ms, wall_ms};
use crate::suspend::sleep_until;

/// Probability that a restore follows the one before at once.
const ROW_SHARE: f64 = 0.3;
/// Pauses before a restore that follows at once, and before others.
const ROW_MS: std::ops::Range<u64> = 50..900;
const PAUSE_MS: std::ops::Range<u64> = 2_500..7_000;
/// Time for which the store is away.
const AWAY_MS: std::ops::Range<u64> = 100..1_500;
/// Age of the copy.
const AGE_MS: std::ops::Range<u64> = 1_000..20_000;
/// Time after the store's return until the operator repeats what it wrote.
const REPEAT_MS: std::ops::Range<u64> = 100..1_500;
/// How the store is away.
const FAULTS: [&str; 3] = ["cut", "silent", "busy"];
/// Pauses before an evacuation and before it is undone.
const PEACE_MS: std::ops::Range<u64> = 1_000..5_000;
const EVACUATED_MS: std::ops::Range<u64> = 2_500..9_000;

/// Restores the store up to `count` times until `until`; returns when the operator has repeated what
/// it wrote.
pub(crate) async fn run_until(
    operator: Operator,
    outages: Outages,
    seed: u64,
    count: u32,
    until: Instant,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut repeats = Vec::new();
    for n in 0..count {
        let is_in_row = n > 0 && rng.random_bool(ROW_SHARE);
        let pause = if is_in_row { ROW_MS } else { PAUSE_MS };
        sleep_until(rng.random_range(pause), until).await;
        if Instant::now() >= until {
            break;
        }
        restore(&operator, &outages, &mut rng).await;
        let (operator, delay_ms) = (operator.clone(), rng.random_range(REPEAT_MS));
        repeats.push(compio::runtime::spawn(async move {
            sleep_ms(delay_ms).await;
            operator.repeat().await;
        }));
    }
    for repeat in repeats {
        let _ = repeat.await;
    }
}

async fn restore(operator: &Operator, outages: &Outages, rng: &mut SmallRng) {
    let fault = FAULTS.choose(rng).copied().unwrap_or("cut");
    let away_ms = rng.random_range(AWAY_MS);
    let age_ms = rng.random_range(AGE_MS);
    let from_ms = wall_ms();
    println!(
        "{from_ms}: the store is {fault} for {away_ms} ms, then its copy of {age_ms} ms before"
    );
    outages.begin(Outage::Store);
    // A store that is away expires no entries.
    set_knobs(operator.store(), &json!({ "fault": fault })).await;
    sleep_ms(away_ms).await;
    // The other faults may have ended this one.
    outages.begin(Outage::Store);
    let knobs = json!({ "restore_age_ms": away_ms + age_ms, "lapse_ms": 1_500 });
    set_knobs(operator.store(), &knobs).await;
    outages.end(Outage::Store);
    outages.restored(Span {
        from_ms,
        to_ms: wall_ms(),
    });
}

/// Evacuates a data centre, drawn once, again and again until `until`.
pub(crate) async fn evacuate_until(operator: Operator, seed: u64, until: Instant) {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let data_center = rng.random_range(0..3);
    let until = until.checked_sub(Duration::from_secs(1)).unwrap_or(until);
    while Instant::now() < until {
        sleep_until(rng.random_range(PEACE_MS), until).await;
        operator.evacuate(data_center, true).await;
        sleep_until(rng.random_range(EVACUATED_MS), until).await;
        operator.evacuate(data_center, false).await;
    }
}
