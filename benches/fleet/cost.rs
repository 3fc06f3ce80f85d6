//! Traffic, CPU time and memory of idle routers, and propagation time of membership changes.

use std::collections::BTreeMap;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use cassiagrade::schema::config::Upstream;
use cassiagrade::schema::config::change::Op;
use serde_json::json;

use crate::quantile;
use crate::sample::Sample;
use crate::support::{Fleet, Options, sleep_ms, wait_until};

const WINDOW_S: u64 = 15;
/// 2,200 engines per 390 routers.
const UPSTREAMS_PER_ROUTER: f64 = 2_200.0 / 390.0;

struct Row {
    routers: u8,
    bytes_per_s: BTreeMap<String, f64>,
    sent_per_s: f64,
    core_share: f64,
    resident_mb: f64,
}

pub(crate) async fn print(sizes: &[u8]) {
    let mut rows = Vec::new();
    for routers in sizes {
        rows.push(measure(*routers).await);
    }
    println!(
        "\n| routers | upstreams | sent B/s | by kind, sent and received B/s | core % | resident MB |"
    );
    println!("|---|---|---|---|---|---|");
    for row in &rows {
        let kinds: Vec<String> = row
            .bytes_per_s
            .iter()
            .map(|(kind, bytes)| format!("{kind} {bytes:.0}"))
            .collect();
        println!(
            "| {} | {} | {:.0} | {} | {:.2} | {:.1} |",
            row.routers,
            upstreams(row.routers),
            row.sent_per_s,
            kinds.join(", "),
            row.core_share * 100.0,
            row.resident_mb
        );
    }
    print_fits(&rows);
}

fn upstreams(routers: u8) -> u32 {
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small count"
    )]
    let upstreams = (f64::from(routers) * UPSTREAMS_PER_ROUTER).round() as u32;
    upstreams
}

/// Prints a least-squares fit of each figure over the sizes, extrapolated to 390 routers.
fn print_fits(rows: &[Row]) {
    let print_fit = |what: &str, unit: &str, value: fn(&Row) -> f64| {
        let points: Vec<(f64, f64)> = rows
            .iter()
            .map(|r| (f64::from(r.routers), value(r)))
            .collect();
        #[allow(clippy::cast_precision_loss, reason = "a small count")]
        let n = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
        let numerator: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let denominator: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let slope = if denominator > 0.0 {
            numerator / denominator
        } else {
            0.0
        };
        let estimate = mean_y + slope * (390.0 - mean_x);
        println!("{what}: {slope:+.4} {unit} per router, at 390 routers {estimate:.2} {unit}");
    };
    println!();
    print_fit("sent", "B/s", |r| r.sent_per_s);
    print_fit("processor", "% of a core", |r| r.core_share * 100.0);
    print_fit("resident", "MB", |r| r.resident_mb);
}

async fn measure(routers: u8) -> Row {
    let settings = json!({
        "platform": { "log_poll_ms": 500, "host_list_poll_ms": 2_000 },
        // Long enough for all routers to receive the leave before the process exits.
        "fleet": { "entry_ttl_ms": 10_000 },
        "output": { "log_level": "warn" },
    });
    let started = Instant::now();
    let options = Options::new(routers, 1, 0);
    let mut fleet = Fleet::start_with(Options {
        settings,
        ..options
    })
    .await;
    add_upstreams(&fleet, upstreams(routers)).await;
    wait_all_alive(&fleet).await;
    eprintln!("{routers} routers up after {:?}", started.elapsed());
    sleep_ms(3_000).await;
    let before = samples(&fleet).await;
    let window = Instant::now();
    sleep_ms(WINDOW_S * 1_000).await;
    let cpu_ns: Vec<u64> = samples(&fleet).await.iter().map(|s| s.cpu_ns).collect();
    let seconds = window.elapsed().as_secs_f64();
    let after = samples(&fleet).await;
    let row = row(routers, &before, &after, &cpu_ns, seconds);
    println!("\n{routers} routers");
    measure_propagation(&mut fleet, routers).await;
    row
}

#[allow(clippy::cast_precision_loss, reason = "far below 2^52")]
fn row(routers: u8, before: &[Sample], after: &[Sample], cpu_ns: &[u64], seconds: f64) -> Row {
    let n = f64::from(routers);
    let mut bytes_per_s: BTreeMap<String, f64> = BTreeMap::new();
    for (b, a) in before.iter().zip(after) {
        for (kind, bytes) in &a.bytes {
            let previous = b.bytes.get(kind).copied().unwrap_or_default();
            *bytes_per_s.entry(kind.clone()).or_default() += (bytes - previous) / seconds / n;
        }
    }
    let sent = bytes_per_s
        .iter()
        .filter(|(kind, _)| kind.starts_with("sent"));
    let sent_per_s = sent.map(|(_, bytes)| bytes).sum();
    let cpu_ns: u64 = before.iter().zip(cpu_ns).map(|(b, a)| a - b.cpu_ns).sum();
    let resident_kb: u64 = after.iter().map(|s| s.resident_kb).sum();
    Row {
        routers,
        bytes_per_s,
        sent_per_s,
        core_share: cpu_ns as f64 / 1e9 / seconds / n,
        resident_mb: resident_kb as f64 / 1_024.0 / n,
    }
}

async fn samples(fleet: &Fleet) -> Vec<Sample> {
    let mut samples = Vec::new();
    for (i, router) in (0..).zip(&fleet.routers) {
        samples.push(Sample::take(fleet.admin(i), router.child.id()).await);
    }
    samples
}

/// Adds upstreams that exist only in the configuration.
async fn add_upstreams(fleet: &Fleet, count: u32) {
    for k in 0..count {
        let upstream = Upstream {
            name: format!("drafting-{k:04}"),
            service: "draft".to_owned(),
            addr: format!("127.255.{}.{}:9", k / 250, 1 + k % 250),
            data_center: format!("dc-{}", k % 3),
            slots: 32,
            ..Upstream::default()
        };
        fleet.accept(Op::PutUpstream(upstream)).await;
    }
}

async fn wait_all_alive(fleet: &Fleet) {
    let routers = fleet.routers.len();
    for i in (0..).take(routers) {
        wait_until("all routers to be alive", || async {
            let Ok(mut operator) = fleet.operator(i).await else {
                return false;
            };
            let Ok(reply) = operator.fleet().await else {
                return false;
            };
            let alive = |h: &&cassiagrade::schema::operator::HostState| {
                h.state == "alive" && h.incarnation > 0
            };
            reply.hosts.iter().filter(alive).count() == routers
        })
        .await;
    }
}

/// Kills, restarts and drains one router, and prints the propagation time of each change.
async fn measure_propagation(fleet: &mut Fleet, routers: u8) {
    let last = routers - 1;
    let name = format!("router-{last}");
    let at_ms = wall_ms();
    fleet.routers[usize::from(last)].kill();
    print_propagation(fleet, &name, "dead", at_ms, "crash").await;
    let at_ms = wall_ms();
    fleet.restart_router(last);
    print_propagation(fleet, &name, "alive", at_ms, "join").await;
    sleep_ms(1_000).await;
    let at_ms = wall_ms();
    fleet.routers[usize::from(last)].terminate();
    print_propagation(fleet, &name, "leaving", at_ms, "leave").await;
}

async fn print_propagation(fleet: &Fleet, name: &str, state: &str, at_ms: u64, what: &str) {
    let others = fleet.routers.len() - 1;
    wait_until(what, || async {
        let propagation_ms = propagation_ms(fleet, name, state, at_ms);
        propagation_ms.len() == others
    })
    .await;
    let propagation_ms = propagation_ms(fleet, name, state, at_ms);
    println!(
        "{what} received by the other routers after: p50 {} ms, max {} ms",
        quantile(&propagation_ms, 0.5),
        quantile(&propagation_ms, 1.0)
    );
}

/// Returns the sorted delays, in milliseconds from `at_ms`, until each other router first recorded
/// `state` for `name`.
fn propagation_ms(fleet: &Fleet, name: &str, state: &str, at_ms: u64) -> Vec<u64> {
    let detail = format!("{name} {state} ");
    let mut first: BTreeMap<String, u64> = BTreeMap::new();
    for event in fleet.events() {
        let event_detail = event["detail"].as_str().unwrap_or_default();
        let host = event["host"].as_str().unwrap_or_default();
        let when = event["at_ms"].as_u64().unwrap_or_default();
        if event["kind"] == "member_changed"
            && event_detail.starts_with(&detail)
            && host != name
            && when >= at_ms
        {
            first.entry(host.to_owned()).or_insert(when - at_ms);
        }
    }
    let mut propagation_ms: Vec<u64> = first.into_values().collect();
    propagation_ms.sort_unstable();
    propagation_ms
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap().as_millis()).unwrap()
}
