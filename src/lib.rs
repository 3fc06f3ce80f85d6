//! A router fleet that stands between callers and model engines or plain services.
//!
//! Every process is a *router*; all routers run the same binary in the same role.
//! [`router::Router`] runs a router on the project's own log protocol, using [`serve`];
//! [`routed::KeyedLogRouter`] runs one on a platform with a keyed log, using [`path`].
//! [`decide`] holds the admission, queueing and routing policy, without network or clock access.
//! [`log`] stores configuration, claims and leases on the platform's append-only log, and [`fleet`]
//! tracks membership and each upstream's home. `front` handles callers' connections, `http1`
//! those to upstreams, and `peers` the communication with other routers.

pub mod cmd;
pub mod config;
pub mod decide;
pub mod event;
pub mod exporter;
pub mod fleet;
pub(crate) mod front;
pub(crate) mod http1;
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
pub(crate) mod time_limit;
pub(crate) mod util;
