//! Loads of upstreams, spread by gossip: a table without sockets or a clock of its own.
//!
//! Each router sends the loads of the upstreams it is home to in every datagram, and fills the rest
//! of the datagram with a sample of those it received. In a small fleet every router thus knows
//! every upstream's load within a second. In a large one each router has a random sample, large
//! enough for the pool's mean, and the bytes that a router sends don't grow with the fleet.

use std::collections::HashMap;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::schema::peer::{Load, LoadUpdate};
use crate::util::{self, Name};

/// A load that has not been repeated for this long expires: its router has stopped or is no longer
/// the upstream's home.
pub const LOAD_TTL_MS: u64 = 5_000;

/// Added to an age at each hop. Most datagrams take less, so a forwarded load doesn't appear newer
/// than it is.
const HOP_MS: u64 = 5;

#[derive(Clone, Copy, Debug)]
struct Row {
    update: LoadUpdate,
    at_ms: u64,
}

/// Loads received from other routers, and those of the upstreams this router is home to.
#[derive(Debug, Default)]
pub struct LoadTable {
    own: HashMap<u32, LoadUpdate>,
    received: HashMap<u32, Row>,
}

/// Returns the digest that stands for an upstream's name on the wire.
pub(crate) fn digest(name: &str) -> u32 {
    let hash = util::hash_parts(&[name]);
    u32::try_from(hash >> 32).unwrap_or_default()
}

impl LoadTable {
    /// Sets the upstreams this router is home to; those without a known load count as idle.
    pub fn set_own<'a>(&mut self, names: impl Iterator<Item = &'a Name>) {
        let before = std::mem::take(&mut self.own);
        for name in names {
            let upstream_digest = digest(name);
            let idle = LoadUpdate {
                upstream_digest,
                ..LoadUpdate::default()
            };
            let update = before.get(&upstream_digest).copied().unwrap_or(idle);
            self.own.insert(upstream_digest, update);
        }
    }

    /// Whether this router is home to the upstream with this digest.
    pub(crate) fn is_own(&self, upstream_digest: u32) -> bool {
        self.own.contains_key(&upstream_digest)
    }

    /// Records the load of an upstream this router is home to. The load of an upstream that has
    /// another home now is ignored: that home publishes it.
    pub fn publish(&mut self, load: &Load) {
        let upstream_digest = digest(&load.upstream);
        if let Some(update) = self.own.get_mut(&upstream_digest) {
            *update = LoadUpdate {
                upstream_digest,
                work_ms: whole_ms(load.work_ms),
                in_flight: load.in_flight,
                queued: load.queued,
                age_ms: 0,
            };
        }
    }

    /// Merges loads that are newer than the known ones.
    pub fn merge(&mut self, updates: &[LoadUpdate], now_ms: u64) {
        for update in updates {
            let age_ms = u64::from(update.age_ms) + HOP_MS;
            if age_ms > LOAD_TTL_MS {
                continue;
            }
            let at_ms = now_ms.saturating_sub(age_ms);
            let row = Row {
                update: *update,
                at_ms,
            };
            let known = self.received.entry(update.upstream_digest).or_insert(row);
            if at_ms > known.at_ms {
                *known = row;
            }
        }
    }

    /// Returns at most `max` loads to send: all of this router's own, then others in random order.
    pub fn sample<R: Rng>(&mut self, max: usize, now_ms: u64, rng: &mut R) -> Vec<LoadUpdate> {
        self.received
            .retain(|_, row| now_ms.saturating_sub(row.at_ms) < LOAD_TTL_MS);
        let mut updates: Vec<LoadUpdate> = self.own.values().copied().collect();
        updates.shuffle(rng);
        let mut others: Vec<&Row> = self.received.values().collect();
        let (others, _) = others.partial_shuffle(rng, max);
        for row in others {
            if updates.len() >= max {
                break;
            }
            if self.own.contains_key(&row.update.upstream_digest) {
                continue;
            }
            let age_ms = now_ms.saturating_sub(row.at_ms);
            updates.push(LoadUpdate {
                age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
                ..row.update
            });
        }
        updates.truncate(max);
        updates
    }

    /// Returns the known loads by the upstreams' names; this router's own take precedence.
    pub fn known(&self, names: &HashMap<u32, Name>, now_ms: u64) -> HashMap<Name, Load> {
        let fresh = |row: &&Row| now_ms.saturating_sub(row.at_ms) < LOAD_TTL_MS;
        let received = self.received.values().filter(fresh);
        let received = received.map(|row| (row.update, row.at_ms));
        let own = self.own.values().map(|update| (*update, now_ms));
        received
            .chain(own)
            .filter_map(|(update, at_ms)| {
                let name = names.get(&update.upstream_digest)?;
                Some((name.clone(), load(name, &update, at_ms)))
            })
            .collect()
    }
}

fn load(name: &Name, update: &LoadUpdate, at_ms: u64) -> Load {
    Load {
        upstream: name.to_string(),
        work_ms: f64::from(update.work_ms),
        in_flight: update.in_flight,
        queued: update.queued,
        seq: at_ms,
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range first"
)]
fn whole_ms(work_ms: f64) -> u32 {
    work_ms.clamp(0.0, f64::from(u32::MAX)) as u32
}
