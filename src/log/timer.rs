//! Clocks and sleeping behind a trait, so that tests can replace them.

use std::time::Duration;

use crate::util::{Clock, wall_ms};

/// A reading of both clocks of a host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Wall time, accurate to within half of [`crate::log::claims::CLOCK_MARGIN_MS`].
    pub wall_ms: u64,
    /// Monotonic time.
    pub mono_ms: u64,
}

/// The clocks of a host, and sleeping.
pub trait Timer {
    /// Reads the clocks.
    fn now(&self) -> Now;

    /// Sleeps for `time`.
    fn sleep(&self, time: Duration) -> impl Future<Output = ()>;
}

/// The real clocks of the host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SystemTimer(Clock);

impl SystemTimer {
    pub(crate) fn new(clock: Clock) -> Self {
        Self(clock)
    }
}

impl Timer for SystemTimer {
    fn now(&self) -> Now {
        Now {
            wall_ms: wall_ms(),
            mono_ms: self.0.now_ms(),
        }
    }

    async fn sleep(&self, time: Duration) {
        compio::time::sleep(time).await;
    }
}
