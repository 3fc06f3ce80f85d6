//! An operator that writes new versions of the configuration in uneven steps, and deletes history
//! from the store.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::lock::Mutex;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::support::routed::{KEY, RoutedFleet, config, route, routes, write_operator_record};
use crate::support::{post, sleep_ms, wall_ms};

/// Number of routes that versions add and remove.
pub(crate) const ROUTES: usize = 8;
/// Number of callers' keys that versions add and remove.
pub(crate) const KEYS: usize = 5;
/// Keys from this number on belong to an account of their own.
const FIRST_OWN_KEY: usize = 3;
const OWN_ACCOUNT: &str = "annex";

/// Probability that a version adds or removes a given route or key.
const TOGGLE_SHARE: f64 = 0.25;
/// Probability that the next version follows soon, and the pauses before it and before others.
const SOON_SHARE: f64 = 0.35;
const SOON_MS: std::ops::Range<u64> = 10..300;
const LATER_MS: std::ops::Range<u64> = 800..4_500;
/// Probability that the history is deleted right after a version.
const TRUNCATE_SHARE: f64 = 0.3;
/// Maximum pause between two other deletions.
const MAX_TRUNCATE_PAUSE_MS: u64 = 900;
/// Pause after a write that the store did not acknowledge.
const REPEAT_MS: u64 = 30;
/// Interval at which the operator checks whether a version is wanted at once.
const CHECK_MS: u64 = 20;

/// Streams of which the history is deleted; empty: all streams.
const STREAMS: [&str; 4] = ["keyed.op", "keyed.servers", "keyed.status", ""];

/// One version of the configuration.
#[derive(Clone, Debug)]
pub(crate) struct Version {
    pub(crate) version: u64,
    /// Unix time before the first attempt to write it.
    pub(crate) sent_ms: u64,
    /// Unix time at which the store's acknowledgement was received; `u64::MAX` if none was.
    pub(crate) acked_ms: u64,
    pub(crate) routes: BTreeSet<usize>,
    pub(crate) keys: BTreeSet<usize>,
}

impl Version {
    /// Whether it holds the route and the key; `None` stands for what every version holds.
    pub(crate) fn allows(&self, route: Option<usize>, key: Option<usize>) -> bool {
        route.is_none_or(|r| self.routes.contains(&r)) && key.is_none_or(|k| self.keys.contains(&k))
    }
}

pub(crate) fn key_text(key: usize) -> String {
    format!("changing-key-{key}")
}

/// The account of a changing key, or of the key that every version holds.
pub(crate) fn account_of(key: Option<usize>) -> &'static str {
    match key {
        Some(key) if key >= FIRST_OWN_KEY => OWN_ACCOUNT,
        _ => "workshop",
    }
}

/// An evacuation of a data centre.
#[derive(Clone, Debug)]
pub(crate) struct Evacuation {
    pub(crate) data_center: usize,
    /// Unix time at which the store's acknowledgement was received.
    pub(crate) acked_ms: u64,
    /// Unix time before the first attempt to undo it; `u64::MAX` if there was none.
    pub(crate) undone_ms: u64,
}

/// The running operator. Clones share its versions.
#[derive(Clone)]
pub(crate) struct Operator {
    store: SocketAddr,
    versions: Rc<RefCell<Vec<Version>>>,
    evacuations: Rc<RefCell<Vec<Evacuation>>>,
    /// Key and value of the newest record of the configuration and of the evacuations. Locked while a
    /// record is written, so that an older one is never repeated after a newer one.
    written: Rc<Mutex<BTreeMap<String, String>>>,
    more_route: Rc<RefCell<Option<Value>>>,
    is_wanted: Rc<Cell<bool>>,
    deletes_history: bool,
}

impl Operator {
    pub(crate) fn new(routed: &RoutedFleet, deletes_history: bool) -> Self {
        let now_ms = wall_ms();
        let first = Version {
            version: routed.version(),
            sent_ms: now_ms,
            acked_ms: now_ms,
            routes: BTreeSet::new(),
            keys: BTreeSet::new(),
        };
        Self {
            store: routed.store.addr,
            versions: Rc::new(RefCell::new(vec![first])),
            evacuations: Rc::default(),
            written: Rc::default(),
            more_route: Rc::default(),
            is_wanted: Rc::default(),
            deletes_history,
        }
    }

    /// Asks for a version at once, which also holds the given route from now on.
    pub(crate) fn want_route(&self, route: Value) {
        *self.more_route.borrow_mut() = Some(route);
        self.want_version();
    }

    /// Asks for a version at once.
    pub(crate) fn want_version(&self) {
        self.is_wanted.set(true);
    }

    pub(crate) fn store(&self) -> SocketAddr {
        self.store
    }

    pub(crate) fn evacuations(&self) -> Vec<Evacuation> {
        self.evacuations.borrow().clone()
    }

    pub(crate) fn versions(&self) -> Vec<Version> {
        self.versions.borrow().clone()
    }

    /// Writes versions until `until`; returns when the last one is acknowledged.
    pub(crate) async fn run_until(self, seed: u64, until: Instant) {
        let mut rng = SmallRng::seed_from_u64(seed);
        while Instant::now() < until {
            self.write_next(&mut rng).await;
            if rng.random_bool(TRUNCATE_SHARE) && self.deletes_history {
                truncate(self.store, "keyed.op").await;
            }
            let pause = if rng.random_bool(SOON_SHARE) {
                SOON_MS
            } else {
                LATER_MS
            };
            let next = Instant::now() + Duration::from_millis(rng.random_range(pause));
            while Instant::now() < next.min(until) && !self.is_wanted.get() {
                sleep_ms(CHECK_MS).await;
            }
        }
    }

    async fn write_next(&self, rng: &mut SmallRng) {
        self.is_wanted.set(false);
        let mut written = self.written.lock().await;
        let next = self.draw_next(rng);
        let text = self.text_of(&next);
        println!(
            "{}: version {}, routes {:?}, keys {:?}",
            next.sent_ms, next.version, next.routes, next.keys
        );
        self.versions.borrow_mut().push(next);
        self.write("config", &text).await;
        if let Some(last) = self.versions.borrow_mut().last_mut() {
            last.acked_ms = wall_ms();
        }
        written.insert("config".to_owned(), text);
    }

    /// Writes a record until the store acknowledges it: a lost answer leaves open whether it is in
    /// force.
    async fn write(&self, key: &str, value: &str) {
        while !write_operator_record(self.store, key, value).await {
            sleep_ms(REPEAT_MS).await;
        }
    }

    /// Evacuates a data centre or undoes that.
    pub(crate) async fn evacuate(&self, data_center: usize, is_evacuated: bool) {
        let mut written = self.written.lock().await;
        println!(
            "{}: evacuation of dc-{data_center}: {is_evacuated}",
            wall_ms()
        );
        if !is_evacuated && let Some(last) = self.evacuations.borrow_mut().last_mut() {
            last.undone_ms = wall_ms();
        }
        let key = format!("evacuate/dc-{data_center}");
        let value = if is_evacuated { "{}" } else { "" };
        self.write(&key, value).await;
        written.insert(key, value.to_owned());
        if is_evacuated {
            self.evacuations.borrow_mut().push(Evacuation {
                data_center,
                acked_ms: wall_ms(),
                undone_ms: u64::MAX,
            });
        }
    }

    /// Writes the newest configuration and the newest record on each evacuation again.
    pub(crate) async fn repeat(&self) {
        let written = self.written.lock().await;
        println!("{}: the operator repeats its records", wall_ms());
        for (key, value) in written.iter() {
            self.write(key, value).await;
        }
    }

    fn draw_next(&self, rng: &mut SmallRng) -> Version {
        let versions = self.versions.borrow();
        let last = &versions[versions.len() - 1];
        let mut toggle = |old: &BTreeSet<usize>, count: usize| -> BTreeSet<usize> {
            let all = 0..count;
            all.filter(|n| old.contains(n) != rng.random_bool(TOGGLE_SHARE))
                .collect()
        };
        let routes = toggle(&last.routes, ROUTES);
        let keys = toggle(&last.keys, KEYS);
        Version {
            version: last.version + rng.random_range(1..10),
            sent_ms: wall_ms(),
            acked_ms: u64::MAX,
            routes,
            keys,
        }
    }

    fn text_of(&self, version: &Version) -> String {
        let changing = version.routes.iter();
        let changing = changing.map(|n| route(&format!("r{n}"), "idempotent", json!({})));
        let all: Vec<Value> = routes()
            .into_iter()
            .chain(changing)
            .chain(self.more_route.borrow().clone())
            .collect();
        let keys_of = |account: &str| {
            let keys = version.keys.iter();
            let keys = keys.filter(|k| account_of(Some(**k)) == account);
            keys.map(|k| key_text(*k)).collect::<Vec<_>>()
        };
        let mut workshop = keys_of("workshop");
        workshop.push(KEY.to_owned());
        let mut accounts = vec![json!({ "name": "workshop", "api_keys": workshop, "priority": 1 })];
        let own = keys_of(OWN_ACCOUNT);
        if !own.is_empty() {
            accounts.push(json!({ "name": OWN_ACCOUNT, "api_keys": own, "priority": 1 }));
        }
        config(
            version.version,
            &json!({ "routes": all, "tenants": accounts, "limits": limits(version.version) }),
        )
        .to_string()
    }
}

/// The limits of callers in a version, which change from one to the next.
fn limits(version: u64) -> Value {
    let (header_timeout_ms, idle_timeout_ms) = match version % 3 {
        0 => (3_000, 15_000),
        1 => (1_000, 5_000),
        _ => (2_000, 2_000),
    };
    json!({
        "max_header_bytes": 16_384, "max_body_bytes": 100_000,
        "header_timeout_ms": header_timeout_ms, "idle_timeout_ms": idle_timeout_ms,
    })
}

/// Deletes the history of streams until `until`.
pub(crate) async fn truncate_until(store: SocketAddr, seed: u64, until: Instant) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while Instant::now() < until {
        sleep_ms(rng.random_range(0..MAX_TRUNCATE_PAUSE_MS)).await;
        truncate(store, STREAMS.choose(&mut rng).unwrap_or(&"")).await;
    }
}

async fn truncate(store: SocketAddr, stream: &str) {
    let path = match stream {
        "" => "/truncate".to_owned(),
        name => format!("/truncate?stream_name={name}"),
    };
    if !post(store, &path, "").await {
        println!("the store did not truncate {stream:?}");
    }
}
