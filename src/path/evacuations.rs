//! Evacuated data centres, whose upstreams get no new work until operators readmit them. No I/O and
//! no clock.

use std::collections::{BTreeMap, BTreeSet};

use crate::mutation::{Mutation, mutated};
use crate::path::position::StreamPosition;
use crate::util::Name;

/// Time for which an evacuation that a restored log lost stays in force, unless operators write
/// again for its data centre: they repeat within seconds what the log lost.
pub(crate) const HOLD_MS: u64 = 10_000;

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
/// evacuations.replace(StreamPosition::new(2, 1), [].into(), 5_000);
/// assert!(evacuations.contains("north"));
/// evacuations.release(15_000);
/// assert!(!evacuations.contains("north"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    data_centers: BTreeSet<Name>,
    at: StreamPosition,
    /// Evacuated by records that a restored log lost, with the times until which they are.
    held: BTreeMap<Name, u64>,
}

impl Evacuations {
    /// Whether `data_center` is evacuated.
    pub fn contains(&self, data_center: &str) -> bool {
        self.data_centers.contains(data_center) || self.held.contains_key(data_center)
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
        self.held.remove(data_center);
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
    /// anything. Those that a restored log doesn't have are held.
    pub fn replace(
        &mut self,
        at: StreamPosition,
        data_centers: BTreeSet<Name>,
        now_ms: u64,
    ) -> bool {
        if at <= self.at {
            return false;
        }
        let is_restored = at.era > self.at.era && self.at.is_known();
        self.at = at;
        let is_change = self.data_centers != data_centers;
        let before = std::mem::replace(&mut self.data_centers, data_centers);
        if is_restored && !mutated(Mutation::ForgetOrdersOnRestore) {
            let lost = before.difference(&self.data_centers);
            let until_ms = now_ms + HOLD_MS;
            self.held.extend(lost.map(|name| (name.clone(), until_ms)));
        }
        is_change
    }

    /// Ends the evacuations that were held until `now_ms`, and returns them.
    pub fn release(&mut self, now_ms: u64) -> Vec<Name> {
        let due = self.held.extract_if(.., |_, until_ms| *until_ms <= now_ms);
        due.map(|(name, _)| name).collect()
    }
}
