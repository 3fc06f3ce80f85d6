//! Runs routers and stand-ins in one process, sends one chat request and prints its streamed answer
//! and its route.

use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cassiagrade::router::{Outputs, Router};
use cassiagrade::schema::config::change::Op;
use cassiagrade::schema::config::{Account, Change, Service, Upstream};
use cassiagrade::schema::operator::ApplyRequest;
use cassiagrade::schema::settings::Listen;
use cassiagrade::serve::operator::OperatorCaller;
use futures_util::StreamExt;
use sha2::{Digest, Sha256};
use standins::engine::{Engine, Knobs};
use standins::platform::{Host, Platform};

const ACCOUNT_KEY: &str = "quickstart-account-key";
const CHAT: &str = "bench-3";
const OPERATOR_KEY: &str = "quickstart-operator-key";

const ROUTERS: usize = 3;

#[compio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let platform = Platform::bind(any_port).await?;
    let mut engines = Vec::new();
    for _ in 0..3 {
        engines.push(Engine::bind(any_port, Knobs::default()).await?);
    }
    let mut routers = Vec::new();
    for i in 0..ROUTERS {
        routers.push(spawn_router(i, &platform).await?);
    }
    configure(&routers[0], &engines).await?;
    wait_until_ready(&routers, engines.len()).await?;
    let addr = entry(&routers[0]).await?;
    println!("entry: {addr}");
    let answer = chat(&addr, "Which part numbers fit a 2019 bottom bracket?").await?;
    println!("{answer}");
    Ok(())
}

/// Starts a router and adds it to the platform's host list, where the other routers discover it.
async fn spawn_router(i: usize, platform: &Platform) -> Result<Router, Box<dyn Error>> {
    let listen = Listen {
        caller_addr: free_addr()?,
        peer_addr: free_addr()?,
        operator_addr: free_addr()?,
        admin_addr: free_addr()?,
        ..cassiagrade::config::defaults().listen.unwrap_or_default()
    };
    platform.add_host(Host {
        name: format!("router-{i}"),
        data_center: "here".to_owned(),
        caller_addr: listen.caller_addr.clone(),
        peer_addr: listen.peer_addr.clone(),
        ..Host::default()
    });
    let settings = serde_json::json!({
        "host": { "name": format!("router-{i}"), "data_center": "here" },
        "listen": listen,
        "platform": { "addr": platform.addr, "log_poll_ms": 20, "host_list_poll_ms": 100 },
        "fleet": { "key": "quickstart-fleet-key" },
        "operator": { "key": OPERATOR_KEY },
    });
    let settings = cassiagrade::config::parse("quickstart", &settings.to_string())?;
    Ok(Router::spawn(settings, Outputs::default()).await?)
}

/// Returns a free loopback address. Real hosts have fixed addresses.
fn free_addr() -> std::io::Result<String> {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    Ok(listener.local_addr()?.to_string())
}

/// Waits until every router lists all routers and all engines.
async fn wait_until_ready(routers: &[Router], engines: usize) -> Result<(), Box<dyn Error>> {
    for router in routers {
        let mut operator = OperatorCaller::open(router.operator_addr, OPERATOR_KEY).await?;
        loop {
            let fleet = operator.fleet().await?;
            if fleet.hosts.len() == routers.len() && fleet.upstreams.len() == engines {
                break;
            }
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}

/// Asks a router which address to use for the chat.
async fn entry(router: &Router) -> Result<String, Box<dyn Error>> {
    let url = format!(
        "http://{}/v1/entry?model=small&chat={CHAT}",
        router.caller_addr
    );
    let client = cyper::Client::new()?;
    let response = client.get(url)?.bearer_auth(ACCOUNT_KEY)?.send().await?;
    let reply: serde_json::Value = serde_json::from_slice(&response.bytes().await?)?;
    let addr = reply["addresses"][0]["addr"].as_str();
    Ok(addr
        .ok_or("the entry response contains no address")?
        .to_owned())
}

async fn configure(router: &Router, engines: &[Engine]) -> Result<(), Box<dyn Error>> {
    let mut operator = OperatorCaller::open(router.operator_addr, OPERATOR_KEY).await?;
    let key_sha256 = Sha256::digest(ACCOUNT_KEY)
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect();
    let mut ops = vec![
        Op::PutAccount(Account {
            name: "workshop".to_owned(),
            key_sha256,
            weight: 1.0,
            ..Account::default()
        }),
        Op::PutService(Service {
            name: "assistant".to_owned(),
            kind: "engine".to_owned(),
            model: "small".to_owned(),
            ..Service::default()
        }),
    ];
    ops.extend(engines.iter().enumerate().map(|(i, engine)| {
        Op::PutUpstream(Upstream {
            name: format!("engine-{i}"),
            service: "assistant".to_owned(),
            addr: engine.addr.to_string(),
            data_center: "here".to_owned(),
            slots: 32,
            ..Upstream::default()
        })
    }));
    for (version, op) in ops.into_iter().enumerate() {
        let change = Change {
            against_version: version as u64,
            author: "quickstart".to_owned(),
            op: Some(op),
        };
        let request = ApplyRequest {
            change: Some(change),
        };
        let reply = operator.apply(request).await?;
        println!(
            "change accepted: {} (version {})",
            reply.accepted, reply.version
        );
    }
    Ok(())
}

async fn chat(addr: &str, prompt: &str) -> Result<String, Box<dyn Error>> {
    let body = serde_json::json!({
        "model": "small",
        "stream": true,
        "max_tokens": 12,
        "prompt_cache_key": CHAT,
        "messages": [{ "role": "user", "content": prompt }],
    });
    let url = format!("http://{addr}/v1/chat/completions");
    let client = cyper::Client::new()?;
    let request = client.post(url)?.bearer_auth(ACCOUNT_KEY)?;
    let call = request.body(body.to_string()).send();
    let response = compio::time::timeout(Duration::from_secs(10), call).await??;
    println!("status {}", response.status());
    for header in ["x-request-id", "x-home", "x-upstream"] {
        let value = response.headers().get(header);
        let value = value.map_or("-", |v| v.to_str().unwrap_or("-"));
        println!("{header}: {value}");
    }
    let mut text = String::new();
    let mut stream = Box::pin(response.bytes_stream());
    while let Some(piece) = stream.next().await {
        text.push_str(std::str::from_utf8(&piece?)?);
    }
    Ok(text)
}
