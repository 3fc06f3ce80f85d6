//! Serves one caller's connection within limits on bytes and time, and cuts it if the caller
//! stalls.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpStream;
use futures_util::future::{Either, select};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use tokio::sync::watch;

use crate::front::Drain;
use crate::front::body::Answer;
use crate::front::drain::Unflushed;
use crate::front::head_clock::{HeadClock, Overrun};
use crate::front::in_flight::{ConnectionEnd, Tracker};
use crate::front::listen::ConnectionPermit;
use crate::front::memory::ByteBudget;
use crate::front::paced::PacedStream;
use crate::stats;

/// Smallest buffer size that hyper accepts.
pub(crate) const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Size of the parser's buffer, which can't change while a connection is open: the largest limit on headers
/// that [`Bounds`] can have. The buffer grows with what is sent, and [`Bounds::held_bytes`] ends that. A
/// quarter of the usual limit on bodies, which callers may send at any time.
pub(crate) const MAX_BUFFER_BYTES: usize = 1 << 20;
/// Factor of the limits on what has arrived of a head over the limits on requests, so that most
/// oversized requests get the typed refusal.
const HEAD_SLACK: usize = 2;
/// Answer to a head that is too large to be read whole.
const HEAD_TOO_LARGE: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// Limits of callers' connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Bounds {
    /// Size of the request line and headers.
    pub(crate) header_bytes: usize,
    pub(crate) headers: usize,
    /// Time from the first to the last byte of a request head.
    pub(crate) head_time: Duration,
    /// Time between two requests.
    pub(crate) idle_time: Duration,
    /// Time for which a write may be blocked before the connection is cut.
    pub(crate) blocked_time: Duration,
}

impl Bounds {
    /// Size of an incomplete head that is read on.
    pub(crate) fn held_bytes(&self) -> usize {
        let bytes = self.header_bytes.saturating_mul(HEAD_SLACK);
        bytes.clamp(MIN_BUFFER_BYTES * HEAD_SLACK, MAX_BUFFER_BYTES)
    }
}

/// Serves `stream` until its caller disconnects or stalls; `handle` answers one request, and records how far
/// it has come. `bounds` are those in force, which may change at any time.
///
/// Failure guarded against: a connection keeps the limits that were in force when it was opened, and
/// proper requests are refused on it once a configuration has raised them.
pub(crate) async fn serve<F, Fut>(
    stream: TcpStream,
    bounds: watch::Receiver<Bounds>,
    drain: Drain,
    permit: ConnectionPermit,
    request_bytes: &ByteBudget,
    handle: F,
) where
    F: Fn(Request<Incoming>, Tracker) -> Fut,
    Fut: Future<Output = Response<Answer>>,
{
    stats::connection_opened();
    let Bounds {
        headers,
        blocked_time,
        ..
    } = *bounds.borrow();
    let permit = Rc::new(permit);
    let head_clock = HeadClock::new(bounds, permit.clone(), request_bytes);
    let clock = head_clock.clone();
    let unflushed = Unflushed::default();
    let end = ConnectionEnd::default();
    let begun_on = end.clone();
    let stream = PacedStream::new(stream, head_clock.clone(), unflushed.clone());
    let service = service_fn(move |request| {
        clock.head_complete();
        let in_flight = drain.begin(&begun_on);
        // The connection keeps room for what this closure returns, also between requests.
        let answer = Box::pin(handle(request, in_flight.tracker()));
        let (drain, clock) = (drain.clone(), clock.clone());
        let unflushed = unflushed.clone();
        async move {
            let mut response = answer.await;
            drain.close_if_stopping(&mut response);
            clock.response_started();
            Ok::<_, Infallible>(in_flight.track_until_flushed(response, &unflushed))
        }
    });
    let blocked = stream.blocked();
    let mut served = hyper::server::conn::http1::Builder::new()
        .max_headers(headers * HEAD_SLACK)
        .max_buf_size(MAX_BUFFER_BYTES)
        // The idle limit may change while it runs.
        .header_read_timeout(None)
        .serve_connection(stream, service);
    let stalled = async {
        let blocked = pin!(blocked.wait_until_longer_than(blocked_time));
        let overrun = pin!(head_clock.wait_for_overrun());
        let evicted = pin!(permit.evicted());
        match select(blocked, select(overrun, evicted)).await {
            Either::Left(_) => None,
            Either::Right((Either::Left((overrun, _)), _)) => Some(overrun),
            Either::Right((Either::Right(_), _)) => Some(Overrun::Evicted),
        }
    };
    let cut = |why| {
        end.set(why);
        stats::caller_cut();
        log::info!("caller's connection cut: {why}");
    };
    match select(&mut served, pin!(stalled)).await {
        Either::Left((Err(e), _)) => {
            if !e.is_incomplete_message() {
                end.set("the caller's connection failed");
            }
            log::debug!("caller's connection ended: {e}");
        }
        Either::Left((Ok(()), _)) => {}
        Either::Right((None, _)) => cut("it did not read its answer within the time limit"),
        Either::Right((Some(Overrun::Slow), _)) => {
            cut("its request head did not arrive within the time limit");
        }
        Either::Right((Some(Overrun::Idle), _)) => {
            log::debug!("caller's connection ended: it was idle for too long");
        }
        Either::Right((Some(Overrun::Evicted), _)) => {
            log::debug!(
                "caller's connection ended: it waited for longest at the limit of connections"
            );
        }
        Either::Right((Some(Overrun::NoRoom), _)) => {
            cut(
                "its request head is large, and callers' requests take all the memory that they may",
            );
        }
        Either::Right((Some(Overrun::TooLarge), _)) => {
            let stream = served.into_parts().io;
            stream.refuse(HEAD_TOO_LARGE, blocked_time).await;
            log::debug!("caller's connection ended: its request head is too large");
        }
    }
    stats::connection_ended();
}
