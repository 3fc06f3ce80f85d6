//! Claims of non-idempotent requests: the order of records in the log decides which router may run
//! a request.
//!
//! The first claim of a key holds it, until the release of that claim. The claimant appends the
//! release only if no byte of the request was sent. A claim that lost or was released never holds
//! the key again, no matter how late or how often a copy of it is appended: an append whose reply
//! was lost may still take effect after its claimant gave up.

use std::collections::{HashMap, VecDeque};

use crate::log::invariant;
use crate::mutation::{Mutation, mutated};
use crate::schema::records::claim_record::Body;
use crate::schema::records::{Claim, ClaimRecord, Outcome, Release};
use crate::util::{self, Name};

/// Number of hash slots over which keys are distributed; each has its own stream.
///
/// A constant, not a setting: two routers with different values would claim the same key in two
/// streams, and both would win. With one append per stream per 60 ms window, eight streams stay
/// below 134 appends per second, whatever the number of routers.
pub const SLOTS: u64 = 8;

/// The newest claim record this build understands.
pub const SCHEMA: u32 = 1;

/// Twice the greatest error of a router's wall clock. The times in callers' keys may be ahead of a
/// router's clock by this much.
pub const CLOCK_MARGIN_MS: u64 = 60_000;

/// Returns the slot of `key`.
pub fn slot(key: &str) -> u64 {
    util::hash_parts(&[key]) % SLOTS
}

/// Returns the name of the stream that holds the claims of `slot`.
///
/// ```
/// assert_eq!(cassiagrade::log::claims::stream(3), "claims-3");
/// ```
pub fn stream(slot: u64) -> String {
    format!("claims-{slot}")
}

/// The status of a key after the records read so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum KeyStatus {
    /// No claim holds the key.
    #[default]
    Free,
    /// This claim holds the key; its request may be running.
    Held(Claim),
    /// The request ran, or may have run.
    Done(Claim, Outcome),
}

/// The result of one claim.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The claim holds the key: its request may run once.
    Won,
    /// The claim will never hold the key, whose status is this.
    Lost(KeyStatus),
}

#[derive(Clone, Debug, Default)]
struct KeyEntry {
    status: KeyStatus,
    /// Claims that can't hold the key any more, by claim id.
    ended: HashMap<String, EndReason>,
}

/// Why a claim can't hold its key any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EndReason {
    Lost,
    Released,
}

/// The claims of one slot, applied in the order of the log.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    keys: HashMap<Name, KeyEntry>,
    /// The keys with the time at which each was first seen, oldest first.
    first_seen: VecDeque<(u64, Name)>,
}

impl Claims {
    /// Applies one record; `now_ms` is the reader's monotonic time.
    pub fn apply(&mut self, record: ClaimRecord, now_ms: u64) {
        match record.body {
            Some(Body::Claim(claim)) => self.apply_claim(claim, now_ms),
            Some(Body::Release(release)) => self.apply_release(&release, now_ms),
            Some(Body::Outcome(outcome)) => self.apply_outcome(outcome, now_ms),
            None => {}
        }
    }

    /// Returns the status of `key`.
    pub fn status(&self, key: &str) -> KeyStatus {
        self.keys
            .get(key)
            .map(|k| k.status.clone())
            .unwrap_or_default()
    }

    /// Returns the verdict on `claim`, or `None` until it has been read.
    pub fn verdict(&self, claim: &Claim) -> Option<Verdict> {
        let key = self.keys.get(claim.key.as_str())?;
        match &key.status {
            KeyStatus::Held(holder) if holder.id == claim.id => Some(Verdict::Won),
            status if key.ended.contains_key(&claim.id) => Some(Verdict::Lost(status.clone())),
            KeyStatus::Done(holder, _) if holder.id == claim.id => {
                Some(Verdict::Lost(key.status.clone()))
            }
            _ => None,
        }
    }

    /// Applies a release or an outcome of a claim that holds its key here.
    pub fn apply_end(&mut self, record: &ClaimRecord, now_ms: u64) {
        let is_held = |key: &str, id: &str| match self.status(key) {
            KeyStatus::Held(holder) => holder.id == id,
            _ => false,
        };
        match &record.body {
            Some(Body::Release(v)) if is_held(&v.key, &v.id) => self.apply_release(v, now_ms),
            Some(Body::Outcome(v)) if is_held(&v.key, &v.id) => {
                self.apply_outcome(v.clone(), now_ms);
            }
            _ => {}
        }
    }

    /// Adds the keys of `other`, which were read from the log before it was restored. What ran or may
    /// be running stays so.
    pub fn merge(&mut self, other: Self) {
        let Self {
            mut keys,
            first_seen,
        } = other;
        for (at, name) in first_seen {
            let Some(entry) = keys.remove(&name) else {
                continue;
            };
            let Some(known) = self.keys.get_mut(&name) else {
                self.first_seen.push_back((at, name.clone()));
                self.keys.insert(name, entry);
                continue;
            };
            let is_done = matches!(known.status, KeyStatus::Done(..));
            if entry.status != KeyStatus::Free && !is_done {
                known.status = entry.status;
            }
        }
    }

    /// Removes keys first seen before `before_ms`. They must be too old to be claimed again.
    pub fn remove_older_than(&mut self, before_ms: u64) {
        while let Some((at, _)) = self.first_seen.front()
            && *at < before_ms
        {
            if let Some((_, key)) = self.first_seen.pop_front() {
                self.keys.remove(&key);
            }
        }
    }

    /// Returns the number of keys in memory.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is in memory.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn apply_claim(&mut self, claim: Claim, now_ms: u64) {
        let key = self.entry(&claim.key, now_ms);
        if key.ended.contains_key(&claim.id) && !mutated(Mutation::ForgetReleasedClaim) {
            return;
        }
        match &key.status {
            KeyStatus::Free => key.status = KeyStatus::Held(claim),
            KeyStatus::Held(holder) | KeyStatus::Done(holder, _) => {
                if holder.id != claim.id {
                    key.ended.insert(claim.id, EndReason::Lost);
                }
            }
        }
    }

    fn apply_release(&mut self, release: &Release, now_ms: u64) {
        let key = self.entry(&release.key, now_ms);
        match &key.status {
            KeyStatus::Held(holder) if holder.id == release.id => key.status = KeyStatus::Free,
            KeyStatus::Done(holder, _) => {
                let ran = holder.id == release.id;
                invariant(!ran, "a request that ran was released as not run");
                if ran {
                    return;
                }
            }
            _ => {}
        }
        key.ended.insert(release.id.clone(), EndReason::Released);
    }

    fn apply_outcome(&mut self, outcome: Outcome, now_ms: u64) {
        let key = self.entry(&outcome.key, now_ms);
        // A claim that lost here may have an outcome: if the key is too old by now, the release of
        // an earlier claim may have expired while a late copy of that claim is still in the log and
        // seems to hold the key.
        let released = key.ended.get(&outcome.id) == Some(&EndReason::Released);
        invariant(!released, "a claim that was released has an outcome");
        if let KeyStatus::Held(holder) = &key.status
            && holder.id == outcome.id
        {
            key.status = KeyStatus::Done(holder.clone(), outcome);
        }
    }

    fn entry(&mut self, key: &str, now_ms: u64) -> &mut KeyEntry {
        if !self.keys.contains_key(key) {
            let name = Name::from(key);
            self.first_seen.push_back((now_ms, name.clone()));
            self.keys.insert(name, KeyEntry::default());
        }
        self.keys.entry(key.into()).or_default()
    }
}

/// Whether a key may still be claimed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyAge {
    /// Every claim of the key is still in the log.
    Usable,
    /// An earlier claim of the key may have expired.
    TooOld,
    /// The key's time is further in the future than clocks may differ.
    Future,
}

/// Checks whether a key with time `key_ms` is still usable.
///
/// Claims of the key are appended no earlier than `key_ms` minus the margin, and the log keeps them
/// for `retention_ms`. Check after reading the log: if a router paused between the check and the
/// read, an earlier claim might expire in between, and a second claim would win.
///
/// ```
/// use cassiagrade::log::claims::{KeyAge, age};
/// assert_eq!(age(1_000_000, 1_000_500, 600_000), KeyAge::Usable);
/// assert_eq!(age(1_000_000, 1_500_000, 600_000), KeyAge::TooOld);
/// assert_eq!(age(1_000_000, 900_000, 600_000), KeyAge::Future);
/// ```
pub fn age(key_ms: u64, now_ms: u64, retention_ms: u64) -> KeyAge {
    if key_ms > now_ms + CLOCK_MARGIN_MS {
        return KeyAge::Future;
    }
    let margin_ms = if mutated(Mutation::NoRetentionMargin) {
        0
    } else {
        2 * CLOCK_MARGIN_MS
    };
    let usable_ms = retention_ms.saturating_sub(margin_ms);
    if now_ms.saturating_sub(key_ms) >= usable_ms {
        return KeyAge::TooOld;
    }
    KeyAge::Usable
}
