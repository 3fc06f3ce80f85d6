//! Time limits that count nothing as late that has arrived.

use std::pin::{Pin, pin};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use cyper_core::CompioTimer;
use futures_util::future::{Either, select};
use hyper::rt::{Sleep, Timer};
use snafu::Snafu;

/// Upper bound of the time in which a future may take what has arrived, after a timer that ran late: enough
/// to read what waits on thousands of connections.
const CATCH_UP: Duration = Duration::from_millis(200);

/// A time limit was exceeded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("time limit exceeded"))]
pub(crate) struct Elapsed;

/// Runs `future` for at most `limit`, as [`run_out`] has it. If both are ready, the output counts.
///
/// Failure guarded against: a process gets no processor time for a second. When it goes on, all its timers have
/// run out while what they wait for has arrived, but was not read. Answers, connections and reads of many
/// requests count as failed at once.
pub(crate) async fn within<F: Future>(limit: Duration, future: F) -> Result<F::Output, Elapsed> {
    match select(pin!(future), pin!(run_out(limit))).await {
        Either::Left((output, _)) => Ok(output),
        Either::Right(_) => Err(Elapsed),
    }
}

/// Waits until `limit` has passed, and for as long again as the timer ran late, up to [`CATCH_UP`].
pub(crate) async fn run_out(limit: Duration) {
    let due = Instant::now() + limit;
    compio::time::sleep_until(due).await;
    compio::time::sleep(lateness(due)).await;
}

fn lateness(due: Instant) -> Duration {
    Instant::now().saturating_duration_since(due).min(CATCH_UP)
}

/// The timer of HTTP connections, whose time limits run out as [`run_out`] has it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HttpTimer;

impl Timer for HttpTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, due: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(HttpSleep {
            inner: CompioTimer.sleep_until(due),
            due: Some(due),
        })
    }
}

struct HttpSleep {
    inner: Pin<Box<dyn Sleep>>,
    /// `None` once the time in which to catch up has begun.
    due: Option<Instant>,
}

impl Sleep for HttpSleep {}

impl Future for HttpSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        ready!(self.inner.as_mut().poll(cx));
        if let Some(due) = self.due.take() {
            self.inner = CompioTimer.sleep(lateness(due));
            ready!(self.inner.as_mut().poll(cx));
        }
        Poll::Ready(())
    }
}

#[cfg(test)]
#[path = "time_limit_tests.rs"]
mod time_limit_tests;
