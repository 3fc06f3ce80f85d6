//! What every caller was told, written down as the run goes.

use std::collections::BTreeMap;

use crate::support::CallOutcome;

/// What a request was.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum What {
    Chat,
    Lookup,
    Entry,
}

/// One call and its outcome.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub(crate) what: What,
    /// Empty when no answer began.
    pub(crate) request_id: String,
    /// Empty but for entries.
    pub(crate) key: String,
    pub(crate) told: CallOutcome,
    /// What came belongs to the request.
    pub(crate) own_content: bool,
    /// An answer had begun.
    pub(crate) began: bool,
    pub(crate) router: u8,
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
    /// The caller came back at the time that a refusal told it.
    pub(crate) came_back: bool,
}

/// A planned stop of a router.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    pub(crate) router: u8,
    pub(crate) at_ms: u64,
    pub(crate) exited_ms: Option<u64>,
}

/// New work that a leaving upstream got.
#[derive(Clone, Debug)]
pub(crate) struct Leave {
    pub(crate) upstream: String,
    /// Runs after every router had the change in force.
    pub(crate) new_runs: usize,
    /// How long that took; `None` if it didn't within the limit.
    pub(crate) in_force_ms: Option<u64>,
}

#[derive(Debug, Default)]
pub(crate) struct Ledger {
    pub(crate) outcomes: Vec<Outcome>,
    pub(crate) faults: BTreeMap<&'static str, u32>,
    /// When something else than a planned stop ended or froze a router.
    pub(crate) router_faults_ms: Vec<(u64, u64)>,
    pub(crate) stops: Vec<Stop>,
    pub(crate) leaves: Vec<Leave>,
    /// Accounts whose creation was told as accepted.
    pub(crate) accepted: Vec<String>,
    /// Versions that went down at one router without a restart.
    pub(crate) reverts: Vec<String>,
    /// Busiest engine over the mean, sampled.
    pub(crate) skews: Vec<f64>,
}
