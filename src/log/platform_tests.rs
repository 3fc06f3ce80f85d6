use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpListener;

use super::platform::Platform;

/// Answers one request without end and counts the bytes that were taken.
async fn answer_endlessly(listener: TcpListener, taken: Rc<Cell<usize>>) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let _request = stream.read(Vec::with_capacity(4_096)).await.0.unwrap();
    let head = "HTTP/1.1 200 OK\r\nlog-era: 1\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut sent = stream.write_all(head).await.0;
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x10000));
    while sent.is_ok() {
        taken.set(taken.get() + chunk.len());
        sent = stream.write_all(chunk.clone().into_bytes()).await.0;
    }
}

/// The platform answers without end. The answer may not fill the memory of the router.
#[compio::test]
async fn answer_without_end_is_given_up() {
    // The limit of an answer, and what the sockets of both sides hold.
    const MAX_TAKEN: usize = (64 << 20) + (16 << 20);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let taken = Rc::new(Cell::new(0));
    compio::runtime::spawn(answer_endlessly(listener, taken.clone())).detach();
    let platform = Platform::open(&addr, Duration::from_secs(2)).unwrap();
    assert!(platform.hosts().await.is_err());
    assert!(taken.get() <= MAX_TAKEN, "{} bytes", taken.get());
}
