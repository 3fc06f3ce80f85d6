//! Logger: JSON lines on standard output with host, data centre and the key-value pairs of the log
//! call, such as the request id.

use std::io::Write;

use log::kv::{Error, Key, Value as LoggedValue, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, Value, json};

use crate::schema::settings::Settings;
use crate::stdout_writer::StdoutWriter;
use crate::util::wall_ms;

/// Installs a logger that writes to `writer`. Later calls only set the level.
pub(crate) fn init(settings: &Settings, writer: StdoutWriter) {
    let host = settings.host.clone().unwrap_or_default();
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Trace)
        .format(move |out, _, record| {
            let line = line(&host.name, &host.data_center, record);
            out.finish(format_args!("{line}"));
        })
        .chain(Box::new(writer) as Box<dyn Write + Send>);
    // Fails if another router of this process has installed its logger; all share the first one.
    let _ = dispatch.apply();
    set_level(settings);
}

/// Applies the log level of `settings`.
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

/// Copies the key-value pairs of a log call into its line.
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
