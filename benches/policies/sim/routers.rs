//! The routers: views as stale as gossip makes them, the memory of chats, the tries.

use cassiagrade::decide::home::Offer;
use cassiagrade::decide::placement::{self, PlacementPolicy, joined_load_ms, shown_load_ms};
use cassiagrade::decide::{ChatKey, Cost, Job, JobId, PoolView, Priority, Rates};
use rand::Rng;
use rand::rngs::SmallRng;

use super::model::{PATIENCE_MS, Policy, Request};
use super::{NEVER_MS, Seen, Sim, mean_ms};

impl Sim {
    /// The home of an engine.
    pub(super) fn home_of(&self, engine: usize) -> usize {
        engine % self.setup.routers
    }

    /// The home of a chat's first engine: where callers are sent.
    pub(super) fn anchor(&self, chat: ChatKey) -> usize {
        let first = self.pool.first(chat, 1)[0];
        self.home_of(self.alive[first])
    }

    pub(super) fn offer(&mut self, request: Request) {
        let (tries, mut last) = self.tries(&request);
        let mut full = false;
        for engine in tries {
            match self.try_at(request, engine, false) {
                Offer::OverBound => {}
                Offer::Full if full => {}
                Offer::Full => {
                    full = true;
                    last = engine;
                }
                _ => return,
            }
        }
        self.try_at(request, last, true);
    }

    pub(super) fn try_at(&mut self, request: Request, engine: usize, last: bool) -> Offer {
        let id = self.id();
        let job = self.job(id, &request, last);
        let pool = self.pool_view(engine);
        let offer = self.homes[engine].offer(job, pool, self.now_ms, &mut self.rng);
        match &offer {
            Offer::OverBound | Offer::Full => self.hear(request.chat, engine),
            Offer::Refused(refusal) => {
                self.hear(request.chat, engine);
                self.refused(request, refusal);
            }
            Offer::Start => {
                self.placed(id, request, engine);
                self.start(engine, id);
            }
            Offer::Queued => {
                self.placed(id, request, engine);
                self.poll(engine);
            }
        }
        offer
    }

    pub(super) fn tries(&mut self, request: &Request) -> (Vec<usize>, usize) {
        let pick = |rng: &mut SmallRng, n: usize| rng.random_range(0..n);
        let n = self.alive.len();
        let chat = self.chats[request.chat].key;
        let at = match self.setup.policy {
            Policy::Random => pick(&mut self.rng, n),
            Policy::RoundRobin => {
                self.robin += 1;
                self.robin % n
            }
            Policy::LeastOfTwo => {
                let (a, b) = (pick(&mut self.rng, n), pick(&mut self.rng, n));
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
        // Callers ask anew for an address now and then.
        if self.rng.random_bool(0.15) {
            self.chats[request.chat].entry = self.anchor(chat);
        }
        let entry = self.chats[request.chat].entry;
        let anchor = self.anchor(chat);
        let known = self.memory[entry]
            .get(chat)
            .or_else(|| self.memory[anchor].get(chat));
        let warm = known.and_then(|(engine, _)| {
            let at = self.alive.iter().position(|e| e == engine);
            match at {
                Some(at) => Some(at),
                // A planned leave hands its chats to the next of their order.
                None if self.setup.planned => Some(self.pool.first(chat, 1)[0]),
                None => None,
            }
        });
        let loads = self.loads(entry);
        let policy = PlacementPolicy {
            width: self.setup.width,
        };
        let plan = self.pool.plan(chat, warm, &loads, policy);
        let tries = plan.tries.into_iter().map(|at| self.alive[at]).collect();
        let last = plan.last.expect("the pool is never empty");
        (tries, self.alive[last])
    }

    /// What `router` believes: its own engines exactly, the others by their last report.
    pub(super) fn seen(&self, router: usize) -> Vec<Seen> {
        let believed = |e: &usize| {
            if self.home_of(*e) == router {
                self.exact(*e)
            } else {
                self.views[router][*e]
            }
        };
        self.alive.iter().map(believed).collect()
    }

    pub(super) fn exact(&self, engine: usize) -> Seen {
        let home = &self.homes[engine];
        Seen {
            work_ms: home.work_ms(),
            free: home.free_slots(),
        }
    }

    pub(super) fn loads(&self, router: usize) -> Vec<f64> {
        let seen = self.seen(router);
        let mean_ms = mean_ms(&seen);
        let ages = self.alive.iter().map(|e| {
            let born_ms = self.engines[*e].born_ms;
            if born_ms == 0 {
                u64::MAX
            } else {
                self.now_ms - born_ms
            }
        });
        let shown = |(seen, age_ms): (&Seen, u64)| {
            let work_ms = joined_load_ms(seen.work_ms, mean_ms, age_ms);
            shown_load_ms(work_ms, seen.free)
        };
        seen.iter().zip(ages).map(shown).collect()
    }

    pub(super) fn pool_view(&self, engine: usize) -> PoolView {
        if self.setup.policy != Policy::Ours {
            return PoolView {
                mean_work_ms: f64::INFINITY,
                ..PoolView::default()
            };
        }
        let seen = self.seen(self.home_of(engine));
        PoolView {
            mean_work_ms: mean_ms(&seen),
            upstreams: seen.len() as u32,
            known: seen.len() as u32,
            free_slots: seen.iter().map(|s| s.free).sum(),
        }
    }

    pub(super) fn job(&self, id: u64, request: &Request, last_choice: bool) -> Job {
        let (account, deadline_ms) = if self.setup.admission {
            (
                self.accounts[request.account].clone(),
                request.asked_ms + PATIENCE_MS,
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
                output_tokens: request.guessed_output,
            },
            deadline_ms,
            last_choice,
            suspect: false,
        }
    }

    pub(super) fn placed(&mut self, id: u64, mut request: Request, engine: usize) {
        let chat = self.chats[request.chat];
        let tokens = request.prompt + request.output;
        let router = chat.entry;
        let anchor = self.anchor(chat.key);
        let from = self.memory[router].get(chat.key).copied();
        self.hear(request.chat, engine);
        // The entry router tells the anchor where the chat went.
        self.memory[anchor].put(chat.key, (engine, tokens), 1);
        self.memory[router].put(chat.key, (engine, tokens), 1);
        if self.setup.import
            && let Some((old, _)) = from
            && old != engine
        {
            request.import_ms = self.import(old, engine, &request);
        }
        self.requests.insert(id, (request, engine));
    }

    /// A home's answer carries its exact work.
    pub(super) fn hear(&mut self, chat: usize, engine: usize) {
        let router = self.chats[chat].entry;
        self.views[router][engine] = self.exact(engine);
    }

    /// Moves a displaced chat's prefix to its new engine where that is cheaper than its prefill.
    pub(super) fn import(&mut self, old: usize, engine: usize, request: &Request) -> f64 {
        let chat = self.chats[request.chat].key;
        let there = self.engines[old].cached(chat, request.prompt);
        let here = self.engines[engine].cached(chat, request.prompt);
        if !self.engines[old].alive || there <= here {
            return 0.0;
        }
        if !placement::import_pays(there - here, &Rates::default()) {
            return 0.0;
        }
        self.engines[engine].cache.put(chat, there, there.into());
        self.homes[engine].set_cached(chat, there);
        placement::import_ms(there)
    }
}
