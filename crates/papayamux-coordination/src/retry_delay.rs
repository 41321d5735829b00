//! The delay after which a refused caller should retry.
//!
//! A caller that retries before anything has changed is refused again. How long the cause lasts is
//! unknown, so the delay grows with the time that the caller has left: a caller with a long
//! deadline outlasts a restart of all servers, one with a short deadline still gets a second
//! attempt. Jitter spreads callers that are refused at the same time.

use std::time::Duration;

/// The delay as a share of the caller's remaining time. Callers accept up to a third; the rest is
/// for the second attempt.
const TIME_LEFT_SHARE: f64 = 0.25;
/// Maximum delay that a caller accepts, as a share of its remaining time.
const MAX_TIME_LEFT_SHARE: f64 = 1.0 / 3.0;
/// Minimum delay: a round trip and part of the time of a plain call.
const MIN_DELAY: Duration = Duration::from_millis(40);
/// Maximum delay: a restarted server is listed again within about three seconds.
const MAX_DELAY: Duration = Duration::from_millis(3_500);
/// Jitter of the delay to either side, as a share of it.
const JITTER_SHARE: f64 = 0.25;

/// Returns the delay for a caller that no server accepts before `backoff` has passed. `jitter` is
/// in the range 0 to 1.
pub fn retry_delay_after_backoff(backoff: Duration, jitter: f64) -> Duration {
    backoff.mul_f64(1.0 + JITTER_SHARE * jitter).max(MIN_DELAY)
}

/// Returns the longest back-off of all servers that a caller with this much time left waits for.
/// The caller would accept to retry after as long, but that would cost it one of its attempts.
pub fn max_backoff_wait(time_left: Duration) -> Duration {
    time_left.mul_f64(MAX_TIME_LEFT_SHARE)
}

/// Returns the delay for a caller with this much time left. `jitter` is in the range 0 to 1.
pub fn retry_delay(time_left: Duration, jitter: f64) -> Duration {
    let middle = time_left.mul_f64(TIME_LEFT_SHARE).min(MAX_DELAY);
    middle.mul_f64(1.0 - JITTER_SHARE + 2.0 * JITTER_SHARE * jitter).max(MIN_DELAY)
}
