//! What the platform's log says, as far as this router knows: read from it, or told by another.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::marker::PhantomData;
use std::rc::Rc;

use bytes::Bytes;

use crate::fleet::news::Freshness;
use crate::path::beliefs::Beliefs;
use crate::path::dialect::Records;
use crate::schema::peer::{NewsAsk, NewsGive, NewsMark, UpstreamNews};
use crate::util::{Clock, Name};

/// Changes of upstreams that are kept for routers that missed them; one that missed more is told
/// everything.
const MAX_CHANGES: usize = 256;

/// Silence of the log for which entries of upstreams lapse: three of their writes.
const LAPSE_MS: u64 = 3_000;
/// An upstream whose entry lapsed while the log was away is back within two seconds of its return,
/// if it lives; one that is missing after this is gone.
const RETURN_SLACK_MS: u64 = 2_300;

/// Configuration and upstreams with what other routers need of them.
pub(crate) struct News<D> {
    beliefs: Rc<Beliefs>,
    clock: Clock,
    config: RefCell<Bytes>,
    config_fresh: Cell<Freshness>,
    upstreams: RefCell<HashMap<Name, Bytes>>,
    upstreams_at: Cell<u64>,
    upstreams_fresh: Cell<Freshness>,
    changes: RefCell<VecDeque<UpstreamNews>>,
    /// Changes up to here are no longer kept.
    changes_after: Cell<u64>,
    /// Until then, upstreams whose entries went are held for alive.
    doubt_until_ms: Cell<u64>,
    missing: RefCell<HashSet<Name>>,
    records: PhantomData<D>,
}

impl<D: Records> News<D> {
    pub(crate) fn new(beliefs: Rc<Beliefs>, clock: Clock) -> Self {
        Self {
            beliefs,
            clock,
            config: RefCell::default(),
            config_fresh: Cell::default(),
            upstreams: RefCell::default(),
            upstreams_at: Cell::default(),
            upstreams_fresh: Cell::default(),
            changes: RefCell::default(),
            changes_after: Cell::default(),
            doubt_until_ms: Cell::default(),
            missing: RefCell::default(),
            records: PhantomData,
        }
    }

    /// Takes a configuration. One that can't be read is refused, and the old one stays in force.
    pub(crate) fn configure(&self, record: Bytes, source: &str) {
        match D::deployment(&record) {
            Ok(deployment) => {
                let version = deployment.version;
                if self.beliefs.configure(deployment) {
                    self.config.replace(record);
                    log::info!("configuration {version} in force, from {source}");
                }
            }
            Err(e) => log::error!("configuration from {source} refused: {e}"),
        }
    }

    /// The configuration is the newest there was at `at_ms`.
    pub(crate) fn confirm_config(&self, at_ms: u64) {
        let mut fresh = self.config_fresh.get();
        fresh.confirm(at_ms, &mut rand::rng());
        self.config_fresh.set(fresh);
    }

    /// The upstreams are all there were at `at_ms`.
    pub(crate) fn confirm_upstreams(&self, at_ms: u64) {
        let mut fresh = self.upstreams_fresh.get();
        fresh.confirm(at_ms, &mut rand::rng());
        self.upstreams_fresh.set(fresh);
    }

    pub(crate) fn config_is_stale(&self) -> bool {
        self.config_fresh.get().is_stale(self.clock.now_ms())
    }

    pub(crate) fn upstreams_are_stale(&self) -> bool {
        self.upstreams_fresh.get().is_stale(self.clock.now_ms())
    }

    /// The offset up to which the upstreams are those of the log; 0 if nothing is known.
    pub(crate) fn upstreams_at(&self) -> u64 {
        self.upstreams_at.get()
    }

    /// Takes what an upstream wrote; `at` is the offset after its record.
    pub(crate) fn put(&self, at: u64, id: &str, record: Bytes) {
        let upstream = match D::upstream(id, &record) {
            Ok(upstream) => upstream,
            Err(e) => return log::warn!("upstream {id} refused: {e}"),
        };
        let draining = upstream.draining;
        let is_new = !self.beliefs.knows_upstream(id) && self.upstreams_at.get() > 0;
        self.missing.borrow_mut().remove(id);
        let is_change = self.beliefs.change_upstreams(|u| u.put(upstream));
        let was_listed = self.upstreams.borrow().contains_key(id);
        if !is_change && was_listed {
            return;
        }
        if is_new {
            self.beliefs.joined(id, self.clock.now_ms());
        }
        log::info!("upstream {id} is there, draining: {draining}, offset {at}");
        self.upstreams
            .borrow_mut()
            .insert(id.into(), record.clone());
        self.changed(at, id, record);
    }

    /// News come again. If none came for long, entries that went meanwhile are doubted for a while.
    ///
    /// Failure guarded against: the log comes back, all entries have lapsed, and a router that takes
    /// every upstream for gone refuses all requests until they have written again. Each router
    /// doubts for itself and tells the others what the log says: one that held back a removal from
    /// the others would leave them sending work to an upstream that left.
    pub(crate) fn returned(&self) {
        let now_ms = self.clock.now_ms();
        let silence_ms = self.upstreams_fresh.get().age_ms(now_ms);
        if self.upstreams_at.get() > 0 && silence_ms > LAPSE_MS {
            log::info!("news of upstreams again after {silence_ms} ms");
            self.doubt_until_ms.set(now_ms + RETURN_SLACK_MS);
        }
    }

    /// An upstream's entry went.
    pub(crate) fn remove(&self, at: u64, id: &str) {
        if self.upstreams.borrow_mut().remove(id).is_none() {
            return;
        }
        self.changed(at, id, Bytes::new());
        if self.clock.now_ms() < self.doubt_until_ms.get() {
            self.missing.borrow_mut().insert(id.into());
        } else {
            self.gone(at, id);
        }
    }

    /// Takes those that didn't come back for gone, once the doubt is over.
    pub(crate) fn settle(&self) {
        if self.clock.now_ms() < self.doubt_until_ms.get() {
            return;
        }
        for id in self.missing.take() {
            self.gone(self.upstreams_at.get(), &id);
        }
    }

    fn gone(&self, at: u64, id: &str) {
        if self.beliefs.change_upstreams(|u| u.remove(id)) {
            log::info!("upstream {id} is gone, offset {at}");
            self.beliefs.found_dead(id, self.clock.now_ms());
        }
    }

    /// All upstreams were read as of offset `at`: changes before it are known by nobody here.
    pub(crate) fn start_at(&self, at: u64) {
        if at > self.upstreams_at.get() {
            self.upstreams_at.set(at);
            self.changes_after.set(at);
            self.changes.borrow_mut().clear();
        }
    }

    fn changed(&self, at: u64, id: &str, record: Bytes) {
        self.upstreams_at.set(at.max(self.upstreams_at.get()));
        let mut changes = self.changes.borrow_mut();
        changes.push_back(UpstreamNews {
            at,
            id: id.to_owned(),
            record: record.into(),
        });
        if changes.len() > MAX_CHANGES
            && let Some(forgotten) = changes.pop_front()
        {
            self.changes_after.set(forgotten.at);
        }
    }

    /// How much is known here.
    pub(crate) fn mark(&self) -> NewsMark {
        let now_ms = self.clock.now_ms();
        let age =
            |fresh: &Cell<Freshness>| u32::try_from(fresh.get().age_ms(now_ms)).unwrap_or(u32::MAX);
        NewsMark {
            config_version: self.beliefs.deployment().version,
            config_age_ms: age(&self.config_fresh),
            upstreams_at: self.upstreams_at.get(),
            upstreams_age_ms: age(&self.upstreams_fresh),
        }
    }

    /// Whether a router with this mark knows more.
    pub(crate) fn is_behind(&self, mark: &NewsMark) -> bool {
        mark.config_version > self.beliefs.deployment().version
            || mark.upstreams_at > self.upstreams_at.get()
    }

    /// Another router's mark: if it knows no more than this one, what it confirmed holds here too.
    pub(crate) fn heard(&self, mark: &NewsMark) {
        let now_ms = self.clock.now_ms();
        let at = |age_ms: u32| now_ms.saturating_sub(age_ms.into());
        if mark.config_version == self.beliefs.deployment().version {
            self.confirm_config(at(mark.config_age_ms));
        }
        if mark.upstreams_at == self.upstreams_at.get() {
            self.confirm_upstreams(at(mark.upstreams_age_ms));
        }
    }

    /// What an asker doesn't know yet.
    pub(crate) fn give(&self, ask: &NewsAsk) -> NewsGive {
        let has_newer = self.beliefs.deployment().version > ask.config_version;
        let is_whole = ask.upstreams_at < self.changes_after.get() || ask.upstreams_at == 0;
        let upstreams = if is_whole {
            self.whole()
        } else {
            let changes = self.changes.borrow();
            let missed = changes.iter().filter(|c| c.at > ask.upstreams_at);
            missed.cloned().collect()
        };
        NewsGive {
            config: if has_newer {
                self.config.borrow().to_vec()
            } else {
                Vec::new()
            },
            upstreams,
            is_whole,
            mark: Some(self.mark()),
        }
    }

    fn whole(&self) -> Vec<UpstreamNews> {
        let upstreams = self.upstreams.borrow();
        let news = |(id, record): (&Name, &Bytes)| UpstreamNews {
            at: self.upstreams_at.get(),
            id: id.to_string(),
            record: record.to_vec(),
        };
        upstreams.iter().map(news).collect()
    }

    /// Takes what another router gave.
    pub(crate) fn take(&self, give: NewsGive, source: &str) {
        let mark = give.mark.unwrap_or_default();
        if !give.config.is_empty() {
            self.configure(give.config.into(), source);
        }
        if mark.upstreams_at <= self.upstreams_at.get() {
            return self.heard(&mark);
        }
        self.returned();
        if give.is_whole {
            self.start_at(mark.upstreams_at);
            let there = |id: &Name| give.upstreams.iter().any(|u| *u.id == **id);
            let gone = self.beliefs.change_upstreams(|u| u.ids());
            for id in gone.iter().filter(|id| !there(id)) {
                self.remove(mark.upstreams_at, id);
            }
        }
        for news in give.upstreams {
            if news.record.is_empty() {
                self.remove(news.at, &news.id);
            } else {
                self.put(news.at, &news.id, news.record.into());
            }
        }
        self.upstreams_at.set(mark.upstreams_at);
        self.heard(&mark);
    }
}
