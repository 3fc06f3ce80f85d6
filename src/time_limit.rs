//! A time limit that counts nothing as late that has arrived.

use std::pin::{Pin, pin};
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use snafu::Snafu;

/// Upper bound of the time in which a future may take what has arrived, after a timer that ran late: enough
/// to read what waits on thousands of connections.
const CATCH_UP: Duration = Duration::from_millis(200);

/// A time limit was exceeded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("time limit exceeded"))]
pub(crate) struct Elapsed;

/// Runs `future` for at most `limit`, and for as long again as the timer ran late, up to [`CATCH_UP`].
///
/// Failure guarded against: a process gets no processor time for a second. When it goes on, all its timers have
/// run out while what they wait for has arrived, but was not read. Answers, connections and reads of many
/// requests count as failed at once.
pub(crate) async fn within<F: Future>(limit: Duration, future: F) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    let due = Instant::now() + limit;
    if let Some(output) = run_until(due, future.as_mut()).await {
        return Ok(output);
    }
    let now = Instant::now();
    let late = now.saturating_duration_since(due);
    let caught_up = run_until(now + late.min(CATCH_UP), future).await;
    caught_up.ok_or(Elapsed)
}

/// Runs `future` until `due`; if both are ready, its output counts.
async fn run_until<F: Future>(due: Instant, future: Pin<&mut F>) -> Option<F::Output> {
    let timer = pin!(compio::time::sleep_until(due));
    match select(future, timer).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(_) => None,
    }
}

#[cfg(test)]
#[path = "time_limit_tests.rs"]
mod time_limit_tests;
