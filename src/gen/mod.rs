//! Messages and settings generated from `schema/` by the `codegen` member; do not edit by hand.
#![allow(missing_docs, unreachable_pub, clippy::all, clippy::use_self)]

pub mod config;
pub mod event;
pub mod operator;
pub mod peer;
pub mod records;
pub mod settings;
