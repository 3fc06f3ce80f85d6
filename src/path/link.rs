//! Connections to upstreams: opening, keeping and taking them again.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use http::HeaderMap;
use http::header::CONNECTION;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use snafu::{ResultExt, Snafu};

use crate::decide::connections::ConnectionQuota;
use crate::socket::set_keepalive;
use crate::util::Name;

/// Share of the upstream's idle timeout for which a connection is taken again: the rest covers the
/// way of the request and clocks of the two sides.
const IDLE_SHARE: f64 = 0.6;
/// A connection whose upstream names no timeout is taken again for this long.
const IDLE_UNTOLD: Duration = Duration::from_millis(300);
const KEEP_ALIVE: &str = "keep-alive";
const TIMEOUT: &str = "timeout=";

type Sender = SendRequest<Full<Bytes>>;

/// Why there is no connection; no byte of a request left.
#[derive(Debug, Snafu)]
pub(crate) enum LinkError {
    #[snafu(display("not connected: {source}"))]
    Refused { source: std::io::Error },
    #[snafu(display("not connected in time"))]
    TimedOut,
    #[snafu(display("handshake failed: {source}"))]
    Handshake { source: hyper::Error },
}

/// One connection to one upstream, for one request at a time.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) sender: Sender,
}

struct Idle {
    sender: Sender,
    until: Instant,
}

/// The kept connections.
#[derive(Clone, Default)]
pub(crate) struct Links {
    idle: Rc<RefCell<HashMap<Name, Vec<Idle>>>>,
}

impl Links {
    /// A kept connection to `upstream` that is still good.
    pub(crate) fn kept(&self, upstream: &str) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        let of_upstream = idle.get_mut(upstream)?;
        let now = Instant::now();
        while let Some(kept) = of_upstream.pop() {
            if kept.until > now && kept.sender.is_ready() {
                return Some(Link {
                    sender: kept.sender,
                });
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn keep(
        &self,
        upstream: &Name,
        link: Link,
        answer: &HeaderMap,
        share: ConnectionQuota,
    ) {
        let now = Instant::now();
        let Some(timeout) = idle_timeout(answer) else {
            return;
        };
        let mut idle = self.idle.borrow_mut();
        let of_upstream = idle.entry(upstream.clone()).or_default();
        of_upstream.retain(|kept| kept.until > now && !kept.sender.is_closed());
        if of_upstream.len() < share.idle as usize {
            let until = now + timeout.mul_f64(IDLE_SHARE);
            of_upstream.push(Idle {
                sender: link.sender,
                until,
            });
        }
    }

    /// Closes kept connections to `upstream` until no more than `most` are left.
    pub(crate) fn make_room(&self, upstream: &str, most: u32) {
        let mut idle = self.idle.borrow_mut();
        if let Some(of_upstream) = idle.get_mut(upstream) {
            let over = of_upstream.len().saturating_sub(most as usize);
            of_upstream.drain(..over);
        }
    }

    /// Closes what is kept to upstreams that `is_known` doesn't hold for, and what grew old.
    pub(crate) fn sweep(&self, is_known: impl Fn(&str) -> bool) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|upstream, kept| {
            kept.retain(|k| k.until > now && !k.sender.is_closed());
            !kept.is_empty() && is_known(upstream)
        });
    }
}

/// How long the upstream keeps the connection, or `None` if it is to be closed.
fn idle_timeout(answer: &HeaderMap) -> Option<Duration> {
    let text = |name| answer.get(name).and_then(|v| v.to_str().ok());
    if text(CONNECTION.as_str()).is_some_and(|c| c.eq_ignore_ascii_case("close")) {
        return None;
    }
    let told = text(KEEP_ALIVE).and_then(|params| {
        let timeout = params
            .split(',')
            .find_map(|p| p.trim().strip_prefix(TIMEOUT))?;
        timeout.parse().ok().map(Duration::from_secs)
    });
    Some(told.unwrap_or(IDLE_UNTOLD))
}

/// Opens a connection to `addr`.
pub(crate) async fn open(addr: SocketAddr, timeout: Duration) -> Result<Link, LinkError> {
    let stream = compio::time::timeout(timeout, TcpStream::connect(addr))
        .await
        .map_err(|_| LinkError::TimedOut)?
        .context(RefusedSnafu)?;
    set_keepalive(&stream);
    let io = HyperStream::new_plain(stream);
    let (sender, conn) = http1::handshake(io).await.context(HandshakeSnafu)?;
    compio::runtime::spawn(async move {
        if let Err(e) = conn.await {
            log::debug!("{addr}: connection ended: {e}");
        }
    })
    .detach();
    Ok(Link { sender })
}
