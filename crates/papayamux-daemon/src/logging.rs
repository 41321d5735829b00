//! Logging to standard output: one JSON object per line, with the fields of the record beside its
//! message.

use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use serde_json::Map;

use crate::log_writer::LogWriter;

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

/// Passes formatted lines to the [`LogWriter`].
struct LineSink(LogWriter);

impl Log for LineSink {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        self.0.push(&record.args().to_string());
    }

    fn flush(&self) {
        self.0.flush(&mut std::io::stdout());
    }
}

/// Starts logging to standard output at `level`. A second call has no effect.
///
/// Lines are written in batches: call `log::logger().flush()` before the process exits.
pub fn start_logging(program: &'static str, level: LevelFilter) {
    let writer = match LogWriter::start(std::io::stdout()) {
        Ok(writer) => writer,
        Err(error) => {
            eprintln!("{program}: could not start the log thread: {error}");
            return;
        }
    };
    let sink: Box<dyn Log> = Box::new(LineSink(writer));
    let dispatch = fern::Dispatch::new()
        .level(level)
        .format(move |out, _, record| out.finish(format_args!("{}", record_line(program, record))))
        .chain(sink);
    // Fails only if a logger has been installed before.
    let _ = dispatch.apply();
}
