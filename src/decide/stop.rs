//! Times of a planned stop, and which requests can end before it.
//!
//! Load pattern: a router is stopped while callers still use its address, and some answers take longer than
//! the grace time. A request that is taken and cut loses its answer; one that is refused as not run costs its
//! caller a round trip to another router. So only what most likely ends in time is taken.

/// Share of the grace time after which the process exits by itself. The rest is for the last log lines.
const EXIT_SHARE: f64 = 0.95;
/// Share of the grace time after which requests that no upstream has are refused, which leaves time to send
/// the refusals.
const CLOSE_SHARE: f64 = 0.9;
/// Share of the grace time that requests in flight get, however late the signal was noticed: their callers
/// count on most of it.
const LEAST_SHARE: f64 = 5.0 / 6.0;
/// Share of the time until the exit that the announcement may take.
const MAX_NOTICE_SHARE: f64 = 0.5;
/// A request without recent answers of its route takes at most this multiple of its objective: the time of two
/// attempts.
const OBJECTIVE_FACTOR: u64 = 4;

/// When the signal to stop was sent, as far as this process can tell. It may have lacked processor time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopSignal {
    /// Last time at which the process ran without the signal.
    pub(crate) earliest_ms: u64,
    pub(crate) noticed_ms: u64,
}

/// Times at which a planned stop goes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct StopTimes {
    /// End of the announcement: new requests are refused.
    pub(crate) refuse_ms: u64,
    /// Requests that no upstream has are refused.
    pub(crate) close_ms: u64,
    /// The process exits.
    pub(crate) exit_ms: u64,
}

impl StopTimes {
    /// Returns the times of a stop with an announcement of `notice_ms`.
    ///
    /// All of them count from the earliest time at which the signal may have been sent, as the process is
    /// killed `grace_ms` after it. Only the exit is put off if requests in flight would get too little of the
    /// grace time because of that: it would be wrong if the signal was sent late.
    pub(crate) fn new(signal: StopSignal, notice_ms: u64, grace_ms: u64) -> Self {
        let StopSignal {
            earliest_ms,
            noticed_ms,
        } = signal;
        let share = |share: f64| (grace_ms as f64 * share) as u64;
        let exit_ms = (earliest_ms + share(EXIT_SHARE)).max(noticed_ms + share(LEAST_SHARE));
        Self {
            refuse_ms: earliest_ms + notice_ms.min(share(EXIT_SHARE * MAX_NOTICE_SHARE)),
            close_ms: earliest_ms + share(CLOSE_SHARE),
            exit_ms,
        }
    }
}

/// What is known of how long a request will take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Expected {
    /// Long answer of its route lately, if there were enough answers.
    pub(crate) lately_ms: Option<u64>,
    /// Objective for the whole answer; `None` for streams, whose objective says nothing of their end.
    pub(crate) objective_ms: Option<u64>,
    /// Time left by the limits of the caller and of the route.
    pub(crate) limit_ms: u64,
}

impl Expected {
    /// Returns the time in which the request will most likely have ended.
    pub(crate) fn longest_ms(self) -> u64 {
        let by_objective = self
            .objective_ms
            .map(|ms| ms.saturating_mul(OBJECTIVE_FACTOR));
        let known_ms = self.lately_ms.or(by_objective);
        known_ms.map_or(self.limit_ms, |ms| ms.min(self.limit_ms))
    }
}
