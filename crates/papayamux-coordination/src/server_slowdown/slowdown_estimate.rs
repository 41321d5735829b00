//! The expected slowdown of one server.

use std::time::{Duration, Instant};

use papayamux_state::backend::ServerSlowdown;

/// Time in which what a report says beyond the mean falls to a third (1/e): servers report values
/// that change several times a second.
const PERSISTENCE: Duration = Duration::from_millis(300);
/// Time over which the mean is taken: longer than single slowdowns, so that it tells what is to be
/// expected after them, and short enough to follow a neighbour that comes or leaves.
const MEAN_TIME: Duration = Duration::from_secs(10);
/// Maximum time for which one report counts in the mean. After a long pause it says little about
/// the pause.
const MAX_REPORT_SPAN: Duration = Duration::from_secs(1);

/// The slowdown of a server, estimated from its reports: the last one, from which the estimate
/// returns to the mean as the report ages.
#[derive(Debug, Clone, Copy)]
pub struct SlowdownEstimate {
    mean: f64,
    last: f64,
    reported_at: Instant,
}

impl SlowdownEstimate {
    /// Creates the estimate from a first report, with the usual speed as the mean.
    pub fn new(slowdown: ServerSlowdown, now: Instant) -> Self {
        let mean = ServerSlowdown::default().factor();
        Self { mean, last: slowdown.factor(), reported_at: now }
    }

    /// Adds a report.
    pub fn record(&mut self, slowdown: ServerSlowdown, now: Instant) {
        let next = slowdown.factor();
        let span = self.age(now).min(MAX_REPORT_SPAN);
        // Between two reports the value is taken to change evenly.
        let between = (self.last + next) / 2.0;
        self.mean += (between - self.mean) * (1.0 - decay(span, MEAN_TIME));
        self.last = next;
        self.reported_at = now;
    }

    /// Returns the factor by which work at the server is expected to take longer than usual.
    pub fn expected(&self, now: Instant) -> f64 {
        self.mean + (self.last - self.mean) * decay(self.age(now), PERSISTENCE)
    }

    /// Returns the expected mean factor during a run of `elapsed`, at whose beginning or end the
    /// server reported `slowdown`.
    pub fn mean_during(&self, slowdown: ServerSlowdown, elapsed: Duration) -> f64 {
        let spans = elapsed.as_secs_f64() / PERSISTENCE.as_secs_f64();
        let reported_weight = if spans > 0.0 { (1.0 - (-spans).exp()) / spans } else { 1.0 };
        self.mean + (slowdown.factor() - self.mean) * reported_weight
    }

    /// Returns the mean factor of the last seconds.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns the time since the last report.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.reported_at)
    }
}

/// Returns what remains of 1 after `elapsed` if it falls to 1/e within `constant`.
fn decay(elapsed: Duration, constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / constant.as_secs_f64()).exp()
}
