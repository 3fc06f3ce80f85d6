//! `standins platform|engine|plain|relay|keyed|backend`: runs one stand-in as a separate process.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;

use crate::backend::{Backend, BackendConfig};
use crate::engine::{self, Engine};
use crate::keyed::Keyed;
use crate::plain::{self, Plain};
use crate::platform::Platform;
use crate::relay::Relay;

/// Runs one stand-in until it is killed
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
pub enum Command {
    /// The platform: log, host list and weight store
    #[bpaf(command)]
    Platform {
        /// Address to listen on
        #[bpaf(positional("ADDR"))]
        addr: SocketAddr,
    },
    /// A model engine
    #[bpaf(command)]
    Engine {
        /// Initial knobs, as JSON
        #[bpaf(short, long, argument("JSON"), optional)]
        knobs: Option<String>,
        /// Address to listen on
        #[bpaf(positional("ADDR"))]
        addr: SocketAddr,
    },
    /// A TCP relay with fault injection
    #[bpaf(command)]
    Relay {
        /// Address that connections are relayed to
        #[bpaf(short, long, argument("ADDR"))]
        target: SocketAddr,
        /// Address at which the knobs are set
        #[bpaf(short, long, argument("ADDR"))]
        control: SocketAddr,
        /// Address to listen on
        #[bpaf(positional("ADDR"))]
        addr: SocketAddr,
    },
    /// A store that keeps the newest record of each key
    #[bpaf(command)]
    Keyed {
        /// Address to listen on
        #[bpaf(positional("ADDR"))]
        addr: SocketAddr,
    },
    /// An upstream that speaks the users' platform's dialect
    #[bpaf(command)]
    Backend {
        /// Id of the upstream; if absent, each start has its own
        #[bpaf(long, argument("NAME"), optional)]
        id: Option<String>,
        /// Service that the upstream belongs to
        #[bpaf(long, argument("NAME"))]
        service: String,
        /// Data centre of the upstream
        #[bpaf(long, argument("NAME"))]
        data_center: String,
        /// Address of the store that it publishes its entry to
        #[bpaf(long, argument("ADDR"))]
        store: SocketAddr,
        /// Maximum number of concurrent requests
        #[bpaf(long, argument("N"))]
        slots: u32,
        /// Version of its software; empty: its entry has no version
        #[bpaf(long, argument("VERSION"), fallback("v1".to_owned()))]
        software: String,
        /// Initial knobs, as JSON
        #[bpaf(short, long, argument("JSON"), optional)]
        knobs: Option<String>,
        /// Time until it starts to listen
        #[bpaf(long, argument("MS"), fallback(0))]
        starts_after_ms: u64,
        /// Address to listen on
        #[bpaf(positional("ADDR"))]
        addr: SocketAddr,
    },
    /// A plain service
    #[bpaf(command)]
    Plain {
        /// Initial knobs, as JSON
        #[bpaf(short, long, argument("JSON"), optional)]
        knobs: Option<String>,
        /// Address to listen on
        #[bpaf(positional("ADDR"))]
        addr: SocketAddr,
    },
}

/// Runs the stand-in selected on the command line.
///
/// # Errors
/// Fails if the address can't be listened on or the knobs are not valid JSON.
pub fn main() -> io::Result<()> {
    let command = command().run();
    compio::runtime::Runtime::new()?.block_on(async {
        let addr = start(command).await?;
        println!("{addr}");
        std::future::pending::<()>().await;
        Ok(())
    })
}

async fn start(command: Command) -> io::Result<SocketAddr> {
    match command {
        Command::Platform { addr } => {
            let platform = Platform::bind(addr).await?;
            Ok(platform.addr)
        }
        Command::Engine { knobs, addr } => {
            let knobs: engine::Knobs = parse_knobs(knobs)?;
            Ok(Engine::bind(addr, knobs).await?.addr)
        }
        Command::Relay {
            target,
            control,
            addr,
        } => Ok(Relay::bind(addr, target, control).await?.addr),
        Command::Keyed { addr } => Ok(Keyed::bind(addr).await?.addr),
        Command::Backend {
            id,
            service,
            data_center,
            store,
            slots,
            software,
            knobs,
            starts_after_ms,
            addr,
        } => {
            let config = BackendConfig {
                id,
                service,
                data_center,
                store,
                slots,
                software,
                knobs: parse_knobs(knobs)?,
            };
            compio::time::sleep(Duration::from_millis(starts_after_ms)).await;
            Ok(Backend::bind(addr, config).await?.addr)
        }
        Command::Plain { knobs, addr } => {
            let knobs: plain::Knobs = parse_knobs(knobs)?;
            Ok(Plain::bind(addr, knobs).await?.addr)
        }
    }
}

fn parse_knobs<T: Default + serde::de::DeserializeOwned>(knobs: Option<String>) -> io::Result<T> {
    match knobs {
        None => Ok(T::default()),
        Some(text) => serde_json::from_str(&text).map_err(io::Error::other),
    }
}
