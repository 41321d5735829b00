//! How much work a service can finish.

use std::time::{Duration, Instant};

use papayamux_state::quantities::TokenCount;

/// Time after which a request that has ended counts half. How long requests take changes with the
/// number of servers and the mix of requests, both within about a second; ten or more end in that
/// time wherever a line can form.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// The rate at which the requests of one router end while its places are taken: by Little's law the
/// work under way over the time that it takes. What ended lately would not do: before a surge that
/// is what was asked for, not what can be served.
#[derive(Debug, Default)]
pub struct CompletionRate {
    in_flight: u64,
    completed: f64,
    completed_seconds: f64,
    updated_at: Option<Instant>,
    first_dispatch: Option<Instant>,
}

impl CompletionRate {
    /// Notes a request that is sent.
    pub fn record_dispatch(&mut self, work: TokenCount, now: Instant) {
        self.first_dispatch.get_or_insert(now);
        self.in_flight = self.in_flight.saturating_add(work.get());
    }

    /// Notes the end of a request that took so long.
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

    /// Work that ends in a second; `None` where nothing is under way. Before the first request has ended,
    /// they take as long as they have taken so far at the least.
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
