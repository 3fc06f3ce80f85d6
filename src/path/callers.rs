//! Connections of callers: accepting them, and their limits.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpStream;

use crate::decide::refusal::Cause;
use crate::front::accept;
use crate::front::connection::{self, Bounds, MAX_BUFFER_BYTES};
use crate::front::listen::{self, ConnectionPermit};
use crate::path::dialect::{Dialect, Records};
use crate::path::refusal::Refused;
use crate::path::routes::CallerLimits;
use crate::path::{RequestPath, request};
use crate::schema::settings::Limits;
use crate::socket::{OtherEnd, set_keepalive};

/// The connection of a caller that reads nothing for this long is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Added to the idle limit: callers may reuse a connection until shortly before that limit, and a
/// request that arrives then must still be answered.
const IDLE_SLACK: Duration = Duration::from_millis(500);
/// More headers than usual clients send.
const MAX_HEADERS: usize = 100;

/// `Retry-After` of a caller refused by the connection limit, which can retry at another router at
/// once.
const CONNECTION_LIMIT_RETRY_MS: u64 = 100;

/// Accepts connections of callers at `addr`.
pub(crate) async fn bind<D: Dialect + Records>(
    addr: SocketAddr,
    limits: Limits,
    path: Rc<RequestPath<D>>,
) -> io::Result<SocketAddr> {
    let listener = listen::bind(addr).await?;
    let addr = listener.local_addr()?;
    let full = Refused::not_run(
        Cause::ConnectionLimit,
        CONNECTION_LIMIT_RETRY_MS,
        accept::CONNECTION_LIMIT_MESSAGE,
    );
    let request_bytes = path.request_bytes.clone();
    let serve = move |stream, permit| serve(stream, path.clone(), permit);
    let accepting = accept::run(listener, limits, request_bytes, full.raw::<D>(), serve);
    compio::runtime::spawn(accepting).detach();
    Ok(addr)
}

async fn serve<D: Dialect + Records>(
    stream: TcpStream,
    path: Rc<RequestPath<D>>,
    permit: ConnectionPermit,
) {
    set_keepalive(&stream, OtherEnd::Caller);
    let bounds = path.state.caller_bounds();
    let drain = path.drain.clone();
    let request_bytes = path.request_bytes.clone();
    let handle = move |request, tracker| request::handle(path.clone(), request, tracker);
    connection::serve(stream, bounds, drain, permit, &request_bytes, handle).await;
}

/// The limits of connections by the configuration; those of no configuration leave the size of headers to
/// the check of each request, which waits for the first one.
pub(crate) fn bounds(limits: Option<&CallerLimits>) -> Bounds {
    let first = CallerLimits {
        max_header_bytes: MAX_BUFFER_BYTES,
        ..CallerLimits::default()
    };
    let limits = limits.unwrap_or(&first);
    Bounds {
        header_bytes: limits.max_header_bytes,
        headers: MAX_HEADERS,
        head_time: Duration::from_millis(limits.header_timeout_ms),
        idle_time: Duration::from_millis(limits.idle_timeout_ms) + IDLE_SLACK,
        blocked_time: WRITE_TIMEOUT,
    }
}
