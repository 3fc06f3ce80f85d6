//! Times in which an upstream sends and reads nothing, though it is sound.

use std::cell::Cell;
use std::time::{Duration, Instant};

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;

const BUFFER_BYTES: usize = 16 << 10;

/// The silence of an upstream, on all its connections.
#[derive(Default)]
pub(super) struct Silence {
    until: Cell<Option<Instant>>,
}

impl Silence {
    /// Begins a silence that lasts for `duration` from now.
    pub(super) fn begin(&self, duration: Duration) {
        self.until.set(Some(Instant::now() + duration));
    }

    /// Waits for the end of the silence, if there is one.
    pub(super) async fn ended(&self) {
        while let Some(until) = self.until.get().filter(|until| *until > Instant::now()) {
            compio::time::sleep_until(until).await;
        }
    }
}

/// A connection on which nothing is sent or read during a silence.
pub(super) struct Connection<'a> {
    stream: TcpStream,
    silence: &'a Silence,
}

impl<'a> Connection<'a> {
    pub(super) fn new(stream: TcpStream, silence: &'a Silence) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, silence }
    }

    /// Sends `text` after the silence; returns whether it was sent.
    pub(super) async fn send(&mut self, text: &str) -> bool {
        self.silence.ended().await;
        self.send_at_once(text).await
    }

    /// Sends `text` even during a silence; returns whether it was sent.
    pub(super) async fn send_at_once(&mut self, text: &str) -> bool {
        let sent = self.stream.write_all(text.as_bytes().to_vec()).await;
        sent.0.is_ok()
    }

    /// The connection without the silence.
    pub(super) fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Reads what has arrived; returns `None` at the end of the connection.
    pub(super) async fn read(&mut self) -> Option<Vec<u8>> {
        let buffer = Vec::with_capacity(BUFFER_BYTES);
        let BufResult(read, bytes) = self.stream.read(buffer).await;
        // A read that was pending when the silence began may end within it.
        self.silence.ended().await;
        read.ok().filter(|n| *n > 0)?;
        Some(bytes)
    }

    /// Closes the connection after the silence.
    pub(super) async fn close(self) {
        self.silence.ended().await;
    }
}
