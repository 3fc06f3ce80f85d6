//! Decides when a router that starts loads a stream of the platform's log as a whole. No I/O and no
//! clock.
//!
//! All routers of a fleet may start at once, as after a power failure. If each loads what all need,
//! the log sends the same bytes once per router: at a thousand routers before ten thousand
//! upstreams that takes most of a minute, and its answers come too late to be of use, so that the
//! loads are repeated. A few routers load at once; the others wait for a peer's copy, for a time that is
//! distributed so that only few of them load before the first copies have spread.

/// Time within which every router of a fleet may load without waiting for peers.
const UNSHARED_MS: f64 = 500.0;
/// Longest time for which a router waits for a peer's copy. A load over a slow link takes two seconds,
/// and its copy two more to spread through thousands of routers.
const MAX_WAIT_MS: f64 = 8_000.0;

/// Time that the log takes to send one router the newest records of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadCost {
    /// A configuration of hundreds of routes and accounts: some hundred kilobytes.
    Configuration,
    /// Thousands of upstreams: some megabytes.
    Upstreams,
}

impl LoadCost {
    /// At 80 MB/s.
    fn ms(self) -> f64 {
        match self {
            Self::Configuration => 2.0,
            Self::Upstreams => 40.0,
        }
    }
}

/// Returns the longest time for which one of `routers` that start waits for a peer's copy of a
/// stream: the time that the log takes to send it to all of them.
///
/// ```
/// use cassiagrade::fleet::first_load::{LoadCost, wait_window_ms};
/// assert_eq!(wait_window_ms(9, LoadCost::Upstreams), 0.0);
/// assert_eq!(wait_window_ms(100, LoadCost::Upstreams), 4_000.0);
/// assert_eq!(wait_window_ms(2_000, LoadCost::Upstreams), 8_000.0);
/// ```
pub fn wait_window_ms(routers: usize, cost: LoadCost) -> f64 {
    let all_ms = routers as f64 * cost.ms();
    if all_ms <= UNSHARED_MS {
        return 0.0;
    }
    all_ms.min(MAX_WAIT_MS)
}

/// Returns how long one of `routers` waits for a peer's copy of a stream before it loads the stream
/// from the log. `jitter` is a uniform random number from 0 to 1.
///
/// The delays are distributed exponentially: whatever the size of the fleet, only few routers load within
/// the first part of the window.
///
/// ```
/// use cassiagrade::fleet::first_load::{LoadCost, load_delay_ms};
/// assert_eq!(load_delay_ms(1.0, 1_000, LoadCost::Upstreams), 8_000);
/// assert_eq!(load_delay_ms(0.001, 1_000, LoadCost::Upstreams), 0);
/// ```
pub fn load_delay_ms(jitter: f64, routers: usize, cost: LoadCost) -> u64 {
    (delay_share(jitter, routers) * wait_window_ms(routers, cost)) as u64
}

/// Share of the longest delay for the uniform random number `jitter`, from 0 to 1, of one of `routers`.
pub(crate) fn delay_share(jitter: f64, routers: usize) -> f64 {
    let routers = routers.max(2) as f64;
    (1.0 + jitter.ln() / routers.ln()).max(0.0)
}
