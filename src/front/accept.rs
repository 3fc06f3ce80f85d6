//! Accepts callers' connections up to a limit, and refuses further ones with a typed answer.

use std::io;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};

use crate::decide::refusal::Cause;
use crate::front::connection::MIN_BUFFER_BYTES;
use crate::front::listen::{self, ConnectionPermit, ConnectionPermits};
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
/// Limit on refused connections that are kept open until their caller has read the refusal.
const MAX_LINGERING: usize = 64;

/// Returns the limit on callers' open connections.
///
/// Failure guarded against: callers' connections use all file descriptors of the process. Then no
/// upstream can be connected, and new callers wait in the kernel's accept queue without an answer.
pub(crate) fn max_connections(limits: &Limits) -> usize {
    let configured = limits.max_connections as usize;
    if limits.max_open_files < 1.0 {
        return configured;
    }
    let share = limits.max_open_files * CALLERS_SHARE;
    configured.min(share as usize).max(1)
}

/// Accepts callers until the process ends; `full` is the complete answer over the limit.
pub(crate) async fn run<F, Fut>(listener: TcpListener, limits: Limits, full: Vec<u8>, serve: F)
where
    F: Fn(TcpStream, ConnectionPermit) -> Fut,
    Fut: Future<Output = ()> + 'static,
{
    let permits = ConnectionPermits::new(max_connections(&limits));
    let lingering = ConnectionPermits::new(MAX_LINGERING);
    loop {
        let stream = listen::accept(&listener, "caller").await;
        if let Some(permit) = permits.take() {
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
