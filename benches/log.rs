//! Cost of the log: `cargo bench --bench log -- claims` and `-- config`.
//!
//! Claims: appends per second, added latency and bytes read, by group window, at the load of nine
//! routers. Configuration: time from acceptance of a change until nine routers apply it, in normal
//! operation and after an outage of the platform.

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use cassiagrade::log::claimant::{ClaimHandle, ClaimOptions};
use cassiagrade::log::claims::Verdict;
use cassiagrade::log::platform::Platform as Client;
use cassiagrade::log::{Batch, Log, LogError, slot};
use cassiagrade::router::{Outputs, Router};
use cassiagrade::schema::config::change::Op;
use cassiagrade::schema::config::{Change, HostMark};
use cassiagrade::schema::operator::ApplyRequest;
use cassiagrade::schema::records::Outcome;
use cassiagrade::schema::records::claim_record::Body;
use cassiagrade::serve::operator::OperatorCaller;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use standins::platform::Platform;
use uuid::Uuid;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

const RUN_TIME: Duration = Duration::from_secs(5);
const RETENTION_MS: u64 = 86_400_000;
const ROUTERS: u64 = 9;
const CHANGES: u64 = 40;
const OPERATOR_KEY: &str = "bench-operator-key-01";

#[compio::main]
async fn main() -> Result<()> {
    let part = std::env::args().nth(1).unwrap_or_default();
    if part != "config" {
        claims().await?;
    }
    if part != "claims" {
        config().await?;
    }
    Ok(())
}

/// The platform's log, with a count of the bytes read.
#[derive(Clone)]
struct CountingLog {
    client: Client,
    read_bytes: Rc<Cell<usize>>,
}

impl Log for CountingLog {
    async fn append(
        &self,
        stream: &str,
        records: Vec<String>,
    ) -> std::result::Result<u64, LogError> {
        self.client.append(stream, records).await
    }

    async fn read(
        &self,
        stream: &str,
        from: u64,
        max: usize,
    ) -> std::result::Result<Batch, LogError> {
        let batch = self.client.read(stream, from, max).await?;
        let bytes: usize = batch.entries.iter().map(|e| e.text.len()).sum();
        self.read_bytes.set(self.read_bytes.get() + bytes);
        Ok(batch)
    }
}

async fn claims() -> Result<()> {
    println!("claims: the readers of all slots in one task; one claim and one outcome per request");
    println!(
        "requests/s  log ms  window ms  appends/s  added ms p50  p99  max  bytes read/s/router"
    );
    for (per_s, delay_ms) in [(30, 5), (300, 5), (1_000, 5), (300, 50)] {
        for window_ms in [0, 15, 30, 60, 120] {
            measure_window(per_s, delay_ms, window_ms).await?;
        }
    }
    Ok(())
}

async fn measure_window(per_s: u32, delay_ms: u64, window_ms: u64) -> Result<()> {
    let platform = Platform::bind(loopback_addr()).await?;
    set_knobs(&platform, &format!(r#"{{"delay_ms":{delay_ms}}}"#)).await?;
    let client = Client::open(&platform.addr.to_string(), Duration::from_secs(1))?;
    let read_bytes = Rc::new(Cell::new(0));
    let log = CountingLog {
        client,
        read_bytes: read_bytes.clone(),
    };
    let grouping = ClaimOptions {
        window: Duration::from_millis(window_ms),
        retention_ms: RETENTION_MS,
    };
    let claimant = ClaimHandle::spawn(&log, grouping);
    let added_us = Rc::new(RefCell::new(Vec::new()));
    let mut rng = SmallRng::seed_from_u64(1);
    let start = Instant::now();
    let mut due = Duration::ZERO;
    while due < RUN_TIME {
        let gap_s = -rng.random_range(f64::EPSILON..1.0_f64).ln() / f64::from(per_s);
        due += Duration::from_secs_f64(gap_s);
        compio::time::sleep(due.saturating_sub(start.elapsed())).await;
        compio::runtime::spawn(run_request(claimant.clone(), added_us.clone())).detach();
    }
    let appends = append_count(&platform).await?;
    let bytes = read_bytes.get() / usize::try_from(ROUTERS)?;
    let seconds = start.elapsed().as_secs_f64();
    let mut added_us = added_us.take();
    added_us.sort_unstable();
    let at = |share: f64| quantile_ms(&added_us, share);
    println!(
        "{per_s:>10}  {delay_ms:>6}  {window_ms:>9}  {:>9.0}  {:>12.1}  {:>5.1}  {:>5.1}  {:>9.0}",
        f64::from(appends) / seconds,
        at(0.5),
        at(0.99),
        at(1.0),
        bytes as f64 / seconds,
    );
    Ok(())
}

async fn run_request(claimant: ClaimHandle, added_us: Rc<RefCell<Vec<u128>>>) {
    let key = Uuid::now_v7();
    let claim = slot::new_claim(&format!("acme/{key}"), "router-1", 1, 60_000);
    let start = Instant::now();
    let verdict = claimant.claim(claim.clone(), wall_ms()).await;
    added_us.borrow_mut().push(start.elapsed().as_micros());
    assert!(
        matches!(verdict, Ok(Verdict::Won)),
        "claim not won: {verdict:?}"
    );
    let outcome = Outcome {
        id: claim.id,
        key: claim.key.clone(),
        status: 200,
        content_type: "application/json".to_owned(),
        body: "x".repeat(200),
        body_left_out: false,
    };
    claimant.append_later(&claim.key, Body::Outcome(outcome));
}

async fn config() -> Result<()> {
    let outage_s: u64 = std::env::var("OUTAGE_S").map_or(Ok(60), |v| v.parse())?;
    let platform = Platform::bind(loopback_addr()).await?;
    let mut operators = Vec::new();
    for i in 0..ROUTERS {
        let router = spawn_router(&platform, i).await?;
        operators.push(OperatorCaller::open(router.operator_addr, OPERATOR_KEY).await?);
    }
    let mut healthy_us = Vec::new();
    for i in 0..CHANGES {
        let accepted = apply(&mut operators, i).await?;
        healthy_us.push(wait_until_applied(&mut operators, accepted).await?);
    }
    report("healthy", &mut healthy_us);
    set_knobs(&platform, r#"{"outage":true}"#).await?;
    compio::time::sleep(Duration::from_secs(outage_s)).await;
    let outage_end = Instant::now();
    set_knobs(&platform, "{}").await?;
    let accepted = loop {
        match apply(&mut operators, CHANGES).await {
            Ok(version) => break version,
            Err(_) => compio::time::sleep(Duration::from_millis(5)).await,
        }
    };
    let accept_delay = outage_end.elapsed();
    let mut after_us = vec![wait_until_applied(&mut operators, accepted).await?];
    for i in 0..CHANGES / 2 {
        let accepted = apply(&mut operators, CHANGES + 1 + i).await?;
        after_us.push(wait_until_applied(&mut operators, accepted).await?);
    }
    println!(
        "after an outage of {outage_s} s: first change accepted {} ms after its end",
        accept_delay.as_millis()
    );
    report("just after the outage", &mut after_us);
    Ok(())
}

fn report(name: &str, us: &mut [u128]) {
    us.sort_unstable();
    println!(
        "time from acceptance to application on {ROUTERS} routers, {name}: {} changes, p50 {:.0} ms, max {:.0} ms",
        us.len(),
        quantile_ms(us, 0.5),
        quantile_ms(us, 1.0)
    );
}

async fn apply(operators: &mut [OperatorCaller], i: u64) -> Result<u64> {
    let at = usize::try_from(i)? % operators.len();
    let against_version = operators[at].config().await?.version;
    let change = Change {
        against_version,
        author: "bench".to_owned(),
        op: Some(Op::MarkHost(HostMark {
            host: format!("host-{i}"),
            draining: true,
        })),
    };
    let request = ApplyRequest {
        change: Some(change),
    };
    let reply = operators[at].apply(request).await?;
    if !reply.accepted {
        return Err(reply.reason.into());
    }
    Ok(reply.version)
}

/// Waits until every router has `version`, and returns the time from the call in microseconds.
async fn wait_until_applied(operators: &mut [OperatorCaller], version: u64) -> Result<u128> {
    let start = Instant::now();
    for operator in operators {
        while operator.config().await?.version < version {
            compio::time::sleep(Duration::from_millis(2)).await;
        }
    }
    Ok(start.elapsed().as_micros())
}

async fn spawn_router(platform: &Platform, i: u64) -> Result<Router> {
    let settings = format!(
        r#"{{
            "host": {{ "name": "router-{i}", "data_center": "dc-{}" }},
            "platform": {{ "addr": "{}" }},
            "fleet": {{ "key": "bench-fleet-key-012345" }},
            "operator": {{ "key": "{OPERATOR_KEY}" }}
        }}"#,
        i % 3,
        platform.addr
    );
    let settings = cassiagrade::config::parse("bench", &settings)?;
    Ok(Router::spawn(settings, Outputs::default()).await?)
}

async fn set_knobs(platform: &Platform, knobs: &str) -> Result<()> {
    let client = cyper::Client::new()?;
    let url = format!("http://{}/knobs", platform.addr);
    client.post(url)?.body(knobs.to_owned()).send().await?;
    Ok(())
}

async fn append_count(platform: &Platform) -> Result<u32> {
    let client = cyper::Client::new()?;
    let url = format!("http://{}/counts", platform.addr);
    let text = client.get(url)?.send().await?.text().await?;
    Ok(serde_json::from_str(&text)?)
}

fn loopback_addr() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn quantile_ms(sorted_us: &[u128], share: f64) -> f64 {
    let last = sorted_us.len().saturating_sub(1);
    let at = (last as f64 * share).round() as usize;
    sorted_us.get(at).map_or(0.0, |us| *us as f64 / 1_000.0)
}

fn wall_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
