//! Detects retries of refused callers by their deadlines.
//!
//! A retry has a new identifier and reaches another router, but it has less time than the first
//! attempt: what is left of the deadline that the callers of a route set. That deadline is mostly a
//! single value, so the most frequent one stands for it.

use std::time::Duration;

/// Number of deadlines that are counted. At least half of the requests carry the usual deadline,
/// even while many callers retry, each with a different remaining time; the other values only have
/// to be distinguished from it.
const MAX_COUNTED_DEADLINES: usize = 4;
/// Count at which all counts are halved, so that a changed deadline is learned.
const MAX_COUNT: u32 = 1_024;
/// Minimum count of a deadline before shorter ones are taken for retries.
const MIN_COUNT: u32 = 8;
/// Tolerance within which deadlines are equal: callers may subtract the time to connect.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(20);

#[derive(Debug, Clone, Copy)]
struct CountedDeadline {
    deadline: Duration,
    count: u32,
}

/// The deadline that most callers of a route set, by a Misra-Gries summary.
#[derive(Debug, Default)]
pub struct UsualDeadline {
    counted: Vec<CountedDeadline>,
}

impl UsualDeadline {
    /// Records the deadline of a request. Returns the time since its caller's first attempt, as far
    /// as a deadline shorter than the usual one shows it, or zero for a first attempt.
    pub fn record(&mut self, deadline: Duration) -> Duration {
        let known = self.counted.iter().position(|candidate| candidate.is_same(deadline));
        match known {
            Some(known) => self.counted[known].count += 1,
            None if self.counted.len() < MAX_COUNTED_DEADLINES => {
                self.counted.push(CountedDeadline { deadline, count: 1 });
            }
            None => self.update_counts(|count| count - 1),
        }
        if self.counted.iter().any(|candidate| candidate.count >= MAX_COUNT) {
            self.update_counts(|count| count / 2);
        }
        let elapsed = self.usual().unwrap_or_default().saturating_sub(deadline);
        if elapsed < DEADLINE_TOLERANCE {
            Duration::ZERO
        } else {
            elapsed
        }
    }

    /// Returns the usual deadline, once enough requests have carried it.
    pub fn usual(&self) -> Option<Duration> {
        let most_frequent = self.counted.iter().max_by_key(|candidate| candidate.count)?;
        (most_frequent.count >= MIN_COUNT).then_some(most_frequent.deadline)
    }

    fn update_counts(&mut self, change: impl Fn(u32) -> u32) {
        self.counted.iter_mut().for_each(|candidate| candidate.count = change(candidate.count));
        self.counted.retain(|candidate| candidate.count > 0);
    }
}

impl CountedDeadline {
    fn is_same(&self, deadline: Duration) -> bool {
        self.deadline.abs_diff(deadline) < DEADLINE_TOLERANCE
    }
}
