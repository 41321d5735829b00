//! Whether a caller comes back after it was turned away.
//!
//! A caller's second try has another identifier and reaches another router, but less time than the
//! first: what is left of the deadline that the callers of a route set. That deadline is mostly one
//! value, so the most frequent one stands for it.

use std::time::Duration;

/// Values that are counted. Half of the requests or more carry the usual deadline, also while many
/// come back, each with another one; the others only have to be told from it.
const MAX_COUNTED_DEADLINES: usize = 4;
/// Requests after which the counts are halved, so that a changed deadline is learnt.
const MAX_COUNT: u32 = 1_024;
/// Requests that must have carried a deadline before a shorter one means anything.
const MIN_COUNT: u32 = 8;
/// Deadlines that differ by less are one: callers may take off what connecting cost.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(20);

#[derive(Debug, Clone, Copy)]
struct CountedDeadline {
    deadline: Duration,
    count: u32,
}

/// The deadline that most callers of a route set (the summary of Misra and Gries).
#[derive(Debug, Default)]
pub struct UsualDeadline {
    counted: Vec<CountedDeadline>,
}

impl UsualDeadline {
    /// Notes the deadline of a request. Returns how long ago its caller first asked, as far as a
    /// deadline that is shorter than the usual one tells; zero for a newcomer.
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

    /// The usual deadline, once enough requests have carried it.
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
