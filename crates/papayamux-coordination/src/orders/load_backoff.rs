//! How long weights whose load failed are left alone.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use papayamux_state::weights::WeightsRef;

/// The pause after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// The longest pause.
const MAX_BACKOFF: Duration = Duration::from_secs(60);
/// Weights whose failures are remembered.
const MAX_FAILURES: usize = 128;

#[derive(Debug, Clone, Copy)]
struct LoadFailure {
    count: u32,
    retry_at: Instant,
}

/// Pauses after failed loads: doubled with each failure, and spread at random so that agents
/// refused together do not come back together.
#[derive(Debug, Default)]
pub struct LoadBackoff {
    failures: BTreeMap<WeightsRef, LoadFailure>,
}

impl LoadBackoff {
    /// Whether `weights` may be tried at `now`.
    pub fn may_try(&self, weights: &WeightsRef, now: Instant) -> bool {
        self.failures.get(weights).is_none_or(|failure| failure.retry_at <= now)
    }

    /// A load failed; `share` from 0 to 1 is drawn at random by the caller. Gives the pause.
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

    /// Forgets the failures of all weights but those of which `is_missing` says so.
    pub fn keep_only(&mut self, is_missing: impl Fn(&WeightsRef) -> bool) {
        self.failures.retain(|weights, _| is_missing(weights));
    }
}
