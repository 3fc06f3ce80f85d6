//! Callers that resolve router addresses, cache them, reuse connections and record every response.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::support::routed::{HOST, KEY, RoutedFleet, new_request_id};
use crate::support::{Caller, Received, get, sleep_ms, wall_ms};

/// Timeout of a request, also sent to the router as its deadline.
const DEADLINE: Duration = Duration::from_secs(4);
/// Time for which resolved addresses are cached; some callers cache them three times as long.
const ENTRY_TTL: Duration = Duration::from_millis(300);
/// Maximum pause between two requests of one caller.
const MAX_PAUSE_MS: u64 = 60;

/// Kinds of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestKind {
    Get,
    Ticket,
    Resumed,
    Once,
}

impl RequestKind {
    pub(crate) fn is_at_most_once(self) -> bool {
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

/// One request and the response that its caller received.
pub(crate) struct RequestRecord {
    pub(crate) id: String,
    pub(crate) kind: RequestKind,
    pub(crate) body: String,
    /// Address of the router that it was sent to.
    pub(crate) router: SocketAddr,
    /// Unix time at which it was sent.
    pub(crate) sent_ms: u64,
    /// Unix time at which its response ended.
    pub(crate) ended_ms: u64,
    /// `None` if no response began.
    pub(crate) received: Option<Received>,
}

/// The running callers.
pub(crate) struct Callers {
    stop: Rc<Cell<bool>>,
    records: Rc<RefCell<Vec<RequestRecord>>>,
    running: Rc<Cell<u32>>,
}

impl Callers {
    pub(crate) fn spawn(routed: &RoutedFleet, count: u32, seed: u64) -> Self {
        let callers = Self {
            stop: Rc::default(),
            records: Rc::default(),
            running: Rc::new(Cell::new(count)),
        };
        let entries = (0..u8::try_from(routed.routers.len()).unwrap_or(u8::MAX))
            .map(|i| routed.entry_addr(i))
            .collect::<Vec<_>>();
        for n in 0..count {
            let task = CallerTask {
                rng: SmallRng::seed_from_u64(seed ^ (u64::from(n) << 32)),
                caller: Caller::new(KEY),
                entries: entries.clone(),
                addrs: Vec::new(),
                fresh_until: Instant::now(),
                // Every fourth caller caches addresses beyond their TTL.
                ttl: ENTRY_TTL * if n % 4 == 0 { 3 } else { 1 },
            };
            let (stop, records, running) = (
                callers.stop.clone(),
                callers.records.clone(),
                callers.running.clone(),
            );
            compio::runtime::spawn(async move {
                task.run(&stop, &records).await;
                running.set(running.get() - 1);
            })
            .detach();
        }
        callers
    }

    /// Stops all callers and returns their records.
    pub(crate) async fn stop(self) -> Vec<RequestRecord> {
        self.stop.set(true);
        while self.running.get() > 0 {
            sleep_ms(20).await;
        }
        self.records.take()
    }
}

struct CallerTask {
    rng: SmallRng,
    caller: Caller,
    entries: Vec<SocketAddr>,
    addrs: Vec<SocketAddr>,
    fresh_until: Instant,
    ttl: Duration,
}

impl CallerTask {
    async fn run(mut self, stop: &Cell<bool>, records: &RefCell<Vec<RequestRecord>>) {
        while !stop.get() {
            sleep_ms(self.rng.random_range(0..MAX_PAUSE_MS)).await;
            self.resolve().await;
            let Some(addr) = self.addrs.choose(&mut self.rng).copied() else {
                continue;
            };
            let record = self.send_request(addr).await;
            if record.received.is_none() {
                // A failed address is not used again until the next resolution.
                self.addrs.retain(|a| *a != addr);
            }
            records.borrow_mut().push(record);
        }
    }

    /// Resolves router addresses through up to three routers if the cached ones have expired.
    async fn resolve(&mut self) {
        if Instant::now() < self.fresh_until && !self.addrs.is_empty() {
            return;
        }
        let chosen: Vec<SocketAddr> = self
            .entries
            .choose_multiple(&mut self.rng, 3)
            .copied()
            .collect();
        for entry in chosen {
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

    async fn send_request(&mut self, addr: SocketAddr) -> RequestRecord {
        let kinds = [
            RequestKind::Get,
            RequestKind::Ticket,
            RequestKind::Resumed,
            RequestKind::Once,
        ];
        let kind = kinds[self.rng.random_range(0..kinds.len())];
        let body = self.rng.random_range(2..30_u32).to_string();
        let id = new_request_id();
        let deadline_ms = DEADLINE.as_millis().to_string();
        let headers = [
            ("attempt-id", id.as_str()),
            ("host", HOST),
            ("deadline-ms", deadline_ms.as_str()),
        ];
        let sent_ms = wall_ms();
        let call = self.caller.call(addr, "POST", kind.path(), &headers, &body);
        let received = compio::time::timeout(DEADLINE, call).await.ok().flatten();
        RequestRecord {
            id,
            kind,
            body,
            router: addr,
            sent_ms,
            ended_ms: wall_ms(),
            received,
        }
    }
}
