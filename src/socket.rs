//! TCP socket options, the same for callers, peers and upstreams.

use std::time::Duration;

use compio::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// Closes a connection whose sent data stays unacknowledged for this long.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval between keepalive probes; two unanswered probes close the connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Enables keepalive probes and a limit on unacknowledged data.
///
/// Failure guarded against: a host loses power or its network, and readers and writers of its
/// connections are blocked for minutes.
pub(crate) fn set_keepalive(stream: &TcpStream) {
    set_keepalive_within(stream, UNACKED_TIMEOUT);
}

/// Enables keepalive probes, and closes a connection whose sent data stays unacknowledged for
/// `limit`, or whose peer has no room for more data for as long, even if it acknowledges probes.
pub(crate) fn set_keepalive_within(stream: &TcpStream, limit: Duration) {
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    let set = socket
        .set_tcp_keepalive(&probes)
        .and_then(|()| socket.set_tcp_user_timeout(Some(limit)));
    if let Err(e) = set {
        // The timeouts of the calls still apply.
        log::debug!("cannot set keepalive and user timeout on a connection: {e}");
    }
}
