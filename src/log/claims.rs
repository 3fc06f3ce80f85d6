//! Claims of unrepeatable requests: who may run one, decided by the order of records in the log.
//!
//! The first claim of a key holds it. It is let go only by its own release, which its claimant
//! appends when surely no byte of the request left. A claim that lost, or that was released, never
//! holds the key again, however late or often a copy of it lands: that guards against an append
//! whose reply was lost and that lands after its claimant gave up.

use std::collections::{HashMap, VecDeque};

use crate::log::invariant;
use crate::mutation::{Mutation, mutated};
use crate::schema::records::claim_record::Body;
use crate::schema::records::{Claim, ClaimRecord, Outcome, Release};
use crate::util::{self, Name};

/// Streams over which keys are spread.
///
/// Fixed in the code: two routers that disagreed on it would look for one key in two streams, and
/// both would win. With one append a stream and window of 60 ms, eight streams stay below 134
/// appends a second, whatever the number of routers.
pub const SLOTS: u64 = 8;

/// The newest claim record this build understands.
pub const SCHEMA: u32 = 1;

/// Twice how far a router's wall clock may be from true time. Callers' clocks are checked against it.
pub const CLOCK_MARGIN_MS: u64 = 60_000;

/// The slot of `key`.
pub fn slot(key: &str) -> u64 {
    util::hash_parts(&[key]) % SLOTS
}

/// The stream that holds the claims of `slot`.
///
/// ```
/// assert_eq!(cassiagrade::log::claims::stream(3), "claims-3");
/// ```
pub fn stream(slot: u64) -> String {
    format!("claims-{slot}")
}

/// How a key stands after the records read so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum KeyStatus {
    /// Nobody holds it.
    #[default]
    Free,
    /// This claim holds it; its request may be running.
    Held(Claim),
    /// It was run, or may have been.
    Done(Claim, Outcome),
}

/// What became of one claim.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It holds the key: its request may run, once.
    Won,
    /// It never will; this is how the key stands.
    Lost(KeyStatus),
}

#[derive(Clone, Debug, Default)]
struct Key {
    status: KeyStatus,
    /// Claims that never hold the key (again).
    dead: HashMap<String, End>,
}

/// Why a claim never holds its key again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Lost,
    Released,
}

/// The claims of one slot, folded in log order.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    keys: HashMap<Name, Key>,
    /// When each key was first seen here, oldest first.
    seen: VecDeque<(u64, Name)>,
}

impl Claims {
    /// Folds one record in; `now_ms` is the reader's monotonic clock.
    pub fn apply(&mut self, record: ClaimRecord, now_ms: u64) {
        match record.body {
            Some(Body::Claim(claim)) => self.claim(claim, now_ms),
            Some(Body::Release(release)) => self.release(&release, now_ms),
            Some(Body::Outcome(outcome)) => self.outcome(outcome, now_ms),
            None => {}
        }
    }

    /// How `key` stands.
    pub fn status(&self, key: &str) -> KeyStatus {
        self.keys
            .get(key)
            .map(|k| k.status.clone())
            .unwrap_or_default()
    }

    /// What became of `claim`, once it was read.
    pub fn verdict(&self, claim: &Claim) -> Option<Verdict> {
        let key = self.keys.get(claim.key.as_str())?;
        match &key.status {
            KeyStatus::Held(holder) if holder.id == claim.id => Some(Verdict::Won),
            status if key.dead.contains_key(&claim.id) => Some(Verdict::Lost(status.clone())),
            KeyStatus::Done(holder, _) if holder.id == claim.id => {
                Some(Verdict::Lost(key.status.clone()))
            }
            _ => None,
        }
    }

    /// Forgets keys first seen before `before_ms`. They must be too old to be claimed again.
    pub fn forget(&mut self, before_ms: u64) {
        while let Some((at, _)) = self.seen.front()
            && *at < before_ms
        {
            if let Some((_, key)) = self.seen.pop_front() {
                self.keys.remove(&key);
            }
        }
    }

    /// Keys held in memory.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// No key is held.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn claim(&mut self, claim: Claim, now_ms: u64) {
        let key = self.key(&claim.key, now_ms);
        if key.dead.contains_key(&claim.id) && !mutated(Mutation::ForgetReleasedClaim) {
            return;
        }
        match &key.status {
            KeyStatus::Free => key.status = KeyStatus::Held(claim),
            KeyStatus::Held(holder) | KeyStatus::Done(holder, _) => {
                if holder.id != claim.id {
                    key.dead.insert(claim.id, End::Lost);
                }
            }
        }
    }

    fn release(&mut self, release: &Release, now_ms: u64) {
        let key = self.key(&release.key, now_ms);
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
        key.dead.insert(release.id.clone(), End::Released);
    }

    fn outcome(&mut self, outcome: Outcome, now_ms: u64) {
        let key = self.key(&outcome.key, now_ms);
        // Not so for a claim that lost here: of a key that is too old by now, the winner's release
        // may have expired before a late copy of its claim.
        let released = key.dead.get(&outcome.id) == Some(&End::Released);
        invariant(!released, "a claim that was released has an outcome");
        if let KeyStatus::Held(holder) = &key.status
            && holder.id == outcome.id
        {
            key.status = KeyStatus::Done(holder.clone(), outcome);
        }
    }

    fn key(&mut self, key: &str, now_ms: u64) -> &mut Key {
        if !self.keys.contains_key(key) {
            let name = Name::from(key);
            self.seen.push_back((now_ms, name.clone()));
            self.keys.insert(name, Key::default());
        }
        self.keys.entry(key.into()).or_default()
    }
}

/// Whether a key may still be claimed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyAge {
    /// Every claim of it is surely still in the log.
    Usable,
    /// An earlier claim may have expired.
    TooOld,
    /// Its time lies in the future by more than clocks may differ.
    Future,
}

/// Judges the time that a key carries.
///
/// A claim of the key was appended no earlier than `key_ms` less the margin, and the log keeps it
/// for `retention_ms`. This must be judged after the log was read: a router that pauses between
/// judging and reading might find an earlier claim expired, and win.
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
