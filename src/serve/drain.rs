//! A planned stop: what this router still takes, what is in flight, and how it ends.
//!
//! Failure guarded against: a router that is stopped cuts the answers it carries, and callers that
//! still hold its address run into a closed door. It announces the stop first, keeps serving until
//! no entry answer names it any more, then refuses new work and ends when the last answer left.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use http::header::CONNECTION;
use http::{HeaderValue, Response};
use http_body::{Body, Frame, SizeHint};
use strum::IntoStaticStr;
use tokio::sync::oneshot;

use crate::decide::refusal::Cause;
use crate::event::Kind;
use crate::fleet::gossip::Note;
use crate::schema::peer;
use crate::serve::{Ctx, refuse};
use crate::stats;

/// How often the end of what is in flight is looked for.
const LOOK: Duration = Duration::from_millis(20);
/// For the last bytes of the last answer to leave after it was counted as ended.
const LAST_BYTES: Duration = Duration::from_millis(100);
/// Waits at most this long for the others to be told.
const GOODBYE: Duration = Duration::from_millis(500);
/// When a refused caller should come back, to another router: by now its list is old.
const RETRY_AFTER_MS: u64 = 100;

/// How far the stop is.
#[derive(Clone, Copy, Debug, Default, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Phase {
    /// No stop is planned.
    #[default]
    Serving,
    /// Announced; callers and peers that haven't heard are still served.
    Leaving,
    /// New work is refused; what is in flight ends.
    Refusing,
}

/// The state of the stop, shared by the tasks that take work.
#[derive(Clone, Debug, Default)]
pub(crate) struct Drain {
    phase: Rc<Cell<Phase>>,
    in_flight: Rc<Cell<usize>>,
}

/// Counts one request as long as it lives.
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
    }

    pub(crate) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Refuses work that comes too late.
    pub(crate) fn admit(&self) -> Result<(), peer::Refusal> {
        if self.phase.get() == Phase::Refusing {
            stats::home_refused("stopping");
            let detail = "this router is stopping: ask for new entry addresses";
            return Err(refuse::not_run(Cause::Draining, RETRY_AFTER_MS, detail));
        }
        Ok(())
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.phase.get() != Phase::Serving
    }

    /// While stopping, asks the caller to open its next connection elsewhere.
    pub(crate) fn mark<B>(&self, response: &mut Response<B>) {
        if self.is_stopping() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
    }
}

impl InFlight {
    /// Counts `response` until its last byte was taken.
    pub(crate) fn carry<B>(self, response: Response<B>) -> Response<Tracked<B>> {
        response.map(|body| Tracked {
            body,
            _in_flight: self,
        })
    }
}

/// A response body that counts as in flight until it is dropped.
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

/// Stops by plan; returns when the process may end.
pub(crate) async fn run(ctx: &Ctx) {
    let fleet = ctx.settings.fleet.clone().unwrap_or_default();
    let drain = &ctx.drain;
    enter(ctx, Phase::Leaving);
    ctx.gossip.note(Note::Leave);
    let news_ms = news_ms(fleet.probe_interval_ms, ctx.fleet().members.len());
    let old_ms = news_ms + u64::from(fleet.entry_ttl_ms);
    compio::time::sleep(Duration::from_millis(old_ms)).await;
    enter(ctx, Phase::Refusing);
    let limit_ms = ctx.clock.now_ms() + u64::from(fleet.drain_limit_ms);
    while drain.in_flight.get() > 0 && ctx.clock.now_ms() < limit_ms {
        compio::time::sleep(LOOK).await;
    }
    let cut = drain.in_flight.get();
    compio::time::sleep(LAST_BYTES).await;
    let (done, told) = oneshot::channel();
    ctx.gossip.note(Note::Goodbye(done));
    let _ = compio::time::timeout(GOODBYE, told).await;
    ctx.events.emit(Kind::RouterStopped, |e| {
        e.detail = format!("{cut} still in flight at the limit");
    });
}

/// Until all have heard of the leave: only then is the last entry answer given that names this
/// router. On the virtual clock of `benches/fleet` it took 1.7 s at 9 routers and 3.5 s at 390.
fn news_ms(probe_interval_ms: u32, routers: usize) -> u64 {
    let rounds = u64::from(routers.max(2).ilog2()) + 1;
    u64::from(probe_interval_ms) * rounds
}

fn enter(ctx: &Ctx, phase: Phase) {
    ctx.drain.phase.set(phase);
    let in_flight = ctx.drain.in_flight.get();
    let phase: &'static str = phase.into();
    log::info!("{phase}, {in_flight} in flight");
    ctx.events.emit(Kind::RouterDraining, |e| {
        e.detail = format!("{phase}, {in_flight} in flight");
    });
}
