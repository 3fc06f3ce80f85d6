//! Test doubles of the systems around a router: the platform, model engines and plain services.
//!
//! Each upstream records every request that it ran, so that tests can compare these records with
//! the responses that callers received. Tests inject faults by setting knobs over HTTP. This crate
//! is not shipped.

pub mod backend;
pub mod cli;
pub mod engine;
mod http;
pub mod keyed;
pub mod plain;
pub mod platform;
pub mod relay;
mod weights;
