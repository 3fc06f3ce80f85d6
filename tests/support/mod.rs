//! Starts routers and stand-ins as separate processes on loopback and stops only those.
#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(unused_imports, reason = "each test file uses a part of it")]

mod caller;
mod cli;
pub(crate) mod crowd;
mod fleet;
mod operator;
mod options;
mod process;
pub(crate) mod raw;
mod records;
pub(crate) mod routed;
pub(crate) mod scripted;
pub(crate) mod streams;

pub(crate) use caller::{
    CallOutcome, Caller, Received, call, chat_body, expected_answer, get, post, put, set_knobs,
    wait_until,
};
pub(crate) use cli::WorkDir;
pub(crate) use fleet::Fleet;
pub(crate) use operator::{account, apply_at, policy, upstream, upstream_at};
pub(crate) use options::{Options, Relay, Shape};
pub(crate) use process::{Process, ProcessHandle, sleep_ms, wall_ms};
pub(crate) use records::{Run, Runs};

pub(crate) const OPERATOR_KEY: &str = "operator-key-0123456789";
/// The key of account "acme".
pub(crate) const ACCOUNT_KEY: &str = "account-key-0123456789";
/// The key of account "largest", whose weight exceeds that of all others together.
pub(crate) const LARGEST_KEY: &str = "largest-key-0123456789";
