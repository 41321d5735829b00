//! Estimators that start from a prior, leave it after a few samples, and follow changes.
//!
//! Libraries for streaming quantiles keep all samples, or a window of them for each server. These
//! estimators take a few bytes and a few operations per sample.

use std::time::Duration;

use papayamux_state::durations::saturating_millis;

/// Step of a new estimate, in units of the natural logarithm: the second sample may differ from the
/// prior by a factor of e.
const FIRST_STEP: f64 = 1.0;
/// Step of a settled estimate, which then varies by a few per cent.
const LAST_STEP: f64 = 0.03;
/// Growth of the step while samples lie on the same side: a tenfold change is followed within about
/// a dozen samples.
const GROWTH: f64 = 1.3;
/// Reduction of the step when a sample lies on the other side. Combined with [`GROWTH`], the step
/// shrinks while samples scatter evenly.
const SHRINKAGE: f64 = 0.6;
/// First step of an estimate that starts from the estimate of its service.
const NEW_SERVER_STEP: f64 = 0.3;
/// Number of samples from which a server's own estimate is used instead of that of its service.
const MIN_OWN_SAMPLES: u32 = 4;

/// Running median of positive samples. It moves towards each sample by a bounded step, so that an
/// outlier has no more effect than any other sample.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MedianEstimate {
    log: f64,
    step: f64,
    rose: bool,
    samples: u32,
}

impl MedianEstimate {
    /// Creates an estimate that starts from a positive `prior`.
    pub fn new(prior: f64) -> Self {
        Self { log: prior.ln(), step: FIRST_STEP, rose: false, samples: 0 }
    }

    /// Creates the estimate of a server, starting from the estimate of its service.
    pub fn from_service(other: Self) -> Self {
        Self { step: other.step.max(NEW_SERVER_STEP), samples: 0, ..other }
    }

    /// Adds a sample; ignores samples that are not positive.
    pub fn record(&mut self, sample: f64) {
        if !(sample.is_finite() && sample > 0.0) {
            return;
        }
        let error = sample.ln() - self.log;
        let rises = error > 0.0;
        if self.samples > 0 {
            // A sample within one step shows that the estimate has converged, whichever side it
            // lies on.
            let lags = rises == self.rose && error.abs() > self.step;
            let change = if lags { GROWTH } else { SHRINKAGE };
            self.step = (self.step * change).clamp(LAST_STEP, FIRST_STEP);
        }
        self.log += error.clamp(-self.step, self.step);
        self.rose = rises;
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the estimate.
    pub fn value(&self) -> f64 {
        self.log.exp()
    }

    /// Returns the number of samples.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Returns whether there are enough samples to use this instead of the service's estimate.
    pub fn is_own(&self) -> bool {
        self.samples >= MIN_OWN_SAMPLES
    }
}

/// Weight of the newest sample in a share: a change is followed within a dozen samples.
const SHARE_WEIGHT: f64 = 0.1;

/// Exponential moving average of the share of samples that are true.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareEstimate(f64);

impl ShareEstimate {
    /// Creates an estimate that starts from a `prior` from 0 to 1.
    pub fn new(prior: f64) -> Self {
        Self(prior)
    }

    /// Adds a sample.
    pub fn record(&mut self, is_so: bool) {
        let sample = if is_so { 1.0 } else { 0.0 };
        self.0 += (sample - self.0) * SHARE_WEIGHT;
    }

    /// Returns the estimate, from 0 to 1.
    pub fn value(&self) -> f64 {
        self.0
    }
}

/// Step of a settled low estimate for a sample below it, in units of the natural logarithm.
const STEP_DOWN: f64 = 0.08;
/// Step of a settled low estimate for a sample above it. Four samples above balance one below, so
/// that the estimate settles at the 20th percentile.
const STEP_UP: f64 = 0.02;

/// Running 20th percentile of positive samples: the time that something takes under little load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LowEstimate {
    log: f64,
    samples: u32,
}

impl LowEstimate {
    /// Creates an estimate that starts from a positive `prior`.
    pub fn new(prior: f64) -> Self {
        Self { log: prior.ln(), samples: 0 }
    }

    /// Adds a sample; ignores samples that are not positive.
    pub fn record(&mut self, sample: f64) {
        if !(sample.is_finite() && sample > 0.0) {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let first = FIRST_STEP / f64::from(self.samples);
        let error = sample.ln() - self.log;
        self.log += error.clamp(-first.max(STEP_DOWN), first.max(STEP_UP));
    }

    /// Returns the estimate.
    pub fn value(&self) -> f64 {
        self.log.exp()
    }
}

/// Weight of a new sample in the mean, as in the retransmission timer of TCP (RFC 6298).
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of a new sample in the deviation, also as in RFC 6298.
const DEVIATION_WEIGHT: f64 = 0.25;
/// Number of initial samples that are weighted evenly, so that the prior has no lasting effect.
const EVEN_SAMPLES: u32 = 8;

/// Mean and mean deviation of the time that calls take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallTime {
    mean_ms: f64,
    deviation_ms: f64,
    samples: u32,
}

impl CallTime {
    /// Creates an estimate that starts from a prior, with half of it as the deviation.
    pub fn new(prior: Duration) -> Self {
        let mean_ms = prior.as_secs_f64() * 1_000.0;
        Self { mean_ms, deviation_ms: mean_ms / 2.0, samples: 0 }
    }

    /// Adds the time of a call.
    pub fn record(&mut self, took: Duration) {
        let sample = took.as_secs_f64() * 1_000.0;
        self.samples = self.samples.saturating_add(1);
        let even = 1.0 / f64::from(self.samples);
        let settled = self.samples > EVEN_SAMPLES;
        let (mean, deviation) = match settled {
            true => (MEAN_WEIGHT, DEVIATION_WEIGHT),
            false => (even.max(MEAN_WEIGHT), even.max(DEVIATION_WEIGHT)),
        };
        if self.samples > 1 {
            let off = (sample - self.mean_ms).abs();
            self.deviation_ms += (off - self.deviation_ms) * deviation;
        } else {
            self.deviation_ms = sample / 2.0;
        }
        self.mean_ms += (sample - self.mean_ms) * mean;
    }

    /// Returns whether any call was recorded.
    pub fn has_samples(&self) -> bool {
        self.samples > 0
    }

    /// Returns the mean in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Returns the mean plus `deviations` times the mean deviation.
    pub fn longer_than_usual(&self, deviations: f64) -> Duration {
        let span = self.mean_ms + deviations * self.deviation_ms;
        saturating_millis(span)
    }
}
