//! Logs: JSON lines on standard output, each with host, data centre and what the log call names,
//! among it the request's id where there is one.

use std::io::Write;

use log::kv::{Error, Key, Value as LoggedValue, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, Value, json};

use crate::schema::settings::Settings;
use crate::stdout_writer::StdoutWriter;
use crate::util::wall_ms;

/// Sends logs to `writer`. A second call changes nothing.
pub(crate) fn init(settings: &Settings, writer: StdoutWriter) {
    let host = settings.host.clone().unwrap_or_default();
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Trace)
        .format(move |out, _, record| {
            let line = line(&host.name, &host.data_center, record);
            out.finish(format_args!("{line}"));
        })
        .chain(Box::new(writer) as Box<dyn Write + Send>);
    // Several routers in one process share the first one's logger.
    let _ = dispatch.apply();
    set_level(settings);
}

/// Takes a changed level.
pub(crate) fn set_level(settings: &Settings) {
    let level = settings.output.as_ref().map(|o| o.log_level.as_str());
    if let Some(level) = level.and_then(|l| l.parse().ok()) {
        log::set_max_level(level);
    }
}

fn line(host: &str, data_center: &str, record: &Record<'_>) -> Value {
    let mut line = json!({
        "at_ms": wall_ms(),
        "level": record.level().as_str(),
        "host": host,
        "data_center": data_center,
        "target": record.target(),
        "message": record.args().to_string(),
    });
    if let Some(fields) = line.as_object_mut()
        && let Err(e) = record.key_values().visit(&mut Fields(fields))
    {
        fields.insert("unlogged".to_owned(), e.to_string().into());
    }
    line
}

/// Puts what a log call names into its line.
struct Fields<'a>(&'a mut Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: LoggedValue<'kvs>) -> Result<(), Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

#[cfg(test)]
#[path = "logs_tests.rs"]
mod logs_tests;
