//! TCP socket options of connections to callers, peers and upstreams.

use std::time::Duration;

use compio::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// What a connection leads to, which decides how long it may be without a sign of life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OtherEnd {
    /// A caller, which may pause between two reads and then has no room for more data.
    Caller,
    /// Another router, or one that asks for pages.
    Peer,
    /// An upstream: its answers may exist nowhere else, and a sound one may be silent for a second or two.
    Upstream,
}

impl OtherEnd {
    /// Time without an acknowledgement, of sent data or of probes, after which the connection is closed.
    pub(crate) const fn unacked_limit(self) -> Duration {
        match self {
            // The limit also applies to a live receiver without room for more data.
            Self::Caller => Duration::from_secs(10),
            Self::Peer => Duration::from_millis(1_500),
            // What was sent into a silence of two seconds is sent again and acknowledged three seconds after
            // its beginning, as retransmissions double their pauses.
            Self::Upstream => Duration::from_secs(4),
        }
    }
}

/// Enables keepalive probes and a limit on unacknowledged data.
///
/// Failure guarded against: a host loses power or its network, and readers and writers of its
/// connections are blocked for minutes.
pub(crate) fn set_keepalive(stream: &TcpStream, other_end: OtherEnd) {
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let limit = other_end.unacked_limit();
    let retries = limit.as_secs().max(2);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(u32::try_from(retries).unwrap_or(u32::MAX));
    let set = socket
        .set_tcp_keepalive(&probes)
        .and_then(|()| socket.set_tcp_user_timeout(Some(limit)));
    if let Err(e) = set {
        // The timeouts of the calls still apply.
        log::debug!("cannot set keepalive and user timeout on a connection: {e}");
    }
}

#[cfg(test)]
#[path = "socket_tests.rs"]
mod socket_tests;
