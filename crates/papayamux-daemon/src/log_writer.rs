//! Writes log lines without waiting for the output.
//!
//! Lines are buffered in memory and written in batches by a separate thread. If the reader of the
//! output is slow, or there are too many lines, lines are dropped and counted.

use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Interval between batches: short enough to follow a log live, and it limits a busy process to ten
/// writes per second instead of one per line.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum size of the buffer in bytes.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;
/// Maximum lines per second: several times the log rate of a router with 100 requests per second.
const MAX_LINES_PER_SECOND: u32 = 2_000;

#[derive(Debug, Default)]
struct LogBuffer {
    bytes: Vec<u8>,
    dropped: u64,
    second: Option<Instant>,
    lines: u32,
}

impl LogBuffer {
    fn push(&mut self, line: &str, now: Instant) {
        let same_second =
            self.second.is_some_and(|started_at| now - started_at < Duration::from_secs(1));
        if !same_second {
            self.second = Some(now);
            self.lines = 0;
        }
        if self.bytes.len() + line.len() >= MAX_BUFFERED_BYTES || self.lines >= MAX_LINES_PER_SECOND
        {
            self.dropped += 1;
            return;
        }
        self.lines += 1;
        self.bytes.extend_from_slice(line.as_bytes());
        self.bytes.push(b'\n');
    }

    fn take(&mut self) -> Vec<u8> {
        let dropped = std::mem::take(&mut self.dropped);
        if dropped > 0 {
            let line = format!(
                "{{\"level\":\"warn\",\"message\":\"log lines dropped\",\"count\":{dropped}}}\n"
            );
            self.bytes.extend_from_slice(line.as_bytes());
        }
        std::mem::take(&mut self.bytes)
    }
}

/// Buffers log lines for an output.
#[derive(Clone, Default)]
pub(crate) struct LogWriter {
    buffer: Arc<Mutex<LogBuffer>>,
}

impl LogWriter {
    /// Creates a writer and starts its thread, which writes to `output`.
    pub(crate) fn start(output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let writer = Self::default();
        let buffer = writer.buffer.clone();
        let mut output = output;
        std::thread::Builder::new().name("log".to_string()).spawn(move || loop {
            std::thread::sleep(BATCH_INTERVAL);
            write_batch(&buffer, &mut output);
        })?;
        Ok(writer)
    }

    /// Adds a line to the buffer, or drops and counts it at the limits.
    pub(crate) fn push(&self, line: &str) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        buffer.push(line, Instant::now());
    }

    /// Writes the buffered lines to `output` at once, for use before the process exits.
    pub(crate) fn flush(&self, output: &mut impl Write) {
        write_batch(&self.buffer, output);
    }
}

fn write_batch(buffer: &Mutex<LogBuffer>, output: &mut impl Write) {
    let bytes = buffer.lock().unwrap_or_else(PoisonError::into_inner).take();
    if bytes.is_empty() {
        return;
    }
    // An error of the log output itself can't be reported anywhere.
    let _ = output.write_all(&bytes).and_then(|()| output.flush());
}

#[cfg(test)]
#[path = "../tests/unit/log_writer.rs"]
mod tests;
