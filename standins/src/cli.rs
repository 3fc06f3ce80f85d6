//! `standins platform|engine|plain|relay`: runs one stand-in as a process of its own.

use std::io;
use std::net::SocketAddr;

use bpaf::Bpaf;

use crate::backend::{Backend, Identity};
use crate::engine::{self, Engine};
use crate::keyed::Keyed;
use crate::plain::{self, Plain};
use crate::platform::Platform;
use crate::relay::Relay;

/// Runs one stand-in until it is killed
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
pub enum Command {
    /// The log, the list of hosts and the weight store
    #[bpaf(command)]
    Platform {
        /// Where to listen
        #[bpaf(positional("ADDR"))]
        addr: SocketAddr,
    },
    /// A model engine
    #[bpaf(command)]
    Engine {
        /// Its knobs, as JSON
        #[bpaf(short, long, argument("JSON"), optional)]
        knobs: Option<String>,
        /// Where to listen
        #[bpaf(positional("ADDR"))]
        addr: SocketAddr,
    },
    /// A TCP relay with faults
    #[bpaf(command)]
    Relay {
        /// Where connections go
        #[bpaf(short, long, argument("ADDR"))]
        target: SocketAddr,
        /// Where its knobs are set
        #[bpaf(short, long, argument("ADDR"))]
        control: SocketAddr,
        /// Where to listen
        #[bpaf(positional("ADDR"))]
        addr: SocketAddr,
    },
    /// A store that keeps the newest record of each key
    #[bpaf(command)]
    Keyed {
        /// Where to listen
        #[bpaf(positional("ADDR"))]
        addr: SocketAddr,
    },
    /// An upstream that speaks the users' platform's dialect
    #[bpaf(command)]
    Backend {
        /// Its service
        #[bpaf(long, argument("NAME"))]
        service: String,
        /// Its data centre
        #[bpaf(long, argument("NAME"))]
        data_center: String,
        /// Where it writes that it is there
        #[bpaf(long, argument("ADDR"))]
        store: SocketAddr,
        /// Requests that it runs at once
        #[bpaf(long, argument("N"))]
        slots: u32,
        /// Where to listen
        #[bpaf(positional("ADDR"))]
        addr: SocketAddr,
    },
    /// A plain service
    #[bpaf(command)]
    Plain {
        /// Its knobs, as JSON
        #[bpaf(short, long, argument("JSON"), optional)]
        knobs: Option<String>,
        /// Where to listen
        #[bpaf(positional("ADDR"))]
        addr: SocketAddr,
    },
}

/// Runs the stand-in that the command line names.
///
/// # Errors
/// When its address can't be listened on or its knobs can't be read.
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
            let knobs: engine::Knobs = read(knobs)?;
            Ok(Engine::bind(addr, knobs).await?.addr)
        }
        Command::Relay {
            target,
            control,
            addr,
        } => Ok(Relay::bind(addr, target, control).await?.addr),
        Command::Keyed { addr } => Ok(Keyed::bind(addr).await?.addr),
        Command::Backend {
            service,
            data_center,
            store,
            slots,
            addr,
        } => {
            let identity = Identity {
                service,
                data_center,
                store,
                slots,
            };
            Ok(Backend::bind(addr, identity).await?.addr)
        }
        Command::Plain { knobs, addr } => {
            let knobs: plain::Knobs = read(knobs)?;
            Ok(Plain::bind(addr, knobs).await?.addr)
        }
    }
}

fn read<T: Default + serde::de::DeserializeOwned>(knobs: Option<String>) -> io::Result<T> {
    match knobs {
        None => Ok(T::default()),
        Some(text) => serde_json::from_str(&text).map_err(io::Error::other),
    }
}
