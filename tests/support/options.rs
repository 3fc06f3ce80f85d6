//! Options of a fleet of processes.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::caller::set_knobs;
use super::process::Process;

/// Options of [`Fleet::start_with`](super::Fleet::start_with).
#[derive(Clone)]
pub(crate) struct Options {
    pub(crate) shape: Shape,
    /// The engines' knobs as JSON.
    pub(crate) engine: String,
    /// The plain services' knobs as JSON.
    pub(crate) plain: String,
    /// Put a fault relay between each router and the platform.
    pub(crate) platform_relays: bool,
    /// Put a fault relay between the routers and each engine.
    pub(crate) engine_relays: bool,
    /// The log's retention, at the platform and in the routers' settings.
    pub(crate) retention_ms: Option<u64>,
    /// Configured concurrent requests of each upstream.
    pub(crate) slots: u32,
    /// The `limits` of the routers' settings.
    pub(crate) limits: Value,
    /// Overrides for other sections of the routers' settings.
    pub(crate) settings: Value,
}

impl Options {
    pub(crate) fn new(routers: u8, engines: u8, plains: u8) -> Self {
        Self {
            shape: Shape {
                routers,
                engines,
                plains,
            },
            engine: "{}".to_owned(),
            plain: "{}".to_owned(),
            platform_relays: false,
            engine_relays: false,
            retention_ms: None,
            slots: 32,
            limits: json!({}),
            settings: json!({}),
        }
    }
}

/// The number of processes of each kind.
#[derive(Clone, Copy)]
pub(crate) struct Shape {
    pub(crate) routers: u8,
    pub(crate) engines: u8,
    pub(crate) plains: u8,
}

/// A fault relay and the address of its controls.
pub(crate) struct Relay {
    pub(crate) process: Process,
    pub(crate) control: SocketAddr,
}

impl Relay {
    pub(crate) async fn set(&self, knobs: Value) {
        set_knobs(self.control, &knobs).await;
    }

    /// Cuts all open connections.
    pub(crate) async fn cut(&self) {
        self.set(json!({ "cut": true })).await;
    }
}
