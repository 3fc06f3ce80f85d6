//! Time as it comes into this layer, so that a test can bring its own.

use std::time::Duration;

use crate::util::{Clock, wall_ms};

/// Both clocks of a host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Wall time, right to within half of [`crate::log::claims::CLOCK_MARGIN_MS`].
    pub wall_ms: u64,
    /// Monotonic.
    pub mono_ms: u64,
}

/// A host's clocks, and how to wait.
pub trait Timer {
    /// What the clocks show.
    fn now(&self) -> Now;

    /// Waits.
    fn pause(&self, time: Duration) -> impl Future<Output = ()>;
}

/// The host's own clocks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RealTime(Clock);

impl RealTime {
    pub(crate) fn new(clock: Clock) -> Self {
        Self(clock)
    }
}

impl Timer for RealTime {
    fn now(&self) -> Now {
        Now {
            wall_ms: wall_ms(),
            mono_ms: self.0.now_ms(),
        }
    }

    async fn pause(&self, time: Duration) {
        compio::time::sleep(time).await;
    }
}
