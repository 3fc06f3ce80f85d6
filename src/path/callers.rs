//! Callers' connections: accepting them, their limits, and their end.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use cyper_core::CompioTimer;
use futures_util::future::{Either, select};
use futures_util::pin_mut;
use hyper::service::service_fn;

use crate::path::dialect::{Dialect, Records};
use crate::path::{Path, link, request};
use crate::serve::listen;
use crate::serve::paced::Paced;
use crate::stats;

/// Hyper's least buffer.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// The parser's bound stands above the typed refusal's, so that most callers get the typed one.
const PARSER_SLACK: usize = 2;
/// A caller that reads nothing for this long is cut.
const BLOCKED: Duration = Duration::from_secs(10);
/// Callers may use a connection again until shortly before the idle limit; the answer to a request
/// that comes then must still be given.
const IDLE_SLACK: Duration = Duration::from_millis(500);

/// Accepts callers at `addr`.
pub(crate) async fn bind<D: Dialect + Records>(
    addr: SocketAddr,
    path: Rc<Path<D>>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    compio::runtime::spawn(async move {
        loop {
            let stream = listen::accept(&listener, "caller").await;
            compio::runtime::spawn(serve(stream, path.clone())).detach();
        }
    })
    .detach();
    Ok(addr)
}

async fn serve<D: Dialect + Records>(stream: TcpStream, path: Rc<Path<D>>) {
    link::watch_silence(&stream);
    stats::connection_opened();
    let limits = path.beliefs.deployment().limits;
    let service = service_fn(move |request| {
        let path = path.clone();
        async move {
            let in_flight = path.drain.begin();
            let drain = path.drain.clone();
            let mut response = request::handle(path, request).await;
            drain.mark(&mut response);
            Ok::<_, Infallible>(in_flight.carry(response))
        }
    });
    let stream = Paced::new(stream);
    let blocked = stream.blocked();
    let max_bytes = limits.max_header_bytes * PARSER_SLACK;
    let idle = Duration::from_millis(limits.idle_timeout_ms) + IDLE_SLACK;
    let served = hyper::server::conn::http1::Builder::new()
        .timer(CompioTimer)
        .max_buf_size(max_bytes.max(MIN_BUFFER_BYTES))
        .header_read_timeout(idle)
        .serve_connection(stream, service);
    let stalled = blocked.longer_than(BLOCKED);
    pin_mut!(served, stalled);
    match select(served, stalled).await {
        Either::Left((Err(e), _)) => log::debug!("caller's connection ended: {e}"),
        Either::Left((Ok(()), _)) => {}
        Either::Right(_) => {
            stats::caller_cut();
            log::info!("caller's connection cut: it stopped reading");
        }
    }
    stats::connection_ended();
}
