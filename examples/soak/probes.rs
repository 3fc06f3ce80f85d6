//! Requests on routes and with keys that versions add and remove, sent straight to each router.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::operator::{KEYS, ROUTES, key_text};
use crate::support::routed::{HOST, KEY, RoutedFleet, new_request_id};
use crate::support::{Caller, sleep_ms, wall_ms};

/// Timeout of a request, also sent to the router as its deadline.
pub(crate) const DEADLINE: Duration = Duration::from_secs(4);
/// Maximum pause between two requests of one task.
const MAX_PAUSE_MS: u64 = 60;
/// Duration of requests that are still in flight when versions drop their route or key.
const SLOW_MS: u64 = 400;
/// Probability that a request uses a route, or a key, that every version holds.
const LASTING_SHARE: f64 = 0.25;

/// One request and its outcome.
pub(crate) struct ProbeRecord {
    pub(crate) id: String,
    pub(crate) router: usize,
    /// `None` for the route that every version holds.
    pub(crate) route: Option<usize>,
    /// `None` for the key that every version holds.
    pub(crate) key: Option<usize>,
    /// Unix time at which it was sent.
    pub(crate) sent_ms: u64,
    /// Unix time at which its response ended.
    pub(crate) ended_ms: u64,
    /// `None` if no response began.
    pub(crate) status: Option<u16>,
    /// Whether the response ended as the protocol requires.
    pub(crate) is_complete: bool,
    /// Whether the response has an upstream's signature.
    pub(crate) is_signed: bool,
    /// Whether the router refused it for lack of upstreams.
    pub(crate) lacks_upstreams: bool,
}

/// The running tasks that send requests.
pub(crate) struct Probes {
    stop: Rc<Cell<bool>>,
    records: Rc<RefCell<Vec<ProbeRecord>>>,
    running: Rc<Cell<u32>>,
}

impl Probes {
    /// Starts `per_router` tasks for each router; every third sends requests that take a while if
    /// `has_slow`.
    pub(crate) fn spawn(routed: &RoutedFleet, per_router: u32, has_slow: bool, seed: u64) -> Self {
        let probes = Self {
            stop: Rc::default(),
            records: Rc::default(),
            running: Rc::default(),
        };
        // Building a client takes milliseconds, so the tasks share them.
        let lasting = Caller::new(KEY);
        let changing: Vec<Caller> = (0..KEYS).map(|k| Caller::new(&key_text(k))).collect();
        for router in 0..routed.routers.len() {
            let addr = routed.caller(u8::try_from(router).unwrap_or(u8::MAX));
            for n in 0..per_router {
                let seed = seed ^ ((router as u64) << 48) ^ (u64::from(n) << 40);
                let task = ProbeTask {
                    rng: SmallRng::seed_from_u64(seed),
                    router,
                    addr,
                    is_slow: has_slow && n % 3 == 2,
                    lasting: lasting.clone(),
                    changing: changing.clone(),
                };
                probes.running.set(probes.running.get() + 1);
                let (stop, records, running) = (
                    probes.stop.clone(),
                    probes.records.clone(),
                    probes.running.clone(),
                );
                compio::runtime::spawn(async move {
                    task.run(&stop, &records).await;
                    running.set(running.get() - 1);
                })
                .detach();
            }
        }
        probes
    }

    /// Stops all tasks and returns their records.
    pub(crate) async fn stop(self) -> Vec<ProbeRecord> {
        self.stop.set(true);
        while self.running.get() > 0 {
            sleep_ms(20).await;
        }
        self.records.take()
    }
}

struct ProbeTask {
    rng: SmallRng,
    router: usize,
    addr: SocketAddr,
    is_slow: bool,
    lasting: Caller,
    changing: Vec<Caller>,
}

impl ProbeTask {
    async fn run(mut self, stop: &Cell<bool>, records: &RefCell<Vec<ProbeRecord>>) {
        while !stop.get() {
            sleep_ms(self.rng.random_range(0..MAX_PAUSE_MS)).await;
            let record = self.send_request().await;
            records.borrow_mut().push(record);
        }
    }

    async fn send_request(&mut self) -> ProbeRecord {
        let route = self.draw(ROUTES);
        let key = self.draw(KEYS);
        let mut path = route.map_or_else(|| "/get/1".to_owned(), |r| format!("/r{r}/1"));
        if self.is_slow {
            path.push_str(&format!("?delay_ms={SLOW_MS}"));
        }
        let caller = key.map_or(&self.lasting, |k| &self.changing[k]);
        let id = new_request_id();
        let deadline_ms = DEADLINE.as_millis().to_string();
        let headers = [
            ("attempt-id", id.as_str()),
            ("host", HOST),
            ("deadline-ms", deadline_ms.as_str()),
        ];
        let sent_ms = wall_ms();
        let call = caller.call(self.addr, "POST", &path, &headers, "1");
        let received = compio::time::timeout(DEADLINE, call).await.ok().flatten();
        ProbeRecord {
            id,
            router: self.router,
            route,
            key,
            sent_ms,
            ended_ms: wall_ms(),
            status: received.as_ref().map(|r| r.status),
            is_complete: received.as_ref().is_some_and(|r| r.complete),
            lacks_upstreams: received.as_ref().is_some_and(|r| lacks_upstreams(&r.body)),
            is_signed: received.is_some_and(|r| !r.header("server-signature").is_empty()),
        }
    }

    /// The number of a changing route or key, or `None` for the lasting one.
    fn draw(&mut self, count: usize) -> Option<usize> {
        let number = self.rng.random_range(0..count);
        (!self.rng.random_bool(LASTING_SHARE)).then_some(number)
    }
}

/// Whether a refusal names the lack of upstreams, and not the router's old state, as its cause.
fn lacks_upstreams(body: &str) -> bool {
    body.contains("\"no_upstream\"") && !body.contains("state is too old")
}
