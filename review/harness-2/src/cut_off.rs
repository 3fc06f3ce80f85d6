//! One of two machines is partitioned from all runners while clients, the store and the other machine reach it.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{at, Fleet, HOST, KEY};
use crate::net::{self, Conn, Got};
use crate::proxy::{store_view, Relay};
use crate::runner::{spawn, Record, Runner};

const RUNNERS: u8 = 18;
const SLOTS: u32 = 48;
const CONTACT: Duration = Duration::from_millis(3_000);
const CUT_AT: Duration = Duration::from_secs(9);
const CUT_FOR: Duration = Duration::from_secs(8);
/// Streams a second at the machine that is cut off, and at the other one.
const PER_S: [u32; 2] = [55, 15];
/// Plain requests a second at each machine.
const PLAIN_PER_S: u32 = 20;
const EVENTS: u64 = 25;
const GAP_MS: u64 = 350;
const OBJECTIVE_MS: u64 = 800;
const PAUSE_MS: u64 = 400;
const STREAM_LIMIT_MS: u64 = 15_000;
const PLAIN_LIMIT_MS: u64 = 1_000;

struct Try {
    machine: usize,
    kind: &'static str,
    id: String,
    sent: Duration,
    got: Got,
}

fn config() -> String {
    let route = |name: &str, more: &str| {
        format!(r#"{{"name":"{name}","host":"{HOST}","path_prefix":"/{name}/","priority":0,"service":"s1","public":false,{more}}}"#)
    };
    let routes = [
        route("stream", &format!(r#""type":"streaming","stream_resume":true,"session_affinity":false,"timeout_ms":{STREAM_LIMIT_MS},"target_latency_ms":{OBJECTIVE_MS},"target_gap_ms":{PAUSE_MS},"max_attempts":2"#)),
        route("get", &format!(r#""type":"idempotent","timeout_ms":{PLAIN_LIMIT_MS},"target_latency_ms":150,"max_attempts":2"#)),
    ];
    format!(
        r#"{{"version":1,"routes":[{}],"services":[{{"name":"s1","health_path":"/healthz","max_connections":310}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"workshop","api_keys":["{KEY}"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

pub fn run(out: &str, trouble: bool) -> bool {
    let mut fleet = Fleet::start("cut-off");
    fleet.configure(&config());
    let began = Instant::now();
    let record: Record = Arc::default();
    let mut relays = Vec::new();
    let mut renamed = Vec::new();
    for i in 0..RUNNERS {
        let addr = at(fleet.prefix, 100 + i, 8001);
        let runner = Runner::start(&format!("i-{i:02}"), addr, "s1", SLOTS, record.clone(), began);
        if !runner.publish(fleet.store, &format!("dc-{}", i % 2), "ready", 1) {
            crate::fleet::unusable("an entry can't be written");
        }
        let relay = at(fleet.prefix, 200 + i, 8001);
        renamed.push((addr.to_string(), relay.to_string()));
        relays.push(Relay::start(relay, addr));
    }
    let view = at(fleet.prefix, 251, 9000);
    store_view(view, fleet.store, renamed);
    fleet.spawn_router(0, view);
    fleet.spawn_router(1, fleet.store);
    fleet.wait_ready(0);
    fleet.wait_ready(1);
    thread::sleep(Duration::from_secs(4));

    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let start = Instant::now();
    let end = CUT_AT + CUT_FOR;
    for machine in 0..2 {
        let addr = fleet.caller(machine);
        for (kind, per_s) in [("stream", PER_S[machine]), ("get", PLAIN_PER_S)] {
            let tries = tries.clone();
            spawn(move || {
                let pause = Duration::from_secs(1) / per_s;
                for n in 0.. {
                    let sent = pause * n;
                    if sent >= end {
                        return;
                    }
                    thread::sleep((start + sent).saturating_duration_since(Instant::now()));
                    let tries = tries.clone();
                    spawn(move || {
                        let id = format!("{kind}-{machine}-{n}");
                        let sent = start.elapsed();
                        let got = call(addr, kind, &id);
                        tries.lock().unwrap().push(Try { machine, kind, id, sent, got });
                    });
                }
            });
        }
    }
    thread::sleep((start + CUT_AT).saturating_duration_since(Instant::now()));
    let through = relays.iter().map(|r| r.accepted.load(Ordering::SeqCst)).sum::<u32>();
    let cut = start.elapsed();
    if trouble {
        relays.iter().for_each(|r| r.cut());
    }
    thread::sleep((start + end).saturating_duration_since(Instant::now()));
    let healed = start.elapsed();
    relays.iter().for_each(|r| r.heal());
    // The longest request ends by itself.
    thread::sleep(Duration::from_millis(STREAM_LIMIT_MS + 1_500));
    let (tries, runs) = (tries.lock().unwrap(), record.lock().unwrap());
    judge(out, &tries, &runs, (cut, healed, through), trouble)
}

fn call(addr: std::net::SocketAddr, kind: &str, id: &str) -> Got {
    let (limit_ms, query, patience) = if kind == "stream" {
        let patience = 2_000.max(4 * OBJECTIVE_MS).max(8 * PAUSE_MS);
        (STREAM_LIMIT_MS, format!("?n={EVENTS}&ms={GAP_MS}"), Some(Duration::from_millis(patience)))
    } else {
        (PLAIN_LIMIT_MS, "?ms=20".to_owned(), None)
    };
    let until = Instant::now() + Duration::from_millis(limit_ms);
    let mut conn = match Conn::open(addr, Duration::from_secs(1)) {
        Ok(conn) => conn,
        Err(e) => return Got { end: e.to_string(), ..Got::default() },
    };
    let request = format!(
        "POST /{kind}/1{query} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {limit_ms}\r\nContent-Length: 2\r\n\r\nhi"
    );
    if let Err(e) = conn.send(request.as_bytes()) {
        return Got { end: e.to_string(), ..Got::default() };
    }
    let mut got = net::answer(&mut conn, until, patience);
    if kind == "stream" {
        got.whole &= got.events == (1..=EVENTS).collect::<Vec<_>>();
    }
    conn.close();
    got
}

fn judge(out: &str, tries: &[Try], runs: &[String], (cut, healed, through): (Duration, Duration, u32), trouble: bool) -> bool {
    let mut text = String::new();
    for t in tries {
        let g = &t.got;
        text += &format!(
            "{:>6} ms {} at machine {}: {} after {} ms, {} events, {} {}\n",
            t.sent.as_millis(), t.id, t.machine, g.status, g.took_ms, g.events.len(),
            if g.served() { "served" } else { "not served" }, g.end
        );
    }
    text += "\nruns at the runners, by the time since their start\n";
    text += &runs.join("\n");
    let judged = |t: &&Try| t.sent >= cut + CONTACT && t.sent < healed;
    let share = |machine: usize, kind: Option<&str>| {
        let all: Vec<&Try> = tries.iter().filter(judged).filter(|t| t.machine == machine).collect();
        let all: Vec<&&Try> = all.iter().filter(|t| kind.is_none_or(|k| k == t.kind)).collect();
        (all.iter().filter(|t| t.got.served()).count(), all.len())
    };
    let (a, b) = (share(0, None), share(1, None));
    let line = format!(
        "trouble {trouble}; channels from machine 0 to runners before the cut: {through}; judged from {} to {} ms\n\
         machine 0 (cut off): {} of {} first tries served (streams {:?}, plain {:?})\nmachine 1: {} of {} served (streams {:?}, plain {:?})\n",
        (cut + CONTACT).as_millis(), healed.as_millis(), a.0, a.1, share(0, Some("stream")), share(0, Some("get")),
        b.0, b.1, share(1, Some("stream")), share(1, Some("get")),
    );
    let rate = |(served, all): (usize, usize)| served as f64 / all.max(1) as f64;
    let is_less = rate(a) < rate(b) * 2.0 / 3.0;
    let failed = a.1 - a.0;
    let broken = is_less && failed > 10 + a.1 / 50;
    let verdict = format!("{line}rule RECOVER (machines partitioned from all runners): {}\n", if broken { "BROKEN" } else { "held" });
    print!("{verdict}");
    let _ = std::fs::write(out, format!("{verdict}\n{text}\n"));
    !broken
}
