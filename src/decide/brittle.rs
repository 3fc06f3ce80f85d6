//! How much the one router that sends to a brittle upstream sends there.
//!
//! Load pattern: an upstream ends if it turns away more requests in a second than it bears, and many
//! routers send to it. Each of them learns that it is full by being turned away, so that the sum grows with
//! the number of routers, however little each one sends: at some hundred routers a limit of one request in
//! flight is already too high, and no share of the number that is borne is as large as one.
//!
//! So one router, the upstream's home in a rendezvous order, sends to it, and the others delegate to that one.
//! It knows what is in flight, but not at first: after a change of home, what the last one sent still runs
//! there. So it raises its level by what was certainly taken, as a rejection comes at once, and never has
//! more requests in doubt than its share of what the upstream bears. While it has used up that share it sends
//! nothing. Two routers may hold themselves for the home while they learn of a change, so the share is half.
//! The level ends at the slots: places to wait are withdrawn without notice.
//!
//! A decision costs a look at two short queues.

use std::collections::{HashMap, VecDeque};

use crate::decide::Incarnation;

/// Window over which an upstream counts what it turns away.
pub const WINDOW_MS: u64 = 1_000;
/// Time after which a request that was not rejected has been taken. Above a round trip between regions.
pub const DOUBT_MS: u64 = 50;
/// Routers that may hold themselves for an upstream's home at the same time.
const HOMES: u32 = 2;

/// What an answer says about how its upstream bears rejections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Frailty {
    /// It is not brittle.
    #[default]
    None,
    /// It ends when it rejects more requests in a second for want of room.
    Bears(u32),
    /// It says something that can't be read.
    Unreadable,
}

/// What changed by an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FrailtyChange {
    /// Nothing.
    Same,
    /// The upstream is brittle, or bears another number.
    Bears(u32),
    /// The upstream is no longer brittle.
    Ended,
}

/// The upstreams that say that they are brittle.
#[derive(Clone, Debug, Default)]
pub struct BrittleUpstreams {
    borne: HashMap<Incarnation, u32>,
}

impl BrittleUpstreams {
    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.borne.is_empty()
    }

    /// Records what an answer of `upstream` says, and returns what changed. What can't be read changes nothing:
    /// it would be as wrong to take the upstream for a sturdy one.
    ///
    /// ```
    /// use cassiagrade::decide::Incarnation;
    /// use cassiagrade::decide::brittle::{BrittleUpstreams, Frailty, FrailtyChange};
    /// let upstream = Incarnation { id: "up-1".into(), started_ms: 7 };
    /// let mut brittle = BrittleUpstreams::default();
    /// assert_eq!(brittle.record(&upstream, Frailty::Bears(2)), FrailtyChange::Bears(2));
    /// assert_eq!(brittle.record(&upstream, Frailty::Unreadable), FrailtyChange::Same);
    /// assert_eq!(brittle.borne(&upstream), Some(2));
    /// assert_eq!(brittle.record(&upstream, Frailty::None), FrailtyChange::Ended);
    /// ```
    pub fn record(&mut self, upstream: &Incarnation, frailty: Frailty) -> FrailtyChange {
        match frailty {
            Frailty::None if self.borne.remove(upstream).is_some() => FrailtyChange::Ended,
            Frailty::Bears(borne) if self.borne.get(upstream) != Some(&borne) => {
                self.borne.insert(upstream.clone(), borne);
                FrailtyChange::Bears(borne)
            }
            _ => FrailtyChange::Same,
        }
    }

    /// Rejections in a second that `upstream` bears, if it is brittle.
    pub fn borne(&self, upstream: &Incarnation) -> Option<u32> {
        self.borne.get(upstream).copied()
    }

    /// The upstreams that are brittle.
    pub fn all(&self) -> impl Iterator<Item = &Incarnation> {
        self.borne.keys()
    }

    /// Drops the upstreams that are gone.
    pub fn retain(&mut self, is_listed: impl Fn(&Incarnation) -> bool) {
        self.borne.retain(|upstream, _| is_listed(upstream));
    }
}

/// A request that may still be rejected.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    sent_ms: u64,
    /// Requests in flight, with this one.
    in_flight: u32,
}

/// What the home of a brittle upstream may send to it.
#[derive(Clone, Debug)]
pub struct Gate {
    slots: u32,
    share: usize,
    /// Requests that were certainly taken at the same time.
    level: u32,
    in_flight: u32,
    doubts: VecDeque<Doubt>,
    rejected_ms: VecDeque<u64>,
}

impl Gate {
    /// Creates the gate of an upstream with `slots` that bears `borne` rejections in a second; nothing is
    /// known of what it runs.
    pub fn new(slots: u32, borne: u32) -> Self {
        Self {
            slots,
            share: (borne / HOMES).max(1) as usize,
            level: 0,
            in_flight: 0,
            doubts: VecDeque::new(),
            rejected_ms: VecDeque::new(),
        }
    }

    /// Takes up what the upstream says it bears now.
    pub fn set_borne(&mut self, borne: u32) {
        self.share = (borne / HOMES).max(1) as usize;
    }

    /// Whether a request may be sent now; if so, it counts as sent.
    ///
    /// ```
    /// use cassiagrade::decide::brittle::{DOUBT_MS, Gate};
    /// let mut gate = Gate::new(8, 4);
    /// assert!(gate.send(0) && gate.send(0));
    /// // More than half of what the upstream bears could be rejected.
    /// assert!(!gate.send(0));
    /// assert!(gate.send(DOUBT_MS));
    /// ```
    pub fn send(&mut self, now_ms: u64) -> bool {
        self.settle(now_ms);
        if self.in_flight >= self.slots || self.rejected_ms.len() >= self.share {
            return false;
        }
        let in_flight = self.in_flight + 1;
        if in_flight > self.level {
            if self.doubts.len() + self.rejected_ms.len() >= self.share {
                return false;
            }
            self.doubts.push_back(Doubt {
                sent_ms: now_ms,
                in_flight,
            });
        }
        self.in_flight = in_flight;
        true
    }

    /// Records that a request was turned away for want of room.
    pub fn rejected(&mut self, now_ms: u64) {
        self.ended();
        self.rejected_ms.push_back(now_ms);
        self.level = self.level.min(self.in_flight) / 2;
    }

    /// Records that a request ended otherwise.
    pub fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records that another router is the home now: nothing is known any more of what the upstream takes.
    pub fn hand_over(&mut self) {
        self.level = 0;
        self.doubts.clear();
    }

    /// Whether nothing is in flight, in doubt or held against it.
    pub fn is_idle(&mut self, now_ms: u64) -> bool {
        self.settle(now_ms);
        self.in_flight == 0 && self.doubts.is_empty() && self.rejected_ms.is_empty()
    }

    fn settle(&mut self, now_ms: u64) {
        let is_over = |at_ms: u64, after_ms| now_ms.saturating_sub(at_ms) >= after_ms;
        while let Some(at_ms) = self.rejected_ms.front()
            && is_over(*at_ms, WINDOW_MS)
        {
            self.rejected_ms.pop_front();
        }
        while let Some(doubt) = self.doubts.front().copied()
            && is_over(doubt.sent_ms, DOUBT_MS)
        {
            self.doubts.pop_front();
            // A rejection since then may have been of this very request.
            if self.rejected_ms.is_empty() {
                self.level = self.level.max(doubt.in_flight);
            }
        }
    }
}
