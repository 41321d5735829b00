//! Counts calls, and refuses those above a rate.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

const SECOND: Duration = Duration::from_secs(1);
/// Calls of the last second that are counted exactly.
const MAX_COUNTED_CALLS: usize = 1_000_000;

/// Calls so far, as a test reads them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounters {
    /// All calls, also those refused.
    pub calls: u64,
    /// Calls refused because of the rate limit.
    pub refused: u64,
    /// The most calls in any one second, also those refused.
    pub highest_per_second: u64,
}

/// Calls of the last second, against a limit.
#[derive(Debug)]
pub struct CallMeter {
    limit: usize,
    accepted: VecDeque<Instant>,
    arrived: VecDeque<Instant>,
    counters: CallCounters,
}

impl CallMeter {
    /// A meter that accepts `limit` calls in any one second.
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.min(MAX_COUNTED_CALLS),
            accepted: VecDeque::new(),
            arrived: VecDeque::new(),
            counters: CallCounters::default(),
        }
    }

    /// Counts a call that arrives at `now`, and says whether it is accepted.
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

    /// The counters so far.
    pub fn counters(&self) -> CallCounters {
        self.counters
    }
}

fn expire_calls(calls: &mut VecDeque<Instant>, now: Instant) {
    while calls.front().is_some_and(|at| *at + SECOND <= now) {
        calls.pop_front();
    }
}
