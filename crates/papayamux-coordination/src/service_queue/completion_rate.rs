//! The rate at which a service completes work.

use std::time::{Duration, Instant};

use papayamux_state::quantities::TokenCount;

/// Half-life of completed requests in the mean. The time that requests take changes with the number
/// of servers and the mix of requests, both within about a second. Wherever a queue can form, at
/// least ten requests complete in that time.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// What a completion rate rests on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RateEvidence {
    /// The number of requests in flight.
    pub in_flight: u32,
    /// The number of completed requests in the mean, each weighted by its age.
    pub completed: u32,
    /// The time since the last completion; `None` before the first one.
    pub age: Option<Duration>,
}

/// The rate at which the requests of one router complete while its slots are taken: by Little's
/// law, the work in flight divided by the time that it takes.
///
/// The work completed recently is no measure: before a surge it shows the demand, not the capacity.
#[derive(Debug, Default)]
pub struct CompletionRate {
    in_flight: u64,
    in_flight_requests: u32,
    completed_requests: f64,
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
        self.in_flight_requests = self.in_flight_requests.saturating_add(1);
    }

    /// Records the completion of a request that took `elapsed`.
    pub fn record_completion(&mut self, work: TokenCount, elapsed: Duration, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(work.get());
        self.in_flight_requests = self.in_flight_requests.saturating_sub(1);
        let kept = self.kept_share(now);
        self.completed_requests = self.completed_requests * kept + 1.0;
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

    /// Returns what the rate rests on.
    pub fn evidence(&self, now: Instant) -> RateEvidence {
        RateEvidence {
            in_flight: self.in_flight_requests,
            completed: (self.completed_requests * self.kept_share(now)).round() as u32,
            age: self.updated_at.map(|updated_at| now.saturating_duration_since(updated_at)),
        }
    }

    /// Returns the weight that the means recorded so far keep at `now`.
    fn kept_share(&self, now: Instant) -> f64 {
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |updated_at| now.saturating_duration_since(updated_at));
        (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }
}
