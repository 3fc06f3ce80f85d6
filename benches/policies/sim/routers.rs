//! Routers: stale views of engine load, the last engine of each chat, and offers to homes.

use cassiagrade::decide::home::Offer;
use cassiagrade::decide::placement::{self, PlacementPolicy, joined_load_ms, shown_load_ms};
use cassiagrade::decide::{ChatKey, Cost, Job, JobId, PoolView, Priority, Rates};
use rand::Rng;
use rand::rngs::SmallRng;

use super::model::{CALLER_TIMEOUT_MS, Policy, Request};
use super::{EngineLoad, NEVER_MS, Sim, mean_work_ms};

impl Sim {
    /// Returns the home of `engine`.
    pub(super) fn home_of(&self, engine: usize) -> usize {
        engine % self.setup.routers
    }

    /// Returns the home of the first engine in the chat's order: the router that callers are sent to.
    pub(super) fn anchor(&self, chat: ChatKey) -> usize {
        let first = self.pool.first(chat, 1)[0];
        self.home_of(self.alive[first])
    }

    pub(super) fn offer(&mut self, request: Request) {
        let (candidates, mut last) = self.candidates(&request);
        let mut full = false;
        for engine in candidates {
            match self.offer_to(request, engine, false) {
                Offer::OverBound => {}
                Offer::Full if full => {}
                Offer::Full => {
                    full = true;
                    last = engine;
                }
                _ => return,
            }
        }
        self.offer_to(request, last, true);
    }

    pub(super) fn offer_to(&mut self, request: Request, engine: usize, last: bool) -> Offer {
        let id = self.id();
        let job = self.job(id, &request, last);
        let pool = self.pool_view(engine);
        let offer = self.homes[engine].offer(job, pool, self.now_ms, &mut self.rng);
        match &offer {
            Offer::OverBound | Offer::Full => self.update_view(request.chat, engine),
            Offer::Refused(refusal) => {
                self.update_view(request.chat, engine);
                self.handle_refusal(request, refusal);
            }
            Offer::Start => {
                self.record_placement(id, request, engine);
                self.start(engine, id);
            }
            Offer::Queued => {
                self.record_placement(id, request, engine);
                self.poll(engine);
            }
        }
        offer
    }

    pub(super) fn candidates(&mut self, request: &Request) -> (Vec<usize>, usize) {
        let random_index = |rng: &mut SmallRng, n: usize| rng.random_range(0..n);
        let n = self.alive.len();
        let chat = self.chats[request.chat].key;
        let at = match self.setup.policy {
            Policy::Random => random_index(&mut self.rng, n),
            Policy::RoundRobin => {
                self.round_robin += 1;
                self.round_robin % n
            }
            Policy::LeastOfTwo => {
                let (a, b) = (
                    random_index(&mut self.rng, n),
                    random_index(&mut self.rng, n),
                );
                let view = &self.views[0];
                if view[self.alive[a]].work_ms <= view[self.alive[b]].work_ms {
                    a
                } else {
                    b
                }
            }
            Policy::Hash => self.pool.first(chat, 1)[0],
            Policy::Ours => return self.plan(request),
        };
        (Vec::new(), self.alive[at])
    }

    pub(super) fn plan(&mut self, request: &Request) -> (Vec<usize>, usize) {
        let chat = self.chats[request.chat].key;
        // Callers renew their router address in 15% of their requests.
        if self.rng.random_bool(0.15) {
            self.chats[request.chat].entry = self.anchor(chat);
        }
        let entry = self.chats[request.chat].entry;
        let anchor = self.anchor(chat);
        let previous = self.chat_engines[entry]
            .get(chat)
            .or_else(|| self.chat_engines[anchor].get(chat));
        let warm = previous.and_then(|(engine, _)| {
            let at = self.alive.iter().position(|e| e == engine);
            match at {
                Some(at) => Some(at),
                // On a planned leave, a chat's prefix moves to the next engine in the chat's order.
                None if self.setup.planned_leave => Some(self.pool.first(chat, 1)[0]),
                None => None,
            }
        });
        let loads = self.placement_loads(entry);
        let policy = PlacementPolicy {
            width: self.setup.width,
        };
        let plan = self.pool.plan(chat, warm, &loads, policy);
        let candidates = plan.tries.into_iter().map(|at| self.alive[at]).collect();
        let last = plan.last.expect("a pool with engines has a last choice");
        (candidates, self.alive[last])
    }

    /// Returns the loads in the view of `router`: current for the engines of which it is the home,
    /// and as last reported for the rest.
    pub(super) fn visible_loads(&self, router: usize) -> Vec<EngineLoad> {
        let load_of = |e: &usize| {
            if self.home_of(*e) == router {
                self.current_load(*e)
            } else {
                self.views[router][*e]
            }
        };
        self.alive.iter().map(load_of).collect()
    }

    pub(super) fn current_load(&self, engine: usize) -> EngineLoad {
        let home = &self.homes[engine];
        EngineLoad {
            work_ms: home.work_ms(),
            free: home.free_slots(),
        }
    }

    pub(super) fn placement_loads(&self, router: usize) -> Vec<f64> {
        let loads = self.visible_loads(router);
        let mean_work_ms = mean_work_ms(&loads);
        let ages = self.alive.iter().map(|e| {
            let joined_ms = self.engines[*e].joined_ms;
            if joined_ms == 0 {
                u64::MAX
            } else {
                self.now_ms - joined_ms
            }
        });
        let shown = |(load, age_ms): (&EngineLoad, u64)| {
            let work_ms = joined_load_ms(load.work_ms, mean_work_ms, age_ms);
            shown_load_ms(work_ms, load.free)
        };
        loads.iter().zip(ages).map(shown).collect()
    }

    pub(super) fn pool_view(&self, engine: usize) -> PoolView {
        if self.setup.policy != Policy::Ours {
            return PoolView {
                mean_work_ms: f64::INFINITY,
                ..PoolView::default()
            };
        }
        let loads = self.visible_loads(self.home_of(engine));
        PoolView {
            mean_work_ms: mean_work_ms(&loads),
            upstreams: loads.len() as u32,
            known: loads.len() as u32,
            free_slots: loads.iter().map(|l| l.free).sum(),
        }
    }

    pub(super) fn job(&self, id: u64, request: &Request, last_choice: bool) -> Job {
        let (account, deadline_ms) = if self.setup.admission {
            (
                self.accounts[request.account].clone(),
                request.first_sent_ms + CALLER_TIMEOUT_MS,
            )
        } else {
            (self.accounts[0].clone(), NEVER_MS)
        };
        Job {
            id: JobId(id),
            account,
            weight: 1.0,
            priority: Priority::Normal,
            chat: self.chats[request.chat].key,
            cost: Cost {
                prompt_tokens: request.prompt,
                cached_tokens: 0,
                output_tokens: request.estimated_output,
            },
            deadline_ms,
            last_choice,
            suspect: false,
        }
    }

    pub(super) fn record_placement(&mut self, id: u64, mut request: Request, engine: usize) {
        let chat = self.chats[request.chat];
        let tokens = request.prompt + request.output;
        let router = chat.entry;
        let anchor = self.anchor(chat.key);
        let from = self.chat_engines[router].get(chat.key).copied();
        self.update_view(request.chat, engine);
        // The entry router notifies the anchor of the placement.
        self.chat_engines[anchor].put(chat.key, (engine, tokens), 1);
        self.chat_engines[router].put(chat.key, (engine, tokens), 1);
        if self.setup.import
            && let Some((old, _)) = from
            && old != engine
        {
            request.import_ms = self.import(old, engine, &request);
        }
        self.requests.insert(id, (request, engine));
    }

    /// Applies the current load that a home includes in its reply to the entry router's view.
    pub(super) fn update_view(&mut self, chat: usize, engine: usize) {
        let router = self.chats[chat].entry;
        self.views[router][engine] = self.current_load(engine);
    }

    /// Copies the chat's prefix to its new engine where that is cheaper than a prefill, and returns
    /// the import time.
    pub(super) fn import(&mut self, old: usize, engine: usize, request: &Request) -> f64 {
        let chat = self.chats[request.chat].key;
        let cached_at_old = self.engines[old].cached(chat, request.prompt);
        let cached_at_new = self.engines[engine].cached(chat, request.prompt);
        if !self.engines[old].alive || cached_at_old <= cached_at_new {
            return 0.0;
        }
        if !placement::import_pays(cached_at_old - cached_at_new, &Rates::default()) {
            return 0.0;
        }
        self.engines[engine]
            .cache
            .put(chat, cached_at_old, cached_at_old.into());
        self.homes[engine].set_cached(chat, cached_at_old);
        placement::import_ms(cached_at_old)
    }
}
