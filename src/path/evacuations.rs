//! Evacuated data centres, whose upstreams get no new work until operators readmit them. No I/O.

use std::collections::BTreeSet;

use crate::mutation::{Mutation, mutated};
use crate::path::position::StreamPosition;
use crate::util::Name;

/// Evacuated data centres, as of one position of the stream that operators write.
///
/// ```
/// use cassiagrade::path::evacuations::Evacuations;
/// use cassiagrade::path::position::StreamPosition;
/// let at = |offset| StreamPosition::new(1, offset);
/// let mut evacuations = Evacuations::default();
/// assert!(evacuations.set(at(3), "north", true));
/// assert!(!evacuations.set(at(2), "north", false), "older than the applied records");
/// assert!(evacuations.contains("north"));
/// // The log is restored from a copy without that record.
/// evacuations.replace(StreamPosition::new(2, 1), [].into());
/// assert!(!evacuations.contains("north"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    data_centers: BTreeSet<Name>,
    at: StreamPosition,
}

impl Evacuations {
    /// Whether `data_center` is evacuated.
    pub fn contains(&self, data_center: &str) -> bool {
        self.data_centers.contains(data_center)
    }

    /// Position up to which the records of operators are applied.
    pub fn position(&self) -> StreamPosition {
        self.at
    }

    /// Data centres that are evacuated by the records up to [`Self::position`], in order.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.data_centers.iter()
    }

    /// Applies the record that ends at `at`, and returns whether it changed anything. A record older
    /// than the applied ones is ignored: it would undo a later one.
    pub fn set(&mut self, at: StreamPosition, data_center: &str, evacuated: bool) -> bool {
        if at <= self.at && !mutated(Mutation::AcceptOldEvacuations) {
            return false;
        }
        self.at = at.max(self.at);
        if evacuated {
            self.data_centers.insert(data_center.into())
        } else {
            self.data_centers.remove(data_center)
        }
    }

    /// Notes that all records before `at` were read.
    pub fn advance_to(&mut self, at: StreamPosition) {
        self.at = self.at.max(at);
    }

    /// Replaces the evacuated data centres by those as of `at`, and returns whether that changed
    /// anything.
    pub fn replace(&mut self, at: StreamPosition, data_centers: BTreeSet<Name>) -> bool {
        if at <= self.at {
            return false;
        }
        self.at = at;
        let is_change = self.data_centers != data_centers;
        self.data_centers = data_centers;
        is_change
    }
}
