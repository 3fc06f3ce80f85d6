//! Callers that repeat one request which crashes each upstream that runs it, and the check that it is
//! stopped while requests beside it are not.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use standins::backend::HARMFUL_BODY;

use crate::callers::RequestRecord;
use crate::outages::Outages;
use crate::support::routed::{HOST, KEY, RoutedFleet, new_request_id};
use crate::support::{Caller, sleep_ms, wall_ms};

/// Time limit of a request.
const DEADLINE: Duration = Duration::from_secs(4);
/// Longest pause of a caller after two failures in a row.
const MAX_PAUSE_MS: u64 = 1_000;
/// Time within which routers that are not disturbed know what others observed.
const CONTACT_MS: u64 = 3_000;
/// Number of arrivals allowed later than [`CONTACT_MS`] after the third death.
const MAX_LATE: usize = 3;

/// A harmful request, and the router that it was sent to.
pub(crate) struct HarmfulRequest {
    id: String,
    router: usize,
}

/// The running callers.
pub(crate) struct HarmfulCallers {
    stop: Rc<Cell<bool>>,
    sent: Rc<RefCell<Vec<HarmfulRequest>>>,
    running: Rc<Cell<u32>>,
}

impl HarmfulCallers {
    pub(crate) fn spawn(routed: &RoutedFleet, count: u32, seed: u64) -> Self {
        let callers = Self {
            stop: Rc::default(),
            sent: Rc::default(),
            running: Rc::new(Cell::new(count)),
        };
        let routers = u8::try_from(routed.routers.len()).unwrap_or(u8::MAX);
        let addrs: Vec<SocketAddr> = (0..routers).map(|i| routed.caller(i)).collect();
        // All callers send the same request.
        let streams = SmallRng::seed_from_u64(seed).random_bool(0.5);
        let path = if streams { "/resumed/stream" } else { "/get/1" };
        for n in 0..count {
            let mut rng = SmallRng::seed_from_u64(seed ^ (u64::from(n) << 32));
            let (stop, sent) = (callers.stop.clone(), callers.sent.clone());
            let (running, addrs) = (callers.running.clone(), addrs.clone());
            compio::runtime::spawn(async move {
                while !stop.get() {
                    for _ in 0..2 {
                        send_request(path, &addrs, &mut rng, &sent).await;
                    }
                    sleep_ms(rng.random_range(0..MAX_PAUSE_MS)).await;
                }
                running.set(running.get() - 1);
            })
            .detach();
        }
        callers
    }

    /// Stops all callers and returns what they sent.
    pub(crate) async fn stop(self) -> Vec<HarmfulRequest> {
        self.stop.set(true);
        while self.running.get() > 0 {
            sleep_ms(20).await;
        }
        self.sent.take()
    }
}

async fn send_request(
    path: &str,
    addrs: &[SocketAddr],
    rng: &mut SmallRng,
    sent: &RefCell<Vec<HarmfulRequest>>,
) {
    let Some((router, addr)) = addrs
        .iter()
        .enumerate()
        .collect::<Vec<_>>()
        .choose(rng)
        .copied()
    else {
        return;
    };
    let id = new_request_id();
    sent.borrow_mut().push(HarmfulRequest {
        id: id.clone(),
        router,
    });
    let headers = [
        ("attempt-id", id.as_str()),
        ("host", HOST),
        ("deadline-ms", "4000"),
    ];
    let caller = Caller::new(KEY);
    let call = caller.call(*addr, "POST", path, &headers, HARMFUL_BODY);
    // A router that is down or suspended doesn't answer; the next request goes to another.
    let _ = compio::time::timeout(DEADLINE, call).await;
}

/// Checks that harmful requests reach no more upstreams than allowed, from routers that are not
/// disturbed.
pub(crate) fn check(
    routed: &RoutedFleet,
    sent: &[HarmfulRequest],
    outages: &Outages,
) -> Option<String> {
    let mut arrivals = Vec::new();
    let mut deaths_ms = Vec::new();
    for name in &routed.upstream_names {
        let at = routed.arrivals_at(name).into_iter();
        let harmful: Vec<(u64, usize)> = at
            .filter_map(|a| {
                let request = sent.iter().find(|s| s.id == a.request_id)?;
                Some((a.at_ms, request.router))
            })
            .collect();
        deaths_ms.extend(harmful.iter().map(|(at_ms, _)| *at_ms).min());
        arrivals.extend(harmful);
    }
    deaths_ms.sort_unstable();
    println!(
        "{} harmful requests sent, {} upstreams crashed",
        sent.len(),
        deaths_ms.len()
    );
    let bound_ms = deaths_ms.get(2)? + CONTACT_MS;
    let is_late = |(at_ms, router): &&(u64, usize)| {
        let from_ms = at_ms.saturating_sub(CONTACT_MS);
        *at_ms > bound_ms && !outages.excuses(*router, from_ms, *at_ms)
    };
    let late: Vec<String> = arrivals
        .iter()
        .filter(is_late)
        .map(|(at_ms, router)| format!("{} ms from router {router}", at_ms - bound_ms))
        .collect();
    let end_ms = wall_ms();
    (late.len() > MAX_LATE).then(|| {
        format!(
            "harmful requests reached upstreams {} times after the bound, {} ms ago: {}",
            late.len(),
            end_ms - bound_ms,
            late.join(", ")
        )
    })
}

/// Finds harmless requests that were refused as quarantined.
pub(crate) fn wrongly_refused(records: &[RequestRecord]) -> Option<String> {
    let refused = records.iter().filter(|record| {
        let received = record.received.as_ref();
        received.is_some_and(|r| r.body.contains("\"quarantined\""))
    });
    let ids: Vec<&str> = refused.map(|record| &*record.id).collect();
    (!ids.is_empty()).then(|| {
        format!(
            "{} harmless requests refused as quarantined, first {}",
            ids.len(),
            ids[0]
        )
    })
}
