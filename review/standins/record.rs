//! The record of what was sent, answered and run.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Lines with the time since the start of the case; clones write to the same record.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { begun: Instant::now(), lines: Arc::default() }
    }

    pub fn seconds(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let line = format!("{:9.4} s  {}", self.seconds(), line.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    /// Writes the record to a file.
    pub fn write(&self, path: &str) -> std::io::Result<()> {
        let mut file = std::fs::File::create(path)?;
        for line in self.lines.lock().unwrap().iter() {
            writeln!(file, "{line}")?;
        }
        Ok(())
    }
}
