//! Limits the rate of repeated log lines.
//!
//! A faulty writer of entries may write thousands of them. One line every few seconds shows that,
//! and the counters show how many there were.

use std::time::{Duration, Instant};

/// Interval between two lines: a reader sees within seconds that the fault persists, and a day of
/// it takes a few megabytes.
const LINE_INTERVAL: Duration = Duration::from_secs(5);

/// The log lines of one kind.
#[derive(Debug, Default)]
pub struct LogLimit {
    last_logged: Option<Instant>,
    suppressed: u64,
}

impl LogLimit {
    /// Returns the number of lines suppressed since the last one if a line is due at `now`, and
    /// `None` otherwise.
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
