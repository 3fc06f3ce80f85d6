//! Callers: arrivals, retries after a refusal, and the next turn of a chat.

use std::cmp::Reverse;

use cassiagrade::decide::ChatKey;
use cassiagrade::decide::refusal::Refusal;
use rand::Rng;

use super::model::{self, ACCOUNTS, CALLER_TIMEOUT_MS, Chat, Request};
use super::{Event, MAX_RETRIES, Sim, WARM_UP_MS};

impl Sim {
    pub(super) fn arrive(&mut self, account: usize) {
        let base = self.setup.rate_per_ms() * ACCOUNTS[account];
        let rate = base * self.setup.rate_factor(account, self.now_ms);
        let u: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let gap_ms = (-u.ln() / rate).max(0.5);
        // Random rounding keeps the mean gap exact despite whole-millisecond steps.
        let whole_ms = gap_ms as u64 + u64::from(self.rng.random_bool(gap_ms.fract()));
        self.push(self.now_ms + whole_ms, Event::Arrive(account));
        let (chat, has_history) = self.pick_chat(account);
        let output = model::output(&mut self.rng, self.setup.long_job_share);
        let added = if has_history {
            self.rng.random_range(20..200)
        } else {
            0
        };
        let context = self.chats[chat].context;
        let request = Request {
            account,
            chat,
            prompt: context + added,
            output,
            estimated_output: model::estimate_output(
                &mut self.rng,
                output,
                self.setup.estimate_sigma,
            ),
            history_tokens: if has_history { context } else { 0 },
            first_sent_ms: self.now_ms,
            sent_ms: self.now_ms,
            retries: 0,
            displaced: false,
            import_ms: 0.0,
        };
        self.offer(request);
    }

    pub(super) fn pick_chat(&mut self, account: usize) -> (usize, bool) {
        if self.setup.hot_chat_share > 0.0
            && !self.chats.is_empty()
            && self.rng.random_bool(self.setup.hot_chat_share)
        {
            return (0, true);
        }
        if let Some(Reverse((at_ms, chat))) = self.next_turns[account].peek().copied()
            && at_ms <= self.now_ms
        {
            self.next_turns[account].pop();
            return (chat, true);
        }
        let at = self.chats.len();
        let key = ChatKey::new(&self.accounts[account], &at.to_string(), "model", "");
        let context = model::first_context(&mut self.rng);
        self.chats.push(Chat {
            key,
            account,
            context,
            entry: 0,
        });
        self.chats[at].entry = self.anchor(key);
        (at, false)
    }

    pub(super) fn retry(&mut self, id: u64) {
        if let Some((request, _)) = self.requests.remove(&id) {
            self.offer(Request {
                sent_ms: self.now_ms,
                ..request
            });
        }
    }

    pub(super) fn handle_refusal(&mut self, request: Request, refusal: &Refusal) {
        assert!(
            refusal.retry_after_ms > 0,
            "refusal without a retry delay: retry_after_ms is 0"
        );
        if self.is_measured(&request) {
            self.out.refusals += 1;
            let took_ms = self.now_ms - request.sent_ms;
            self.out.refused_at_once += u64::from(took_ms <= 10);
        }
        let retry_at_ms = self.now_ms + refusal.retry_after_ms;
        let past_deadline = retry_at_ms > request.first_sent_ms + CALLER_TIMEOUT_MS;
        if request.retries >= MAX_RETRIES || past_deadline {
            self.out.abandoned += u64::from(self.is_measured(&request));
            self.schedule_next_turn(request.chat);
            return;
        }
        let id = self.id();
        self.requests.insert(
            id,
            (
                Request {
                    retries: request.retries + 1,
                    ..request
                },
                usize::MAX,
            ),
        );
        self.push(retry_at_ms, Event::Retry(id as usize));
    }

    pub(super) fn schedule_next_turn(&mut self, chat: usize) {
        let Chat {
            account, context, ..
        } = self.chats[chat];
        if let Some(think_time_ms) = model::think_time_ms(&mut self.rng, context) {
            self.next_turns[account].push(Reverse((self.now_ms + think_time_ms, chat)));
        }
    }

    pub(super) fn is_measured(&self, request: &Request) -> bool {
        request.first_sent_ms >= WARM_UP_MS && !request.displaced
    }

    pub(super) fn id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }
}
