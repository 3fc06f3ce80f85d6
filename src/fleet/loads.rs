//! Loads of upstreams as they travel round the fleet: a table without sockets or clock of its own.
//!
//! Each router tells the loads of the upstreams it is home to in every datagram, and fills the rest
//! with some of what it heard. Small fleets so hear of every upstream within a second; in large
//! ones each router holds a random sample, large enough for the pool's mean, and the bytes a
//! router sends don't grow with the fleet.

use std::collections::HashMap;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::schema::peer::{Load, LoadUpdate};
use crate::util::{self, Name};

/// A load nobody repeated for this long is forgotten: its home is gone or no longer its home.
pub const LOAD_KEEP_MS: u64 = 5_000;

/// Added to an age at each hop, more than most datagrams travel, so that no load looks younger
/// than it is by being passed on.
const HOP_MS: u64 = 5;

#[derive(Clone, Copy, Debug)]
struct Row {
    beat: LoadUpdate,
    at_ms: u64,
}

/// Loads heard of, and those of this router's own upstreams.
#[derive(Debug, Default)]
pub struct LoadTable {
    own: HashMap<u32, LoadUpdate>,
    heard: HashMap<u32, Row>,
}

/// The short form of an upstream's name on the wire.
pub(crate) fn digest(name: &str) -> u32 {
    let hash = util::hash_parts(&[name]);
    u32::try_from(hash >> 32).unwrap_or_default()
}

impl LoadTable {
    /// Sets which upstreams this router is home to; those without a known load count as idle.
    pub fn set_own<'a>(&mut self, names: impl Iterator<Item = &'a Name>) {
        let before = std::mem::take(&mut self.own);
        for name in names {
            let upstream_digest = digest(name);
            let idle = LoadUpdate {
                upstream_digest,
                ..LoadUpdate::default()
            };
            let beat = before.get(&upstream_digest).copied().unwrap_or(idle);
            self.own.insert(upstream_digest, beat);
        }
    }

    /// Whether this router is home to the upstream with this digest.
    pub(crate) fn is_own(&self, upstream_digest: u32) -> bool {
        self.own.contains_key(&upstream_digest)
    }

    /// Takes a load of this router's own. One of an upstream that has another home now isn't
    /// counted here: its home tells it.
    pub fn publish(&mut self, load: &Load) {
        let upstream_digest = digest(&load.upstream);
        if let Some(beat) = self.own.get_mut(&upstream_digest) {
            *beat = LoadUpdate {
                upstream_digest,
                work_ms: whole_ms(load.work_ms),
                in_flight: load.in_flight,
                queued: load.queued,
                age_ms: 0,
            };
        }
    }

    /// Takes over loads that are newer than those known.
    pub fn merge(&mut self, beats: &[LoadUpdate], now_ms: u64) {
        for beat in beats {
            let age_ms = u64::from(beat.age_ms) + HOP_MS;
            if age_ms > LOAD_KEEP_MS {
                continue;
            }
            let at_ms = now_ms.saturating_sub(age_ms);
            let row = Row { beat: *beat, at_ms };
            let known = self.heard.entry(beat.upstream_digest).or_insert(row);
            if at_ms > known.at_ms {
                *known = row;
            }
        }
    }

    /// Loads to send now: all of this router's own, then others in random order, `max` at most.
    pub fn beats<R: Rng>(&mut self, max: usize, now_ms: u64, rng: &mut R) -> Vec<LoadUpdate> {
        self.heard
            .retain(|_, row| now_ms.saturating_sub(row.at_ms) < LOAD_KEEP_MS);
        let mut beats: Vec<LoadUpdate> = self.own.values().copied().collect();
        beats.shuffle(rng);
        let mut others: Vec<&Row> = self.heard.values().collect();
        let (others, _) = others.partial_shuffle(rng, max);
        for row in others {
            if beats.len() >= max {
                break;
            }
            if self.own.contains_key(&row.beat.upstream_digest) {
                continue;
            }
            let age_ms = now_ms.saturating_sub(row.at_ms);
            beats.push(LoadUpdate {
                age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
                ..row.beat
            });
        }
        beats.truncate(max);
        beats
    }

    /// The loads known now, own ones first hand, by the upstreams' names.
    pub fn known(&self, names: &HashMap<u32, Name>, now_ms: u64) -> HashMap<Name, Load> {
        let fresh = |row: &&Row| now_ms.saturating_sub(row.at_ms) < LOAD_KEEP_MS;
        let heard = self.heard.values().filter(fresh);
        let heard = heard.map(|row| (row.beat, row.at_ms));
        let own = self.own.values().map(|beat| (*beat, now_ms));
        heard
            .chain(own)
            .filter_map(|(beat, at_ms)| {
                let name = names.get(&beat.upstream_digest)?;
                Some((name.clone(), load(name, &beat, at_ms)))
            })
            .collect()
    }
}

fn load(name: &Name, beat: &LoadUpdate, at_ms: u64) -> Load {
    Load {
        upstream: name.to_string(),
        work_ms: f64::from(beat.work_ms),
        in_flight: beat.in_flight,
        queued: beat.queued,
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
