//! Engines: slots, prefix caches, and actual job costs.

use cassiagrade::decide::home::Ready;
use cassiagrade::decide::{Cost, JobId, Rates};

use super::model::{CALLER_TIMEOUT_MS, Request, SMALL_FROM};
use super::{Event, Sim, TICK_MS};

impl Sim {
    pub(super) fn start(&mut self, engine: usize, id: u64) {
        let (request, _) = self.requests[&id];
        let chat = self.chats[request.chat].key;
        let rates = Rates::default();
        let cached = self.engines[engine].cached(chat, request.prompt);
        let measured = self.is_measured(&request);
        if measured {
            self.out.reused_tokens += f64::from(cached.min(request.history_tokens));
            self.out.history_tokens += f64::from(request.history_tokens);
            self.record_wait(&request);
        }
        let cost = Cost {
            prompt_tokens: request.prompt,
            cached_tokens: cached,
            output_tokens: request.output,
        };
        let took_ms = cost.work_ms(&rates) * self.engines[engine].slowdown + request.import_ms;
        let tokens = request.prompt + request.output;
        self.engines[engine].cache.put(chat, tokens, tokens.into());
        self.started.insert(id, self.now_ms);
        self.push(self.now_ms + took_ms as u64 + 1, Event::Done(engine, id));
    }

    pub(super) fn record_wait(&mut self, request: &Request) {
        let wait_ms = (self.now_ms - request.first_sent_ms) as f64;
        self.out.waits_ms[request.account].push(wait_ms);
        if request.account >= SMALL_FROM {
            self.out.small_waits.push((self.now_ms, wait_ms));
        }
        if request.output < 200 {
            self.out.short_waits_ms.push(wait_ms);
        }
    }

    pub(super) fn done(&mut self, engine: usize, id: u64) {
        if !self.engines[engine].alive {
            return;
        }
        let Some((request, _)) = self.requests.remove(&id) else {
            return;
        };
        self.started.remove(&id);
        self.homes[engine].finish(JobId(id), self.now_ms);
        self.chats[request.chat].context = request.prompt + request.output;
        if self.setup.hot_chat_share > 0.0 && request.chat == 0 {
            self.chats[0].context = 6_000;
        } else {
            self.schedule_next_turn(request.chat);
        }
        self.record_answer(&request);
        self.poll(engine);
    }

    pub(super) fn record_answer(&mut self, request: &Request) {
        let took_ms = self.now_ms - request.first_sent_ms;
        let good = took_ms <= CALLER_TIMEOUT_MS;
        if good {
            self.out.good_by_s[(self.now_ms / 1_000) as usize] += 1;
        }
        if !self.is_measured(request) {
            return;
        }
        self.out.answered += 1;
        self.out.answers_ms[request.account].push(took_ms as f64);
        self.out.good += u64::from(good);
        self.out.late += u64::from(!good);
    }

    pub(super) fn poll(&mut self, engine: usize) {
        while let Some(ready) = self.homes[engine].poll(self.now_ms, &mut self.rng) {
            match ready {
                Ready::Start(JobId(id)) => self.start(engine, id),
                Ready::Refused(JobId(id), refusal) => {
                    if let Some((request, _)) = self.requests.remove(&id) {
                        self.handle_refusal(request, &refusal);
                    }
                }
            }
        }
    }

    pub(super) fn tick(&mut self) {
        for at in 0..self.alive.len() {
            self.poll(self.alive[at]);
        }
        self.push(self.now_ms + TICK_MS, Event::Tick);
    }
}
