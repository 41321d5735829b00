//! How often a log says the same thing.
//!
//! Whoever writes bad entries may write thousands of them. One line in some seconds shows that; the
//! counters show how many there were.

use std::time::{Duration, Instant};

/// Pause between two lines: a reader sees within seconds that it goes on, and a day of it takes a
/// few megabytes.
const LINE_INTERVAL: Duration = Duration::from_secs(5);

/// Lines of one kind.
#[derive(Debug, Default)]
pub struct LogLimit {
    last_logged: Option<Instant>,
    suppressed: u64,
}

impl LogLimit {
    /// Whether a line is due at `now`; with it, how many were left out since the one before.
    pub fn next(&mut self, now: Instant) -> Option<u64> {
        let is_due = self
            .last_logged
            .is_none_or(|last_logged| now.saturating_duration_since(last_logged) >= LINE_INTERVAL);
        if !is_due {
            self.suppressed += 1;
            return None;
        }
        self.last_logged = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}
