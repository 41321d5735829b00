//! How much time a request has, and how much of it may pass in the line.

use std::time::{Duration, Instant};

/// Part of the time that is left until a request has to be sent that may pass in the line: the rest is
/// for the server's own queue, and for estimates that are off.
const SLACK_SHARE: f64 = 0.6;
/// Part of a caller's time that may pass in the line where the route has no objective.
const TIME_LEFT_SHARE: f64 = 0.25;
/// Objectives for which a request may wait that is late anyway. Callers give up a stream that is silent
/// for four objectives.
const LATE_WAIT_OBJECTIVES: f64 = 1.5;
/// Part of its time for which a request may wait that is late anyway.
const LATE_TIME_LEFT_SHARE: f64 = 0.5;

/// The time that a request's caller has.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerTime {
    /// When it arrived.
    pub arrived: Instant,
    /// How long before that its caller first asked.
    pub since_first_attempt: Duration,
    /// Within which it should be answered, from the caller's first try; zero where there is none.
    pub objective: Duration,
    /// Until its caller leaves.
    pub time_left: Duration,
    /// How long a server takes for it that has nothing else to do.
    pub service_time: Duration,
}

impl CallerTime {
    /// When its answer is due, from the caller's first try: the order within a flow. One that comes back
    /// so goes before newcomers.
    pub fn answer_deadline(&self) -> Instant {
        let first_attempt =
            self.arrived.checked_sub(self.since_first_attempt).unwrap_or(self.arrived);
        first_attempt + self.objective
    }

    /// Whether it can't be answered within its objective any more.
    pub fn is_late(&self) -> bool {
        !self.objective.is_zero() && self.slack().is_zero()
    }

    /// How long it may wait.
    pub fn wait_budget(&self) -> Duration {
        if self.objective.is_zero() {
            return self.time_left.mul_f64(TIME_LEFT_SHARE);
        }
        let (by_objective, by_time) = match self.is_late() {
            true => (self.objective.mul_f64(LATE_WAIT_OBJECTIVES), LATE_TIME_LEFT_SHARE),
            false => (self.slack().mul_f64(SLACK_SHARE), TIME_LEFT_SHARE),
        };
        by_objective.min(self.time_left.mul_f64(by_time))
    }

    /// The time until it has to be sent.
    fn slack(&self) -> Duration {
        self.objective.saturating_sub(self.since_first_attempt).saturating_sub(self.service_time)
    }
}
