//! A TCP relay that cuts, delays or stalls what passes through it, by knobs.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use futures_util::future::select;
use futures_util::pin_mut;
use http::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::http::{Ask, Handler, Reply, json, serve, status};

const BUFFER_BYTES: usize = 16 << 10;
const STALL_CHECK: Duration = Duration::from_millis(5);

/// Faults a test can set.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Knobs {
    /// Cut every connection that is open now.
    pub cut: bool,
    /// Accept connections and close them at once.
    pub refuse: bool,
    /// Pass nothing on, but keep connections open.
    pub stall: bool,
    /// Pass nothing back from the target, while what goes there passes: cut one way.
    pub stall_back: bool,
    /// Added to each piece, in each direction.
    pub delay_ms: u64,
}

/// A running relay.
pub struct Relay {
    /// Where it listens.
    pub addr: SocketAddr,
}

struct Server {
    knobs: RefCell<Knobs>,
    cuts: watch::Sender<u64>,
}

impl Relay {
    /// Starts a relay from `addr` to `target`; its knobs are set over HTTP at `control`.
    ///
    /// # Errors
    /// When an address can't be listened on.
    pub async fn bind(
        addr: SocketAddr,
        target: SocketAddr,
        control: SocketAddr,
    ) -> io::Result<Self> {
        let server = Rc::new(Server {
            knobs: RefCell::default(),
            cuts: watch::Sender::new(0),
        });
        serve(control, server.clone()).await?;
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        compio::runtime::spawn(async move {
            loop {
                if let Ok((near, _)) = listener.accept().await {
                    compio::runtime::spawn(server.clone().connection(near, target)).detach();
                }
            }
        })
        .detach();
        Ok(Self { addr })
    }
}

impl Handler for Server {
    async fn handle(self: Rc<Self>, ask: Ask) -> Option<Response<Reply>> {
        match (&ask.method, ask.path.as_str()) {
            (&Method::POST, "/knobs") => match serde_json::from_slice::<Knobs>(&ask.body) {
                Ok(knobs) => {
                    *self.knobs.borrow_mut() = knobs;
                    if knobs.cut {
                        self.cuts.send_modify(|n| *n += 1);
                    }
                    Some(status(StatusCode::OK))
                }
                Err(_) => Some(status(StatusCode::BAD_REQUEST)),
            },
            (&Method::GET, "/knobs") => Some(json(&*self.knobs.borrow())),
            _ => Some(status(StatusCode::NOT_FOUND)),
        }
    }
}

impl Server {
    async fn connection(self: Rc<Self>, near: TcpStream, target: SocketAddr) {
        if self.knobs.borrow().refuse {
            return;
        }
        let mut cuts = self.cuts.subscribe();
        let Ok(far) = TcpStream::connect(target).await else {
            return;
        };
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let there = self.pipe(near.clone(), far.clone(), false);
        let back = self.pipe(far, near, true);
        let both = futures_util::future::join(there, back);
        let cut = cuts.changed();
        pin_mut!(both, cut);
        // A cut drops both directions, and with them the sockets.
        let _ = select(both, cut).await;
    }

    async fn pipe(&self, mut from: TcpStream, mut to: TcpStream, is_back: bool) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(read, filled) = from.read(buffer).await;
            if !matches!(read, Ok(n) if n > 0) {
                break;
            }
            self.hold(is_back).await;
            let BufResult(written, emptied) = to.write_all(filled).await;
            if written.is_err() {
                break;
            }
            buffer = emptied;
        }
        // The other direction may still carry an answer.
        let _ = compio::io::AsyncWrite::shutdown(&mut to).await;
    }

    /// Waits as the knobs say before a piece goes on.
    async fn hold(&self, is_back: bool) {
        let delay_ms = self.knobs.borrow().delay_ms;
        if delay_ms > 0 {
            compio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        let is_stalled = |k: &Knobs| k.stall || (is_back && k.stall_back);
        while is_stalled(&self.knobs.borrow()) {
            compio::time::sleep(STALL_CHECK).await;
        }
    }
}
