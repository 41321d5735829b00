//! Parsing of log lines.

use serde_json::{Map, Value};

/// A parsed line of a process's log.
#[derive(Debug, Clone)]
pub(crate) struct LogLine {
    /// The file that contains the line.
    pub(crate) file: String,
    /// The instance that wrote the line: the last word that a log collector has put before the JSON, or
    /// else the file.
    pub(crate) writer: String,
    /// The time at which the line was written, in milliseconds since the Unix epoch.
    pub(crate) time_ms: u64,
    /// All fields of the JSON object.
    pub(crate) fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line, ignoring a prefix added by a log collector. Returns `None` for other text.
    pub(crate) fn read(file: &str, text: &str) -> Option<Self> {
        let (before, json) = text.split_at(text.find('{')?);
        let writer = before.split_whitespace().last().unwrap_or(file).to_string();
        let Value::Object(fields) = serde_json::from_str(json).ok()? else { return None };
        let time_ms = fields.get("time_ms")?.as_u64()?;
        Some(Self { file: file.to_string(), writer, time_ms, fields })
    }

    /// Returns the value of a text field.
    pub(crate) fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }
}
