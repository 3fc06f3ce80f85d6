//! Small stand-ins for what a router meets: the platform, model engines and plain services.
//!
//! They keep a record of every run, so that a test can hold what callers were told against what
//! happened. Each has fault knobs that a test sets over HTTP. Nothing here is shipped.

pub mod backend;
pub mod cli;
pub mod engine;
mod http;
pub mod keyed;
pub mod plain;
pub mod platform;
pub mod relay;
mod weights;
