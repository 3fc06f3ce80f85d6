//! Settings of one router: JSON with comments, validated before any task starts.

mod check;
mod fields;

use std::path::Path;

use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast, parse_to_serde_value};

use serde_json::Value;
use snafu::{ResultExt, Snafu};

pub use crate::config::check::Fault;
pub(crate) use crate::config::fields::KEYED_LOG;
use crate::config::fields::OWN_PROTOCOL;
use crate::front::memory::DEFAULT_MEMORY_MB;
use crate::schema::settings::{
    Decisions, Fleet, Host, Limits, Listen, Operator, Output, Platform, Settings,
};

/// Errors in a settings file.
#[derive(Debug, Snafu)]
pub enum ConfigError {
    /// The file can't be read.
    #[snafu(display("{path}: cannot read the settings: {source}"))]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file isn't JSON with comments.
    #[snafu(display("{path}:{detail}"))]
    Syntax {
        /// The file.
        path: String,
        /// Line, column and cause.
        detail: String,
    },
    /// Fields are unknown, missing, of the wrong type or out of range.
    #[snafu(display("{}", list(path, faults)))]
    Faults {
        /// The file.
        path: String,
        /// All faults, in file order.
        faults: Vec<Fault>,
    },
}

fn list(path: &str, faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(|f| format!("{path}:{f}")).collect();
    lines.join("\n")
}

/// Reads and validates the settings file at `path`, and fills in the defaults.
///
/// # Errors
/// Lists every fault with file, line, column and field.
pub fn load(path: &Path) -> Result<Settings, ConfigError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).context(UnreadableSnafu { path: &name })?;
    parse(&name, &text)
}

/// Parses settings from `text`; `path` is only used in error messages.
///
/// # Errors
/// Lists every fault with file, line, column and field.
///
/// ```
/// let text = r#"{ // one host
///   "host": { "name": "a1", "data_center": "north" },
///   "platform": { "addr": "127.0.0.1:9000" },
///   "fleet": { "key": "0123456789abcdef" },
///   "operator": { "key": "fedcba9876543210" }
/// }"#;
/// let settings = cassiagrade::config::parse("a1.jsonc", text).unwrap();
/// assert_eq!(settings.host.unwrap().name, "a1");
/// ```
pub fn parse(path: &str, text: &str) -> Result<Settings, ConfigError> {
    let syntax = |detail: String| ConfigError::Syntax {
        path: path.to_owned(),
        detail,
    };
    let parsed = parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS).map_err(|e| {
        syntax(format!(
            "{}:{}: {}",
            e.line_display(),
            e.column_display(),
            e.kind()
        ))
    })?;
    let faults = check::faults(text, parsed.value.as_ref());
    if !faults.is_empty() {
        let path = path.to_owned();
        return Err(ConfigError::Faults { path, faults });
    }
    let given: Option<Value> =
        parse_to_serde_value(text, &PARSE_OPTIONS).map_err(|e| syntax(e.to_string()))?;
    let mut merged = serde_json::to_value(defaults()).map_err(|e| syntax(e.to_string()))?;
    merge(&mut merged, given.unwrap_or(Value::Null));
    serde_json::from_value(merged).map_err(|e| syntax(e.to_string()))
}

/// JSON with comments and trailing commas, and no other extension.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Returns the default settings.
pub fn defaults() -> Settings {
    Settings {
        host: Some(Host {
            region: "home".to_owned(),
            ..Host::default()
        }),
        listen: Some(Listen {
            caller_addr: "127.0.0.1:0".to_owned(),
            peer_addr: "127.0.0.1:0".to_owned(),
            operator_addr: "127.0.0.1:0".to_owned(),
            admin_addr: "127.0.0.1:0".to_owned(),
            entry_addr: "127.0.0.1:0".to_owned(),
            ready_addr: "127.0.0.1:0".to_owned(),
        }),
        platform: Some(Platform {
            addr: String::new(),
            timeout_ms: 1_000,
            log_poll_ms: 500,
            host_list_poll_ms: 2_000,
            retention_ms: 86_400_000,
            claim_window_ms: 60,
            protocol: OWN_PROTOCOL.to_owned(),
        }),
        fleet: Some(Fleet {
            key: String::new(),
            probe_interval_ms: 500,
            probe_timeout_ms: 200,
            suspicion_ms: 2_000,
            entry_ttl_ms: 10_000,
            drain_limit_ms: 60_000,
            seed_addrs: String::new(),
            grace_s: 30.0,
            retry_share: 0.2,
            retry_burst: 50.0,
            config_bound_ms: 2_000.0,
            leaving_bound_ms: 2_000.0,
        }),
        operator: Some(Operator::default()),
        limits: Some(Limits {
            max_body_bytes: 4 << 20,
            max_header_bytes: 16 << 10,
            header_timeout_ms: 10_000,
            body_timeout_ms: 30_000,
            default_deadline_ms: 120_000,
            max_connections: 4_096,
            max_open_files: 0.0,
            max_memory_mb: DEFAULT_MEMORY_MB,
        }),
        output: Some(Output {
            log_level: "info".to_owned(),
            events: true,
        }),
        decisions: Some(ALL_ON),
    }
}

/// Every mechanism of the request path is enabled.
pub(crate) const ALL_ON: Decisions = Decisions {
    admission: true,
    part_order: true,
    load_bound: true,
    fetch: true,
    told_counts: true,
    ejection: true,
    grey: true,
    unreachable: true,
    quarantine: true,
    ask_elsewhere: true,
    resume: true,
    connection_shares: true,
};

fn merge(base: &mut Value, given: Value) {
    match (base, given) {
        (Value::Object(base), Value::Object(given)) => {
            for (key, value) in given {
                merge(base.entry(key).or_insert(Value::Null), value);
            }
        }
        (_, Value::Null) => {}
        (base, given) => *base = given,
    }
}

#[cfg(test)]
#[path = "config/tests.rs"]
mod tests;
