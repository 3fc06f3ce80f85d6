//! Accepts a limited number of connections, and pauses when accepting fails.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::{TcpListener, TcpStream};
use socket2::SockRef;
use tokio::sync::Notify;

use crate::stats;

/// Pause after a failed accept. Without file descriptors an accept fails at once, and retrying
/// immediately would use a whole core.
const RETRY: Duration = Duration::from_millis(10);

/// Size of the kernel's receive buffer of an accepted connection. The kernel would raise it to megabytes, which it
/// keeps for as long as the router doesn't read.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// Listens at `addr`. Connections have small receive buffers.
pub(crate) async fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(addr).await?;
    // Accepted connections inherit it.
    SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    Ok(listener)
}

/// Returns the next connection; `who` names its kind in the log.
pub(crate) async fn accept(listener: &TcpListener, who: &str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(e) => {
                log::warn!("accepting a connection failed ({who}), retrying in {RETRY:?}: {e}");
                compio::time::sleep(RETRY).await;
            }
        }
    }
}

/// Limits the number of open connections of one kind, and knows which of them wait for a request.
#[derive(Clone)]
pub(crate) struct ConnectionPermits(Rc<Permits>);

struct Permits {
    max: usize,
    taken: Cell<usize>,
    /// Connections that wait for a request, the longest first.
    waiting: RefCell<BTreeMap<u64, (Instant, Rc<Eviction>)>>,
    next_position: Cell<u64>,
}

/// Permit for one open connection, released on drop.
pub(crate) struct ConnectionPermit {
    permits: ConnectionPermits,
    position: Cell<Option<u64>>,
    eviction: Rc<Eviction>,
}

/// Tells a connection that it has to be closed.
#[derive(Default)]
pub(crate) struct Eviction {
    is_due: Cell<bool>,
    due: Notify,
}

impl Eviction {
    pub(crate) async fn wait(&self) {
        let due = self.due.notified();
        if !self.is_due.get() {
            due.await;
        }
    }
}

impl ConnectionPermits {
    pub(crate) fn new(max: usize) -> Self {
        Self(Rc::new(Permits {
            max,
            taken: Cell::default(),
            waiting: RefCell::default(),
            next_position: Cell::default(),
        }))
    }

    /// Returns a permit, or `None` if all are in use.
    pub(crate) fn take(&self) -> Option<ConnectionPermit> {
        (self.0.taken.get() < self.0.max).then(|| self.issue())
    }

    /// Returns a permit, if need be that of the connection that has waited for a request for longest, which is
    /// closed. `None` if none has waited for `min_wait`.
    ///
    /// Failure guarded against: callers open connections and send nothing, until no one else gets one.
    pub(crate) fn take_or_evict(&self, min_wait: Duration) -> Option<ConnectionPermit> {
        if let Some(permit) = self.take() {
            return Some(permit);
        }
        let mut waiting = self.0.waiting.borrow_mut();
        let longest = waiting.first_entry()?;
        if longest.get().0.elapsed() < min_wait {
            return None;
        }
        let (_, eviction) = longest.remove();
        drop(waiting);
        eviction.is_due.set(true);
        eviction.due.notify_waiters();
        stats::connection_evicted();
        // The other one is released as soon as its task has run.
        Some(self.issue())
    }

    /// Returns a permit in place of one that is about to be released.
    pub(crate) fn take_beyond(&self) -> ConnectionPermit {
        self.issue()
    }

    fn issue(&self) -> ConnectionPermit {
        self.0.taken.update(|taken| taken + 1);
        let permit = ConnectionPermit {
            permits: self.clone(),
            position: Cell::default(),
            eviction: Rc::default(),
        };
        permit.set_waiting();
        permit
    }
}

impl ConnectionPermit {
    /// Records that the connection waits for a request from now on.
    pub(crate) fn set_waiting(&self) {
        self.set_busy();
        if self.eviction.is_due.get() {
            return;
        }
        let permits = &self.permits.0;
        let position = permits.next_position.get();
        permits.next_position.set(position + 1);
        let mut waiting = permits.waiting.borrow_mut();
        waiting.insert(position, (Instant::now(), self.eviction.clone()));
        self.position.set(Some(position));
    }

    /// Records that a request is under way.
    pub(crate) fn set_busy(&self) {
        if let Some(position) = self.position.take() {
            self.permits.0.waiting.borrow_mut().remove(&position);
        }
    }

    /// Returns once the connection has to be closed.
    pub(crate) async fn evicted(&self) {
        self.eviction.wait().await;
    }

    /// Returns what tells that the connection has to be closed.
    pub(crate) fn eviction(&self) -> Rc<Eviction> {
        self.eviction.clone()
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.set_busy();
        self.permits.0.taken.update(|taken| taken - 1);
    }
}

#[cfg(test)]
#[path = "listen_tests.rs"]
mod listen_tests;
