//! Records of all requests and faults, collected during the run.

use std::collections::BTreeMap;

use crate::support::CallOutcome;

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum RequestKind {
    Chat,
    Lookup,
    Entry,
}

/// One request and its outcome.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub(crate) kind: RequestKind,
    /// Empty if no response began.
    pub(crate) request_id: String,
    /// Idempotency key; empty unless the request is an entry.
    pub(crate) key: String,
    pub(crate) result: CallOutcome,
    /// Whether the content of the response belongs to the request.
    pub(crate) content_matches: bool,
    /// Whether a successful response had begun.
    pub(crate) began: bool,
    pub(crate) router: u8,
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
    /// Whether this is a retry at the time given by a refusal.
    pub(crate) is_retry: bool,
}

/// A planned stop of a router.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedStop {
    pub(crate) router: u8,
    pub(crate) at_ms: u64,
    pub(crate) exited_ms: Option<u64>,
}

/// New requests that a draining upstream received.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamDrain {
    pub(crate) upstream: String,
    /// Number of runs after the drain was in force at every router.
    pub(crate) new_runs: usize,
    /// Time until the drain was in force at every router; `None` if that exceeded the limit.
    pub(crate) in_force_ms: Option<u64>,
}

#[derive(Debug, Default)]
pub(crate) struct Ledger {
    pub(crate) outcomes: Vec<Outcome>,
    pub(crate) faults: BTreeMap<&'static str, u32>,
    /// Periods in which a router was killed or frozen, other than by a planned stop.
    pub(crate) router_faults_ms: Vec<(u64, u64)>,
    pub(crate) stops: Vec<PlannedStop>,
    pub(crate) drains: Vec<UpstreamDrain>,
    /// Accounts whose creation was reported as accepted.
    pub(crate) accepted: Vec<String>,
    /// Decreases of a router's version without a restart.
    pub(crate) reverts: Vec<String>,
    /// Samples of the load of the busiest engine divided by the mean.
    pub(crate) skews: Vec<f64>,
}
