//! Runs of requests that are suspected of crashing upstreams: at most one of each at a time.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// Suspected requests that run at this router, by fingerprint.
#[derive(Clone, Debug, Default)]
pub(crate) struct Trials(Rc<RefCell<HashSet<u64>>>);

/// Run of a suspected request, until it is answered or the upstream that lost the answer was checked.
#[derive(Debug)]
pub(crate) struct Trial {
    trials: Trials,
    fingerprint: u64,
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.trials.0.borrow_mut().remove(&self.fingerprint);
    }
}

impl Trials {
    /// Begins a run of the request, or returns `None` if one is in progress.
    pub(crate) fn begin(&self, fingerprint: u64) -> Option<Trial> {
        let is_first = self.0.borrow_mut().insert(fingerprint);
        is_first.then(|| Trial {
            trials: self.clone(),
            fingerprint,
        })
    }
}
