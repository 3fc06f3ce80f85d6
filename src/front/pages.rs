//! HTTP server for small pages that are rendered without waiting.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpStream;
use cyper_core::HyperStream;
use futures_util::future::{Either, select};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;

use crate::front::body::Answer;
use crate::front::connection::MIN_BUFFER_BYTES;
use crate::front::listen::{self, ConnectionPermit, ConnectionPermits};
use crate::socket::{OtherEnd, set_keepalive};
use crate::time_limit::HttpTimer;

/// Largest head of a request for a page, and the smallest buffer that hyper takes.
const MAX_HEAD_BYTES: usize = MIN_BUFFER_BYTES;
/// Time after which a connection without a request is closed.
const IDLE: Duration = Duration::from_secs(15);

/// Renders the answers to requests.
pub(crate) trait Page: 'static {
    /// Returns the answer to one request.
    fn page(&self, request: &Request<Incoming>) -> Response<Answer>;
}

/// Serves `pages` at `addr` on at most `max_connections` at a time, and returns the bound address. Beyond that, the
/// connection is closed that has waited for a request for longest.
pub(crate) async fn bind<P: Page>(
    addr: SocketAddr,
    max_connections: usize,
    pages: Rc<P>,
) -> io::Result<SocketAddr> {
    let listener = listen::bind(addr).await?;
    let addr = listener.local_addr()?;
    compio::runtime::spawn(async move {
        let permits = ConnectionPermits::new(max_connections);
        loop {
            let stream = listen::accept(&listener, "page connection").await;
            if let Some(permit) = permits.take_or_evict(Duration::ZERO) {
                compio::runtime::spawn(serve(stream, pages.clone(), permit)).detach();
            }
        }
    })
    .detach();
    Ok(addr)
}

async fn serve<P: Page>(stream: TcpStream, pages: Rc<P>, permit: ConnectionPermit) {
    set_keepalive(&stream, OtherEnd::Peer);
    let service = service_fn(|request| {
        permit.set_waiting();
        let response = pages.page(&request);
        async move { Ok::<_, Infallible>(response) }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .timer(HttpTimer)
        .header_read_timeout(IDLE)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(HyperStream::new_plain(stream), service);
    match select(served, pin!(permit.evicted())).await {
        Either::Left((Ok(()), _)) => {}
        Either::Left((Err(e), _)) => log::debug!("page connection closed with an error: {e}"),
        Either::Right(_) => {
            log::debug!(
                "page connection closed: it waited for longest at the limit of connections"
            );
        }
    }
}
