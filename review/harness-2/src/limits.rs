//! A new configuration lets clients send larger headers, and they do so on the channels that they have open.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{at, Fleet, HOST, KEY};
use crate::net::{self, Conn, Got};
use crate::runner::{Record, Runner};

const ROUTERS: usize = 3;
const RUNNERS: u8 = 3;
/// Kept channels to each machine.
const CHANNELS: usize = 10;
/// Small requests on each channel before the change.
const SMALL: usize = 6;
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Bytes of the large headers; the new limit is 65,536.
const LARGE: usize = 40_000;
const OLD_LIMIT: usize = 16_384;
const NEW_LIMIT: usize = 65_536;

fn config(version: u32, max_header_bytes: usize) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"get","host":"{HOST}","path_prefix":"/get/","type":"idempotent","timeout_ms":1000,"target_latency_ms":150,"priority":0,"service":"s1","max_attempts":2,"public":false}}],"services":[{{"name":"s1","health_path":"/healthz","max_connections":110}}],"limits":{{"max_header_bytes":{max_header_bytes},"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"workshop","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

fn prefix(bytes: usize) -> String {
    let mut parts = String::from("5c1e07a2:800");
    for n in 0.. {
        if parts.len() >= bytes {
            break;
        }
        parts += &format!(",{:08x}:4", 0x91bd_3f06u32.wrapping_add(n));
    }
    parts
}

fn send(conn: &mut Conn, id: &str, prefix: &str) -> Got {
    let request = format!(
        "POST /get/1?ms=5 HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1000\r\nPrompt-Prefix: {prefix}\r\nContent-Length: 2\r\n\r\nhi"
    );
    if let Err(e) = conn.send(request.as_bytes()) {
        return Got { end: e.to_string(), ..Got::default() };
    }
    net::answer(conn, Instant::now() + Duration::from_secs(1), None)
}

pub fn run(out: &str, trouble: bool) -> bool {
    let mut fleet = Fleet::start("limits");
    fleet.configure(&config(1, if trouble { OLD_LIMIT } else { NEW_LIMIT }));
    let began = Instant::now();
    let record: Record = Arc::default();
    for i in 0..RUNNERS {
        let addr = at(fleet.prefix, 100 + i, 8001);
        let runner = Runner::start(&format!("i-{i:02}"), addr, "s1", 6, record.clone(), began);
        if !runner.publish(fleet.store, &format!("dc-{i}"), "ready", 1) {
            crate::fleet::unusable("an entry can't be written");
        }
    }
    for i in 0..ROUTERS {
        fleet.spawn_router(i, fleet.store);
    }
    (0..ROUTERS).for_each(|i| fleet.wait_ready(i));
    thread::sleep(Duration::from_secs(4));

    let text = Arc::new(Mutex::new(Vec::new()));
    let mut all: Vec<Got> = Vec::new();
    let mut channels = Vec::new();
    for machine in 0..ROUTERS {
        for n in 0..CHANNELS {
            let Ok(conn) = Conn::open(fleet.caller(machine), Duration::from_secs(1)) else {
                crate::fleet::unusable("no channel to a machine");
            };
            channels.push((machine, n, conn));
        }
    }
    let mut ask = |conn: &mut Conn, id: String, parts: &str| {
        let at = began.elapsed().as_millis();
        let got = send(conn, &id, parts);
        let line = format!("{at:>6} ms {id}: {} bytes of Prompt-Prefix -> {} signed {} {}", parts.len(), got.status, got.signed, got.end);
        text.lock().unwrap().push(line);
        all.push(got.clone());
        got
    };
    for round in 0..SMALL {
        for (machine, n, conn) in &mut channels {
            ask(conn, format!("small-{machine}-{n}-{round}"), &prefix(100));
        }
        thread::sleep(Duration::from_millis(500));
    }
    if trouble {
        fleet.configure(&config(2, NEW_LIMIT));
        text.lock().unwrap().push(format!("{:>6} ms version 2 is confirmed", began.elapsed().as_millis()));
    }
    thread::sleep(CONFIG_APPLY + Duration::from_secs(1));
    let large = prefix(LARGE);
    let mut kept = Vec::new();
    for (machine, n, conn) in &mut channels {
        kept.push(ask(conn, format!("large-{machine}-{n}"), &large));
    }
    let mut new = Vec::new();
    for machine in 0..ROUTERS {
        let Ok(mut conn) = Conn::open(fleet.caller(machine), Duration::from_secs(1)) else { continue };
        new.push(ask(&mut conn, format!("large-on-new-{machine}"), &large));
    }
    let served = |of: &[Got]| of.iter().filter(|g| g.served()).count();
    let denied = all.iter().filter(|g| (300..500).contains(&g.status) && !g.signed && ![408, 421, 429].contains(&g.status)).count();
    let bound = 5 + all.len() / 500;
    let broken = denied > bound;
    let verdict = format!(
        "trouble {trouble}; large requests served: {} of {} on kept channels, {} of {} on new ones\n\
         {denied} of {} requests ended with a 4xx of a machine's own, {bound} allowed\nrule DENIED: {}\n",
        served(&kept), kept.len(), served(&new), new.len(), all.len(), if broken { "BROKEN" } else { "held" }
    );
    print!("{verdict}");
    let lines = text.lock().unwrap().join("\n");
    let _ = std::fs::write(out, format!("{verdict}\n{lines}\n\nruns\n{}\n", record.lock().unwrap().join("\n")));
    !broken
}
