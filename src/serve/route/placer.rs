//! Placement at the router that received the request: locations of chats, the view of loads, and
//! ejected upstreams.

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
use crate::time_limit::within;
use crate::util::Name;

/// Chat locations kept: several times one router's share of the largest fleet's chats, in a few
/// megabytes.
const MAX_CHATS: u64 = 100_000;
/// Longer than a round trip between two hosts of a region, shorter than the prefill of a short
/// history.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(50);

/// Where a chat was served last, and its tokens in that upstream's cache.
#[derive(Clone, Debug)]
pub(crate) struct ChatLocation {
    pub(crate) upstream: Name,
    pub(crate) tokens: u32,
}

/// The upstreams to try, in order, and the one to fall back on.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    pub(crate) tries: Vec<Name>,
    pub(crate) last: Option<Name>,
    /// Where the chat's cache is.
    pub(crate) warm: Option<ChatLocation>,
}

/// Chooses the upstreams for requests.
#[derive(Clone)]
pub(crate) struct Placer {
    ctx: SharedCtx,
    peers: PeerClient,
    pub(crate) loads: SharedLoads,
    state: Rc<RefCell<State>>,
}

struct State {
    chats: LruCache<ChatLocation>,
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
            chats: LruCache::new(MAX_CHATS),
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

    /// Plans the upstreams to try for `forward`, except those in `failed`.
    pub(crate) async fn plan(&self, forward: &Forward, failed: &[Name]) -> Plan {
        let pool = self.pool(&forward.service);
        let warm = self.locate_chat(forward, &pool).await;
        let load_ms = self.effective_loads(&pool, failed);
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

    /// Returns the upstream where `chat` was served last, if this router or the chat's entry router
    /// has a record of it.
    pub(crate) async fn last_served(&self, service: &str, chat: ChatKey) -> Option<Name> {
        let pool = self.pool(service);
        let forward = Forward {
            service: service.to_owned(),
            chat_key: chat.0,
            prompt_tokens: 1,
            ..Forward::default()
        };
        Some(self.locate_chat(&forward, &pool).await?.upstream)
    }

    /// Records that `upstream` sent a first frame after `took_ms`.
    pub(crate) fn record_answer(&self, forward: &Forward, upstream: &Name, took_ms: u64) {
        let (pool, share) = (self.pool(&forward.service), self.eject_share(forward));
        let now_ms = self.ctx.clock.now_ms();
        let change = {
            let ejector = &mut self.state.borrow_mut().ejector;
            ejector.answered(upstream, took_ms, &pool.index, share, now_ms)
        };
        self.emit_change(change, upstream);
    }

    /// Records that `upstream` failed before its first frame.
    pub(crate) fn record_failure(&self, forward: &Forward, upstream: &Name) {
        let (pool, share) = (self.pool(&forward.service), self.eject_share(forward));
        let now_ms = self.ctx.clock.now_ms();
        let change = {
            let ejector = &mut self.state.borrow_mut().ejector;
            ejector.failed(upstream, &pool.index, share, now_ms)
        };
        self.emit_change(change, upstream);
    }

    /// Counts a request's first attempt towards the retry budget.
    pub(crate) fn first_try(&self, service: &str) {
        let share = self.policy(service).map(|p| p.retry_share);
        let share = share.filter(|s| *s > 0.0).unwrap_or(retry::DEFAULT_SHARE);
        let budget = &mut self.state.borrow_mut().budget;
        budget.set_share(share);
        budget.first_try();
    }

    /// Returns how long to wait before a retry, or `None` if the request must not be retried.
    pub(crate) fn pause_ms(&self, failed: FailedAttempt) -> Option<u64> {
        let state = &mut *self.state.borrow_mut();
        state.budget.pause_ms(failed, &mut state.rng)
    }

    /// Records that `upstream` serves the chat, here and at the chat's entry router.
    pub(crate) fn record_served(&self, forward: &Forward, upstream: &Name) {
        let tokens = forward.prompt_tokens.saturating_add(forward.output_tokens);
        let location = ChatLocation {
            upstream: upstream.clone(),
            tokens,
        };
        let chat = ChatKey(forward.chat_key);
        if self.store_location(chat, location) {
            return;
        }
        let pool = self.nonempty_pool(&forward.service);
        let Some(addr) = pool.and_then(|pool| self.entry_router(forward, &pool)) else {
            return;
        };
        let update = WarmRequest {
            chat_key: forward.chat_key,
            upstream: upstream.to_string(),
            tokens,
        };
        let peers = self.peers.clone();
        compio::runtime::spawn(async move {
            if let Err(e) = peers.query::<_, WarmReply>(&addr, WARM, &update).await {
                log::debug!("sending a chat's location to {addr} failed: {e}");
            }
        })
        .detach();
    }

    /// Stores a chat's location; returns whether the stored upstream is unchanged.
    fn store_location(&self, chat: ChatKey, location: ChatLocation) -> bool {
        let chats = &mut self.state.borrow_mut().chats;
        let before = chats.get(chat).map(|l| l.upstream.clone());
        let same = before.as_ref() == Some(&location.upstream);
        chats.put(chat, location, 1);
        same
    }

    /// Handles another router's lookup or, if `request` names an upstream, update of a chat's
    /// location.
    pub(crate) fn handle_warm(&self, request: WarmRequest) -> WarmReply {
        let chats = &mut self.state.borrow_mut().chats;
        let chat = ChatKey(request.chat_key);
        if !request.upstream.is_empty() {
            let location = ChatLocation {
                upstream: request.upstream.into(),
                tokens: request.tokens,
            };
            chats.put(chat, location, 1);
            return WarmReply::default();
        }
        let location = chats.get(chat);
        location.map_or_else(WarmReply::default, |l| WarmReply {
            upstream: l.upstream.to_string(),
            tokens: l.tokens,
        })
    }

    /// Returns the chat's location from this router's records, or from the chat's entry router.
    async fn locate_chat(&self, forward: &Forward, pool: &PoolState) -> Option<ChatLocation> {
        if forward.prompt_tokens == 0 {
            return None;
        }
        let chat = ChatKey(forward.chat_key);
        if let Some(location) = self.state.borrow().chats.get(chat) {
            return Some(location.clone());
        }
        let addr = self.entry_router(forward, pool)?;
        let query = WarmRequest {
            chat_key: forward.chat_key,
            ..WarmRequest::default()
        };
        let lookup = self.peers.query::<_, WarmReply>(&addr, WARM, &query);
        let found = within(LOOKUP_TIMEOUT, lookup).await.ok()?.ok()?;
        (!found.upstream.is_empty()).then(|| ChatLocation {
            upstream: found.upstream.into(),
            tokens: found.tokens,
        })
    }

    /// Returns the address of the router that the chat's callers are directed to, the home of its
    /// first upstream, if it is not this router.
    fn entry_router(&self, forward: &Forward, pool: &PoolState) -> Option<Name> {
        let first = pool.index.first(ChatKey(forward.chat_key), 1);
        let name = &pool.index.names()[*first.first()?];
        let config = self.ctx.config();
        let upstream = config.upstream(&forward.service, name)?;
        let fleet = self.ctx.fleet();
        let home = homes::home(&fleet, &upstream.name, &upstream.data_center)?;
        (home.host != self.ctx.host).then(|| home.peer_addr.clone())
    }

    /// Returns the load of each upstream as used for placement; infinite to exclude it.
    fn effective_loads(&self, pool: &PoolState, failed: &[Name]) -> Vec<f64> {
        let now_ms = self.ctx.clock.now_ms();
        let fleet = self.ctx.fleet();
        let is_excluded =
            |slots: &Slots| failed.contains(&slots.name) || fleet.is_leaving(&slots.name);
        let mean_ms = self.loads.pool_view(&pool.slots, None).mean_work_ms;
        let state = &mut *self.state.borrow_mut();
        let effective = |slots: &Slots| {
            if is_excluded(slots) || state.ejector.is_ejected(&slots.name, now_ms) {
                return f64::INFINITY;
            }
            // An unknown load counts as the mean, not as zero.
            let Some(load) = self.loads.get(&slots.name) else {
                return mean_ms;
            };
            let joined_ms = state.joined_ms.get(&slots.name);
            let age_ms = joined_ms.map_or(u64::MAX, |at| now_ms - at);
            let work_ms = placement::joined_load_ms(load.work_ms, mean_ms, age_ms);
            placement::shown_load_ms(work_ms, slots.free(load))
        };
        let load_ms: Vec<f64> = pool.slots.iter().map(effective).collect();
        if load_ms.iter().any(|ms| ms.is_finite()) {
            return load_ms;
        }
        // All remaining upstreams are ejected: trying them is better than refusing on old failures.
        let unejected = |slots: &Slots| {
            if is_excluded(slots) {
                return f64::INFINITY;
            }
            mean_ms
        };
        pool.slots.iter().map(unejected).collect()
    }

    /// Whether the upstream may be tried; claims the probe of an ejected upstream.
    pub(crate) fn admits(&self, upstream: &str) -> bool {
        let now_ms = self.ctx.clock.now_ms();
        self.state.borrow_mut().ejector.admits(upstream, now_ms)
    }

    fn nonempty_pool(&self, service: &str) -> Option<Rc<PoolState>> {
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

    fn emit_change(&self, change: Change, upstream: &Name) {
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
    /// Applies a new configuration: records when upstreams joined and drops removed ones.
    fn reconfigure(&mut self, config: Arc<ConfigView>, now_ms: u64) {
        let contains =
            |view: &ConfigView, name: &str| view.state.upstreams.iter().any(|u| u.name == name);
        if let Some(before) = &self.config {
            for upstream in &config.state.upstreams {
                if !contains(before, &upstream.name) {
                    let name = Name::from(upstream.name.as_str());
                    self.joined_ms.insert(name, now_ms);
                }
            }
        }
        self.joined_ms.retain(|name, _| contains(&config, name));
        self.ejector.retain(|name| contains(&config, name));
        self.pools.clear();
        self.config = Some(config);
    }
}

/// Whether transferring the chat's cache from `warm` costs less than a prefill elsewhere.
pub(crate) fn import_pays(warm: &ChatLocation) -> bool {
    placement::import_pays(warm.tokens, &Rates::default())
}
