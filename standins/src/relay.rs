//! A TCP relay that cuts, delays or stalls connections, as set by knobs.

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

use crate::http::{BufferedRequest, Handler, ResponseBody, json, serve, status};

const BUFFER_BYTES: usize = 16 << 10;
const STALL_CHECK: Duration = Duration::from_millis(5);

/// Faults that a test can set.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Knobs {
    /// Close every open connection.
    pub cut: bool,
    /// Close new connections immediately after accepting them.
    pub refuse: bool,
    /// Forward nothing in either direction, but keep connections open.
    pub stall: bool,
    /// Forward nothing from the target to the client, but still forward to the target.
    pub stall_back: bool,
    /// Delay added to each chunk, in each direction.
    pub delay_ms: u64,
}

/// A running relay.
pub struct Relay {
    /// Address that it listens on.
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
    /// Fails if an address can't be listened on.
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
                if let Ok((client, _)) = listener.accept().await {
                    compio::runtime::spawn(server.clone().connection(client, target)).detach();
                }
            }
        })
        .detach();
        Ok(Self { addr })
    }
}

impl Handler for Server {
    async fn handle(self: Rc<Self>, request: BufferedRequest) -> Option<Response<ResponseBody>> {
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/knobs") => match serde_json::from_slice::<Knobs>(&request.body) {
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
    async fn connection(self: Rc<Self>, client: TcpStream, target: SocketAddr) {
        if self.knobs.borrow().refuse {
            return;
        }
        let mut cuts = self.cuts.subscribe();
        let Ok(upstream) = TcpStream::connect(target).await else {
            return;
        };
        let _ = client.set_nodelay(true);
        let _ = upstream.set_nodelay(true);
        let forward = self.pipe(client.clone(), upstream.clone(), false);
        let backward = self.pipe(upstream, client, true);
        let directions = futures_util::future::join(forward, backward);
        let cut = cuts.changed();
        pin_mut!(directions, cut);
        // A cut drops both directions and thus closes the sockets.
        let _ = select(directions, cut).await;
    }

    async fn pipe(&self, mut from: TcpStream, mut to: TcpStream, is_backward: bool) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(read, chunk) = from.read(buffer).await;
            if !matches!(read, Ok(n) if n > 0) {
                break;
            }
            self.apply_faults(is_backward).await;
            let BufResult(written, emptied) = to.write_all(chunk).await;
            if written.is_err() {
                break;
            }
            buffer = emptied;
        }
        // Closes only the write half: the other direction may still carry a response.
        let _ = compio::io::AsyncWrite::shutdown(&mut to).await;
    }

    /// Delays a chunk by the `delay_ms` knob and for as long as its direction is stalled.
    async fn apply_faults(&self, is_backward: bool) {
        let delay_ms = self.knobs.borrow().delay_ms;
        if delay_ms > 0 {
            compio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        let is_stalled = |k: &Knobs| k.stall || (is_backward && k.stall_back);
        while is_stalled(&self.knobs.borrow()) {
            compio::time::sleep(STALL_CHECK).await;
        }
    }
}
