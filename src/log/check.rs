//! Whether a configuration change may be made: asked before it is appended, and again by every
//! reader, so that what a careless or an older writer appends is rejected by all alike.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use snafu::Snafu;

use crate::decide::Priority;
use crate::schema::config::change::Op;
use crate::schema::config::{Account, IdempotencyRule, Policy, Rollout, Service, State, Upstream};

const MAX_NAME_BYTES: usize = 128;
const KEY_DIGITS: usize = 64;
/// More than any engine batches; a larger figure is a mistake of units.
const MAX_SLOTS: u32 = 65_536;
const MAX_PAUSE_MS: u32 = 3_600_000;
const MAX_EPSILON: f64 = 10.0;
const MAX_SPREAD: u32 = 64;

/// Why a change is refused.
#[derive(Debug, Snafu)]
#[snafu(display("{field}: {reason}"))]
pub struct Invalid {
    field: &'static str,
    reason: String,
}

type Checked = Result<(), Invalid>;

/// Checks `op` against `state`.
///
/// # Errors
/// The field that is wrong, and why.
pub fn check(state: &State, op: &Op) -> Checked {
    match op {
        Op::PutAccount(v) => account(state, v),
        Op::PutService(v) => service(state, v),
        Op::PutUpstream(v) => upstream(state, v),
        Op::PutPolicy(v) => policy(state, v),
        Op::PutRollout(v) => rollout(state, v),
        Op::MarkHost(v) => name("host.host", &v.host),
        Op::MarkDataCenter(v) => name("data_center.data_center", &v.data_center),
        Op::DeleteService(name) => delete_service(state, name),
        Op::DeleteAccount(name) => {
            let known = state.accounts.iter().any(|v| v.name == *name);
            require("account.name", known, "names no account")
        }
        Op::DeleteUpstream(name) => {
            let known = state.upstreams.iter().any(|v| v.name == *name);
            require("upstream.name", known, "names no upstream")
        }
        Op::DeletePolicy(name) => {
            let known = state.policies.iter().any(|v| v.service == *name);
            require("policy.service", known, "has no policy")
        }
        Op::DeleteRollout(name) => {
            let known = state.rollouts.iter().any(|v| v.service == *name);
            require("rollout.service", known, "has no rollout")
        }
    }
}

fn account(state: &State, v: &Account) -> Checked {
    name("account.name", &v.name)?;
    let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    let digest = v.key_sha256.len() == KEY_DIGITS && v.key_sha256.bytes().all(hex);
    require(
        "account.key_sha256",
        digest,
        "must be 64 lower-case hex digits",
    )?;
    let mut others = state.accounts.iter().filter(|o| o.name != v.name);
    let taken = others.any(|o| o.key_sha256 == v.key_sha256);
    require("account.key_sha256", !taken, "is another account's")?;
    share("account.weight", v.weight, f64::MAX)?;
    share("account.rate_per_s", v.rate_per_s, f64::MAX)?;
    let known = v.priority.is_empty() || v.priority.parse::<Priority>().is_ok();
    require(
        "account.priority",
        known,
        "must be \"urgent\", \"normal\" or \"batch\"",
    )
}

fn service(state: &State, v: &Service) -> Checked {
    name("service.name", &v.name)?;
    let others = || state.services.iter().filter(|o| o.name != v.name);
    match v.kind.as_str() {
        "engine" => {
            name("service.model", &v.model)?;
            let taken = others().any(|o| o.kind == "engine" && o.model == v.model);
            require("service.model", !taken, "is another service's")?;
        }
        "plain" => {
            path("service.path_prefix", &v.path_prefix)?;
            let taken = others().any(|o| o.kind == "plain" && o.path_prefix == v.path_prefix);
            require("service.path_prefix", !taken, "is another service's")?;
        }
        _ => return require("service.kind", false, "must be \"engine\" or \"plain\""),
    }
    v.non_idempotent.iter().try_for_each(idempotency_rule)
}

fn idempotency_rule(rule: &IdempotencyRule) -> Checked {
    let letters = rule.method.bytes().all(|b| b.is_ascii_uppercase());
    require(
        "service.non_idempotent.method",
        letters && !rule.method.is_empty(),
        "must be a method in capitals",
    )?;
    path("service.non_idempotent.path_prefix", &rule.path_prefix)
}

fn upstream(state: &State, v: &Upstream) -> Checked {
    name("upstream.name", &v.name)?;
    let addr = v.addr.parse::<SocketAddr>().ok();
    let usable = addr.is_some_and(|a| a.port() != 0 && !a.ip().is_unspecified());
    require("upstream.addr", usable, "must be an IP number and port")?;
    let mut others = state.upstreams.iter().filter(|o| o.name != v.name);
    let taken = others.any(|o| o.addr == v.addr);
    // Two homes would each fill it to its bound.
    require("upstream.addr", !taken, "is another upstream's")?;
    known_service("upstream.service", state, &v.service)?;
    require(
        "upstream.slots",
        v.slots <= MAX_SLOTS,
        "must be at most 65536",
    )?;
    let pause = v.longest_pause_ms <= MAX_PAUSE_MS;
    require(
        "upstream.longest_pause_ms",
        pause,
        "must be at most an hour",
    )
}

fn policy(state: &State, v: &Policy) -> Checked {
    known_service("policy.service", state, &v.service)?;
    share("policy.epsilon", v.epsilon, MAX_EPSILON)?;
    share("policy.retry_share", v.retry_share, 1.0)?;
    share("policy.eject_share", v.eject_share, 1.0)?;
    let spread = v.spread_width <= MAX_SPREAD;
    require("policy.spread_width", spread, "must be at most 64")?;
    let parsed = v.shed_order.iter().map(|p| p.parse::<Priority>());
    let parsed: Option<Vec<Priority>> = parsed.map(Result::ok).collect();
    let Some(classes) = parsed else {
        return require("policy.shed_order", false, "names no priority");
    };
    let distinct: BTreeSet<Priority> = classes.iter().copied().collect();
    let once = distinct.len() == classes.len();
    require("policy.shed_order", once, "names a priority twice")
}

fn rollout(state: &State, v: &Rollout) -> Checked {
    known_service("rollout.service", state, &v.service)?;
    let mut services = state.services.iter();
    let engine = services.any(|s| s.name == v.service && s.kind == "engine");
    require("rollout.service", engine, "must be an engine service")?;
    name("rollout.version", &v.version)?;
    require("rollout.at_once", v.at_once > 0, "must be at least 1")?;
    let differs = v.previous_version != v.version;
    require(
        "rollout.previous_version",
        differs,
        "must differ from the version",
    )
}

fn delete_service(state: &State, name: &str) -> Checked {
    known_service("service.name", state, name)?;
    let upstreams = state.upstreams.iter().any(|v| v.service == name);
    require("service.name", !upstreams, "still has upstreams")?;
    let policy = state.policies.iter().any(|v| v.service == name);
    require("service.name", !policy, "still has a policy")?;
    let rollout = state.rollouts.iter().any(|v| v.service == name);
    require("service.name", !rollout, "still has a rollout")
}

fn known_service(field: &'static str, state: &State, name: &str) -> Checked {
    let known = state.services.iter().any(|s| s.name == name);
    require(field, known, "names no service")
}

fn name(field: &'static str, value: &str) -> Checked {
    require(field, !value.is_empty(), "must not be empty")?;
    let long = value.len() > MAX_NAME_BYTES;
    require(field, !long, "must be at most 128 bytes")?;
    let odd = value.chars().any(char::is_control) || value.trim() != value;
    require(
        field,
        !odd,
        "must hold no control characters and no space at its ends",
    )
}

fn path(field: &'static str, value: &str) -> Checked {
    require(field, value.starts_with('/'), "must begin with \"/\"")
}

fn share(field: &'static str, value: f64, max: f64) -> Checked {
    let holds = value.is_finite() && (0.0..=max).contains(&value);
    require(field, holds, "is out of range")
}

fn require(field: &'static str, holds: bool, reason: &str) -> Checked {
    if holds {
        return Ok(());
    }
    let reason = reason.to_owned();
    InvalidSnafu { field, reason }.fail()
}
