//! The record of a case: what was sent, answered and run, with the seconds since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = match File::create(folder.join("record.txt")) {
            Ok(file) => file,
            Err(error) => crate::cannot_run(&format!("record.txt: {error}")),
        };
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.started).as_secs_f64();
        let mut file = self.file.lock().expect("the lock");
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }

    /// Writes a line of the result to the record and to standard output.
    pub fn result(&self, text: &str) {
        println!("{text}");
        let mut file = self.file.lock().expect("the lock");
        let _ = writeln!(file, "{text}");
    }
}
