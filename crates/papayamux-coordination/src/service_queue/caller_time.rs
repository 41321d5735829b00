//! The time that a request has, and how much of it may pass in the queue.

use std::time::{Duration, Instant};

use papayamux_state::durations::saturating_after;

/// Share of the slack that a request may spend in the queue. The rest is left for the server's own
/// queue and for estimation errors.
const SLACK_SHARE: f64 = 0.6;
/// Share of the caller's remaining time that a request may spend in the queue if its route has no
/// objective.
const TIME_LEFT_SHARE: f64 = 0.25;
/// Maximum wait of a late request, in objectives. Callers abandon a stream that is silent for four
/// objectives.
const LATE_WAIT_OBJECTIVES: f64 = 1.5;
/// Maximum wait of a late request, as a share of its caller's remaining time.
const LATE_TIME_LEFT_SHARE: f64 = 0.5;

/// The time constraints of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerTime {
    /// The arrival of the request.
    pub arrived: Instant,
    /// The time from the caller's first attempt to the arrival of this one.
    pub since_first_attempt: Duration,
    /// The target for the answer, from the caller's first attempt; zero if the route has none.
    pub objective: Duration,
    /// The time until the caller gives up.
    pub time_left: Duration,
    /// The time that an idle server takes for the request.
    pub service_time: Duration,
}

impl CallerTime {
    /// Returns the time at which the answer is due, counted from the caller's first attempt.
    /// Requests of a flow are ordered by it, so that a retry goes before new requests.
    pub fn answer_deadline(&self) -> Instant {
        let first_attempt =
            self.arrived.checked_sub(self.since_first_attempt).unwrap_or(self.arrived);
        saturating_after(first_attempt, self.objective)
    }

    /// Returns whether the request can no longer be answered within its objective.
    pub fn is_late(&self) -> bool {
        !self.objective.is_zero() && self.slack().is_zero()
    }

    /// Returns the maximum time that the request may wait in the queue.
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

    /// Returns the time until the request has to be dispatched to meet its objective.
    fn slack(&self) -> Duration {
        self.objective.saturating_sub(self.since_first_attempt).saturating_sub(self.service_time)
    }
}
