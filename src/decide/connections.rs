//! How many connections one router of a fleet may have open to an upstream.
//!
//! Load pattern: an upstream takes so many connections from all routers together and resets what
//! comes beyond. Requests that may run once go over fresh connections, which are then kept for
//! others; at a burst of them each router keeps what it may, the upstream is full of idle
//! connections, and it resets just those that carry requests. Nobody can say of such a request that
//! it didn't run: its caller gets no answer worth having, while the upstream has nothing to do.
//!
//! So each router takes an equal part of what the upstream takes, and keeps a part of that idle. A
//! router that would need more sends elsewhere, or refuses truly: nothing of the request left. A
//! decision costs two multiplications.

/// Share of an upstream's connections that the fleet takes: the rest is for those that close slowly, for
/// routers that not all know of yet, and for an upstream that takes fewer while its queue is long.
pub const FLEET_SHARE: f64 = 0.8;
/// Part of a router's share that may be idle: a connection is taken again within some hundred
/// milliseconds or hardly at all.
const IDLE_SHARE: f64 = 0.25;
/// A router may always have these: one that runs a long answer must not shut out all others.
const MIN_OPEN: u32 = 2;
/// Kept at most, however many an upstream takes: more than a burst leaves behind is never used.
const MAX_IDLE: u32 = 16;

/// One router's share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionQuota {
    /// In use and idle together.
    pub open: u32,
    /// Idle.
    pub idle: u32,
}

/// The share of one of `routers`, where an upstream takes `max_connections` of all; without a limit if
/// it doesn't say.
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
