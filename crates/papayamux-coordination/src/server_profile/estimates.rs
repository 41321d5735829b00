//! Estimates that start from a prior, soon leave it, and follow a change.
//!
//! Libraries for quantiles of streams keep what they were given for good, or a window of it for each
//! server; these take a few bytes each and a few operations for each answer.

use std::time::Duration;

/// The step of an estimate that knows nothing, in units of the natural logarithm: the second answer
/// may be off the prior by a factor of e.
const FIRST_STEP: f64 = 1.0;
/// The step of an estimate that has settled: it then varies by a few per cent.
const LAST_STEP: f64 = 0.03;
/// How the step grows while answers lie on the same side: a tenfold change is followed within about a
/// dozen answers.
const GROWTH: f64 = 1.3;
/// How the step shrinks where an answer lies on the other side. Together with the growth it shrinks
/// while answers scatter evenly.
const SHRINKAGE: f64 = 0.6;
/// The first step of an estimate that begins at what its siblings showed.
const NEW_SERVER_STEP: f64 = 0.3;
/// Answers after which an estimate says more of its server than the service's does.
const MIN_OWN_SAMPLES: u32 = 4;

/// The median of positive samples, by steps towards each of them: one that is far off moves it no
/// further than one that is near.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MedianEstimate {
    log: f64,
    step: f64,
    rose: bool,
    samples: u32,
}

impl MedianEstimate {
    /// An estimate that begins at a positive `prior`.
    pub fn new(prior: f64) -> Self {
        Self { log: prior.ln(), step: FIRST_STEP, rose: false, samples: 0 }
    }

    /// An estimate of one of many alike, which begins at what is known of them.
    pub fn from_service(other: Self) -> Self {
        Self { step: other.step.max(NEW_SERVER_STEP), samples: 0, ..other }
    }

    /// Takes in a sample. One that isn't positive says nothing.
    pub fn note(&mut self, sample: f64) {
        if !(sample.is_finite() && sample > 0.0) {
            return;
        }
        let error = sample.ln() - self.log;
        let rises = error > 0.0;
        if self.samples > 0 {
            // An answer within a step's reach shows that the estimate has arrived, whatever its side.
            let lags = rises == self.rose && error.abs() > self.step;
            let change = if lags { GROWTH } else { SHRINKAGE };
            self.step = (self.step * change).clamp(LAST_STEP, FIRST_STEP);
        }
        self.log += error.clamp(-self.step, self.step);
        self.rose = rises;
        self.samples = self.samples.saturating_add(1);
    }

    /// The estimate.
    pub fn value(&self) -> f64 {
        self.log.exp()
    }

    /// Samples so far.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Whether it says more of its server than the service's estimate does.
    pub fn is_own(&self) -> bool {
        self.samples >= MIN_OWN_SAMPLES
    }
}

/// Weight of the newest sample in a share: a change is followed within a dozen answers.
const SHARE_WEIGHT: f64 = 0.1;

/// The share of samples that are so, as a mean that fades.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareEstimate(f64);

impl ShareEstimate {
    /// An estimate that begins at a `prior` from 0 to 1.
    pub fn new(prior: f64) -> Self {
        Self(prior)
    }

    /// Takes in whether one is so.
    pub fn note(&mut self, is_so: bool) {
        let sample = if is_so { 1.0 } else { 0.0 };
        self.0 += (sample - self.0) * SHARE_WEIGHT;
    }

    /// The estimate, from 0 to 1.
    pub fn value(&self) -> f64 {
        self.0
    }
}

/// How far a low estimate moves down for a sample below it, in units of the natural logarithm, once it
/// has settled.
const STEP_DOWN: f64 = 0.08;
/// The same upwards: four samples above weigh as much as one below, which settles at the lowest fifth.
const STEP_UP: f64 = 0.02;

/// The lowest fifth of positive samples: what takes that long when little else goes on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LowEstimate {
    log: f64,
    samples: u32,
}

impl LowEstimate {
    /// An estimate that begins at a positive `prior`.
    pub fn new(prior: f64) -> Self {
        Self { log: prior.ln(), samples: 0 }
    }

    /// Takes in a sample. One that isn't positive says nothing.
    pub fn note(&mut self, sample: f64) {
        if !(sample.is_finite() && sample > 0.0) {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let first = FIRST_STEP / f64::from(self.samples);
        let error = sample.ln() - self.log;
        self.log += error.clamp(-first.max(STEP_DOWN), first.max(STEP_UP));
    }

    /// The estimate.
    pub fn value(&self) -> f64 {
        self.log.exp()
    }
}

/// Weight of a new sample in the mean, as in the retransmission timer of TCP (RFC 6298).
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of a new sample in the deviation, of the same origin.
const DEVIATION_WEIGHT: f64 = 0.25;
/// Samples of which the first ones count evenly, so that the prior is left at once.
const EVEN_SAMPLES: u32 = 8;

/// How long calls take, and how far they scatter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallTime {
    mean_ms: f64,
    deviation_ms: f64,
    samples: u32,
}

impl CallTime {
    /// Begins at a prior, with a deviation of half of it.
    pub fn new(prior: Duration) -> Self {
        let mean_ms = prior.as_secs_f64() * 1_000.0;
        Self { mean_ms, deviation_ms: mean_ms / 2.0, samples: 0 }
    }

    /// Takes in the time that a call took.
    pub fn note(&mut self, took: Duration) {
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

    /// The mean in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Longer than calls take: the mean and so many deviations.
    pub fn longer_than_usual(&self, deviations: f64) -> Duration {
        let span = self.mean_ms + deviations * self.deviation_ms;
        Duration::try_from_secs_f64(span / 1_000.0).unwrap_or(Duration::MAX)
    }
}
