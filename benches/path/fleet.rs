//! Two routers and their stand-ins, each on its own thread.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::Duration;

use cassiagrade::exporter::Exporter;
use cassiagrade::router::{Outputs, Router};
use cassiagrade::schema::config::change::Op;
use cassiagrade::schema::config::{Account, Change, Service, Upstream};
use cassiagrade::schema::operator::ApplyRequest;
use cassiagrade::serve::operator::OperatorCaller;
use sha2::{Digest, Sha256};
use standins::engine::{self, Engine};
use standins::plain::{self, Plain};
use standins::platform::{Host, Platform};
use strum::Display;

use crate::BoxError;

const ACCOUNT_KEY: &str = "bench-account-key";
const OPERATOR_KEY: &str = "bench-operator-key";
const FLEET_KEY: &str = "bench-fleet-key-0123";
const STANDIN_PORT: u16 = 7010;
const OPERATOR_PORT: u16 = 7003;
const CALLER_PORT: u16 = 7001;
const TOKENS: u32 = 8;
/// Engines and plain services each: enough to make the router the bottleneck of throughput runs.
const UPSTREAMS: u8 = 3;
/// Data centre of all upstreams, and so of their home.
const HOME_DATA_CENTER: &str = "north";
const CPU_SAMPLE: Duration = Duration::from_millis(10);

/// The route of a request to its upstream.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Route {
    /// Directly from the caller.
    Direct,
    /// Through the upstream's home.
    Router,
    /// Through another router, which forwards the request to the home.
    Hop,
}

/// A kind of request, with the upstream address for direct requests.
pub(crate) struct RequestKind {
    pub(crate) name: &'static str,
    pub(crate) path: &'static str,
    pub(crate) body: String,
    pub(crate) direct: SocketAddr,
}

/// Addresses of the running fleet; its threads end with the process.
pub(crate) struct Fleet {
    pub(crate) home: SocketAddr,
    pub(crate) other: SocketAddr,
    engine: SocketAddr,
    plain: SocketAddr,
    home_cpu_ns: Arc<AtomicU64>,
}

impl Fleet {
    pub(crate) fn start() -> Result<Self, BoxError> {
        Exporter::install()?;
        let platform = on_thread(async || {
            let platform = Platform::bind(addr(250, STANDIN_PORT)).await.unwrap();
            for (i, data_center) in [(1, HOME_DATA_CENTER), (2, "south")] {
                platform.add_host(host(i, data_center));
            }
            platform.addr
        });
        let engines: Vec<_> = (0..UPSTREAMS).map(start_engine).collect();
        let plains: Vec<_> = (0..UPSTREAMS).map(start_plain).collect();
        let home_cpu_ns = Arc::new(AtomicU64::new(0));
        let home = start_router(1, HOME_DATA_CENTER, platform, Some(home_cpu_ns.clone()));
        let other = start_router(2, "south", platform, None);
        let fleet = Self {
            home,
            other,
            engine: engines[0],
            plain: plains[0],
            home_cpu_ns,
        };
        let runtime = compio::runtime::Runtime::new()?;
        runtime.block_on(configure(&engines, &plains))?;
        Ok(fleet)
    }

    pub(crate) fn request_kinds(&self) -> [RequestKind; 2] {
        let chat = serde_json::json!({
            "model": "small",
            "stream": true,
            "max_tokens": TOKENS,
            "prompt_cache_key": "bench",
            "messages": [{ "role": "user", "content": "Which parts does this hub need?" }],
        });
        [
            RequestKind {
                name: "plain request",
                path: "/records/lookup",
                body: "bike 7".to_owned(),
                direct: self.plain,
            },
            RequestKind {
                name: "chat of 8 streamed tokens",
                path: "/v1/chat/completions",
                body: chat.to_string(),
                direct: self.engine,
            },
        ]
    }

    pub(crate) fn url(&self, kind: &RequestKind, route: Route) -> String {
        let addr = match route {
            Route::Direct => kind.direct,
            Route::Router => self.home,
            Route::Hop => self.other,
        };
        format!("http://{addr}{}", kind.path)
    }

    pub(crate) fn account_key(&self) -> &'static str {
        ACCOUNT_KEY
    }

    /// Returns the CPU time of the home's thread.
    pub(crate) fn home_cpu(&self) -> Duration {
        std::thread::sleep(CPU_SAMPLE * 2);
        Duration::from_nanos(self.home_cpu_ns.load(Ordering::Relaxed))
    }
}

/// Runs `start` on a new thread with its own runtime, which keeps running afterwards.
fn on_thread<T, F>(start: F) -> T
where
    T: Send + 'static,
    F: AsyncFnOnce() -> T + Send + 'static,
{
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        compio::runtime::Runtime::new().unwrap().block_on(async {
            tx.send(start().await).unwrap();
            std::future::pending::<()>().await;
        });
    });
    rx.recv().unwrap()
}

/// Returns an address in this process's own loopback network, derived from its id.
fn addr(last: u8, port: u16) -> SocketAddr {
    let pid = std::process::id();
    let third = u8::try_from(pid % 250).unwrap() + 1;
    SocketAddr::from((Ipv4Addr::new(127, 253, third, last), port))
}

fn host(i: u8, data_center: &str) -> Host {
    Host {
        name: format!("router-{i}"),
        data_center: data_center.to_owned(),
        caller_addr: addr(i, CALLER_PORT).to_string(),
        peer_addr: addr(i, 7002).to_string(),
        ..Host::default()
    }
}

fn start_engine(i: u8) -> SocketAddr {
    let knobs = engine::Knobs {
        step_ms: 0,
        prefill_ms_per_1000: 0,
        slots: 4_096,
        ..engine::Knobs::default()
    };
    let at = addr(100 + i, STANDIN_PORT);
    on_thread(async move || Engine::bind(at, knobs).await.unwrap().addr)
}

fn start_plain(i: u8) -> SocketAddr {
    let at = addr(200 + i, STANDIN_PORT);
    on_thread(async move || {
        let plain = Plain::bind(at, plain::Knobs::default()).await;
        plain.unwrap().addr
    })
}

fn start_router(
    i: u8,
    data_center: &'static str,
    platform: SocketAddr,
    cpu: Option<Arc<AtomicU64>>,
) -> SocketAddr {
    let settings = serde_json::json!({
        "host": { "name": format!("router-{i}"), "data_center": data_center },
        "listen": {
            "caller_addr": addr(i, CALLER_PORT),
            "peer_addr": addr(i, 7002),
            "operator_addr": addr(i, OPERATOR_PORT),
            "admin_addr": addr(i, 7004),
        },
        "platform": { "addr": platform, "log_poll_ms": 20, "host_list_poll_ms": 100 },
        "fleet": { "key": FLEET_KEY },
        "operator": { "key": OPERATOR_KEY },
    });
    on_thread(async move || {
        if let Some(cpu) = cpu {
            compio::runtime::spawn(sample_cpu(cpu)).detach();
        }
        let settings = cassiagrade::config::parse("bench", &settings.to_string()).unwrap();
        let router = Router::spawn(settings, Outputs::default()).await.unwrap();
        router.caller_addr
    })
}

/// Publishes this thread's CPU time: the first field of schedstat, in nanoseconds.
async fn sample_cpu(cpu: Arc<AtomicU64>) {
    loop {
        let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap();
        let ns = text.split(' ').next().unwrap().parse().unwrap();
        cpu.store(ns, Ordering::Relaxed);
        compio::time::sleep(CPU_SAMPLE).await;
    }
}

async fn configure(engines: &[SocketAddr], plains: &[SocketAddr]) -> Result<(), BoxError> {
    let mut caller = OperatorCaller::open(addr(1, OPERATOR_PORT), OPERATOR_KEY).await?;
    let mut ops = vec![
        Op::PutAccount(Account {
            name: "bench".to_owned(),
            key_sha256: Sha256::digest(ACCOUNT_KEY)
                .iter()
                .map(|b| format!("{b:02x}"))
                .collect(),
            weight: 1.0,
            ..Account::default()
        }),
        Op::PutService(Service {
            name: "draft".to_owned(),
            kind: "engine".to_owned(),
            model: "small".to_owned(),
            ..Service::default()
        }),
        Op::PutService(Service {
            name: "records".to_owned(),
            kind: "plain".to_owned(),
            path_prefix: "/records".to_owned(),
            ..Service::default()
        }),
    ];
    ops.extend(upstreams("draft", engines));
    ops.extend(upstreams("records", plains));
    for op in ops {
        let change = Change {
            against_version: caller.config().await?.version,
            author: "bench".to_owned(),
            op: Some(op),
        };
        let change = Some(change);
        let reply = caller.apply(ApplyRequest { change }).await?;
        assert!(reply.accepted, "configuration change rejected: {reply:?}");
    }
    // Time for the other router to read the log and the host list.
    compio::time::sleep(Duration::from_secs(2)).await;
    Ok(())
}

fn upstreams<'a>(service: &'a str, addrs: &'a [SocketAddr]) -> impl Iterator<Item = Op> + 'a {
    addrs.iter().enumerate().map(move |(i, addr)| {
        Op::PutUpstream(Upstream {
            name: format!("{service}-{i}"),
            service: service.to_owned(),
            addr: addr.to_string(),
            data_center: HOME_DATA_CENTER.to_owned(),
            slots: 4_096,
            ..Upstream::default()
        })
    })
}
