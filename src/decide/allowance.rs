//! How many of a service's slots one router of a fleet may fill.
//!
//! Load pattern: each of many routers receives a small part of the traffic. A fixed share of the
//! slots leaves those of idle routers unused while busy ones refuse callers; without shares, the
//! routers together send a multiple of what the upstreams can run. With more routers than slots,
//! every router must still be able to send something.
//!
//! The routers exchange their demand (requests running and queued) several times a second, and
//! each computes its own share: its demand plus an equal part of the spare slots while the total
//! demand is below the capacity, and a max-min fair share otherwise (Bertsekas and Gallager, "Data
//! Networks", 6.5). A router whose reports stop counts as having no demand. Shares are rounded up
//! and every router may run one request, so their sum exceeds the slots by less than one per
//! router; the excess waits in the upstreams' own queues. The cost is one addition per router, and
//! a sort of the routers when the total demand exceeds the slots.

use crate::decide::admission::Quota;

/// Share of the slots that the routers fill. With all slots taken, requests go to whichever slot
/// becomes free instead of to the cached parts of their prompts, and every upstream prefills
/// every part.
const FILL_FACTOR: f64 = 0.9;
/// Most requests per slot, however short they are: upstreams queue a few and refuse the rest.
const MAX_REQUESTS_PER_SLOT: f64 = 3.0;
/// Requests shorter than this end before the routers have exchanged reports of them.
const SHORT_MS: f64 = 200.0;

/// Returns how many requests per slot the routers may have at a service whose requests typically
/// take `typical_ms` and may wait `wait_ms` at an upstream and still be in time.
///
/// Load pattern: a small pool with short requests. Between two demand reports each slot serves
/// several requests; if the slots are split among routers whose callers arrive in bursts, slots
/// idle while callers wait for the share of their router. So short requests queue at the
/// upstreams, whose queues all routers share, for as long as the callers' objective allows.
///
/// ```
/// use cassiagrade::decide::allowance::requests_per_slot;
/// assert_eq!(requests_per_slot(50.0, 75.0), 2.5);
/// assert_eq!(requests_per_slot(2_000.0, 250.0), 0.9);
/// ```
pub fn requests_per_slot(typical_ms: f64, wait_ms: f64) -> f64 {
    if !is_short(typical_ms) {
        return FILL_FACTOR;
    }
    (1.0 + wait_ms / typical_ms.max(1.0)).min(MAX_REQUESTS_PER_SLOT)
}

/// Whether requests that typically take `typical_ms` queue at the upstreams.
pub fn is_short(typical_ms: f64) -> bool {
    typical_ms < SHORT_MS
}

/// Returns the quota of a router with demand `own` for `slots`, given the demands of the others.
///
/// ```
/// use cassiagrade::decide::allowance::quota;
/// // The others leave 80 slots; this router may take its part of the spare ones at once.
/// let calm = quota(100.0, 10, &[5, 5]);
/// assert!(calm.has_spare && calm.allowed >= 30);
/// // Total demand exceeds the slots: a fair share, plus what the smallest doesn't need.
/// let full = quota(100.0, 500, &[500, 10]);
/// assert_eq!((full.allowed, full.has_spare), (45, false));
/// ```
pub fn quota(slots: f64, own: u32, others: &[u32]) -> Quota {
    let demand = f64::from(own) + others.iter().map(|demand| f64::from(*demand)).sum::<f64>();
    let spare = slots - demand;
    let allowed = if spare > 0.0 {
        f64::from(own) + spare / (others.len() + 1) as f64
    } else {
        fair_level(slots, own, others)
    };
    Quota {
        allowed: (allowed.ceil() as u32).max(1),
        has_spare: spare > 0.0,
    }
}

/// Returns the max-min fair level: the share of each router whose demand exceeds it.
fn fair_level(slots: f64, own: u32, others: &[u32]) -> f64 {
    let mut demands: Vec<f64> = others.iter().map(|demand| f64::from(*demand)).collect();
    demands.push(f64::from(own));
    demands.sort_by(f64::total_cmp);
    let mut remaining = slots;
    for (satisfied, demand) in demands.iter().enumerate() {
        let level = remaining / (demands.len() - satisfied) as f64;
        if *demand > level {
            return level;
        }
        remaining -= demand;
    }
    f64::from(own)
}
