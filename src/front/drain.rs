//! Drain state of a router: the phase of a planned stop and the requests in flight.
//!
//! Failure guarded against: a stopping router cuts answers in flight, and callers that still use
//! its address can't connect. The router therefore announces the stop, keeps serving until no valid
//! entry answer names it, then refuses new work and stops when the last answer is sent.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use http::header::CONNECTION;
use http::{HeaderValue, Response};
use http_body::{Body, Frame, SizeHint};
use strum::IntoStaticStr;

/// Interval between checks whether requests are in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the kernel to send the last bytes after the last request was counted as finished.
const FLUSH_DELAY: Duration = Duration::from_millis(100);

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, Default, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Phase {
    /// No stop is planned.
    #[default]
    Serving,
    /// The stop is announced; callers and peers that aren't aware of it are still served.
    Leaving,
    /// New work is refused; requests in flight are finished.
    Refusing,
}

/// Drain state, shared by the tasks that accept work.
#[derive(Clone, Debug, Default)]
pub(crate) struct Drain {
    phase: Rc<Cell<Phase>>,
    in_flight: Rc<Cell<usize>>,
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub(crate) struct InFlight(Rc<Cell<usize>>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Drain {
    pub(crate) fn begin(&self) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(self.in_flight.clone())
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    pub(crate) fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        let name: &'static str = phase.into();
        log::info!("{name}, {} in flight", self.in_flight());
    }

    /// Waits until no request is in flight and none arrives while the last bytes are sent, for at
    /// most `limit`; returns the number that remain.
    pub(crate) async fn wait_until_idle(&self, limit: Duration) -> usize {
        let started = Instant::now();
        loop {
            while self.in_flight() > 0 && started.elapsed() < limit {
                compio::time::sleep(POLL_INTERVAL).await;
            }
            compio::time::sleep(FLUSH_DELAY).await;
            if self.in_flight() == 0 || started.elapsed() >= limit {
                return self.in_flight();
            }
        }
    }

    pub(crate) fn phase(&self) -> Phase {
        self.phase.get()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.phase.get() != Phase::Serving
    }

    /// Adds `connection: close` while stopping, so that the caller connects to another router.
    pub(crate) fn close_if_stopping<B>(&self, response: &mut Response<B>) {
        if self.is_stopping() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
    }
}

impl InFlight {
    /// Counts `response` as in flight until its body is dropped.
    pub(crate) fn track<B>(self, response: Response<B>) -> Response<Tracked<B, Self>> {
        response.map(|body| Tracked {
            body,
            _in_flight: self,
        })
    }

    /// Counts `response` as in flight until its body is dropped and then flushed.
    pub(crate) fn track_until_flushed<B>(
        self,
        response: Response<B>,
        unflushed: &Unflushed,
    ) -> Response<Tracked<B, UntilFlushed>> {
        let in_flight = UntilFlushed {
            in_flight: Some(self),
            unflushed: unflushed.clone(),
        };
        response.map(|body| Tracked {
            body,
            _in_flight: in_flight,
        })
    }
}

/// Requests of one connection whose answers are complete, but not yet passed to the kernel.
///
/// Failure guarded against: a caller reads slowly, and the router exits with the rest of the answer
/// in its buffers, because hyper has dropped the body.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unflushed(Rc<RefCell<Vec<InFlight>>>);

impl Unflushed {
    /// Records that everything written to the connection was passed to the kernel.
    pub(crate) fn flushed(&self) {
        self.0.borrow_mut().clear();
    }
}

/// Counts a request as in flight until the connection is flushed after this is dropped.
pub(crate) struct UntilFlushed {
    in_flight: Option<InFlight>,
    unflushed: Unflushed,
}

impl Drop for UntilFlushed {
    fn drop(&mut self) {
        let mut unflushed = self.unflushed.0.borrow_mut();
        unflushed.extend(self.in_flight.take());
    }
}

/// Response body that counts as in flight.
pub(crate) struct Tracked<B, F> {
    body: B,
    _in_flight: F,
}

impl<B: Body + Unpin, F: Unpin> Body for Tracked<B, F> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
