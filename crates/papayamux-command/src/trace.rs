//! `papayamux trace`: the log lines of a request, with the state changes of the routers around it.

use serde_json::Value;

use crate::log_line::LogLine;
use crate::output::{CommandOutput, ExitMeaning};

/// Time before the first line of a request from which state changes of the same processes are shown.
/// It equals the maximum age of keys; older changes don't affect any decision.
const CONTEXT_WINDOW_MS: u64 = 5_000;
/// Fields of every line, which are left out of the details.
const COMMON_FIELDS: [&str; 6] = ["time_ms", "level", "program", "target", "message", "request"];

/// Formats a line with its time offset to the request's first line.
fn format_line(line: &LogLine, since_ms: u64) -> String {
    let message = line.text("message").unwrap_or_default();
    let details = line.fields.iter().filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
    let details: Vec<_> = details
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text:?}"),
            other => format!("{name}={other}"),
        })
        .collect();
    let after = i128::from(line.time_ms) - i128::from(since_ms);
    format!("{after:>+7} ms  {}: {message}  {}\n", line.file, details.join(" "))
}

/// Traces a request through log files, given as pairs of name and text.
pub fn trace_request(request: &str, files: &[(String, String)]) -> CommandOutput {
    let mut lines: Vec<_> = files
        .iter()
        .flat_map(|(file, text)| text.lines().filter_map(|line| LogLine::read(file, line)))
        .collect();
    lines.sort_by_key(|line| line.time_ms);
    let own: Vec<_> = lines.iter().filter(|line| line.text("request") == Some(request)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        let text = format!("no line of {} files names request {request}\n", files.len());
        return CommandOutput::new(ExitMeaning::Findings, text);
    };
    let begin = first.time_ms.saturating_sub(CONTEXT_WINDOW_MS);
    let shown = lines.iter().filter(|line| {
        let inside = line.time_ms >= begin && line.time_ms <= last.time_ms;
        let same_process = own.iter().any(|own| own.file == line.file);
        let is_context = line.text("request").is_none() && inside && same_process;
        is_context || line.text("request") == Some(request)
    });
    let text = shown.map(|line| format_line(line, first.time_ms)).collect();
    CommandOutput::new(ExitMeaning::Clean, text)
}
