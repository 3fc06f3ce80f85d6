//! TCP stream that detects when its caller stops reading, and that is closed without a reset.
//!
//! Failure guarded against: a caller sends a request and never reads the answer. The answer fills
//! all buffers, the engine slot stays in use, and memory grows with each such caller. Therefore
//! each write waits until the previous one was passed to the kernel, and a write that stays blocked
//! for longer than the limit closes the connection, which cancels the upstream call.
//!
//! Failure guarded against: a request is answered before all of it has arrived, and the connection
//! is closed with unread bytes. This resets it, and the caller could lose the answer. Therefore,
//! after its own side is closed, the stream reads until the caller closes, for a limited time.

use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use futures_util::AsyncRead;
use hyper::rt::{Read, ReadBufCursor, Write};

use crate::front::connection::MIN_BUFFER_BYTES;
use crate::front::drain::Unflushed;
use crate::front::head_clock::HeadClock;
use crate::time_limit::{run_out, within};

/// Number of checks of a blocked write per time limit.
const POLLS_PER_LIMIT: u32 = 4;
/// How long a closed connection is read on.
pub(crate) const LINGER: Duration = Duration::from_secs(1);
/// Most bytes that are read so: what a caller has sent before it can have seen the answer. One that sends
/// without end doesn't wait for any.
const MAX_LINGERED_BYTES: usize = 1 << 20;

/// Most bytes that are written at once. The stream keeps a buffer of that size for each connection.
pub(crate) const MAX_WRITE_BYTES: usize = 16 << 10;

/// Returns the first buffer that isn't empty.
pub(crate) fn first_filled<'a>(bufs: &'a [io::IoSlice<'_>]) -> &'a [u8] {
    bufs.iter()
        .find(|buf| !buf.is_empty())
        .map_or(&[], |buf| buf)
}

/// Tracks since when a connection's write has been blocked.
#[derive(Clone, Default)]
pub(crate) struct BlockedWrite {
    since: Rc<Cell<Option<Instant>>>,
}

impl BlockedWrite {
    /// Returns once a write has been blocked for longer than `limit`.
    pub(crate) async fn wait_until_longer_than(&self, limit: Duration) {
        loop {
            run_out(limit / POLLS_PER_LIMIT).await;
            let since = self.since.get();
            if since.is_some_and(|at| at.elapsed() > limit) {
                return;
            }
        }
    }

    fn record<T>(&self, poll: Poll<T>) -> Poll<T> {
        if poll.is_ready() {
            self.since.set(None);
        } else if self.since.get().is_none() {
            self.since.set(Some(Instant::now()));
        }
        poll
    }
}

/// TCP stream for hyper that accepts a write only after the previous one is flushed.
pub(crate) struct PacedStream {
    inner: HyperStream<TcpStream>,
    blocked: BlockedWrite,
    head_clock: HeadClock,
    unflushed: Unflushed,
    linger: Option<LingerTimer>,
    /// Number of bytes that were read and dropped since the end of the answers.
    lingered_bytes: usize,
}

/// Runs out when a closed connection is no longer read.
type LingerTimer = Pin<Box<dyn Future<Output = ()>>>;

impl PacedStream {
    pub(crate) fn new(stream: TcpStream, head_clock: HeadClock, unflushed: Unflushed) -> Self {
        Self {
            inner: HyperStream::new_plain(stream),
            blocked: BlockedWrite::default(),
            head_clock,
            unflushed,
            linger: None,
            lingered_bytes: 0,
        }
    }

    pub(crate) fn blocked(&self) -> BlockedWrite {
        self.blocked.clone()
    }

    /// Sends `answer` and closes, in at most `limit` and the time in which a closed connection is read on.
    pub(crate) async fn refuse(mut self, answer: &[u8], limit: Duration) {
        let mut unsent = answer;
        let refused = poll_fn(|cx| {
            while !unsent.is_empty() {
                let sent = ready!(Write::poll_write(Pin::new(&mut self), cx, unsent))?;
                unsent = &unsent[sent..];
            }
            Write::poll_shutdown(Pin::new(&mut self), cx)
        });
        // The time limit covers callers that disconnected or read slowly.
        let _: Result<io::Result<()>, _> = within(limit + LINGER, refused).await;
    }

    fn poll_flush_buffer(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Write::poll_flush(Pin::new(&mut self.inner), cx);
        self.blocked.record(poll)
    }

    /// Reads and drops what the caller still sends, until it closes, sends too much or the time is up.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let timer = self.linger.get_or_insert_with(|| Box::pin(run_out(LINGER)));
        if timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut bytes = [0; MIN_BUFFER_BYTES];
        loop {
            let read = AsyncRead::poll_read(Pin::new(&mut self.inner), cx, &mut bytes);
            match ready!(read) {
                Ok(0) | Err(_) => return Poll::Ready(()),
                Ok(len) => self.lingered_bytes += len,
            }
            if self.lingered_bytes > MAX_LINGERED_BYTES {
                return Poll::Ready(());
            }
        }
    }
}

impl Read for PacedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.head_clock.is_full() {
            // The connection ends, with the refusal of the head once earlier answers are sent.
            return Poll::Pending;
        }
        let mut bytes = [0; MIN_BUFFER_BYTES];
        let room = buf.remaining().min(bytes.len());
        let read = AsyncRead::poll_read(Pin::new(&mut self.inner), cx, &mut bytes[..room]);
        let len = ready!(read)?;
        buf.put_slice(&bytes[..len]);
        self.head_clock.received(len);
        Poll::Ready(Ok(()))
    }
}

impl Write for PacedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_flush_buffer(cx))?;
        let piece = &buf[..buf.len().min(MAX_WRITE_BYTES)];
        Write::poll_write(Pin::new(&mut self.inner), cx, piece)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write(cx, first_filled(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_flush_buffer(cx))?;
        // hyper flushes only when it has written all that it holds.
        let answered = self.unflushed.flushed();
        self.head_clock.answered(answered);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Write::poll_shutdown(Pin::new(&mut self.inner), cx);
        ready!(self.blocked.record(poll))?;
        self.poll_linger(cx).map(Ok)
    }
}
