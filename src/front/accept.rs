//! Accepts callers' connections up to a limit, and refuses further ones with a typed answer.

use std::io;
use std::time::Duration;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};

use crate::decide::refusal::Cause;
use crate::front::connection::MIN_BUFFER_BYTES;
use crate::front::listen::{self, ConnectionPermit, ConnectionPermits};
use crate::front::memory::{ByteBudget, MemoryShares};
use crate::front::paced::LINGER;
use crate::schema::settings::Limits;
use crate::stats;
use crate::time_limit::within;

/// Message of the refusal for connections over the limit.
pub(crate) const CONNECTION_LIMIT_MESSAGE: &str =
    "this router is at its connection limit: use another address";
/// Share of the process's file descriptors for callers' connections. Each may need a second one for
/// its upstream, some of which are kept idle; the rest is for peers, pages and the platform.
const CALLERS_SHARE: f64 = 0.55;
/// Least time without a request after which a connection may be closed for a new one. Callers send theirs sooner.
const MIN_WAIT: Duration = Duration::from_secs(1);
/// Limit on refused connections that are kept open until their caller has read the refusal.
const MAX_LINGERING: usize = 64;

/// Returns the limit on callers' open connections.
///
/// Failure guarded against: callers' connections use all file descriptors of the process. Then no
/// upstream can be connected, and new callers wait in the kernel's accept queue without an answer. Or
/// they take all its memory.
pub(crate) fn max_connections(limits: &Limits) -> usize {
    let configured = limits.max_connections as usize;
    let most = configured.min(MemoryShares::of(limits).connections());
    if limits.max_open_files < 1.0 {
        return most;
    }
    let share = limits.max_open_files * CALLERS_SHARE;
    most.min(share as usize).max(1)
}

/// Accepts callers until the process ends; `full` is the complete answer over the limit. Over it, a connection
/// without a request gives way, or one whose body has been arriving for long.
pub(crate) async fn run<F, Fut>(
    listener: TcpListener,
    limits: Limits,
    request_bytes: ByteBudget,
    full: Vec<u8>,
    serve: F,
) where
    F: Fn(TcpStream, ConnectionPermit) -> Fut,
    Fut: Future<Output = ()> + 'static,
{
    let permits = ConnectionPermits::new(max_connections(&limits));
    let lingering = ConnectionPermits::new(MAX_LINGERING);
    loop {
        let stream = listen::accept(&listener, "caller").await;
        let permit = permits.take_or_evict(MIN_WAIT).or_else(|| {
            let is_evicted = request_bytes.evict_longest();
            is_evicted.then(|| permits.take_beyond())
        });
        if let Some(permit) = permit {
            compio::runtime::spawn(serve(stream, permit)).detach();
            continue;
        }
        stats::refused(Cause::ConnectionLimit.into());
        if let Some(permit) = lingering.take() {
            compio::runtime::spawn(refuse(stream, full.clone(), permit)).detach();
        }
    }
}

/// Sends `full` on a connection over the limit and closes it.
async fn refuse(mut stream: TcpStream, full: Vec<u8>, _permit: ConnectionPermit) {
    let reply = async {
        stream.write_all(full).await.0?;
        linger(&mut stream).await
    };
    // The time limit covers callers that disconnected or read slowly.
    let _ = within(LINGER, reply).await;
}

/// Reads until the caller closes. Closing with unread bytes would reset the connection, and the
/// caller could lose the answer.
async fn linger(stream: &mut TcpStream) -> io::Result<()> {
    compio::io::AsyncWrite::shutdown(stream).await?;
    let mut buffer = Vec::with_capacity(MIN_BUFFER_BYTES);
    loop {
        let (read, used) = stream.read(buffer).await.into();
        if read? == 0 {
            return Ok(());
        }
        buffer = used;
        buffer.clear();
    }
}
