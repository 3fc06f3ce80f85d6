//! How many of a service's places one router of a fleet may fill.
//!
//! Load pattern: each of many routers sees a sliver of the traffic. A fixed part of the places leaves
//! those of idle routers empty while busy ones turn callers away; no part at all lets routers together
//! send a multiple of what the upstreams run. And with more routers than places, no router may be left
//! without any.
//!
//! So the routers tell each other how many requests they run and have waiting, several times a second, and
//! each computes its own part: what it wants while all together want less than there is, and a max-min
//! fair part otherwise (Bertsekas and Gallager, "Data Networks", 6.5). A router that is no longer heard
//! wants nothing. Fractions are rounded up, and every router may run one: the sum is above the places by
//! less than one a router, which wait in the upstreams' own queues. A part costs a sort of the routers
//! when the fleet wants too much, and an addition otherwise.

use crate::decide::admission::Quota;

/// Part of the places that the routers fill. With all full, the next free place decides where a request
/// goes instead of the parts of its prompt that are cached, and every upstream reads every part.
const FILL: f64 = 0.9;
/// Most requests for each place, however short they are: upstreams queue a few, and turn the rest away.
const MAX_FILL: f64 = 3.0;
/// Requests that take less are over before the routers have told one another of them.
const SHORT_MS: f64 = 200.0;

/// Requests that the routers may have at a service for each place of its upstreams, where requests usually
/// take `usual_ms` and may wait `wait_ms` at an upstream and still be in time.
///
/// Load pattern: a small pool with short requests. In the time in which routers tell what they want, each
/// place serves several of them; parted among routers whose callers come in clumps, places idle while
/// callers wait for their router's part. So short requests queue at the upstreams, whose queue is everybody's, for
/// as long as callers allow.
///
/// ```
/// use cassiagrade::decide::allowance::fill;
/// assert_eq!(fill(50.0, 75.0), 2.5);
/// assert_eq!(fill(2_000.0, 250.0), 0.9);
/// ```
pub fn fill(usual_ms: f64, wait_ms: f64) -> f64 {
    if !is_short(usual_ms) {
        return FILL;
    }
    (1.0 + wait_ms / usual_ms.max(1.0)).min(MAX_FILL)
}

/// Whether requests that usually take `usual_ms` queue at the upstreams.
pub fn is_short(usual_ms: f64) -> bool {
    usual_ms < SHORT_MS
}

/// The room of a router that wants `own` of `places`, where each of the other routers wants `others`.
///
/// ```
/// use cassiagrade::decide::allowance::quota;
/// // The others leave 80 places; this router may grow into its part of them at once.
/// let calm = quota(100.0, 10, &[5, 5]);
/// assert!(calm.has_spare && calm.allowed >= 30);
/// // All want more than there is: a fair part, and what the smallest doesn't need.
/// let full = quota(100.0, 500, &[500, 10]);
/// assert_eq!((full.allowed, full.has_spare), (45, false));
/// ```
pub fn quota(places: f64, own: u32, others: &[u32]) -> Quota {
    let wanted = f64::from(own) + others.iter().map(|w| f64::from(*w)).sum::<f64>();
    let spare = places - wanted;
    let allowed = if spare > 0.0 {
        f64::from(own) + spare / (others.len() + 1) as f64
    } else {
        fair_part(places, own, others)
    };
    Quota {
        allowed: (allowed.ceil() as u32).max(1),
        has_spare: spare > 0.0,
    }
}

/// The level up to which everybody's wish is met, for one who wants more than that.
fn fair_part(places: f64, own: u32, others: &[u32]) -> f64 {
    let mut wishes: Vec<f64> = others.iter().map(|w| f64::from(*w)).collect();
    wishes.push(f64::from(own));
    wishes.sort_by(f64::total_cmp);
    let mut left = places;
    for (met, wish) in wishes.iter().enumerate() {
        let level = left / (wishes.len() - met) as f64;
        if *wish > level {
            return level;
        }
        left -= wish;
    }
    f64::from(own)
}
