//! Callers' connections as they come: as many as may be open are served, the others told so at once.

use std::io;
use std::time::Duration;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};

use crate::decide::refusal::Cause;
use crate::front::connection::MIN_BUFFER_BYTES;
use crate::front::listen::{self, ConnectionPermit, ConnectionPermits};
use crate::schema::settings::Limits;
use crate::stats;

/// What a caller that met the limit is told.
pub(crate) const FULL: &str =
    "this router holds as many connections as it may: use another address";
/// Share of the files that callers' connections may take: each may need one to an upstream too, and
/// some of these are kept idle. The rest is for peers, pages and the platform.
const CALLERS_SHARE: f64 = 0.55;
/// Refused connections that are kept at once until their caller has read why.
const MAX_LINGERING: usize = 64;
/// How long one of them is kept.
const LINGER: Duration = Duration::from_secs(1);

/// How many connections callers may have open.
///
/// Failure guarded against: callers take every file that the process may open. Then no upstream can be
/// called for those who are connected, and new callers wait without a word in the kernel's queue.
pub(crate) fn max_connections(limits: &Limits) -> usize {
    let told = limits.max_connections as usize;
    if limits.max_open_files < 1.0 {
        return told;
    }
    let share = limits.max_open_files * CALLERS_SHARE;
    told.min(share as usize).max(1)
}

/// Accepts callers for as long as the process runs; `full` is the whole answer to one too many.
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
            compio::runtime::spawn(turn_away(stream, full.clone(), permit)).detach();
        }
    }
}

/// Tells a caller at once that no connection is free.
async fn turn_away(mut stream: TcpStream, full: Vec<u8>, _permit: ConnectionPermit) {
    let told = async {
        stream.write_all(full).await.0?;
        linger(&mut stream).await
    };
    // The caller may have gone, or be slow to read: neither keeps the place.
    let _ = compio::time::timeout(LINGER, told).await;
}

/// Reads what the caller still sends: closing on unread bytes would reset the connection, and the
/// caller would lose the answer on its way.
async fn linger(stream: &mut TcpStream) -> io::Result<()> {
    compio::io::AsyncWrite::shutdown(stream).await?;
    let mut scratch = Vec::with_capacity(MIN_BUFFER_BYTES);
    loop {
        let (read, used) = stream.read(scratch).await.into();
        if read? == 0 {
            return Ok(());
        }
        scratch = used;
        scratch.clear();
    }
}
