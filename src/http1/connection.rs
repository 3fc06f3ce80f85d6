//! Opens connections and sends requests on them, one at a time.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use snafu::{ResultExt, Snafu};

use crate::http1::answer::{self, NoAnswer};
use crate::http1::stream::{Exchange, RequestStream, TcpSocket};
use crate::socket::{OtherEnd, set_keepalive};
use crate::time_limit::within;

/// Largest head of an answer, four times the default limit of a caller's. This is also the size of
/// the read buffer: those of 1,000 connections, about all that a process may hold open with the
/// usual limit of files, take 64 MB of the 260 MB that a router has at the smallest site.
pub(crate) const MAX_HEAD_BYTES: usize = 64 << 10;

/// Failure to open a connection; no byte of a request was sent.
#[derive(Debug, Snafu)]
pub(crate) enum ConnectError {
    #[snafu(display("can't connect: {source}"))]
    Refused { source: std::io::Error },
    #[snafu(display("connecting timed out"))]
    TimedOut,
    #[snafu(display("handshake failed: {source}"))]
    Handshake { source: hyper::Error },
}

/// Why a request got no answer.
#[derive(Debug, Snafu)]
pub(crate) enum SendError {
    /// No byte of the request was sent.
    #[snafu(display("{source}"))]
    NotSent { source: hyper::Error },
    #[snafu(display("{source}"))]
    Lost { source: hyper::Error },
    #[snafu(display("{source}"))]
    NoAnswer { source: NoAnswer },
}

/// Connection used for one request at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    exchange: Exchange,
}

impl Connection {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// Returns why there is none. The connection can't be used again.
    pub(crate) async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.exchange.begin(&mut request);
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut e| {
            let is_unsent = e.take_message().is_some();
            let source = e.into_error();
            if is_unsent {
                SendError::NotSent { source }
            } else {
                SendError::Lost { source }
            }
        })?;
        let (parts, body) = response.into_parts();
        answer::check(&parts).context(NoAnswerSnafu)?;
        Ok(Response::from_parts(parts, body))
    }

    /// Records that the whole answer was read. The end of the connection then ends no answer.
    pub(crate) fn finish_answer(&self) {
        self.exchange.end();
    }

    /// Whether the connection can take a request now.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the connection can take a request.
    #[cfg(test)]
    pub(crate) async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }
}

/// Opens a connection to `addr`.
///
/// # Errors
/// Returns why it can't be opened.
pub(crate) async fn open(addr: SocketAddr, timeout: Duration) -> Result<Connection, ConnectError> {
    let stream = within(timeout, TcpStream::connect(addr))
        .await
        .map_err(|_| ConnectError::TimedOut)?
        .context(RefusedSnafu)?;
    set_keepalive(&stream, OtherEnd::Upstream);
    let exchange = Exchange::default();
    let io = RequestStream::new(TcpSocket::new(stream), exchange.clone());
    let (sender, conn) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(io)
        .await
        .context(HandshakeSnafu)?;
    compio::runtime::spawn(async move {
        if let Err(e) = conn.await {
            log::debug!("{addr}: connection ended: {e}");
        }
    })
    .detach();
    Ok(Connection { sender, exchange })
}
