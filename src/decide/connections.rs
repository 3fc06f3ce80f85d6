//! How many connections one router of a fleet may have open to an upstream.
//!
//! Load pattern: an upstream accepts a limited number of connections from all routers together and
//! resets any beyond that. Requests that may run only once use fresh connections, which are then
//! kept for others. After a burst of them each router keeps as many as it may, idle connections
//! fill the upstream, and it resets just those that carry requests. Whether such a request ran is
//! unknown, so its caller gets no useful answer although the upstream is idle.
//!
//! So each router takes an equal share of the upstream's connections and keeps a part of it idle. A
//! router that needs more sends to another upstream, or refuses the request before any byte of it
//! is sent. A decision costs two multiplications.

/// Share of an upstream's connections that the fleet uses: the rest covers connections that close
/// slowly, routers that not all others know yet, and an upstream that accepts fewer while its queue
/// is long.
pub const FLEET_SHARE: f64 = 0.8;
/// Share of a router's connections that may be idle: a connection is reused within a few hundred
/// milliseconds or hardly ever.
const IDLE_SHARE: f64 = 0.25;
/// Minimum per router: one long answer must not block all other requests.
const MIN_OPEN: u32 = 2;
/// Most idle connections, however many an upstream accepts: more than a burst leaves is never used.
const MAX_IDLE: u32 = 16;

/// One router's share of an upstream's connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionQuota {
    /// Connections in use and idle together.
    pub open: u32,
    /// Idle connections.
    pub idle: u32,
}

/// Returns the share of one of `routers` in an upstream's `max_connections`; without a limit if the
/// upstream has none.
///
/// ```
/// use cassiagrade::decide::connections::quota;
/// let quota = quota(Some(110), 9);
/// assert_eq!((quota.open, quota.idle), (9, 2));
/// ```
pub fn quota(max_connections: Option<u32>, routers: usize) -> ConnectionQuota {
    let Some(max) = max_connections else {
        return ConnectionQuota {
            open: u32::MAX,
            idle: MAX_IDLE,
        };
    };
    let open = (f64::from(max) * FLEET_SHARE / routers.max(1) as f64) as u32;
    let open = open.max(MIN_OPEN);
    let idle = (f64::from(open) * IDLE_SHARE) as u32;
    ConnectionQuota {
        open,
        idle: idle.clamp(1, MAX_IDLE),
    }
}
