//! Durations read from outside or computed from figures from outside, kept within what every clock and
//! timer can represent.

use std::time::{Duration, Instant};

use thiserror::Error;

/// Maximum duration that is accepted or computed: a century. Sums and multiples of such durations stay
/// far below the limits of [`Instant`], of [`Duration`] and of timers that count milliseconds.
pub const MAX_DURATION: Duration = Duration::from_secs(100 * 365 * 24 * 60 * 60);

/// The error of reading a duration that is negative, not a number, or longer than [`MAX_DURATION`].
#[derive(Debug, Clone, Copy, PartialEq, Error)]
#[error("{seconds} s is no duration between 0 and {} s", MAX_DURATION.as_secs())]
pub struct DurationError {
    /// The number of seconds.
    pub seconds: f64,
}

/// Reads a duration of `seconds`.
pub fn duration_from_secs(seconds: f64) -> Result<Duration, DurationError> {
    let duration = Duration::try_from_secs_f64(seconds).ok();
    duration.filter(|duration| *duration <= MAX_DURATION).ok_or(DurationError { seconds })
}

/// Reads a duration of `millis` milliseconds.
pub fn duration_from_millis(millis: f64) -> Result<Duration, DurationError> {
    duration_from_secs(millis / 1_000.0)
}

/// Returns a computed duration of `seconds`: zero if it is negative, [`MAX_DURATION`] if it is longer than
/// that or not a number.
pub fn saturating_secs(seconds: f64) -> Duration {
    duration_from_secs(seconds.clamp(0.0, MAX_DURATION.as_secs_f64())).unwrap_or(MAX_DURATION)
}

/// Returns a computed duration of `millis` milliseconds, limited like [`saturating_secs`].
pub fn saturating_millis(millis: f64) -> Duration {
    saturating_secs(millis / 1_000.0)
}

/// Returns the point in time `duration` after `start`, at most [`MAX_DURATION`] later.
pub fn saturating_after(start: Instant, duration: Duration) -> Instant {
    start + duration.min(MAX_DURATION)
}
