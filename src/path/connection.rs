//! Pool of connections to upstreams.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::HeaderMap;
use http::header::CONNECTION;

use crate::decide::connections::ConnectionQuota;
use crate::http1::Connection;
use crate::path::upstreams::Upstream;
use crate::util::Name;

/// Share of the upstream's idle timeout during which a connection is reused. The rest covers the
/// transit of the request and clock differences.
const IDLE_SHARE: f64 = 0.6;
/// Time for which a connection is reused if the upstream names no timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest idle timeout of an upstream that is relied on. Longer ones, which may be beyond any clock,
/// mean no less than this.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(600);
const KEEP_ALIVE: &str = "keep-alive";
const TIMEOUT: &str = "timeout=";

struct IdleConnection {
    connection: Connection,
    until: Instant,
    /// Start of the upstream that the connection leads to.
    started_ms: u64,
}

/// Pool of idle connections.
#[derive(Clone, Default)]
pub(crate) struct ConnectionPool {
    idle: Rc<RefCell<HashMap<Name, Vec<IdleConnection>>>>,
}

impl ConnectionPool {
    /// Takes an idle connection to `upstream` that can still be used.
    ///
    /// Failure guarded against: the host of an upstream loses power, and it restarts under its id
    /// elsewhere. Connections to the former address stay open without an answer, and each request
    /// on one of them waits for its time limit.
    pub(crate) fn take_idle(&self, upstream: &Upstream) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&upstream.id)?;
        let now = Instant::now();
        while let Some(idle_connection) = connections.pop() {
            let is_same = idle_connection.started_ms == upstream.started_ms;
            let connection = idle_connection.connection;
            if is_same && idle_connection.until > now && connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its answer was read to the end.
    pub(crate) fn put_back(
        &self,
        upstream: &Upstream,
        connection: Connection,
        answer: &HeaderMap,
        quota: ConnectionQuota,
    ) {
        connection.finish_answer();
        let now = Instant::now();
        let Some(timeout) = idle_timeout(answer) else {
            return;
        };
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(upstream.id.clone()).or_default();
        connections.retain(|idle_connection| {
            idle_connection.until > now && !idle_connection.connection.is_closed()
        });
        if connections.len() < quota.idle as usize {
            let until = now + timeout.mul_f64(IDLE_SHARE);
            connections.push(IdleConnection {
                connection,
                until,
                started_ms: upstream.started_ms,
            });
        }
    }

    /// Closes idle connections to `upstream` until at most `max_idle` are left.
    pub(crate) fn close_excess(&self, upstream: &str, max_idle: u32) {
        let mut idle = self.idle.borrow_mut();
        if let Some(connections) = idle.get_mut(upstream) {
            let excess = connections.len().saturating_sub(max_idle as usize);
            connections.drain(..excess);
        }
    }

    /// Closes expired connections, and all connections to upstreams for which `is_known` is false.
    pub(crate) fn sweep(&self, is_known: impl Fn(&str) -> bool) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|upstream, kept| {
            kept.retain(|k| k.until > now && !k.connection.is_closed());
            !kept.is_empty() && is_known(upstream)
        });
    }
}

/// Returns how long the upstream keeps the connection open, or `None` if it must be closed.
fn idle_timeout(answer: &HeaderMap) -> Option<Duration> {
    let text = |name| answer.get(name).and_then(|v| v.to_str().ok());
    if text(CONNECTION.as_str()).is_some_and(|c| c.eq_ignore_ascii_case("close")) {
        return None;
    }
    let announced = text(KEEP_ALIVE).and_then(|params| {
        let timeout = params
            .split(',')
            .find_map(|p| p.trim().strip_prefix(TIMEOUT))?;
        timeout.trim().parse().ok().map(Duration::from_secs)
    });
    let timeout = announced.unwrap_or(DEFAULT_IDLE_TIMEOUT);
    Some(timeout.min(MAX_IDLE_TIMEOUT))
}
