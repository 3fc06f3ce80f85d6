//! A small deployment as separate processes: the store, routers by the command of the deploy file,
//! and runners. Everything is ended when it is dropped.

use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::now_ms;
use crate::runner::Options;
use crate::store;

const CALLER_PORT: u16 = 7001;
const PEER_PORT: u16 = 7002;
const ADMIN_PORT: u16 = 7003;
const ENTRY_PORT: u16 = 7004;
const READY_PORT: u16 = 7005;
const STANDIN_PORT: u16 = 7010;
const ZONES: [&str; 3] = ["kastrup-hall", "roskilde-hall", "koge-hall"];

/// A line of a runner: time, runner, what, request.
#[derive(Clone, Debug)]
pub struct Step {
    pub at_ms: u64,
    pub runner: String,
    pub what: String,
    pub request: String,
}

/// A router that ended by itself.
#[derive(Clone, Debug)]
pub struct Exit {
    pub at_ms: u64,
    pub router: SocketAddr,
    pub status: String,
}

pub struct Fleet {
    dir: PathBuf,
    prefix: [u8; 2],
    pub store: SocketAddr,
    pub routers: Vec<SocketAddr>,
    processes: Vec<(String, Child)>,
    runners: Vec<Options>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, child) in &mut self.processes {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn is_free(prefix: [u8; 2]) -> bool {
    let ports = [
        CALLER_PORT,
        PEER_PORT,
        ADMIN_PORT,
        ENTRY_PORT,
        READY_PORT,
        STANDIN_PORT,
    ];
    ports
        .iter()
        .all(|port| TcpListener::bind(addr(prefix, 1, *port)).is_ok())
}

fn addr(prefix: [u8; 2], host: u8, port: u16) -> SocketAddr {
    let ip = Ipv4Addr::new(127, prefix[0], prefix[1], host);
    SocketAddr::new(IpAddr::V4(ip), port)
}

/// Waits until `is_done`, for at most `seconds`.
pub fn wait_until(what: &str, seconds: u64, is_done: impl Fn() -> bool) -> io::Result<()> {
    let started = Instant::now();
    while !is_done() {
        if started.elapsed() > Duration::from_secs(seconds) {
            return Err(io::Error::other(format!("timed out waiting for {what}")));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

impl Fleet {
    /// Starts the store and writes `config` to it.
    pub fn start(config: &str) -> io::Result<Self> {
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("cassiagrade-review-{pid}-{}", now_ms()));
        fs::create_dir_all(&dir)?;
        let first = (pid % 200) as u8 + 20;
        let prefixes = (0..=255).map(|second| [first, second]);
        let prefix = prefixes.into_iter().find(|p| is_free(*p));
        let prefix = prefix.ok_or_else(|| io::Error::other("no free addresses"))?;
        let mut fleet = Self {
            dir,
            prefix,
            store: addr(prefix, 250, STANDIN_PORT),
            routers: Vec::new(),
            processes: Vec::new(),
            runners: Vec::new(),
        };
        let store = fleet.store;
        let mut command = Command::new("target/release/examples/standins");
        command.arg("keyed").arg(store.to_string());
        fleet.spawn("store", command)?;
        wait_until("the store", 5, || {
            store::append(store, "keyed.op", "config", config).is_ok()
        })?;
        Ok(fleet)
    }

    fn spawn(&mut self, name: &str, mut command: Command) -> io::Result<()> {
        let out = File::create(self.dir.join(format!("{name}.out")))?;
        let err = File::create(self.dir.join(format!("{name}.err")))?;
        command.stdin(Stdio::null()).stdout(out).stderr(err);
        let child = command.spawn()?;
        self.processes.push((name.to_owned(), child));
        Ok(())
    }

    /// Starts a runner of `service` as a process of its own; returns its id.
    pub fn runner(&mut self, seed: u64, options: Options) -> io::Result<String> {
        let n = self.runners.len() as u8;
        let options = Options {
            id: format!("i-{:08x}", 0x5e00_0000 + u32::from(n) * 0x0101_0101),
            addr: addr(self.prefix, 100 + n, STANDIN_PORT),
            store: self.store,
            zone: ZONES[usize::from(n) % ZONES.len()].to_owned(),
            ..options
        };
        let mut command = Command::new(std::env::current_exe()?);
        command
            .arg("runner")
            .args([&options.id, &options.service, &options.zone])
            .args([options.addr.to_string(), options.store.to_string()])
            .args([options.slots, options.queue].map(|n| n.to_string()))
            .args([options.work_ms, options.events, seed].map(|n| n.to_string()));
        let id = options.id.clone();
        self.runners.push(options);
        self.spawn(&id, command)?;
        Ok(id)
    }

    fn start_router(&mut self, n: u8, start: usize) -> io::Result<()> {
        let path = self.dir.join(format!("router-{n}.jsonc"));
        fs::write(&path, self.settings(n))?;
        let mut command = Command::new("target/release/cassiagrade");
        command.arg("router").arg("--settings").arg(path);
        self.spawn(&format!("router-{n}-{start}"), command)
    }

    /// Starts the routers again that have ended by themselves, and returns those ends.
    pub fn restart_ended(&mut self) -> io::Result<Vec<Exit>> {
        let mut ended = Vec::new();
        for (name, child) in &mut self.processes {
            if name.starts_with("router-")
                && let Some(status) = child.try_wait()?
            {
                ended.push((name.clone(), status.to_string()));
            }
        }
        let mut exits = Vec::new();
        for (name, status) in ended {
            self.processes.retain(|(n, _)| *n != name);
            let mut words = name.split('-').skip(1);
            let n: u8 = words.next().and_then(|w| w.parse().ok()).unwrap_or(0);
            let start: usize = words.next().and_then(|w| w.parse().ok()).unwrap_or(0);
            exits.push(Exit {
                at_ms: now_ms(),
                router: self.routers[usize::from(n)],
                status,
            });
            self.start_router(n, start + 1)?;
        }
        Ok(exits)
    }

    /// Starts `count` routers and waits until each is ready and has joined the fleet.
    pub fn start_routers(&mut self, count: u8) -> io::Result<()> {
        for n in 0..count {
            self.start_router(n, 0)?;
            self.routers.push(addr(self.prefix, 1 + n, CALLER_PORT));
        }
        for n in 0..count {
            let ready = addr(self.prefix, 1 + n, READY_PORT);
            let entry = addr(self.prefix, 1 + n, ENTRY_PORT);
            let get = |addr: SocketAddr, path: &str| {
                let text = format!("GET {path} HTTP/1.1\r\nhost: {addr}\r\n\r\n");
                let answer = http::call(addr, text.as_bytes(), Duration::from_secs(1)).ok();
                answer.filter(|a| a.status == 200)
            };
            wait_until("a router", 20, || get(ready, "/readyz").is_some())?;
            wait_until("the fleet", 20, || {
                get(
                    entry,
                    "/resolve?name=a.example&region=dk-east&zone=koge-hall",
                )
                .is_some_and(|a| {
                    String::from_utf8_lossy(&a.body).matches(":7001").count() == usize::from(count)
                })
            })?;
        }
        Ok(())
    }

    /// The settings that `deploy/settings.tmpl` gives on the small sites.
    fn settings(&self, n: u8) -> String {
        let at = |port| addr(self.prefix, 1 + n, port);
        let seed = addr(self.prefix, 1, PEER_PORT);
        format!(
            "{{ \"host\": {{ \"name\": \"edge-{n}\", \"data_center\": \"{}\", \"region\": \"dk-east\" }},\n\
             \"listen\": {{ \"caller_addr\": \"{}\", \"ready_addr\": \"{}\", \"entry_addr\": \"{}\",\n\
             \"peer_addr\": \"{}\", \"admin_addr\": \"{}\" }},\n\
             \"platform\": {{ \"addr\": \"{}\", \"protocol\": \"keyed_log\" }},\n\
             \"fleet\": {{ \"key\": \"cassiagrade-edge-fleet\", \"seed_addrs\": \"{seed}\",\n\
             \"entry_ttl_ms\": 1000, \"grace_s\": 8, \"retry_share\": 0.2, \"retry_burst\": 58,\n\
             \"config_bound_ms\": 2000, \"leaving_bound_ms\": 2000 }},\n\
             \"limits\": {{ \"max_open_files\": 4100 }},\n\
             \"operator\": {{ \"key\": \"not-used-on-this-platform\" }} }}\n",
            ZONES[usize::from(n) % ZONES.len()],
            at(CALLER_PORT),
            at(READY_PORT),
            at(ENTRY_PORT),
            at(PEER_PORT),
            at(ADMIN_PORT),
            self.store,
        )
    }

    /// Sets a fault at one runner.
    pub fn set_fault(&self, runner: &str, fault: &str) -> io::Result<()> {
        let found = self.runners.iter().find(|r| r.id == runner);
        let addr = found.ok_or(io::ErrorKind::NotFound)?.addr;
        let text = format!("POST /-/{fault} HTTP/1.1\r\nhost: {addr}\r\n\r\n");
        http::call(addr, text.as_bytes(), Duration::from_secs(1)).map(|_| ())
    }

    /// Kills a process that this fleet started.
    pub fn kill(&mut self, name: &str) -> io::Result<()> {
        let found = self.processes.iter_mut().find(|(n, _)| n == name);
        let (_, child) = found.ok_or(io::ErrorKind::NotFound)?;
        child.kill()?;
        child.wait().map(|_| ())
    }

    /// Steps of all requests at all runners, in the order of time.
    pub fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for runner in &self.runners {
            let path = self.dir.join(format!("{}.out", runner.id));
            let text = fs::read_to_string(path).unwrap_or_default();
            steps.extend(text.lines().filter_map(step));
        }
        steps.sort_by_key(|step| step.at_ms);
        steps
    }

    /// Lines of the routers' logs that contain `text`.
    pub fn router_lines(&self, text: &str) -> Vec<String> {
        let mut lines = Vec::new();
        let files = fs::read_dir(&self.dir).into_iter().flatten().flatten();
        let mut paths: Vec<PathBuf> = files.map(|file| file.path()).collect();
        paths.sort();
        for path in paths {
            let name = path.file_name().unwrap_or_default().to_string_lossy();
            if !name.starts_with("router-") || !name.ends_with(".out") {
                continue;
            }
            let log = fs::read_to_string(&path).unwrap_or_default();
            let found = log.lines().filter(|line| line.contains(text));
            lines.extend(found.map(str::to_owned));
        }
        lines
    }
}

fn step(line: &str) -> Option<Step> {
    let mut words = line.split(' ');
    Some(Step {
        at_ms: words.next()?.parse().ok()?,
        runner: words.next()?.to_owned(),
        what: words.next()?.to_owned(),
        request: words.next()?.to_owned(),
    })
}
