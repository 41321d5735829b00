//! Back-off for weights whose load failed.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use papayamux_state::weights::WeightsRef;

/// Maximum back-off after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum back-off.
const MAX_BACKOFF: Duration = Duration::from_secs(60);
/// Maximum number of weights whose failures are recorded.
const MAX_FAILURES: usize = 128;

#[derive(Debug, Clone, Copy)]
struct LoadFailure {
    count: u32,
    retry_at: Instant,
}

/// Exponential back-off after failed loads. It is jittered, so that agents refused at the same time don't
/// retry at the same time.
#[derive(Debug, Default)]
pub struct LoadBackoff {
    failures: BTreeMap<WeightsRef, LoadFailure>,
}

impl LoadBackoff {
    /// Returns whether a load of `weights` may be tried at `now`.
    pub fn may_try(&self, weights: &WeightsRef, now: Instant) -> bool {
        self.failures.get(weights).is_none_or(|failure| failure.retry_at <= now)
    }

    /// Records a failed load and returns the back-off. `jitter` is a random number from 0 to 1.
    pub fn record_failure(&mut self, weights: &WeightsRef, now: Instant, jitter: f64) -> Duration {
        let count = self.failures.get(weights).map_or(0, |failure| failure.count);
        let max_pause = INITIAL_BACKOFF.saturating_mul(1 << count.min(16)).min(MAX_BACKOFF);
        let pause = max_pause.mul_f64(0.5 + jitter.clamp(0.0, 1.0) / 2.0);
        if self.failures.len() < MAX_FAILURES || self.failures.contains_key(weights) {
            let failure = LoadFailure { count: count.saturating_add(1), retry_at: now + pause };
            self.failures.insert(weights.clone(), failure);
        }
        pause
    }

    /// Removes the failures of all weights for which `is_missing` returns `false`.
    pub fn keep_only(&mut self, is_missing: impl Fn(&WeightsRef) -> bool) {
        self.failures.retain(|weights, _| is_missing(weights));
    }
}
