//! The recent share of attempts of one kind that succeeded.

use std::time::{Duration, Instant};

/// Half-life of outcomes: long enough for several retries at one router, short enough that a change
/// of what fails is noticed within seconds.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Number of outcomes at the expected chance that are added to the recorded ones, so that a few
/// failures decide nothing.
const PRIOR_OUTCOMES: f64 = 3.0;
/// Weight below which outcomes no longer count.
const MIN_WEIGHT: f64 = 0.05;

/// Outcomes whose weight decays with their age.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SuccessShare {
    successes: f64,
    outcomes: f64,
    updated_at: Option<Instant>,
}

impl SuccessShare {
    pub(super) fn record(&mut self, succeeded: bool, now: Instant) {
        let factor = self.decay(now);
        self.successes = self.successes * factor + f64::from(u8::from(succeeded));
        self.outcomes = self.outcomes * factor + 1.0;
        self.updated_at = Some(now);
    }

    /// Returns the weight of the recorded outcomes.
    pub(super) fn samples(&self, now: Instant) -> f64 {
        self.outcomes * self.decay(now)
    }

    /// Returns the chance that the next attempt succeeds, if it is `expected` without any outcome.
    pub(super) fn chance(&self, expected: f64, now: Instant) -> f64 {
        let factor = self.decay(now);
        let successes = self.successes * factor + expected * PRIOR_OUTCOMES;
        successes / (self.outcomes * factor + PRIOR_OUTCOMES)
    }

    pub(super) fn has_decayed(&self, now: Instant) -> bool {
        self.samples(now) < MIN_WEIGHT
    }

    fn decay(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else { return 0.0 };
        let age = now.saturating_duration_since(updated_at);
        (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }
}
