//! Callers that ask where to connect, keep the answer and their connections, and note what they are
//! told.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::support::routed::{HOST, KEY, RoutedFleet, new_request_id};
use crate::support::{Caller, Received, get, sleep_ms};

/// Callers give up after this; it is also what they tell the router.
const DEADLINE: Duration = Duration::from_secs(4);
/// How long an entry answer is kept; some keep theirs three times as long.
const ENTRY_TTL: Duration = Duration::from_millis(300);
/// Pause between two requests of one caller, at most.
const MAX_PAUSE_MS: u64 = 60;

/// What may be asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ask {
    Get,
    Ticket,
    Resumed,
    Once,
}

impl Ask {
    pub(crate) fn runs_once(self) -> bool {
        matches!(self, Self::Ticket | Self::Once)
    }

    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Self::Resumed | Self::Once)
    }

    fn path(self) -> &'static str {
        match self {
            Self::Get => "/get/1",
            Self::Ticket => "/ticket/1",
            Self::Resumed => "/resumed/stream",
            Self::Once => "/once/stream",
        }
    }
}

/// One request and what its caller got.
pub(crate) struct Told {
    pub(crate) id: String,
    pub(crate) ask: Ask,
    pub(crate) body: String,
    /// Nothing when no answer began.
    pub(crate) received: Option<Received>,
}

/// The running callers.
pub(crate) struct Callers {
    stop: Rc<Cell<bool>>,
    told: Rc<RefCell<Vec<Told>>>,
    running: Rc<Cell<u32>>,
}

impl Callers {
    pub(crate) fn spawn(routed: &RoutedFleet, count: u32, seed: u64) -> Self {
        let callers = Self {
            stop: Rc::default(),
            told: Rc::default(),
            running: Rc::new(Cell::new(count)),
        };
        let entries = (0..u8::try_from(routed.routers.len()).unwrap_or(u8::MAX))
            .map(|i| routed.entry_addr(i))
            .collect::<Vec<_>>();
        for n in 0..count {
            let one = One {
                rng: SmallRng::seed_from_u64(seed ^ (u64::from(n) << 32)),
                caller: Caller::new(KEY),
                entries: entries.clone(),
                addrs: Vec::new(),
                fresh_until: Instant::now(),
                // Every fourth keeps its answer longer than told.
                ttl: ENTRY_TTL * if n % 4 == 0 { 3 } else { 1 },
            };
            let (stop, told, running) = (
                callers.stop.clone(),
                callers.told.clone(),
                callers.running.clone(),
            );
            compio::runtime::spawn(async move {
                one.run(&stop, &told).await;
                running.set(running.get() - 1);
            })
            .detach();
        }
        callers
    }

    /// Ends the load and gives what all were told.
    pub(crate) async fn stop(self) -> Vec<Told> {
        self.stop.set(true);
        while self.running.get() > 0 {
            sleep_ms(20).await;
        }
        self.told.take()
    }
}

struct One {
    rng: SmallRng,
    caller: Caller,
    entries: Vec<SocketAddr>,
    addrs: Vec<SocketAddr>,
    fresh_until: Instant,
    ttl: Duration,
}

impl One {
    async fn run(mut self, stop: &Cell<bool>, told: &RefCell<Vec<Told>>) {
        while !stop.get() {
            sleep_ms(self.rng.random_range(0..MAX_PAUSE_MS)).await;
            self.resolve().await;
            let Some(addr) = self.addrs.choose(&mut self.rng).copied() else {
                continue;
            };
            let one = self.ask(addr).await;
            if one.received.is_none() {
                // An address that failed is left out until the next answer.
                self.addrs.retain(|a| *a != addr);
            }
            told.borrow_mut().push(one);
        }
    }

    /// Asks up to three routers where to connect, if the last answer is old.
    async fn resolve(&mut self) {
        if Instant::now() < self.fresh_until && !self.addrs.is_empty() {
            return;
        }
        let asked: Vec<SocketAddr> = self
            .entries
            .choose_multiple(&mut self.rng, 3)
            .copied()
            .collect();
        for entry in asked {
            let path = format!("/resolve?name={HOST}&region=r&zone=z");
            let answer = compio::time::timeout(Duration::from_secs(1), get(entry, &path)).await;
            let Ok(Some(text)) = answer else { continue };
            let answer: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
            let addrs = serde_json::from_value(answer["addresses"].clone());
            if let Ok(addrs) = addrs {
                self.addrs = addrs;
                self.fresh_until = Instant::now() + self.ttl;
                return;
            }
        }
    }

    async fn ask(&mut self, addr: SocketAddr) -> Told {
        let asks = [Ask::Get, Ask::Ticket, Ask::Resumed, Ask::Once];
        let ask = asks[self.rng.random_range(0..asks.len())];
        let body = self.rng.random_range(2..30_u32).to_string();
        let id = new_request_id();
        let deadline_ms = DEADLINE.as_millis().to_string();
        let headers = [
            ("attempt-id", id.as_str()),
            ("host", HOST),
            ("deadline-ms", deadline_ms.as_str()),
        ];
        let call = self.caller.call(addr, "POST", ask.path(), &headers, &body);
        let received = compio::time::timeout(DEADLINE, call).await.ok().flatten();
        Told {
            id,
            ask,
            body,
            received,
        }
    }
}
