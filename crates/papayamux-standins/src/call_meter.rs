//! Call counting and rate limiting over a sliding window of one second.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

const SECOND: Duration = Duration::from_secs(1);
/// Maximum number of calls of the last second that are counted exactly.
const MAX_COUNTED_CALLS: usize = 1_000_000;

/// Call counters, as tests read them over HTTP.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounters {
    /// Total number of calls, including refused ones.
    pub calls: u64,
    /// Number of calls refused by the rate limit.
    pub refused: u64,
    /// Highest number of calls within any one second, including refused ones.
    pub highest_per_second: u64,
}

/// Limits the rate of accepted calls with a sliding window of one second.
#[derive(Debug)]
pub struct CallMeter {
    limit: usize,
    accepted: VecDeque<Instant>,
    arrived: VecDeque<Instant>,
    counters: CallCounters,
}

impl CallMeter {
    /// Creates a meter that accepts at most `limit` calls within any one second.
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.min(MAX_COUNTED_CALLS),
            accepted: VecDeque::new(),
            arrived: VecDeque::new(),
            counters: CallCounters::default(),
        }
    }

    /// Counts a call that arrives at `now` and returns `true` if it is accepted.
    pub fn accept(&mut self, now: Instant) -> bool {
        expire_calls(&mut self.arrived, now);
        expire_calls(&mut self.accepted, now);
        if self.arrived.len() < MAX_COUNTED_CALLS {
            self.arrived.push_back(now);
        }
        let rate = self.arrived.len() as u64;
        self.counters.calls += 1;
        self.counters.highest_per_second = self.counters.highest_per_second.max(rate);
        let accepted = self.accepted.len() < self.limit;
        match accepted {
            true => self.accepted.push_back(now),
            false => self.counters.refused += 1,
        }
        accepted
    }

    /// Returns the current counters.
    pub fn counters(&self) -> CallCounters {
        self.counters
    }
}

fn expire_calls(calls: &mut VecDeque<Instant>, now: Instant) {
    while calls.front().is_some_and(|at| *at + SECOND <= now) {
        calls.pop_front();
    }
}
