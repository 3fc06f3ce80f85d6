//! Validation of configuration changes: before a change is appended, and again by every reader, so
//! that all readers reject an invalid change that an older or faulty writer appended.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use snafu::Snafu;

use crate::decide::Priority;
use crate::schema::config::change::Op;
use crate::schema::config::{Account, IdempotencyRule, Policy, Rollout, Service, State, Upstream};

const MAX_NAME_BYTES: usize = 128;
const KEY_DIGITS: usize = 64;
/// More than the batch size of any engine; a larger value is probably in the wrong unit.
const MAX_SLOTS: u32 = 65_536;
const MAX_PAUSE_MS: u32 = 3_600_000;
const MAX_EPSILON: f64 = 10.0;
const MAX_SPREAD: u32 = 64;

/// Why a change is invalid.
#[derive(Debug, Snafu)]
#[snafu(display("{field}: {reason}"))]
pub struct Invalid {
    field: &'static str,
    reason: String,
}

type CheckResult = Result<(), Invalid>;

/// Checks `op` against `state`.
///
/// # Errors
/// The field that is wrong, and why.
pub fn check(state: &State, op: &Op) -> CheckResult {
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
            require("account.name", known, "no such account")
        }
        Op::DeleteUpstream(name) => {
            let known = state.upstreams.iter().any(|v| v.name == *name);
            require("upstream.name", known, "no such upstream")
        }
        Op::DeletePolicy(name) => {
            let known = state.policies.iter().any(|v| v.service == *name);
            require("policy.service", known, "the service has no policy")
        }
        Op::DeleteRollout(name) => {
            let known = state.rollouts.iter().any(|v| v.service == *name);
            require("rollout.service", known, "the service has no rollout")
        }
    }
}

fn account(state: &State, v: &Account) -> CheckResult {
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
    require(
        "account.key_sha256",
        !taken,
        "is already used by another account",
    )?;
    in_range("account.weight", v.weight, f64::MAX)?;
    in_range("account.rate_per_s", v.rate_per_s, f64::MAX)?;
    let known = v.priority.is_empty() || v.priority.parse::<Priority>().is_ok();
    require(
        "account.priority",
        known,
        "must be \"urgent\", \"normal\" or \"batch\"",
    )
}

fn service(state: &State, v: &Service) -> CheckResult {
    name("service.name", &v.name)?;
    let others = || state.services.iter().filter(|o| o.name != v.name);
    match v.kind.as_str() {
        "engine" => {
            name("service.model", &v.model)?;
            let taken = others().any(|o| o.kind == "engine" && o.model == v.model);
            require(
                "service.model",
                !taken,
                "is already served by another service",
            )?;
        }
        "plain" => {
            path("service.path_prefix", &v.path_prefix)?;
            let taken = others().any(|o| o.kind == "plain" && o.path_prefix == v.path_prefix);
            require(
                "service.path_prefix",
                !taken,
                "is already used by another service",
            )?;
        }
        _ => return require("service.kind", false, "must be \"engine\" or \"plain\""),
    }
    v.non_idempotent.iter().try_for_each(idempotency_rule)
}

fn idempotency_rule(rule: &IdempotencyRule) -> CheckResult {
    let upper_case = rule.method.bytes().all(|b| b.is_ascii_uppercase());
    require(
        "service.non_idempotent.method",
        upper_case && !rule.method.is_empty(),
        "must be an HTTP method in upper case",
    )?;
    path("service.non_idempotent.path_prefix", &rule.path_prefix)
}

fn upstream(state: &State, v: &Upstream) -> CheckResult {
    name("upstream.name", &v.name)?;
    let addr = v.addr.parse::<SocketAddr>().ok();
    let valid = addr.is_some_and(|a| a.port() != 0 && !a.ip().is_unspecified());
    require("upstream.addr", valid, "must be an IP address and port")?;
    let mut others = state.upstreams.iter().filter(|o| o.name != v.name);
    let taken = others.any(|o| o.addr == v.addr);
    // An address listed twice has two home routers, each of which would fill it to its slot limit.
    require(
        "upstream.addr",
        !taken,
        "is already used by another upstream",
    )?;
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

fn policy(state: &State, v: &Policy) -> CheckResult {
    known_service("policy.service", state, &v.service)?;
    in_range("policy.epsilon", v.epsilon, MAX_EPSILON)?;
    in_range("policy.retry_share", v.retry_share, 1.0)?;
    in_range("policy.eject_share", v.eject_share, 1.0)?;
    let spread = v.spread_width <= MAX_SPREAD;
    require("policy.spread_width", spread, "must be at most 64")?;
    let parsed = v.shed_order.iter().map(|p| p.parse::<Priority>());
    let parsed: Option<Vec<Priority>> = parsed.map(Result::ok).collect();
    let Some(classes) = parsed else {
        return require(
            "policy.shed_order",
            false,
            "must list only \"urgent\", \"normal\" and \"batch\"",
        );
    };
    let distinct: BTreeSet<Priority> = classes.iter().copied().collect();
    let once = distinct.len() == classes.len();
    require("policy.shed_order", once, "lists a priority twice")
}

fn rollout(state: &State, v: &Rollout) -> CheckResult {
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
        "must differ from rollout.version",
    )
}

fn delete_service(state: &State, name: &str) -> CheckResult {
    known_service("service.name", state, name)?;
    let upstreams = state.upstreams.iter().any(|v| v.service == name);
    require("service.name", !upstreams, "still has upstreams")?;
    let policy = state.policies.iter().any(|v| v.service == name);
    require("service.name", !policy, "still has a policy")?;
    let rollout = state.rollouts.iter().any(|v| v.service == name);
    require("service.name", !rollout, "still has a rollout")
}

fn known_service(field: &'static str, state: &State, name: &str) -> CheckResult {
    let known = state.services.iter().any(|s| s.name == name);
    require(field, known, "no such service")
}

fn name(field: &'static str, value: &str) -> CheckResult {
    require(field, !value.is_empty(), "must not be empty")?;
    let long = value.len() > MAX_NAME_BYTES;
    require(field, !long, "must be at most 128 bytes")?;
    let malformed = value.chars().any(char::is_control) || value.trim() != value;
    require(
        field,
        !malformed,
        "must contain no control characters and no leading or trailing spaces",
    )
}

fn path(field: &'static str, value: &str) -> CheckResult {
    require(field, value.starts_with('/'), "must start with \"/\"")
}

fn in_range(field: &'static str, value: f64, max: f64) -> CheckResult {
    let valid = value.is_finite() && (0.0..=max).contains(&value);
    require(field, valid, "is out of range")
}

fn require(field: &'static str, valid: bool, reason: &str) -> CheckResult {
    if valid {
        return Ok(());
    }
    let reason = reason.to_owned();
    InvalidSnafu { field, reason }.fail()
}
