//! When a caller that is turned away should come back.
//!
//! A caller that returns while nothing has changed is turned away again. How long the cause lasts
//! isn't known, so that the pause grows with the time that the caller has: a patient one outlasts
//! a restart of all servers, an impatient one still gets a second chance. Callers that are turned
//! away together come back spread out.

use std::time::Duration;

/// Part of a caller's time left after which it comes back. Callers accept up to a third; the rest
/// is for the second attempt.
const PART_OF_TIME_LEFT: f64 = 0.25;
/// Part of a caller's time left after which it accepts to come back.
const PART_ACCEPTED: f64 = 1.0 / 3.0;
/// The shortest pause: a round trip and a little of a plain call's time.
const SHORTEST: Duration = Duration::from_millis(40);
/// The longest pause: a restarted server is listed again within about three seconds.
const LONGEST: Duration = Duration::from_millis(3_500);
/// How far pauses are spread to both sides of their middle.
const SPREAD: f64 = 0.25;

/// The pause for a caller that no server takes before `rest` has passed; `draw` is from 0 up to 1.
pub fn return_after_rest(rest: Duration, draw: f64) -> Duration {
    rest.mul_f64(1.0 + SPREAD * draw).max(SHORTEST)
}

/// How long a rest of all servers may be that a caller with this much time left waits for. It would accept to come
/// back after as long, which costs it one of its tries.
pub fn rest_patience(left: Duration) -> Duration {
    left.mul_f64(PART_ACCEPTED)
}

/// The pause for a caller with this much time left; `draw` is from 0 up to 1.
pub fn return_time(left: Duration, draw: f64) -> Duration {
    let middle = left.mul_f64(PART_OF_TIME_LEFT).min(LONGEST);
    middle.mul_f64(1.0 - SPREAD + 2.0 * SPREAD * draw).max(SHORTEST)
}
