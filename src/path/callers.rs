//! Callers' connections: accepting them, and their limits.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};

use crate::decide::refusal::Cause;
use crate::front::accept;
use crate::front::connection::{self, Bounds};
use crate::front::listen::ConnectionPermit;
use crate::path::dialect::{Dialect, Records};
use crate::path::refusal::Refused;
use crate::path::routes::CallerLimits;
use crate::path::{Path, request};
use crate::schema::settings::Limits;
use crate::socket::set_keepalive;

/// A caller that reads nothing for this long is cut.
const BLOCKED: Duration = Duration::from_secs(10);
/// Callers may use a connection again until shortly before the idle limit; the answer to a request
/// that comes then must still be given.
const IDLE_SLACK: Duration = Duration::from_millis(500);
/// More headers than any customary client sends.
const MAX_HEADERS: usize = 100;

/// When a caller that met the connection limit may try again: elsewhere, at once.
const FULL_RETRY_MS: u64 = 100;

/// Accepts callers at `addr`.
pub(crate) async fn bind<D: Dialect + Records>(
    addr: SocketAddr,
    limits: Limits,
    path: Rc<Path<D>>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    let full = Refused::not_run(Cause::ConnectionLimit, FULL_RETRY_MS, accept::FULL);
    let serve = move |stream, permit| serve(stream, path.clone(), permit);
    compio::runtime::spawn(accept::run(listener, limits, full.raw::<D>(), serve)).detach();
    Ok(addr)
}

async fn serve<D: Dialect + Records>(
    stream: TcpStream,
    path: Rc<Path<D>>,
    _permit: ConnectionPermit,
) {
    set_keepalive(&stream);
    let bounds = bounds(&path.state.deployment().limits);
    let drain = path.drain.clone();
    let handle = move |request| request::handle(path.clone(), request);
    connection::serve(stream, bounds, drain, handle).await;
}

fn bounds(limits: &CallerLimits) -> Bounds {
    Bounds {
        header_bytes: limits.max_header_bytes,
        headers: MAX_HEADERS,
        head_time: Duration::from_millis(limits.header_timeout_ms),
        idle_time: Duration::from_millis(limits.idle_timeout_ms) + IDLE_SLACK,
        blocked_time: BLOCKED,
    }
}
