//! The data centres whose upstreams get no new work until operators say otherwise: a set without network.

use std::collections::BTreeSet;

use crate::mutation::{Mutation, mutated};
use crate::util::Name;

/// Evacuated data centres, as of one offset of the stream that operators write.
///
/// ```
/// use cassiagrade::path::evacuations::Evacuations;
/// let mut evacuations = Evacuations::default();
/// assert!(evacuations.set(3, "north", true));
/// assert!(!evacuations.set(2, "north", false), "older than what is known");
/// assert!(evacuations.holds("north"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    data_centers: BTreeSet<Name>,
    at: u64,
}

impl Evacuations {
    /// Whether `data_center` is evacuated.
    pub fn holds(&self, data_center: &str) -> bool {
        self.data_centers.contains(data_center)
    }

    /// The offset up to which this is what operators wrote; 0 if nothing is known.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// Those that are evacuated, in order.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.data_centers.iter()
    }

    /// Takes the record before offset `at`; tells whether it changed anything. An older one than what is known is left
    /// out: read late, it would bring back what another took back.
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

    /// All records before offset `at` were read.
    pub fn read_to(&mut self, at: u64) {
        self.at = self.at.max(at);
    }

    /// Takes all that are evacuated as of offset `at`; tells whether that changed anything.
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
