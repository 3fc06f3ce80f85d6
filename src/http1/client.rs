//! Client that keeps connections for further requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use snafu::{ResultExt, Snafu};

use crate::http1::connection::{self, ConnectError, Connection, SendError};

/// Time limit for opening a connection. Those of the callers' requests are usually shorter.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);

/// Why a request got no answer.
#[derive(Debug, Snafu)]
pub(crate) enum ClientError {
    #[snafu(display("{source}"))]
    Connect { source: ConnectError },
    #[snafu(display("{source}"))]
    Send { source: SendError },
}

impl ClientError {
    /// Whether no byte of the request was sent.
    pub(crate) fn is_not_sent(&self) -> bool {
        match self {
            Self::Connect { .. } => true,
            Self::Send { source } => matches!(source, SendError::NotSent { .. }),
        }
    }
}

struct IdleConnection {
    connection: Connection,
    until: Instant,
}

/// Connections to any number of servers. Clones share them.
#[derive(Clone, Default)]
pub(crate) struct Client {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

/// Connection on which an answer is read, to be given back at its end.
pub(crate) struct Busy {
    addr: SocketAddr,
    connection: Connection,
}

impl Client {
    /// Sends a request to the server at `addr` and waits for the head of its answer.
    ///
    /// # Errors
    /// Returns why there is none.
    pub(crate) async fn send(
        &self,
        addr: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Busy), ClientError> {
        if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        while let Some(mut connection) = self.take_idle(addr) {
            match connection.send(request.clone()).await {
                // The server closed the idle connection.
                Err(SendError::NotSent { .. }) => {}
                sent => return answered(addr, connection, sent),
            }
        }
        let opened = connection::open(addr, CONNECT_TIMEOUT).await;
        let mut connection = opened.context(ConnectSnafu)?;
        let sent = connection.send(request).await;
        answered(addr, connection, sent)
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn put_back(&self, busy: Busy) {
        let Busy { addr, connection } = busy;
        connection.finish_answer();
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(addr).or_default();
        connections.retain(|kept| kept.until > now && !kept.connection.is_closed());
        connections.push(IdleConnection {
            connection,
            until: now + IDLE_TIMEOUT,
        });
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&addr)?;
        let now = Instant::now();
        while let Some(kept) = connections.pop() {
            if kept.until > now && kept.connection.is_ready() {
                return Some(kept.connection);
            }
        }
        idle.remove(&addr);
        None
    }
}

fn answered(
    addr: SocketAddr,
    connection: Connection,
    sent: Result<Response<Incoming>, SendError>,
) -> Result<(Response<Incoming>, Busy), ClientError> {
    let response = sent.context(SendSnafu)?;
    Ok((response, Busy { addr, connection }))
}
