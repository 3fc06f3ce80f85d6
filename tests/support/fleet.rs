//! A fleet of processes with its own network prefix.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU8, Ordering};

use cassiagrade::schema::config::Account;
use cassiagrade::schema::config::change::Op;
use cassiagrade::schema::operator::ApplyReply;
use cassiagrade::serve::operator::{CallError, OperatorCaller};
use serde_json::{Value, json};
use tempfile::TempDir;

use super::caller::{call, get, put, set_knobs, wait_until};
use super::operator::{
    account, apply_at, data_center, engine_service, plain_service, upstream, upstream_at,
};
use super::options::{Options, Relay, Shape};
use super::process::{Process, router_program, spawn, spawn_standin};
use super::records::Runs;
use super::{ACCOUNT_KEY, LARGEST_KEY, OPERATOR_KEY};

const CALLER_PORT: u16 = 7001;
const PEER_PORT: u16 = 7002;
const OPERATOR_PORT: u16 = 7003;
const ADMIN_PORT: u16 = 7004;
const STANDIN_PORT: u16 = 7010;
const CONTROL_PORT: u16 = 7011;

static NEXT_FLEET: AtomicU8 = AtomicU8::new(0);

pub(crate) struct Fleet {
    pub(crate) dir: TempDir,
    prefix: [u8; 2],
    pub(crate) platform: Process,
    pub(crate) routers: Vec<Process>,
    pub(crate) engines: Vec<Process>,
    pub(crate) plains: Vec<Process>,
    /// The relay between router `i` and the platform, if enabled.
    pub(crate) platform_relays: Vec<Relay>,
    /// The relay between the routers and engine `i`, if enabled.
    pub(crate) engine_relays: Vec<Relay>,
    options: Options,
}

impl Fleet {
    /// Starts the processes, adds the routers to the platform's host list and creates two accounts,
    /// an engine service "draft" with model "small", and a plain service "records" at /records.
    pub(crate) async fn start(shape: Shape) -> Self {
        Self::start_with(Options::new(shape.routers, shape.engines, shape.plains)).await
    }

    /// Like [`Self::start`], with the `limits` of the routers' settings.
    pub(crate) async fn start_with_limits(shape: Shape, limits: Value) -> Self {
        let options = Options::new(shape.routers, shape.engines, shape.plains);
        Self::start_with(Options { limits, ..options }).await
    }

    /// Like [`Self::start`], with all options.
    pub(crate) async fn start_with(options: Options) -> Self {
        let shape = options.shape;
        let dir = tempfile::tempdir().unwrap();
        let prefix = free_prefix();
        let platform_addr = addr(prefix, 250, STANDIN_PORT);
        let platform = spawn_standin(dir.path(), "platform", &["platform"], platform_addr);
        wait_until("the platform", || async {
            get(platform_addr, "/hosts").await.is_some()
        })
        .await;
        let mut fleet = Self {
            dir,
            prefix,
            platform,
            routers: Vec::new(),
            engines: Vec::new(),
            plains: Vec::new(),
            platform_relays: Vec::new(),
            engine_relays: Vec::new(),
            options: options.clone(),
        };
        if let Some(retention_ms) = options.retention_ms {
            set_knobs(platform_addr, &json!({ "retention_ms": retention_ms })).await;
        }
        for i in 0..shape.engines {
            let process = fleet.spawn_engine(i, &options.engine);
            if options.engine_relays {
                let relay = fleet.spawn_relay(&format!("engine-relay-{i}"), 170 + i, process.addr);
                fleet.engine_relays.push(relay);
            }
            fleet.engines.push(process);
        }
        for i in 0..shape.plains {
            let process = fleet.spawn_plain(i, &options.plain);
            fleet.plains.push(process);
        }
        for i in 0..shape.routers {
            if options.platform_relays {
                let relay =
                    fleet.spawn_relay(&format!("platform-relay-{i}"), 150 + i, platform_addr);
                fleet.platform_relays.push(relay);
            }
        }
        for relay in fleet.platform_relays.iter().chain(&fleet.engine_relays) {
            let control = relay.control;
            wait_until("a relay", || async {
                get(control, "/knobs").await.is_some()
            })
            .await;
        }
        for i in 0..shape.routers {
            let process = fleet.spawn_router(i);
            fleet.routers.push(process);
            fleet.list_router(i, false).await;
        }
        for i in 0..shape.routers {
            fleet.wait_healthy(i).await;
        }
        fleet.configure(options.slots).await;
        fleet
    }

    fn spawn_engine(&self, i: u8, knobs: &str) -> Process {
        let at = addr(self.prefix, 100 + i, STANDIN_PORT);
        let name = format!("engine-{i}");
        spawn_standin(self.dir.path(), &name, &["engine", "--knobs", knobs], at)
    }

    fn spawn_relay(&self, name: &str, host: u8, target: SocketAddr) -> Relay {
        let control = addr(self.prefix, host, CONTROL_PORT);
        let (target, control_arg) = (target.to_string(), control.to_string());
        let args = ["relay", "--target", &target, "--control", &control_arg];
        let at = addr(self.prefix, host, STANDIN_PORT);
        let process = spawn_standin(self.dir.path(), name, &args, at);
        Relay { process, control }
    }

    /// The address of engine `i` in the configuration: its relay's, if there is one.
    pub(crate) fn engine_addr(&self, i: usize) -> SocketAddr {
        let relay = self.engine_relays.get(i);
        relay.map_or(self.engines[i].addr, |r| r.process.addr)
    }

    fn spawn_plain(&self, i: u8, knobs: &str) -> Process {
        let at = addr(self.prefix, 200 + i, STANDIN_PORT);
        let name = format!("plain-{i}");
        spawn_standin(self.dir.path(), &name, &["plain", "--knobs", knobs], at)
    }

    /// Kills engine `i`, if it still runs, and restarts it.
    pub(crate) fn restart_engine(&mut self, i: u8, knobs: &str) {
        self.engines[usize::from(i)].kill();
        self.engines[usize::from(i)] = self.spawn_engine(i, knobs);
    }

    pub(crate) fn restart_plain(&mut self, i: u8, knobs: &str) {
        self.plains[usize::from(i)].kill();
        self.plains[usize::from(i)] = self.spawn_plain(i, knobs);
    }

    /// Replaces router `i` by a new process of the same name without state.
    pub(crate) fn restart_router(&mut self, i: u8) {
        self.routers[usize::from(i)].kill();
        self.routers[usize::from(i)] = self.spawn_router(i);
    }

    /// Adds a router to the running fleet.
    pub(crate) async fn add_router(&mut self) -> u8 {
        let i = u8::try_from(self.routers.len()).unwrap();
        let process = self.spawn_router(i);
        self.routers.push(process);
        self.list_router(i, false).await;
        self.wait_healthy(i).await;
        i
    }

    /// Puts router `i` in the platform's host list.
    pub(crate) async fn list_router(&self, i: u8, leaving: bool) {
        let listed = json!({
            "name": format!("router-{i}"),
            "data_center": data_center(i),
            "caller_addr": self.router_addr(i, CALLER_PORT),
            "peer_addr": self.router_addr(i, PEER_PORT),
            "leaving": leaving,
        });
        put(self.platform.addr, "/hosts", &listed.to_string()).await;
    }

    pub(crate) async fn wait_healthy(&self, i: u8) {
        let admin = self.admin(i);
        wait_until("a router", || async {
            get(admin, "/healthz").await.is_some()
        })
        .await;
    }

    fn spawn_router(&self, i: u8) -> Process {
        let name = format!("router-{i}");
        let relay = self.platform_relays.get(usize::from(i));
        let platform = relay.map_or(self.platform.addr, |r| r.process.addr);
        let retention_ms = self.options.retention_ms.unwrap_or(86_400_000);
        let mut settings = json!({
            "host": { "name": name, "data_center": data_center(i) },
            "listen": {
                "caller_addr": self.router_addr(i, CALLER_PORT),
                "peer_addr": self.router_addr(i, PEER_PORT),
                "operator_addr": self.router_addr(i, OPERATOR_PORT),
                "admin_addr": self.router_addr(i, ADMIN_PORT),
            },
            "platform": {
                "addr": platform,
                "log_poll_ms": 50,
                "host_list_poll_ms": 200,
                "retention_ms": retention_ms,
            },
            "fleet": { "key": "fleet-key-0123456789", "entry_ttl_ms": 1_000 },
            "operator": { "key": OPERATOR_KEY },
            "limits": self.options.limits,
        });
        for (part, fields) in self.options.settings.as_object().unwrap() {
            for (field, value) in fields.as_object().unwrap() {
                settings[part][field] = value.clone();
            }
        }
        let path = self.dir.path().join(format!("{name}.jsonc"));
        std::fs::write(&path, settings.to_string()).unwrap();
        let mut command = Command::new(router_program());
        command.arg("router").arg("--settings").arg(path);
        let at = self.router_addr(i, CALLER_PORT);
        spawn(self.dir.path(), &name, command, at)
    }

    pub(crate) fn router_addr(&self, i: u8, port: u16) -> SocketAddr {
        addr(self.prefix, 1 + i, port)
    }

    pub(crate) fn caller(&self, i: u8) -> SocketAddr {
        self.router_addr(i, CALLER_PORT)
    }

    pub(crate) fn peer(&self, i: u8) -> SocketAddr {
        self.router_addr(i, PEER_PORT)
    }

    pub(crate) fn admin(&self, i: u8) -> SocketAddr {
        self.router_addr(i, ADMIN_PORT)
    }

    pub(crate) async fn operator(&self, i: u8) -> Result<OperatorCaller, CallError> {
        OperatorCaller::open(self.operator_addr(i), OPERATOR_KEY).await
    }

    pub(crate) fn operator_addr(&self, i: u8) -> SocketAddr {
        self.router_addr(i, OPERATOR_PORT)
    }

    async fn configure(&self, slots: u32) {
        self.accept(Op::PutAccount(account("acme", ACCOUNT_KEY)))
            .await;
        let largest = Account {
            weight: 10.0,
            ..account("largest", LARGEST_KEY)
        };
        self.accept(Op::PutAccount(largest)).await;
        self.accept(Op::PutService(engine_service())).await;
        self.accept(Op::PutService(plain_service())).await;
        for (i, engine) in self.engines.iter().enumerate() {
            let addr = self.engine_addr(i);
            let mut engine = upstream_at(&engine.name, "draft", i, addr);
            engine.slots = slots;
            self.accept(Op::PutUpstream(engine)).await;
        }
        for (i, plain) in self.plains.iter().enumerate() {
            self.accept(upstream(plain, "records", i)).await;
        }
        let mut operator = self.operator(0).await.unwrap();
        let version = operator.config().await.unwrap().version;
        for i in 0..self.routers.len() {
            self.wait_version(u8::try_from(i).unwrap(), version).await;
        }
    }

    /// Applies a change at router 0 and expects it to be accepted.
    pub(crate) async fn accept(&self, op: Op) -> ApplyReply {
        let reply = self.apply(0, op).await.unwrap();
        assert!(reply.accepted, "{reply:?}");
        reply
    }

    /// Applies a change at a router, against the version in force there.
    pub(crate) async fn apply(&self, router: u8, op: Op) -> Result<ApplyReply, CallError> {
        apply_at(self.operator_addr(router), op).await
    }

    pub(crate) async fn wait_version(&self, router: u8, version: u64) {
        let wanted = format!("configuration version {version}\n");
        let admin = self.admin(router);
        wait_until("the configuration", || async {
            get(admin, "/readyz")
                .await
                .is_some_and(|text| text == wanted)
        })
        .await;
    }

    /// Returns every timeline event up to now, unordered. All routers must be running. A router
    /// writes its lines in order but with a delay, so a refused request serves as the end marker.
    pub(crate) async fn events_until_now(&self) -> Vec<Value> {
        for i in 0..self.routers.len() {
            let addr = self.caller(u8::try_from(i).unwrap());
            let refused = call(addr, "POST", "/no-route", &[], "").await.unwrap();
            let refused: Value = serde_json::from_str(&refused.body).unwrap();
            let id = &refused["error"]["request_id"];
            assert!(id.is_string(), "{refused}");
            wait_until("the end marker among the events", || async {
                self.events().iter().any(|e| e["request_id"] == *id)
            })
            .await;
        }
        self.events()
    }

    /// Returns the timeline events that the routers have written so far, unordered.
    pub(crate) fn events(&self) -> Vec<Value> {
        let read = |p: &Process| std::fs::read_to_string(self.out_path(&p.name)).unwrap();
        let texts: Vec<String> = self.routers.iter().map(read).collect();
        let lines = texts.iter().flat_map(|t| t.lines());
        let objects = lines.filter_map(|l| serde_json::from_str(l).ok());
        // Log lines go to the same output.
        objects.filter(|o: &Value| o["kind"].is_string()).collect()
    }

    /// The runs that all upstreams recorded so far, including killed ones.
    pub(crate) fn runs(&self) -> Runs {
        let upstreams = self.engines.iter().chain(&self.plains);
        let names: Vec<String> = upstreams.map(|p| p.name.clone()).collect();
        Runs::read(self.dir.path(), &names)
    }

    pub(crate) fn out_path(&self, name: &str) -> PathBuf {
        self.dir.path().join(format!("{name}.out"))
    }
}

/// Reserves a /16 of loopback that no other test on this machine uses: port 7009 of its last
/// address stays bound until the process exits.
pub(crate) fn free_prefix() -> [u8; 2] {
    let pid = std::process::id();
    for _ in 0..200 {
        let n = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let prefix = [
            u8::try_from(2 + pid % 250).unwrap(),
            u8::try_from((pid / 250 + u32::from(n) * 7) % 250).unwrap(),
        ];
        if let Ok(guard) = std::net::TcpListener::bind(addr(prefix, 254, 7009)) {
            std::mem::forget(guard);
            return prefix;
        }
    }
    panic!("no free loopback prefix");
}

pub(crate) fn addr(prefix: [u8; 2], host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, prefix[0], prefix[1], host], port))
}
