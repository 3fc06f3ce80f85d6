//! Evacuated data centres, whose upstreams get no new work until operators readmit them. No I/O.

use std::collections::BTreeSet;

use crate::mutation::{Mutation, mutated};
use crate::util::Name;

/// Evacuated data centres, as of one offset of the stream that operators write.
///
/// ```
/// use cassiagrade::path::evacuations::Evacuations;
/// let mut evacuations = Evacuations::default();
/// assert!(evacuations.set(3, "north", true));
/// assert!(!evacuations.set(2, "north", false), "older than the applied records");
/// assert!(evacuations.contains("north"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    data_centers: BTreeSet<Name>,
    at: u64,
}

impl Evacuations {
    /// Whether `data_center` is evacuated.
    pub fn contains(&self, data_center: &str) -> bool {
        self.data_centers.contains(data_center)
    }

    /// Offset up to which the records of operators are applied; 0 if none are.
    pub fn offset(&self) -> u64 {
        self.at
    }

    /// Evacuated data centres, in order.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.data_centers.iter()
    }

    /// Applies the record that ends at offset `at`, and returns whether it changed anything. A
    /// record older than the applied ones is ignored: it would undo a later one.
    pub fn set(&mut self, at: u64, data_center: &str, evacuated: bool) -> bool {
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

    /// Notes that all records before offset `at` were read.
    pub fn advance_to(&mut self, at: u64) {
        self.at = self.at.max(at);
    }

    /// Replaces the evacuated data centres by those as of offset `at`, and returns whether that
    /// changed anything.
    pub fn replace(&mut self, at: u64, data_centers: BTreeSet<Name>) -> bool {
        if at <= self.at {
            return false;
        }
        self.at = at;
        let is_change = self.data_centers != data_centers;
        self.data_centers = data_centers;
        is_change
    }
}
