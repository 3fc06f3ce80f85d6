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

use crate::decide::{Incarnation, Name};

/// Window over which an upstream counts what it turns away.
pub const WINDOW_MS: u64 = 1_000;
/// Time after which a request that was not rejected has been taken. Above a round trip between regions.
pub const DOUBT_MS: u64 = 50;
/// What an upstream said is forgotten when neither an answer nor another router has repeated it for so long.
const WORD_TTL_MS: u64 = 60_000;
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

/// What is known of one start of an upstream.
#[derive(Clone, Debug)]
struct Word {
    service: Name,
    /// Rejections in a second that it bears; `None` if it said that it isn't brittle any more.
    borne: Option<u32>,
    heard_ms: u64,
    /// It said so to this router.
    is_own: bool,
}

/// What a router reports of an upstream that said that it isn't brittle.
const BEARS_ANY: u32 = u32::MAX;

/// The upstreams that say that they are brittle, to this router or to others, and what the others of their
/// services say.
#[derive(Clone, Debug, Default)]
pub struct BrittleUpstreams {
    words: HashMap<Incarnation, Word>,
}

impl BrittleUpstreams {
    /// Whether nothing is known of any.
    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }

    /// Records what an answer of `upstream` says, and returns what changed. What can't be read changes nothing:
    /// it would be as wrong to take the upstream for a sturdy one.
    ///
    /// ```
    /// use cassiagrade::decide::Incarnation;
    /// use cassiagrade::decide::brittle::{BrittleUpstreams, Frailty, FrailtyChange};
    /// let upstream = Incarnation { id: "up-1".into(), started_ms: 7 };
    /// let mut brittle = BrittleUpstreams::default();
    /// let service = "s".into();
    /// let mut record = |frailty| brittle.record(&upstream, &service, frailty, 0);
    /// assert_eq!(record(Frailty::Bears(2)), FrailtyChange::Bears(2));
    /// assert_eq!(record(Frailty::Unreadable), FrailtyChange::Same);
    /// assert_eq!(record(Frailty::None), FrailtyChange::Ended);
    /// ```
    pub fn record(
        &mut self,
        upstream: &Incarnation,
        service: &Name,
        frailty: Frailty,
        now_ms: u64,
    ) -> FrailtyChange {
        let borne = match frailty {
            Frailty::Unreadable => return FrailtyChange::Same,
            Frailty::None if self.words.is_empty() => return FrailtyChange::Same,
            Frailty::None => None,
            Frailty::Bears(borne) => Some(borne),
        };
        let word = Word {
            service: service.clone(),
            borne,
            heard_ms: now_ms,
            is_own: true,
        };
        let before = self.words.insert(upstream.clone(), word);
        match (before.and_then(|word| word.borne), borne) {
            (before, Some(borne)) if before != Some(borne) => FrailtyChange::Bears(borne),
            (Some(_), None) => FrailtyChange::Ended,
            _ => FrailtyChange::Same,
        }
    }

    /// Records what `upstream` said to another router. What it said to this one counts more.
    pub fn report(&mut self, upstream: &Incarnation, service: &Name, borne: u32, now_ms: u64) {
        if self.words.get(upstream).is_some_and(|word| word.is_own) {
            return;
        }
        let word = Word {
            service: service.clone(),
            borne: Some(borne).filter(|borne| *borne != BEARS_ANY),
            heard_ms: now_ms,
            is_own: false,
        };
        self.words.insert(upstream.clone(), word);
    }

    /// Rejections in a second that `upstream` of `service` bears, if it is brittle. One that nothing was heard
    /// of bears the least of its service: a brittle one that starts again would otherwise get a request from
    /// each router before the first answer.
    pub fn borne(&self, upstream: &Incarnation, service: &Name) -> Option<u32> {
        if let Some(word) = self.words.get(upstream) {
            return word.borne;
        }
        let of_service = self.words.values().filter(|word| word.service == *service);
        of_service.filter_map(|word| word.borne).min()
    }

    /// What upstreams said to this router, as it reports it.
    pub fn own(&self) -> impl Iterator<Item = (&Incarnation, u32)> {
        let own = self.words.iter().filter(|(_, word)| word.is_own);
        own.map(|(upstream, word)| (upstream, word.borne.unwrap_or(BEARS_ANY)))
    }

    /// What upstreams said to any router.
    pub fn all(&self) -> impl Iterator<Item = (&Incarnation, u32)> {
        let all = self.words.iter();
        all.map(|(upstream, word)| (upstream, word.borne.unwrap_or(BEARS_ANY)))
    }

    /// Drops the upstreams that are gone, and those of which nothing was heard for long; all if none is brittle.
    pub fn sweep(&mut self, is_listed: impl Fn(&Incarnation) -> bool, now_ms: u64) {
        self.words.retain(|upstream, word| {
            is_listed(upstream) && now_ms.saturating_sub(word.heard_ms) < WORD_TTL_MS
        });
        if self.words.values().all(|word| word.borne.is_none()) {
            self.words.clear();
        }
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

    /// Whether a request may be sent now.
    pub fn is_open(&mut self, now_ms: u64) -> bool {
        self.settle(now_ms);
        if self.in_flight >= self.slots || self.rejected_ms.len() >= self.share {
            return false;
        }
        self.in_flight < self.level || self.doubts.len() + self.rejected_ms.len() < self.share
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
        if !self.is_open(now_ms) {
            return false;
        }
        let in_flight = self.in_flight + 1;
        if in_flight > self.level {
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
