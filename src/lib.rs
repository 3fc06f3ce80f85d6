//! A router fleet that stands between callers and model engines or plain services.
//!
//! Every process is a *router*: one role, one binary, any number of equals. [`router::Router`]
//! runs one; [`decide`] holds the policy that says who is served, who waits, who is refused and
//! where work goes, with no network and no clock of its own; [`log`] holds what must be agreed or
//! kept, on the platform's append-only log; [`fleet`] finds the other routers and each upstream's
//! home; [`serve`] runs a router on the project's own log, [`path`] one on a platform with a keyed log.
//! Both stand on `front`, which holds callers' connections, and `peers`, which talks to other routers.

pub mod cmd;
pub mod config;
pub mod decide;
pub mod event;
pub mod exporter;
pub mod fleet;
pub(crate) mod front;
pub mod log;
pub(crate) mod logs;
pub(crate) mod mutation;
pub mod path;
pub(crate) mod peers;
#[path = "../platform/mod.rs"]
pub(crate) mod platform;
pub(crate) mod reload;
pub mod routed;
pub mod router;
#[path = "gen/mod.rs"]
pub mod schema;
pub mod serve;
pub(crate) mod socket;
pub(crate) mod stats;
pub(crate) mod stdout_writer;
pub(crate) mod util;
