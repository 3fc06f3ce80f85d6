//! Response bodies, complete or streamed from a channel.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::future::{Either, select};
use futures_util::pin_mut;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// A response body.
pub(crate) enum Answer {
    /// A complete body.
    Whole(Option<Bytes>),
    /// A stream of chunks; an error closes the connection, so that the caller can detect that the
    /// answer was cut.
    Stream(mpsc::Receiver<io::Result<Bytes>>),
}

impl Answer {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// Whether a task still sends chunks of this body.
    pub(crate) fn has_sender(&self) -> bool {
        matches!(self, Self::Stream(rx) if !rx.is_closed())
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(rx) => rx
                .poll_recv(cx)
                .map(|next| next.map(|r| r.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Returns the next item of `rx`, or `None` once the receiver of `tx` is dropped. Otherwise a
/// caller that disconnects while its request is queued would only be noticed at the next send, and
/// its request would stay queued and run although nobody receives the answer.
pub(crate) async fn recv_while_open<T, U>(
    rx: &mut mpsc::Receiver<T>,
    tx: &mpsc::Sender<U>,
) -> Option<T> {
    let next = rx.recv();
    let closed = tx.closed();
    pin_mut!(next, closed);
    match select(next, closed).await {
        Either::Left((item, _)) => item,
        Either::Right(_) => None,
    }
}
