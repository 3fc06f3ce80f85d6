//! Times of what disturbs the processes of the fleet.

use std::cell::RefCell;
use std::rc::Rc;

use crate::support::wall_ms;

/// Time after the end of a disturbance for which it still excuses a router.
const EXCUSED_AFTER_MS: u64 = 3_000;
/// Shortest suspension of a router that excuses it; shorter ones count as a shortage of processor.
const MIN_FREEZE_MS: u64 = 1_000;

/// What is disturbed, with the index of the router or upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outage {
    /// From a kill or SIGTERM until the next start of the router.
    RouterDown(usize),
    /// The router was killed.
    RouterKilled(usize),
    /// The router's process is suspended, for any time.
    RouterSuspended(usize),
    /// The router runs only in short cycles.
    RouterShort(usize),
    /// The relay between the router and the store has a fault.
    Relay(usize),
    Store,
    /// All processes are suspended; the suspensions are recorded too.
    Stall,
    UpstreamFrozen(usize),
    /// The upstream sends and reads nothing for a time.
    UpstreamSilent(usize),
    /// The upstream announces its shutdown in the store, or removed its entry, and still serves.
    UpstreamLeaving(usize),
    /// The upstream has knobs set.
    UpstreamFault(usize),
}

/// A period in Unix milliseconds; one that hasn't ended ends at `u64::MAX`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Span {
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
}

impl Span {
    pub(crate) fn overlaps(self, from_ms: u64, to_ms: u64) -> bool {
        self.from_ms <= to_ms && from_ms <= self.to_ms
    }

    fn length_ms(self) -> u64 {
        self.to_ms - self.from_ms
    }
}

/// All outages of a run. Clones share one list.
#[derive(Clone, Default)]
pub(crate) struct Outages {
    spans: Rc<RefCell<Vec<(Outage, Span)>>>,
    restores: Rc<RefCell<Vec<Span>>>,
    stops: Rc<RefCell<Vec<(usize, u64)>>>,
    reloads: Rc<RefCell<Vec<(usize, u64)>>>,
}

impl Outages {
    /// Records the start of an outage, unless it is going on.
    pub(crate) fn begin(&self, outage: Outage) {
        let mut spans = self.spans.borrow_mut();
        let is_open = |(o, span): &(Outage, Span)| *o == outage && span.to_ms == u64::MAX;
        if spans.iter().any(is_open) {
            return;
        }
        let span = Span {
            from_ms: wall_ms(),
            to_ms: u64::MAX,
        };
        spans.push((outage, span));
    }

    pub(crate) fn end(&self, outage: Outage) {
        let mut spans = self.spans.borrow_mut();
        let mut open = spans
            .iter_mut()
            .filter(|(o, s)| *o == outage && s.to_ms == u64::MAX);
        if let Some((_, span)) = open.next() {
            span.to_ms = wall_ms();
        }
    }

    /// Records an outage whose end is known.
    pub(crate) fn add(&self, outage: Outage, span: Span) {
        self.spans.borrow_mut().push((outage, span));
    }

    pub(crate) fn is_open(&self, outage: Outage) -> bool {
        let spans = self.spans.borrow();
        let mut matching = spans.iter().filter(|(o, _)| *o == outage);
        matching.any(|(_, span)| span.to_ms == u64::MAX)
    }

    /// The outages of this kind, in the order of their starts.
    pub(crate) fn of(&self, outage: Outage) -> Vec<Span> {
        let spans = self.spans.borrow();
        let matching = spans.iter().filter(|(o, _)| *o == outage);
        matching.map(|(_, span)| *span).collect()
    }

    /// The suspensions of a router that are long enough to excuse it.
    pub(crate) fn freezes(&self, router: usize) -> Vec<Span> {
        let mut spans = self.of(Outage::RouterSuspended(router));
        spans.retain(|span| span.length_ms() >= MIN_FREEZE_MS);
        spans
    }

    pub(crate) fn has(&self, outage: Outage, from_ms: u64, to_ms: u64) -> bool {
        let spans = self.spans.borrow();
        let mut matching = spans.iter().filter(|(o, _)| *o == outage);
        matching.any(|(_, span)| span.overlaps(from_ms, to_ms))
    }

    /// Whether an upstream was frozen or silent in this period.
    pub(crate) fn is_stopped(&self, upstream: usize, from_ms: u64, to_ms: u64) -> bool {
        let kinds = [
            Outage::UpstreamFrozen(upstream),
            Outage::UpstreamSilent(upstream),
        ];
        kinds.iter().any(|kind| self.has(*kind, from_ms, to_ms))
    }

    /// Records that a router was sent SIGTERM.
    pub(crate) fn stopped(&self, router: usize) {
        self.stops.borrow_mut().push((router, wall_ms()));
    }

    /// The routers that were sent SIGTERM, with the Unix times in milliseconds.
    pub(crate) fn stops(&self) -> Vec<(usize, u64)> {
        self.stops.borrow().clone()
    }

    /// Records that a router was sent SIGHUP.
    pub(crate) fn reloaded(&self, router: usize) {
        self.reloads.borrow_mut().push((router, wall_ms()));
    }

    /// The routers that were sent SIGHUP, with the Unix times in milliseconds.
    pub(crate) fn reloads(&self) -> Vec<(usize, u64)> {
        self.reloads.borrow().clone()
    }

    /// What an operator doesn't announce, wherever it was. A machine that stands still as a whole does not
    /// count, nor do upstreams that fall silent and a store that is away.
    pub(crate) fn disruptions(&self) -> Vec<Span> {
        let stalls = self.of(Outage::Stall);
        let is_of_stall = |span: &Span| {
            stalls
                .iter()
                .any(|s| s.from_ms <= span.from_ms && span.to_ms <= s.to_ms)
        };
        let spans = self.spans.borrow();
        let unannounced = spans.iter().filter(|(outage, span)| match outage {
            Outage::RouterKilled(_)
            | Outage::RouterShort(_)
            | Outage::Relay(_)
            | Outage::UpstreamFrozen(_)
            | Outage::UpstreamFault(_) => true,
            Outage::RouterSuspended(_) => !is_of_stall(span),
            Outage::RouterDown(_)
            | Outage::Store
            | Outage::Stall
            | Outage::UpstreamSilent(_)
            | Outage::UpstreamLeaving(_) => false,
        });
        unannounced.map(|(_, span)| *span).collect()
    }

    /// Records that the store was away and came back from an older copy.
    pub(crate) fn restored(&self, away: Span) {
        self.restores.borrow_mut().push(away);
    }

    /// The times for which the store was away before it came back from an older copy.
    pub(crate) fn restores(&self) -> Vec<Span> {
        self.restores.borrow().clone()
    }

    /// Whether a router's bounds don't hold for a request of this period.
    pub(crate) fn excuses(&self, router: usize, from_ms: u64, to_ms: u64) -> bool {
        self.excuses_alone(router, from_ms, to_ms) || self.store_is_unstable_in(from_ms, to_ms)
    }

    /// Whether they don't hold because of the router itself or its link to the store.
    pub(crate) fn excuses_alone(&self, router: usize, from_ms: u64, to_ms: u64) -> bool {
        let spans = self.spans.borrow();
        let is_excusing = |(outage, span): &(Outage, Span)| match outage {
            Outage::RouterDown(r) | Outage::Relay(r) => *r == router,
            Outage::RouterSuspended(r) => *r == router && span.length_ms() >= MIN_FREEZE_MS,
            _ => false,
        };
        let mut excusing = spans.iter().filter(|entry| is_excusing(entry));
        excusing.any(|(_, span)| {
            let until_ms = span.to_ms.saturating_add(EXCUSED_AFTER_MS);
            span.from_ms <= to_ms && from_ms <= until_ms
        })
    }

    /// Whether the store had a fault at `at_ms` or shortly before: what it holds then is no
    /// acknowledgement from which bounds are measured.
    pub(crate) fn store_is_unstable(&self, at_ms: u64) -> bool {
        self.store_is_unstable_in(at_ms, at_ms)
    }

    /// Whether the store had a fault in this period or shortly before.
    pub(crate) fn store_is_unstable_in(&self, from_ms: u64, to_ms: u64) -> bool {
        let from_ms = from_ms.saturating_sub(EXCUSED_AFTER_MS);
        self.has(Outage::Store, from_ms, to_ms)
    }

    /// Whether a router was suspended or ran only in cycles in this period.
    pub(crate) fn is_short(&self, router: usize, from_ms: u64, to_ms: u64) -> bool {
        let kinds = [Outage::RouterShort(router), Outage::RouterSuspended(router)];
        kinds.iter().any(|kind| self.has(*kind, from_ms, to_ms))
    }

    /// What disturbed a router in this period, in milliseconds relative to `origin_ms`.
    pub(crate) fn describe(
        &self,
        router: usize,
        from_ms: u64,
        to_ms: u64,
        origin_ms: u64,
    ) -> String {
        let relative = |at_ms: u64| i128::from(at_ms) - i128::from(origin_ms);
        let spans = self.spans.borrow();
        let is_of_router = |outage: &Outage| match outage {
            Outage::RouterDown(r)
            | Outage::RouterKilled(r)
            | Outage::RouterSuspended(r)
            | Outage::RouterShort(r)
            | Outage::Relay(r) => *r == router,
            Outage::Store | Outage::Stall => true,
            Outage::UpstreamFrozen(_)
            | Outage::UpstreamSilent(_)
            | Outage::UpstreamLeaving(_)
            | Outage::UpstreamFault(_) => false,
        };
        let matching = spans
            .iter()
            .filter(|(o, span)| is_of_router(o) && span.overlaps(from_ms, to_ms));
        let texts = matching.map(|(outage, span)| {
            let to = if span.to_ms == u64::MAX {
                "end".to_owned()
            } else {
                format!("{:+}", relative(span.to_ms))
            };
            format!("{outage:?} {:+}..{to}", relative(span.from_ms))
        });
        texts.collect::<Vec<_>>().join(", ")
    }
}
