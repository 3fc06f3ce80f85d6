//! Serves one caller's connection within limits on bytes and time, and cuts it if the caller
//! stalls.

use std::convert::Infallible;
use std::pin::pin;
use std::time::Duration;

use compio::net::TcpStream;
use futures_util::future::{Either, select};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;

use crate::front::Drain;
use crate::front::body::Answer;
use crate::front::drain::Unflushed;
use crate::front::head_clock::HeadClock;
use crate::front::in_flight::{ConnectionEnd, Tracker};
use crate::front::paced::PacedStream;
use crate::stats;
use crate::time_limit::HttpTimer;

/// Smallest buffer size that hyper accepts.
pub(crate) const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Factor of the parser's limits over the router's own, so that most oversized requests get the
/// typed refusal instead of the parser's error.
const PARSER_SLACK: usize = 2;

/// Limits of one connection.
#[derive(Clone, Copy, Debug)]
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

/// Serves `stream` until its caller disconnects or stalls; `handle` answers one request, and records how far
/// it has come.
pub(crate) async fn serve<F, Fut>(stream: TcpStream, bounds: Bounds, drain: Drain, handle: F)
where
    F: Fn(Request<Incoming>, Tracker) -> Fut,
    Fut: Future<Output = Response<Answer>>,
{
    stats::connection_opened();
    let head_clock = HeadClock::new(bounds.head_time);
    let clock = head_clock.clone();
    let unflushed = Unflushed::default();
    let end = ConnectionEnd::default();
    let begun_on = end.clone();
    let stream = PacedStream::new(stream, head_clock.clone(), unflushed.clone());
    let service = service_fn(move |request| {
        clock.head_complete();
        let in_flight = drain.begin(&begun_on);
        let answer = handle(request, in_flight.tracker());
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
    let served = hyper::server::conn::http1::Builder::new()
        .timer(HttpTimer)
        .max_headers(bounds.headers * PARSER_SLACK)
        .max_buf_size((bounds.header_bytes * PARSER_SLACK).max(MIN_BUFFER_BYTES))
        .header_read_timeout(bounds.idle_time)
        .serve_connection(stream, service);
    let stalled = async {
        let blocked = pin!(blocked.wait_until_longer_than(bounds.blocked_time));
        let slow = pin!(head_clock.wait_until_slow());
        match select(blocked, slow).await {
            Either::Left(_) => "it did not read its answer within the time limit",
            Either::Right(_) => "its request head did not arrive within the time limit",
        }
    };
    match select(pin!(served), pin!(stalled)).await {
        Either::Left((Err(e), _)) => {
            if !e.is_incomplete_message() {
                end.set("the caller's connection failed");
            }
            log::debug!("caller's connection ended: {e}");
        }
        Either::Left((Ok(()), _)) => {}
        Either::Right((why, _)) => {
            end.set(why);
            stats::caller_cut();
            log::info!("caller's connection cut: {why}");
        }
    }
    stats::connection_ended();
}
