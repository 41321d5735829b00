//! How well servers have answered lately.
//!
//! A server may fail part of its requests while it looks healthy. What it costs to ask it is the
//! chance that the answer is a failure, by its own last answers against those of all servers: where
//! all fail alike, nobody is avoided. The record fades within seconds, so that a server that has
//! recovered is asked again.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use papayamux_state::ids::ServerId;

/// Time after which an answer counts half: long enough for a dozen answers at the usual rates,
/// short enough that a server is tried again soon.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Answers that every server is credited with, so that one failure condemns nobody.
const PRIOR_ANSWERS: f64 = 3.0;
/// Weight below which a record is forgotten.
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

/// The answers of one service's servers.
#[derive(Debug, Default)]
pub struct FailureRates {
    servers: HashMap<ServerId, AnswerCounts>,
}

impl FailureRates {
    /// Notes an answer.
    pub fn record_answer(&mut self, server: &ServerId, failed: bool, now: Instant) {
        let fresh = AnswerCounts { failures: 0.0, answers: 0.0, updated_at: now };
        let counts = self.servers.entry(server.clone()).or_insert(fresh);
        *counts = counts.with(failed, now);
    }

    /// The part of its answers that `server` is expected to fail beyond what servers of the
    /// service fail anyway, from 0 to 1.
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

    /// Forgets what has faded.
    pub fn remove_decayed(&mut self, now: Instant) {
        self.servers.retain(|_, counts| counts.at(now).answers >= MIN_WEIGHT);
    }
}
