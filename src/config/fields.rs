//! All settings fields and their validation rules.

use strum::Display;

/// Validation rule of a field.
#[derive(Clone, Copy, Debug, Display)]
pub(crate) enum Rule {
    /// A name: lower-case letters, digits, `-`, `_` and `.`.
    Name,
    /// An IP address and port.
    Addr,
    /// An IP address and port that other hosts connect to; 0.0.0.0 and :: are invalid.
    ToldAddr,
    /// A secret of [`MIN_KEY_BYTES`] to [`MAX_KEY_BYTES`] visible ASCII characters.
    Key,
    /// A whole number from the first value to the second, inclusive.
    Whole(u64, u64),
    /// True or false.
    Bool,
    /// A number from the first value to the second, inclusive.
    Number(f64, f64),
    /// IP addresses with ports, separated by commas; may be empty.
    Addrs,
    /// Pairs of names, each as `NAME=NAME`, separated by commas; may be empty.
    Pairs,
    /// One of these words.
    Word(&'static [&'static str]),
}

/// A settings field.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Field {
    pub(crate) section: &'static str,
    pub(crate) name: &'static str,
    pub(crate) rule: Rule,
    pub(crate) required: bool,
}

/// Least length of a key: shorter keys can be guessed.
pub(crate) const MIN_KEY_BYTES: usize = 16;
/// Greatest length of a key: keys are sent in a header.
pub(crate) const MAX_KEY_BYTES: usize = 256;
/// Greatest length of a name, as of a DNS label.
pub(crate) const MAX_NAME_BYTES: usize = 63;

const SECOND_MS: u64 = 1_000;
const MINUTE_MS: u64 = 60 * SECOND_MS;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const MIB: u64 = 1 << 20;

/// Value of [`crate::schema::settings::Platform::protocol`] for the project's own log protocol.
pub(crate) const OWN_PROTOCOL: &str = "own";
/// Protocol value for a log that keeps the newest record of each key.
pub(crate) const KEYED_LOG: &str = "keyed_log";
const PROTOCOLS: &[&str] = &[OWN_PROTOCOL, KEYED_LOG];
const LEVELS: &[&str] = &["error", "warn", "info", "debug", "trace"];

const fn required(section: &'static str, name: &'static str, rule: Rule) -> Field {
    Field {
        section,
        name,
        rule,
        required: true,
    }
}

const fn optional(section: &'static str, name: &'static str, rule: Rule) -> Field {
    Field {
        section,
        name,
        rule,
        required: false,
    }
}

/// All fields, in the order of the schema.
pub(crate) const FIELDS: &[Field] = &[
    required("host", "name", Rule::Name),
    required("host", "data_center", Rule::Name),
    optional("host", "region", Rule::Name),
    optional("host", "data_center_regions", Rule::Pairs),
    optional("listen", "caller_addr", Rule::ToldAddr),
    optional("listen", "peer_addr", Rule::ToldAddr),
    optional("listen", "operator_addr", Rule::Addr),
    optional("listen", "admin_addr", Rule::Addr),
    optional("listen", "entry_addr", Rule::Addr),
    optional("listen", "ready_addr", Rule::Addr),
    required("platform", "addr", Rule::ToldAddr),
    optional("platform", "timeout_ms", Rule::Whole(10, MINUTE_MS)),
    optional("platform", "log_poll_ms", Rule::Whole(5, MINUTE_MS)),
    optional("platform", "host_list_poll_ms", Rule::Whole(5, HOUR_MS)),
    optional(
        "platform",
        "retention_ms",
        Rule::Whole(SECOND_MS, 365 * 24 * HOUR_MS),
    ),
    optional("platform", "claim_window_ms", Rule::Whole(0, SECOND_MS)),
    optional("platform", "protocol", Rule::Word(PROTOCOLS)),
    required("fleet", "key", Rule::Key),
    optional("fleet", "probe_interval_ms", Rule::Whole(10, MINUTE_MS)),
    optional("fleet", "probe_timeout_ms", Rule::Whole(5, MINUTE_MS)),
    optional("fleet", "suspicion_ms", Rule::Whole(10, HOUR_MS)),
    optional("fleet", "entry_ttl_ms", Rule::Whole(100, HOUR_MS)),
    optional("fleet", "drain_limit_ms", Rule::Whole(0, 24 * HOUR_MS)),
    optional("fleet", "seed_addrs", Rule::Addrs),
    optional("fleet", "grace_s", Rule::Number(0.1, 3_600.0)),
    optional("fleet", "retry_share", Rule::Number(0.0, 1.0)),
    optional("fleet", "retry_burst", Rule::Number(0.0, 1e6)),
    optional("fleet", "config_bound_ms", Rule::Number(200.0, 3.6e6)),
    optional("fleet", "leaving_bound_ms", Rule::Number(200.0, 3.6e6)),
    required("operator", "key", Rule::Key),
    optional("limits", "max_body_bytes", Rule::Whole(1_024, 12 * MIB)),
    optional("limits", "max_header_bytes", Rule::Whole(1_024, MIB)),
    optional(
        "limits",
        "header_timeout_ms",
        Rule::Whole(50, 10 * MINUTE_MS),
    ),
    optional("limits", "body_timeout_ms", Rule::Whole(50, 10 * MINUTE_MS)),
    optional("limits", "default_deadline_ms", Rule::Whole(1, HOUR_MS)),
    optional("limits", "max_connections", Rule::Whole(1, 1 << 20)),
    optional("limits", "max_open_files", Rule::Number(0.0, 1e9)),
    optional("limits", "max_memory_mb", Rule::Number(0.0, 1e9)),
    optional("output", "log_level", Rule::Word(LEVELS)),
    optional("output", "events", Rule::Bool),
    optional("decisions", "admission", Rule::Bool),
    optional("decisions", "part_order", Rule::Bool),
    optional("decisions", "load_bound", Rule::Bool),
    optional("decisions", "fetch", Rule::Bool),
    optional("decisions", "told_counts", Rule::Bool),
    optional("decisions", "ejection", Rule::Bool),
    optional("decisions", "grey", Rule::Bool),
    optional("decisions", "unreachable", Rule::Bool),
    optional("decisions", "quarantine", Rule::Bool),
    optional("decisions", "ask_elsewhere", Rule::Bool),
    optional("decisions", "resume", Rule::Bool),
    optional("decisions", "connection_shares", Rule::Bool),
];

/// Returns the field `name` of `section`.
pub(crate) fn find(section: &str, name: &str) -> Option<&'static Field> {
    FIELDS
        .iter()
        .find(|f| f.section == section && f.name == name)
}

/// Whether `name` is a settings section.
pub(crate) fn is_section(name: &str) -> bool {
    FIELDS.iter().any(|f| f.section == name)
}
