//! The recent failure rates of servers.
//!
//! A server may fail some of its requests while it looks healthy. The cost of choosing it is the
//! probability that its answer is a failure, from its own recent answers compared to those of all
//! servers: if all fail alike, none is avoided. The counts decay within seconds, so that a
//! recovered server is chosen again.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use papayamux_state::ids::ServerId;

/// Half-life of answers: long enough for a dozen answers at usual rates, short enough that a server
/// is soon tried again.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Answers credited to every server, so that a single failure excludes none.
const PRIOR_ANSWERS: f64 = 3.0;
/// Weight below which the counts of a server are removed.
const MIN_WEIGHT: f64 = 0.05;

#[derive(Debug, Clone, Copy)]
struct AnswerCounts {
    failures: f64,
    answers: f64,
    updated_at: Instant,
}

impl AnswerCounts {
    fn at(self, now: Instant) -> Self {
        let age = now.saturating_duration_since(self.updated_at);
        let factor = (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        Self { failures: self.failures * factor, answers: self.answers * factor, updated_at: now }
    }

    fn with(self, failed: bool, now: Instant) -> Self {
        let counts = self.at(now);
        Self {
            failures: counts.failures + f64::from(u8::from(failed)),
            answers: counts.answers + 1.0,
            updated_at: now,
        }
    }
}

/// The answers of the servers of one service.
#[derive(Debug, Default)]
pub struct FailureRates {
    servers: HashMap<ServerId, AnswerCounts>,
}

impl FailureRates {
    /// Records an answer.
    pub fn record_answer(&mut self, server: &ServerId, failed: bool, now: Instant) {
        let initial = AnswerCounts { failures: 0.0, answers: 0.0, updated_at: now };
        let counts = self.servers.entry(server.clone()).or_insert(initial);
        *counts = counts.with(failed, now);
    }

    /// Returns the share of answers that `server` is expected to fail beyond the failure rate of
    /// the other servers of the service, from 0 to 1.
    pub fn excess_failures(&self, server: &ServerId, now: Instant) -> f64 {
        let Some(own) = self.servers.get(server) else { return 0.0 };
        let own = own.at(now);
        let others = self.servers.iter().filter(|(id, _)| *id != server);
        let (failures, answers) = others.fold((0.0, 0.0), |(failures, answers), (_, counts)| {
            let counts = counts.at(now);
            (failures + counts.failures, answers + counts.answers)
        });
        if answers < 1.0 {
            return 0.0;
        }
        let baseline = failures / answers;
        let expected = (own.failures + baseline * PRIOR_ANSWERS) / (own.answers + PRIOR_ANSWERS);
        (expected - baseline).max(0.0)
    }

    /// Removes servers whose counts have decayed.
    pub fn remove_decayed(&mut self, now: Instant) {
        self.servers.retain(|_, counts| counts.at(now).answers >= MIN_WEIGHT);
    }
}
