//! Accepting connections: bounded in number, and without spinning when none can be accepted.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};

/// Out of file descriptors, an accept fails at once, and an immediate retry would take the core.
const RETRY: Duration = Duration::from_millis(10);

/// The next connection of `who`.
pub(crate) async fn accept(listener: &TcpListener, who: &str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(e) => {
                log::warn!("{who} not accepted: {e}");
                compio::time::sleep(RETRY).await;
            }
        }
    }
}

/// Places for connections of one kind.
#[derive(Clone)]
pub(crate) struct ConnectionPermits {
    taken: Rc<Cell<usize>>,
    max: usize,
}

/// The place of one open connection, free again when dropped.
pub(crate) struct ConnectionPermit(ConnectionPermits);

impl ConnectionPermits {
    pub(crate) fn new(max: usize) -> Self {
        Self {
            taken: Rc::default(),
            max,
        }
    }

    /// A place, unless all are taken.
    pub(crate) fn take(&self) -> Option<ConnectionPermit> {
        let taken = self.taken.get();
        if taken >= self.max {
            return None;
        }
        self.taken.set(taken + 1);
        Some(ConnectionPermit(self.clone()))
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let taken = &self.0.taken;
        taken.set(taken.get() - 1);
    }
}
