//! Drain state of a router: the phase of a planned stop and the requests in flight.
//!
//! Failure guarded against: a stopping router cuts answers in flight, and callers that still use
//! its address can't connect. The router therefore announces the stop, keeps serving until no valid
//! entry answer names it, then refuses new work and stops when the last answer is sent.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Response};
use http_body::{Body, Frame, SizeHint};
use strum::IntoStaticStr;
use tokio::sync::{Notify, watch};

use crate::event::Events;
use crate::front::body::Answer;
use crate::front::in_flight::{ConnectionEnd, InFlight, Requests, Stage};
use crate::socket::OtherEnd;
use crate::time_limit::within;

/// Interval between checks whether requests are in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the kernel to send the last bytes after the last request was counted as finished.
const FLUSH_DELAY: Duration = Duration::from_millis(100);
/// Time limit for closing the links to other routers. One that doesn't answer for so long counts as lost
/// anyway.
const LINKS_LIMIT: Duration = OtherEnd::Peer.unacked_limit();
/// Bytes of an answer that may wait for the kernel. The parser's own bound on them is that of its buffer for
/// heads, which is far larger.
const MAX_UNFLUSHED_BYTES: usize = 32 << 10;

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, Default, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Phase {
    /// No stop is planned.
    #[default]
    Serving,
    /// The stop is announced; callers and peers that aren't aware of it are still served.
    Leaving,
    /// New work is refused; requests in flight are finished.
    Refusing,
    /// Requests that no upstream has are refused too.
    Closing,
}

/// When a planned stop goes on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Schedule {
    /// New work is refused from then on.
    pub(crate) refuse: Instant,
    /// Requests that no upstream has are refused.
    pub(crate) close: Instant,
    /// The process exits.
    pub(crate) exit: Instant,
}

impl Schedule {
    fn phase(&self) -> Phase {
        let now = Instant::now();
        if now >= self.close {
            Phase::Closing
        } else if now >= self.refuse {
            Phase::Refusing
        } else {
            Phase::Leaving
        }
    }
}

/// Drain state, shared by the tasks that accept work.
#[derive(Clone, Debug)]
pub(crate) struct Drain {
    phase: Rc<Cell<Phase>>,
    schedule: Rc<Cell<Option<Schedule>>>,
    /// Notified when a stop is planned.
    planned: Rc<Notify>,
    requests: Requests,
    /// Whether links to other routers are closed. Each open one holds a receiver.
    closes_links: watch::Sender<bool>,
}

impl Drain {
    /// Creates the state of a router that serves. Requests that end without a whole answer are reported to
    /// `events`.
    pub(crate) fn new(events: Events) -> Self {
        Self {
            phase: Rc::default(),
            schedule: Rc::default(),
            planned: Rc::default(),
            requests: Requests::new(events),
            closes_links: watch::Sender::new(false),
        }
    }

    /// Counts a request that arrived on the connection of `connection`.
    pub(crate) fn begin(&self, connection: &ConnectionEnd) -> InFlight {
        self.requests.begin(connection)
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Begins a stop that goes on by the clock.
    ///
    /// Failure guarded against: the process gets no processor time when a phase ends, and then handles requests
    /// that have arrived since before the timer that ends the phase.
    pub(crate) fn plan(&self, schedule: Schedule) {
        self.schedule.set(Some(schedule));
        self.planned.notify_waiters();
    }

    /// Returns once requests that no upstream has are refused.
    pub(crate) async fn closing(&self) {
        let planned = self.planned.notified();
        if self.schedule.get().is_none() {
            planned.await;
        }
        if let Some(schedule) = self.schedule.get() {
            compio::time::sleep_until(schedule.close).await;
        }
    }

    pub(crate) fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        let name: &'static str = phase.into();
        let (count, named) = (self.in_flight(), self.requests.describe());
        log::info!(requests = named; "{name}, {count} in flight");
    }

    /// Reports each request that is still in flight as cut by the end of this process.
    pub(crate) fn report_stop(&self) {
        self.requests.report_stop();
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

    /// Counts a link to another router as open until the result is dropped.
    pub(crate) fn open_link(&self) -> LinkClosing {
        LinkClosing(self.closes_links.subscribe())
    }

    /// Closes the links to other routers once the answers on them are sent, and returns the number of those
    /// that are still open after `limit`.
    ///
    /// Failure guarded against: another router reads late, and this process exits with the rest of its
    /// answers in the links' buffers.
    pub(crate) async fn close_links(&self, limit: Duration) -> usize {
        self.closes_links.send_replace(true);
        let closed = self.closes_links.closed();
        let _ = within(limit.min(LINKS_LIMIT), closed).await;
        self.closes_links.receiver_count()
    }

    pub(crate) fn phase(&self) -> Phase {
        let planned = self.schedule.get().map(|schedule| schedule.phase());
        self.phase.get().max(planned.unwrap_or_default())
    }

    /// Time until the process exits, if a stop is under way.
    pub(crate) fn time_left(&self) -> Option<Duration> {
        let exit = self.schedule.get()?.exit;
        Some(exit.saturating_duration_since(Instant::now()))
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.phase() != Phase::Serving
    }

    /// Adds `connection: close` while stopping, so that the caller connects to another router.
    pub(crate) fn close_if_stopping<B>(&self, response: &mut Response<B>) {
        if self.is_stopping() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
    }
}

/// Notifies an open link to another router when it must close.
pub(crate) struct LinkClosing(watch::Receiver<bool>);

impl LinkClosing {
    pub(crate) async fn wait(&mut self) {
        // Without its sender nothing will close the link.
        if self.0.wait_for(|closes| *closes).await.is_err() {
            std::future::pending().await
        }
    }
}

impl InFlight {
    /// Counts `response` as in flight until its body is dropped.
    pub(crate) fn track(self, response: Response<Answer>) -> Response<Tracked> {
        self.wrap(response, None)
    }

    /// Counts `response` as in flight until its body is dropped and then flushed.
    pub(crate) fn track_until_flushed(
        self,
        response: Response<Answer>,
        unflushed: &Unflushed,
    ) -> Response<Tracked> {
        self.wrap(response, Some(unflushed.clone()))
    }

    fn wrap(self, response: Response<Answer>, unflushed: Option<Unflushed>) -> Response<Tracked> {
        self.tracker().set_stage(Stage::Answering);
        response.map(|body| Tracked {
            body,
            is_passed_on: false,
            in_flight: Some(self),
            unflushed,
        })
    }
}

/// Requests of one connection whose answers are complete, but not yet passed to the kernel.
///
/// Failure guarded against: a caller reads slowly, and the router exits with the rest of the answer
/// in its buffers, because hyper has dropped the body.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unflushed(Rc<RefCell<Written>>);

/// What was written to a connection since all of it was last passed to the kernel.
#[derive(Debug, Default)]
struct Written {
    answered: Vec<InFlight>,
    bytes: usize,
    /// Woken when all is passed on.
    body: Option<Waker>,
}

impl Unflushed {
    /// Returns once a body may write more.
    fn poll_ready(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut written = self.0.borrow_mut();
        if written.bytes < MAX_UNFLUSHED_BYTES {
            return Poll::Ready(());
        }
        written.body = Some(cx.waker().clone());
        Poll::Pending
    }

    fn write(&self, bytes: usize) {
        self.0.borrow_mut().bytes += bytes;
    }

    /// Records that everything written to the connection was passed to the kernel, and returns the number
    /// of requests whose answers are thereby passed on.
    pub(crate) fn flushed(&self) -> usize {
        let written = self.0.take();
        for answered in &written.answered {
            answered.tracker().settle();
        }
        if let Some(body) = written.body {
            body.wake();
        }
        written.answered.len()
    }
}

/// Response body that counts as in flight.
pub(crate) struct Tracked {
    body: Answer,
    /// Whether the whole body was passed on, or an error that its sender reports.
    is_passed_on: bool,
    in_flight: Option<InFlight>,
    unflushed: Option<Unflushed>,
}

impl Drop for Tracked {
    fn drop(&mut self) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        if !self.is_passed_on && !self.body.is_end_stream() {
            if self.body.has_sender() {
                // The sender notices that nobody receives, and reports it.
                in_flight.tracker().settle();
            }
            return;
        }
        match &self.unflushed {
            Some(unflushed) => unflushed.0.borrow_mut().answered.push(in_flight),
            None => in_flight.tracker().settle(),
        }
    }
}

impl Body for Tracked {
    type Data = <Answer as Body>::Data;
    type Error = <Answer as Body>::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let this = self.get_mut();
        if let Some(unflushed) = &this.unflushed {
            ready!(unflushed.poll_ready(cx));
        }
        let poll = Pin::new(&mut this.body).poll_frame(cx);
        if let Some(unflushed) = &this.unflushed
            && let Poll::Ready(Some(Ok(frame))) = &poll
        {
            unflushed.write(frame.data_ref().map_or(0, Bytes::len));
        }
        this.is_passed_on |= matches!(poll, Poll::Ready(None | Some(Err(_))));
        poll
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
