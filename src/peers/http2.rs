//! HTTP/2 connections between routers and from operators.

use std::net::SocketAddr;
use std::time::Duration;

use compio::net::TcpStream;
use cyper_core::HyperStream;
use http_body::Body;
use hyper::client::conn::http2::SendRequest;
use hyper::rt::Executor;
use snafu::{ResultExt, Snafu};

use crate::socket::{OtherEnd, set_keepalive};
use crate::time_limit::{HttpTimer, within};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Streams that a router accepts on one connection. A host has some 4,000 descriptors, of which callers'
/// connections take 0.55: with this many requests of another router, each of which needs a connection to an
/// upstream, nearly half of the rest is left for its own.
pub(crate) const MAX_STREAMS: u32 = 1_024;
/// Bytes of requests that a connection holds before they are read: 20 Mbit/s over 25 ms. Anybody can send as many, as
/// the key is only known when a request is.
pub(crate) const REQUEST_WINDOW_BYTES: u32 = 64 << 10;
/// Window of a stream that carries an answer to a caller: 10 Mbit/s over 25 ms. It fills up while the caller
/// reads nothing; callers' connections, some 2,200 on a host, can't hold more than 72 MB together.
const ANSWER_WINDOW_BYTES: u32 = 32 << 10;
/// Window of a connection that carries answers. All its streams together can't use it up, so that callers
/// who read nothing don't hold up the answers of the others.
const ANSWERS_WINDOW_BYTES: u32 = MAX_STREAMS * ANSWER_WINDOW_BYTES;
/// Bytes of a stream that wait for the other router's window. A larger chunk is kept, but not copied.
pub(crate) const SEND_BUFFER_BYTES: usize = 16 << 10;
/// Limit on the headers of an answer: the 64 KB that a router takes from an upstream, and 32 bytes that are
/// added for each header.
const MAX_HEADER_LIST_BYTES: u32 = 128 << 10;

/// What a connection carries.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Traffic {
    /// Answers that are read at once, some of them large.
    Queries,
    /// Answers that are read as fast as callers take them.
    Requests,
}

/// Runs hyper's tasks on this thread's runtime.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalExec;

impl<F: Future + 'static> Executor<F> for LocalExec {
    fn execute(&self, fut: F) {
        compio::runtime::spawn(async {
            fut.await;
        })
        .detach();
    }
}

/// Error of opening a connection; no byte of a request has been sent.
#[derive(Debug, Snafu)]
pub(crate) enum ConnectError {
    #[snafu(display("connecting failed: {source}"))]
    Refused { source: std::io::Error },
    #[snafu(display("connection not established within 500 ms"))]
    TimedOut,
    #[snafu(display("HTTP/2 handshake failed: {source}"))]
    Handshake { source: hyper::Error },
    #[snafu(display("the attempt to connect that was under way failed"))]
    Shared,
}

pub(crate) async fn connect<B>(
    addr: SocketAddr,
    traffic: Traffic,
) -> Result<SendRequest<B>, ConnectError>
where
    B: Body + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let stream = within(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(|_| ConnectError::TimedOut)?
        .context(RefusedSnafu)?;
    set_keepalive(&stream, OtherEnd::Peer);
    let io = HyperStream::new_plain(stream);
    let mut builder = hyper::client::conn::http2::Builder::new(LocalExec);
    // Callers who leave reset their streams. Frames of these that still arrive must not end the connection.
    builder
        .timer(HttpTimer)
        .max_header_list_size(MAX_HEADER_LIST_BYTES)
        .max_concurrent_reset_streams(MAX_STREAMS as usize)
        .max_local_error_reset_streams(None);
    if traffic == Traffic::Requests {
        builder
            .initial_stream_window_size(ANSWER_WINDOW_BYTES)
            .initial_connection_window_size(ANSWERS_WINDOW_BYTES);
    }
    let (send, conn) = builder.handshake(io).await.context(HandshakeSnafu)?;
    compio::runtime::spawn(async move {
        if let Err(e) = conn.await {
            log::debug!("connection to a peer ended with an error: {e}");
        }
    })
    .detach();
    Ok(send)
}
