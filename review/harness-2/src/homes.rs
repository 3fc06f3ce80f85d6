//! A machine is partitioned from all runners and gets requests that may not leave its area.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{at, unusable, Fleet, HOST, KEY};
use crate::net::{self, Conn, Got};
use crate::proxy::{store_view, Relay};
use crate::runner::{Record, Runner};

/// Area of each machine. The clients are in that of the first one, and their requests have it as their home.
const AREAS: [&str; 3] = ["east", "east", "west"];
const RUNNERS_A_ZONE: u8 = 2;
const REQUESTS: u32 = 60;
const PAUSE: Duration = Duration::from_millis(80);
const CONTACT: Duration = Duration::from_millis(3_000);

fn config() -> String {
    let route = |name: &str, homes: &str| {
        format!(r#"{{"name":"{name}","host":"{HOST}","path_prefix":"/{name}/","type":"idempotent","timeout_ms":2000,"target_latency_ms":150,"priority":0,"service":"s1","max_attempts":2,"public":false{homes}}}"#)
    };
    let routes = [route("any", ""), route("records", r#","allowed_regions":["east"]"#)];
    format!(
        r#"{{"version":1,"routes":[{}],"services":[{{"name":"s1","health_path":"/healthz","max_connections":110}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"workshop","api_keys":["{KEY}"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

fn call(addr: std::net::SocketAddr, route: &str, id: &str) -> Got {
    let Ok(mut conn) = Conn::open(addr, Duration::from_secs(1)) else { return Got::default() };
    let request = format!(
        "POST /{route}/1?ms=10 HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 2000\r\nContent-Length: 9\r\n\r\na patient"
    );
    let _ = conn.send(request.as_bytes());
    net::answer(&mut conn, Instant::now() + Duration::from_millis(2_500), None)
}

pub fn run(out: &str, trouble: bool) -> bool {
    let mut fleet = Fleet::start("homes");
    fleet.configure(&config());
    let began = Instant::now();
    let record: Record = Arc::default();
    // Each machine reaches the runners through proxies of its own, which show what it sends.
    let mut relays: [Vec<Arc<Relay>>; 3] = Default::default();
    let mut renamed: [Vec<(String, String)>; 3] = Default::default();
    for i in 0..3 * RUNNERS_A_ZONE {
        let addr = at(fleet.prefix, 100 + i, 8001);
        let runner = Runner::start(&format!("i-{i:02}"), addr, "s1", 6, record.clone(), began);
        if !runner.publish(fleet.store, &format!("dc-{}", i % 3), "ready", 1) {
            unusable("an entry can't be written");
        }
        for machine in 0..3u8 {
            let relay = at(fleet.prefix, 200 + 10 * machine + i, 8001);
            renamed[usize::from(machine)].push((addr.to_string(), relay.to_string()));
            relays[usize::from(machine)].push(Relay::start(relay, addr));
        }
    }
    for (machine, renamed) in renamed.into_iter().enumerate() {
        let view = at(fleet.prefix, 251 + machine as u8, 9000);
        store_view(view, fleet.store, renamed);
        fleet.spawn_router_in(machine, view, AREAS);
    }
    (0..3).for_each(|i| fleet.wait_ready(i));
    thread::sleep(Duration::from_secs(4));

    let sent_by = |machine: usize| -> BTreeSet<String> { relays[machine].iter().flat_map(|r| r.ids()).collect() };
    for machine in 0..3 {
        for n in 0..20 {
            call(fleet.caller(machine), "any", &format!("before-{machine}-{n}"));
        }
    }
    for machine in 0..3 {
        let own = format!("before-{machine}-");
        let ids = sent_by(machine);
        if ids.len() != 20 || ids.iter().any(|id| !id.starts_with(&own)) {
            unusable("a machine doesn't use its own proxies");
        }
    }
    if trouble {
        relays[0].iter().for_each(|r| r.cut());
    }
    let cut = began.elapsed();
    let mut lines = Vec::new();
    let mut served = 0;
    for n in 0..REQUESTS {
        let id = format!("home-{n}");
        let at_ms = began.elapsed().as_millis();
        let got = call(fleet.caller(0), "records", &id);
        served += u32::from(got.served());
        let sender = (0..3).find(|machine| sent_by(*machine).contains(&id));
        let sender = sender.map_or("none".into(), |m| format!("machine {m} in {}", AREAS[m]));
        lines.push(format!("{at_ms:>6} ms {id} of a client in east at machine 0: {} after {} ms, sent to a runner by {sender}", got.status, got.took_ms));
        thread::sleep(PAUSE);
    }
    let lasted = began.elapsed() - cut;
    relays[0].iter().for_each(|r| r.heal());
    let abroad = sent_by(2).iter().filter(|id| id.starts_with("home-")).count();
    let broken = abroad > 0;
    let verdict = format!(
        "trouble {trouble}; the cut lasted {} ms, {} ms of it beyond contact_ms\n\
         {served} of {REQUESTS} requests with home east served; the bodies of {abroad} were at machine 2 in west\nrule HOME: {}\n",
        lasted.as_millis(), lasted.saturating_sub(CONTACT).as_millis(), if broken { "BROKEN" } else { "held" }
    );
    print!("{verdict}");
    let _ = std::fs::write(out, format!("{verdict}\n{}\n\nruns\n{}\n", lines.join("\n"), record.lock().unwrap().join("\n")));
    !broken
}
