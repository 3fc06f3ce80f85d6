//! HTTP/2 connections between routers and from operators.

use std::net::SocketAddr;
use std::time::Duration;

use compio::net::TcpStream;
use cyper_core::{CompioTimer, HyperStream};
use http_body::Body;
use hyper::client::conn::http2::SendRequest;
use hyper::rt::Executor;
use snafu::{ResultExt, Snafu};

use crate::socket::{OtherEnd, set_keepalive};
use crate::time_limit::within;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

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
}

pub(crate) async fn connect<B>(addr: SocketAddr) -> Result<SendRequest<B>, ConnectError>
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
    let (send, conn) = hyper::client::conn::http2::Builder::new(LocalExec)
        .timer(CompioTimer)
        .handshake(io)
        .await
        .context(HandshakeSnafu)?;
    compio::runtime::spawn(async move {
        if let Err(e) = conn.await {
            log::debug!("connection to a peer ended with an error: {e}");
        }
    })
    .detach();
    Ok(send)
}
