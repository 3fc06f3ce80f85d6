//! Drain state of a router: the phase of a planned stop and the requests in flight.
//!
//! Failure guarded against: a stopping router cuts answers in flight, and callers that still use
//! its address can't connect. The router therefore announces the stop, keeps serving until no valid
//! entry answer names it, then refuses new work and stops when the last answer is sent.

use std::cell::Cell;
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
    pub(crate) fn track<B>(self, response: Response<B>) -> Response<Tracked<B>> {
        response.map(|body| Tracked {
            body,
            _in_flight: self,
        })
    }
}

/// Response body that counts as in flight until it is dropped.
pub(crate) struct Tracked<B> {
    body: B,
    _in_flight: InFlight,
}

impl<B: Body + Unpin> Body for Tracked<B> {
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
