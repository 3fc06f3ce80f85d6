//! Callers that send raw bytes, and gauges of router 0.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use super::{ACCOUNT_KEY, Fleet, call, get, wait_until};

/// Upper limit that ends a hanging test.
const READ_LIMIT: Duration = Duration::from_secs(30);

/// A connection that sends raw bytes.
pub(crate) struct Raw(pub(crate) TcpStream);

impl Raw {
    pub(crate) fn open(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(READ_LIMIT)).unwrap();
        Self(stream)
    }

    pub(crate) fn send(&mut self, text: &str) -> &mut Self {
        self.0.write_all(text.as_bytes()).unwrap();
        self
    }

    /// Everything received until the router closes the connection.
    pub(crate) fn read_to_close(&mut self) -> String {
        let mut bytes = Vec::new();
        match self.0.read_to_end(&mut bytes) {
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::ConnectionReset => {}
            Err(e) => panic!("the connection was not ended: {e}"),
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// Connects with small segments and buffers, so that the kernel takes little of an answer that
/// isn't read.
pub(crate) fn connect_narrow(addr: SocketAddr) -> TcpStream {
    const SEGMENT_BYTES: u32 = 536;
    const BUFFER_BYTES: usize = 4 << 10;
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_tcp_mss(SEGMENT_BYTES).unwrap();
    socket.set_recv_buffer_size(BUFFER_BYTES).unwrap();
    socket.connect(&addr.into()).unwrap();
    socket.into()
}

/// The head of a POST with the account's key, without its final empty line.
pub(crate) fn head(path: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {ACCOUNT_KEY}\r\n\
         content-length: {length}\r\n"
    )
}
pub(crate) async fn entry_status(addr: SocketAddr) -> Option<u16> {
    Some(call(addr, "GET", "/v1/entry", &[], "").await?.status)
}

pub(crate) async fn wait_serving(fleet: &Fleet) {
    let addr = fleet.caller(0);
    wait_until("service", || async {
        entry_status(addr).await == Some(200)
    })
    .await;
}

pub(crate) async fn wait_connections(fleet: &Fleet, wanted: u32) {
    wait_gauge(fleet, "cassiagrade_caller_connections", wanted).await;
}

pub(crate) async fn wait_in_flight(fleet: &Fleet, wanted: u32) {
    wait_gauge(fleet, "cassiagrade_requests_in_flight", wanted).await;
}

/// Waits until a gauge on the router's metrics page has this value.
pub(crate) async fn wait_gauge(fleet: &Fleet, name: &str, wanted: u32) {
    let line = format!("{name} {wanted}");
    let admin = fleet.admin(0);
    wait_until(&line, || async {
        let page = get(admin, "/metrics").await.unwrap_or_default();
        page.lines().any(|l| l == line)
    })
    .await;
}
