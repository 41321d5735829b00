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

/// Lines of one kind in [`BUDGET_INTERVAL`]: all of a usual load.
const LINES_IN_INTERVAL: u32 = 20;
/// Interval for which a [`LogBudget`] counts its lines.
const BUDGET_INTERVAL: Duration = Duration::from_secs(1);

/// The log lines of one kind, each of which tells of something else: all are logged until there are
/// too many.
#[derive(Debug, Default)]
pub struct LogBudget {
    interval_start: Option<Instant>,
    logged: u32,
    suppressed: u64,
}

impl LogBudget {
    /// Returns the number of lines suppressed since the last one if a line may be logged at `now`,
    /// and `None` otherwise.
    pub fn next(&mut self, now: Instant) -> Option<u64> {
        let is_over = self
            .interval_start
            .is_none_or(|start| now.saturating_duration_since(start) >= BUDGET_INTERVAL);
        if is_over {
            self.interval_start = Some(now);
            self.logged = 0;
        }
        if self.logged >= LINES_IN_INTERVAL {
            self.suppressed += 1;
            return None;
        }
        self.logged += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
