//! When a caller that is turned away should come back.
//!
//! A caller that returns while nothing has changed is turned away again. How long the cause lasts
//! isn't known, so that the pause grows with the time that the caller has: a patient one outlasts
//! a restart of all servers, an impatient one still gets a second chance. Callers that are turned
//! away together come back spread out.

use std::time::Duration;

/// Part of a caller's time left after which it comes back. Callers accept up to a third; the rest
/// is for the second attempt.
const TIME_LEFT_SHARE: f64 = 0.25;
/// Part of a caller's time left after which it accepts to come back.
const MAX_TIME_LEFT_SHARE: f64 = 1.0 / 3.0;
/// The shortest pause: a round trip and a little of a plain call's time.
const MIN_DELAY: Duration = Duration::from_millis(40);
/// The longest pause: a restarted server is listed again within about three seconds.
const MAX_DELAY: Duration = Duration::from_millis(3_500);
/// How far pauses are spread to both sides of their middle.
const JITTER_SHARE: f64 = 0.25;

/// The pause for a caller that no server takes before `rest` has passed; `draw` is from 0 up to 1.
pub fn retry_delay_after_backoff(backoff: Duration, jitter: f64) -> Duration {
    backoff.mul_f64(1.0 + JITTER_SHARE * jitter).max(MIN_DELAY)
}

/// How long a rest of all servers may be that a caller with this much time left waits for. It would accept to come
/// back after as long, which costs it one of its tries.
pub fn max_backoff_wait(time_left: Duration) -> Duration {
    time_left.mul_f64(MAX_TIME_LEFT_SHARE)
}

/// The pause for a caller with this much time left; `draw` is from 0 up to 1.
pub fn retry_delay(time_left: Duration, jitter: f64) -> Duration {
    let middle = time_left.mul_f64(TIME_LEFT_SHARE).min(MAX_DELAY);
    middle.mul_f64(1.0 - JITTER_SHARE + 2.0 * JITTER_SHARE * jitter).max(MIN_DELAY)
}
