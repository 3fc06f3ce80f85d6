//! Results of a run: answers, waits, cache reuse and load skew.

use super::model::SMALL_FROM;

/// Results of a run.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) reused_tokens: f64,
    pub(crate) history_tokens: f64,
    pub(crate) skews: Vec<f64>,
    /// Samples in which the busiest engine exceeded 1.25 x the mean work plus its largest job.
    pub(crate) over_bound: u32,
    pub(crate) answered: u64,
    pub(crate) good: u64,
    pub(crate) late: u64,
    pub(crate) abandoned: u64,
    pub(crate) refusals: u64,
    pub(crate) refused_at_once: u64,
    /// Waits and answer times by account, of requests first sent after the warm-up.
    pub(crate) waits_ms: Vec<Vec<f64>>,
    pub(crate) answers_ms: Vec<Vec<f64>>,
    /// Start time and wait of each job of a small account.
    pub(crate) small_waits: Vec<(u64, f64)>,
    pub(crate) short_waits_ms: Vec<f64>,
    pub(crate) good_by_s: Vec<u32>,
}

impl Outcome {
    pub(crate) fn reuse(&self) -> f64 {
        self.reused_tokens / self.history_tokens.max(1.0)
    }

    /// Adds the waits, answer times and refusal counts of `other`.
    pub(crate) fn merge(&mut self, other: Self) {
        self.refusals += other.refusals;
        self.refused_at_once += other.refused_at_once;
        self.small_waits.extend(other.small_waits);
        let accounts = other.waits_ms.len();
        self.waits_ms.resize(accounts, Vec::new());
        self.answers_ms.resize(accounts, Vec::new());
        for (at, waits_ms) in other.waits_ms.into_iter().enumerate() {
            self.waits_ms[at].extend(waits_ms);
        }
        for (at, answers_ms) in other.answers_ms.into_iter().enumerate() {
            self.answers_ms[at].extend(answers_ms);
        }
    }

    pub(crate) fn small(&self, of: &[Vec<f64>]) -> Vec<f64> {
        of[SMALL_FROM..].iter().flatten().copied().collect()
    }
}

/// Returns the `share` quantile of `values`, or 0 if there are none.
pub(crate) fn quantile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = (share * sorted.len() as f64) as usize;
    sorted
        .get(at.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}
