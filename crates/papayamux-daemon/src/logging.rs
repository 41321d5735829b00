//! Logs: one JSON object a line on standard error, with the record's fields beside its message.

use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::Map;

struct FieldCollector<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldCollector<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (_, Some(truth)) => truth.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

fn record_line(program: &str, record: &Record<'_>) -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut fields = Map::new();
    fields.insert("time_ms".to_string(), (since_epoch.as_millis() as u64).into());
    fields.insert("level".to_string(), record.level().as_str().to_lowercase().into());
    fields.insert("program".to_string(), program.into());
    fields.insert("target".to_string(), record.target().into());
    fields.insert("message".to_string(), record.args().to_string().into());
    let _ = record.key_values().visit(&mut FieldCollector(&mut fields));
    serde_json::Value::Object(fields).to_string()
}

/// Starts logging at `level`; a second call changes nothing.
pub fn start_logging(program: &'static str, level: LevelFilter) {
    let dispatch = fern::Dispatch::new()
        .level(level)
        .format(move |out, _, record| out.finish(format_args!("{}", record_line(program, record))))
        .chain(std::io::stderr());
    let _ = dispatch.apply();
}
