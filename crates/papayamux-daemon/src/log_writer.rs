//! Writes log lines without ever holding up who logs.
//!
//! Lines are collected in memory and written in batches by a thread of their own. While the
//! reader of the output is slow, or there are too many lines, lines are dropped and counted.

use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Pause between two batches: short enough to follow a process, long enough that a busy one
/// makes ten writes a second and not one a line.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes that wait for the output at most.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;
/// Lines in a second at most: several times what a router with a hundred requests a second logs.
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

/// Collects lines for an output.
#[derive(Clone, Default)]
pub(crate) struct LogWriter {
    buffer: Arc<Mutex<LogBuffer>>,
}

impl LogWriter {
    /// A writer whose thread writes to `output`.
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

    /// Adds a line.
    pub(crate) fn push(&self, line: &str) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        buffer.push(line, Instant::now());
    }

    /// Writes what waits, at the end of the process.
    pub(crate) fn flush(&self, output: &mut impl Write) {
        write_batch(&self.buffer, output);
    }
}

fn write_batch(buffer: &Mutex<LogBuffer>, output: &mut impl Write) {
    let bytes = buffer.lock().unwrap_or_else(PoisonError::into_inner).take();
    if bytes.is_empty() {
        return;
    }
    // Where the output itself fails there is nowhere left to say so.
    let _ = output.write_all(&bytes).and_then(|()| output.flush());
}

#[cfg(test)]
#[path = "../tests/unit/log_writer.rs"]
mod tests;
