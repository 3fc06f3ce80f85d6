use std::cell::RefCell;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use futures_util::AsyncRead;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::rt::{Read, ReadBuf, Write};
use test_case::test_case;

use super::stream::{Exchange, RequestStream, Socket};

/// A request that takes several writes.
const REQUEST_BYTES: usize = 100 << 10;
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\n\r\npart";

/// What becomes of the bytes that are written after the first ones.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Writes {
    #[default]
    Accepted,
    Blocked,
    /// They report the reset, which no read will report then.
    Reset,
}

#[derive(Default)]
struct State {
    writes: Writes,
    has_request: bool,
    answer: Vec<u8>,
    /// Whether the end of the data doesn't follow the answer yet.
    stays_open: bool,
    pending_error: Option<io::ErrorKind>,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

/// A socket whose other side answers without a length as soon as it has the first bytes of a request, and
/// then ends its side.
#[derive(Clone, Default)]
struct FakeSocket(Rc<RefCell<State>>);

impl FakeSocket {
    fn new(writes: Writes) -> Self {
        let socket = Self::default();
        let mut state = socket.0.borrow_mut();
        state.writes = writes;
        state.answer = ANSWER.to_vec();
        drop(state);
        socket
    }

    fn set_writes(&self, writes: Writes) {
        let mut state = self.0.borrow_mut();
        state.writes = writes;
        if let Some(writer) = state.writer.take() {
            writer.wake();
        }
    }

    /// Ends a side that was kept open.
    fn end(&self) {
        let mut state = self.0.borrow_mut();
        state.stays_open = false;
        if let Some(reader) = state.reader.take() {
            reader.wake();
        }
    }
}

impl AsyncRead for FakeSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.0.borrow_mut();
        let is_silent = !state.has_request || state.answer.is_empty() && state.stays_open;
        if is_silent {
            state.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let len = state.answer.len().min(buf.len());
        buf[..len].copy_from_slice(&state.answer[..len]);
        state.answer.drain(..len);
        Poll::Ready(Ok(len))
    }
}

impl Write for FakeSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.0.borrow_mut();
        if !state.has_request {
            state.has_request = true;
            if let Some(reader) = state.reader.take() {
                reader.wake();
            }
            return Poll::Ready(Ok(buf.len()));
        }
        match state.writes {
            Writes::Accepted => Poll::Ready(Ok(buf.len())),
            Writes::Blocked => {
                state.writer = Some(cx.waker().clone());
                Poll::Pending
            }
            Writes::Reset => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl Socket for FakeSocket {
    fn take_error(&self) -> io::Result<Option<io::Error>> {
        let error = self.0.borrow_mut().pending_error.take();
        Ok(error.map(io::Error::from))
    }
}

/// Sends a request and reads the answer; returns its body if it is whole.
async fn whole_body(socket: FakeSocket) -> Option<Bytes> {
    let exchange = Exchange::default();
    let stream = RequestStream::new(socket, exchange.clone());
    let (mut sender, connection) = http1::handshake(stream).await.unwrap();
    compio::runtime::spawn(async {
        let _ = connection.await;
    })
    .detach();
    let body = Full::new(Bytes::from(vec![b'x'; REQUEST_BYTES]));
    let mut request = Request::new(body);
    exchange.begin(&mut request);
    let response = sender.send_request(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?;
    Some(body.to_bytes())
}

/// A write takes the error of a reset, and the read beside it reports an end: the part that arrived is taken for
/// the whole answer.
#[compio::test]
async fn end_beside_a_write_that_fails_is_none_of_an_answer() {
    let socket = FakeSocket::new(Writes::Blocked);
    socket.0.borrow_mut().stays_open = true;
    let reset = socket.clone();
    compio::runtime::spawn(async move {
        compio::time::sleep(Duration::from_millis(50)).await;
        reset.set_writes(Writes::Reset);
        reset.end();
    })
    .detach();
    assert_eq!(whole_body(socket).await, None);
}

/// As before, and the write is reported first.
#[compio::test]
async fn end_after_a_write_that_failed_is_none_of_an_answer() {
    assert_eq!(whole_body(FakeSocket::new(Writes::Reset)).await, None);
}

/// The answer ends while the request is still written, and then the connection is reset.
#[compio::test]
async fn end_before_a_write_that_fails_is_none_of_an_answer() {
    let socket = FakeSocket::new(Writes::Blocked);
    let reset = socket.clone();
    compio::runtime::spawn(async move {
        compio::time::sleep(Duration::from_millis(50)).await;
        reset.set_writes(Writes::Reset);
    })
    .detach();
    assert_eq!(whole_body(socket).await, None);
}

/// The answer ends while the request is still written, and the rest of the request is read: both sides ended
/// in order.
#[compio::test]
async fn end_before_the_end_of_the_request_ends_an_answer() {
    let socket = FakeSocket::new(Writes::Blocked);
    let reads_on = socket.clone();
    compio::runtime::spawn(async move {
        compio::time::sleep(Duration::from_millis(50)).await;
        reads_on.set_writes(Writes::Accepted);
    })
    .detach();
    assert_eq!(whole_body(socket).await.as_deref(), Some(&b"part"[..]));
}

/// The request was written whole before the answer ended, and a reset follows that no read or write reports.
#[test_case(0, false; "at once")]
#[test_case(3, false; "3 ms later")]
#[test_case(1_000, true; "long after the connection was closed")]
#[compio::test]
async fn reset_that_follows_the_end_is_noticed(delay_ms: u64, is_whole: bool) {
    let socket = FakeSocket::new(Writes::Accepted);
    let reset = socket.clone();
    let set = move || reset.0.borrow_mut().pending_error = Some(io::ErrorKind::BrokenPipe);
    if delay_ms == 0 {
        set();
    } else {
        compio::runtime::spawn(async move {
            compio::time::sleep(Duration::from_millis(delay_ms)).await;
            set();
        })
        .detach();
    }
    assert_eq!(whole_body(socket).await.is_some(), is_whole);
}

/// The end of an idle connection is reported late, and requests are sent on it meanwhile.
#[test_case(false; "no byte of an answer")]
#[test_case(true; "whole answer")]
fn end_that_ends_no_answer_is_reported_at_once(was_read: bool) {
    let socket = FakeSocket::new(Writes::Accepted);
    socket.0.borrow_mut().answer.clear();
    socket.0.borrow_mut().has_request = true;
    let exchange = Exchange::default();
    if was_read {
        exchange.end();
    }
    let mut stream = pin!(RequestStream::new(socket, exchange));
    let mut bytes = [0; 16];
    let mut buf = ReadBuf::new(&mut bytes);
    let mut cx = Context::from_waker(Waker::noop());
    let read = stream.as_mut().poll_read(&mut cx, buf.unfilled());
    assert!(matches!(read, Poll::Ready(Ok(()))), "{read:?}");
}
