//! Validates a settings file field by field and collects every fault.

use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;

use crate::config::fields::{self, FIELDS, MAX_KEY_BYTES, MAX_NAME_BYTES, MIN_KEY_BYTES, Rule};

/// One fault in a settings file.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Fault {
    /// Line in the file, from 1.
    pub line: usize,
    /// Column in the line, from 1.
    pub column: usize,
    /// The field, as `section.name`.
    pub field: String,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { line, column, .. } = self;
        write!(f, "{line}:{column}: {}: {}", self.field, self.reason)
    }
}

/// Returns every fault of the file with root value `root`, in file order.
pub(crate) fn faults(text: &str, root: Option<&Value<'_>>) -> Vec<Fault> {
    let mut checker = Checker {
        text,
        found: Vec::new(),
    };
    match root {
        Some(Value::Object(object)) => checker.root(object),
        Some(other) => checker.fault(other.range().start, "settings", "must be an object"),
        None => checker.report_missing(&HashSet::new(), 0),
    }
    checker.found.sort();
    checker.found
}

struct Checker<'t> {
    text: &'t str,
    found: Vec<Fault>,
}

impl Checker<'_> {
    fn fault(&mut self, at: usize, field: impl Into<String>, reason: impl Into<String>) {
        let before = self.text.get(..at).unwrap_or_default();
        let line_start = before.rfind('\n').map_or(0, |i| i + 1);
        self.found.push(Fault {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            field: field.into(),
            reason: reason.into(),
        });
    }

    fn root(&mut self, object: &Object<'_>) {
        self.check_duplicates("", object);
        let mut given = HashSet::new();
        for prop in &object.properties {
            let section = prop.name.as_str();
            if !fields::is_section(section) {
                self.fault(prop.range.start, section, "no such section");
                continue;
            }
            match &prop.value {
                Value::Object(fields) => {
                    given.insert(section);
                    self.section(section, fields);
                }
                other => self.fault(other.range().start, section, "must be an object"),
            }
        }
        self.report_missing(&given, object.range.start);
        self.check_listeners(object);
        self.check_probe_times(object);
        self.check_keys(object);
    }

    fn section(&mut self, section: &str, object: &Object<'_>) {
        self.check_duplicates(section, object);
        for prop in &object.properties {
            let path = format!("{section}.{}", prop.name.as_str());
            match fields::find(section, prop.name.as_str()) {
                None => self.fault(prop.range.start, path, "no such field"),
                Some(field) => {
                    if let Err(reason) = check_value(field.rule, &prop.value) {
                        self.fault(prop.value.range().start, path, reason);
                    }
                }
            }
        }
        // A missing field is reported at the start of its section.
        for field in FIELDS.iter().filter(|f| f.section == section && f.required) {
            let is_given = object
                .properties
                .iter()
                .any(|p| p.name.as_str() == field.name);
            if !is_given {
                let path = format!("{section}.{}", field.name);
                self.fault(object.range.start, path, "missing");
            }
        }
    }

    /// Reports required fields of sections that are missing.
    fn report_missing(&mut self, given: &HashSet<&str>, at: usize) {
        for field in FIELDS.iter().filter(|f| f.required) {
            if !given.contains(field.section) {
                self.fault(at, format!("{}.{}", field.section, field.name), "missing");
            }
        }
    }

    /// Reports duplicate keys, of which the JSON parser would silently drop all but one.
    fn check_duplicates(&mut self, section: &str, object: &Object<'_>) {
        let mut names = HashSet::new();
        for prop in &object.properties {
            let name = prop.name.as_str();
            if !names.insert(name) {
                let path = join(section, name);
                self.fault(prop.range.start, path, "given more than once");
            }
        }
    }

    /// Reports listeners with the same address. Port 0 is exempt: the system picks a free port.
    fn check_listeners(&mut self, root: &Object<'_>) {
        let mut taken: HashSet<SocketAddr> = HashSet::new();
        for prop in section(root, "listen").iter().flat_map(|o| &o.properties) {
            let addr = text_of(&prop.value).and_then(|t| t.parse::<SocketAddr>().ok());
            let Some(addr) = addr.filter(|a| a.port() != 0) else {
                continue;
            };
            if !taken.insert(addr) {
                let path = join("listen", prop.name.as_str());
                let reason = format!("{addr} is already the address of another listener");
                self.fault(prop.value.range().start, path, reason);
            }
        }
    }

    /// Requires probes to time out within the probe interval, so that a late probe is noticed
    /// before the next one starts.
    fn check_probe_times(&mut self, root: &Object<'_>) {
        let (Some(timeout), Some(interval)) = (
            prop(root, "fleet", "probe_timeout_ms"),
            prop(root, "fleet", "probe_interval_ms"),
        ) else {
            return;
        };
        if integer_of(&timeout.value) > integer_of(&interval.value) {
            let reason = "must not exceed fleet.probe_interval_ms";
            self.fault(
                timeout.value.range().start,
                "fleet.probe_timeout_ms",
                reason,
            );
        }
    }

    /// Requires two different keys, so that one leaked key doesn't disclose the other.
    fn check_keys(&mut self, root: &Object<'_>) {
        let fleet = prop(root, "fleet", "key").and_then(|p| text_of(&p.value));
        let Some(operator) = prop(root, "operator", "key") else {
            return;
        };
        if fleet.is_some() && fleet == text_of(&operator.value) {
            let at = operator.value.range().start;
            self.fault(at, "operator.key", "must differ from fleet.key");
        }
    }
}

fn join(section: &str, name: &str) -> String {
    if section.is_empty() {
        return name.to_owned();
    }
    format!("{section}.{name}")
}

fn section<'o>(root: &'o Object<'o>, name: &str) -> Option<&'o Object<'o>> {
    let prop = root.properties.iter().find(|p| p.name.as_str() == name)?;
    prop.value.as_object()
}

fn prop<'o>(root: &'o Object<'o>, in_section: &str, name: &str) -> Option<&'o ObjectProp<'o>> {
    let object = section(root, in_section)?;
    object.properties.iter().find(|p| p.name.as_str() == name)
}

fn text_of<'v>(value: &'v Value<'v>) -> Option<&'v str> {
    value.as_string_lit().map(|s| s.value.as_ref())
}

fn integer_of(value: &Value<'_>) -> Option<u64> {
    value.as_number_lit()?.value.parse().ok()
}

fn float_of(value: &Value<'_>) -> Option<f64> {
    value.as_number_lit()?.value.parse().ok()
}

fn check_value(rule: Rule, value: &Value<'_>) -> Result<(), String> {
    let text = || text_of(value).ok_or_else(|| "must be text".to_owned());
    match rule {
        Rule::Name => name(text()?),
        Rule::Addr => addr(text()?).map(|_| ()),
        Rule::ToldAddr => advertised_addr(text()?),
        Rule::Key => key(text()?),
        Rule::Whole(least, most) => {
            let whole = integer_of(value).filter(|n| (least..=most).contains(n));
            let reason = || format!("must be a whole number from {least} to {most}");
            whole.map(|_| ()).ok_or_else(reason)
        }
        Rule::Number(least, most) => {
            let number = float_of(value).filter(|n| (least..=most).contains(n));
            let reason = || format!("must be a number from {least} to {most}");
            number.map(|_| ()).ok_or_else(reason)
        }
        Rule::Addrs => {
            let given = text()?;
            given
                .split(',')
                .filter(|a| !a.is_empty())
                .try_for_each(|a| addr(a).map(|_| ()))
        }
        Rule::Pairs => {
            let given = text()?;
            given
                .split(',')
                .filter(|p| !p.is_empty())
                .try_for_each(pair)
        }
        Rule::Bool => {
            let given = value.as_boolean_lit();
            given
                .map(|_| ())
                .ok_or_else(|| "must be true or false".to_owned())
        }
        Rule::Word(words) => {
            let reason = || format!("must be one of {}", words.join(", "));
            let known = text_of(value).filter(|t| words.contains(t));
            known.map(|_| ()).ok_or_else(reason)
        }
    }
}

fn name(text: &str) -> Result<(), String> {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    if (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed) {
        return Ok(());
    }
    Err(format!(
        "must be 1 to {MAX_NAME_BYTES} lower-case letters, digits, '-', '_' or '.'"
    ))
}

fn pair(text: &str) -> Result<(), String> {
    let (key, value) = text
        .split_once('=')
        .ok_or_else(|| "must be pairs of names such as north=home".to_owned())?;
    name(key)?;
    name(value)
}

fn addr(text: &str) -> Result<SocketAddr, String> {
    let reason = |_| "must be an IP number and port, such as 10.0.0.1:7001".to_owned();
    text.parse().map_err(reason)
}

fn advertised_addr(text: &str) -> Result<(), String> {
    if addr(text)?.ip().is_unspecified() {
        return Err(
            "must name one interface, because other hosts connect to this address".to_owned(),
        );
    }
    Ok(())
}

fn key(text: &str) -> Result<(), String> {
    let visible = text.bytes().all(|b| b.is_ascii_graphic());
    if visible && (MIN_KEY_BYTES..=MAX_KEY_BYTES).contains(&text.len()) {
        return Ok(());
    }
    Err(format!(
        "must be {MIN_KEY_BYTES} to {MAX_KEY_BYTES} visible ASCII characters"
    ))
}
