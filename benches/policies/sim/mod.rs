//! Discrete-event simulation of callers, routers and engines on a virtual clock.

mod callers;
mod engines;
pub(crate) mod model;
mod outcome;
mod routers;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use cassiagrade::decide::home::{Home, HomePolicy};
use cassiagrade::decide::lru::LruCache;
use cassiagrade::decide::placement::PoolIndex;
use cassiagrade::decide::{ChatKey, Name, Rates};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use model::{ACCOUNTS, CACHE_TOKENS, Chat, Engine, Request, SLOTS, Setup};
pub(crate) use outcome::{Outcome, quantile};

/// Requests first sent before this time are not measured.
const WARM_UP_MS: u64 = 120_000;
/// Time after a pool change in which skew is not sampled.
const SETTLE_MS: u64 = 2_000;
const TICK_MS: u64 = 20;
const MAX_RETRIES: u32 = 3;
const NEVER_MS: u64 = u64::MAX / 2;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    Retry(usize),
    Done(usize, u64),
    Report,
    Sample,
    Replace,
    Tick,
}

/// Load of an engine, as current or as last reported.
#[derive(Clone, Copy, Debug)]
struct EngineLoad {
    work_ms: f64,
    free: u32,
}

struct Sim {
    setup: Setup,
    rng: SmallRng,
    now_ms: u64,
    seq: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    engines: Vec<Engine>,
    homes: Vec<Home>,
    names: Vec<Name>,
    alive: Vec<usize>,
    pool: PoolIndex,
    /// By router and engine: the last reported load.
    views: Vec<Vec<EngineLoad>>,
    /// By router: the last engine of each chat, and the chat's tokens.
    chat_engines: Vec<LruCache<(usize, u32)>>,
    chats: Vec<Chat>,
    /// By account: the time of the next request of each idle chat.
    next_turns: Vec<BinaryHeap<Reverse<(u64, usize)>>>,
    requests: HashMap<u64, (Request, usize)>,
    started: HashMap<u64, u64>,
    next_id: u64,
    changed_ms: u64,
    round_robin: usize,
    accounts: Vec<Name>,
    out: Outcome,
}

fn mean_work_ms(loads: &[EngineLoad]) -> f64 {
    loads.iter().map(|l| l.work_ms).sum::<f64>() / loads.len() as f64
}

/// Runs one setup and returns its results.
pub(crate) fn run(setup: &Setup) -> Outcome {
    let mut sim = Sim::new(setup.clone());
    sim.run();
    sim.out
}

impl Sim {
    fn new(setup: Setup) -> Self {
        let mut sim = Self {
            rng: SmallRng::seed_from_u64(setup.seed),
            now_ms: 0,
            seq: 0,
            events: BinaryHeap::new(),
            engines: Vec::new(),
            homes: Vec::new(),
            names: Vec::new(),
            alive: Vec::new(),
            pool: PoolIndex::default(),
            views: vec![Vec::new(); setup.routers],
            chat_engines: (0..setup.routers).map(|_| LruCache::new(200_000)).collect(),
            chats: Vec::new(),
            next_turns: vec![BinaryHeap::new(); ACCOUNTS.len()],
            requests: HashMap::new(),
            started: HashMap::new(),
            next_id: 0,
            changed_ms: 0,
            round_robin: 0,
            accounts: (0..ACCOUNTS.len())
                .map(|i| format!("account-{i}").into())
                .collect(),
            out: Outcome {
                waits_ms: vec![Vec::new(); ACCOUNTS.len()],
                answers_ms: vec![Vec::new(); ACCOUNTS.len()],
                good_by_s: vec![0; setup.secs as usize + 1],
                ..Outcome::default()
            },
            setup,
        };
        for i in 0..sim.setup.engines {
            let slowdown = if i == 0 { sim.setup.slowdown } else { 1.0 };
            sim.join(slowdown);
        }
        for account in 0..ACCOUNTS.len() {
            sim.push(0, Event::Arrive(account));
        }
        sim.push(0, Event::Report);
        sim.push(1_000, Event::Sample);
        sim.push(TICK_MS, Event::Tick);
        if sim.setup.churn > 0.0 {
            sim.push(60_000, Event::Replace);
        }
        sim
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((at_ms, self.seq, event)));
    }

    fn run(&mut self) {
        let end_ms = self.setup.secs * 1_000;
        while let Some(Reverse((at_ms, _, event))) = self.events.pop() {
            if at_ms > end_ms {
                return;
            }
            self.now_ms = at_ms;
            match event {
                Event::Arrive(account) => self.arrive(account),
                Event::Retry(id) => self.retry(id as u64),
                Event::Done(engine, id) => self.done(engine, id),
                Event::Report => self.report(),
                Event::Sample => self.sample(),
                Event::Replace => self.replace(),
                Event::Tick => self.tick(),
            }
        }
    }

    fn join(&mut self, slowdown: f64) {
        let at = self.engines.len();
        let policy = if self.setup.admission {
            HomePolicy {
                epsilon: self.setup.epsilon,
                queue_wait_ms: 10_000,
                ..HomePolicy::default()
            }
        } else {
            HomePolicy {
                queue_limit: usize::MAX,
                queue_wait_ms: NEVER_MS,
                shed_order: Vec::new(),
                epsilon: self.setup.epsilon,
                ..HomePolicy::default()
            }
        };
        let policy = HomePolicy {
            slots: SLOTS,
            cache_tokens: CACHE_TOKENS,
            ..policy
        };
        self.engines.push(Engine::new(self.now_ms, slowdown));
        self.homes.push(Home::new(policy));
        self.names.push(format!("engine-{at}").into());
        for view in &mut self.views {
            view.push(EngineLoad {
                work_ms: 0.0,
                free: SLOTS,
            });
        }
        self.alive.push(at);
        self.rebuild_index();
    }

    fn rebuild_index(&mut self) {
        let names = self.alive.iter().map(|e| self.names[*e].clone());
        self.pool = PoolIndex::new(names.collect());
    }

    fn report(&mut self) {
        for router in 0..self.setup.routers {
            for engine in self.alive.clone() {
                if self.setup.report_loss == 0.0 || !self.rng.random_bool(self.setup.report_loss) {
                    self.views[router][engine] = self.current_load(engine);
                }
            }
        }
        self.push(self.now_ms + self.setup.report_interval_ms, Event::Report);
    }

    fn sample(&mut self) {
        let settled = self.now_ms > self.changed_ms + SETTLE_MS;
        if self.now_ms > WARM_UP_MS && settled {
            let work = self.alive.iter().map(|e| self.homes[*e].work_ms());
            let work: Vec<f64> = work.collect();
            let mean_work_ms = work.iter().sum::<f64>() / work.len() as f64;
            let (busiest, max_work_ms) = work
                .iter()
                .copied()
                .enumerate()
                .fold((0, 0.0), |a, b| if b.1 > a.1 { b } else { a });
            if mean_work_ms > 0.0 {
                self.out.skews.push(max_work_ms / mean_work_ms);
                let bound_ms = 1.25 * mean_work_ms + self.largest_job_ms(self.alive[busiest]);
                self.out.over_bound += u32::from(max_work_ms > bound_ms);
            }
        }
        self.push(self.now_ms + 1_000, Event::Sample);
    }

    /// Returns the largest estimated decode time of a job on `engine`.
    fn largest_job_ms(&self, engine: usize) -> f64 {
        let on_engine = self.requests.values().filter(|(_, e)| *e == engine);
        let decode_ms = Rates::default().decode_ms;
        let work = on_engine.map(|(r, _)| f64::from(r.estimated_output) * decode_ms);
        work.fold(0.0, f64::max)
    }

    /// Replaces a random engine by one with an empty cache, and places its requests again.
    fn replace(&mut self) {
        let at = self.rng.random_range(0..self.alive.len());
        let old = self.alive.remove(at);
        self.engines[old].alive = false;
        self.changed_ms = self.now_ms;
        let slowdown = self.engines[old].slowdown;
        self.join(slowdown);
        if self.setup.planned_leave {
            self.transfer_cache(old);
        }
        let displaced: Vec<u64> = {
            let on_old = self.requests.iter().filter(|(_, (_, e))| *e == old);
            let mut ids: Vec<u64> = on_old.map(|(id, _)| *id).collect();
            ids.sort_unstable();
            ids
        };
        for id in displaced {
            if let Some((request, _)) = self.requests.remove(&id) {
                self.started.remove(&id);
                self.offer(Request {
                    displaced: true,
                    ..request
                });
            }
        }
        let per_ms = self.setup.churn * self.setup.engines as f64 / 60_000.0;
        self.push(self.now_ms + (1.0 / per_ms) as u64, Event::Replace);
    }

    /// Copies the cached prefixes of `old` to the next engine in each chat's order.
    fn transfer_cache(&mut self, old: usize) {
        let mut chats: Vec<(ChatKey, u32)> = self.engines[old]
            .cache
            .recent()
            .map(|(c, t)| (c, *t))
            .collect();
        chats.reverse();
        for (chat, tokens) in chats {
            let next = self.alive[self.pool.first(chat, 1)[0]];
            self.engines[next].cache.put(chat, tokens, tokens.into());
            self.homes[next].set_cached(chat, tokens);
        }
    }
}
