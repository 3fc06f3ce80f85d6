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

/// Interval between two events of a lasting stream.
const EVENT_INTERVAL_MS: u64 = 36;
/// Numbers of events of a lasting stream: some seconds, or longer than a router's grace time.
const EVENTS: std::ops::Range<u32> = 55..110;
const MANY_EVENTS: std::ops::Range<u32> = 150..200;
/// Share of the lasting streams that are longer than a router's grace time.
const MANY_EVENTS_SHARE: f64 = 0.2;
/// Timeout of a lasting request, also sent to the router as its deadline.
const LASTING_DEADLINE: Duration = Duration::from_secs(9);
/// Duration of other lasting requests.
const REQUEST_MS: std::ops::Range<u64> = 20..3_000;
/// Offset of the seed of callers that send lasting requests.
const LASTING_SEED: u64 = 0x7374_7265_616d;

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

/// What a caller asks for.
struct Wanted {
    kind: RequestKind,
    /// Number of events of a stream; otherwise any number.
    count: u32,
    path: String,
    deadline: Duration,
}

impl Wanted {
    /// A request that is answered at once, unless its upstream has a fault.
    fn short(rng: &mut SmallRng) -> Self {
        let kinds = [
            RequestKind::Get,
            RequestKind::Ticket,
            RequestKind::Resumed,
            RequestKind::Once,
        ];
        let kind = kinds[rng.random_range(0..kinds.len())];
        Self {
            kind,
            count: rng.random_range(2..30),
            path: kind.path().to_owned(),
            deadline: DEADLINE,
        }
    }

    /// Mostly a stream that lasts for seconds, otherwise a request that takes its time.
    fn lasting(rng: &mut SmallRng) -> Self {
        let kinds = [
            RequestKind::Resumed,
            RequestKind::Once,
            RequestKind::Resumed,
            RequestKind::Once,
            RequestKind::Get,
            RequestKind::Ticket,
        ];
        let kind = kinds[rng.random_range(0..kinds.len())];
        let events = if rng.random_bool(MANY_EVENTS_SHARE) {
            MANY_EVENTS
        } else {
            EVENTS
        };
        let delay_ms = if kind.is_stream() {
            EVENT_INTERVAL_MS
        } else {
            rng.random_range(REQUEST_MS)
        };
        Self {
            kind,
            count: rng.random_range(events),
            path: format!("{}?delay_ms={delay_ms}", kind.path()),
            deadline: LASTING_DEADLINE,
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
    /// Its deadline, relative to its sending.
    pub(crate) limit_ms: u64,
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
    /// Starts `count` callers with short requests, and `lasting` with lasting ones only.
    pub(crate) fn spawn(routed: &RoutedFleet, count: u32, lasting: u32, seed: u64) -> Self {
        let callers = Self {
            stop: Rc::default(),
            records: Rc::default(),
            running: Rc::new(Cell::new(count + lasting)),
        };
        let entries = (0..u8::try_from(routed.routers.len()).unwrap_or(u8::MAX))
            .map(|i| routed.entry_addr(i))
            .collect::<Vec<_>>();
        for n in 0..count + lasting {
            let (draw, seed): (fn(&mut SmallRng) -> Wanted, u64) = if n < count {
                (Wanted::short, seed)
            } else {
                (Wanted::lasting, seed ^ LASTING_SEED)
            };
            let task = CallerTask {
                rng: SmallRng::seed_from_u64(seed ^ (u64::from(n) << 32)),
                draw,
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
    draw: fn(&mut SmallRng) -> Wanted,
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
        let wanted = (self.draw)(&mut self.rng);
        let body = wanted.count.to_string();
        let id = new_request_id();
        let limit_ms = u64::try_from(wanted.deadline.as_millis()).unwrap_or(u64::MAX);
        let deadline_ms = limit_ms.to_string();
        let headers = [
            ("attempt-id", id.as_str()),
            ("host", HOST),
            ("deadline-ms", deadline_ms.as_str()),
        ];
        let sent_ms = wall_ms();
        let caller = &self.caller;
        let call = caller.call(addr, "POST", &wanted.path, &headers, &body);
        let received = compio::time::timeout(wanted.deadline, call)
            .await
            .ok()
            .flatten();
        RequestRecord {
            id,
            kind: wanted.kind,
            body,
            router: addr,
            sent_ms,
            ended_ms: wall_ms(),
            limit_ms,
            received,
        }
    }
}
