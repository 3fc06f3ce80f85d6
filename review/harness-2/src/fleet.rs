//! Routers and the project's store as child processes, and the users' platform as far as the scripts need it.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::net::Conn;

pub const HOST: &str = "a.example";
pub const KEY: &str = "caller-key-1";

/// Ends its process when dropped.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let pid = self.0.id();
        STARTED.lock().unwrap().retain(|p| *p != pid);
    }
}

impl Process {
    #[allow(dead_code)]
    pub fn signal(&self, number: i32) {
        // SAFETY: a signal to a process of this script, which is still its parent.
        unsafe { kill(self.0.id() as i32, number) };
    }
}

pub struct Fleet {
    pub dir: PathBuf,
    pub prefix: (u8, u8),
    pub store: SocketAddr,
    pub routers: Vec<Process>,
    _store: Process,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.routers.clear();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

fn free_prefix() -> (u8, u8) {
    let pid = std::process::id();
    for n in 0..200u32 {
        let seed = pid.wrapping_mul(2_654_435_761).wrapping_add(n * 7_919);
        let prefix = ((10 + seed % 200) as u8, (1 + (seed / 256) % 250) as u8);
        let probes = [at(prefix, 250, 9000), at(prefix, 1, 7001), at(prefix, 100, 8001)];
        if probes.iter().all(|a| TcpListener::bind(a).is_ok()) {
            return prefix;
        }
    }
    unusable("no free loopback addresses")
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Processes that the script has started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the script as one that could not run, with all that it started.
pub fn unusable(why: &str) -> ! {
    eprintln!("can't run: {why}");
    for pid in STARTED.lock().unwrap().iter() {
        // SAFETY: a signal to a process of this script, which is still its parent.
        unsafe { kill(*pid as i32, 9) };
    }
    std::process::exit(2)
}

pub fn at(prefix: (u8, u8), host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, prefix.0, prefix.1, host], port))
}

fn root() -> PathBuf {
    std::env::var("ROOT").map_or_else(|_| PathBuf::from("."), PathBuf::from)
}

fn program(path: &str) -> Command {
    let path = root().join(path);
    if !path.exists() {
        unusable(&format!("{} is not built", path.display()));
    }
    Command::new(path)
}

fn spawn(mut command: Command, log: &Path) -> Process {
    let out = fs::File::create(log).unwrap_or_else(|e| unusable(&e.to_string()));
    command.stdin(Stdio::null()).stdout(out).stderr(Stdio::null());
    match command.spawn() {
        Ok(child) => {
            STARTED.lock().unwrap().push(child.id());
            Process(child)
        }
        Err(e) => unusable(&e.to_string()),
    }
}

/// One call to the store. Returns status and body.
pub fn store_call(store: SocketAddr, method: &str, target: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
    let until = Some(Instant::now() + Duration::from_secs(2));
    let mut conn = Conn::open(store, Duration::from_secs(1)).ok()?;
    let head = format!("{method} {target} HTTP/1.1\r\nhost: {store}\r\ncontent-length: {}\r\n\r\n", body.len());
    conn.send(head.as_bytes()).ok()?;
    conn.send(body).ok()?;
    let head = conn.head(until).ok()??;
    let body = conn.body(&head, until).ok()?;
    Some((head.first.split(' ').nth(1)?.parse().ok()?, body))
}

pub fn write_record(store: SocketAddr, stream: &str, key: &str, value: &str) -> bool {
    let mut body = ((1 + key.len() + value.len()) as u32).to_be_bytes().to_vec();
    body.push(key.len() as u8);
    body.extend_from_slice(key.as_bytes());
    body.extend_from_slice(value.as_bytes());
    let target = format!("/log-append?stream_name={stream}&part=0");
    store_call(store, "POST", &target, &body).is_some_and(|(status, _)| status == 200)
}

impl Fleet {
    /// Starts the store.
    pub fn start(name: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&dir).unwrap_or_else(|e| unusable(&e.to_string()));
        let prefix = free_prefix();
        let store = at(prefix, 250, 9000);
        let mut command = program("target/release/examples/standins");
        command.arg("keyed").arg(store.to_string());
        let process = spawn(command, &dir.join("store.log"));
        let fleet = Self { dir, prefix, store, routers: Vec::new(), _store: process };
        let began = Instant::now();
        while store_call(store, "GET", "/log-newest?stream_name=keyed.op&part=0", b"").is_none() {
            if began.elapsed() > Duration::from_secs(5) {
                unusable("the store doesn't start");
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        fleet
    }

    pub fn configure(&self, config: &str) {
        if !write_record(self.store, "keyed.op", "config", config) {
            unusable("the configuration can't be written");
        }
    }

    pub fn caller(&self, i: usize) -> SocketAddr {
        at(self.prefix, 1 + i as u8, 7001)
    }

    /// Starts router `i`, to which the store is at `store`, with the values of a small site. All data centres are in
    /// one region.
    pub fn spawn_router(&mut self, i: usize, store: SocketAddr) {
        self.spawn_router_in(i, store, ["r"; 3]);
    }

    /// Like [`Self::spawn_router`], with the region of each data centre.
    pub fn spawn_router_in(&mut self, i: usize, store: SocketAddr, regions: [&str; 3]) {
        let region = regions[i];
        let [r0, r1, r2] = regions;
        let own = |port| at(self.prefix, 1 + i as u8, port);
        let seeds: Vec<String> = (0..3).map(|i| at(self.prefix, 1 + i, 7004).to_string()).collect();
        let settings = format!(
            r#"{{ "host": {{ "name": "router-{i}", "data_center": "dc-{i}", "region": "{region}", "data_center_regions": "dc-0={r0},dc-1={r1},dc-2={r2}" }},
  "listen": {{ "caller_addr": "{}", "ready_addr": "{}", "entry_addr": "{}", "peer_addr": "{}", "admin_addr": "{}" }},
  "platform": {{ "addr": "{store}", "protocol": "keyed_log" }},
  "fleet": {{ "key": "cassiagrade-edge-fleet", "seed_addrs": "{}", "entry_ttl_ms": 1000, "grace_s": 8,
    "retry_share": 0.2, "retry_burst": 58, "config_bound_ms": 2000, "leaving_bound_ms": 2000 }},
  "limits": {{ "max_open_files": 4100 }},
  "operator": {{ "key": "not-used-on-this-platform" }} }}"#,
            own(7001), own(7002), own(7003), own(7004), own(7005), seeds.join(",")
        );
        let path = self.dir.join(format!("router-{i}.jsonc"));
        fs::write(&path, settings).unwrap_or_else(|e| unusable(&e.to_string()));
        let mut command = program("target/release/cassiagrade");
        command.arg("router").arg("--settings").arg(&path);
        let process = spawn(command, &self.dir.join(format!("router-{i}.log")));
        if i < self.routers.len() {
            self.routers[i] = process;
        } else {
            self.routers.push(process);
        }
    }

    pub fn wait_ready(&self, i: usize) {
        let began = Instant::now();
        while !self.is_ready(i) {
            if began.elapsed() > Duration::from_secs(15) {
                unusable("a router doesn't become ready");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn is_ready(&self, i: usize) -> bool {
        let ready = at(self.prefix, 1 + i as u8, 7002);
        store_call(ready, "GET", "/readyz", b"").is_some_and(|(status, _)| status == 200)
    }
}
