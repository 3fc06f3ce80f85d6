//! Stream of a connection on which requests are sent. It reports the end of an answer only if the connection
//! ended in order.
//!
//! Failure guarded against: an answer has no length, so that the end of its connection ends it, and the
//! connection is reset. A reset shows as an error once, to a write or to a read: if a write of the request's
//! body takes it, the next read reports an end like that of a whole answer. An upstream may also end its side
//! and reset the connection afterwards, as the kernel does for a process that closes without having read
//! the whole request. The end is therefore reported once the request is written whole and no reset followed.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use compio::net::TcpStream;
use cyper_core::HyperStream;
use futures_util::AsyncRead;
use http::Request;
use hyper::rt::{Read, ReadBufCursor, Sleep, Timer, Write};
use socket2::SockRef;

use crate::front::paced::{MAX_WRITE_BYTES, first_filled};
use crate::http1::informational::Informational;
use crate::time_limit::HttpTimer;

/// How long a reset may follow the end of the data. Both are sent back to back and arrive so, but for the
/// variation of delays between data centres.
const RESET_DELAY: Duration = Duration::from_millis(20);

/// Most bytes that are read at once: what the socket's own buffer holds.
const READ_BYTES: usize = 8 << 10;

/// A socket that can be asked for an error which no read or write has reported.
pub(super) trait Socket: AsyncRead + Write + Unpin {
    /// Returns the pending error and clears it.
    fn take_error(&self) -> io::Result<Option<io::Error>>;
}

/// A TCP socket.
pub(super) struct TcpSocket {
    stream: HyperStream<TcpStream>,
    handle: TcpStream,
}

impl TcpSocket {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            handle: stream.clone(),
            stream: HyperStream::new_plain(stream),
        }
    }
}

impl AsyncRead for TcpSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        AsyncRead::poll_read(Pin::new(&mut self.stream), cx, buf)
    }
}

impl Write for TcpSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Write::poll_write(Pin::new(&mut self.stream), cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Write::poll_flush(Pin::new(&mut self.stream), cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Write::poll_shutdown(Pin::new(&mut self.stream), cx)
    }
}

impl Socket for TcpSocket {
    fn take_error(&self) -> io::Result<Option<io::Error>> {
        SockRef::from(&self.handle).take_error()
    }
}

/// What a connection and its stream know of the answer that is under way.
#[derive(Clone, Debug, Default)]
pub(super) struct Exchange(Rc<ExchangeState>);

#[derive(Debug, Default)]
struct ExchangeState {
    informational: Informational,
    answer: Cell<Answer>,
}

/// State of the answer to the last request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Answer {
    /// No byte of it has arrived.
    #[default]
    NotBegun,
    /// Some of it has arrived.
    Begun,
    /// All of it was read.
    Read,
}

impl Exchange {
    /// Begins the exchange of `request`.
    pub(super) fn begin<B>(&self, request: &mut Request<B>) {
        self.0.informational.count_before_answer(request);
        self.0.answer.set(Answer::NotBegun);
    }

    /// Ends the exchange: the whole answer was read.
    pub(super) fn end(&self) {
        self.0.answer.set(Answer::Read);
    }

    fn received(&self) {
        if self.0.answer.get() == Answer::NotBegun {
            self.0.answer.set(Answer::Begun);
        }
    }

    /// Whether the end of the connection may end an answer.
    fn may_end_answer(&self) -> bool {
        self.0.answer.get() == Answer::Begun
    }
}

/// What was written of the request.
#[derive(Debug)]
enum Sending {
    /// All that was handed over.
    Written,
    /// Not all, or not known.
    Pending,
    /// The connection failed meanwhile.
    Failed(io::ErrorKind),
}

/// Stream for hyper, which must be given the whole body of a request at once: hyper flushes only when it has
/// written all that it holds, so that a flush then means that the request is written.
pub(super) struct RequestStream<S> {
    socket: S,
    exchange: Exchange,
    sending: Sending,
    /// Whether the other side has sent all that it will.
    is_at_end: bool,
    /// Wakes the reader, which waits for the request to be written.
    reader: Option<Waker>,
    /// Runs until a reset could have followed the end.
    reset_delay: Option<Pin<Box<dyn Sleep>>>,
}

impl<S: Socket> RequestStream<S> {
    pub(super) fn new(socket: S, exchange: Exchange) -> Self {
        Self {
            socket,
            exchange,
            sending: Sending::Written,
            is_at_end: false,
            reader: None,
            reset_delay: None,
        }
    }

    /// Reports the end of the data, or the reset that it hides.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.exchange.may_end_answer() {
            return Poll::Ready(Ok(()));
        }
        match self.sending {
            Sending::Failed(kind) => {
                let reason = "the connection failed before the end of the request";
                return Poll::Ready(Err(io::Error::new(kind, reason)));
            }
            Sending::Pending => {
                self.reader = Some(cx.waker().clone());
                return Poll::Pending;
            }
            Sending::Written => {}
        }
        self.check_reset()?;
        let delay = self
            .reset_delay
            .get_or_insert_with(|| HttpTimer.sleep(RESET_DELAY));
        ready!(delay.as_mut().poll(cx));
        self.check_reset()?;
        self.exchange.end();
        Poll::Ready(Ok(()))
    }

    fn check_reset(&mut self) -> io::Result<()> {
        let Some(error) = self.socket.take_error()? else {
            return Ok(());
        };
        self.sending = Sending::Failed(error.kind());
        Err(error)
    }

    /// Notes the outcome of writing to the socket.
    fn record<T>(&mut self, written: &Poll<io::Result<T>>) {
        if let Poll::Ready(Err(e)) = written {
            self.sending = Sending::Failed(e.kind());
            self.wake_reader();
        }
    }

    fn wake_reader(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

impl<S: Socket> Read for RequestStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.exchange.0.informational.is_excessive() {
            let reason = "too many informational responses";
            return Poll::Ready(Err(io::Error::other(reason)));
        }
        if self.is_at_end {
            return self.poll_end(cx);
        }
        let mut bytes = [0; READ_BYTES];
        let room = buf.remaining().min(READ_BYTES);
        let read = AsyncRead::poll_read(Pin::new(&mut self.socket), cx, &mut bytes[..room]);
        let len = ready!(read)?;
        if len == 0 && room > 0 {
            self.is_at_end = true;
            return self.poll_end(cx);
        }
        self.exchange.received();
        buf.put_slice(&bytes[..len]);
        Poll::Ready(Ok(()))
    }
}

impl<S: Socket> Write for RequestStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if matches!(self.sending, Sending::Written) {
            self.sending = Sending::Pending;
        }
        // The socket's stream copies what it is given, however much that is.
        let flushed = Write::poll_flush(Pin::new(&mut self.socket), cx);
        self.record(&flushed);
        ready!(flushed)?;
        let piece = &buf[..buf.len().min(MAX_WRITE_BYTES)];
        let written = Write::poll_write(Pin::new(&mut self.socket), cx, piece);
        self.record(&written);
        written
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
        let flushed = Write::poll_flush(Pin::new(&mut self.socket), cx);
        self.record(&flushed);
        ready!(flushed)?;
        if matches!(self.sending, Sending::Pending) {
            self.sending = Sending::Written;
            self.wake_reader();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Write::poll_shutdown(Pin::new(&mut self.socket), cx)
    }
}
