//! The recent rate of work that arrives or is dispatched.

use std::time::{Duration, Instant};

use papayamux_state::quantities::TokenCount;

/// Half-life of the work in the mean: a surge shows within a second and is forgotten as fast.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// A rate of work, as an exponentially decaying mean.
#[derive(Debug, Default)]
pub struct WorkRate {
    decayed: f64,
    updated_at: Option<Instant>,
}

impl WorkRate {
    /// Records the work of a request.
    pub fn record(&mut self, work: TokenCount, now: Instant) {
        self.decayed = self.decayed_at(now) + work.get() as f64;
        self.updated_at = Some(now);
    }

    /// Returns the work per second.
    pub fn per_second(&self, now: Instant) -> f64 {
        self.per_second_with(0.0, now)
    }

    /// Returns what the work per second would be with further `work`.
    pub fn per_second_with(&self, work: f64, now: Instant) -> f64 {
        (self.decayed_at(now) + work) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    fn decayed_at(&self, now: Instant) -> f64 {
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |updated_at| now.saturating_duration_since(updated_at));
        self.decayed * (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }
}
