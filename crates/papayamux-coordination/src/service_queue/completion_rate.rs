//! The rate at which a service completes work.

use std::time::{Duration, Instant};

use papayamux_state::quantities::TokenCount;

/// Half-life of completed requests in the mean. The time that requests take changes with the number
/// of servers and the mix of requests, both within about a second. Wherever a queue can form, at
/// least ten requests complete in that time.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// The rate at which the requests of one router complete while its slots are taken: by Little's
/// law, the work in flight divided by the time that it takes.
///
/// The work completed recently is no measure: before a surge it shows the demand, not the capacity.
#[derive(Debug, Default)]
pub struct CompletionRate {
    in_flight: u64,
    completed: f64,
    completed_seconds: f64,
    updated_at: Option<Instant>,
    first_dispatch: Option<Instant>,
}

impl CompletionRate {
    /// Records a dispatched request.
    pub fn record_dispatch(&mut self, work: TokenCount, now: Instant) {
        self.first_dispatch.get_or_insert(now);
        self.in_flight = self.in_flight.saturating_add(work.get());
    }

    /// Records the completion of a request that took `elapsed`.
    pub fn record_completion(&mut self, work: TokenCount, elapsed: Duration, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(work.get());
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |updated_at| now.saturating_duration_since(updated_at));
        let kept = (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        let work = work.get() as f64;
        self.completed = self.completed * kept + work;
        self.completed_seconds = self.completed_seconds * kept + work * elapsed.as_secs_f64();
        self.updated_at = Some(now);
    }

    /// Returns the work that completes per second, or `None` if nothing is in flight. Until the
    /// first completion, the time since the first dispatch is the lower bound of the time that
    /// requests take.
    pub fn per_second(&self, now: Instant) -> Option<f64> {
        let work = self.in_flight as f64;
        let rate = if self.completed_seconds > 0.0 {
            work * self.completed / self.completed_seconds
        } else {
            work / now.saturating_duration_since(self.first_dispatch?).as_secs_f64()
        };
        (rate > 0.0 && rate.is_finite()).then_some(rate)
    }
}
