//! Where the router that a caller reached sends a request: its memory of chats, its view of loads,
//! and the upstreams that it keeps work from.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::decide::ejection::{self, Change, Ejector};
use crate::decide::loads::Slots;
use crate::decide::lru::LruCache;
use crate::decide::placement::{self, PlacementPolicy, PoolIndex};
use crate::decide::retry::{self, FailedAttempt, RetryBudget};
use crate::decide::{ChatKey, Rates};
use crate::event::Kind;
use crate::fleet::homes;
use crate::log::view::ConfigView;
use crate::peers::{PeerClient, WARM};
use crate::schema::config::Policy;
use crate::schema::peer::{Forward, WarmReply, WarmRequest};
use crate::serve::SharedCtx;
use crate::serve::home::loads::{SharedLoads, pool_slots};
use crate::util::Name;

/// Chats remembered: several times a router's part of the largest fleet's, in a few megabytes.
const MEMORY_CHATS: u64 = 100_000;
/// Longer than two hosts of a region need, shorter than the prefill of a short history.
const ASK_TIMEOUT: Duration = Duration::from_millis(50);

/// Where a chat was served last.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) upstream: Name,
    pub(crate) tokens: u32,
}

/// The upstreams to try, by name.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    pub(crate) tries: Vec<Name>,
    pub(crate) last: Option<Name>,
    /// Where the chat's cache lies.
    pub(crate) warm: Option<Place>,
}

/// Decides where requests go.
#[derive(Clone)]
pub(crate) struct Placer {
    ctx: SharedCtx,
    peers: PeerClient,
    pub(crate) loads: SharedLoads,
    state: Rc<RefCell<State>>,
}

struct State {
    memory: LruCache<Place>,
    pools: HashMap<Name, Rc<PoolState>>,
    config: Option<Arc<ConfigView>>,
    joined_ms: HashMap<Name, u64>,
    ejector: Ejector,
    budget: RetryBudget,
    rng: SmallRng,
}

struct PoolState {
    index: PoolIndex,
    slots: Vec<Slots>,
}

impl Placer {
    pub(crate) fn new(ctx: SharedCtx, peers: PeerClient, loads: SharedLoads) -> Self {
        let state = State {
            memory: LruCache::new(MEMORY_CHATS),
            pools: HashMap::new(),
            config: None,
            joined_ms: HashMap::new(),
            ejector: Ejector::default(),
            budget: RetryBudget::new(retry::DEFAULT_SHARE),
            rng: SmallRng::from_os_rng(),
        };
        Self {
            ctx,
            peers,
            loads,
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Where to try `forward`, leaving out the upstreams that `failed`.
    pub(crate) async fn plan(&self, forward: &Forward, failed: &[Name]) -> Plan {
        let pool = self.pool(&forward.service);
        let warm = self.warm(forward, &pool).await;
        let load_ms = self.shown_loads(&pool, failed);
        let warm_at = warm.as_ref().and_then(|w| pool.index.position(&w.upstream));
        let policy = self.policy(&forward.service);
        let mut placement = PlacementPolicy::default();
        if let Some(width) = policy.map(|p| p.spread_width).filter(|w| *w > 0) {
            placement.width = width as usize;
        }
        let plan = pool
            .index
            .plan(ChatKey(forward.chat_key), warm_at, &load_ms, placement);
        let name = |at: usize| pool.index.names()[at].clone();
        Plan {
            tries: plan.tries.into_iter().map(name).collect(),
            last: plan.last.map(name),
            warm,
        }
    }

    /// The upstream where `chat` was served last, as far as its anchor remembers.
    pub(crate) async fn last_served(&self, service: &str, chat: ChatKey) -> Option<Name> {
        let pool = self.pool(service);
        let forward = Forward {
            service: service.to_owned(),
            chat_key: chat.0,
            prompt_tokens: 1,
            ..Forward::default()
        };
        Some(self.warm(&forward, &pool).await?.upstream)
    }

    /// `upstream` gave a first frame after `took_ms`.
    pub(crate) fn answered(&self, forward: &Forward, upstream: &Name, took_ms: u64) {
        let (pool, share) = (self.pool(&forward.service), self.eject_share(forward));
        let now_ms = self.ctx.clock.now_ms();
        let names = pool.index.names();
        let change = {
            let ejector = &mut self.state.borrow_mut().ejector;
            ejector.answered(upstream, took_ms, names, share, now_ms)
        };
        self.tell(change, upstream);
    }

    /// `upstream` failed before its first frame.
    pub(crate) fn failed(&self, forward: &Forward, upstream: &Name) {
        let (pool, share) = (self.pool(&forward.service), self.eject_share(forward));
        let now_ms = self.ctx.clock.now_ms();
        let names = pool.index.names();
        let change = {
            let ejector = &mut self.state.borrow_mut().ejector;
            ejector.failed(upstream, names, share, now_ms)
        };
        self.tell(change, upstream);
    }

    /// Counts a request's first try.
    pub(crate) fn first_try(&self, service: &str) {
        let share = self.policy(service).map(|p| p.retry_share);
        let share = share.filter(|s| *s > 0.0).unwrap_or(retry::DEFAULT_SHARE);
        let budget = &mut self.state.borrow_mut().budget;
        budget.set_share(share);
        budget.first_try();
    }

    /// How long to wait before another try, or `None` if there must be none.
    pub(crate) fn pause_ms(&self, failed: FailedAttempt) -> Option<u64> {
        let state = &mut *self.state.borrow_mut();
        state.budget.pause_ms(failed, &mut state.rng)
    }

    /// Remembers that `upstream` serves the chat, and tells the router that callers are sent to.
    pub(crate) fn served(&self, forward: &Forward, upstream: &Name) {
        let tokens = forward.prompt_tokens.saturating_add(forward.output_tokens);
        let place = Place {
            upstream: upstream.clone(),
            tokens,
        };
        let chat = ChatKey(forward.chat_key);
        if self.remember(chat, place) {
            return;
        }
        let pool = self.pool_of(&forward.service);
        let Some(addr) = pool.and_then(|pool| self.anchor(forward, &pool)) else {
            return;
        };
        let note = WarmRequest {
            chat_key: forward.chat_key,
            upstream: upstream.to_string(),
            tokens,
        };
        let peers = self.peers.clone();
        compio::runtime::spawn(async move {
            if let Err(e) = peers.query::<_, WarmReply>(&addr, WARM, &note).await {
                log::debug!("{addr} wasn't told of a chat: {e}");
            }
        })
        .detach();
    }

    /// Remembers where a chat is; tells whether it was there before.
    fn remember(&self, chat: ChatKey, place: Place) -> bool {
        let memory = &mut self.state.borrow_mut().memory;
        let known = memory.get(chat).map(|p| p.upstream.clone());
        let same = known.as_ref() == Some(&place.upstream);
        memory.put(chat, place, 1);
        same
    }

    /// Answers another router that asks or tells where a chat was served last.
    pub(crate) fn answer(&self, ask: WarmRequest) -> WarmReply {
        let memory = &mut self.state.borrow_mut().memory;
        let chat = ChatKey(ask.chat_key);
        if !ask.upstream.is_empty() {
            let place = Place {
                upstream: ask.upstream.into(),
                tokens: ask.tokens,
            };
            memory.put(chat, place, 1);
            return WarmReply::default();
        }
        let known = memory.get(chat);
        known.map_or_else(WarmReply::default, |place| WarmReply {
            upstream: place.upstream.to_string(),
            tokens: place.tokens,
        })
    }

    /// From this router's memory, else from the router that the chat's callers are sent to.
    async fn warm(&self, forward: &Forward, pool: &PoolState) -> Option<Place> {
        if forward.prompt_tokens == 0 {
            return None;
        }
        let chat = ChatKey(forward.chat_key);
        if let Some(place) = self.state.borrow().memory.get(chat) {
            return Some(place.clone());
        }
        let addr = self.anchor(forward, pool)?;
        let ask = WarmRequest {
            chat_key: forward.chat_key,
            ..WarmRequest::default()
        };
        let asked = self.peers.query::<_, WarmReply>(&addr, WARM, &ask);
        let given = compio::time::timeout(ASK_TIMEOUT, asked).await.ok()?.ok()?;
        (!given.upstream.is_empty()).then(|| Place {
            upstream: given.upstream.into(),
            tokens: given.tokens,
        })
    }

    /// The other router that the chat's callers are sent to: the home of its first upstream.
    fn anchor(&self, forward: &Forward, pool: &PoolState) -> Option<Name> {
        let first = pool.index.first(ChatKey(forward.chat_key), 1);
        let name = &pool.index.names()[*first.first()?];
        let config = self.ctx.config();
        let upstream = config.upstream(&forward.service, name)?;
        let fleet = self.ctx.fleet();
        let home = homes::home(&fleet, &upstream.name, &upstream.data_center)?;
        (home.host != self.ctx.host).then(|| home.peer_addr.clone())
    }

    /// The load at which each upstream is shown to placement.
    fn shown_loads(&self, pool: &PoolState, failed: &[Name]) -> Vec<f64> {
        let now_ms = self.ctx.clock.now_ms();
        let fleet = self.ctx.fleet();
        let is_barred =
            |slots: &Slots| failed.contains(&slots.name) || fleet.is_leaving(&slots.name);
        let mean_ms = self.loads.pool_view(&pool.slots, None).mean_work_ms;
        let state = &mut *self.state.borrow_mut();
        let shown = |slots: &Slots| {
            if is_barred(slots) || state.ejector.is_ejected(&slots.name, now_ms) {
                return f64::INFINITY;
            }
            // Unknown isn't idle.
            let Some(seen) = self.loads.get(&slots.name) else {
                return mean_ms;
            };
            let joined_ms = state.joined_ms.get(&slots.name);
            let age_ms = joined_ms.map_or(u64::MAX, |at| now_ms - at);
            let work_ms = placement::joined_load_ms(seen.work_ms, mean_ms, age_ms);
            placement::shown_load_ms(work_ms, slots.free(seen))
        };
        let load_ms: Vec<f64> = pool.slots.iter().map(shown).collect();
        if load_ms.iter().any(|ms| ms.is_finite()) {
            return load_ms;
        }
        // All that stay are ejected: trying is better than refusing for what was true a moment ago.
        let untried = |slots: &Slots| {
            if is_barred(slots) {
                return f64::INFINITY;
            }
            mean_ms
        };
        pool.slots.iter().map(untried).collect()
    }

    /// Claims the probe of an ejected upstream; `false` means that it is to be left out.
    pub(crate) fn admits(&self, upstream: &str) -> bool {
        let now_ms = self.ctx.clock.now_ms();
        self.state.borrow_mut().ejector.admits(upstream, now_ms)
    }

    fn pool_of(&self, service: &str) -> Option<Rc<PoolState>> {
        let pool = self.pool(service);
        (!pool.slots.is_empty()).then_some(pool)
    }

    fn pool(&self, service: &str) -> Rc<PoolState> {
        let config = self.ctx.config();
        let state = &mut *self.state.borrow_mut();
        if !state
            .config
            .as_ref()
            .is_some_and(|c| Arc::ptr_eq(c, &config))
        {
            state.reconfigure(config.clone(), self.ctx.clock.now_ms());
        }
        let pool = state.pools.entry(service.into()).or_insert_with(|| {
            let slots = pool_slots(&config, service);
            let names = slots.iter().map(|s| s.name.clone()).collect();
            let index = PoolIndex::new(names);
            Rc::new(PoolState { index, slots })
        });
        pool.clone()
    }

    fn policy(&self, service: &str) -> Option<Arc<Policy>> {
        self.ctx.config().policy(service).cloned()
    }

    fn eject_share(&self, forward: &Forward) -> f64 {
        let share = self.policy(&forward.service).map(|p| p.eject_share);
        share
            .filter(|s| *s > 0.0)
            .unwrap_or(ejection::DEFAULT_SHARE)
    }

    fn tell(&self, change: Change, upstream: &Name) {
        let kind = match change {
            Change::None => return,
            Change::Ejected => Kind::UpstreamEjected,
            Change::Restored => Kind::UpstreamRestored,
        };
        let (failures, mean_ms) = self.state.borrow().ejector.evidence(upstream);
        self.ctx.events.emit(kind, |e| {
            e.upstream = upstream.to_string();
            e.detail =
                format!("{failures} failures in a row, first frame {mean_ms:.0} ms on average");
        });
    }
}

impl State {
    /// Takes a new configuration: notes when upstreams joined, forgets those that went.
    fn reconfigure(&mut self, config: Arc<ConfigView>, now_ms: u64) {
        let known =
            |view: &ConfigView, name: &str| view.state.upstreams.iter().any(|u| u.name == name);
        if let Some(before) = &self.config {
            for upstream in &config.state.upstreams {
                if !known(before, &upstream.name) {
                    let name = Name::from(upstream.name.as_str());
                    self.joined_ms.insert(name, now_ms);
                }
            }
        }
        self.joined_ms.retain(|name, _| known(&config, name));
        self.ejector.retain(|name| known(&config, name));
        self.pools.clear();
        self.config = Some(config);
    }
}

/// Whether the chat's cache should be moved from `warm` before it runs elsewhere.
pub(crate) fn import_pays(warm: &Place) -> bool {
    placement::import_pays(warm.tokens, &Rates::default())
}
